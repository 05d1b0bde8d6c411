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
        world.put(_writer(version='2'))
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


def test_no_order_goes_to_a_host_that_ignores_numbers_near_the_leases_end():
    async def test(world):
        world.put(_writer())
        await wait_until(lambda: _count(world) == 1, 30)
        world.put(_writer(version='2'))
        # The lease is renewed no more, and nobody else leads yet.
        world.leader = ''
        end_ms = world.voters['one'].lease_end_ms
        await asyncio.sleep(3)
        for host in world.hosts.values():
            assert all(
                taken.at_ms <= end_ms - 400 + 60 for taken in host.taken
            )

    _run(test, {'fabric-1': 'ignored'})


def test_a_new_leader_releases_no_group_that_it_has_not_watched():
    async def test(world):
        world.put(_writer(replicas=2))
        await wait_until(lambda: _count(world) == 2, 30)
        # The second leader's process has just started.
        world.tables['two'].hosts.clear()
        epochs = list(world.epochs)
        world.voters['one'].lease_end_ms = 0
        world.lead('two')
        await asyncio.sleep(20)
        assert world.epochs == epochs
        assert _count(world) == 2

    _run(test)
