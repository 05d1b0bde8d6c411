"""Groups of four hosts that lose a host, or that a host is leaving."""

import concurrent.futures
import signal

import httpx

from tests import cluster as clusters
from tests.requests.losses import loss_cluster

LEAVING_LIMIT_MS = 3000
# The presence limit, plus how long a chosen endpoint may be used.
LOST_LIMIT_MS = 4000 + 1000
FROZEN_S = 10.0
LONG_TOKENS = 2000
LONG_STREAMS = 18
SENT_WHILE_FROZEN = 20


def list_grouped(running, kind='request'):
    return [
        entry
        for entry in running.records(kind)
        if entry['host'].startswith('grouped-')
    ]


def wait_for_new_groups(running, old):
    """Wait until all groups serve, none of them at an epoch in `old`."""
    epochs = {(group['name'], group['epoch']) for group in old}

    def is_replaced():
        serving = running.list_serving(loss_cluster.GROUPED)
        return len(serving) == loss_cluster.GROUPS and not any(
            (group['name'], group['epoch']) in epochs for group in serving
        )

    clusters.wait_until(is_replaced, 'the groups at new epochs')


def test_leaving_host_gives_its_group_no_new_work(running):
    group = running.list_serving(loss_cluster.GROUPED)[0]
    leaving = group['hosts'][-1]
    prompts = [f'long {i}' for i in range(LONG_STREAMS)]
    load = loss_cluster.Load(running.nodes, loss_cluster.GROUPED)
    with concurrent.futures.ThreadPoolExecutor(LONG_STREAMS) as pool:
        futures = [
            pool.submit(
                loss_cluster.send,
                running.nodes[i % len(running.nodes)],
                prompt,
                LONG_TOKENS,
                model=loss_cluster.GROUPED,
            )
            for i, prompt in enumerate(prompts)
        ]
        in_flight = clusters.wait_until(
            lambda: [
                entry
                for entry in list_grouped(running)
                if entry['group'] == group['name']
                and entry['prompt'] in prompts
            ],
            'long streams on the group',
        )
        with load.running():
            address = running.addresses()[leaving]
            httpx.put(f'http://{address}/standin/leaving')
            wait_for_new_groups(running, [group])
        results = [future.result() for future in futures]
    for prompt, item in zip(prompts, results, strict=True):
        assert item.outcome == 'complete'
        assert item.is_consistent(loss_cluster.expected(prompt, LONG_TOKENS))
    assert load.count and not load.inconsistent
    left_ms = running.records('leaving', host=leaving)[0]['at_ms']
    assert min(entry['at_ms'] for entry in in_flight) < left_ms
    last_ms = max(
        entry['at_ms']
        for entry in list_grouped(running)
        if (entry['group'], entry['epoch']) == (group['name'], group['epoch'])
    )
    assert last_ms <= left_ms + LEAVING_LIMIT_MS
    for found in running.list_serving(loss_cluster.GROUPED):
        assert leaving not in found['hosts']


def test_frozen_node_sends_nothing_to_groups_that_lost_a_host(running):
    frozen = running.nodes[loss_cluster.OUTER_NODE]
    broken = running.list_serving(loss_cluster.GROUPED)[:2]
    prompts = [f'while frozen {i}' for i in range(SENT_WHILE_FROZEN)]
    load = loss_cluster.Load(running.nodes, loss_cluster.GROUPED)
    with load.running():
        clusters.wait_until(lambda: load.count > 50, 'load')
        frozen.send_signal(signal.SIGSTOP)
        thawed_ms = loss_cluster.now_ms() + int(FROZEN_S * 1000)
        try:
            for group in broken:
                address = running.addresses()[group['hosts'][-1]]
                httpx.delete(f'http://{address}/standin/faults')
            pool = concurrent.futures.ThreadPoolExecutor(SENT_WHILE_FROZEN)
            futures = [
                pool.submit(
                    loss_cluster.send,
                    frozen,
                    prompt,
                    4,
                    model=loss_cluster.GROUPED,
                )
                for prompt in prompts
            ]
            clusters.wait_until(
                lambda: loss_cluster.now_ms() > thawed_ms,
                'the end of the freeze',
            )
        finally:
            frozen.send_signal(signal.SIGCONT)
        results = [future.result() for future in futures]
        pool.shutdown()
        wait_for_new_groups(running, broken)
    for prompt, item in zip(prompts, results, strict=True):
        assert item.outcome in ('complete', 'not_run')
        assert item.is_consistent(loss_cluster.expected(prompt, 4))
    assert load.count and not load.inconsistent
    check_all_by_record(running)


def check_all_by_record(running):
    """Check every request against the committed groups and lost hosts."""
    committed = running.list_committed()
    died_ms = {
        entry['host']: entry['at_ms'] for entry in running.records('died')
    }
    late = []
    for entry in list_grouped(running):
        hosts = committed[entry['group'], entry['epoch']]
        assert entry['host'] == hosts[0]
        lost_ms = [died_ms[host] for host in hosts if host in died_ms]
        if lost_ms:
            late.append(entry['at_ms'] - min(lost_ms))
    assert max(late) <= LOST_LIMIT_MS
