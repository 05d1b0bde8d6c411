"""The bytes under way to a peer, on links of different rates and delays."""

import asyncio
import collections

import pytest

from filbertglade.control import send_window
from tests.control import cluster

# The heartbeat interval and the lease of gateways.
LIMIT_MS = 120
LEASE_MS = 600


async def transfer(window, size, rate, delay_s):
    """Send bytes over a link; return the seconds and the longest delay."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    free_s = 0.0
    under_way = collections.deque()
    longest_s = 0.0
    sequence = 0
    while size or under_way:
        while size and window.has_room:
            part = min(size, window.part_bytes)
            size -= part
            sequence += 1
            window.record_sent(sequence, part)
            free_s = max(free_s, loop.time()) + part / rate
            under_way.append((sequence, loop.time(), free_s + delay_s))
        number, sent_s, due_s = under_way.popleft()
        await asyncio.sleep(due_s - loop.time())
        longest_s = max(longest_s, loop.time() - sent_s)
        window.record_reply(number)
    return loop.time() - started_s, longest_s


@pytest.mark.parametrize('rate', [20_000, 200_000, 2_000_000, 20_000_000])
@pytest.mark.parametrize('delay_s', [0.001, 0.02])
def test_link_is_used_and_its_queue_stays_short(rate, delay_s):
    async def scenario():
        window = send_window.SendWindow(LIMIT_MS)
        size = 10 * rate
        took_s, longest_s = await transfer(window, size, rate, delay_s)
        # A window of the greatest size may be less than the link carries.
        full_s = size * delay_s / (send_window.MAXIMUM_WINDOW_BYTES * 0.75)
        assert took_s < 1.1 * max(size / rate, full_s)
        assert longest_s < LEASE_MS / 1000
        # At the least rate the first window alone takes longer.
        if rate > 20_000:
            assert longest_s < delay_s + 3 * LIMIT_MS / 1000

    cluster.run(scenario())


# A window from a time when the link was idle filled the queue of a busy one.
def test_window_starts_anew_after_a_pause():
    async def scenario():
        window = send_window.SendWindow(LIMIT_MS)
        await transfer(window, 10_000_000, 20_000_000, 0.001)
        assert window.room_bytes > send_window.INITIAL_WINDOW_BYTES
        await asyncio.sleep(1)
        assert window.room_bytes == send_window.INITIAL_WINDOW_BYTES
        assert window.is_empty

    cluster.run(scenario())


def test_window_shrinks_when_the_link_becomes_slower():
    async def scenario():
        window = send_window.SendWindow(LIMIT_MS)
        await transfer(window, 10_000_000, 20_000_000, 0.001)
        _, longest_s = await transfer(window, 1_000_000, 100_000, 0.001)
        # What was under way already takes as long as it takes.
        assert longest_s < send_window.MAXIMUM_WINDOW_BYTES / 100_000 + 0.1
        _, longest_s = await transfer(window, 1_000_000, 100_000, 0.001)
        assert longest_s < 3 * LIMIT_MS / 1000

    cluster.run(scenario())


# A voter whose process was busy got a document at 26 KB/s.
@pytest.mark.parametrize('late_s', [0.05, 0.1, 0.15])
def test_delay_that_bulk_does_not_cause_leaves_a_useful_rate(late_s):
    async def scenario():
        window = send_window.SendWindow(LIMIT_MS)
        await transfer(window, 10_000, 20_000_000, 0.001)
        size = 2_000_000
        took_s, _ = await transfer(window, size, 20_000_000, late_s)
        rate = send_window.LATE_WINDOW_BYTES / late_s
        # The window grows slowly at first.
        assert took_s < 1.5 * size / rate

    cluster.run(scenario())
