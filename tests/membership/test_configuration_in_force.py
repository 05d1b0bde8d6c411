"""Documents reach the nodes, and no node reverts to an older one."""

import asyncio

from tests.membership import fakes


def _run(test):
    async def main():
        cluster = fakes.Cluster()
        await cluster.start(('node-1',))
        try:
            await test(cluster, cluster.nodes['node-1'])
        finally:
            await cluster.close()

    fakes.run(main())


def test_a_document_is_in_force_and_confirmed():
    async def test(cluster, node):
        cluster.apply(fakes.put_configuration(1))
        await fakes.wait_until(lambda: node.fleet.number == 1, 3)
        await fakes.wait_until(lambda: node.fleet.is_confirmed, 3)
        cluster.apply(fakes.put_configuration(2))
        await fakes.wait_until(lambda: node.fleet.number == 2, 1)

    _run(test)


def test_a_control_host_that_lags_in_applying_confirms_no_document():
    async def test(cluster, node):
        cluster.apply(fakes.put_configuration(1))
        await fakes.wait_until(lambda: node.fleet.is_confirmed, 3)
        host = node.attachment.control_host
        others = [name for name in cluster.names if name != host]
        for name in cluster.names:
            cluster.control[name].voters.is_leader = name == others[0]
        await asyncio.sleep(2)
        cluster.apply(fakes.put_configuration(2), others)
        await asyncio.sleep(2)
        started = await cluster.start_node('node-1')
        started.attachment._ordered_hosts = lambda: [
            item
            for item in started.settings.control.hosts
            if item.name == host
        ]
        await fakes.wait_until(lambda: started.attachment.control_host, 5)
        for _ in range(60):
            await asyncio.sleep(0.1)
            # The earlier process on this node may have had number 2.
            assert started.fleet.number == 0
            assert not started.fleet.is_confirmed
        cluster.apply(fakes.put_configuration(2), [host])
        await fakes.wait_until(lambda: started.fleet.is_confirmed, 3)
        assert started.fleet.number == 2
        await node.attachment.close()

    _run(test)


def test_a_node_without_a_leader_is_not_confirmed():
    async def test(cluster, node):
        cluster.control['one'].voters.is_leader = False
        cluster.apply(fakes.put_configuration(1))
        for _ in range(500):
            await asyncio.sleep(0.1)
            assert node.fleet.number == 0
            assert not node.fleet.is_confirmed

    _run(test)


def test_a_reattached_node_does_not_revert_to_an_older_document():
    async def test(cluster, node):
        cluster.apply(fakes.put_configuration(1))
        await fakes.wait_until(lambda: node.fleet.number == 1, 3)
        first = node.attachment.control_host
        cluster.apply(fakes.put_configuration(2), [first])
        await fakes.wait_until(lambda: node.fleet.number == 2, 3)
        older = cluster.control['three'].agreed.configuration.current
        cluster.network.ports.pop(first)
        cluster.network.reset(first)
        await fakes.wait_until(
            lambda: node.attachment.control_host not in ('', first), 10
        )
        for _ in range(100):
            # A control host with an older report of the node would send this.
            node.fleet.put_in_force(older)
            assert node.fleet.number == 2
            await asyncio.sleep(0.1)

    _run(test)
