"""Pacing of frames and reports."""

import asyncio

import pytest

from filbertglade.fleet import pacing
from filbertglade.fleet import publisher
from tests import virtual_time


# Guards against watchers that lose a leader with so many of them that its
# interval between frames exceeds their time-out.
@pytest.mark.parametrize('watchers', [1, 89, 600, 5000])
def test_the_longest_wait_holds_for_any_number_of_watchers(watchers):
    """Load: a quiet fleet of any size."""
    interval_ms = publisher.LOAD_INTERVAL_PER_WATCHER_MS * watchers

    async def main():
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await pacing.wait_for_change(
            asyncio.Event(),
            lambda: False,
            interval_ms,
            publisher.MAX_FRAME_INTERVAL_MS,
        )
        return 1000 * (loop.time() - started_s)

    waited_ms = virtual_time.run(main())
    assert waited_ms == pytest.approx(publisher.MAX_FRAME_INTERVAL_MS, abs=1)
