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
    async def test(world):
        world.put(_writer())
        world.stuck_leaders.add('one')
        # The orders to load are stuck in the frozen leader.
        await wait_until(lambda: world.stuck_orders, 20)
        await asyncio.sleep(2)
        world.lead('two')
        (record,) = world.groups.values()
        world.hosts[record.hosts[0]].die()
        await wait_until(lambda: _count(world) == 1, 60)
        numbers = {name: h.highest for name, h in world.hosts.items()}
        for host, order in world.stuck_orders:
            if host.is_alive:
                host.take_order(order)
        await asyncio.sleep(10)
        assert _count(world) == 1
        members = world.list_whole()[0].hosts
        assert all(
            world.hosts[name].highest == numbers[name] for name in members
        )

    _run(test)


@pytest.mark.parametrize('fencing', ['checked', 'ignored'])
def test_a_new_leader_waits_before_it_orders_hosts_that_ignore_numbers(
    fencing,
):
    async def test(world):
        world.put(_writer())
        await wait_until(lambda: _count(world) == 1, 30)
        world.voters['one'].lease_end_ms = 0
        world.lead('two')
        acting_ms = clock.now_ms()
        # The group's hosts are to be told to drain.
        world.put()
        orders = sum(len(host.taken) for host in world.hosts.values())
        await wait_until(
            lambda: (
                sum(len(host.taken) for host in world.hosts.values()) > orders
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
    async def test(world):
        world.put(_writer())
        await wait_until(lambda: _count(world) == 1, 30)
        # Orders are given again and again while none arrives.
        world.cut_hosts.update(world.hosts)
        world.put()
        await asyncio.sleep(1)
        world.lease_ms = 390
        await asyncio.sleep(0.2)
        world.sent.clear()
        await asyncio.sleep(3)
        assert bool(world.sent) == (fencing == 'checked')

    _run(test, {'fabric-1': fencing})


def test_a_process_that_has_just_started_and_leads_releases_nothing():
    async def test(world):
        world.put(_writer())
        await wait_until(lambda: _count(world) == 1, 30)
        epochs = list(world.epochs)
        # One host of the group is heard of last.
        world.late_hosts['two'].add(world.list_whole()[0].hosts[1])
        await world.restart('two')
        world.voters['one'].lease_end_ms = 0
        world.lead('two')
        await asyncio.sleep(8)
        world.late_hosts['two'].clear()
        await asyncio.sleep(20)
        assert world.epochs == epochs
        assert _count(world) == 1

    _run(test)
