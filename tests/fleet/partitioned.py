"""Control hosts and an entry host in virtual time, on links that can be cut.

Each control host has the real publisher, relay and stream to the leader.
Which one leads is set by the test.
"""

import asyncio
import contextlib
import random
import types

from grpclib import server

from filbertglade.fleet import leader_search
from filbertglade.fleet import relay_server
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.gateway import control_context
from filbertglade.gateway import relay_role
from filbertglade.inner import fleet_grpc
from filbertglade.observability import metrics
from tests.control import network
from tests.fleet import leaders

POLL_S = 0.01
ENTRY = 'entry'


class Watching:
    """What a host knows, and its stream to the leader."""

    def __init__(self, deployment, name, takes_callers, counters):
        self.name = name
        self.view = view.FleetView()
        self.counters = counters
        self.channels = network.Channels(
            deployment.links, name, deployment.names
        )
        search = leader_search.LeaderSearch(
            self.channels, counters, deployment.rng
        )
        self.watcher = watcher.Watcher(
            name,
            f'run-{name}',
            list(deployment.names),
            takes_callers,
            self.view,
            self.channels,
            counters,
            deployment.rng,
            search if deployment.uses_hops else None,
        )


class ControlHost(Watching):
    """A control host."""

    def __init__(self, deployment, address):
        name = deployment.names[address]
        self.leading = leaders.Leader()
        super().__init__(deployment, name, False, self.leading.counters)
        self.address = address
        self.publisher = self.leading.publisher
        self.publisher._membership.seeds = list(deployment.names)
        self.voters = self.leading.voters
        self.voters.is_leader = False
        self.voters.leader = ''
        self.voters.leader_age_ms = lambda: 0
        # Replaces the group of the publisher that every host has.
        self.leading.replicas.clear()
        self.context = control_context.ControlContext(
            f'{address.partition(":")[0]}:80',
            self.leading.agreed,
            self.voters,
            self.leading.registry,
            None,
            self.counters,
            types.SimpleNamespace(index=None),
        )
        self.role = relay_role.RelayRole(
            address,
            self.context,
            self.voters,
            self.watcher,
            self.publisher,
            self.channels,
            self.counters,
        )
        self.context.leader_caller = self.role
        self.relays = relay_server.RelayServer(
            self.role, self.channels, self.counters
        )
        self.server = server.Server([self.publisher, self.relays])

    @property
    def entry_watchers(self):
        return list(self.publisher._entry_hosts.watchers.values())


class Silent(fleet_grpc.RelaysBase):
    """A control host that accepts calls and answers none."""

    async def Probe(self, stream):
        await asyncio.Future()

    Watch = Announce = Probe


class Deployment:
    """Five control hosts and an entry host.

    :param seed: of all random choices.
    :param uses_hops: whether hosts search for hops.
    """

    def __init__(self, seed=1, uses_hops=True):
        self.rng = random.Random(seed)
        self.uses_hops = uses_hops
        self.links = network.Network()
        self.names = {f'127.0.1.{n}:9000': f'c{n}' for n in range(1, 6)}
        self.links.ports = {f'c{n}': 20000 + n for n in range(1, 6)}
        self.links.ports[ENTRY] = 0
        self.hosts = {
            name: ControlHost(self, address)
            for address, name in self.names.items()
        }
        self.entry = Watching(self, ENTRY, True, metrics.Metrics())

    def add_entries(self, count):
        """Return further entry hosts, which the test starts and closes."""
        names = [f'{ENTRY}-{number}' for number in range(count)]
        self.links.ports |= dict.fromkeys(names, 0)
        return [
            Watching(self, name, True, metrics.Metrics()) for name in names
        ]

    @property
    def now_s(self):
        return asyncio.get_running_loop().time()

    def lead(self, name, known_to=('c1', 'c2', 'c3', 'c4', 'c5')):
        """Let a control host lead; the others that are named know it."""
        for host in known_to:
            self.hosts[host].voters.is_leader = host == name
            self.hosts[host].voters.leader = self.hosts[name].address

    @contextlib.asynccontextmanager
    async def run(self, silent=()):
        """Run all hosts.

        :param silent: control hosts that accept calls and answer none.
        """
        servers = []
        for name, host in self.hosts.items():
            running = server.Server([Silent()])
            if name not in silent:
                running = host.server
                host.watcher.start()
            await running.start('127.0.0.1', self.links.ports[name])
            servers.append(running)
        # Control hosts follow the leader before others need a hop.
        await asyncio.sleep(1)
        self.entry.watcher.start()
        try:
            yield self
        finally:
            await self.entry.watcher.close()
            for host in self.hosts.values():
                await host.watcher.close()
            for running in servers:
                running.close()
                await running.wait_closed()

    async def wait_until(self, condition, limit_s):
        """Return how long it took in s until a condition held, or fail."""
        start_s = self.now_s
        while not condition():
            assert self.now_s - start_s <= limit_s, 'not in time'
            await asyncio.sleep(POLL_S)
        return self.now_s - start_s

    async def wait_for_hop(self, limit_s=1.5):
        entry = self.entry
        return await self.wait_until(
            lambda: entry.watcher.uses_hop and entry.watcher.watched_host,
            limit_s,
        )
