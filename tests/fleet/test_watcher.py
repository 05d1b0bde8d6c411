"""What a watching host logs about its streams to control hosts."""

import asyncio
import random

from grpclib import server
import pytest

from filbertglade.fleet import frames
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from tests.control import network
from tests import virtual_time

ADDRESS = '127.0.0.1:9000'
PORT = 20001
FRAME = fleet_pb2.FleetFrame(is_leader=True, leader=ADDRESS)
VIEW_FRAME = fleet_pb2.FleetFrame(
    is_leader=True,
    leader=ADDRESS,
    replicas=[
        fleet_pb2.Replica(group=f'g-{number}', address='10.0.0.1:80')
        for number in range(3000)
    ],
)


class FakeLeader(fleet_grpc.FleetBase):
    """Sends some frames to each watcher and is silent then."""

    def __init__(self, sent_frames, pause_s):
        self._frames = sent_frames
        self._pause_s = pause_s
        self.reports = []

    async def Watch(self, stream):
        self.reports.append(await stream.recv_message())
        for frame in self._frames:
            await stream.send_message(frame)
            await asyncio.sleep(self._pause_s)
        await asyncio.Future()

    async def Enlist(self, stream):
        raise NotImplementedError


def watch(sent_frames, duration_s, pause_s=0.0, note_voters=None):
    """Watch a leader that sends some frames; return the watcher's metrics.

    :param pause_s: the leader's pause after each frame.
    :param note_voters: called with the voters that it names.
    """
    counters = metrics.Metrics()

    async def main():
        links = network.Network()
        links.ports = {'leader': PORT, 'host': 0}
        fleet_server = server.Server([FakeLeader(sent_frames, pause_s)])
        await fleet_server.start('127.0.0.1', PORT)
        fleet_watcher = watcher.Watcher(
            'host',
            'run',
            [ADDRESS],
            True,
            view.FleetView(),
            network.Channels(links, 'host', {ADDRESS: 'leader'}),
            counters,
            random.Random(1),
        )
        fleet_watcher.note_voters = note_voters
        fleet_watcher.start()
        await asyncio.sleep(duration_s)
        await fleet_watcher.close()
        fleet_server.close()
        await fleet_server.wait_closed()

    virtual_time.run(main())
    return counters


def select(log_lines, event):
    return [line for line in log_lines if line['message_type'] == event]


def test_a_lost_leader_is_logged_with_what_it_sent(log_lines):
    sent_frames = [VIEW_FRAME, FRAME, FRAME]
    watch(sent_frames, 1.15)
    (line,) = select(log_lines, 'leader.unwatched')
    assert line['reason'].startswith('TimeoutError')
    assert line['frames'] == len(sent_frames)
    expected_bytes = sum(frame.ByteSize() for frame in sent_frames)
    assert line['received_bytes'] == expected_bytes


def test_each_stream_is_counted_from_zero(log_lines):
    watch([FRAME], 4)
    lines = select(log_lines, 'leader.unwatched')
    assert len(lines) >= 3
    assert {line['frames'] for line in lines} == {1}


# Guards against a leader that counts as lost while a large frame is on its way
# over a slow link.
def test_parts_of_a_frame_show_that_the_leader_is_alive(log_lines):
    parts = list(frames.split_frame(VIEW_FRAME))
    assert len(parts) > 3
    # Longer than the time-out for all parts, shorter for each.
    pause_s = 0.8 * watcher.LEADER_TIMEOUT_MS / 1000
    watch(parts, pause_s * len(parts), pause_s)
    assert select(log_lines, 'replica.unusable')
    # The only stream lasts until the watcher is closed.
    (line,) = select(log_lines, 'leader.unwatched')
    assert line['reason'] == 'ended'


def test_a_control_host_without_a_first_frame_is_logged(log_lines):
    counters = watch([], 2)
    lines = select(log_lines, 'leader.silent')
    assert len(lines) == 2
    assert lines[0]['host'] == ADDRESS
    failures = counters.counter('leader_watch_failures', reason='TimeoutError')
    assert failures == 2
    assert not select(log_lines, 'leader.unwatched')


def find_leader(seed, duration_s, change_links):
    """Search for a leader among three control hosts.

    :param seed: of the order in which they are tried.
    :param change_links: called with the links before the search begins.
    :returns: the time until the leader's first frame in s; None without one.
    """

    async def main():
        links = network.Network()
        links.ports = {'leader': PORT, 'host': 0}
        change_links(links)
        addresses = {
            ADDRESS: 'leader',
            '127.0.0.2:9000': 'other-1',
            '127.0.0.3:9000': 'other-2',
        }
        fleet_server = server.Server([FakeLeader([FRAME] * 9, 0.3)])
        await fleet_server.start('127.0.0.1', PORT)
        fleet_view = view.FleetView()
        found_s = []
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        fleet_view.add_listener(lambda: found_s.append(loop.time() - start_s))
        fleet_watcher = watcher.Watcher(
            'host',
            'run',
            list(addresses),
            True,
            fleet_view,
            network.Channels(links, 'host', addresses),
            metrics.Metrics(),
            random.Random(seed),
        )
        fleet_watcher.start()
        await asyncio.sleep(duration_s)
        await fleet_watcher.close()
        fleet_server.close()
        await fleet_server.wait_closed()
        return found_s[0] if found_s else None

    return virtual_time.run(main())


# Guards against 0.4 s without service after a loss of power of all machines,
# for which each host waited for the control host that came back last.
@pytest.mark.parametrize('seed', range(6))
def test_control_hosts_without_power_are_passed_over(seed):
    def take_power(links):
        links.cut('host', 'other-1')
        links.cut('host', 'other-2')

    limit_s = watcher.FIRST_FRAME_TIMEOUT_MS / 1000
    assert find_leader(seed, 3, take_power) < limit_s


# Guards against a host that never connects over a slow link.
@pytest.mark.parametrize('seed', range(6))
def test_a_leader_to_which_connecting_takes_long_is_found(seed):
    def slow_down(links):
        links.link('host', 'leader').delay_s = 0.25

    assert find_leader(seed, 6, slow_down) < 3


# Guards against crashes that other hosts never learn of, because the host that
# saw them reported them to a control host that didn't lead.
def test_strikes_are_kept_until_a_leader_has_them():
    redirection = fleet_pb2.FleetFrame(
        leader=ADDRESS, control_hosts=[ADDRESS], voters_index=7
    )

    async def main():
        links = network.Network()
        links.ports = {'follower': PORT + 1, 'leader': PORT, 'host': 0}
        follower, leader = FakeLeader([redirection], 0), FakeLeader([FRAME], 0)
        servers = [server.Server([follower]), server.Server([leader])]
        await servers[0].start('127.0.0.1', PORT + 1)
        await servers[1].start('127.0.0.1', PORT)
        other = '127.0.0.2:9000'
        fleet_watcher = watcher.Watcher(
            'host',
            'run',
            [other],
            True,
            view.FleetView(),
            network.Channels(
                links, 'host', {ADDRESS: 'leader', other: 'follower'}
            ),
            metrics.Metrics(),
            random.Random(1),
        )
        fleet_watcher.crashes.report_strike(b'x', 'i-1')
        fleet_watcher.start()
        await asyncio.sleep(3)
        await fleet_watcher.close()
        for running in servers:
            running.close()
            await running.wait_closed()
        return follower.reports, leader.reports

    to_follower, to_leader = virtual_time.run(main())
    # The voters that the follower named are told to the next host.
    assert to_follower[0].voters_index == 0
    assert to_leader[0].voters_index == 7
    assert to_leader[0].control_hosts == [ADDRESS]
    assert len(to_follower[0].strikes) == 1
    # That the leader took it proves no receipt, so each stream carries it.
    assert [len(report.strikes) for report in to_leader][:2] == [1, 1]


# Guards against strikes and departures that only a lost leader has received.
def test_strikes_are_reported_to_the_next_leader_again():
    async def main():
        links = network.Network()
        links.ports = {'first': PORT, 'second': PORT + 1, 'host': 0}
        leaders = {
            'first': FakeLeader([FRAME], pause_s=0),
            'second': FakeLeader([FRAME], pause_s=0),
        }
        servers = [server.Server([item]) for item in leaders.values()]
        await servers[0].start('127.0.0.1', PORT)
        other = '127.0.0.2:9000'
        fleet_watcher = watcher.Watcher(
            'host',
            'run',
            [ADDRESS],
            True,
            view.FleetView(),
            network.Channels(
                links, 'host', {ADDRESS: 'first', other: 'second'}
            ),
            metrics.Metrics(),
            random.Random(1),
        )
        fleet_watcher.report_leaving('i-3')
        crashes = fleet_watcher.crashes
        crashes.report_strike(b'x', 'i-1')
        crashes.report_strike(b'y', 'i-1')
        crashes.report_broken(
            fleet_pb2.BrokenResponse(digest=b'z', endpoint='i-2')
        )
        fleet_watcher.start()
        await asyncio.sleep(0.5)
        crashes.report_served(b'y')
        fleet_watcher.set_seeds([other])
        servers[0].close()
        await servers[0].wait_closed()
        await servers[1].start('127.0.0.1', PORT + 1)
        await asyncio.sleep(5)
        await fleet_watcher.close()
        servers[1].close()
        await servers[1].wait_closed()
        return leaders

    leaders = virtual_time.run(main())
    for name in ('first', 'second'):
        report = leaders[name].reports[0]
        digests = {strike.digest for strike in report.strikes}
        assert digests == {'first': {b'x', b'y'}, 'second': {b'x'}}[name]
        assert [item.digest for item in report.broken_responses] == [b'z']
        # Each stream carries it, as its receipt isn't acknowledged.
        assert {tuple(item.leaving) for item in leaders[name].reports} == {
            ('i-3',)
        }
    (strike,) = leaders['second'].reports[0].strikes
    assert strike.age_ms >= 500


# Guards against a removed control host that isn't told of its removal by the
# hosts that it attaches to.
@pytest.mark.parametrize('is_leader', [False, True])
def test_voters_are_passed_on_from_frames_and_redirections(is_leader):
    noted = []
    frame = fleet_pb2.FleetFrame(
        is_leader=is_leader,
        leader=ADDRESS,
        control_hosts=['a', 'b'],
        voters_index=7,
    )
    watch([frame], 0.5, note_voters=lambda *voters: noted.append(voters))
    assert noted
    assert {(index, tuple(names)) for index, names, _ in noted} == {
        (7, ('a', 'b'))
    }
