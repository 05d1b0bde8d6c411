"""Bodies that crash engines, resent at once through other nodes."""

import pytest

from tests import cluster as clusters
from tests.requests import bench

RESENDS = 20
MOST_FELLED = 2


@pytest.fixture(autouse=True)
def no_faults(running):
    yield
    running.clear_faults()
    clusters.wait_until(running.serves_everywhere, 'serving again')


def count_felled(running):
    return len(running.records('died'))


def test_resends_without_a_pause_fell_at_most_two(running):
    before = count_felled(running)
    prompt = f'{bench.CRASH_MARKER} resent without a pause'
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
