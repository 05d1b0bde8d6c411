"""Work that targets have left, from own events and from reports, offline."""

import asyncio

import pytest

from filbertglade.costs import backlog
from filbertglade.costs import work
from filbertglade.fleet import document
from filbertglade.fleet import load_totals
from filbertglade.fleet import view
from filbertglade.fleet import work_reports
from filbertglade.forwarding import targets
from filbertglade.inner import fleet_pb2
from tests import virtual_time

ENGINE = document.Engine(
    slots=4, stride=4, step_ms=8.0, per_seq_ms=1.0, read_per_s=10_000.0
)
TARGET = targets.Target(
    'i-1', 'i-1', '', 'north', 4, 'group-1', 1, model='big'
)
PLAIN = targets.Target('w-1', 'w-1', '', 'north', 2)


class Host:
    def __init__(self):
        self.view = view.FleetView()
        self.view.entry_nodes = 2
        self.backlog = backlog.ReportedBacklog(self.view)
        self.reported = work_reports.ReportedWork()
        self.known = {}
        self.events = 0

    def start(self, answer=100, target=TARGET, **cost):
        running = backlog.RunningRequest(
            target,
            work.Cost(1000, answer, **cost),
            ENGINE if target.model else None,
            lambda: self.events,
        )
        self.backlog.start(running)
        return running

    def report(self, totals):
        changes = self.reported.take_changes(self.backlog.take_report())
        work_reports.apply_changes(totals, self.known, changes)

    def apply(self, totals, is_whole=True):
        self.view.apply_frame(
            fleet_pb2.FleetFrame(
                is_leader=True,
                is_whole=is_whole,
                remaining_work_ms=dict(totals.totals),
            )
        )

    def remaining(self, target=TARGET):
        return self.backlog.find_remaining_ms(target)


def run(check):
    async def work_on_loop():
        await check()

    virtual_time.run(work_on_loop())


# Guards against work that stays at its first estimate while events arrive.
def test_own_events_reduce_the_work():
    async def check():
        host = Host()
        running = host.start(answer=100)
        at_start = host.remaining()
        host.events = 1
        reading_done = host.remaining()
        host.events = 20
        assert at_start == pytest.approx(100 + 100 * 3.0)
        assert reading_done == pytest.approx(96 * 3.0)
        assert host.remaining() == pytest.approx(30 * 0.8 * 3.0, rel=0.2)
        host.backlog.end(running)
        host.backlog.end(running)
        assert host.remaining() == 0

    run(check)


# Guards against an answer that counts as done because it is longer than it
# was estimated.
def test_answer_longer_than_estimated_still_counts():
    async def check():
        host = Host()
        host.start(answer=10)
        host.events = 100
        assert host.remaining() > 100
        plain = host.start(target=PLAIN, slot_ms=50.0)
        await asyncio.sleep(1)
        assert plain.find_remaining_ms() >= 100

    run(check)


# Guards against own requests that count twice, once here and once in the sum
# that the leader sends back late.
def test_late_frame_does_not_count_own_work_twice():
    async def check():
        totals = load_totals.LoadTotals()
        host, other = Host(), Host()
        host.start(answer=100)
        other.start(answer=300)
        other.report(totals)
        host.report(totals)
        await asyncio.sleep(0.8)
        host.events = 1
        host.apply(totals)
        own = host.backlog.find_own_ms(TARGET.load_key)
        assert host.remaining() == pytest.approx(own + 1000, abs=20)

    run(check)


# Guards against work that is never withdrawn: a host that starts again reports
# anew, and the sum keeps nothing of its last run.
def test_host_that_restarts_leaves_no_work_behind():
    async def check():
        totals = load_totals.LoadTotals()
        host, other = Host(), Host()
        host.start()
        host.report(totals)
        # The publisher does this when a watcher's stream ends.
        totals.replace(host.known, {})
        restarted = Host()
        restarted.report(totals)
        other.apply(totals)
        assert other.remaining() == 0
        assert restarted.remaining() == 0
        # A host whose stream is new, and not its process, tells everything.
        host.reported.start_stream()
        host.known = {}
        host.report(totals)
        assert totals.totals[TARGET.load_key] == 400

    run(check)


# Guards against reports that repeat what has not changed, and against work
# that stays in the sum after the last request has ended.
def test_reports_tell_changes_only():
    async def check():
        totals = load_totals.LoadTotals()
        host = Host()
        running = host.start()
        first = host.reported.take_changes(host.backlog.take_report())
        second = host.reported.take_changes(host.backlog.take_report())
        host.backlog.end(running)
        last = host.reported.take_changes(host.backlog.take_report())
        assert (first, second, last) == ({'group-1': 400}, {}, {'group-1': 0})
        work_reports.apply_changes(totals, host.known, first)
        work_reports.apply_changes(totals, host.known, last)
        assert not totals.totals
        assert not host.known

    run(check)


# Guards against reports and sums of any size.
def test_reports_are_bounded(monkeypatch):
    monkeypatch.setattr(backlog, 'MAX_REPORTED', 5)
    monkeypatch.setattr(work_reports, 'MAX_TARGETS', 3)

    async def check():
        host, totals, known = Host(), load_totals.LoadTotals(), {}
        for i in range(20):
            target = targets.Target(f'w-{i}', f'w-{i}', '', 'north', 1)
            host.start(target=target, slot_ms=1000.0 + 100 * i)
        report = host.backlog.take_report()
        assert set(report) == {f'w-{i}' for i in range(15, 20)}
        work_reports.apply_changes(totals, known, report)
        assert len(known) == len(totals.totals) == 3
        bad = {'a': float('nan'), 'b': float('inf'), 'c': -5.0}
        work_reports.apply_changes(totals, known, bad)
        assert not totals.totals.keys() & bad.keys()

    run(check)


# Guards against an estimate of unreported work that grows without frames
# beyond all that is known, and one that is zero while hosts send.
def test_unreported_work_grows_with_the_age_of_the_frame():
    async def check():
        host = Host()
        host.apply(load_totals.LoadTotals())
        for _ in range(20):
            host.start()
            await asyncio.sleep(0.1)
        host.apply(load_totals.LoadTotals())
        fresh = host.backlog.estimate_unreported_ms('big')
        await asyncio.sleep(0.4)
        later = host.backlog.estimate_unreported_ms('big')
        await asyncio.sleep(60)
        assert 0 < fresh < later
        assert host.backlog.estimate_unreported_ms('big') < fresh

    run(check)
