"""Owners of claims that are cut off by their links to control hosts."""

import concurrent.futures

import pytest

from tests import cluster as clusters
from tests import forwarding
from tests.requests.losses import loss_cluster

TOKENS = 600
KEYS = 12


@pytest.fixture(autouse=True)
def links_open_again(losing):
    yield
    losing.cluster.links.open_all()
    clusters.wait_until(losing.serves_everywhere, 'serving again')


def send_keyed(node, key, **headers):
    return loss_cluster.send(
        node,
        key,
        TOKENS,
        Idempotency_Key=key,
        X_Idempotent='false',
        **headers,
    )


def count_runs(losing, key):
    return len(losing.records('request', key=key))


def check(losing, key, told):
    """Check what all callers of a key were told against what ran."""
    runs = count_runs(losing, key)
    assert runs <= 1, key
    whole = loss_cluster.expected(key, TOKENS)
    for item in told:
        assert item.is_true(whole), (key, item)
        if item.outcome == 'complete':
            assert runs == 1
    return runs


@pytest.mark.parametrize('state', ['cut', 'silent'])
def test_owner_cut_off_while_it_runs(losing, state):
    owner = losing.nodes[loss_cluster.OUTER_NODE]
    keys = [f'cut-owner-{state}-{i}' for i in range(KEYS)]
    with concurrent.futures.ThreadPoolExecutor(4 * KEYS) as pool:
        first = [pool.submit(send_keyed, owner, key) for key in keys]
        clusters.wait_until(
            lambda: all(count_runs(losing, key) for key in keys), 'runs'
        )
        losing.cluster.links.isolate(owner.name, forwarding.LinkState(state))
        assert not any(item.done() for item in first)
        resent = [
            [pool.submit(send_keyed, node, key) for node in losing.nodes]
            for key in keys
        ]
        for key, begun, others in zip(keys, first, resent, strict=True):
            told = [begun.result(), *(item.result() for item in others)]
            assert check(losing, key, told) == 1
            # The links to endpoints, callers and those who join it stand.
            assert told[0].outcome == 'complete'
            # What ran is never called "not run".
            assert all(item.outcome != 'not_run' for item in told), told


def test_owner_cut_off_while_it_claims(losing):
    owner = losing.nodes[loss_cluster.OUTER_NODE]
    keys = [f'cut-claim-{i}' for i in range(KEYS)]
    losing.cluster.links.isolate(owner.name, forwarding.LinkState.SILENT)
    with concurrent.futures.ThreadPoolExecutor(2 * KEYS) as pool:
        first = [
            pool.submit(send_keyed, owner, key, X_First_Send='true')
            for key in keys
        ]
        told = [item.result() for item in first]
        # No claim of them has gone through, so that none was dispatched.
        assert {item.outcome for item in told} == {'not_run'}
        assert not any(count_runs(losing, key) for key in keys)
        # The claims that lay in the links arrive now, beside the resends.
        losing.cluster.links.open_all()
        resent = [
            pool.submit(send_keyed, losing.nodes[i % 3], key)
            for i, key in enumerate(keys)
        ]
        for key, item in zip(keys, resent, strict=True):
            again = item.result()
            assert check(losing, key, [again]) == 1
            assert again.outcome == 'complete', (key, again)
