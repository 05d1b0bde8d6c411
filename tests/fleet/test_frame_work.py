"""Load: many watchers of many endpoints; the leader's work is counted.

Lines of the product's code are counted, and not time, so that the results are
the same on any machine.
"""

import asyncio
import sys

import pytest

from filbertglade.fleet import frames
from filbertglade.fleet import publisher
from filbertglade.inner import fleet_pb2
from tests.fleet import leaders
from tests import virtual_time

PACKAGE = publisher.__file__.rpartition('/')[0]
RUN_S = 2.0
# Most lines that a leader may execute in RUN_S for each watcher, whatever the
# number of endpoints and of other watchers: a hundred for each frame and each
# report, of which there are some thirty.
LINES_PER_WATCHER = 3000
# The same for each endpoint that has changed, whatever the number of watchers.
LINES_PER_CHANGE = 400


class LineCount:
    """Counts the lines executed in the package of fleets."""

    def __init__(self):
        self.lines = 0

    def _trace_call(self, frame, event, argument):
        if frame.f_code.co_filename.startswith(PACKAGE):
            return self._trace_line
        return None

    def _trace_line(self, frame, event, argument):
        self.lines += event == 'line'
        return self._trace_line

    def __enter__(self):
        sys.settrace(self._trace_call)
        return self

    def __exit__(self, *_):
        sys.settrace(None)


def announce(leader, number, sequence, state='open'):
    endpoint = fleet_pb2.Endpoint(
        id=f'i-{number}',
        service='models',
        address=f'10.0.{number // 200}.{number % 200}:80',
        sequence=sequence,
    )
    endpoint.membership.group = f'g-{number // 8}'
    endpoint.membership.state = state
    assert leader.registry.apply(endpoint) is None


def count_lines(watchers, endpoints, changes):
    """Count the lines that a leader executes while endpoints change.

    :param changes: endpoints that change, at equal intervals.
    """

    async def main():
        leader = leaders.Leader()
        for number in range(endpoints):
            announce(leader, number, 1)
        streams = [leaders.FakeStream() for _ in range(watchers)]
        serving = [
            asyncio.create_task(leader.publisher.Watch(stream))
            for stream in streams
        ]
        # All have the whole view by then.
        await asyncio.sleep(3.0)
        with LineCount() as count:
            for number in range(changes):
                announce(leader, number, 2, 'ready')
                await asyncio.sleep(RUN_S / changes)
        await asyncio.sleep(1.0)
        for task in serving:
            task.cancel()
        await asyncio.wait(serving)
        return count.lines, streams

    lines, streams = virtual_time.run(main())
    for stream in streams:
        told = {
            endpoint.id
            for frame in stream.frames
            for endpoint in frame.endpoints
            if endpoint.sequence == 2
        }
        assert len(told) == changes
    return lines


@pytest.mark.parametrize('watchers', [10, 100, 400])
@pytest.mark.parametrize('endpoints', [100, 1200])
def test_the_leaders_work_has_no_term_of_watchers_times_fleet(
    watchers, endpoints
):
    changes = 20
    lines = count_lines(watchers, endpoints, changes)
    limit = watchers * LINES_PER_WATCHER + changes * LINES_PER_CHANGE
    assert lines <= limit


@pytest.mark.parametrize('endpoints', [100, 1200])
def test_an_unchanged_announcement_costs_the_same_in_any_fleet(endpoints):
    async def main():
        leader = leaders.Leader()
        for number in range(endpoints):
            announce(leader, number, 1)
        with LineCount() as count:
            announce(leader, 7, 2)
        return count.lines

    assert virtual_time.run(main()) <= LINES_PER_CHANGE


# All hosts attach again within some seconds after a leader's loss.
@pytest.mark.parametrize('watchers', [10, 100, 400])
@pytest.mark.parametrize('endpoints', [100, 1200])
def test_attaching_watchers_share_the_view(watchers, endpoints):
    async def main():
        leader = leaders.Leader()
        for number in range(endpoints):
            announce(leader, number, 1)
        streams = [leaders.FakeStream() for _ in range(watchers)]
        serving = []
        with LineCount() as count:
            for stream in streams:
                serving.append(
                    asyncio.create_task(leader.publisher.Watch(stream))
                )
                await asyncio.sleep(RUN_S / watchers)
            await asyncio.sleep(3.0)
        for task in serving:
            task.cancel()
        await asyncio.wait(serving)
        return count.lines, streams

    lines, streams = virtual_time.run(main())
    for stream in streams:
        assembler = frames.FrameAssembler()
        whole = [assembler.add(frame) for frame in stream.frames]
        told = [
            endpoint.id
            for frame in whole
            if frame is not None
            for endpoint in frame.endpoints
        ]
        assert len(told) == endpoints
    limit = watchers * LINES_PER_WATCHER + endpoints * LINES_PER_CHANGE
    assert lines <= limit
