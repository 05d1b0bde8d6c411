"""Simulated leaders, hosts and a router in one event loop with virtual time.

Hosts record every order that they accept, so that tests check the state of
the hosts and not the leader's view of it.
"""

import asyncio
import collections
import dataclasses
import json
import random

from filbertglade import clock
from filbertglade.control import failures as control_failures
from filbertglade.control import state
from filbertglade import failures
from filbertglade.groups import controller
from filbertglade.groups import orders
from filbertglade.inner import commands_pb2
from filbertglade.inner import membership_pb2
from filbertglade.membership import presence
from filbertglade.membership import routing_lines
from filbertglade.observability import metrics
from filbertglade.settings import model

LEADERS = ('one', 'two')
ANNOUNCE_S = 0.5
LEASE_MS = 900


def build_document(number, deployments, domains, loads_at_once=8):
    """Return a document; deployments and domains are lists of fields."""
    document = {
        'number': number,
        'change_id': f'change-{number}',
        'fabric_domains': [
            {'name': name, 'data_centre': 'north', 'fencing': fencing}
            for name, fencing in domains.items()
        ],
        'deployments': [
            {
                'model': 'writer',
                'version': '1',
                'customers': [],
                'fabric_domains': list(domains),
                'hosts_per_replica': 4,
                **deployment,
            }
            for deployment in deployments
        ],
        'limits': {'loads_at_once': loads_at_once},
    }
    return json.dumps(document).encode()


def make_settings(name):
    listen = model.ListenSettings('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3')
    hosts = [
        model.ControlHostSettings(leader, f'127.0.0.1:{9000 + i}', 'north')
        for i, leader in enumerate(LEADERS)
    ]
    return model.NodeSettings(
        name=name,
        region='central',
        data_centre='north',
        listen=listen,
        control=model.ControlSettings(hosts, 'memory', lease_ms=LEASE_MS),
    )


@dataclasses.dataclass
class TakenOrder:
    """An order that a host accepted."""

    at_ms: int
    kind: str
    number: int
    group: str
    epoch: int


class FakeHost:
    """A simulated host of model engines."""

    def __init__(self, cluster, name, domain, checks_fencing, load_s):
        self.cluster = cluster
        self.name = name
        self.domain = domain
        self.checks_fencing = checks_fencing
        self.load_s = load_s
        self.is_alive = True
        self.is_paused = False
        self.is_leaving = False
        self.incarnation = 1
        self.sequence = 0
        self.active = 0
        self.taken_orders = []
        self.buffered = []
        self.loading_leader = ''
        self.highest_number = 0
        self._reset()

    def _reset(self):
        self.group, self.epoch = '', 0
        self.is_loaded = self.is_draining = False
        self.model = ''
        self.loaded_at_s = None
        self.holds_weights = False
        self.was_paused = False

    def pause(self):
        self.is_paused = self.is_alive
        self.was_paused = True

    def die(self):
        self.is_alive = False
        self.buffered.clear()
        self._reset()

    def come_back(self):
        if not self.is_alive:
            self.is_alive = True
            self.incarnation += 1
            self.sequence = 0
        self.is_paused = False
        buffered, self.buffered = self.buffered, []
        for order in buffered:
            self.take_order(order)
            # The leader does not count loads that a pause delayed.
            self.was_paused = True

    @property
    def serving(self):
        """The group and epoch in which the host actually serves."""
        self._finish_load()
        return (self.group, self.epoch) if self.is_loaded else ('', 0)

    def _finish_load(self):
        if self.is_paused or self.loaded_at_s is None:
            return
        if asyncio.get_running_loop().time() >= self.loaded_at_s:
            self.is_loaded = bool(self.group)
            self.holds_weights = True
            self.loaded_at_s = None

    def take_order(self, order):
        if self.is_paused:
            self.buffered.append(order)
            return failures.Failure(orders.OrderReason.UNREACHABLE)
        if self.checks_fencing and order.fencing_number < self.highest_number:
            return failures.Failure(orders.OrderReason.FENCED)
        self.highest_number = max(self.highest_number, order.fencing_number)
        self.taken_orders.append(
            TakenOrder(
                clock.now_ms(),
                order.action.value,
                order.fencing_number,
                order.group,
                order.epoch,
            )
        )
        is_same = (self.group, self.epoch) == (order.group, order.epoch)
        if order.action is orders.OrderAction.DRAIN:
            self.is_draining = self.is_draining or is_same
        elif order.action is orders.OrderAction.RELEASE:
            self._reset()
        elif is_same:
            self.is_draining = False
            if order.action is orders.OrderAction.PRELOAD and (
                self.model != order.weights
            ):
                self._load(order)
        elif order.action is orders.OrderAction.LOAD:
            self._load(order)
        return None

    def _load(self, order):
        self._finish_load()
        wanted = order.weights
        now_s = asyncio.get_running_loop().time()
        takes_s = self.load_s
        if self.model == wanted:
            takes_s = max(1.0, (self.loaded_at_s or 0) - now_s)
        self._reset()
        self.loading_leader = self.cluster.leader
        self.model = wanted
        self.group, self.epoch = order.group, order.epoch
        self.loaded_at_s = now_s + takes_s
        self.cluster.loading_peak = max(
            self.cluster.loading_peak, self.cluster.count_loading()
        )

    async def announce(self):
        await asyncio.sleep(self.cluster.rng.uniform(0, ANNOUNCE_S))
        while True:
            if self.is_alive and not self.is_paused:
                self._finish_load()
                self.sequence += 1
                announcement = membership_pb2.Announcement(
                    host=self.name,
                    run=f'run-{self.incarnation}',
                    sequence=self.sequence,
                    data_centre=f'centre-of-{self.domain}',
                    fabric_domain=self.domain,
                    address=self.name,
                    order_address=self.name,
                    group=self.group,
                    epoch=self.epoch,
                    holds=self.model if self.holds_weights else '',
                    ready=self.is_loaded and not self.is_draining,
                    leaving=self.is_leaving,
                    load=membership_pb2.Load(active=self.active),
                )
                self.cluster.announce(announcement)
            await asyncio.sleep(ANNOUNCE_S)


class FakeVoters:
    """One leader's access to a log that both leaders share."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.listeners = []
        self.lease_end_ms = 0

    @property
    def is_leader(self):
        return self.lease_remaining_ms() > 0

    def lease_remaining_ms(self):
        return max(0, self.lease_end_ms - clock.now_ms())

    def leader_age_ms(self):
        return 0

    def add_leadership_listener(self, listener):
        self.listeners.append(listener)

    async def submit(self, command, timeout_ms):
        await asyncio.sleep(0.002)
        if not self.is_leader or self.cluster.leader != self.name:
            return control_failures.SubmitFailure(
                control_failures.SubmitReason.LEADER_LOST
            )
        return self.cluster.commit(command)


class FakeOrderClient(orders.OrderClient):
    """Delivers one leader's orders to the hosts."""

    def __init__(self, cluster, name, timeout_ms):
        self.cluster = cluster
        self.name = name
        self.timeout_s = timeout_ms / 1000

    def close(self):
        pass

    async def send(self, address, order):
        cluster = self.cluster
        host = cluster.hosts[address]
        delay_s = cluster.rng.uniform(0, 0.05)
        cluster.sent.append((clock.now_ms(), address, order))
        if self.name in cluster.frozen_leaders:
            # The leader froze between the lease check and the write.
            cluster.stuck_orders.append((host, order))
            await asyncio.sleep(self.timeout_s)
            return failures.Failure(orders.OrderReason.UNREACHABLE)
        await asyncio.sleep(delay_s)
        if not host.is_alive or address in cluster.unreachable_hosts:
            return failures.Failure(orders.OrderReason.UNREACHABLE)
        return host.take_order(order)


class SimulatedCluster:
    """Leaders, hosts, router and shared log of one test."""

    def __init__(
        self, domains, hosts_per_domain, seed=1, load_s=10.0, has_router=True
    ):
        self.rng = random.Random(seed)
        self.log_index = 0
        self.domains = domains
        self.number = 0
        self.states = {name: state.AgreedState() for name in LEADERS}
        self.routing_state = state.AgreedState()
        # Delay with which the nodes' control host applies commands.
        self.route_lag_s = 0.0
        self.last_apply_s = 0.0
        # Maximum delay of announcements to nodes.
        self.view_delay_s = 1.0
        self.presence_tables = {
            name: presence.PresenceTable() for name in LEADERS
        }
        self.node_view = presence.PresenceTable()
        self.counters = {name: metrics.Metrics() for name in LEADERS}
        self.has_router = has_router
        self.voters = {name: FakeVoters(self, name) for name in LEADERS}
        self.leader = ''
        self.lease_ms = LEASE_MS
        self.sent = collections.deque(maxlen=1000)
        # By leader: hosts whose announcements do not reach it.
        self.unseen_hosts = {name: set() for name in LEADERS}
        self.frozen_leaders = set()
        self.stuck_orders = []
        self.unreachable_hosts = set()
        self.loading_peak = 0
        self.requests = 0
        self.violations = []
        self.epochs = []
        self.hosts = {}
        for domain, fencing in domains.items():
            for i in range(hosts_per_domain):
                name = f'{domain}-{i + 1:02}'
                self.hosts[name] = FakeHost(
                    self, name, domain, fencing == 'checked', load_s
                )
        self.tasks = []

    def count_loading(self):
        """Count the running loads that the leader can detect.

        It cannot detect loads that a pause delayed or interrupted, loads of
        hosts whose announcements do not reach it, and preloads that another
        leader ordered.
        """
        unheard = set().union(*self.unseen_hosts.values())
        return sum(
            1
            for host in self.hosts.values()
            if host.loaded_at_s is not None
            and not host.was_paused
            and host.name not in unheard
            and (host.group or host.loading_leader == self.leader)
        )

    async def start(self):
        self.controllers = {}
        for name in LEADERS:
            await self._start_controller(name)
        for host in self.hosts.values():
            self.tasks.append(asyncio.create_task(host.announce()))
        self.tasks.append(asyncio.create_task(self._renew()))
        if self.has_router:
            self.tasks.append(asyncio.create_task(self._route()))
        self.elect(LEADERS[0])

    async def _start_controller(self, name):
        settings = make_settings(name)
        client = FakeOrderClient(self, name, settings.timings.order_timeout_ms)
        self.controllers[name] = controller.GroupController(
            settings,
            self.states[name],
            self.voters[name],
            self.presence_tables[name],
            self.counters[name],
            client,
        )
        await self.controllers[name].start()

    async def restart(self, name):
        """Restart a control host's process with its log intact."""
        await self.controllers[name].close()
        self.presence_tables[name] = presence.PresenceTable()
        self.voters[name] = FakeVoters(self, name)
        await self._start_controller(name)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for item in self.controllers.values():
            await item.close()

    # Leadership and the log

    def elect(self, name):
        """Make a control host the leader; the former lease has expired."""
        self.leader = name
        self.voters[name].lease_end_ms = clock.now_ms() + LEASE_MS
        for listener in self.voters[name].listeners:
            listener(True)

    async def _renew(self):
        while True:
            if self.leader:
                voters = self.voters[self.leader]
                voters.lease_end_ms = clock.now_ms() + self.lease_ms
            await asyncio.sleep(0.15)

    def commit(self, command):
        self.log_index += 1
        command.stamped_ms = clock.now_ms()
        results = [
            agreed.apply(self.log_index, command)
            for agreed in self.states.values()
        ]
        loop = asyncio.get_running_loop()
        self.last_apply_s = max(
            self.last_apply_s, loop.time() + self.route_lag_s
        )
        loop.call_at(
            self.last_apply_s,
            self.routing_state.apply,
            self.log_index,
            command,
        )
        if command.group_change.HasField('form') and not (
            results[0].group.verdict
        ):
            self.epochs.append(results[0].group.epoch)
        return results[0]

    def put(self, *deployments, **options):
        """Put a document in force."""
        self.number += 1
        text = build_document(
            self.number, deployments, self.domains, **options
        )
        put = commands_pb2.PutConfiguration(
            number=self.number,
            change_id=f'change-{self.number}',
            document=text,
            digest=str(self.number),
        )
        self.commit(commands_pb2.Command(put_configuration=put))

    @property
    def groups(self):
        return self.states[LEADERS[0]].groups.groups

    # Announcements and routing

    def announce(self, announcement):
        loop = asyncio.get_running_loop()
        presence_tables = [
            table
            for name, table in self.presence_tables.items()
            if announcement.host not in self.unseen_hosts[name]
        ]
        if self.has_router:
            presence_tables.append(self.node_view)
        for table in presence_tables:
            latest_s = self.view_delay_s if table is self.node_view else 1.0
            delay_s = self.rng.uniform(latest_s - 0.95, latest_s)
            copy = membership_pb2.Announcement()
            copy.CopyFrom(announcement)
            # The proven age may exceed the actual one.
            age_ms = int(delay_s * 1000) + self.rng.randrange(400)
            loop.call_later(delay_s, table.note_host, copy, age_ms)

    def list_routable(self):
        """Return the groups that are complete in a node's view."""
        found = []
        for record in self.routing_state.groups.groups.values():
            if record.phase != commands_pb2.SERVING:
                continue
            built = routing_lines.build_group_line(record, self.node_view)
            if built.line.complete and (
                clock.now_ms() - built.proven_ms <= 4000
            ):
                found.append(record)
        return found

    async def _route(self):
        """Send requests to every routable group and check who serves them."""
        while True:
            for record in self.list_routable():
                self._send_request(record)
            await asyncio.sleep(0.1)

    def _send_request(self, record):
        first = self.hosts[record.hosts[0]]
        wanted = (record.group, record.epoch)
        if not first.is_alive or first.is_paused or first.serving != wanted:
            return
        self.requests += 1
        for name in record.hosts:
            host = self.hosts[name]
            is_up = host.is_alive and not host.is_paused
            if is_up and host.incarnation == 1 and host.serving != wanted:
                self.violations.append(
                    (clock.now_ms(), wanted, name, host.serving)
                )

    def list_complete(self, deployment=None):
        """Return the groups all of whose hosts actually serve."""
        return [
            record
            for record in self.groups.values()
            if deployment in (None, record.deployment)
            and record.phase == commands_pb2.SERVING
            and all(
                self.hosts[name].is_alive
                and not self.hosts[name].is_paused
                and not self.hosts[name].is_draining
                and self.hosts[name].serving == (record.group, record.epoch)
                for name in record.hosts
            )
        ]

    def check(self):
        """Check the invariants that hold at all times."""
        assert not self.violations, self.violations[:3]
        assert self.epochs == sorted(set(self.epochs))
        members = [
            name for record in self.groups.values() for name in record.hosts
        ]
        assert len(members) == len(set(members))
        for host in self.hosts.values():
            numbers = [order.number for order in host.taken_orders]
            if host.checks_fencing:
                assert numbers == sorted(numbers)
