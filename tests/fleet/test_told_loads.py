"""What watchers know of the fleet equals what the leader knows, soon after."""

import asyncio
import random

import pytest

from filbertglade.fleet import frames
from filbertglade.fleet import view
from filbertglade.inner import fleet_pb2
from tests.fleet import leaders
from tests import virtual_time

WATCHERS = 6
GROUPS = [f'g-{number}' for number in range(4)]
CHANGES = 60
# Longest time from the last change until all watchers know of it, in s.
KNOWN_S = 0.6


class Watcher:
    """A watcher that reports random loads, and keeps the view it is told."""

    def __init__(self, rng):
        self.view = view.FleetView()
        self.load = {}
        self._rng = rng
        self._assembler = frames.FrameAssembler()
        self._reports = asyncio.Queue()
        self.report()

    def report(self):
        self.load = {
            group: self._rng.randrange(1, 4)
            for group in GROUPS
            if self._rng.random() < 0.5
        }
        self._send()

    def stop(self):
        self.load = {}
        self._send()

    def _send(self):
        self._reports.put_nowait(
            fleet_pb2.WatchReport(
                node='n-1', takes_callers=True, in_flight=self.load
            )
        )

    async def recv_message(self):
        return await self._reports.get()

    async def send_message(self, message):
        await asyncio.sleep(self._rng.random() * 0.01)
        frame = self._assembler.add(message)
        if frame is not None:
            self.view.apply_frame(frame)


# Guards against loads that a host keeps for those of the others: it would
# send nothing to a replica that is idle.
@pytest.mark.parametrize('seed', range(20))
def test_watchers_know_the_loads_soon_after_the_last_change(seed):
    async def main():
        rng = random.Random(seed)
        leader = leaders.Leader()
        leader.add_replicas(len(GROUPS))
        watchers = [Watcher(rng) for _ in range(WATCHERS)]
        serving = [
            asyncio.create_task(leader.publisher.Watch(watcher))
            for watcher in watchers
        ]
        for _ in range(CHANGES):
            await asyncio.sleep(rng.random() * 0.1)
            rng.choice(watchers).report()
        for watcher in watchers[:3]:
            watcher.stop()
        await asyncio.sleep(KNOWN_S)
        expected = {
            group: sum(watcher.load.get(group, 0) for watcher in watchers)
            for group in GROUPS
        }
        for watcher in watchers:
            told = {
                group: watcher.view.in_flight.get(group, 0) for group in GROUPS
            }
            assert told == expected
        for task in serving:
            task.cancel()
        await asyncio.wait(serving)

    virtual_time.run(main())


# Guards against requests of a host that has left which fill a group for ever:
# a lost connection may cancel a stream that ends at that moment once more.
@pytest.mark.parametrize('has_new_leadership', [False, True])
def test_a_watcher_that_is_cancelled_twice_leaves_no_load(has_new_leadership):
    async def main():
        leader = leaders.Leader()
        leader.add_replicas(len(GROUPS))
        leaving, staying = Watcher(random.Random(1)), Watcher(random.Random(2))
        serving = [
            asyncio.create_task(leader.publisher.Watch(watcher))
            for watcher in (leaving, staying)
        ]
        await asyncio.sleep(1)
        known = dict(staying.view.in_flight)
        serving[0].cancel()
        await asyncio.sleep(0)
        serving[0].cancel()
        if has_new_leadership:
            leader.publisher.start_leading(was_seeded=True)
        await asyncio.sleep(KNOWN_S)
        serving[1].cancel()
        await asyncio.wait(serving)
        left = {group: n for group, n in staying.view.in_flight.items() if n}
        return known, left, leaving.load, staying.load

    known, left, leaving_load, staying_load = virtual_time.run(main())
    assert leaving_load
    assert sum(known.values()) == sum(leaving_load.values()) + sum(
        staying_load.values()
    )
    assert left == staying_load
