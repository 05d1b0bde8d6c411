"""Selection among targets by remaining work, offline."""

import collections
import random

from filbertglade.costs import backlog
from filbertglade.costs import policy
from filbertglade.costs import speeds
from filbertglade.costs import work
from filbertglade.fleet import document
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.forwarding import loads
from filbertglade.forwarding import targets
from filbertglade.inner import fleet_pb2
from tests import virtual_time

ENGINE = document.Engine(
    slots=4, stride=4, step_ms=8.0, per_seq_ms=1.0, read_per_s=10_000.0
)
DEMAND = admission.Demand(
    'models', 'big', engine=ENGINE, cost=work.Cost(1000, 100)
)


def build_targets(count):
    return [
        targets.Target(
            f'i-{i}', f'i-{i}', '', 'north', 4, f'g-{i}', 1, model='big'
        )
        for i in range(count)
    ]


class Host:
    def __init__(self, seed=1, hosts=1):
        self.view = view.FleetView()
        self.view.entry_nodes = hosts
        self.loads = loads.LoadTracker(self.view, {})
        self.backlog = backlog.ReportedBacklog(self.view)
        self.speeds = speeds.TargetSpeeds()
        self.policy = policy.CostPolicy(
            'north',
            self.loads,
            self.backlog,
            self.speeds,
            random.Random(seed),
        )

    def apply(self, **work_ms):
        self.view.apply_frame(
            fleet_pb2.FleetFrame(
                is_leader=True,
                remaining_work_ms={
                    key.replace('_', '-'): value
                    for key, value in work_ms.items()
                },
            )
        )

    def select(self, options, demand=DEMAND):
        return self.policy.select(options, demand)

    def start(self, target, demand=DEMAND):
        self.backlog.start(
            backlog.RunningRequest(target, demand.cost, ENGINE, lambda: 0)
        )
        self.loads.record_start(target)


def run(check):
    async def work_on_loop():
        check()

    virtual_time.run(work_on_loop())


# Guards against a choice by the number of requests: one long request is more
# work than several short ones.
def test_target_with_least_work_is_chosen():
    def check():
        host = Host()
        options = build_targets(2)
        host.view.in_flight.update({'g-0': 1, 'g-1': 3})
        host.apply(g_0=9000.0, g_1=300.0)
        chosen = {host.select(options).group for _ in range(50)}
        assert chosen == {'g-1'}

    run(check)


# Guards against a slow endpoint that gets as much as the others.
def test_slow_target_gets_less():
    def check():
        host = Host()
        options = build_targets(3)
        for _ in range(30):
            host.speeds.record(options[0], 100, 400)
        counts = collections.Counter()
        for _ in range(60):
            target = host.select(options)
            counts[target.group] += 1
            host.start(target)
        assert 0 < counts['g-0'] < 0.5 * min(counts['g-1'], counts['g-2'])

    run(check)


# Guards against targets that are never chosen while others are.
def test_no_target_starves():
    def check():
        host = Host()
        options = build_targets(5)
        counts = collections.Counter()
        for _ in range(200):
            target = host.select(options)
            counts[target.group] += 1
            host.start(target)
        assert min(counts[target.group] for target in options) >= 30

    run(check)


# Guards against a herd: hosts that see the same report all take the target
# that it shows as the least loaded.
def test_many_hosts_with_one_report_do_not_choose_one_target():
    def check():
        options = build_targets(20)
        hosts = [Host(seed, hosts=89) for seed in range(89)]
        counts = collections.Counter()
        report = {f'g_{i}': 3000.0 + 10 * i for i in range(1, 20)}
        for host in hosts:
            host.apply(**report, g_0=2500.0)
            # What each host has sent lately tells what the others send.
            for target in options[:2]:
                running = backlog.RunningRequest(
                    target, DEMAND.cost, ENGINE, lambda: 0
                )
                host.backlog.start(running)
                host.backlog.end(running)
        for host in hosts:
            counts[host.select(options).group] += 1
        assert max(counts.values()) <= 0.25 * len(hosts)
        assert len(counts) >= 10

    run(check)


# Guards against estimates in which a busy target costs a long request no more
# than an idle one with the same work left.
def test_delay_of_others_counts():
    def check():
        host = Host()
        idle, busy = build_targets(2)
        host.view.in_flight['g-1'] = 4
        assert host.policy.rate(busy, DEMAND) > host.policy.rate(idle, DEMAND)

    run(check)


# Guards against plain services, which have no engine, being chosen blindly.
def test_plain_target_with_least_slot_time_is_chosen():
    def check():
        host = Host()
        options = [
            targets.Target(f'w-{i}', f'w-{i}', '', 'north', 2)
            for i in range(2)
        ]
        host.apply(w_0=800.0, w_1=20.0)
        demand = admission.Demand('api', cost=work.Cost(slot_ms=40.0))
        chosen = {host.select(options, demand).key for _ in range(30)}
        assert chosen == {'w-1'}

    run(check)
