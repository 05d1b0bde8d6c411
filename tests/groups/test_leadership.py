"""Orders of leaders that are frozen, newly elected or without a lease."""

import asyncio

import pytest

from filbertglade import clock
from tests.groups import fakes
from tests.groups import test_controller
from tests.membership import fakes as membership_fakes

wait_until = membership_fakes.wait_until
_run = test_controller._run
_count_complete = test_controller._count_complete
_make_deployment = test_controller._make_deployment


def test_a_frozen_leaders_orders_do_not_override_a_newer_epoch():
    async def test(cluster):
        cluster.put(_make_deployment())
        cluster.frozen_leaders.add('one')
        # The frozen leader does not get its load orders out.
        await wait_until(lambda: cluster.stuck_orders, 20)
        await asyncio.sleep(2)
        cluster.elect('two')
        (record,) = cluster.groups.values()
        cluster.hosts[record.hosts[0]].die()
        await wait_until(lambda: _count_complete(cluster) == 1, 60)
        numbers = {name: h.highest_number for name, h in cluster.hosts.items()}
        for host, order in cluster.stuck_orders:
            if host.is_alive:
                host.take_order(order)
        await asyncio.sleep(10)
        assert _count_complete(cluster) == 1
        members = cluster.list_complete()[0].hosts
        assert all(
            cluster.hosts[name].highest_number == numbers[name]
            for name in members
        )

    _run(test)


@pytest.mark.parametrize('fencing', ['checked', 'ignored'])
def test_a_new_leader_waits_before_it_orders_hosts_without_fencing(
    fencing,
):
    async def test(cluster):
        cluster.put(_make_deployment())
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        cluster.voters['one'].lease_end_ms = 0
        cluster.elect('two')
        acting_ms = clock.now_ms()
        # The hosts of the group must receive drain orders.
        cluster.put()
        orders = sum(len(host.taken_orders) for host in cluster.hosts.values())
        await wait_until(
            lambda: (
                sum(len(host.taken_orders) for host in cluster.hosts.values())
                > orders
            ),
            20,
            0.01,
        )
        waited_ms = clock.now_ms() - acting_ms
        if fencing == 'ignored':
            assert waited_ms >= fakes.LEASE_MS + 400
        else:
            assert waited_ms < fakes.LEASE_MS

    _run(test, {'fabric-1': fencing})


@pytest.mark.parametrize('fencing', ['checked', 'ignored'])
def test_a_lease_shorter_than_the_time_out_blocks_unfenced_orders(
    fencing,
):
    async def test(cluster):
        cluster.put(_make_deployment())
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        # Orders are retried continually while none arrives.
        cluster.unreachable_hosts.update(cluster.hosts)
        cluster.put()
        await asyncio.sleep(1)
        cluster.lease_ms = 390
        await asyncio.sleep(0.2)
        cluster.sent.clear()
        await asyncio.sleep(3)
        assert bool(cluster.sent) == (fencing == 'checked')

    _run(test, {'fabric-1': fencing})


def test_a_newly_started_leader_releases_nothing():
    async def test(cluster):
        cluster.put(_make_deployment())
        await wait_until(lambda: _count_complete(cluster) == 1, 30)
        epochs = list(cluster.epochs)
        # One group member's announcements reach the new leader late.
        cluster.unseen_hosts['two'].add(cluster.list_complete()[0].hosts[1])
        await cluster.restart('two')
        cluster.voters['one'].lease_end_ms = 0
        cluster.elect('two')
        await asyncio.sleep(8)
        cluster.unseen_hosts['two'].clear()
        await asyncio.sleep(20)
        assert cluster.epochs == epochs
        assert _count_complete(cluster) == 1

    _run(test)
