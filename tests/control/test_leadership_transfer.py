"""Leadership transfer: old and new leader never act at the same time."""

import asyncio

from filbertglade.inner import agreement_pb2
from tests.control import cluster

SLOW_S = 0.05


async def measure_leaderless_s(group, former):
    """Wait until another node acts; return for how long none did.

    Two may never act together.
    """
    loop = asyncio.get_running_loop()
    none_since_s = None
    async with asyncio.timeout(60):
        while group.acting_leaders in ([], [former]):  # noqa: ASYNC110
            if not group.acting_leaders and none_since_s is None:
                none_since_s = loop.time()
            await asyncio.sleep(0.001)
    group.check()
    return loop.time() - none_since_s


def slow_down(group, node, others):
    for other in others:
        if other != node.name:
            group.network.link(node.name, other).delay_s = SLOW_S
            group.network.link(other, node.name).delay_s = SLOW_S


def test_only_the_successor_leads_and_at_once():
    async def scenario():
        async with cluster.Cluster(5) as group:
            leader = await group.leader()
            await group.catch_up()
            term = leader.agreement.status().term
            # The old leader is the last to learn of the election.
            slow_down(group, leader, group.names)
            await group.pass_time(1)
            assert group.acting_leaders == [leader]
            ending = asyncio.create_task(
                leader.agreement.transfer_leadership()
            )
            assert await measure_leaderless_s(group, leader) < 4 * SLOW_S
            await ending
            successor = await group.leader()
            assert successor is not leader
            assert successor.agreement.status().term == term + 1
            await leader.stop()
            await cluster.submit(successor, cluster.put(1))

    cluster.run(scenario())


def test_pending_commands_are_committed_first():
    async def scenario():
        async with cluster.Cluster(5) as group:
            leader = await group.leader()
            await group.catch_up()
            # One follower has caught up long before the commit.
            followers = await group.followers()
            slow_down(group, leader, [node.name for node in followers[1:]])
            work = [
                asyncio.create_task(leader.agreement.submit(command, 5000))
                for command in (cluster.put(1), cluster.put(2))
            ]
            await asyncio.sleep(0)
            await leader.agreement.transfer_leadership()
            for number, task in enumerate(work, start=1):
                assert (await task).configuration.number == number
            refused = await leader.agreement.submit(cluster.put(3), 5000)
            assert not refused.may_have_applied

    cluster.run(scenario())


def test_a_voter_that_is_behind_is_not_chosen():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            behind, level = await group.followers()
            group.network.isolate(behind.name, group.names)
            await cluster.submit(leader, cluster.put(1))
            ending = asyncio.create_task(
                leader.agreement.transfer_leadership()
            )
            assert await measure_leaderless_s(group, leader) < 0.5
            assert group.acting_leaders == [level]
            await ending

    cluster.run(scenario())


def test_leader_keeps_its_lease_without_a_caught_up_voter():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            for other in await group.followers():
                link = group.network.link(leader.name, other.name)
                link.passes_requests = False
            work = asyncio.create_task(
                leader.agreement.submit(cluster.put(1), 5000)
            )
            await asyncio.sleep(0.01)
            term = leader.agreement.status().term
            ending = asyncio.create_task(
                leader.agreement.transfer_leadership()
            )
            await asyncio.sleep(0.3)
            assert group.acting_leaders == [leader]
            group.network.heal()
            await asyncio.gather(work, ending)
            await group.leader()
            assert term <= leader.agreement.status().term

    cluster.run(scenario())


def test_a_voter_takes_over_only_from_the_leader_of_its_term():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            follower = (await group.followers())[0]
            status = leader.agreement.status()
            elector = follower.agreement.servicer._elector
            for term, name in (
                (status.term - 1, leader.name),
                (status.term, follower.name),
            ):
                request = agreement_pb2.HandOverRequest(term=term, leader=name)
                assert not await elector.take_over(request)
            await group.pass_time(3)
            assert leader.acting_log == [True]

    cluster.run(scenario())


def test_a_late_vote_request_of_a_transfer_disturbs_no_later_leader():
    async def scenario():
        async with cluster.Cluster(3) as group:
            former = await group.leader()
            await group.catch_up()
            await former.agreement.transfer_leadership()
            leader = await group.leader()
            await group.catch_up()
            voter = (await group.followers())[0]
            request = agreement_pb2.VoteRequest(
                term=leader.agreement.status().term,
                candidate='late',
                last_index=99,
                last_term=99,
                handed_over=True,
            )
            reply = await voter.agreement.servicer._elector.vote(request)
            assert reply.reason == 'heard a leader lately'

    cluster.run(scenario())
