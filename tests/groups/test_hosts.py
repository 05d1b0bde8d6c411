"""Presence and loss of hosts as the group controller sees them."""

import asyncio

from filbertglade.control import state
from filbertglade.groups import hosts
from filbertglade.inner import membership_pb2
from filbertglade.membership import presence
from tests.groups import fakes
from tests.membership import fakes as membership_fakes


def _run(test):
    async def main():
        table = presence.PresenceTable()
        monitor = hosts.HostMonitor(
            fakes.make_settings('one'), state.AgreedState(), table
        )
        await asyncio.sleep(100)
        await test(table, monitor)

    membership_fakes.run(main())


def _announce(table, sequence, **fields):
    announcement = membership_pb2.Announcement(
        host='host-1', run='run-1', sequence=sequence, **fields
    )
    table.note_host(announcement, 0, 'two')


async def _time_until_lost(monitor):
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while not monitor.is_lost('host-1'):
        await asyncio.sleep(0.1)
        monitor.refresh()
    return loop.time() - start_s


def test_a_silent_host_is_lost_after_the_limit_and_the_grace():
    async def test(table, monitor):
        _announce(table, 1)
        monitor.refresh()
        assert 5.5 < await _time_until_lost(monitor) < 6.5

    _run(test)


def test_a_host_behind_a_silent_control_host_gets_a_longer_grace():
    async def test(table, monitor):
        _announce(table, 1)
        table.silent_control_hosts = frozenset(['two'])
        monitor.refresh()
        assert 19 < await _time_until_lost(monitor) < 21

    _run(test)


def test_a_lost_connection_counts_unless_the_host_announces_again():
    async def test(table, monitor):
        _announce(table, 1)
        monitor.refresh()
        await asyncio.sleep(0.5)
        table.note_loss(membership_pb2.HostLoss(host='host-1', run='run-1'))
        monitor.refresh()
        assert not monitor.is_present('host-1')
        await asyncio.sleep(1)
        _announce(table, 2)
        monitor.refresh()
        assert monitor.is_present('host-1')
        table.note_loss(membership_pb2.HostLoss(host='host-1', run='run-1'))
        assert 1.5 < await _time_until_lost(monitor) < 2.5

    _run(test)


def test_a_return_is_estimated_only_from_enough_ended_absences():
    absences = hosts.AbsenceHistory()
    for number in range(6):
        absences.note_absent(f'host-{number}', 10_000 + number)
        absences.note_returned(f'host-{number}')
    assert 4_000 < absences.estimate_remaining_ms(5_000) < 6_000
    assert absences.estimate_remaining_ms(60_000) is None
    for number in range(10, 20):
        absences.note_absent(f'host-{number}', 100_000)
    assert absences.estimate_remaining_ms(5_000) is None
