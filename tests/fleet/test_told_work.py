"""Remaining work that watchers are told equals what others report."""

import asyncio
import random

import pytest

from filbertglade.fleet import work_reports
from filbertglade.inner import fleet_pb2
from tests.fleet import leaders
from tests.fleet import test_told_loads
from tests import virtual_time


class Watcher(test_told_loads.Watcher):
    """A watcher that also reports changes of its remaining work."""

    def __init__(self, rng, has_work=True):
        self.work = {}
        self._has_work = has_work
        self._reported = work_reports.ReportedWork()
        super().__init__(rng)

    def _send(self):
        report = fleet_pb2.WatchReport(
            node='n-1', takes_callers=True, in_flight=self.load
        )
        if self._has_work:
            self.work = {group: 100 * n for group, n in self.load.items()}
            changes = self._reported.take_changes(self.work)
            report.remaining_work_ms.update(changes)
        self._reports.put_nowait(report)


# Guards against work that stays in the sums after its host has reported its
# end, has left, or has attached to a new leader.
@pytest.mark.parametrize('has_new_leadership', [False, True])
def test_watchers_know_the_work_of_all_hosts(has_new_leadership):
    async def main():
        rng = random.Random(1)
        leader = leaders.Leader()
        leader.add_replicas(len(test_told_loads.GROUPS))
        watchers = [Watcher(rng) for _ in range(4)]
        serving = [
            asyncio.create_task(leader.publisher.Watch(watcher))
            for watcher in watchers
        ]
        for _ in range(30):
            await asyncio.sleep(rng.random() * 0.1)
            rng.choice(watchers).report()
        serving[0].cancel()
        watchers[1].stop()
        if has_new_leadership:
            leader.publisher.start_leading(was_seeded=True)
        await asyncio.sleep(test_told_loads.KNOWN_S)
        expected = {}
        for watcher in watchers[1:]:
            for group, amount_ms in watcher.work.items():
                expected[group] = expected.get(group, 0) + amount_ms
        assert expected
        for watcher in watchers[1:]:
            assert watcher.view.remaining_work_ms == expected
        for task in serving:
            task.cancel()
        await asyncio.wait(serving)

    virtual_time.run(main())


# Guards against larger frames where no host selects by cost.
def test_frames_tell_no_work_without_the_policy():
    async def main():
        leader = leaders.Leader()
        leader.add_replicas(len(test_told_loads.GROUPS))
        watcher = Watcher(random.Random(1), has_work=False)
        frames = []
        watcher.view.apply_frame = frames.append
        serving = asyncio.create_task(leader.publisher.Watch(watcher))
        for _ in range(5):
            await asyncio.sleep(0.2)
            watcher.report()
        serving.cancel()
        await asyncio.wait([serving])
        assert len(frames) > 3
        assert not any(frame.remaining_work_ms for frame in frames)

    virtual_time.run(main())
