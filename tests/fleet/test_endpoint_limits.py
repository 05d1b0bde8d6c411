"""How the leader divides endpoints' limits among hosts, offline."""

import asyncio
import collections
import random
import time
import types

import pytest

from filbertglade.fleet import endpoint_limits
from filbertglade.fleet import view
from filbertglade.forwarding import allowances
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from tests import virtual_time

# The size that is planned for, see docs/CAPACITY.md, with a group for each
# four of 600 endpoints.
HOSTS = 380
HEADS = 150
# Rule LIMIT of the users' pages.
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
# Fraction of what an endpoint takes that is sent at least.
MIN_USED = 0.5
FRAME_S = 0.25
REPORT_S = 0.4
TICK_S = 0.05


class Host:
    """An entry host's part in limits, and its requests."""

    def __init__(self, name, rng, entry_nodes):
        self.name = name
        self.rng = rng
        self.view = view.FleetView()
        self.leader = types.SimpleNamespace(
            limited_demand={},
            unused_allowances={},
            report_limit=self._report,
        )
        self.reported = []
        self.waiting = []
        self.allowed = allowances.Allowances(
            self.view, self.leader, metrics.Metrics(), rng
        )
        self.entry_nodes = entry_nodes

    def _report(self, limit):
        self.reported.append(limit)

    def send(self, endpoint):
        """Send a request if it may; return whether it was sent."""
        self.allowed.record_demand(endpoint)
        if not self.allowed.may_send(endpoint):
            return False
        self.allowed.take(endpoint)
        return True

    def apply(self, limits, sent_version):
        frame = fleet_pb2.FleetFrame(
            is_leader=True,
            entry_nodes=self.entry_nodes,
            allowances=self.waiting,
        )
        limits.write_changes(frame, sent_version)
        self.waiting = []
        self.view.apply_frame(frame)


class Fleet:
    """A leader and hosts that want to send to one endpoint.

    :param rates: requests a second of each host.
    :ivar sends: when a request was sent.
    """

    def __init__(self, limit_per_s, rates):
        self.rng = random.Random(1)
        self.limits = endpoint_limits.EndpointLimits(
            metrics.Metrics(), random.Random(1)
        )
        self.limits.record(
            fleet_pb2.EndpointLimit(
                endpoint='i-1', requests_per_s=limit_per_s
            ),
            'host-0',
        )
        self.hosts = [
            Host(f'host-{number}', self.rng, len(rates))
            for number in range(len(rates))
        ]
        self.rates = rates
        self.sends = []
        self.has_leader = True

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        versions = dict.fromkeys(self.hosts, -1)
        due_s = {
            host: [
                start_s + self.rng.random() * FRAME_S,
                start_s + self.rng.random() * REPORT_S,
            ]
            for host in self.hosts
        }
        while loop.time() < start_s + seconds:
            await asyncio.sleep(TICK_S)
            now_s = loop.time()
            if self.has_leader:
                by_name = {host.name: host for host in self.hosts}
                for name, given in self.limits.divide().items():
                    by_name[name].waiting += given
            for host, rate in zip(self.hosts, self.rates, strict=True):
                while self.rng.random() < rate * TICK_S:
                    if host.send('i-1'):
                        self.sends.append(now_s)
                    rate -= 1 / TICK_S
                if not self.has_leader:
                    continue
                if now_s >= due_s[host][0]:
                    due_s[host][0] = now_s + FRAME_S
                    host.apply(self.limits, versions[host])
                    versions[host] = self.limits.version
                if now_s >= due_s[host][1]:
                    due_s[host][1] = now_s + REPORT_S
                    demand = host.leader.limited_demand
                    self.limits.record_demand(demand, host.name)
                    demand.clear()
                    unused = host.leader.unused_allowances
                    self.limits.record_unused(unused)
                    unused.clear()

    def count_most(self):
        return max(
            (
                sum(
                    at_s <= other_s < at_s + WINDOW_S for other_s in self.sends
                )
                for at_s in self.sends
            ),
            default=0,
        )


def run(limit_per_s, rates, check):
    async def main():
        fleet = Fleet(limit_per_s, rates)
        # Until the hosts know the limit.
        await fleet.run(1)
        fleet.sends.clear()
        await check(fleet)

    virtual_time.run(main())


# Guards against hosts that keep a limit each by itself and together send more.
@pytest.mark.parametrize('limit_per_s', [0.5, 1.0, 7.5, 100.0])
@pytest.mark.parametrize('rate', [0.5, 14.0])
def test_hosts_keep_and_use_a_limit_together(limit_per_s, rate):
    """Load: 380 hosts with 0.5 or 14 requests a second each."""

    async def check(fleet):
        await fleet.run(20)
        assert fleet.count_most() <= FACTOR * WINDOW_S * limit_per_s + SLACK
        demand_per_s = min(limit_per_s, HOSTS * rate)
        assert len(fleet.sends) >= MIN_USED * demand_per_s * 20

    run(limit_per_s, [rate] * HOSTS, check)


# Guards against equal shares that leave unused what other hosts need.
def test_host_with_all_of_the_demand_gets_all_of_the_limit():
    """Load: 380 hosts, of which one has 20 requests a second."""

    async def check(fleet):
        await fleet.run(12)
        assert len(fleet.sends) >= 0.8 * 12
        assert fleet.count_most() <= FACTOR * WINDOW_S + SLACK

    run(1.0, [20.0] + [0.0] * (HOSTS - 1), check)


# Guards against hosts that send more, or nothing at all, without a leader.
def test_hosts_without_a_leader_keep_and_use_a_limit():
    """Load: 380 hosts with 5 requests a second that lose the leader."""

    async def check(fleet):
        await fleet.run(4)
        fleet.has_leader = False
        await fleet.run(20)
        assert fleet.count_most() <= FACTOR * WINDOW_S * 2 + SLACK
        assert len(fleet.sends) >= MIN_USED * 2 * 20
        fleet.has_leader = True
        fleet.limits.start_leading(fleet.hosts[0].view.limits)
        await fleet.run(8)
        assert fleet.count_most() <= FACTOR * WINDOW_S * 2 + SLACK

    run(2.0, [5.0] * HOSTS, check)


# Guards against requests that are held back for all hosts and sent at once.
def test_requests_that_nobody_wanted_are_not_made_up_for():
    """Load: 380 hosts that begin to send after a pause of 10 s."""

    async def check(fleet):
        rates, fleet.rates = fleet.rates, [0.0] * HOSTS
        await fleet.run(10)
        fleet.rates = rates
        await fleet.run(4)
        assert fleet.count_most() <= FACTOR * WINDOW_S * 5 + SLACK

    run(5.0, [5.0] * HOSTS, check)


def test_division_at_full_size_takes_a_small_part_of_a_core():
    """Load: limits of all 150 heads, wanted by all 380 hosts.

    The budget is a tenth of a core of the leader, see docs/CAPACITY.md.
    """

    async def main():
        limits = endpoint_limits.EndpointLimits(
            metrics.Metrics(), random.Random(1)
        )
        heads = {f'i-{number}': 3 for number in range(HEADS)}
        for head in heads:
            limits.record(
                fleet_pb2.EndpointLimit(endpoint=head, requests_per_s=2.0),
                'host-0',
            )
        taken_s = 0.0
        for _ in range(40):
            for number in range(HOSTS):
                limits.record_demand(heads, f'host-{number}')
            started_s = time.thread_time()
            for _ in range(5):
                limits.divide()
                await asyncio.sleep(0.1)
            taken_s += time.thread_time() - started_s
        # 40 rounds of half a second.
        assert taken_s <= 0.1 * 20

    virtual_time.run(main())


def test_limit_of_an_ended_endpoint_ends_for_all_watchers():
    async def main():
        limits = endpoint_limits.EndpointLimits(
            metrics.Metrics(), random.Random(1)
        )
        limits.record(
            fleet_pb2.EndpointLimit(endpoint='i-1', requests_per_s=2.0), 'one'
        )
        limits.end_absent(lambda endpoint: False)
        frame = fleet_pb2.FleetFrame()
        limits.write_changes(frame, -1)
        (limit,) = frame.limits
        assert limit.requests_per_s == 0

    virtual_time.run(main())


def test_later_word_about_a_limit_wins_over_one_that_arrives_later():
    async def main():
        limits = endpoint_limits.EndpointLimits(
            metrics.Metrics(), random.Random(1)
        )
        await asyncio.sleep(10)

        def record(requests_per_s, age_ms):
            limits.record(
                fleet_pb2.EndpointLimit(
                    endpoint='i-1',
                    requests_per_s=requests_per_s,
                    age_ms=age_ms,
                ),
                'one',
            )
            frame = fleet_pb2.FleetFrame()
            limits.write_changes(frame, -1)
            return frame.limits[0].requests_per_s

        assert record(2.0, 500) == 2.0
        assert record(1.0, 900) == 2.0
        # An answer without a limit that was under way when it was named.
        assert record(0.0, 450) == 2.0
        assert record(0.0, 100) == 0.0

    virtual_time.run(main())


@pytest.mark.parametrize(
    'text, limit',
    [
        ('1', 1.0),
        (' 2.5 ', 2.5),
        ('.5', 0.5),
        ('0', allowances.MIN_LIMIT_PER_S),
        ('0.001', allowances.MIN_LIMIT_PER_S),
        ('99999999', 0.0),
        ('-1', None),
        ('+1', None),
        ('1e3', None),
        ('nan', None),
        ('', None),
        ('.', None),
        ('1.2.3', None),
        ('\u0661', None),
        ('1' * 100, None),
    ],
)
def test_limits_are_decimal_numbers(text, limit):
    assert allowances.parse_limit(text) == limit


def test_hosts_name_each_limit_once():
    async def main():
        host = Host('one', random.Random(1), 1)
        for _ in range(3):
            host.allowed.record_answer('i-1', '2')
        await asyncio.sleep(1)
        for _ in range(3):
            host.allowed.record_answer('i-1', None)
        named = collections.Counter(
            limit.requests_per_s for limit in host.reported
        )
        assert named == {2.0: 1, 0.0: 1}

    virtual_time.run(main())
