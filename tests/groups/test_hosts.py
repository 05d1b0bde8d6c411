"""What the controller makes of hosts' presence."""

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
        watch = hosts.HostWatch(
            fakes.make_settings('one'), state.AgreedState(), table
        )
        await asyncio.sleep(100)
        await test(table, watch)

    membership_fakes.run(main())


def _announce(table, sequence, **said):
    announcement = membership_pb2.Announcement(
        host='host-1', run='run-1', sequence=sequence, **said
    )
    table.note_host(announcement, 0, 'two')


async def _time_until_gone(watch):
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while not watch.is_gone('host-1'):
        await asyncio.sleep(0.1)
        watch.refresh()
    return loop.time() - start_s


def test_a_silent_host_is_gone_after_the_limit_and_the_grace():
    async def test(table, watch):
        _announce(table, 1)
        watch.refresh()
        assert 5.5 < await _time_until_gone(watch) < 6.5

    _run(test)


def test_a_host_behind_an_unheard_control_host_is_waited_for():
    async def test(table, watch):
        _announce(table, 1)
        table.quiet_origins = frozenset(['two'])
        watch.refresh()
        assert 19 < await _time_until_gone(watch) < 21

    _run(test)


def test_a_lost_connection_counts_unless_the_host_proves_itself():
    async def test(table, watch):
        _announce(table, 1)
        watch.refresh()
        await asyncio.sleep(0.5)
        table.note_loss(membership_pb2.HostLoss(host='host-1', run='run-1'))
        watch.refresh()
        assert not watch.is_present('host-1')
        await asyncio.sleep(1)
        _announce(table, 2)
        watch.refresh()
        assert watch.is_present('host-1')
        table.note_loss(membership_pb2.HostLoss(host='host-1', run='run-1'))
        assert 1.5 < await _time_until_gone(watch) < 2.5

    _run(test)


def test_returns_are_expected_only_from_enough_and_recent_absences():
    absences = hosts.AbsenceRecord()
    for number in range(6):
        absences.note_absent(f'host-{number}', 10_000 + number)
        absences.note_returned(f'host-{number}')
    assert 4_000 < absences.expect_return_ms(5_000) < 6_000
    assert absences.expect_return_ms(60_000) is None
    for number in range(10, 20):
        absences.note_absent(f'host-{number}', 100_000)
    assert absences.expect_return_ms(5_000) is None
