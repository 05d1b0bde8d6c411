"""Orders of leaders that froze, lost their lease, or are new."""

import asyncio

import pytest

from filbertglade import clock
from tests.groups import fakes
from tests.groups import test_controller
from tests.membership import fakes as membership_fakes

wait_until = membership_fakes.wait_until
_run = test_controller._run
_count = test_controller._count
_writer = test_controller._writer


def test_a_frozen_leaders_orders_do_not_win_against_a_newer_epoch():
    async def test(cluster):
        cluster.put(_writer())
        cluster.stuck_leaders.add('one')
        # The orders to load are stuck in the frozen leader.
        await wait_until(lambda: cluster.stuck_orders, 20)
        await asyncio.sleep(2)
        cluster.lead('two')
        (record,) = cluster.groups.values()
        cluster.hosts[record.hosts[0]].die()
        await wait_until(lambda: _count(cluster) == 1, 60)
        numbers = {name: h.highest for name, h in cluster.hosts.items()}
        for host, order in cluster.stuck_orders:
            if host.is_alive:
                host.take_order(order)
        await asyncio.sleep(10)
        assert _count(cluster) == 1
        members = cluster.list_complete()[0].hosts
        assert all(
            cluster.hosts[name].highest == numbers[name] for name in members
        )

    _run(test)


@pytest.mark.parametrize('fencing', ['checked', 'ignored'])
def test_a_new_leader_waits_before_it_orders_hosts_that_ignore_numbers(
    fencing,
):
    async def test(cluster):
        cluster.put(_writer())
        await wait_until(lambda: _count(cluster) == 1, 30)
        cluster.voters['one'].lease_end_ms = 0
        cluster.lead('two')
        acting_ms = clock.now_ms()
        # The group's hosts are to be told to drain.
        cluster.put()
        orders = sum(len(host.taken) for host in cluster.hosts.values())
        await wait_until(
            lambda: (
                sum(len(host.taken) for host in cluster.hosts.values())
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
def test_a_lease_shorter_than_the_time_out_lets_no_order_go_to_such_hosts(
    fencing,
):
    async def test(cluster):
        cluster.put(_writer())
        await wait_until(lambda: _count(cluster) == 1, 30)
        # Orders are given again and again while none arrives.
        cluster.cut_hosts.update(cluster.hosts)
        cluster.put()
        await asyncio.sleep(1)
        cluster.lease_ms = 390
        await asyncio.sleep(0.2)
        cluster.sent.clear()
        await asyncio.sleep(3)
        assert bool(cluster.sent) == (fencing == 'checked')

    _run(test, {'fabric-1': fencing})


def test_a_process_that_has_just_started_and_leads_releases_nothing():
    async def test(cluster):
        cluster.put(_writer())
        await wait_until(lambda: _count(cluster) == 1, 30)
        epochs = list(cluster.epochs)
        # One host of the group is heard of last.
        cluster.unseen_hosts['two'].add(cluster.list_complete()[0].hosts[1])
        await cluster.restart('two')
        cluster.voters['one'].lease_end_ms = 0
        cluster.lead('two')
        await asyncio.sleep(8)
        cluster.unseen_hosts['two'].clear()
        await asyncio.sleep(20)
        assert cluster.epochs == epochs
        assert _count(cluster) == 1

    _run(test)
