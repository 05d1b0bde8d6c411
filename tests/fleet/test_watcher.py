"""What a watching host logs about its streams to control hosts."""

import asyncio
import random

from grpclib import server

from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from tests.control import network
from tests.fleet import documents
from tests import virtual_time

ADDRESS = '127.0.0.1:9000'
PORT = 20001
FRAME = fleet_pb2.FleetFrame(is_leader=True, leader=ADDRESS)
DOCUMENT_FRAME = fleet_pb2.FleetFrame(
    is_leader=True,
    leader=ADDRESS,
    document=fleet_pb2.Document(
        version=3, text=documents.write(documents.PLAIN)
    ),
)


class FakeLeader(fleet_grpc.FleetBase):
    """Sends some frames to each watcher and is silent then."""

    def __init__(self, frames):
        self._frames = frames

    async def Watch(self, stream):
        await stream.recv_message()
        for frame in self._frames:
            await stream.send_message(frame)
        await asyncio.Future()

    async def Enlist(self, stream):
        raise NotImplementedError


def watch(frames, duration_s):
    """Watch a leader that sends some frames; return the watcher's metrics."""
    counters = metrics.Metrics()

    async def main():
        links = network.Network()
        links.ports = {'leader': PORT, 'host': 0}
        fleet_server = server.Server([FakeLeader(frames)])
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
    frames = [DOCUMENT_FRAME, FRAME, FRAME]
    watch(frames, 1.15)
    (line,) = select(log_lines, 'leader.unwatched')
    assert line['reason'].startswith('TimeoutError')
    assert line['frames'] == len(frames)
    expected_bytes = sum(frame.ByteSize() for frame in frames)
    assert line['received_bytes'] == expected_bytes


def test_each_stream_is_counted_from_zero(log_lines):
    watch([FRAME], 4)
    lines = select(log_lines, 'leader.unwatched')
    assert len(lines) >= 3
    assert {line['frames'] for line in lines} == {1}


def test_a_document_in_force_is_logged_with_size_and_time(log_lines):
    watch([DOCUMENT_FRAME], 1)
    (line,) = select(log_lines, 'document.in_force')
    assert line['bytes'] == len(DOCUMENT_FRAME.document.text)
    assert line['parse_ms'] >= 0
    assert line['index_ms'] >= 0


def test_a_control_host_without_a_first_frame_is_logged(log_lines):
    counters = watch([], 2)
    lines = select(log_lines, 'leader.silent')
    assert len(lines) == 2
    assert lines[0]['host'] == ADDRESS
    failures = counters.counter('leader_watch_failures', reason='TimeoutError')
    assert failures == 2
    assert not select(log_lines, 'leader.unwatched')
