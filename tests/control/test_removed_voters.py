"""Voters that were removed while they were cut off, in virtual time."""

import asyncio
import types

import pytest

from filbertglade.control import joining
from filbertglade.control import removal
from tests.control import cluster
from tests.control import network
from tests.control import test_lost_disks
from tests.control import test_seeded_voters

# Longest time from the first contact until a removed host counts again, in s.
COUNTS_AGAIN_S = 6


def cut_outgoing(links, name, others):
    """Drop whatever a host sends; it still receives."""
    for other in others:
        if other != name:
            links.link(name, other).passes_requests = False
            links.link(other, name).passes_replies = False


class RemovedVoter:
    """Five voters, of which one was removed in place of a lost one.

    :ivar cut: the host that was cut off and removed.
    :ivar lost: the name of the host that is lost for good.
    """

    def __init__(self, seed):
        self.group = test_lost_disks.SeededGroup(seed)
        self.fleet = self.group._fleet
        self.scenario = test_lost_disks.Scenario(self.group, seed)

    async def wait(self, condition, limit_s):
        assert await self.scenario._wait(condition, limit_s)

    def voters(self):
        leader = self.scenario.leader
        return set(leader.state.voters.incarnations) if leader else set()

    async def __aenter__(self):
        await self.group.start()
        await self.wait(self.scenario._all_are_voters, 60)
        await asyncio.sleep(2)
        leader = self.scenario.leader
        followers = [host for host in self.group.hosts if host is not leader]
        self.cut = followers[0]
        self.lost = followers[1].name
        cut_outgoing(
            self.fleet.network, self.cut.name, test_seeded_voters.ADDRESSES
        )
        await asyncio.sleep(0.05)
        await self.group.replace(followers[1])
        await self.wait(lambda: self.cut.name not in self.voters(), 5)
        assert self.lost in self.voters()
        return self

    async def __aexit__(self, *error):
        await self.group.stop()


# Guards against a voter that was removed while it was cut off, and that takes
# itself for a voter: with it and the lost host that it was removed in place
# of, two lost disks were one too many, and a document was lost.
@pytest.mark.parametrize('seed', range(4))
def test_removed_voter_counts_again_before_two_disks_are_lost(seed):
    async def work():
        async with RemovedVoter(seed) as removed:
            scenario = removed.scenario
            removed.fleet.network.heal()
            await removed.wait(
                lambda: removed.cut.name in removed.voters(), COUNTS_AGAIN_S
            )
            names = {host.name for host in removed.group.hosts}
            assert removed.voters() == names
            assert await scenario.changes.send(scenario.leader)
            holders = [
                host for host in removed.group.hosts if host is not removed.cut
            ]
            await scenario._stop_and_start(removed.group.hosts, holders[:2])
            await removed.wait(
                lambda: scenario.leader, test_lost_disks.RECOVERY_S
            )
            await removed.wait(
                scenario._all_are_voters, test_lost_disks.RECOVERY_S
            )

    cluster.run(work())


def reach_only(removed, other):
    """Let the cut host reach one other host, and be reached by it."""
    links, cut = removed.fleet.network, removed.cut
    links.isolate(cut.name, test_seeded_voters.ADDRESSES)
    links.mend(cut.name, other.name)


# Guards against a removed voter that only the leader can tell of its removal.
@pytest.mark.parametrize('has_restarted', [False, True])
def test_followers_tell_of_a_removal(has_restarted, log_lines):
    async def work():
        async with RemovedVoter(seed=1) as removed:
            cut, leader = removed.cut, removed.scenario.leader
            assert not cut.agreement.must_join
            follower = next(
                host
                for host in removed.group.hosts
                if host not in (cut, leader)
                and host.name in cut.state.voters.incarnations
            )
            if has_restarted:
                await cut.stop()
                await cut.start()
            reach_only(removed, follower)
            # It asks for votes within two election time-outs.
            await removed.wait(
                lambda: cut.agreement.status().is_removed, 2 * 0.7 + 0.1
            )
            assert cut.agreement.must_join
            removed.fleet.network.heal()
            await removed.wait(
                lambda: cut.name in removed.voters(), COUNTS_AGAIN_S
            )
            assert not cut.agreement.status().is_removed

    cluster.run(work())
    lines = [
        line
        for line in log_lines
        if line['message_type'] == 'voter.removal_learned'
    ]
    assert len(lines) == 1
    assert lines[0]['voters_index'] > lines[0]['applied_index']


# Guards against a host that asks to join and takes the place of a voter that
# is heard from.
def test_removed_voter_waits_while_all_voters_are_heard_from():
    async def work():
        fleet = test_seeded_voters.Fleet(6)
        await fleet.start()
        try:
            await fleet.wait_for_all_voters()
            await asyncio.sleep(2)
            leader = fleet.acting_leaders[0].name
            cut = next(name for name in fleet.voters() if name != leader)
            cut_outgoing(fleet.network, cut, fleet.hosts)
            await fleet.until(lambda: cut not in fleet.voters(), 5)
            kept = fleet.voters()
            fleet.network.heal()
            await fleet.until(lambda: fleet.hosts[cut].agreement.must_join, 2)
            for _ in range(200):
                await asyncio.sleep(0.1)
                assert fleet.voters() == kept
        finally:
            await fleet.stop()

    cluster.run(work())


# Guards against replies to join requests that don't tell of a removal, and
# requests that don't tell the host that is asked.
def test_join_requests_and_replies_name_the_voters():
    noted = []
    voters = types.SimpleNamespace(
        must_join=True,
        note_voters=lambda *voters: noted.append(voters),
        voter_names=['other'],
        voters_index=1000,
    )
    name = test_seeded_voters.ADDRESSES[6]

    async def work():
        fleet = test_seeded_voters.Fleet(5)
        await fleet.start()
        try:
            await fleet.wait_for_all_voters()
            fleet.network.ports[name] = 0
            addresses = {host: host for host in fleet.hosts}
            links = network.Channels(fleet.network, name, addresses)
            joiner = joining.Joiner(name, voters, lambda: addresses, links)
            task = asyncio.create_task(joiner.run())
            await asyncio.sleep(0.5)
            task.cancel()
            for host in fleet.hosts.values():
                assert host.agreement.status().is_removed
            return fleet.voters()
        finally:
            await fleet.stop()

    names = cluster.run(work())
    assert len(noted) == 5
    for index, listed, _ in noted:
        assert index > 0
        assert set(listed) == names


# Guards against old tables that undo what a newer one or the own log says.
def test_newest_voter_table_decides():
    learned = removal.LearnedRemoval()
    learned.note(0, False)
    assert not learned.is_removed(0)
    learned.note(9, False)
    learned.note(8, True)
    assert learned.is_removed(8)
    assert not learned.is_removed(9)
    learned.note(10, True)
    learned.note(9, False)
    assert not learned.is_removed(8)
