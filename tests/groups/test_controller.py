"""Formation, repair, draining and rolling change of groups."""

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


def _count(cluster, deployment=None):
    return len(cluster.list_complete(deployment))


def _writer(**changed):
    return {'name': 'writer', 'replicas': 1, 'spare_hosts': 0, **changed}


def test_groups_form_and_take_requests():
    async def test(cluster):
        cluster.put(_writer(replicas=2))
        await wait_until(lambda: _count(cluster) == 2, 30)
        await asyncio.sleep(5)
        assert cluster.requests > 0
        assert len(cluster.list_routable()) == 2

    _run(test)


def test_loads_keep_the_limit_and_go_by_priority():
    async def test(cluster):
        cluster.put(
            _writer(replicas=2, priority=1),
            {'name': 'desk', 'replicas': 1, 'priority': 9, 'spare_hosts': 0},
            loads_at_once=4,
        )
        await wait_until(lambda: _count(cluster, 'desk') == 1, 30)
        assert _count(cluster, 'writer') == 0
        await wait_until(lambda: _count(cluster, 'writer') == 2, 60)
        assert cluster.loading_peak <= 4

    _run(test, hosts=12)


def test_spares_are_kept_unless_a_repair_or_a_first_group_needs_them():
    async def test(cluster):
        cluster.put(_writer(replicas=2, spare_hosts=1))
        await wait_until(lambda: _count(cluster) == 1, 30)
        await asyncio.sleep(30)
        assert len(cluster.groups) == 1
        cluster.put(_writer(replicas=2, spare_hosts=1, objective='stranded'))
        await wait_until(lambda: _count(cluster) == 2, 30)

    _run(test)


def test_a_dead_host_is_replaced_by_a_spare_after_the_rest():
    async def test(cluster):
        cluster.put(_writer())
        await wait_until(lambda: _count(cluster) == 1, 30)
        (record,) = cluster.list_complete()
        epoch, lost = record.epoch, cluster.hosts[record.hosts[1]]
        lost.die()
        await wait_until(
            lambda: (
                _count(cluster) and cluster.list_complete()[0].epoch > epoch
            ),
            40,
        )
        assert lost.name not in cluster.list_complete()[0].hosts
        lost.come_back()
        await asyncio.sleep(20)
        assert lost.holds == ('', 0)

    _run(test)


def test_a_warm_spare_needs_no_load():
    async def test(cluster):
        cluster.put(_writer(spare_hosts=1))
        await wait_until(lambda: _count(cluster) == 1, 30)
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
        # 6 s until it is gone, 6 s of rest, 1 s to load; a load takes 10 s.
        took_s = await wait_until(
            lambda: lost.name not in (_whole_hosts(cluster) or [lost.name]), 16
        )
        assert took_s < 16
        assert set(warm) < set(_whole_hosts(cluster))

    _run(test)


def _whole_hosts(cluster):
    return [
        name for record in cluster.list_complete() for name in record.hosts
    ]


def test_a_paused_host_that_comes_back_as_if_nothing_happened():
    async def test(cluster):
        cluster.put(_writer())
        await wait_until(lambda: _count(cluster) == 1, 30)
        paused = cluster.hosts[cluster.list_complete()[0].hosts[2]]
        paused.is_paused = True
        await wait_until(lambda: _count(cluster) == 1, 60)
        paused.come_back()
        # It still believes in the old epoch; it is drained and released.
        assert paused.holds != ('', 0)
        await wait_until(lambda: paused.group == '', 20)
        kinds = [taken.kind for taken in paused.taken]
        assert kinds[-1] == 'release' and 'drain' in kinds
        paused_free = [taken.at_ms for taken in paused.taken]
        assert paused_free[-1] - paused_free[kinds.index('drain')] >= 5000

    _run(test)


def test_survivors_move_on_only_once_no_node_believes_in_the_old_group():
    async def test(cluster):
        cluster.put(_writer())
        await wait_until(lambda: _count(cluster) == 1, 30)
        (record,) = cluster.list_complete()
        old = (record.group, record.epoch)
        first, *others, last = [cluster.hosts[name] for name in record.hosts]
        # The leader hears nothing of a host that nodes hear, and reaches
        # the first host, which takes the requests, with no order.
        for late in cluster.unseen_hosts.values():
            late.add(last.name)
        cluster.cut_hosts.add(first.name)
        # The nodes' control host lags in applying what is committed, and
        # announcements come late.
        cluster.route_lag_s = 30
        cluster.view_delay_s = 3.0
        await wait_until(lambda: cluster.epochs[-1] > old[1], 20)
        await wait_until(lambda: all(host.holds != old for host in others), 40)
        assert first.holds == old
        await asyncio.sleep(6)

    _run(test)


def test_a_second_loss_during_a_repair_starts_it_at_a_new_epoch():
    async def test(cluster):
        cluster.put(_writer())
        await wait_until(lambda: _count(cluster) == 1, 30)
        first = cluster.list_complete()[0].epoch
        cluster.hosts[cluster.list_complete()[0].hosts[0]].die()
        await wait_until(lambda: cluster.epochs[-1] > first, 20)
        second = cluster.epochs[-1]
        await asyncio.sleep(3)
        (record,) = cluster.groups.values()
        cluster.hosts[record.hosts[-1]].die()
        await wait_until(lambda: cluster.epochs[-1] > second, 20)
        await wait_until(lambda: _count(cluster) == 1, 40)
        assert cluster.list_complete()[0].epoch == cluster.epochs[-1]

    _run(test)


def test_a_dark_fabric_domain_moves_and_comes_back_as_spares():
    async def test(cluster):
        cluster.put(_writer())
        await wait_until(lambda: _count(cluster) == 1, 30)
        dark = cluster.list_complete()[0].fabric_domain
        hosts = [
            host for host in cluster.hosts.values() if host.domain == dark
        ]
        for host in hosts:
            host.is_paused = True
        await wait_until(lambda: _count(cluster) == 1, 60)
        assert cluster.list_complete()[0].fabric_domain != dark
        for host in hosts:
            host.come_back()
        await wait_until(lambda: not any(host.group for host in hosts), 30)
        assert _count(cluster) == 1

    domains = {'fabric-1': 'checked', 'fabric-2': 'ignored'}
    _run(test, domains)


def test_a_dark_domain_without_another_serves_again_when_it_is_back():
    async def test(cluster):
        cluster.put(_writer(replicas=2))
        await wait_until(lambda: _count(cluster) == 2, 30)
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
        cluster.put(_writer())
        await wait_until(lambda: _count(cluster) == 1, 30)
        leaving = cluster.hosts[cluster.list_complete()[0].hosts[3]]
        leaving.is_leaving = True
        await wait_until(
            lambda: (
                _count(cluster)
                and leaving.name not in cluster.list_complete()[0].hosts
            ),
            60,
        )

    _run(test)


def test_a_removed_deployment_drains_before_its_hosts_are_released():
    async def test(cluster):
        cluster.put(_writer())
        await wait_until(lambda: _count(cluster) == 1, 30)
        hosts = [
            cluster.hosts[name] for name in cluster.list_complete()[0].hosts
        ]
        hosts[0].active = 1
        cluster.put()
        await wait_until(lambda: not cluster.list_routable(), 6)
        await asyncio.sleep(20)
        # A request still runs: the group stays as it is.
        assert all(host.is_loaded for host in hosts)
        hosts[0].active = 0
        await wait_until(lambda: not any(host.group for host in hosts), 20)

    _run(test)


@pytest.mark.parametrize('hosts', [8, 12])
def test_a_changed_version_rolls_with_the_capacity_kept(hosts):
    async def test(cluster):
        cluster.put(_writer(replicas=2))
        await wait_until(lambda: _count(cluster) == 2, 30)
        cluster.put(_writer(replicas=2, version='2'))
        fewest = 2

        def is_done():
            nonlocal fewest
            fewest = min(fewest, _count(cluster))
            return _count(cluster) == 2 and all(
                record.version == '2' for record in cluster.list_complete()
            )

        await wait_until(is_done, 200)
        # With hosts for one group more, none is missed at any time.
        assert fewest == (2 if hosts == 12 else 1)

    _run(test, hosts=hosts)


def test_incomplete_groups_of_a_domain_merge():
    async def test(cluster):
        cluster.put(_writer(replicas=2, objective='stranded'))
        await wait_until(lambda: _count(cluster) == 2, 30)
        for record in cluster.list_complete():
            cluster.hosts[record.hosts[1]].die()
        await wait_until(lambda: _count(cluster) == 1, 60)
        assert len(cluster.groups) == 1

    _run(test)


def test_a_host_is_ordered_again_when_it_claims_what_is_not_committed():
    async def test(cluster):
        cluster.put(_writer())
        await wait_until(lambda: _count(cluster) == 1, 30)
        # The first host takes the requests, so that none is taken meanwhile.
        host = cluster.hosts[cluster.list_complete()[0].hosts[0]]
        host.group, host.epoch = 'other-1', 3
        await wait_until(lambda: not cluster.list_routable(), 6)
        await wait_until(lambda: _count(cluster) == 1, 40)

    _run(test)
