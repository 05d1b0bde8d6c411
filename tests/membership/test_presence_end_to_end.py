"""Presence over the inner protocol: ages, losses, partitions, pauses."""

import asyncio

from tests.membership import fakes

NODES = ('node-1', 'node-2', 'node-3')
ALL = ['writer-1']


def _run(test, **options):
    async def main():
        cluster = fakes.Cluster(**options)
        await cluster.start(NODES)
        try:
            await test(cluster)
        finally:
            await cluster.close()

    fakes.run(main())


def _all_route(cluster):
    return all(node.routes_to() == ALL for node in cluster.nodes.values())


def _none_routes(cluster):
    return not any(node.routes_to() for node in cluster.nodes.values())


def test_a_group_is_routed_to_by_all_nodes_until_a_host_falls_silent():
    async def test(cluster):
        names = cluster.add_group(NODES)
        await fakes.wait_until(lambda: _all_route(cluster), 5)
        cluster.hosts[names[2]].is_silent = True
        await fakes.wait_until(lambda: _none_routes(cluster), 4.5)

    _run(test)


def test_a_reported_loss_stops_routing_everywhere_at_once():
    async def test(cluster):
        names = cluster.add_group(NODES)
        await fakes.wait_until(lambda: _all_route(cluster), 5)
        cluster.hosts[names[0]].is_silent = True
        cluster.nodes['node-1'].attachment.report_loss(names[0], 'run-1')
        await fakes.wait_until(lambda: _none_routes(cluster), 1.5)

    _run(test)


def test_a_host_that_still_announces_is_routed_to_again_after_a_loss():
    async def test(cluster):
        names = cluster.add_group(NODES)
        await fakes.wait_until(lambda: _all_route(cluster), 5)
        cluster.nodes['node-1'].attachment.report_loss(names[0], 'run-1')
        await fakes.wait_until(lambda: _none_routes(cluster), 1.5)
        await fakes.wait_until(lambda: _all_route(cluster), 3)

    _run(test)


async def _count_flaps(cluster, duration_s):
    flaps = 0
    for _ in range(int(duration_s / 0.05)):
        await asyncio.sleep(0.05)
        flaps += not _all_route(cluster)
    return flaps


def test_groups_do_not_flap_at_announcements_up_to_a_second_late():
    async def test(cluster):
        names = cluster.add_group(NODES)
        for name in names:
            cluster.hosts[name].delay_s = lambda: cluster.rng.uniform(0, 1)
        await fakes.wait_until(lambda: _all_route(cluster), 10)
        assert await _count_flaps(cluster, 600) == 0

    _run(test)


def test_groups_do_not_flap_at_links_up_to_a_second_late():
    async def test(cluster):
        cluster.add_group(NODES)
        await fakes.wait_until(lambda: _all_route(cluster), 10)
        link = cluster.network.link('node-1', 'one')
        links = [link, cluster.network.link('one', 'two')]

        async def jitter():
            while True:
                for link in links:
                    link.delay_s = cluster.rng.uniform(0, 0.5)
                await asyncio.sleep(0.1)

        task = asyncio.create_task(jitter())
        assert await _count_flaps(cluster, 300) == 0
        task.cancel()

    _run(test)


def test_the_age_of_delayed_frames_includes_their_transit_time():
    async def test(cluster):
        names = cluster.add_group(NODES)
        await fakes.wait_until(lambda: _all_route(cluster), 5)
        node = cluster.nodes['node-1']
        # Frames are late, but without a gap that would end the stream.
        host = node.attachment.control_host
        cluster.network.link('node-1', host).delay_s = 3.0
        await asyncio.sleep(1)
        for name in names:
            cluster.hosts[name].is_silent = True
        await asyncio.sleep(4.1)
        for _ in range(200):
            assert node.routes_to() == []
            await asyncio.sleep(0.05)

    _run(test)


def test_frames_buffered_during_a_pause_do_not_count_as_fresh():
    async def test(cluster):
        names = cluster.add_group(NODES)
        await fakes.wait_until(lambda: _all_route(cluster), 5)
        for name in names:
            cluster.hosts[name].is_silent = True
        # Frames are in transit while time passes and no task runs.
        for node in cluster.nodes.values():
            host = node.attachment.control_host
            cluster.network.link(node.settings.name, host).delay_s = 0.3
        await asyncio.sleep(1)
        assert _all_route(cluster)
        fakes.pause(10)
        for _ in range(500):
            assert _none_routes(cluster)
            await asyncio.sleep(0.01)

    _run(test)


def test_a_node_that_reaches_no_control_host_stops_routing():
    async def test(cluster):
        cluster.add_group(NODES)
        await fakes.wait_until(lambda: _all_route(cluster), 5)
        cluster.network.isolate('node-1', cluster.names)
        lost = cluster.nodes['node-1']
        await fakes.wait_until(lambda: lost.routes_to() == [], 4.5)
        await asyncio.sleep(20)
        assert lost.routes_to() == []
        cluster.network.heal()
        await fakes.wait_until(lambda: lost.routes_to() == ALL, 10)

    _run(test)


def test_a_node_fails_over_to_another_control_host():
    async def test(cluster):
        cluster.add_group(NODES[1:])
        await fakes.wait_until(lambda: _all_route(cluster), 5)
        node = cluster.nodes['node-1']
        first = node.attachment.control_host
        cluster.network.ports.pop(first)
        cluster.network.reset(first)
        await fakes.wait_until(
            lambda: node.attachment.control_host not in ('', first), 10
        )
        await fakes.wait_until(lambda: node.routes_to() == ALL, 5)

    _run(test)


def test_partitioned_control_hosts_receive_reports_through_a_third():
    async def test(cluster):
        by_control = {}
        for name, node in cluster.nodes.items():
            await fakes.wait_until(lambda n=node: n.attachment.control_host, 5)
            by_control.setdefault(node.attachment.control_host, name)
        assert len(by_control) >= 2, 'nodes spread over control hosts'
        one, two = list(by_control)[:2]
        for name in cluster.names:
            leads = name not in (one, two)
            cluster.control[name].voters.is_leader = leads
        cluster.network.cut(one, two)
        cluster.add_group([by_control[one]])
        await fakes.wait_until(
            lambda: cluster.nodes[by_control[two]].routes_to() == ALL, 12
        )

    _run(test)
