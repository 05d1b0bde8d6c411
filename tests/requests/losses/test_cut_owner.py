"""Owners of claims that are cut off from the control hosts."""

import concurrent.futures

import pytest

from tests import cluster as clusters
from tests import forwarding
from tests.requests.losses import loss_cluster

TOKENS = 600
KEYS = 12


@pytest.fixture(autouse=True)
def links_open_again(running):
    yield
    running.cluster.links.open_all()
    clusters.wait_until(running.serves_everywhere, 'serving again')


def send_keyed(node, key, **headers):
    return loss_cluster.send(
        node,
        key,
        TOKENS,
        Idempotency_Key=key,
        X_Idempotent='false',
        **headers,
    )


def count_runs(running, key):
    return len(running.records('request', key=key))


def check(running, key, results):
    """Check the results of all callers of a key against the runs."""
    runs = count_runs(running, key)
    assert runs <= 1, key
    complete = loss_cluster.expected(key, TOKENS)
    for item in results:
        assert item.is_consistent(complete), (key, item)
        if item.outcome == 'complete':
            assert runs == 1
    return runs


@pytest.mark.parametrize('state', ['cut', 'silent'])
def test_owner_cut_off_while_it_runs(running, state):
    owner = running.nodes[loss_cluster.OUTER_NODE]
    keys = [f'cut-owner-{state}-{i}' for i in range(KEYS)]
    with concurrent.futures.ThreadPoolExecutor(4 * KEYS) as pool:
        first = [pool.submit(send_keyed, owner, key) for key in keys]
        clusters.wait_until(
            lambda: all(count_runs(running, key) for key in keys), 'runs'
        )
        running.cluster.links.isolate(owner.name, forwarding.LinkState(state))
        assert not any(item.done() for item in first)
        retried = [
            [pool.submit(send_keyed, node, key) for node in running.nodes]
            for key in keys
        ]
        for key, begun, others in zip(keys, first, retried, strict=True):
            results = [begun.result(), *(item.result() for item in others)]
            assert check(running, key, results) == 1
            # The links to endpoints, callers and joining nodes are intact.
            assert results[0].outcome == 'complete'
            # A request that ran is never reported as "not run".
            assert all(item.outcome != 'not_run' for item in results), results


def test_owner_cut_off_while_it_claims(running):
    owner = running.nodes[loss_cluster.OUTER_NODE]
    keys = [f'cut-claim-{i}' for i in range(KEYS)]
    running.cluster.links.isolate(owner.name, forwarding.LinkState.SILENT)
    with concurrent.futures.ThreadPoolExecutor(2 * KEYS) as pool:
        first = [
            pool.submit(send_keyed, owner, key, X_First_Send='true')
            for key in keys
        ]
        results = [item.result() for item in first]
        # No claim was committed, so that no request was dispatched.
        assert {item.outcome for item in results} == {'not_run'}
        assert not any(count_runs(running, key) for key in keys)
        # The claims delayed in the links arrive now, along with the retries.
        running.cluster.links.open_all()
        retried = [
            pool.submit(send_keyed, running.nodes[i % 3], key)
            for i, key in enumerate(keys)
        ]
        for key, item in zip(keys, retried, strict=True):
            again = item.result()
            assert check(running, key, [again]) == 1
            assert again.outcome == 'complete', (key, again)
