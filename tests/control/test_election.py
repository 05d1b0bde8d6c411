"""Votes and leases, each mechanism by itself."""

import asyncio

import pytest

from filbertglade.inner import agreement_grpc
from filbertglade.inner import agreement_pb2
from tests.control import cluster


def test_lost_disk_neither_votes_nor_counts():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            keeper, absent = await group.followers()
            group.network.isolate(absent.name, group.names)
            await cluster.submit(leader, cluster.put(1))
            await leader.stop()
            await keeper.stop()
            keeper.disk.wipe()
            await keeper.start()
            group.network.heal()
            # These two would be a majority, but neither has the change.
            await group.pass_time(30)
            assert not group.acting_leaders
            assert keeper.agreement.status().role == 'learner'
            await leader.start()
            await group.leader()
            await group.wait_until(lambda: is_listed(group, keeper))
            await group.catch_up()
            for node in group.up:
                assert node.state.configuration.current.number == 1
            # Once exchanged it counts: with it alone the others can go.
            await group.pass_time(1)
            await leader.stop()
            await cluster.submit(await group.leader(), cluster.put(2))

    cluster.run(scenario())


def is_listed(group, node):
    incarnation = node.disk.identity.incarnation
    return all(
        other.state.voters.incarnations.get(node.name) == incarnation
        for other in group.up
    )


def test_founders_are_never_taken_for_later_folders():
    """A folder marked as founding again counts no more than any other."""

    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            keeper, absent = await group.followers()
            group.network.isolate(absent.name, group.names)
            await cluster.submit(leader, cluster.put(1))
            await leader.stop()
            await keeper.stop()
            keeper.disk.wipe()
            keeper.disk.mark_founding(keeper.name)
            await keeper.start()
            group.network.heal()
            await group.pass_time(30)
            assert not group.acting_leaders

    cluster.run(scenario())


def test_returned_old_folder_outvotes_nobody():
    """While an exchange may be committed, both majorities are needed."""

    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            witness, changed = await group.followers()
            await changed.stop()
            old = changed.disk
            changed.disk = type(old)(
                incarnation_count=old.incarnation_count, write_s=old.write_s
            )
            await changed.start()
            await until_closely(
                lambda: (
                    leader.state.voters.incarnations[changed.name]
                    == changed.disk.identity.incarnation
                )
            )
            # The witness has the exchange, but not that it is committed.
            group.network.isolate(witness.name, group.names)
            assert witness.agreement.status().applied_index < (
                witness.agreement.status().last_index
            )
            await cluster.submit(leader, cluster.put(1))
            await leader.stop()
            await changed.stop()
            changed.disk = old
            await changed.start()
            group.network.heal()
            await group.pass_time(30)
            assert not group.acting_leaders

    cluster.run(scenario())


async def until_closely(condition):
    async with asyncio.timeout(60):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.0001)


def test_no_vote_while_the_leader_is_heard():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            term = leader.agreement.status().term
            cut_off, _ = await group.followers()
            group.network.cut(leader.name, cut_off.name)
            await group.pass_time(30)
            assert group.acting_leaders == [leader]
            group.network.heal()
            await group.pass_time(5)
            # Nor does it disturb when it is back.
            assert group.acting_leaders == [leader]
            assert leader.agreement.status().term == term
            assert leader.acting_log == [True]

    cluster.run(scenario())


@pytest.mark.parametrize('seed', range(8))
def test_lease_counts_from_the_sending(seed):
    async def scenario():
        async with cluster.Cluster(3, seed=seed, lease_ms=980) as group:
            leader = await group.leader()
            await group.catch_up()
            for other in group.names:
                group.network.link(leader.name, other).delay_s = 0.35
            # Replies come 700 ms after their heartbeats were sent.
            await group.pass_time(5)
            assert group.acting_leaders == [leader]
            for other in await group.followers():
                link = group.network.link(leader.name, other.name)
                link.passes_requests = False
                group.network.link(other.name, leader.name).cut()
            await until_closely_one_acts(group, leader)

    cluster.run(scenario())


async def until_closely_one_acts(group, former):
    """Let another node act; at no moment may two."""
    async with asyncio.timeout(60):
        while group.acting_leaders in ([], [former]):  # noqa: ASYNC110
            await asyncio.sleep(0.001)
    group.check()


def test_leader_without_a_quorum_stops_within_its_lease():
    async def scenario():
        async with cluster.Cluster(5) as group:
            leader = await group.leader()
            await group.catch_up()
            group.network.isolate(leader.name, group.names)
            await group.pass_time(0.91)
            assert not leader.agreement.is_leader
            assert leader.agreement.lease_remaining_ms() == 0
            assert leader.acting_log == [True, False]
            await group.wait_until(lambda: group.acting_leaders, limit_s=3)

    cluster.run(scenario())


def test_vote_outlives_a_restart():
    async def scenario():
        async with cluster.Cluster(3) as group:
            await group.leader()
            await group.catch_up()
            voter = (await group.followers())[0]
            for node in group.up:
                if node is not voter:
                    await node.stop()
            await group.pass_time(5)
            term = voter.agreement.status().term + 1
            assert (await ask(voter, 'two', term)).granted
            assert (await ask(voter, 'two', term)).granted
            await voter.restart()
            # It may have heard a leader just before.
            early = await ask(voter, 'three', term)
            assert early.reason == 'heard a leader lately'
            await group.pass_time(1.01)
            late = await ask(voter, 'three', term)
            assert late.reason == 'voted for another'

    cluster.run(scenario())


def test_vote_that_was_not_saved_is_not_answered():
    async def scenario():
        async with cluster.Cluster(3) as group:
            await group.leader()
            voter = (await group.followers())[0]
            for node in group.up:
                if node is not voter:
                    await node.stop()
            await group.pass_time(5)
            voter.disk.fails_writes = True
            term = voter.agreement.status().term + 1
            assert not (await ask(voter, 'two', term)).granted
            assert voter.agreement.status().role == 'halted'

    cluster.run(scenario())


async def ask(voter, candidate, term):
    request = agreement_pb2.VoteRequest(
        term=term, candidate=candidate, last_index=99, last_term=term
    )
    return await voter.agreement.servicer._elector.vote(request)


def test_earlier_terms_are_not_committed_by_counting():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            await cluster.submit(leader, cluster.put(1))
            leading = leader.agreement._voter.leadership
            group.network.isolate(leader.name, group.names)
            before = leader.agreement.status().committed_index
            work = asyncio.create_task(
                leader.local.submit(cluster.put(2), 100)
            )
            await asyncio.sleep(0.05)
            # As if the record were of the term before this leader's.
            leading._term += 1
            for replicator in leading.replicators:
                replicator.match_index = before + 1
            leading.note_progress()
            assert leader.agreement.status().committed_index == before
            leading._term -= 1
            leading.note_progress()
            assert leader.agreement.status().committed_index == before + 1
            await work

    cluster.run(scenario())


def test_refused_writes_acknowledge_nothing():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            full, other = await group.followers()
            full.disk.fails_writes = True
            await cluster.submit(leader, cluster.put(1))
            await group.wait_until(
                lambda: full.agreement.status().role == 'halted'
            )
            # Alone with the halted one the leader commits nothing.
            await other.stop()
            result = await leader.local.submit(cluster.put(2), 5000)
            assert not result
            assert result.may_have_applied
            full.disk.fails_writes = False
            await full.restart()
            await group.leader()
            await group.catch_up()
            assert full.state.configuration.current.number >= 1

    cluster.run(scenario())


def test_leader_whose_disk_fails_gives_way():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await cluster.submit(leader, cluster.put(1))
            leader.disk.fails_writes = True
            await leader.local.submit(cluster.put(2), 1000)
            await group.wait_until(
                lambda: (
                    group.acting_leaders
                    and group.acting_leaders[0] is not leader
                )
            )
            assert leader.agreement.status().role == 'halted'
            follower = group.acting_leaders[0]
            number = follower.state.configuration.current.number
            await cluster.submit(follower, cluster.put(number + 1))

    cluster.run(scenario())


def test_voters_that_all_restart_elect_without_waiting_for_leases():
    """No process is left that could hold one."""

    async def scenario():
        async with cluster.Cluster(5, election_ms=2000, lease_ms=1500) as (
            group
        ):
            await group.leader()
            await group.catch_up()
            await group.stop()
            for node in group.nodes.values():
                await node.start()
            started = asyncio.get_running_loop().time()
            await group.leader()
            waited_s = asyncio.get_running_loop().time() - started
            assert waited_s < 1.5

    cluster.run(scenario())


def test_restarted_voters_wait_for_the_lease_of_a_voter_they_cannot_ask():
    """The leader may go on to act by it, cut off from those that restart."""

    async def scenario():
        async with cluster.Cluster(5, election_ms=2000, lease_ms=1500) as (
            group
        ):
            leader = await group.leader()
            await group.catch_up()
            group.network.isolate(leader.name, group.names)
            for node in await group.followers():
                await node.restart()
            # Each has forgotten what it has promised to the leader.
            for _ in range(14):
                await group.pass_time(0.1)
                assert group.acting_leaders in ([leader], [])

    cluster.run(scenario())


def test_early_candidate_gets_no_vote_of_one_that_heard_a_leader():
    async def scenario():
        async with cluster.Cluster(3) as group:
            await group.leader()
            await group.catch_up()
            keeper, other = await group.followers()
            status = other.agreement.status()
            request = agreement_pb2.VoteRequest(
                term=status.term + 1,
                candidate=other.name,
                incarnation=other.disk.identity.incarnation,
                last_index=status.last_index,
                last_term=status.term,
                pre_vote=True,
                unled=True,
            )
            reply = await ask_vote(group, other, keeper, request)
            assert not reply.granted
            assert not reply.unled

    cluster.run(scenario())


async def ask_vote(group, candidate, voter, request):
    place = group.names.index(voter.name)
    channel = candidate.channels.open_channel(f'127.0.0.1:{9000 + place}')
    try:
        return await agreement_grpc.AgreementStub(channel).Vote(request)
    finally:
        channel.close()
