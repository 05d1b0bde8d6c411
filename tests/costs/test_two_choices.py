"""Selection of the better of two targets drawn at random, offline."""

import collections
import dataclasses
import random

from filbertglade.costs import speeds
from filbertglade.costs import two_choices
from filbertglade.costs import work
from filbertglade.fleet import document
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.forwarding import loads
from filbertglade.forwarding import targets
from tests import virtual_time

ENGINE = document.Engine(
    slots=4,
    stride=4,
    step_ms=8.0,
    per_seq_ms=1.0,
    read_per_s=10_000.0,
    usual={'prompt': 100.0, 'answer': 50.0},
)
DEMAND = admission.Demand(
    'models', 'big', engine=ENGINE, cost=work.Cost(1000, 100)
)
PLAIN_DEMAND = admission.Demand('api', cost=work.Cost(slot_ms=40.0))


def build_targets(count, model='big', **fields):
    return [
        targets.Target(
            f'i-{i}', f'i-{i}', '', 'north', 4, f'g-{i}', 1, model=model
        )
        for i in range(count)
    ]


class Host:
    def __init__(self, seed=1):
        self.view = view.FleetView()
        self.loads = loads.LoadTracker(self.view, {})
        self.speeds = speeds.TargetSpeeds()
        self.policy = two_choices.TwoChoicesPolicy(
            'north', self.loads, self.speeds, random.Random(seed)
        )

    def count(self, options, demand=DEMAND, times=200):
        return collections.Counter(
            self.policy.select(options, demand).group for _ in range(times)
        )


def run(check):
    async def work_on_loop():
        check()

    virtual_time.run(work_on_loop())


# Guards against a choice by one source of load alone: what frames report, and
# what this host has sent since.
def test_less_loaded_of_two_is_chosen():
    def check():
        host, options = Host(), build_targets(2)
        host.view.in_flight['g-0'] = 2
        for demand in (DEMAND, PLAIN_DEMAND, admission.Demand('api')):
            assert host.count(options, demand)['g-1'] >= 185
        for _ in range(3):
            host.loads.record_start(options[1])
        assert host.count(options)['g-0'] >= 185

    run(check)


# Guards against hosts with one report that all choose the target that it
# shows as idle, and against targets that are never drawn.
def test_idle_target_gets_no_more_than_draws_of_two_give():
    def check():
        options = build_targets(20)
        counts = collections.Counter()
        for seed in range(89):
            host = Host(seed)
            host.view.in_flight.update({f'g-{i}': 4 for i in range(1, 20)})
            counts += host.count(options, times=10)
        assert counts['g-0'] <= 0.25 * counts.total()
        # The most loaded target is taken only if it is the first of equals.
        assert len(counts) == len(options)
        host.view.in_flight.update({f'g-{i}': 0 for i in range(1, 20)})
        assert len(host.count(options)) == len(options)

    run(check)


# Guards against targets that are slow, by the leader or by what this host
# sees, getting as much as the others.
def test_slow_and_remote_targets_are_the_worse_of_two():
    def check():
        host, options = Host(), build_targets(4)
        for _ in range(30):
            host.speeds.record(options[0], 100, 400)
        options[1] = dataclasses.replace(options[1], slowness=4.0)
        options[2] = dataclasses.replace(options[2], data_centre='south')
        for demand in (DEMAND, PLAIN_DEMAND, admission.Demand('api')):
            for worse in options[:3]:
                counts = host.count([worse, options[3]], demand)
                assert counts['g-3'] >= 185
        assert host.policy.select(options[:1], DEMAND) is options[0]

    run(check)


# Guards against targets that get nothing, and whose speed is never learned
# anew, since they lose each comparison.
def test_worst_of_all_targets_is_still_tried():
    def check():
        host, options = Host(), build_targets(4)
        options[0] = dataclasses.replace(options[0], slowness=1.01)
        assert 2 <= host.count(options, times=1000)['g-0'] <= 40

    run(check)


# Guards against draws in which endpoints with few slots take as many requests
# as those with many.
def test_draws_are_weighted_by_capacity():
    def check():
        host, options = Host(), build_targets(3)
        options[0] = dataclasses.replace(options[0], slots=16)
        counts = host.count(options, admission.Demand('models', 'big'), 600)
        assert counts['g-0'] > 0.8 * 600
        host.view.in_flight['g-0'] = 1
        assert host.count(options[1:])['g-1'] > 60

    run(check)
