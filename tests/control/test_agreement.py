"""Elections, commits and restarts of a cluster."""

import pytest

from filbertglade.control import failures
from tests.control import cluster


@pytest.mark.parametrize('count', [1, 3, 5])
def test_commits_and_applies_everywhere(count):
    async def scenario():
        async with cluster.Cluster(count) as group:
            leader = await group.leader()
            for number in range(1, 11):
                result = await cluster.submit(leader, cluster.put(number))
                assert result.configuration.verdict == 0
            await group.catch_up()
            for node in group.up:
                assert node.state.configuration.current.number == 10
                assert node.agreement.leader == leader.name
                assert node.agreement.leader_age_ms() < 300

    cluster.run(scenario())


def test_follower_forwards_commands():
    async def scenario():
        async with cluster.Cluster(3) as group:
            follower = (await group.followers())[0]
            await cluster.submit(follower, cluster.put(1))
            direct = await follower.agreement.submit(cluster.put(2), 1000)
            assert isinstance(direct, failures.SubmitFailure)
            assert direct.reason is failures.SubmitReason.NO_LEADER
            assert not direct.may_have_applied

    cluster.run(scenario())


def test_all_restart_from_their_logs():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            for number in range(1, 21):
                await cluster.submit(leader, cluster.put(number))
            for node in group.up:
                await node.stop()
            for node in group.nodes.values():
                await node.start()
            await group.leader()
            await group.catch_up()
            for node in group.up:
                assert node.state.configuration.current.number == 20

    cluster.run(scenario())


def test_new_leader_within_three_seconds():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await cluster.submit(leader, cluster.put(1))
            await leader.stop()
            await group.wait_until(lambda: group.acting_leaders, limit_s=3)
            await cluster.submit(group.acting_leaders[0], cluster.put(2))
            await leader.start()
            await group.catch_up()
            assert leader.state.configuration.current.number == 2

    cluster.run(scenario())


def test_hosts_are_added_one_at_a_time():
    async def scenario():
        group = cluster.Cluster(5)
        all_names = group.names
        group.names = all_names[:3]
        for name in group.names:
            group.nodes[name].disk.mark_founding(name)
            await group.nodes[name].start()
        await cluster.submit(await group.leader(), cluster.put(1))
        group.names = all_names
        for name in all_names[:3]:
            await group.nodes[name].restart()
            await group.leader()
        for name in all_names[3:]:
            added = group.nodes[name]
            await added.start()
            await group.wait_until(
                lambda node=added: node.agreement.status().role == 'follower'
            )
        await group.catch_up()
        await group.pass_time(1)
        # Five voters tolerate the loss of two of the first three.
        for name in all_names[:2]:
            await group.nodes[name].stop()
        await cluster.submit(await group.leader(), cluster.put(2))
        await group.stop()

    cluster.run(scenario())


def test_voter_that_cannot_apply_a_command_halts(monkeypatch):
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()

            def fail(index, command):
                raise ValueError('a programming error')

            monkeypatch.setattr(leader.state, 'apply', fail)
            result = await leader.local.submit(cluster.put(1), 500)
            assert not result
            assert result.may_have_applied
            assert leader.agreement.status().role == 'halted'
            await group.wait_until(lambda: group.acting_leaders)
            current = group.acting_leaders[0].state.configuration.current
            assert current.number == 1

    cluster.run(scenario())


def test_fault_in_a_stream_does_not_end_replication(monkeypatch):
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            for replicator in leader.agreement._voter.leadership.replicators:
                original = replicator._next_request

                def fail_once(target=replicator, original=original):
                    target._next_request = original
                    raise ValueError('a programming error')

                replicator._next_request = fail_once
            await cluster.submit(leader, cluster.put(1))
            await group.pass_time(5)
            assert group.acting_leaders == [leader]
            assert leader.acting_log == [True]
            for node in group.up:
                assert node.state.configuration.current.number == 1

    cluster.run(scenario())
