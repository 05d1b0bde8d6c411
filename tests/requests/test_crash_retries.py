"""Bodies that crash engines, resent through other nodes without a pause."""

import concurrent.futures

import pytest

from tests.requests import request_cluster

RESENDS = 20
MOST_FELLED = 2
# Crashes come when all that was sent at once has begun.
CRASH_AT_TOKEN = 100


@pytest.fixture(autouse=True)
def no_faults(running):
    yield
    running.clear_faults()


def count_felled(running):
    return len(running.records('died'))


def test_resends_without_a_pause_fell_at_most_two(running):
    before = count_felled(running)
    prompt = f'{request_cluster.CRASH_MARKER} resent without a pause'
    outcomes = []
    for i in range(RESENDS):
        # What must run at most once is answered at its first crash.
        answer = running.complete(
            running.nodes[i % 3], prompt, X_Idempotent='false'
        )
        outcomes.append(answer.headers['X-Outcome'])
    assert count_felled(running) - before <= MOST_FELLED, outcomes
    assert outcomes[0] == 'unknown'
    assert 'complete' not in outcomes


def test_concurrent_retries_crash_at_most_two_engines(running):
    before = count_felled(running)
    prompt = f'{request_cluster.CRASH_MARKER} resent at one moment'
    for address in running.engine_addresses():
        running.set_faults(
            address,
            crash_marker=request_cluster.CRASH_MARKER,
            crash_at_token=CRASH_AT_TOKEN,
        )
    with concurrent.futures.ThreadPoolExecutor(RESENDS) as pool:
        futures = [
            pool.submit(
                running.complete,
                running.nodes[i % 3],
                prompt,
                2 * CRASH_AT_TOKEN,
            )
            for i in range(RESENDS)
        ]
        outcomes = [item.result().headers['X-Outcome'] for item in futures]
    assert 'complete' not in outcomes
    assert count_felled(running) - before <= MOST_FELLED
