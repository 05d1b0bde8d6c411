"""Stateful tests of voters under crashes, lost disks and bad links."""

import asyncio

import async_solipsism
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from filbertglade.control import failures
from filbertglade.control import send_window
from filbertglade.inner import commands_pb2
from tests.control import cluster

Verdict = commands_pb2.ConfigurationResult
CLAIM_KEYS = 3
TIMES_MS = strategies.sampled_from((0, 30, 200, 800, 1500, 4000))
KEPT_MS = 100_000_000


class VoterMachine(stateful.RuleBasedStateMachine):
    """Applies random faults and commands, and checks the invariants."""

    count = 3

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        asyncio.set_event_loop(self.loop)
        self.group = cluster.Cluster(
            self.count, snapshot_entries=8, heartbeat_ms=100
        )
        self.run(self.group.start())
        self.tasks = []
        self.watchers = []
        self.change_count = 0
        # Change identity by number, of all changes reported as accepted.
        self.accepted = {}
        self.claimed = {}

    def run(self, coroutine):
        return self.loop.run_until_complete(asyncio.wait_for(coroutine, 300))

    def pick(self, place):
        return self.group.nodes[self.group.names[place % self.count]]

    @stateful.initialize(founded=strategies.booleans())
    def begin(self, founded):
        if founded:
            self.run(self.group.leader())

    # Commands

    @stateful.rule(place=strategies.integers(0, 6))
    def change_configuration(self, place):
        node = self.pick(place)
        if node.is_up:
            self.tasks.append(self.loop.create_task(self._change(node)))
            self.run(self.group.pass_time(0.02))

    async def _change(self, node):
        self.change_count += 1
        change_id = f'change-{self.change_count}'
        number = node.state.configuration.current.number + 1
        command = cluster.put(number, change_id)
        result = await node.local.submit(command, 3000)
        if isinstance(result, failures.SubmitFailure):
            return
        verdict = result.configuration.verdict
        if verdict == Verdict.ACCEPTED:
            assert self.accepted.setdefault(number, change_id) == change_id

    @stateful.rule(
        place=strategies.integers(0, 6),
        key=strategies.integers(0, CLAIM_KEYS - 1),
    )
    def take_claim(self, place, key):
        node = self.pick(place)
        if node.is_up:
            work = self._claim(node, f'key-{key}')
            self.tasks.append(self.loop.create_task(work))

    async def _claim(self, node, key):
        self.change_count += 1
        attempt = f'attempt-{self.change_count}'
        change = commands_pb2.ClaimChange(
            customer='c', key=key, attempt=attempt, kept_ms=KEPT_MS
        )
        command = commands_pb2.Command(
            claim_changes=commands_pb2.ClaimChanges(changes=[change])
        )
        result = await node.local.submit(command, 3000)
        if isinstance(result, failures.SubmitFailure):
            return
        if result.claims.results[0].verdict == 0:
            assert self.claimed.setdefault(key, attempt) == attempt

    @stateful.rule(milliseconds=TIMES_MS)
    def pass_time(self, milliseconds):
        self.run(self.group.pass_time(milliseconds / 1000))

    @stateful.rule(milliseconds=TIMES_MS, place=strategies.integers(0, 6))
    def change_often(self, milliseconds, place):
        for _ in range(5):
            self.change_configuration(place)
            self.pass_time(milliseconds / 5)

    # Faults

    @stateful.rule(place=strategies.integers(0, 6))
    def crash(self, place):
        self.run(self.pick(place).stop())

    @stateful.rule(
        place=strategies.integers(0, 6), stops=strategies.booleans()
    )
    def hand_over(self, place, stops):
        node = self.pick(place)
        if node.is_up:
            self.tasks.append(
                self.loop.create_task(self._hand_over(node, stops))
            )

    async def _hand_over(self, node, stops):
        ending = node.agreement
        await ending.transfer_leadership()
        if stops and node.agreement is ending:
            await node.stop()

    @stateful.rule(
        place=strategies.integers(0, 6),
        writes=strategies.integers(1, 6),
        stays=strategies.booleans(),
    )
    def crash_at_write(self, place, writes, stays):
        node = self.pick(place)
        if node.is_up:
            node.disk.writes_left = writes
            node.disk.last_write_stays = stays
            work = self._stop_when_crashed(node)
            self.watchers.append(self.loop.create_task(work))

    async def _stop_when_crashed(self, node):
        storage = node.storage
        await storage.crashed.wait()
        if node.storage is storage:
            await node.stop()

    @stateful.rule(place=strategies.integers(0, 6))
    def start(self, place):
        node = self.pick(place)
        if not node.is_up:
            node.disk.writes_left = None
            assert self.run(node.start()) is None

    @stateful.rule(place=strategies.integers(0, 6))
    def lose_disk(self, place):
        """Lose a disk, unless that would lose a quorum for good."""
        node = self.pick(place)
        others = [
            other
            for other in self.group.nodes.values()
            if other is not node and self._counts_durably(other)
        ]
        if len(others) <= self.count // 2:
            return
        self.run(node.stop())
        node.disk.wipe()
        assert self.run(node.start()) is None

    def _counts_durably(self, node):
        """Whether its folder is a voter's, and stored that durably."""
        table = self._committed_voters()
        return (
            node.disk.identity is not None
            and table.get(node.name) == node.disk.identity.incarnation
            and max(node.disk.committed_index, node.disk.point.index)
            >= self.group.last_voter_change
        )

    def _committed_voters(self):
        newest = max(
            self.group.up,
            key=lambda node: node.state.applied_index,
            default=None,
        )
        return newest.state.voters.incarnations if newest else {}

    @stateful.rule(
        source=strategies.integers(0, 6),
        other=strategies.integers(0, 6),
        requests=strategies.booleans(),
        replies=strategies.booleans(),
    )
    def cut_one_way(self, source, other, requests, replies):
        link = self.group.network.link(
            self.pick(source).name, self.pick(other).name
        )
        link.passes_requests = requests
        link.passes_replies = replies

    @stateful.rule(place=strategies.integers(0, 6))
    def isolate(self, place):
        self.group.network.isolate(self.pick(place).name, self.group.names)

    @stateful.rule(
        source=strategies.integers(0, 6),
        other=strategies.integers(0, 6),
        delay_ms=strategies.sampled_from((20, 200, 900)),
    )
    def delay(self, source, other, delay_ms):
        link = self.group.network.link(
            self.pick(source).name, self.pick(other).name
        )
        link.delay_s = delay_ms / 1000

    @stateful.rule(place=strategies.integers(0, 6))
    def reset_connections(self, place):
        self.group.network.reset(self.pick(place).name)

    @stateful.rule()
    def heal(self):
        self.group.network.heal()

    # Invariants

    @stateful.invariant()
    def at_most_one_leader_acts(self):
        self.run(self.group.pass_time(0.001))
        for task in [task for task in self.tasks if task.done()]:
            self.tasks.remove(task)
            task.result()

    def teardown(self):
        try:
            self.run(self._settle())
        finally:
            for task in self.tasks + self.watchers:
                task.cancel()
            self.run(self.group.stop())
            asyncio.set_event_loop(None)
            self.loop.close()

    async def _settle(self):
        """Repair everything; check that no accepted change is missing."""
        group = self.group
        group.network.heal()
        for node in group.nodes.values():
            node.disk.writes_left = None
            if node.storage.crashed.is_set():
                await node.stop()
            if not node.is_up:
                assert await node.start() is None
        await group.leader()
        await group.catch_up()
        for task in self.tasks:
            await task
        self.tasks.clear()
        await group.catch_up()
        await group.wait_until(self._all_exchanged)
        dumps = set()
        for node in group.up:
            table = node.state.configuration
            present = {
                change.number: change.change_id for change in table.history()
            }
            assert sorted(present) == list(range(1, table.current.number + 1))
            assert self.accepted.items() <= present.items()
            dumps.add(b''.join(node.state.dump()))
        assert len(dumps) == 1

    def _all_exchanged(self):
        table = self._committed_voters()
        return (
            all(
                table.get(node.name) == node.disk.identity.incarnation
                for node in self.group.up
            )
            and len({node.state.applied_index for node in self.group.up}) == 1
        )


class FiveVoterMachine(VoterMachine):
    count = 5


class SlowLinkMachine(VoterMachine):
    """Nearly every batch and chunk is sent in parts, over slow links."""

    @stateful.rule(
        place=strategies.integers(0, 6),
        rate=strategies.sampled_from((5_000, 50_000)),
    )
    def slow_down(self, place, rate):
        self.group.network.limit_rate(self.pick(place).name, rate)


@pytest.mark.parametrize(
    ('machine', 'examples'),
    [(VoterMachine, 100), (FiveVoterMachine, 50), (SlowLinkMachine, 100)],
)
def test_voters_agree_under_faults(machine, examples, monkeypatch):
    if machine is SlowLinkMachine:
        for bound in ('INITIAL', 'MINIMUM', 'LATE', 'MAXIMUM'):
            monkeypatch.setattr(send_window, f'{bound}_WINDOW_BYTES', 40)
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=60,
            # The explain phase traces every line, which is too slow here.
            phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
        ),
    )
