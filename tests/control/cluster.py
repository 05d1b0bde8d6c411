"""A cluster of voters in one event loop, in virtual time, over gRPC."""

import asyncio
import random

import async_solipsism
from grpclib import server

from filbertglade.control import agreement
from filbertglade.control import failures
from filbertglade.control import state
from filbertglade.control import submission
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade.settings import model
from tests.control import memory_storage
from tests.control import network

NAMES = ('one', 'two', 'three', 'four', 'five', 'six', 'seven')


def run(coroutine):
    """Run a test's coroutine in virtual time."""
    loop = async_solipsism.EventLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(asyncio.wait_for(coroutine, 3600))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def make_settings(name, names, folder='memory', **control):
    hosts = [
        model.ControlHostSettings(host, f'127.0.0.1:{9000 + place}', 'north')
        for place, host in enumerate(names)
    ]
    listen = model.ListenSettings('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3')
    return model.NodeSettings(
        name=name,
        region='central',
        data_centre='north',
        listen=listen,
        control=model.ControlSettings(hosts, folder, **control),
    )


class Node:
    """One control host of the cluster."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.disk = memory_storage.Disk()
        self.agreement = None
        self._lock = asyncio.Lock()
        # Every (index, command) applied, over all restarts of the node.
        self.applied = []
        self.acting_log = []

    def make_storage(self):
        return memory_storage.MemoryStorage(self.disk)

    async def start(self):
        async with self._lock:
            return await self._start()

    async def _start(self):
        cluster = self.cluster
        self.settings = make_settings(
            self.name, cluster.names, **cluster.control
        )
        self.state = state.AgreedState()
        self.counters = metrics.Metrics()
        self.storage = self.make_storage()
        self.channels = cluster.make_channels(self.name)
        self.agreement = agreement.Agreement(
            self.settings,
            self.state,
            self.storage,
            self.channels,
            self.counters,
            cluster.rng,
        )
        self.agreement.add_leadership_listener(self._note_acting)
        self._number = 0
        self.state.add_listener(self._record)
        failure = await self.agreement.start()
        if failure is not None:
            self.agreement = None
            return failure
        commands = submission.CommandsServicer(
            self.settings, self.agreement, self.channels, metrics.Metrics()
        )
        self.local = commands.local
        self.server = server.Server([self.agreement.servicer, commands])
        # Other hosts may start at the same time.
        cluster.port += 1
        port = cluster.port
        await self.server.start('127.0.0.1', port)
        cluster.network.ports[self.name] = port
        return None

    def _record(self, command):
        self.applied.append(
            (self.state.applied_index, command.SerializeToString())
        )
        number = self.state.configuration.current.number
        if number < self._number:
            self.cluster.faults.append(
                f'{self.name}: the configuration number decreased'
            )
        self._number = number
        kind = command.WhichOneof('kind') or ''
        if kind.startswith('voter'):
            self.cluster.last_voter_change = max(
                self.cluster.last_voter_change, self.state.applied_index
            )
        self.cluster.check_applied(self)

    def _note_acting(self, acting):
        self.acting_log.append(acting)
        if acting:
            term = self.agreement.status().term
            led = self.cluster.leader_of_term.setdefault(term, self.name)
            if led != self.name:
                self.cluster.faults.append(f'two leaders in term {term}')

    @property
    def is_up(self):
        return self.agreement is not None

    async def stop(self):
        """Stop as a crash would: nothing more is written or sent."""
        async with self._lock:
            await self._stop()

    async def _stop(self):
        if self.agreement is None:
            return
        self.storage.crashed.set()
        self.cluster.network.ports.pop(self.name, None)
        self.cluster.network.reset(self.name)
        stopped, self.agreement = self.agreement, None
        self.server.close()
        await self.server.wait_closed()
        await self.local.close()
        await stopped.close()

    async def restart(self):
        await self.stop()
        return await self.start()


class Cluster:
    """Control hosts that found one cluster together."""

    def __init__(self, count, seed=1, **control):
        self.names = NAMES[:count]
        self.control = control
        self.rng = random.Random(seed)
        self.network = network.Network()
        self.port = 20000
        # The command at each index, as the first node applied it.
        self.history = {}
        self.leader_of_term = {}
        self.last_voter_change = 0
        # Violations found by any task during the test.
        self.faults = []
        self.nodes = {name: Node(self, name) for name in self.names}

    def make_channels(self, name):
        names = {
            f'127.0.0.1:{9000 + place}': host
            for place, host in enumerate(self.names)
        }
        return network.Channels(self.network, name, names)

    async def start(self):
        for node in self.nodes.values():
            node.disk.mark_founding(node.name)
            assert await node.start() is None
        return self

    async def stop(self):
        for node in self.nodes.values():
            await node.stop()

    async def __aenter__(self):
        return await self.start()

    async def __aexit__(self, *error):
        await self.stop()

    @property
    def up(self):
        return [node for node in self.nodes.values() if node.is_up]

    @property
    def acting_leaders(self):
        return [node for node in self.up if node.agreement.is_leader]

    def check_applied(self, node):
        """Check that all nodes apply the same command at an index."""
        index, data = node.applied[-1]
        if data and self.history.setdefault(index, data) != data:
            self.faults.append(
                f'{node.name}: different command at index {index}'
            )

    def check(self):
        """Check that at most one node acts as leader, and for violations."""
        assert len(self.acting_leaders) <= 1
        assert not self.faults

    async def wait_until(self, condition, limit_s=60.0):
        """Run until a condition holds, checking the cluster on the way."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while not condition():
            assert loop.time() < end_s, self.describe()
            self.check()
            await asyncio.sleep(0.01)

    def describe(self):
        return '\n'.join(str(node.agreement.status()) for node in self.up)

    async def pass_time(self, seconds):
        end_s = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_s:
            self.check()
            await asyncio.sleep(0.01)

    async def leader(self):
        await self.wait_until(lambda: self.acting_leaders)
        return self.acting_leaders[0]

    async def followers(self):
        leader = await self.leader()
        return [node for node in self.up if node is not leader]

    async def catch_up(self):
        """Wait until all running nodes have applied the leader's log."""

        def has_caught_up():
            if not self.acting_leaders:
                return False
            last = self.acting_leaders[0].agreement.status().last_index
            return all(node.state.applied_index >= last for node in self.up)

        await self.wait_until(has_caught_up)


def put(number, change_id=None, size=10):
    return commands_pb2.Command(
        put_configuration=commands_pb2.PutConfiguration(
            number=number,
            change_id=change_id or f'change-{number}',
            document=b'x' * size,
            digest=f'digest-{number}',
        )
    )


async def submit(node, command, timeout_ms=5000):
    result = await node.local.submit(command, timeout_ms)
    assert not isinstance(result, failures.SubmitFailure), str(result)
    return result
