"""Departures that were acknowledged, by leaders that change, in any order.

Control hosts run in virtual time with their agreement, their registries and
their API for endpoints. A new leader starts from the worst view that it may
have: all endpoints as ready as they once were.
"""

import asyncio
import random

import orjson
import pytest

from filbertglade.fleet import departure_log
from filbertglade.fleet import endpoints
from filbertglade.fleet import registry
from filbertglade.gateway import control_api
from filbertglade.gateway import control_context
from filbertglade.gateway import http_server
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from tests.control import cluster

# An endpoint that isn't acknowledged within this time calls another host.
ANSWER_S = 1.0
ENDPOINTS = ('i-1', 'i-2', 'i-3')
BUSY_ENTRIES = 30
SYNC_S = 0.005
# Time in which what the leader knows reaches the others.
QUIET_S = 0.5


class Endpoint:
    """What one endpoint has sent, and what it was told.

    :ivar sent: its announcements; any of them may arrive late.
    :ivar is_leaving: whether it was acknowledged that it drains or has gone.
    """

    def __init__(self, endpoint_id, born_ms):
        self.id = endpoint_id
        self.born_ms = born_ms
        self.sequence = 0
        self.sent = []
        self.is_leaving = False
        self.has_asked = False

    @property
    def key(self):
        return endpoints.make_key(self.id, self.born_ms or 0)

    @property
    def born(self):
        return {} if self.born_ms is None else {'born': self.born_ms}

    def build(self, state='ready'):
        self.sequence += 1
        announcement = {
            'service': 'api',
            'address': f'10.0.0.{self.id[-1]}:80',
            'zone': 'north',
            'slots': 4,
            'state': state,
            'sequence': self.sequence,
            **self.born,
        }
        self.sent.append(orjson.dumps(announcement))
        return self.sent[-1]


class ControlHost:
    """The registry and API of one run of a control host."""

    def __init__(self, node, seen):
        self.log = departure_log.DepartureLog(
            node.state, node.agreement, metrics.Metrics()
        )
        self.registry = registry.Registry(1200, self.log)
        context = control_context.ControlContext(
            '127.0.0.1:1',
            node.state,
            node.agreement,
            self.registry,
            self.log,
            metrics.Metrics(),
            _Observed(),
        )
        self.api = control_api.ControlApi(context)
        node.state.add_listener(self.registry.heed_departures)
        node.agreement.add_leadership_listener(
            lambda is_acting: is_acting and self.registry.seed(seen.values())
        )


class _Observed:
    index = None


class Fleet:
    """Control hosts and the endpoints that tell them of themselves.

    :ivar seen: the latest announcement of each endpoint that a leader
        accepted, as any host's view may still have it.
    """

    def __init__(self, group, rng, born_ms):
        self.group = group
        self.rng = rng
        self.seen = {}
        self.hosts = {}
        self.endpoints = {
            endpoint_id: Endpoint(endpoint_id, born_ms)
            for endpoint_id in ENDPOINTS
        }
        for node in group.up:
            self.open_host(node)

    def open_host(self, node):
        self.hosts[node.name] = ControlHost(node, self.seen)

    async def tell(self, endpoint, what, body):
        """Send a call to the leader; return whether it is acknowledged."""
        leader = await self.group.leader()
        host = self.hosts[leader.name]
        request = http_server.Request(
            'POST', f'/v1/endpoints/{endpoint.id}/{what}', body
        )
        answer = host.api.handle(request)
        if asyncio.iscoroutine(answer):
            try:
                async with asyncio.timeout(ANSWER_S):
                    answer = await answer
            except TimeoutError:
                return False
        # A host that has been stopped answers nothing.
        return leader.is_up and answer.status == 200

    def is_usable(self, endpoint):
        """Return whether the present leader would let requests go to it."""
        (leader,) = self.group.acting_leaders
        entry = self.hosts[leader.name].registry.entries.get(endpoint.key)
        return entry is not None and entry.is_usable

    async def check(self):
        await self.group.leader()
        for endpoint in self.endpoints.values():
            if endpoint.is_leaving:
                assert not self.is_usable(endpoint), endpoint.key

    # Steps

    async def ping(self, endpoint):
        body = endpoint.build()
        if await self.tell(endpoint, 'announcement', body):
            announced = endpoints.read_announcement(endpoint.id, body)
            if not endpoint.has_asked:
                self.seen[endpoint.key] = announced
                assert self.is_usable(endpoint)

    async def drain(self, endpoint):
        endpoint.has_asked = True
        body = endpoint.build('leaving')
        endpoint.is_leaving |= await self.tell(endpoint, 'announcement', body)

    async def depart(self, endpoint):
        endpoint.has_asked = True
        body = orjson.dumps(endpoint.born)
        endpoint.is_leaving |= await self.tell(endpoint, 'departure', body)

    async def late_ping(self, endpoint):
        if endpoint.sent:
            # Sent as it was still ready.
            late = self.rng.choice(endpoint.sent)
            if b'"ready"' not in late:
                return
            announced = orjson.loads(late)
            # A host that knows no sequence number accepts any.
            await self.tell(endpoint, 'announcement', orjson.dumps(announced))

    async def start_again(self, endpoint):
        """End an endpoint and start it under its id; it is known at once."""
        if endpoint.born_ms is None or not endpoint.has_asked:
            return
        born_ms = endpoint.born_ms + 10
        self.endpoints[endpoint.id] = Endpoint(endpoint.id, born_ms)
        await self.ping(self.endpoints[endpoint.id])

    async def kill_leader(self, endpoint):
        leader = await self.group.leader()
        await leader.stop()
        self.hosts.pop(leader.name)
        await self.group.leader()
        await leader.start()
        self.open_host(leader)

    async def hand_over(self, endpoint):
        leader = await self.group.leader()
        await leader.agreement.transfer_leadership()
        await self.kill_leader(endpoint)

    async def cut_leader_off(self, endpoint):
        leader = await self.group.leader()
        self.group.network.isolate(leader.name, self.group.names)
        await self.group.wait_until(
            lambda: self.group.acting_leaders not in ([], [leader])
        )
        await self.check()
        self.group.network.heal()

    async def restart_all(self, endpoint):
        up = list(self.group.up)
        for node in up:
            await node.stop()
        for node in up:
            assert await node.start() is None
            self.open_host(node)
        await self.group.leader()

    async def forget_views(self, endpoint):
        """Let no host have a view, as after a restart of all processes."""
        self.seen.clear()
        await self.restart_all(endpoint)

    async def fill_log(self, endpoint):
        """Commit so much that a snapshot takes the place of the log."""
        leader = await self.group.leader()
        for _ in range(BUSY_ENTRIES):
            await cluster.submit(
                leader,
                commands_pb2.Command(no_operation=commands_pb2.NoOperation()),
            )


STEPS = (
    Fleet.ping,
    Fleet.drain,
    Fleet.depart,
    Fleet.late_ping,
    Fleet.start_again,
    Fleet.kill_leader,
    Fleet.hand_over,
    Fleet.cut_leader_off,
    Fleet.restart_all,
    Fleet.forget_views,
    Fleet.fill_log,
)


def run_order(steps, seed=1, born_ms=1000, quiet_s=0.0):
    """Run steps, each on a drawn endpoint, or on one with the first seed.

    :param quiet_s: time between two steps.
    """

    async def scenario():
        rng = random.Random(seed)
        async with cluster.Cluster(3, seed, snapshot_entries=20) as group:
            await group.leader()
            fleet = Fleet(group, rng, born_ms)
            for step in steps:
                endpoint_id = 'i-1' if seed == 1 else rng.choice(ENDPOINTS)
                await step(fleet, fleet.endpoints[endpoint_id])
                await fleet.check()
                await group.pass_time(quiet_s)
            for host in fleet.hosts.values():
                await host.log.close()

    cluster.run(scenario())


# Guards against requests to endpoints whose departure one leader alone knew.
@pytest.mark.parametrize('quiet_s', (QUIET_S, 0.0))
@pytest.mark.parametrize('leave', (Fleet.drain, Fleet.depart))
@pytest.mark.parametrize('born_ms', (None, 1000))
@pytest.mark.parametrize(
    'troubles',
    (
        [Fleet.kill_leader],
        [Fleet.cut_leader_off],
        [Fleet.hand_over, Fleet.late_ping],
        [Fleet.kill_leader, Fleet.kill_leader, Fleet.late_ping],
        [Fleet.restart_all, Fleet.late_ping],
        [Fleet.forget_views, Fleet.late_ping],
        [Fleet.fill_log, Fleet.forget_views, Fleet.late_ping],
        [Fleet.late_ping, Fleet.ping, Fleet.hand_over, Fleet.late_ping],
    ),
)
def test_acknowledged_departure_holds(leave, born_ms, troubles, quiet_s):
    steps = [Fleet.ping, leave, *troubles]
    run_order(steps, born_ms=born_ms, quiet_s=quiet_s)


# Guards against a host that acknowledges the departure of an endpoint that it
# doesn't know, and takes it for a new one later.
@pytest.mark.parametrize('quiet_s', (QUIET_S, 0.0))
@pytest.mark.parametrize('born_ms', (None, 1000))
def test_departure_of_an_unknown_endpoint_holds(born_ms, quiet_s):
    run_order(
        [
            Fleet.ping,
            Fleet.forget_views,
            Fleet.depart,
            Fleet.late_ping,
            Fleet.hand_over,
            Fleet.late_ping,
        ],
        born_ms=born_ms,
        quiet_s=quiet_s,
    )


def test_endpoint_that_starts_again_is_known_at_once():
    run_order(
        [
            Fleet.ping,
            Fleet.depart,
            Fleet.start_again,
            Fleet.hand_over,
            Fleet.ping,
            Fleet.drain,
            Fleet.start_again,
        ]
    )


@pytest.mark.parametrize('quiet_s', (QUIET_S, 0.0))
@pytest.mark.parametrize('seed', range(2, 14))
def test_acknowledged_departures_hold_in_any_order(seed, quiet_s):
    steps = random.Random(seed).choices(STEPS, k=24)
    run_order(steps, seed, 1000 if seed % 2 else None, quiet_s)


# Guards against an acknowledgement that no other host could know of.
@pytest.mark.parametrize('leave', ('drain', 'depart'))
def test_departure_is_not_acknowledged_without_a_majority(leave):
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            fleet = Fleet(group, random.Random(1), 1000)
            endpoint = fleet.endpoints['i-1']
            await fleet.ping(endpoint)
            group.network.isolate(leader.name, group.names)
            await getattr(fleet, leave)(endpoint)
            assert not endpoint.is_leaving
            # What it asked for is heeded all the same.
            entry = fleet.hosts[leader.name].registry.entries.get(endpoint.key)
            assert entry is None or not entry.is_usable

    cluster.run(scenario())


# Guards against a departure that is told to a leader before it has started
# from its view, which still has the endpoint.
@pytest.mark.parametrize('leave', (Fleet.drain, Fleet.depart))
def test_departure_holds_if_the_leader_starts_during_its_commit(leave):
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            fleet = Fleet(group, random.Random(1), 1000)
            endpoint = fleet.endpoints['i-1']
            await fleet.ping(endpoint)
            host = fleet.hosts[leader.name]
            leaving = asyncio.create_task(leave(fleet, endpoint))
            await asyncio.sleep(0)
            host.registry.seed(fleet.seen.values())
            await leaving
            assert endpoint.is_leaving
            await fleet.check()

    cluster.run(scenario())


# Load: a third of the largest fleet's endpoints depart within 0.3 s. An entry
# takes as long as the disks of a majority.
def test_departures_at_the_same_time_share_entries():
    async def scenario():
        async with cluster.Cluster(5) as group:
            leader = await group.leader()
            fleet = Fleet(group, random.Random(1), None)
            for node in group.up:
                node.disk.write_s = SYNC_S
            leaving = [Endpoint(f'i-{number}', 5) for number in range(366)]
            before = leader.state.applied_index
            length_s = 0.3
            async with asyncio.TaskGroup() as senders:
                for endpoint in leaving:
                    senders.create_task(fleet.depart(endpoint))
                    await asyncio.sleep(length_s / len(leaving))
            assert all(endpoint.is_leaving for endpoint in leaving)
            entries = leader.state.applied_index - before
            assert entries <= length_s / SYNC_S + 2, entries

    cluster.run(scenario())
