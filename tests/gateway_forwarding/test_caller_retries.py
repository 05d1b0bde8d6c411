"""Load: callers with different deadlines, some of which retry a refusal.

Requests that count as retries are sent to slow replicas, as their answers are
late in any case. First requests that were taken for retries were late only
for that.
"""

import random

import pytest

from filbertglade.forwarding import caller_retries

REQUESTS = 2000
# A caller waits for at least this time after a refusal, in ms.
PAUSE_MS = 1000


def send(first_ms, retry_share, seed=1):
    """Send first requests and retries of one route in random order.

    :param first_ms: shortest and longest deadline of a first request.
    :param retry_share: share of the requests that are retries.
    :returns: the fractions of first requests and of retries that count as
        retries.
    """
    rng = random.Random(seed)
    deadlines = caller_retries.DeadlineTracker()
    counts = {False: [], True: []}
    for _ in range(REQUESTS):
        is_retry = rng.random() < retry_share
        deadline_ms = rng.randint(*first_ms)
        if is_retry:
            deadline_ms -= PAUSE_MS + rng.randint(0, 300)
        counts[is_retry].append(deadlines.is_short('tell', deadline_ms))
    return [sum(items) / max(1, len(items)) for items in counts.values()]


@pytest.mark.parametrize('longest_ms', [2500, 5000, 6000, 8000])
@pytest.mark.parametrize('shortest', [0.85, 0.95, 1.0])
@pytest.mark.parametrize('retry_share', [0.0, 0.1, 0.4])
def test_first_requests_do_not_count_as_retries(
    longest_ms, shortest, retry_share
):
    first_ms = (int(shortest * longest_ms), longest_ms)
    of_first, _ = send(first_ms, retry_share)
    assert of_first < 0.05


@pytest.mark.parametrize('longest_ms', [2500, 5000, 6000])
@pytest.mark.parametrize('shortest', [0.85, 1.0])
def test_most_retries_count_as_such(longest_ms, shortest):
    first_ms = (int(shortest * longest_ms), longest_ms)
    _, of_retries = send(first_ms, retry_share=0.2)
    assert of_retries > 0.7


# Guards against one caller with a long deadline who makes retries of all
# requests of others.
def test_a_long_deadline_makes_no_retries_of_other_requests():
    deadlines = caller_retries.DeadlineTracker()
    assert not deadlines.is_short('tell', 600_000)
    assert not any(deadlines.is_short('tell', 6000) for _ in range(1000))
