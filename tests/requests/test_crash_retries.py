"""Bodies that crash engines, retried through other nodes without a pause."""

import concurrent.futures

import pytest

from tests.requests import request_cluster

RETRIES = 20
MAX_CRASHED = 2
# Late enough that all concurrent requests have begun before a crash.
CRASH_AT_TOKEN = 100


@pytest.fixture(autouse=True)
def no_faults(running):
    yield
    running.clear_faults()


def count_crashed(running):
    return len(running.records('died'))


def test_retries_without_a_pause_crash_at_most_two_engines(running):
    before = count_crashed(running)
    prompt = f'{request_cluster.CRASH_MARKER} resent without a pause'
    outcomes = []
    for i in range(RETRIES):
        # A request that must run at most once is refused at its first crash.
        response = running.complete(
            running.nodes[i % 3], prompt, X_Idempotent='false'
        )
        outcomes.append(response.headers['X-Outcome'])
    assert count_crashed(running) - before <= MAX_CRASHED, outcomes
    assert outcomes[0] == 'unknown'
    assert 'complete' not in outcomes


def test_concurrent_retries_crash_at_most_two_engines(running):
    before = count_crashed(running)
    prompt = f'{request_cluster.CRASH_MARKER} resent at one moment'
    for address in running.engine_addresses():
        running.set_faults(
            address,
            crash_marker=request_cluster.CRASH_MARKER,
            crash_at_token=CRASH_AT_TOKEN,
        )
    with concurrent.futures.ThreadPoolExecutor(RETRIES) as pool:
        futures = [
            pool.submit(
                running.complete,
                running.nodes[i % 3],
                prompt,
                2 * CRASH_AT_TOKEN,
            )
            for i in range(RETRIES)
        ]
        outcomes = [item.result().headers['X-Outcome'] for item in futures]
    assert 'complete' not in outcomes
    assert count_crashed(running) - before <= MAX_CRASHED
