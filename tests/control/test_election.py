"""Votes and leases, one mechanism per test."""

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
            wiped, absent = await group.followers()
            group.network.isolate(absent.name, group.names)
            await cluster.submit(leader, cluster.put(1))
            await leader.stop()
            await wiped.stop()
            wiped.disk.wipe()
            await wiped.start()
            group.network.heal()
            # These two would be a majority, but neither holds the change.
            await group.pass_time(30)
            assert not group.acting_leaders
            assert wiped.agreement.status().role == 'learner'
            await leader.start()
            await group.leader()
            await group.wait_until(lambda: is_listed(group, wiped))
            await group.catch_up()
            for node in group.up:
                assert node.state.configuration.current.number == 1
            # With its new incarnation it counts, so the others have a
            # majority without the leader.
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


def test_refounded_folder_does_not_count():
    """Marking a wiped folder as founding again must not make it count.

    Otherwise it and a voter that lacks the change would be a majority.
    """

    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            wiped, absent = await group.followers()
            group.network.isolate(absent.name, group.names)
            await cluster.submit(leader, cluster.put(1))
            await leader.stop()
            await wiped.stop()
            wiped.disk.wipe()
            wiped.disk.mark_founding(wiped.name)
            await wiped.start()
            group.network.heal()
            await group.pass_time(30)
            assert not group.acting_leaders

    cluster.run(scenario())


def test_exchanged_folder_that_returns_forms_no_majority():
    """While an exchange may be committed, both majorities are needed.

    The old folder and the witness would be a majority of the table before the
    exchange, and neither holds the change.
    """

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
            await poll_until(
                lambda: (
                    leader.state.voters.incarnations[changed.name]
                    == changed.disk.identity.incarnation
                )
            )
            # The witness holds the exchange, but doesn't know that it is
            # committed.
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


async def poll_until(condition):
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
            # Its return must not depose the leader either.
            assert group.acting_leaders == [leader]
            assert leader.agreement.status().term == term
            assert leader.acting_log == [True]

    cluster.run(scenario())


@pytest.mark.parametrize('seed', range(8))
def test_lease_starts_when_the_heartbeat_is_sent(seed):
    async def scenario():
        async with cluster.Cluster(3, seed=seed, lease_ms=980) as group:
            leader = await group.leader()
            await group.catch_up()
            for other in group.names:
                group.network.link(leader.name, other).delay_s = 0.35
            # Replies arrive 700 ms after their heartbeats were sent.
            await group.pass_time(5)
            assert group.acting_leaders == [leader]
            for other in await group.followers():
                link = group.network.link(leader.name, other.name)
                link.passes_requests = False
                group.network.link(other.name, leader.name).cut()
            await poll_until_another_acts(group, leader)

    cluster.run(scenario())


async def poll_until_another_acts(group, former):
    """Wait until another node acts; two may never act together."""
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


def test_vote_survives_a_restart():
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
            assert (await request_vote_directly(voter, 'two', term)).granted
            assert (await request_vote_directly(voter, 'two', term)).granted
            await voter.restart()
            # Before the restart it may have acknowledged a leader.
            early = await request_vote_directly(voter, 'three', term)
            assert early.reason == 'heard a leader lately'
            await group.pass_time(1.01)
            late = await request_vote_directly(voter, 'three', term)
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
            assert not (
                await request_vote_directly(voter, 'two', term)
            ).granted
            assert voter.agreement.status().role == 'halted'

    cluster.run(scenario())


async def request_vote_directly(voter, candidate, term):
    request = agreement_pb2.VoteRequest(
        term=term, candidate=candidate, last_index=99, last_term=term
    )
    return await voter.agreement.servicer._elector.vote(request)


def test_entries_of_earlier_terms_are_not_committed_by_counting():
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
            # As if the entry were of the term before this leader's.
            leading._term += 1
            for replicator in leading.replicators:
                replicator.match_index = before + 1
            leading.advance_commit_index()
            assert leader.agreement.status().committed_index == before
            leading._term -= 1
            leading.advance_commit_index()
            assert leader.agreement.status().committed_index == before + 1
            await work

    cluster.run(scenario())


def test_failed_writes_are_not_acknowledged():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            failing, other = await group.followers()
            failing.disk.fails_writes = True
            await cluster.submit(leader, cluster.put(1))
            await group.wait_until(
                lambda: failing.agreement.status().role == 'halted'
            )
            # With only a halted follower the leader commits nothing.
            await other.stop()
            result = await leader.local.submit(cluster.put(2), 5000)
            assert not result
            assert result.may_have_applied
            failing.disk.fails_writes = False
            await failing.restart()
            await group.leader()
            await group.catch_up()
            assert failing.state.configuration.current.number >= 1

    cluster.run(scenario())


def test_leader_whose_disk_fails_steps_down():
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
    """No process that could hold a lease is left."""

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


def test_restarted_voters_wait_for_the_lease_of_an_unreachable_voter():
    """The isolated leader may act by the lease from before the restarts."""

    async def scenario():
        async with cluster.Cluster(5, election_ms=2000, lease_ms=1500) as (
            group
        ):
            leader = await group.leader()
            await group.catch_up()
            group.network.isolate(leader.name, group.names)
            for node in await group.followers():
                await node.restart()
            # Each has forgotten the lease that it gave to the leader.
            for _ in range(14):
                await group.pass_time(0.1)
                assert group.acting_leaders in ([leader], [])

    cluster.run(scenario())


def test_early_candidate_gets_no_vote_from_one_that_heard_a_leader():
    async def scenario():
        async with cluster.Cluster(3) as group:
            await group.leader()
            await group.catch_up()
            voter, other = await group.followers()
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
            reply = await request_vote(group, other, voter, request)
            assert not reply.granted
            assert not reply.unled

    cluster.run(scenario())


async def request_vote(group, candidate, voter, request):
    place = group.names.index(voter.name)
    channel = candidate.channels.open_channel(f'127.0.0.1:{9000 + place}')
    try:
        return await agreement_grpc.AgreementStub(channel).Vote(request)
    finally:
        channel.close()
