"""Hosts that can't reach the leader use one hop over a control host."""

import asyncio
import itertools

import pytest

from filbertglade.fleet import cold_bound
from filbertglade.fleet import connected_watcher
from filbertglade.fleet import watcher
from filbertglade.inner import fleet_pb2
from tests.fleet import partitioned
from tests import virtual_time

LOST_S = watcher.LEADER_TIMEOUT_MS / 1000


def play(scene, seed=1, silent=(), uses_hops=True):
    """Run a scene in which the entry host can't reach the leader, c1."""

    async def main():
        deployment = partitioned.Deployment(seed, uses_hops)
        deployment.lead('c1')
        deployment.links.cut(partitioned.ENTRY, 'c1')
        async with deployment.run(silent):
            return await scene(deployment)

    return virtual_time.run(main())


def add_group(deployment, count):
    leading = deployment.hosts['c1'].leading
    leading.add_replicas(count)
    leading.publisher.notify_change()
    leading.publisher.refresh()


# Guards against a data centre that gets no frames, and whose reports reach
# nobody, although a third one reaches the leader.
def test_frames_and_reports_pass_one_hop():
    async def scene(deployment):
        entry, leader = deployment.entry, deployment.hosts['c1']
        await deployment.wait_for_hop()
        entry.watcher.in_flight['g-0'] = 3
        add_group(deployment, 1)
        took_s = await deployment.wait_until(lambda: entry.view.replicas, 0.5)
        await asyncio.sleep(0.5)
        (seen,) = leader.entry_watchers
        assert seen.report.node == partitioned.ENTRY
        assert dict(seen.report.in_flight) == {'g-0': 3}
        # A batch at the leader, two links of 0.5 ms, and 50 ms for the hop.
        assert took_s <= 0.025 + 0.001 + 0.05 + partitioned.POLL_S
        assert entry.view.age_ms() <= watcher.LEADER_TIMEOUT_MS

    play(scene)


def test_no_hop_is_used_without_the_setting():
    async def scene(deployment):
        await asyncio.sleep(5)
        assert deployment.entry.view.last_frame_ms is None

    play(scene, uses_hops=False)


@pytest.mark.parametrize('seed', range(4))
def test_no_hop_is_used_where_the_leader_is_reached(seed):
    async def scene(deployment):
        deployment.links.heal()
        await asyncio.sleep(10)
        assert deployment.entry.watcher.watched_leader
        for host in deployment.hosts.values():
            assert not host.counters.counter('relayed_frames')

    play(scene, seed)


# Guards against two streams of one host, which would be given permits twice.
def test_host_changes_back_once_it_reaches_the_leader():
    async def scene(deployment):
        entry, leader = deployment.entry, deployment.hosts['c1']
        await deployment.wait_for_hop()
        await asyncio.sleep(3)
        assert entry.watcher.uses_hop
        deployment.links.mend(partitioned.ENTRY, 'c1')
        most = []

        def is_back():
            most.append(len(leader.entry_watchers))
            return entry.watcher.watched_leader == leader.address

        await deployment.wait_until(is_back, 2)
        await asyncio.sleep(3)
        assert is_back()
        assert max(most) == 1
        assert entry.counters.counter('hops_left') == 1

    play(scene)


# Guards against frames that wait at the hop or on its link and look fresh.
def test_age_counts_from_the_leader():
    async def scene(deployment):
        entry = deployment.entry
        await deployment.wait_for_hop()
        for name in deployment.hosts:
            deployment.links.link(partitioned.ENTRY, name).delay_s = 0.7
        await asyncio.sleep(3)
        deployment.links.isolate('c1', deployment.hosts)
        cut_s = deployment.now_s
        received = entry.counters.counter('fleet_frames')
        while deployment.now_s < cut_s + 2:
            await asyncio.sleep(partitioned.POLL_S)
            age_ms = entry.view.age_ms()
            assert age_ms >= (deployment.now_s - cut_s) * 1000 - 1
        assert entry.counters.counter('fleet_frames') > received

    play(scene)


# Guards against permits that are used after the leader takes them for expired.
def test_permits_expire_over_a_hop_as_they_do_without():
    async def scene(deployment):
        entry, leader = deployment.entry, deployment.hosts['c1']
        await deployment.wait_for_hop()
        ages_ms = []
        # So that no silence of 1.1 s ends the stream.
        delays_s = [0.001] * 10 + [0.4] * 5 + [0.8] * 5 + [1.3] * 20
        for delay_s in delays_s:
            for name in deployment.hosts:
                link = deployment.links.link(partitioned.ENTRY, name)
                link.delay_s = delay_s
            for seen in leader.entry_watchers:
                now_ms = int(deployment.now_s * 1000)
                permit = fleet_pb2.Allowance(
                    endpoint=f'cold:{now_ms}', requests=1
                )
                seen.permits.append((now_ms, permit))
                seen.changed_event.set()
            for _ in range(10):
                await asyncio.sleep(partitioned.POLL_S)
                now_ms = int(deployment.now_s * 1000)
                ages_ms += [
                    now_ms - int(given_ms)
                    for given_ms in entry.view.cold.take_permits()
                ]
        assert len(ages_ms) >= 10
        bound_ms = cold_bound.MAX_HELD_MS + cold_bound.MAX_DELAY_MS
        assert max(ages_ms) <= bound_ms + 1000 * partitioned.POLL_S

    play(scene)


# Guards against a hop that goes on with a leader that doesn't know yet that
# it was replaced.
def test_hop_stops_relaying_a_replaced_leader():
    async def scene(deployment):
        entry = deployment.entry
        await deployment.wait_for_hop()
        await asyncio.sleep(1)
        deployment.lead('c3', known_to=('c2', 'c3', 'c4', 'c5'))
        old = deployment.hosts['c1']
        await deployment.wait_until(lambda: not old.entry_watchers, 0.15)
        assert old.voters.is_leader
        new = deployment.hosts['c3'].address
        await deployment.wait_until(
            lambda: entry.watcher.watched_leader == new, 1
        )

    play(scene)


# Guards against hosts that search for more than 1 s: each host without an
# answer was waited for by itself, for up to 0.8 s.
@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('lost', ['hop', 'link to the leader', 'leader'])
def test_leader_is_found_within_a_second(seed, lost):
    async def scene(deployment):
        entry, links = deployment.entry, deployment.links
        await deployment.wait_for_hop()
        await asyncio.sleep(1)
        hop = deployment.names[entry.watcher.watched_host]
        (other,) = {'c2', 'c3'} - {hop}
        expected = other
        if lost == 'hop':
            links.cut(partitioned.ENTRY, hop)
        elif lost == 'link to the leader':
            links.cut(hop, 'c1')
        else:
            links.isolate('c1', deployment.hosts)
            expected = 'c3'
            deployment.lead('c3', known_to=('c2', 'c3'))
        took_s = await deployment.wait_until(
            lambda: (
                deployment.names.get(entry.watcher.watched_host) == expected
            ),
            LOST_S + 1,
        )
        assert took_s <= LOST_S + 1

    # Two of five accept calls and never answer.
    play(scene, seed, silent=('c4', 'c5'))


# Guards against rounds of probes that wait longer and longer for hosts that
# never answer: the leader had answered before it was elected.
@pytest.mark.parametrize('seed', [0, 7, 30, 37])
def test_leader_that_is_elected_late_is_found_soon(seed):
    async def scene(deployment):
        entry = deployment.entry
        await deployment.wait_for_hop()
        deployment.links.isolate('c1', deployment.hosts)
        deployment.hosts['c1'].voters.is_leader = False
        await asyncio.sleep(8 + 0.05 * seed)
        assert not entry.watcher.watched_host
        deployment.lead('c3', known_to=('c2', 'c3'))
        await deployment.wait_until(
            lambda: entry.watcher.watched_leader, limit_s=1
        )

    play(scene, seed, silent=('c4', 'c5'))


# Guards against a host that never finds a leader over a slow link.
@pytest.mark.parametrize('seed', range(4))
def test_leader_on_slow_links_is_found(seed):
    async def scene(deployment):
        deployment.links.heal()
        for name in deployment.hosts:
            deployment.links.link(partitioned.ENTRY, name).delay_s = 0.2
        await deployment.wait_until(
            lambda: deployment.entry.watcher.watched_leader, 5
        )

    play(scene, seed)


# Guards against a host that takes a leader for reached that it only hears, or
# that only hears it. The leader notices missing reports after 3 s.
@pytest.mark.parametrize(
    ('way', 'noticed_s'), [('passes_replies', LOST_S), ('passes_requests', 3)]
)
def test_hop_is_used_where_one_direction_is_cut(way, noticed_s):
    async def scene(deployment):
        entry, leader = deployment.entry, deployment.hosts['c1']
        deployment.links.heal()
        await deployment.wait_until(lambda: entry.watcher.watched_leader, 2)
        entry.watcher.in_flight['g-0'] = 3
        await asyncio.sleep(1)
        link = deployment.links.link(partitioned.ENTRY, 'c1')
        setattr(link, way, False)
        await deployment.wait_for_hop(noticed_s + 1)
        await asyncio.sleep(6)
        assert entry.watcher.uses_hop
        (seen,) = leader.entry_watchers
        assert dict(seen.report.in_flight) == {'g-0': 3}

    play(scene)


# Guards against information that passes two hops, or goes around in a loop.
def test_there_is_at_most_one_hop():
    async def scene(deployment):
        for name in ('c3', 'c4', 'c5'):
            deployment.links.cut('c1', name)
            # Their voters have lost the leader.
            deployment.hosts[name].voters.leader = ''
        deployment.links.cut(partitioned.ENTRY, 'c2')
        await asyncio.sleep(6)
        for name in ('c3', 'c4', 'c5'):
            assert deployment.hosts[name].watcher.uses_hop
            assert not deployment.hosts[name].role.find_leader()
            assert not deployment.hosts[name].counters.counter(
                'relayed_frames'
            )
        assert deployment.entry.view.last_frame_ms is None

    play(scene)


# Guards against a search that ends for good at a message that ends early.
def test_search_goes_on_after_an_unexpected_error(monkeypatch):
    parse = watcher.frames.FrameAssembler.add
    failures = [AssertionError('Received less data than expected')]

    def fail_once(assembler, message):
        if failures:
            raise failures.pop()
        return parse(assembler, message)

    async def scene(deployment):
        monkeypatch.setattr(watcher.frames.FrameAssembler, 'add', fail_once)
        await asyncio.sleep(3)
        assert not failures
        # Whichever of them read that message.
        for host in (deployment.entry, *deployment.hosts.values()):
            assert host.watcher.watched_host

    play(scene)


# Guards against a hop that is too weak for a whole data centre.
def test_hop_serves_the_hosts_of_a_data_centre():
    async def scene(deployment):
        hosts = deployment.add_entries(29)
        for host, name in itertools.product(hosts, ('c1', 'c3', 'c4', 'c5')):
            deployment.links.cut(host.name, name)
        leading = deployment.hosts['c1'].leading
        for host in hosts:
            host.watcher.start()
        add_group(deployment, 54)
        await asyncio.sleep(2)
        began_s = deployment.now_s
        began_bytes = sum(host.watcher._received_bytes for host in hosts)
        for step in range(200):
            for number, host in enumerate(hosts):
                group = f'g-{(step + number) % 54}'
                host.watcher.in_flight[group] = step % 11 + 1
            leading.publisher.refresh()
            await asyncio.sleep(0.05)
            ages_ms = [host.view.age_ms() for host in hosts]
            assert max(ages_ms) < watcher.LEADER_TIMEOUT_MS
        hop = deployment.hosts['c2'].address
        assert {host.watcher.watched_host for host in hosts} == {hop}
        assert {len(host.view.replicas) for host in hosts} == {54}
        received = sum(host.watcher._received_bytes for host in hosts)
        lasted_s = deployment.now_s - began_s
        assert (received - began_bytes) / len(hosts) / lasted_s < 16_000
        await asyncio.gather(*(host.watcher.close() for host in hosts))

    play(scene)


def test_messages_to_others_are_not_stamped():
    direct = connected_watcher.ConnectedWatcher(fleet_pb2.WatchReport(), 0)
    frame = fleet_pb2.FleetFrame(is_leader=True)
    assert direct.stamp(frame) is frame
    assert not frame.HasField('report_sent_ms')
