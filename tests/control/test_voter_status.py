"""What logs, metrics and status show of voters that don't reply."""

import json

import eliot
import pytest

from tests.control import cluster

HOST_COUNT = 5


@pytest.fixture
def log_lines():
    """Return the lines that are logged during the test."""
    lines = []

    def add(message):
        lines.append(json.loads(json.dumps(message, default=str)))

    eliot.add_destinations(add)
    # The first destination also gets what was logged before it was added.
    lines.clear()
    yield lines
    eliot.remove_destination(add)


def find_lines(lines, event):
    return [line for line in lines if line['message_type'] == event]


def read_gauge(node, name):
    text = node.counters.render_text()
    return next(
        float(line.split()[-1])
        for line in text.splitlines()
        if line.startswith(f'filbertglade_{name} ')
    )


def losses_left(node):
    return node.agreement.status().losses_left


async def halt_follower(group):
    """Let a follower's disk refuse writes; return it and the leader."""
    leader = await group.leader()
    await group.catch_up()
    voter = (await group.followers())[0]
    voter.disk.fails_writes = True
    await cluster.submit(leader, cluster.put(1))
    await group.wait_until(lambda: voter.agreement.status().role == 'halted')
    return voter, leader


# Guards against a halted voter that nothing on its host shows.
def test_host_shows_that_its_voter_halted_and_why(log_lines):
    async def scenario():
        async with cluster.Cluster(HOST_COUNT) as group:
            voter, _ = await halt_follower(group)
            assert read_gauge(voter, 'agreement_voters') == HOST_COUNT
            await group.pass_time(10)
            status = voter.agreement.status()
            assert 'no space left' in status.failure
            assert 10_000 <= status.halted_ms <= 10_100
            assert read_gauge(voter, 'agreement_halted_ms') >= 10_000
            voter.disk.fails_writes = False
            await voter.restart()
            status = voter.agreement.status()
            assert (status.failure, status.halted_ms) == ('', None)
            assert read_gauge(voter, 'agreement_halted_ms') == 0

    cluster.run(scenario())
    (line,) = find_lines(log_lines, 'voter.halted')
    assert line['role'] == 'follower'
    assert line['synced_index'] < line['last_index']


# Guards against a cluster that has used up its tolerance without a sign.
def test_leader_shows_which_voters_are_silent_and_what_may_still_be_lost(
    log_lines,
):
    async def scenario():
        async with cluster.Cluster(HOST_COUNT) as group:
            voter, leader = await halt_follower(group)
            await group.wait_until(lambda: losses_left(leader) == 1)
            await group.pass_time(1)
            statuses = {
                item.name: item for item in leader.agreement.status().voters
            }
            assert statuses[voter.name].reply_age_ms > 1000
            assert statuses[leader.name].reply_age_ms == 0
            assert read_gauge(leader, 'agreement_voters_replying') == 4
            assert read_gauge(voter, 'agreement_voters_replying') == 0
            others = [node for node in group.up if node not in (voter, leader)]
            await others[0].stop()
            await group.wait_until(lambda: losses_left(leader) == 0)
            voter.disk.fails_writes = False
            await voter.restart()
            await others[0].start()
            await group.wait_until(lambda: losses_left(leader) == 2)
            await group.pass_time(1)
            assert losses_left(others[0]) is None
            assert all(
                item.counts for item in leader.agreement.status().voters
            )
            return voter.name, others[0].name

    names = cluster.run(scenario())
    lines = find_lines(log_lines, 'voters.silent')
    assert lines[0]['newly_silent'] == [names[0]]
    assert lines[0]['losses_left'] == 1
    assert lines[1]['silent'] == sorted(names)
    assert lines[-1]['silent'] == []
    assert lines[-1]['voter_count'] == HOST_COUNT


# Guards against hosts that elect no leader and don't say who is missing.
def test_campaign_without_a_quorum_names_each_voters_reply(log_lines):
    async def scenario():
        async with cluster.Cluster(HOST_COUNT) as group:
            voter, leader = await halt_follower(group)
            others = [node for node in group.up if node not in (voter, leader)]
            await others[0].stop()
            lost = others[1]
            await lost.stop()
            lost.disk.wipe()
            await lost.start()
            await leader.stop()
            await group.pass_time(10)
            campaigner = others[2]
            counted = campaigner.counters.counter(
                'agreement_elections_without_quorum'
            )
            assert counted > 3
            return campaigner, voter, others[0], lost

    campaigner, voter, stopped, lost = cluster.run(scenario())
    lines = find_lines(log_lines, 'election.no_quorum')
    assert 1 <= len(lines) <= 3
    replies = lines[-1]['replies']
    assert 'closed or halted' in replies[voter.name]
    assert replies[lost.name] == 'learner'
    assert 'ConnectionRefusedError' in replies[stopped.name]
    assert lines[-1]['voter_counts'] == [HOST_COUNT]
    assert campaigner.name not in replies
