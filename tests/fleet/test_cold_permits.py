"""Requests to cold endpoints in each sliding second, offline."""

import asyncio
import bisect
import collections
import random
import types

import pytest

from filbertglade.fleet import cold_bound
from filbertglade.fleet import cold_endpoints
from filbertglade.fleet import cold_permits
from filbertglade.fleet import connected_watcher
from filbertglade.fleet import shared_frames
from filbertglade.fleet import view
from filbertglade.forwarding import permits
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from tests import virtual_time

HOSTS = 89
PER_S = 26.0
BOUND = cold_bound.ColdBound(1.5, 5)
MOST_IN_A_SECOND = 44
# Requests a second that a group's head gets on an ordinary day.
ORDINARY_PER_S = 10.0
TICK_S = 0.05
FRAME_S = 0.25
REPORT_S = 0.4
SERVICE = 'models'
KEY = 'e-1@1000'
# Unequal demand of hosts, in requests a second.
RATES = [1.0 + 39.0 * (number % 9 == 0) for number in range(HOSTS)]


def make_index(cold_per_s=PER_S, cold_start_s=0.0):
    service = types.SimpleNamespace(
        cold_per_s=cold_per_s, cold_start_s=cold_start_s
    )
    return types.SimpleNamespace(services={SERVICE: service})


def announce(cold, key=KEY, remaining_ms=60_000):
    endpoint_id, born_ms = key.split('@')
    endpoint = fleet_pb2.Endpoint(
        id=endpoint_id,
        born_ms=int(born_ms),
        service=SERVICE,
        cold_remaining_ms=remaining_ms,
    )
    cold.read_announcement(endpoint)
    return endpoint


class Leader:
    """A leader's part in cold endpoints, and its watchers."""

    def __init__(self, index=None):
        counters = metrics.Metrics()
        index = index or make_index()
        self.cold = cold_endpoints.ColdEndpoints(counters, lambda: index)
        self.permits = cold_permits.ColdPermits(
            self.cold, BOUND, counters, random.Random(2)
        )
        self.watchers = {}

    def divide(self, now_ms):
        """Give permits; return the hosts that are sent a frame for them."""
        given = self.permits.divide()
        for host, allowances in given.items():
            watcher = self.watchers.get(host)
            if watcher is not None:
                watcher.permits += [(now_ms, item) for item in allowances]
        return given

    def build_frame(self, host):
        """Return a frame, as it leaves the leader."""
        watcher = self.watchers.get(host)
        if watcher is None:
            watcher = self.watchers[host] = connected_watcher.ConnectedWatcher(
                fleet_pb2.WatchReport(), 0
            )
        frame = fleet_pb2.FleetFrame(is_leader=True, entry_nodes=HOSTS)
        self.cold.write_changes(frame, -1)
        shared = shared_frames.prepare_frame(frame)
        return watcher.take_personal(shared).frame


class Host:
    """An entry host's part in cold endpoints, and frames on their way."""

    def __init__(self, name, leader):
        self.name = name
        self.leader = leader
        self.view = view.FleetView()
        self.stream = types.SimpleNamespace(limited_demand={})
        self.permits = permits.Permits(
            self.view, self.stream, metrics.Metrics()
        )
        self.frames = collections.deque()
        self.is_in_contact = True
        self.is_running = True
        self.next_frame_s = 0.0
        self.next_report_s = 0.0

    def send(self, key=KEY):
        self.permits.record_demand(key)
        if not self.permits.may_send(key):
            return False
        return self.permits.may_begin(key, self.permits.take(key))


class Fleet:
    """Hosts, their leaders, and the times of requests that were sent."""

    def __init__(self, longest_delay_s, rates=RATES):
        self.rng = random.Random(1)
        self.leaders = [Leader()]
        self.leaders[0].permits.start_leading()
        self.longest_delay_s = longest_delay_s
        self.hosts = [
            Host(f'host-{number}', self.leaders[0])
            for number in range(len(rates))
        ]
        self.rates = rates
        self.sends = []
        for leader in self.leaders:
            announce(leader.cold)
        # Hosts are told of an endpoint and its cold state together.
        for host in self.hosts:
            host.view.apply_frame(self.leaders[0].build_frame(host.name))

    def change_leader(self, fraction=1.0):
        """Let a new leader begin; some hosts stay with the old ones."""
        leader = Leader()
        leader.cold.start_leading(self.hosts[0].view.cold.cold)
        leader.permits.start_leading()
        self.leaders.append(leader)
        for host in self.hosts:
            if self.rng.random() < fraction:
                host.leader = leader
        return leader

    def _exchange(self, host, now_s, is_due):
        leader = host.leader
        if leader in self.leaders and host.is_in_contact:
            if is_due or now_s >= host.next_frame_s:
                host.next_frame_s = now_s + FRAME_S
                arrival_s = now_s + self.rng.random() * self.longest_delay_s
                if host.frames:
                    # A stream keeps its order.
                    arrival_s = max(arrival_s, host.frames[-1][0])
                host.frames.append((arrival_s, leader.build_frame(host.name)))
            if host.is_running and now_s >= host.next_report_s:
                host.next_report_s = now_s + REPORT_S
                demand = host.stream.limited_demand
                leader.permits.record_demand(demand, host.name)
                demand.clear()
        while host.is_running and host.frames and host.frames[0][0] <= now_s:
            host.view.apply_frame(host.frames.popleft()[1])

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            await asyncio.sleep(TICK_S)
            now_s = loop.time()
            due = {
                (id(leader), name)
                for leader in self.leaders
                for name in leader.divide(int(now_s * 1000))
            }
            for host, rate in zip(self.hosts, self.rates, strict=True):
                self._exchange(
                    host, now_s, (id(host.leader), host.name) in due
                )
                wanted = rate * TICK_S
                while host.is_running and self.rng.random() < wanted:
                    wanted -= 1
                    if host.send():
                        self.sends.append(now_s)

    def count_most(self):
        """Return the most requests in a sliding second."""
        # Times are multiples of a tick, so each second with the most begins
        # with a request.
        return max(
            (
                bisect.bisect_left(self.sends, at_s + 1 - TICK_S / 2) - place
                for place, at_s in enumerate(self.sends)
            ),
            default=0,
        )


def run(check, longest_delay_s=1.0, rates=RATES):
    async def main():
        await check(Fleet(longest_delay_s, rates))

    virtual_time.run(main())


# Guards against hosts that send more together than a cold endpoint survives,
# and against permits that reach hosts too late or too rarely to be used.
@pytest.mark.parametrize('longest_delay_s', [0.05, 0.3, 1.0])
@pytest.mark.parametrize('rates', [RATES, [1.0] * HOSTS, [40.0] * HOSTS])
def test_hosts_keep_the_bound_and_use_it(longest_delay_s, rates):
    """Load: 89 hosts with equal and with unequal demand."""

    async def check(fleet):
        await fleet.run(4)
        await fleet.run(20)
        assert fleet.count_most() <= MOST_IN_A_SECOND
        late = [at_s for at_s in fleet.sends if at_s > 4]
        if sum(rates) > 10 * PER_S:
            assert len(late) >= ORDINARY_PER_S * 20

    run(check, longest_delay_s, rates)


# Guards against permits of several leaders that add up.
@pytest.mark.parametrize('fraction', [0.5, 1.0])
@pytest.mark.parametrize('old_leader_s', [0.0, 0.6, 1.0])
def test_changing_leaders_keep_the_bound(fraction, old_leader_s):
    """Load: 89 hosts, six leaders of which old ones go on for up to 1 s."""

    async def check(fleet):
        for lasts_s in (5.0, 4.0, 0.4, 6.0, 4.5, 8.0):
            await fleet.run(lasts_s)
            old = list(fleet.leaders)
            fleet.change_leader(fraction)
            await fleet.run(old_leader_s)
            fleet.leaders = [
                leader for leader in fleet.leaders if leader not in old
            ]
            for host in fleet.hosts:
                if host.leader not in fleet.leaders:
                    host.leader = fleet.leaders[-1]
        await fleet.run(5)
        assert fleet.sends[-1] > 30
        assert fleet.count_most() <= MOST_IN_A_SECOND

    run(check)


# Guards against a new leader that gives permits while others can be used.
def test_new_leader_begins_with_no_permits():
    """Load: 89 hosts that keep the permits of an old leader."""

    async def check(fleet):
        await fleet.run(6)
        begun_s = asyncio.get_running_loop().time()
        leader = fleet.change_leader()
        fleet.leaders = [leader]
        await fleet.run(6)
        quiet_s = cold_bound.QUIET_MS / 1000
        old_end_s = begun_s + cold_bound.VALIDITY_MS / 1000
        after = [at_s for at_s in fleet.sends if at_s > old_end_s]
        assert min(after) >= begun_s + quiet_s
        assert min(after) <= begun_s + quiet_s + 1.5

    run(check)


# Guards against permits that are too many if hosts use them at the worst
# times: each may be used at any time until it is no longer valid.
@pytest.mark.parametrize('per_s', [0.5, 1.0, 3.0, PER_S, 400.0])
def test_permits_that_can_be_used_in_a_second_keep_the_bound(per_s):
    """Load: 89 hosts with more demand than permits, leaders that change."""

    async def main():
        rng = random.Random(3)
        demand = {KEY: 40}
        given = []
        old = None
        for _ in range(12):
            leader = Leader(make_index(per_s))
            announce(leader.cold)
            leader.permits.start_leading()
            for tick in range(rng.randrange(50, 150)):
                await asyncio.sleep(TICK_S)
                now_ms = int(asyncio.get_running_loop().time() * 1000)
                running = [leader]
                if old is not None and tick < 20:
                    running.append(old)
                for number, each in enumerate(running):
                    each.permits.record_demand(demand, f'host-{number}')
                    for permitted in each.permits.divide().values():
                        count = sum(item.requests for item in permitted)
                        given += [now_ms] * count
            old = leader
        given.sort()
        usable_ms = cold_bound.VALIDITY_MS + 1000
        for place, at_ms in enumerate(given):
            later = bisect.bisect_left(given, at_ms + usable_ms)
            assert later - place <= BOUND.count(per_s)
        assert given

    virtual_time.run(main())


# Guards against permits that a process which stood still reads long after
# they were given, all at once.
def test_permits_after_a_pause_are_ignored():
    """Load: frames of 5 s that are read at once, and those after them."""

    async def main():
        host = Host('host-0', Leader())
        cold = fleet_pb2.ColdEndpoint(
            endpoint=KEY, requests_per_s=PER_S, remaining_ms=60_000
        )
        permit = fleet_pb2.Allowance(
            endpoint=cold_permits.PERMIT_PREFIX + KEY, requests=1
        )
        frame = fleet_pb2.FleetFrame(
            is_leader=True, cold_endpoints=[cold], allowances=[permit]
        )
        host.view.apply_frame(frame)
        assert host.send()
        await asyncio.sleep(5)
        for _ in range(20):
            host.view.apply_frame(frame)
        assert not host.send()
        for _ in range(8):
            await asyncio.sleep(FRAME_S)
            host.view.apply_frame(frame)
        assert host.send()

    virtual_time.run(main())


# Guards against hosts that go on sending when they hear nothing.
def test_hosts_out_of_contact_send_nothing_after_their_permits():
    """Load: 89 hosts, half of them cut off, a quarter stopped for 5 s."""

    async def check(fleet):
        await fleet.run(6)
        cut, stopped = fleet.hosts[::2], fleet.hosts[1::4]
        for host in cut:
            host.is_in_contact = False
        for host in stopped:
            host.is_running = False
        await fleet.run(5)
        for host in stopped:
            host.is_running = True
        await fleet.run(5)
        assert not any(host.send() for host in cut)
        for host in cut:
            host.is_in_contact = True
        await fleet.run(8)
        assert fleet.count_most() <= MOST_IN_A_SECOND

    run(check)


# Guards against permits that are used after they have expired: a connection
# may take long to be opened.
def test_expired_permit_is_not_used():
    """Load: one request whose connection takes 0.5 s."""

    async def check(fleet):
        await fleet.run(5)
        host = fleet.hosts[0]
        while not host.permits.may_send(KEY):
            await fleet.run(TICK_S)
            fleet.rates = [0.0] * HOSTS
        expiry_ms = host.permits.take(KEY)
        await asyncio.sleep(cold_bound.LIFETIME_MS / 1000 + 0.01)
        assert not host.permits.may_begin(KEY, expiry_ms)

    run(check, 0.05)


# Guards against an endpoint that stays without requests after its cold state,
# if nobody says that it has ended.
def test_cold_state_ends_by_itself_on_each_host():
    """Load: a host out of contact while an endpoint becomes warm."""

    async def main():
        leader = Leader()
        announce(leader.cold, remaining_ms=3000)
        host = Host('host-0', leader)
        host.view.apply_frame(leader.build_frame(host.name))
        await asyncio.sleep(2.9)
        assert not host.send()
        await asyncio.sleep(0.5)
        assert host.send()
        leader.cold.update({})
        assert not leader.cold.states

    virtual_time.run(main())


# Guards against statements that shorten a cold state: they may be older.
def test_announcement_that_was_overtaken_ends_nothing():
    """Load: an endpoint that turns cold, then its earlier announcement."""

    async def main():
        leader = Leader()
        leader.cold.read_report(
            fleet_pb2.ColdEndpoint(
                endpoint=KEY, requests_per_s=PER_S, remaining_ms=9000
            ),
            SERVICE,
            'host-0',
        )
        announce(leader.cold, remaining_ms=0)
        assert leader.cold.find(KEY).end_ms >= 9000

    virtual_time.run(main())


# Guards against frames that change where no service has a rate for cold
# endpoints.
def test_service_without_a_rate_is_never_cold():
    """Load: announcements and reports of cold endpoints."""

    async def main():
        leader = Leader(make_index(cold_per_s=0.0, cold_start_s=60.0))
        endpoint = announce(leader.cold)
        leader.cold.read_report(
            fleet_pb2.ColdEndpoint(
                endpoint=KEY, requests_per_s=PER_S, remaining_ms=9000
            ),
            SERVICE,
            'host-0',
        )
        assert not endpoint.cold_remaining_ms
        assert not leader.cold.states and not leader.cold.version
        frame = fleet_pb2.FleetFrame()
        leader.cold.write_changes(frame, -1)
        assert frame == fleet_pb2.FleetFrame()

    virtual_time.run(main())


# Guards against an endpoint that announces nothing and is taken for warm
# after its start.
def test_start_time_counts_where_nothing_is_announced():
    """Load: endpoints that started now, long ago, and at an unknown time."""
    now_ms = int(cold_endpoints.time.time() * 1000)
    compute = cold_endpoints.compute_remaining_ms
    assert 9000 < compute(now_ms, 10.0) <= 10_000
    assert compute(now_ms + 60_000, 10.0) == 10_000
    assert compute(now_ms - 11_000, 10.0) == 0
    assert compute(0, 10.0) == 0


# Guards against endpoints that announce themselves to a leader which hasn't
# read the document yet, and are taken for warm.
def test_announcements_before_the_document_count():
    """Load: a cold endpoint, then the document 1 s later."""

    async def main():
        found = [None]
        cold = cold_endpoints.ColdEndpoints(
            metrics.Metrics(), lambda: found[0]
        )
        announce(cold, remaining_ms=5000)
        announce(cold, 'e-2@1000', remaining_ms=0)
        cold.update({})
        await asyncio.sleep(1)
        found[0] = make_index()
        cold.update({})
        assert list(cold.states) == [KEY]
        assert 5000 <= cold.find(KEY).end_ms <= 5500

    virtual_time.run(main())


# Guards against an endpoint that has announced the end of its cold state, and
# is cold again by its start time.
def test_what_an_endpoint_announces_goes_before_its_start_time():
    """Load: an endpoint that is cold for 2 s, of 60 s after a start."""

    async def main():
        now_ms = int(cold_endpoints.time.time() * 1000)
        leader = Leader(make_index(cold_start_s=60.0))
        announce(leader.cold, f'e-1@{now_ms}', remaining_ms=2000)
        announce(leader.cold, f'e-2@{now_ms}', remaining_ms=0)
        await asyncio.sleep(2.5)
        leader.cold.update({})
        announce(leader.cold, f'e-1@{now_ms}', remaining_ms=0)
        assert list(leader.cold.states) == [f'e-2@{now_ms}']

    virtual_time.run(main())


# Guards against cold members that make a group take no requests, and groups
# that are taken for warm.
def test_only_a_cold_head_needs_permits():
    """Load: a group with a cold member, and one with a cold head."""

    async def main():
        leader = Leader()
        announce(leader.cold, 'e-2@1000')
        groups = {
            'g-1': types.SimpleNamespace(endpoints=['e-1@1000', 'e-2@1000']),
            'g-2': types.SimpleNamespace(endpoints=['e-2@1000', 'e-3@1000']),
        }
        leader.cold.update(groups)
        host = Host('host-0', leader)
        host.view.apply_frame(leader.build_frame(host.name))
        assert host.permits.is_cold('g-1')
        assert host.permits.may_send('e-1@1000')
        assert not host.permits.may_send('e-2@1000')

    virtual_time.run(main())
