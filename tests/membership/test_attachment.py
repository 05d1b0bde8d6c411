"""The choice of the control host that a node attaches to."""

import asyncio

from tests.membership import fakes


def _run(test):
    async def work():
        cluster = fakes.Cluster()
        cluster.data_centres['three'] = 'south'
        await cluster.start(nodes=())
        try:
            node = await cluster.start_node('node-1', data_centre='south')
            await fakes.wait_until(
                lambda: node.attachment.control_host == 'three', 5
            )
            await test(cluster, node)
        finally:
            await cluster.close()

    fakes.run(work())


def test_a_region_without_a_leader_keeps_its_attachments_and_groups():
    async def test(cluster, node):
        cluster.add_group(['node-1'])
        await fakes.wait_until(lambda: node.routes_to() == ['writer-1'], 5)
        for one in ('node-1', 'three'):
            for other in ('one', 'two'):
                cluster.network.cut(one, other)
        for _ in range(600):
            await asyncio.sleep(0.1)
            assert node.attachment.control_host == 'three'
            assert node.routes_to() == ['writer-1']

    _run(test)


def test_a_node_moves_from_a_control_host_without_a_leader_to_one_with():
    async def test(cluster, node):
        for other in ('one', 'two'):
            cluster.network.cut('three', other)
        await fakes.wait_until(
            lambda: node.attachment.control_host in ('one', 'two'), 15
        )
        # The node returns to its own data centre's once that has a leader.
        cluster.network.heal()
        await fakes.wait_until(
            lambda: node.attachment.control_host == 'three', 15
        )

    _run(test)


def test_a_node_that_lost_a_distant_control_host_tries_the_nearest_first():
    async def test(cluster, node):
        cluster.network.ports.pop('three')
        cluster.network.reset('three')
        await fakes.wait_until(
            lambda: node.attachment.control_host in ('one', 'two'), 15
        )
        await asyncio.sleep(20)
        for other in ('one', 'two'):
            cluster.network.cut('node-1', other)
        cluster.network.ports['three'] = fakes.FIRST_PORT + 2
        # The node gives the distant one up after 4 s without a frame.
        await fakes.wait_until(
            lambda: node.attachment.control_host == 'three', 5
        )

    _run(test)
