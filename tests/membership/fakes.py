"""Control hosts, nodes and hosts in one event loop with virtual time."""

import asyncio
import random

import async_solipsism
from grpclib import server

from filbertglade.control import state
from filbertglade.inner import commands_pb2
from filbertglade.inner import membership_pb2
from filbertglade.membership import announcements
from filbertglade.membership import attachment
from filbertglade.membership import membership_server
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.settings import model
from tests.control import network

FIRST_PORT = 9000


def run(coroutine, limit_s=36_000):
    """Run a coroutine in virtual time."""
    loop = async_solipsism.EventLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(asyncio.wait_for(coroutine, limit_s))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


async def wait_until(test, limit_s=30, step_s=0.05):
    """Wait until a condition holds; return the seconds that it took."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while not test():
        assert loop.time() - start_s < limit_s, 'not within the limit'
        await asyncio.sleep(step_s)
    return loop.time() - start_s


def pause(seconds):
    """Simulate a pause: time passes and no task runs."""
    asyncio.get_running_loop()._selector.clock.advance(seconds)


class FakeVoters:
    """Replaces the replicated log on one control host."""

    def __init__(self, agreed):
        self.agreed = agreed
        self.is_leader = False
        self.leader = ''
        self.lease_ms = 900
        self.listeners = []

    def leader_age_ms(self):
        return 0

    def lease_remaining_ms(self):
        return self.lease_ms if self.is_leader else 0

    def add_leadership_listener(self, listener):
        self.listeners.append(listener)

    async def submit(self, command, timeout_ms):
        return self.agreed.apply(self.agreed.applied_index + 1, command)


class FakeHost:
    """A host that announces itself to a node in place of its engine."""

    def __init__(self, cluster, name, node, **announced):
        self.cluster = cluster
        self.name = name
        self.node = node
        self.announced = {
            'region': 'central',
            'data_centre': 'north',
            'address': '127.0.0.1:1',
            'fabric_domain': 'fabric-1',
            **announced,
        }
        self.sequence = 0
        self.token = ''
        self.token_s = 0.0
        self.brings_token = True
        self.delay_s = lambda: 0.0
        self.is_silent = False
        self.task = asyncio.create_task(self._announce())

    async def _announce(self):
        loop = asyncio.get_running_loop()
        while True:
            if not self.is_silent:
                form = self.build_form()
                await asyncio.sleep(self.delay_s())
                self.token = self.cluster.nodes[self.node].inbox.accept(form)
                self.token_s = loop.time()
            await asyncio.sleep(0.5)

    def build_form(self):
        loop = asyncio.get_running_loop()
        self.sequence += 1
        proof = {}
        if self.brings_token and self.token:
            held_ms = int((loop.time() - self.token_s) * 1000)
            proof = {'token': self.token, 'held_ms': held_ms}
        return announcements.AnnouncementForm(
            host=self.name,
            run='run-1',
            sequence=self.sequence,
            **self.announced,
            **proof,
        )


class ControlHost:
    """A control host's membership server behind a gRPC server."""

    def __init__(self, cluster, name):
        self.name = name
        self.settings = cluster.make_settings(name, 'memory')
        self.agreed = state.AgreedState()
        self.voters = FakeVoters(self.agreed)
        self.counters = metrics.Metrics()
        self.membership_server = membership_server.MembershipServer(
            self.settings,
            self.agreed,
            self.voters,
            network.Channels(cluster.network, name, cluster.addresses),
            self.counters,
        )
        self.server = server.Server([self.membership_server])


class Node:
    """A node's attachment and its view of the fleet."""

    def __init__(self, cluster, name, **changed):
        self.settings = cluster.make_settings(name, **changed)
        self.counters = metrics.Metrics()
        self.inbox = announcements.AnnouncementInbox(f'run-of-{name}')
        self.fleet = view.FleetView(self.settings)
        self.attachment = attachment.Attachment(
            self.settings,
            f'run-of-{name}',
            self.inbox,
            self.fleet,
            network.Channels(cluster.network, name, cluster.addresses),
            self.counters,
        )

    def routes_to(self, deployment='writer'):
        return sorted(
            seen.line.group for seen in self.fleet.list_groups(deployment)
        )


class Cluster:
    """Control hosts, nodes and hosts."""

    def __init__(self, control=('one', 'two', 'three'), seed=1):
        self.rng = random.Random(seed)
        self.network = network.Network()
        self.names = control
        self.addresses = {
            f'127.0.0.1:{FIRST_PORT + place}': name
            for place, name in enumerate(control)
        }
        # Data centres of the control hosts that aren't in north.
        self.data_centres = {}
        self.control = {}
        self.nodes = {}
        self.hosts = {}

    def make_settings(
        self, name, folder='', data_centre='north', region='central'
    ):
        hosts = [
            model.ControlHostSettings(
                control, address, self.data_centres.get(control, 'north')
            )
            for address, control in self.addresses.items()
        ]
        listen = model.ListenSettings(
            '127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'
        )
        return model.NodeSettings(
            name=name,
            region=region,
            data_centre=data_centre,
            listen=listen,
            control=model.ControlSettings(hosts, folder),
        )

    async def start(self, nodes=('node-1', 'node-2', 'node-3')):
        for place, name in enumerate(self.names):
            host = ControlHost(self, name)
            self.control[name] = host
            await host.server.start('127.0.0.1', FIRST_PORT + place)
            self.network.ports[name] = FIRST_PORT + place
            await host.membership_server.start()
        self.control[self.names[0]].voters.is_leader = True
        for name in nodes:
            await self.start_node(name)

    async def start_node(self, name, **changed):
        node = Node(self, name, **changed)
        self.nodes[name] = node
        self.network.ports[name] = 0
        await node.attachment.start()
        return node

    def add_host(self, name, node, **announced):
        self.hosts[name] = FakeHost(self, name, node, **announced)
        return self.hosts[name]

    def add_group(self, nodes, count=4, group='writer-1', **announced):
        """Commit a serving group and let its hosts announce it."""
        names = [f'{group}-host-{i + 1}' for i in range(count)]
        form = commands_pb2.GroupRecord(
            group=group,
            deployment='writer',
            fabric_domain='fabric-1',
            hosts=names,
        )
        epoch = self.apply(
            commands_pb2.Command(
                group_change=commands_pb2.GroupChange(form=form)
            )
        )
        move = commands_pb2.GroupMove(
            group=group, epoch=epoch, phase=commands_pb2.SERVING
        )
        self.apply(
            commands_pb2.Command(
                group_change=commands_pb2.GroupChange(move=move)
            )
        )
        for place, name in enumerate(names):
            self.add_host(
                name,
                nodes[place % len(nodes)],
                group=group,
                epoch=epoch,
                ready=True,
                **announced,
            )
        return names

    def apply(self, command, names=None):
        """Apply a command on all control hosts, or on some."""
        for name in names or self.names:
            agreed = self.control[name].agreed
            index = agreed.applied_index + 1
            agreed.apply(index, command)
        return index

    async def close(self):
        for host in self.hosts.values():
            host.task.cancel()
        for node in self.nodes.values():
            await node.attachment.close()
        for host in self.control.values():
            await host.membership_server.close()
            host.server.close()
            await host.server.wait_closed()


def put_configuration(number):
    """Return a command that puts a small document in force."""
    document = b'{"number": %d, "change_id": "change-%d"}' % (number, number)
    put = commands_pb2.PutConfiguration(
        number=number,
        change_id=f'change-{number}',
        document=document,
        digest=str(number),
    )
    return commands_pb2.Command(put_configuration=put)


def strike(digest):
    return membership_pb2.Strike(digest=digest, group='writer-1')
