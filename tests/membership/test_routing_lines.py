"""Lines sent to nodes: only changed ones, only of the node's region."""

import asyncio

from filbertglade.inner import commands_pb2
from filbertglade.inner import membership_pb2
from filbertglade.membership import presence
from tests.membership import fakes

NODES = ('node-1', 'node-2')


def _run(test):
    async def main():
        cluster = fakes.Cluster(control=('one',))
        await cluster.start(NODES)
        try:
            await test(cluster)
        finally:
            await cluster.close()

    fakes.run(main())


def _write(cluster, version, region='central'):
    table = cluster.control[
        'one'
    ].membership_server._source.line_tables.open_region(region)
    frame = membership_pb2.ControlFrame()
    table.write(frame, version)
    return frame, table.version


def test_an_unchanged_line_is_covered_by_the_shared_age():
    async def test(cluster):
        cluster.add_group(NODES)
        await asyncio.sleep(3)
        frame, version = _write(cluster, 0)
        assert [line.group for line in frame.groups] == ['writer-1']
        assert frame.groups[0].complete
        await asyncio.sleep(3)
        frame, _ = _write(cluster, version)
        assert not frame.groups and not frame.loads and not frame.gone
        assert 0 < frame.shared_age_ms < 2000

    _run(test)


def test_a_changed_load_is_sent_alone():
    async def test(cluster):
        names = cluster.add_group(NODES)
        await asyncio.sleep(3)
        _, version = _write(cluster, 0)
        load = cluster.hosts[names[0]].build_form().load
        load.active = 5
        cluster.hosts[names[0]].announced['load'] = load
        node = cluster.nodes['node-2']
        await fakes.wait_until(
            lambda: node.fleet.list_groups('writer')[0].line.load.active == 5,
            3,
        )
        frame, _ = _write(cluster, version)
        assert not frame.groups
        assert [update.load.active for update in frame.loads] == [5]

    _run(test)


def test_one_silent_group_does_not_age_others():
    async def test(cluster):
        for number in range(10):
            cluster.add_group(NODES, group=f'writer-{number}')
        await asyncio.sleep(3)
        cluster.hosts['writer-3-host-2'].is_silent = True
        await asyncio.sleep(10)
        node = cluster.nodes['node-1']
        assert len(node.routes_to()) == 9
        assert 'writer-3' not in node.routes_to()

    _run(test)


def test_many_silent_groups_do_not_age_others():
    async def test(cluster):
        for number in range(10):
            cluster.add_group(NODES, group=f'writer-{number}')
        await asyncio.sleep(3)
        for number in range(4):
            cluster.hosts[f'writer-{number}-host-2'].is_silent = True
        node = cluster.nodes['node-1']
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert set(node.routes_to()) >= {
                f'writer-{number}' for number in range(4, 10)
            }
        assert len(node.routes_to()) == 6

    _run(test)


def test_another_regions_group_is_sent_only_if_none_serves_locally():
    async def test(cluster):
        cluster.add_group(NODES, group='local-1')
        remote = cluster.add_group(NODES, group='remote-1', region='eastern')
        await asyncio.sleep(3)
        frame, _ = _write(cluster, 0)
        assert [line.group for line in frame.groups] == ['local-1']
        cluster.hosts['local-1-host-1'].announced['leaving'] = True
        node = cluster.nodes['node-1']
        await fakes.wait_until(lambda: node.routes_to() == ['remote-1'], 4)
        assert len(remote) == 4

    _run(test)


def test_nodes_drop_a_released_group():
    async def test(cluster):
        cluster.add_group(NODES)
        node = cluster.nodes['node-1']
        await fakes.wait_until(lambda: node.routes_to(), 5)
        table = cluster.control['one'].agreed.groups
        table._remove(table.groups['writer-1'])
        await fakes.wait_until(lambda: not node.fleet._groups, 1)

    _run(test)


def make_announcement(sequence, run='run-1', **announced):
    return membership_pb2.Announcement(
        host='host-1', run=run, sequence=sequence, **announced
    )


def test_idle_time_counts_from_the_first_idle_announcement():
    async def main():
        table = presence.PresenceTable()
        serving = {'group': 'writer-1', 'epoch': 1, 'ready': True}
        table.note_host(make_announcement(1, **serving), 0)
        assert table.hosts['host-1'].idle_since_ms is None
        await asyncio.sleep(1)
        busy = membership_pb2.Load(active=1)
        table.note_host(make_announcement(2, load=busy), 0)
        assert table.hosts['host-1'].idle_since_ms is None
        await asyncio.sleep(1)
        table.note_host(make_announcement(3), 0)
        await asyncio.sleep(1)
        table.note_host(make_announcement(4), 0)
        assert table.hosts['host-1'].idle_since_ms == 2000

    fakes.run(main())


def test_older_announcements_do_not_replace_newer_ones():
    async def main():
        await asyncio.sleep(100)
        table = presence.PresenceTable()
        assert table.note_host(make_announcement(5), 0)
        assert not table.note_host(make_announcement(4), 0)
        assert not table.note_host(make_announcement(9, run='run-0'), 3000)
        assert table.note_host(make_announcement(1, run='run-2'), 0) is False
        await asyncio.sleep(1)
        assert table.note_host(make_announcement(1, run='run-2'), 0)

    fakes.run(main())


# Guards against nodes that can't tell an evacuated group from a broken one, or
# that a member other than the head is evacuated.
def test_nodes_learn_of_evacuations_and_of_members_places():
    async def test(cluster):
        names = cluster.add_group(NODES)
        cluster.hosts[names[2]].announced['data_centre'] = 'annex'
        await asyncio.sleep(3)
        fleet = cluster.nodes['node-1'].fleet
        assert list(fleet.find_places('writer-1', False)) == ['annex', 'north']
        assert len(fleet.list_groups('writer')) == 1
        change = commands_pb2.EvacuationChange(
            data_centre='annex', active=True
        )
        cluster.apply(commands_pb2.Command(evacuation_change=change))
        await fakes.wait_until(lambda: not fleet.list_groups('writer'), 1)
        assert fleet.find_evacuation('writer', False) == ['annex']
        assert not fleet.find_evacuation('other', False)
        change.active = False
        cluster.apply(commands_pb2.Command(evacuation_change=change))
        await fakes.wait_until(lambda: fleet.list_groups('writer'), 1)
        assert not fleet.find_evacuation('writer', False)

    _run(test)
