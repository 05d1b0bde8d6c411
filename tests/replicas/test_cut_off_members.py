"""Load: engines are cut off from the leader while their groups answer.

On the day scale-1 of semvymena-large, an eighth of all engines was cut off
for 5 s while requests still reached them. The leader called them lost and
formed 188 groups anew where 82 stood.
"""

import asyncio

import pytest

from filbertglade.inner import fleet_pb2
from tests.replicas import virtual_engines
from tests import virtual_time

DOMAINS = 2
ENGINES = 48
CUT_EVERY = 8
CUT_S = 5.0
# Interval between two reports of hosts, as with hundreds of them.
REPORT_S = 0.4
# Time without an announcement after which an endpoint counts as lost, with
# a pass of the control loop.
SILENCE_S = 1.7 * virtual_engines.ANNOUNCE_S + 0.1
# Longest time until a lost member of a suspected group counts as lost.
SUSPECTED_LOSS_S = 0.4


async def wait_until(condition):
    async with asyncio.timeout(60):
        while True:
            if condition():
                return
            await asyncio.sleep(0.001)


class Fleet(virtual_engines.Leader):
    """A leader's groups, their engines, and hosts that send requests.

    :ivar engines: the engines.
    :ivar replicas: the leader's controller.
    :ivar crashed: ids of engines that have crashed.
    """

    def __init__(self):
        super().__init__(DOMAINS, large=8, small=4)
        self.replicas.has_traffic = True
        self.crashed = set()

    def list_groups(self):
        return [
            record
            for record in self.agreed.replicas.records.values()
            if not record.is_spare
        ]

    def count_serving(self):
        return sum(map(self.replicas.observed.is_serving, self.list_groups()))

    async def form_groups(self):
        self.replicas.start()
        for number in range(ENGINES):
            self.engines.appear(number)
        await wait_until(
            lambda: 0 < len(self.list_groups()) == self.count_serving()
        )
        # Spares are staged and have joined groups of their own.
        await asyncio.sleep(5.0)

    def report_answers(self):
        """Report an event of each group whose members have not crashed."""
        self.replicas.answering.note(
            [
                fleet_pb2.AnsweringReplica(
                    group=record.group, epoch=record.epoch, age_ms=20
                )
                for record in self.list_groups()
                if not any(
                    key.partition('@')[0] in self.crashed
                    for key in record.endpoints
                )
            ]
        )

    async def answer_for(self, duration_s):
        """Let groups answer; return the smallest number that served."""
        least = len(self.list_groups())
        for _ in range(round(duration_s / REPORT_S)):
            self.report_answers()
            await asyncio.sleep(REPORT_S)
            least = min(least, self.count_serving())
        return least

    def crash(self, *ids):
        self.engines.cut_off.update(ids)
        self.crashed.update(ids)

    def is_silent(self, key):
        return self.registry.entries[key].endpoint.silent


def run(check):
    async def main():
        fleet = Fleet()
        await fleet.form_groups()
        await check(fleet)
        await fleet.close()

    virtual_time.run(main())


def test_groups_that_answer_stay_together_while_members_are_cut_off():
    async def check(fleet):
        formed = fleet.list_groups()
        fleet.engines.cut_off.update(
            f'i-{number}' for number in range(0, ENGINES, CUT_EVERY)
        )
        least = await fleet.answer_for(CUT_S)
        fleet.engines.cut_off.clear()
        await fleet.answer_for(CUT_S)
        assert fleet.list_groups() == formed
        assert least == len(formed)

    run(check)


def test_suspected_groups_that_answer_stay_together():
    async def check(fleet):
        formed = fleet.list_groups()
        for record in formed:
            fleet.engines.cut_off.add(record.endpoints[1].partition('@')[0])
        await asyncio.sleep(0.01)
        for record in formed:
            fleet.replicas.handle_suspicion(
                fleet_pb2.Suspicion(group=record.group, epoch=record.epoch),
                'host',
            )
        await asyncio.sleep(0.1)
        fleet.report_answers()
        assert await fleet.answer_for(1.2) == len(formed)
        assert fleet.list_groups() == formed

    run(check)


# An event is at most as old as the crash, so it delays nothing.
@pytest.mark.parametrize('after_s', [0.0, 0.3, 0.6, 0.9, 1.19])
def test_a_member_that_crashes_counts_as_lost_as_soon_as_without_events(
    after_s,
):
    async def check(fleet):
        await fleet.answer_for(REPORT_S)
        key = fleet.list_groups()[0].endpoints[1]
        known = fleet.registry.entries[key]
        announced_ms = known.last_announced_ms
        await wait_until(lambda: known.last_announced_ms > announced_ms)
        heard_s = asyncio.get_running_loop().time()
        await asyncio.sleep(after_s)
        fleet.report_answers()
        fleet.crash(key.partition('@')[0])
        await wait_until(lambda: fleet.is_silent(key))
        silent_s = asyncio.get_running_loop().time() - heard_s
        assert silent_s <= SILENCE_S + 0.02

    run(check)


def test_a_suspected_member_that_crashes_is_found_despite_earlier_events():
    async def check(fleet):
        record = fleet.list_groups()[0]
        key = record.endpoints[1]
        fleet.report_answers()
        fleet.crash(key.partition('@')[0])
        await asyncio.sleep(0.25)
        fleet.replicas.handle_suspicion(
            fleet_pb2.Suspicion(group=record.group, epoch=record.epoch), 'host'
        )
        await asyncio.sleep(SUSPECTED_LOSS_S)
        assert fleet.is_silent(key)

    run(check)


def test_events_of_an_earlier_epoch_show_nothing():
    async def check(fleet):
        record = fleet.list_groups()[0]
        fleet.replicas.answering.note(
            [
                fleet_pb2.AnsweringReplica(
                    group=record.group, epoch=record.epoch - 1
                )
            ]
        )
        assert not any(
            map(fleet.replicas.answering.is_taking_part, record.endpoints)
        )

    run(check)
