"""Demand that can't be served, from the hosts' reports to all views."""

import asyncio

from filbertglade.fleet import unserved
from filbertglade.fleet import view
from filbertglade.inner import fleet_pb2
from tests.fleet import leaders
from tests import virtual_time


class Watcher:
    """A watcher that reports once, and keeps the view that it is told."""

    def __init__(self, unserved_per_s):
        self.view = view.FleetView()
        self._reports = asyncio.Queue()
        self._reports.put_nowait(
            fleet_pb2.WatchReport(
                node='n-1', takes_callers=True, unserved_per_s=unserved_per_s
            )
        )

    async def recv_message(self):
        return await self._reports.get()

    async def send_message(self, message):
        self.view.apply_frame(message)


# Guards against hosts that decide by their own refusals alone.
def test_frames_tell_the_sums_of_all_hosts():
    async def main():
        leader = leaders.Leader()
        watchers = [Watcher({'1:big': 2.5}), Watcher({'1:big': 1, '0:big': 3})]
        serving = [
            asyncio.create_task(leader.publisher.Watch(watcher))
            for watcher in watchers
        ]
        await asyncio.sleep(0.6)
        for watcher in watchers:
            assert watcher.view.unserved_per_s == {'1:big': 3.5, '0:big': 3}
        for task in serving:
            task.cancel()
        await asyncio.wait(serving)

    virtual_time.run(main())


def test_demand_is_forgotten_once_it_is_served():
    async def main():
        demand = unserved.UnservedDemand()
        assert demand.read() == {}
        for _ in range(20):
            demand.record(1, 'big')
            await asyncio.sleep(0.1)
        assert 5 < demand.read()['1:big'] < 12
        await asyncio.sleep(10)
        assert demand.read() == {}

    virtual_time.run(main())
