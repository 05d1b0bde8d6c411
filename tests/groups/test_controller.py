"""Formation, repair, draining and rolling updates of groups."""

import asyncio

import pytest

from tests.groups import fakes
from tests.membership import fakes as membership_fakes

CHECKED = {'fabric-1': 'checked'}
wait_until = membership_fakes.wait_until


def _run(test, domains=None, hosts=8, **options):
    async def main():
        cluster = fakes.SimulatedCluster(domains or CHECKED, hosts, **options)
        await cluster.start()
        try:
            await test(cluster)
            cluster.check()
        finally:
            await cluster.close()

    membership_fakes.run(main())


def _count_complete(cluster, deployment=None):
    return len(cluster.list_complete(deployment))


def _make_deployment(**changed):
    return {'name': 'writer', 'replicas': 1, 'spare_hosts': 0, **changed}


def test_groups_form_and_receive_requests():
    async def test(cluster):
        cluster.put(_make_deployment(replicas=2))
        await wait_until(lambda: _count_complete(cluster) == 2, 30)
        await asyncio.sleep(5)
        assert cluster.requests > 0
        assert len(cluster.list_routable()) == 2

    _run(test)


def test_loads_respect_the_limit_and_the_priority():
    async def test(cluster):
        cluster.put(
            _make_deployment(replicas=2, priority=1),
            {'name': 'desk', 'replicas': 1, 'priority': 9, 'spare_hosts': 0},
            loads_at_once=4,
        )
        await wait_until(lambda: _count_complete(cluster, 'desk') == 1, 30)
        assert _count_complete(cluster, 'writer') == 0
        await wait_until(lambda: _count_complete(cluster, 'writer') == 2, 60)
        assert cluster.loading_peak <= 4

    _run(test, hosts=12)


def test_spares_are_kept_unless_a_repair_or_a_first_group_needs_them():
    async def test(cluster):
        cluster.put(_make_deployment(replicas=2, spare_hosts=1))
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        await asyncio.sleep(30)
        assert len(cluster.groups) == 1
        cluster.put(
            _make_deployment(replicas=2, spare_hosts=1, objective='stranded')
        )
        await wait_until(lambda: _count_complete(cluster) == 2, 30)

    _run(test)


def test_a_dead_host_is_replaced_by_a_spare_once_quiesced():
    async def test(cluster):
        cluster.put(_make_deployment())
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        (record,) = cluster.list_complete()
        epoch, lost = record.epoch, cluster.hosts[record.hosts[1]]
        lost.die()
        await wait_until(
            lambda: (
                _count_complete(cluster)
                and cluster.list_complete()[0].epoch > epoch
            ),
            40,
        )
        assert lost.name not in cluster.list_complete()[0].hosts
        lost.come_back()
        await asyncio.sleep(20)
        assert lost.serving == ('', 0)

    _run(test)


def test_a_warm_spare_needs_no_load():
    async def test(cluster):
        cluster.put(_make_deployment(spare_hosts=1))
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        await wait_until(
            lambda: any(
                host.holds_weights and not host.group
                for host in cluster.hosts.values()
            ),
            20,
        )
        warm = [
            name
            for name, host in cluster.hosts.items()
            if host.holds_weights and not host.group
        ]
        lost = cluster.hosts[cluster.list_complete()[0].hosts[2]]
        lost.die()
        # 6 s until the host is lost, 6 s until the group is quiesced, 1 s for
        # a warm load. A cold load takes 10 s.
        took_s = await wait_until(
            lambda: (
                lost.name not in (_list_complete_hosts(cluster) or [lost.name])
            ),
            16,
        )
        assert took_s < 16
        assert set(warm) < set(_list_complete_hosts(cluster))

    _run(test)


def _list_complete_hosts(cluster):
    return [
        name for record in cluster.list_complete() for name in record.hosts
    ]


def test_a_resumed_host_of_an_old_epoch_is_drained_and_released():
    async def test(cluster):
        cluster.put(_make_deployment())
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        paused = cluster.hosts[cluster.list_complete()[0].hosts[2]]
        paused.is_paused = True
        await wait_until(lambda: _count_complete(cluster) == 1, 60)
        paused.come_back()
        # It still serves at the old epoch; it is drained and released.
        assert paused.serving != ('', 0)
        await wait_until(lambda: paused.group == '', 20)
        kinds = [order.kind for order in paused.taken_orders]
        assert kinds[-1] == 'release' and 'drain' in kinds
        taken_ms = [order.at_ms for order in paused.taken_orders]
        assert taken_ms[-1] - taken_ms[kinds.index('drain')] >= 5000

    _run(test)


def test_survivors_move_only_once_no_node_routes_to_the_old_epoch():
    async def test(cluster):
        cluster.put(_make_deployment())
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        (record,) = cluster.list_complete()
        old = (record.group, record.epoch)
        first, *others, last = [cluster.hosts[name] for name in record.hosts]
        # Nodes receive the last host's announcements, the leader does not.
        # No order reaches the first host, which receives the requests.
        for unseen in cluster.unseen_hosts.values():
            unseen.add(last.name)
        cluster.unreachable_hosts.add(first.name)
        # The nodes' control host applies commits late, and announcements to
        # nodes are delayed.
        cluster.route_lag_s = 30
        cluster.view_delay_s = 3.0
        await wait_until(lambda: cluster.epochs[-1] > old[1], 20)
        await wait_until(
            lambda: all(host.serving != old for host in others), 40
        )
        assert first.serving == old
        await asyncio.sleep(6)

    _run(test)


def test_a_second_loss_during_a_repair_starts_it_at_a_new_epoch():
    async def test(cluster):
        cluster.put(_make_deployment())
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        first = cluster.list_complete()[0].epoch
        cluster.hosts[cluster.list_complete()[0].hosts[0]].die()
        await wait_until(lambda: cluster.epochs[-1] > first, 20)
        second = cluster.epochs[-1]
        await asyncio.sleep(3)
        (record,) = cluster.groups.values()
        cluster.hosts[record.hosts[-1]].die()
        await wait_until(lambda: cluster.epochs[-1] > second, 20)
        await wait_until(lambda: _count_complete(cluster) == 1, 40)
        assert cluster.list_complete()[0].epoch == cluster.epochs[-1]

    _run(test)


def test_groups_leave_a_paused_domain_and_its_hosts_become_spares():
    async def test(cluster):
        cluster.put(_make_deployment())
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        paused_domain = cluster.list_complete()[0].fabric_domain
        hosts = [
            host
            for host in cluster.hosts.values()
            if host.domain == paused_domain
        ]
        for host in hosts:
            host.is_paused = True
        await wait_until(lambda: _count_complete(cluster) == 1, 60)
        assert cluster.list_complete()[0].fabric_domain != paused_domain
        for host in hosts:
            host.come_back()
        await wait_until(lambda: not any(host.group for host in hosts), 30)
        assert _count_complete(cluster) == 1

    domains = {'fabric-1': 'checked', 'fabric-2': 'ignored'}
    _run(test, domains)


def test_a_paused_domain_without_another_serves_again_once_resumed():
    async def test(cluster):
        cluster.put(_make_deployment(replicas=2))
        await wait_until(lambda: _count_complete(cluster) == 2, 30)
        epochs = list(cluster.epochs)
        for host in cluster.hosts.values():
            host.is_paused = True
        await asyncio.sleep(30)
        for host in cluster.hosts.values():
            host.come_back()
        await wait_until(lambda: len(cluster.list_routable()) == 2, 5)
        assert cluster.epochs == epochs

    _run(test)


def test_a_leaving_host_is_replaced_and_let_go():
    async def test(cluster):
        cluster.put(_make_deployment())
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        leaving = cluster.hosts[cluster.list_complete()[0].hosts[3]]
        leaving.is_leaving = True
        await wait_until(
            lambda: (
                _count_complete(cluster)
                and leaving.name not in cluster.list_complete()[0].hosts
            ),
            60,
        )

    _run(test)


def test_a_removed_deployment_drains_before_its_hosts_are_released():
    async def test(cluster):
        cluster.put(_make_deployment())
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        hosts = [
            cluster.hosts[name] for name in cluster.list_complete()[0].hosts
        ]
        hosts[0].active = 1
        cluster.put()
        await wait_until(lambda: not cluster.list_routable(), 6)
        await asyncio.sleep(20)
        # A request is still running, so no host is released.
        assert all(host.is_loaded for host in hosts)
        hosts[0].active = 0
        await wait_until(lambda: not any(host.group for host in hosts), 20)

    _run(test)


@pytest.mark.parametrize('hosts', [8, 12])
def test_a_version_change_rolls_without_loss_of_capacity(hosts):
    async def test(cluster):
        cluster.put(_make_deployment(replicas=2))
        await wait_until(lambda: _count_complete(cluster) == 2, 30)
        cluster.put(_make_deployment(replicas=2, version='2'))
        fewest = 2

        def is_done():
            nonlocal fewest
            fewest = min(fewest, _count_complete(cluster))
            return _count_complete(cluster) == 2 and all(
                record.version == '2' for record in cluster.list_complete()
            )

        await wait_until(is_done, 200)
        # Hosts for one more group keep both replicas serving throughout.
        assert fewest == (2 if hosts == 12 else 1)

    _run(test, hosts=hosts)


def test_incomplete_groups_of_a_domain_merge():
    async def test(cluster):
        cluster.put(_make_deployment(replicas=2, objective='stranded'))
        await wait_until(lambda: _count_complete(cluster) == 2, 30)
        for record in cluster.list_complete():
            cluster.hosts[record.hosts[1]].die()
        await wait_until(lambda: _count_complete(cluster) == 1, 60)
        assert len(cluster.groups) == 1

    _run(test)


def test_a_host_that_announces_an_uncommitted_group_is_ordered_again():
    async def test(cluster):
        cluster.put(_make_deployment())
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        # The first host receives the requests, so none is routed meanwhile.
        host = cluster.hosts[cluster.list_complete()[0].hosts[0]]
        host.group, host.epoch = 'other-1', 3
        await wait_until(lambda: not cluster.list_routable(), 6)
        await wait_until(lambda: _count_complete(cluster) == 1, 40)

    _run(test)
