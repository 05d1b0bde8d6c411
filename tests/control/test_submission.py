"""Submission of commands over real sockets and files."""

import asyncio
import pathlib
import random
import socket

from grpclib import server
from h2 import exceptions as h2_exceptions

from filbertglade.control import agreement
from filbertglade.control import failures
from filbertglade.control import file_storage
from filbertglade.control import identity
from filbertglade.control import state
from filbertglade.control import submission
from filbertglade.control import submitter
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade.settings import model
from tests.control import cluster


def find_ports(count):
    listeners = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


class Host:
    def __init__(self, settings):
        self.settings = settings
        self.state = state.AgreedState()

    async def start(self):
        factory = channels.SocketChannels()
        folder = self.settings.control.data_folder
        self.agreement = agreement.Agreement(
            self.settings,
            self.state,
            file_storage.FileStorage(pathlib.Path(folder)),
            factory,
            metrics.Metrics(),
            random.Random(1),
        )
        assert await self.agreement.start() is None
        commands = submission.CommandsServicer(
            self.settings, self.agreement, factory, metrics.Metrics()
        )
        self.local = commands.local
        self.server = server.Server([self.agreement.servicer, commands])
        port = int(self.settings.listen.inner.rpartition(':')[2])
        await self.server.start('127.0.0.1', port)

    async def stop(self):
        self.server.close()
        await self.local.close()
        await self.agreement.close()


def make_hosts(tmp_path, count):
    names = cluster.NAMES[:count]
    hosts = [
        model.ControlHostSettings(name, f'127.0.0.1:{port}', 'north')
        for name, port in zip(names, find_ports(count), strict=True)
    ]
    found = []
    for host in hosts:
        settings = cluster.make_settings(host.name, names)
        settings.control.hosts = hosts
        settings.control.data_folder = tmp_path / host.name
        settings.listen.inner = host.address
        assert identity.init_control(settings) is None
        found.append(Host(settings))
    return found


async def until(condition):
    async with asyncio.timeout(30):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def test_three_hosts_commit_commands_sent_by_a_node(tmp_path):
    hosts = make_hosts(tmp_path, 3)
    for host in hosts:
        await host.start()
    node = submission.RemoteSubmitter(
        cluster.make_settings('node', cluster.NAMES[:3], ''),
        channels.SocketChannels(),
        metrics.Metrics(),
    )
    node._addresses = [host.settings.listen.inner for host in hosts]
    await node.start()
    results = await asyncio.gather(
        *(node.submit(cluster.put(1, f'race-{n}'), 20_000) for n in range(20))
    )
    verdicts = [result.configuration.verdict for result in results]
    assert sorted(verdicts) == [0] + [1] * 19
    await until(
        lambda: all(h.state.configuration.current.number for h in hosts)
    )
    await node.close()
    for host in hosts:
        await host.stop()


async def test_one_host_restarts_from_its_folder(tmp_path):
    (host,) = make_hosts(tmp_path, 1)
    await host.start()
    await until(lambda: host.agreement.is_leader)
    for number in range(1, 6):
        await host.local.submit(cluster.put(number), 5000)
    await host.stop()
    again = Host(host.settings)
    await again.start()
    await until(lambda: again.state.configuration.current.number == 5)
    await again.stop()


async def test_command_without_a_control_host_is_never_sent(tmp_path):
    node = submission.RemoteSubmitter(
        cluster.make_settings('node', cluster.NAMES[:3], ''),
        channels.SocketChannels(),
        metrics.Metrics(),
    )
    result = await node.submit(cluster.put(1), 300)
    assert isinstance(result, failures.SubmitFailure)
    assert not result.may_have_applied
    await node.close()


class ImmediateSubmitter(submitter.Submitter):
    async def submit(self, command, timeout_ms):
        return commands_pb2.CommandResult()


class DisconnectedStream:
    """A stream whose sender disconnected before the commit."""

    async def send_message(self, reply):
        raise h2_exceptions.StreamClosedError(1)


async def test_a_reply_to_a_disconnected_sender_is_no_error():
    commands = submission.CommandsServicer(
        cluster.make_settings('one', cluster.NAMES[:1]),
        ImmediateSubmitter(),
        channels.SocketChannels(),
        metrics.Metrics(),
    )
    request = commands_pb2.SubmitRequest(forwarded=True)
    waiting = submission._PendingCount()
    waiting.value = 1
    await commands._submit_and_reply(request, DisconnectedStream(), waiting)
    assert waiting.value == 0
