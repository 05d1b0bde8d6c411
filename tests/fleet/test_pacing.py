"""Pacing of frames and reports."""

import asyncio
import itertools

import pytest

from filbertglade.fleet import audience
from filbertglade.fleet import pacing
from filbertglade.fleet import publisher
from tests.fleet import leaders
from tests import virtual_time


# Guards against watchers that lose a leader with so many of them that its
# interval between frames exceeds their time-out.
@pytest.mark.parametrize('watchers', [1, 89, 600, 5000])
def test_the_longest_wait_holds_for_any_number_of_watchers(watchers):
    """Load: a quiet fleet of any size."""
    interval_ms = audience.LOAD_INTERVAL_PER_WATCHER_MS * watchers

    async def main():
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await pacing.wait_for_change(
            asyncio.Event(),
            lambda: False,
            interval_ms,
            audience.MAX_PUBLICATION_INTERVAL_MS,
        )
        return 1000 * (loop.time() - started_s)

    waited_ms = virtual_time.run(main())
    assert waited_ms == pytest.approx(
        audience.MAX_PUBLICATION_INTERVAL_MS, abs=1
    )


# The same for the leader's frames, which that function doesn't pace.
@pytest.mark.parametrize('watchers', [1, 89, 600])
def test_frames_come_in_time_for_any_number_of_watchers(watchers):
    """Load: a quiet fleet of any size."""

    async def main():
        leader = leaders.Leader()
        streams = [leaders.FakeStream() for _ in range(watchers)]
        serving = [
            asyncio.create_task(leader.publisher.Watch(stream))
            for stream in streams
        ]
        await asyncio.sleep(3)
        for task in serving:
            task.cancel()
        await asyncio.wait(serving)
        return streams

    for stream in virtual_time.run(main()):
        assert len(stream.taken_s) > 8
        for earlier_s, later_s in itertools.pairwise(stream.taken_s):
            gap_ms = 1000 * (later_s - earlier_s)
            assert gap_ms <= publisher.MAX_FRAME_INTERVAL_MS + 1


@pytest.mark.parametrize('pause_s', [0.0, 0.08])
def test_the_time_until_the_last_watcher_is_sent_a_change_is_measured(pause_s):
    """Load: one of many watchers is behind a slow link."""

    async def main():
        leader = leaders.Leader()
        streams = [leaders.FakeStream() for _ in range(20)]
        streams.append(leaders.FakeStream(pause_s=pause_s))
        serving = [
            asyncio.create_task(leader.publisher.Watch(stream))
            for stream in streams
        ]
        await asyncio.sleep(2)
        leader.add_replicas(2)
        leader.publisher.notify_change()
        await asyncio.sleep(1)
        for task in serving:
            task.cancel()
        await asyncio.wait(serving)
        return leader.counters.percentile_ms('change_sent', 100.0)

    longest_ms = virtual_time.run(main())
    least_ms = audience.BATCH_MS + 1000 * pause_s
    assert least_ms <= longest_ms <= least_ms + 20
