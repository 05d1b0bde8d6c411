"""Random orders of refused writes, lost disks, power losses and exchanges.

Five control hosts tolerate the loss of two disks at once. A lost disk counts
until its host is a voter again, and has had the time to catch up.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random

import pytest

from tests.control import cluster
from tests.control import test_refused_writes
from tests.control import test_seeded_voters

HOST_COUNT = 5
TOLERATED_LOSSES = 2
# Time for which a host that is back still counts as lost.
CATCH_UP_S = 4
# Within this time after the last fault a leader acts again, and every host is
# a voter that has all acknowledged changes.
RECOVERY_S = 12
STEPS = 14
CONTROL = {'snapshot_entries': 8, 'heartbeat_ms': 100}
WRITES = ('save_vote', 'append', 'truncate', 'compact', 'snapshot')
SEEDS = range(12)
# Pauses between two changes, in s. In a quiet time nothing is appended for
# longer than it takes a lost host to count again.
BUSY_PAUSES_S = (0.005, 0.1, 0.4)
QUIET_PAUSES_S = (0.1, 2, 7)


@dataclasses.dataclass(frozen=True)
class Failure:
    """What an order of faults broke.

    :param kind: what is missing: a leader, a change or a voter.
    :param roles: the roles of all hosts, sorted.
    """

    kind: str
    roles: tuple[str, ...]


class FixedGroup:
    """Control hosts that the settings list."""

    def __init__(self, seed):
        self._cluster = cluster.Cluster(HOST_COUNT, seed, **CONTROL)
        self.hosts = list(self._cluster.nodes.values())
        self.faults = self._cluster.faults

    async def start(self):
        await self._cluster.start()

    async def stop(self):
        await self._cluster.stop()

    async def start_host(self, host):
        assert await host.start() is None

    async def replace(self, host):
        """Return the host that replaces another; None if none can."""
        return None


class SeededGroup:
    """Control hosts that find each other through seeds."""

    def __init__(self, seed):
        self._fleet = test_seeded_voters.Fleet(HOST_COUNT, seed, **CONTROL)
        self.hosts = list(self._fleet.hosts.values())
        self.faults = []
        # Addresses can't be used again.
        self._used = {host.name for host in self.hosts}

    async def start(self):
        await self._fleet.start()

    async def stop(self):
        await self._fleet.stop()

    async def start_host(self, host):
        await host.start()

    async def replace(self, host):
        """Replace a host by one with another address, if there is one."""
        fleet = self._fleet
        addresses = test_seeded_voters.ADDRESSES
        unused = [name for name in addresses if name not in self._used]
        if not unused:
            return None
        self._used.add(unused[0])
        await host.stop()
        del fleet.hosts[host.name]
        new_host = test_seeded_voters.Host(fleet, unused[0])
        fleet.hosts[new_host.name] = new_host
        # Overlapping faults may stop it once it is listed.
        await new_host.start()
        self.hosts[self.hosts.index(host)] = new_host
        return new_host


class Scenario:
    """Draws faults from a seed, and checks what they broke.

    :param group: the control hosts.
    :param seed: seed of the faults.
    :param restarts_halted: whether a process whose voter halted is restarted
        once its disk takes writes again.
    :param pauses_s: pauses between two changes.
    """

    def __init__(
        self, group, seed, restarts_halted=False, pauses_s=BUSY_PAUSES_S
    ):
        self.group = group
        self.rng = random.Random(seed)
        self.restarts_halted = restarts_halted
        self.pauses_s = pauses_s
        self.is_quiet = False
        self.story = []
        self.failures = []
        self.changes = test_refused_writes.Changes(group)
        # Time from which the disk of a host doesn't count as lost any more;
        # infinite until the host is a voter again.
        self.lost_until_s = {}
        self.tasks = []
        # Held while a host is stopped and started.
        self.locks = collections.defaultdict(asyncio.Lock)

    async def run(self):
        await self.group.start()
        try:
            await self._run()
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for host in self.group.hosts:
                host.disk.writes_left = None
            await self.group.stop()
        return self.failures

    async def _run(self):
        if not await self._wait(self._all_are_voters, 60):
            self._fail('founding')
            return
        self._start(self._send_changes())
        self._start(self._watch())
        for _ in range(STEPS):
            action = self.rng.choice(
                (
                    self._pass_time,
                    self._pass_time,
                    self._refuse_writes,
                    self._refuse_writes,
                    self._restart,
                    self._lose_power_at_a_write,
                    self._lose_power,
                    self._lose_disks,
                    self._lose_disks,
                    self._hand_over,
                    self._replace,
                )
            )
            await action()
        await self._settle()
        if not self.failures:
            await self._lose_tolerated_disks()
            await self._settle()

    def _start(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.append(task)

    def _note(self, *words):
        at_s = asyncio.get_running_loop().time()
        self.story.append(f'{at_s:8.3f} ' + ' '.join(map(str, words)))

    def _fail(self, kind):
        roles = sorted(self._role(host) for host in self.group.hosts)
        self._note('failure:', kind, roles)
        self.failures.append(Failure(kind, tuple(roles)))

    def _role(self, host):
        if host.agreement is None:
            return 'down'
        return host.agreement.status().role

    @property
    def leader(self):
        for host in self.group.hosts:
            if host.agreement is not None and host.agreement.is_leader:
                return host
        return None

    async def _wait(self, condition, limit_s):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while not condition():
            if loop.time() >= end_s:
                return False
            await asyncio.sleep(0.02)
        return True

    # Changes

    async def _send_changes(self):
        while True:
            leader = self.leader
            if leader is not None and not self.is_quiet:
                await self.changes.send(leader, timeout_ms=1000)
            await asyncio.sleep(self.rng.choice(self.pauses_s))

    async def _watch(self):
        """Check leaders all the time, and count down lost disks."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.02)
            acting = [
                host
                for host in self.group.hosts
                if host.agreement is not None and host.agreement.is_leader
            ]
            if len(acting) > 1:
                self._fail('two leaders')
            for host, until_s in list(self.lost_until_s.items()):
                if until_s == float('inf') and self._counts(host):
                    self.lost_until_s[host] = loop.time() + CATCH_UP_S
                elif until_s <= loop.time():
                    del self.lost_until_s[host]
            for host in self.group.hosts:
                if (
                    self.restarts_halted
                    and self._role(host) == 'halted'
                    and not host.disk.refused
                    and not self.locks[host].locked()
                ):
                    self._note('restarts the halted', host.name)
                    async with self.locks[host]:
                        await host.stop()
                        await self.group.start_host(host)

    def _counts(self, host):
        """Whether the leader's applied table lists a host's disk."""
        leader = self.leader
        if leader is None or host.agreement is None:
            return False
        table = leader.state.voters.incarnations
        return (
            host.agreement.is_voter
            and table.get(host.name) == host.disk.identity.incarnation
        )

    # Faults

    async def _pass_time(self):
        await asyncio.sleep(self.rng.choice((0.05, 0.5, 2, 6)))

    async def _refuse_writes(self):
        host = self.rng.choice(self.group.hosts)
        kinds = frozenset(
            self.rng.sample(WRITES, self.rng.randint(1, len(WRITES)))
        )
        stays = self.rng.random() < 0.5
        for_s = self.rng.choice((0.05, 0.5, 3))
        self._note('refuses', host.name, sorted(kinds), stays, for_s)
        self._start(self._refuse(host, kinds, stays, for_s))

    async def _refuse(self, host, kinds, stays, for_s):
        host.disk.refused = kinds
        host.disk.refused_write_stays = stays
        await asyncio.sleep(for_s)
        host.disk.refused = frozenset()

    async def _restart(self):
        host = self.rng.choice(self.group.hosts)
        self._note('restarts', host.name)
        await self._stop_and_start([host])

    async def _lose_power(self):
        self._note('all lose power')
        await self._stop_and_start(self.group.hosts)

    async def _lose_power_at_a_write(self):
        host = self.rng.choice(self.group.hosts)
        disk = host.disk
        disk.last_write_stays = self.rng.random() < 0.5
        disk.writes_left = self.rng.randint(1, 4)
        self._note('loses power at a write', host.name, disk.writes_left)
        storage = host.storage
        await self._wait(storage.crashed.is_set, 2)
        await self._stop_and_start([host])

    async def _lose_disks(self):
        """Lose disks, just after a change was acknowledged."""
        count = self.rng.randint(1, TOLERATED_LOSSES)
        lost = self.rng.sample(self.group.hosts, count)
        if len({*lost, *self.lost_until_s}) > TOLERATED_LOSSES:
            await self._pass_time()
            return
        acknowledged = self.changes.acknowledged_version
        await self._wait(
            lambda: self.changes.acknowledged_version > acknowledged, 2
        )
        stopped = lost
        if self.rng.random() < 0.5:
            stopped = self.group.hosts
        self._note(
            'lose disks',
            [host.name for host in lost],
            'others lose power' if stopped is not lost else '',
        )
        await self._stop_and_start(stopped, lost)

    async def _stop_and_start(self, hosts, lost=()):
        async with contextlib.AsyncExitStack() as stack:
            # In one order: faults may overlap.
            for host in sorted(hosts, key=lambda host: host.name):
                await stack.enter_async_context(self.locks[host])
            # Others may have been replaced for good meanwhile.
            hosts = [host for host in hosts if host in self.group.hosts]
            lost = [host for host in lost if host in hosts]
            for host in hosts:
                await host.stop()
                host.disk.writes_left = None
            for host in lost:
                self.lost_until_s[host] = float('inf')
                host.disk.wipe()
            order = list(hosts)
            self.rng.shuffle(order)
            for host in order:
                await asyncio.sleep(self.rng.choice((0, 0.1, 0.4)))
                await self.group.start_host(host)

    async def _replace(self):
        """Replace a host for good by one with an empty disk."""
        host = self.rng.choice(self.group.hosts)
        if len({host, *self.lost_until_s}) > TOLERATED_LOSSES:
            return
        async with self.locks[host]:
            new_host = await self.group.replace(host)
        if new_host is not None:
            self._note('replaces', host.name, 'by', new_host.name)
            self.lost_until_s.pop(host, None)
            self.lost_until_s[new_host] = float('inf')

    async def _hand_over(self):
        leader = self.leader
        if leader is not None:
            self._note('hands over', leader.name)
            await leader.agreement.transfer_leadership()

    # The end

    async def _lose_tolerated_disks(self):
        """Exchange a voter, and lose as many disks as are tolerated.

        Nothing is appended in between; all or some hosts lose power at last.
        """
        await asyncio.sleep(CATCH_UP_S)
        self.is_quiet = True
        host = self.rng.choice(self.group.hosts)
        self._note('at the end loses a disk', host.name)
        await self._stop_and_start([host], [host])
        if not await self._wait(self._all_are_voters, RECOVERY_S):
            self._fail('not all hosts are voters')
        await asyncio.sleep(CATCH_UP_S)
        lost = self.rng.sample(self.group.hosts, TOLERATED_LOSSES)
        stopped = self.rng.choice((lost, self.group.hosts))
        self._note('then lose disks', [host.name for host in lost])
        await self._stop_and_start(stopped, lost)
        self.is_quiet = False

    async def _settle(self):
        for host in self.group.hosts:
            host.disk.refused = frozenset()
            host.disk.writes_left = None
        self._note('the last fault is over')
        loop = asyncio.get_running_loop()
        end_s = loop.time() + RECOVERY_S
        if not await self._wait(lambda: self.leader, RECOVERY_S):
            self._fail('no leader')
            return
        acknowledged = self.changes.acknowledged_version
        if not await self._wait(
            lambda: self.changes.acknowledged_version > acknowledged,
            end_s - loop.time(),
        ):
            self._fail('no change acknowledged')
        if not await self._wait(self._all_are_voters, end_s - loop.time()):
            self._fail('not all hosts are voters')
        if self.group.faults:
            self._fail(str(self.group.faults[0]))

    def _all_are_voters(self):
        """Whether all hosts are voters and have all acknowledged changes."""
        return all(
            self._counts(host) and self.changes.are_in_force_at(host)
            for host in self.group.hosts
        )


def play(group_type, seed, restarts_halted, pauses_s=BUSY_PAUSES_S):
    scenario = Scenario(group_type(seed), seed, restarts_halted, pauses_s)
    cluster.run(scenario.run())
    return scenario


def check_all(group_type, restarts_halted, pauses_s=BUSY_PAUSES_S):
    """Play all seeds; fail with what each one broke."""
    broken = {}
    for seed in SEEDS:
        scenario = play(group_type, seed, restarts_halted, pauses_s)
        if scenario.failures:
            broken[seed] = scenario
    assert not broken, '\n'.join(
        f'seed {seed}: {scenario.failures}\n' + '\n'.join(scenario.story)
        for seed, scenario in broken.items()
    )


# Guards against combinations of lost disks, refused writes, power losses and
# exchanges that end agreement or lose a change, though no more disks are lost
# at once than is tolerated.
@pytest.mark.parametrize('group_type', [FixedGroup, SeededGroup])
def test_tolerated_losses_in_any_order_are_survived(group_type):
    check_all(group_type, restarts_halted=False)


# The same for hosts whose halted voters are restarted by a supervisor: what is
# broken here has another cause than a voter that stays halted.
@pytest.mark.parametrize('group_type', [FixedGroup, SeededGroup])
def test_tolerated_losses_are_survived_if_halted_voters_are_restarted(
    group_type,
):
    check_all(group_type, restarts_halted=True)


# Guards against faults that only show where nothing is appended after them:
# what follows a fault would tell voters what they have missed.
@pytest.mark.parametrize('group_type', [FixedGroup, SeededGroup])
def test_tolerated_losses_in_quiet_times_are_survived(group_type):
    check_all(group_type, restarts_halted=False, pauses_s=QUIET_PAUSES_S)


# Guards against a replaced host that still counts in the voter table when its
# successor has had the time to catch up, so that two lost disks are one too
# many.
def test_two_lost_disks_after_a_host_was_replaced_do_not_end_agreement():
    async def work():
        group = SeededGroup(seed=1)
        scenario = Scenario(group, seed=1)
        await group.start()
        try:
            assert await scenario._wait(scenario._all_are_voters, 60)
            await asyncio.sleep(CATCH_UP_S)
            leader = scenario.leader
            followers = [host for host in group.hosts if host is not leader]
            await group.replace(followers[0])
            await asyncio.sleep(CATCH_UP_S + 0.1)
            assert scenario.leader is leader
            assert await scenario.changes.send(leader)
            await scenario._stop_and_start(followers[1:3], followers[1:3])
            # The leader's lease may outlast the losses.
            await asyncio.sleep(1)
            assert await scenario._wait(lambda: scenario.leader, RECOVERY_S)
            assert await scenario._wait(scenario._all_are_voters, RECOVERY_S)
        finally:
            await group.stop()

    cluster.run(work())


# Guards against survivors that don't know that an exchange before a loss of
# power was committed, and wait for a majority of the voters before it.
@pytest.mark.parametrize('seed', range(4))
def test_power_loss_in_a_quiet_time_after_an_exchange_does_not_end_agreement(
    seed,
):
    async def work():
        group = SeededGroup(seed)
        scenario = Scenario(group, seed)
        await group.start()
        try:
            assert await scenario._wait(scenario._all_are_voters, 60)
            leader = scenario.leader
            assert await scenario.changes.send(leader)
            followers = [host for host in group.hosts if host is not leader]
            await group.replace(followers[0])
            assert await scenario._wait(scenario._all_are_voters, RECOVERY_S)
            await asyncio.sleep(CATCH_UP_S)
            assert scenario.leader is leader
            await scenario._stop_and_start(group.hosts, [leader, followers[1]])
            assert await scenario._wait(lambda: scenario.leader, RECOVERY_S)
            assert await scenario._wait(scenario._all_are_voters, RECOVERY_S)
        finally:
            await group.stop()

    cluster.run(work())


async def wait_for_exchange(leader):
    """Wait until the leader has appended an exchange of voters."""
    leading = leader.agreement._voter.leadership
    append = leading._append_exchange
    appended = asyncio.Event()

    def append_and_note(*change):
        append(*change)
        appended.set()

    leading._append_exchange = append_and_note
    await appended.wait()


# Guards against an acknowledgement of a change that was committed together
# with an exchange of voters: without an entry that states that the exchange is
# committed, the survivors of two lost disks elect nobody.
@pytest.mark.parametrize('wait_s', [0, 0.001, 0.002, 0.003])
def test_change_acknowledged_during_an_exchange_survives_two_lost_disks(
    wait_s,
):
    async def work():
        group = SeededGroup(seed=1)
        scenario = Scenario(group, seed=1)
        await group.start()
        try:
            assert await scenario._wait(scenario._all_are_voters, 60)
            leader = scenario.leader
            followers = [host for host in group.hosts if host is not leader]
            await group.replace(followers[0])
            await wait_for_exchange(leader)
            await asyncio.sleep(wait_s)
            assert await scenario.changes.send(leader)
            await scenario._stop_and_start(group.hosts, [leader, followers[1]])
            assert await scenario._wait(lambda: scenario.leader, RECOVERY_S)
            assert await scenario._wait(scenario._all_are_voters, RECOVERY_S)
        finally:
            await group.stop()

    cluster.run(work())
