"""Admission by urgency when capacity is short, offline."""

import asyncio
import math
import random
import types

import pytest
from tornado import httputil

from filbertglade.fleet import dialects
from filbertglade.fleet import unserved
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.forwarding import fair_shares
from filbertglade.forwarding import heads
from filbertglade.forwarding import room_forecast
from filbertglade.forwarding import slot_admission
from filbertglade.forwarding import targets
from filbertglade.forwarding import urgency_admission
from filbertglade.inner import fleet_pb2
from tests.gateway_forwarding import short_capacity
from tests import virtual_time

SLOTS = short_capacity.SLOTS
CLASSES = admission.AdmissionClass
# Time of the wave's second crest, with the seconds around it.
CREST_S = (13, 21)


def run(check):
    async def work():
        result = check()
        if asyncio.iscoroutine(result):
            await result

    virtual_time.run(work())


def build_demand(admission_class=CLASSES.FRESH, priority=1, **fields):
    return admission.Demand(
        'models',
        'big',
        admission_class,
        objective_ms=500.0,
        remaining_ms=6000.0,
        prompt_tokens=600,
        engine=short_capacity.ENGINE,
        priority=priority,
        # Its later digits keep it from the late requests that are aged.
        lot=0.5005005,
        **fields,
    )


def build_policy(fleet_view=None):
    return urgency_admission.UrgencyAdmission(
        fleet_view or view.FleetView(), unserved.UnservedDemand()
    )


def build_targets(count=2):
    return [
        targets.Target(f'i-{n}', f'i-{n}', '', 'north', SLOTS, f'g-{n}')
        for n in range(count)
    ]


def build_head(engine_priority, **sent):
    request = types.SimpleNamespace(
        method='GET',
        target='/',
        headers=httputil.HTTPHeaders(sent),
        body=b'',
    )
    head = heads.build_request_head(
        request, dialects.DEFAULT, '', 'i-1', 100, '', engine_priority
    )
    return head.decode()


def test_engine_gets_only_this_hosts_priority():
    """A caller must not choose its own place in an engine's queue."""
    name = dialects.DEFAULT.engine_priority
    head = build_head(7, **{name: '0'})
    assert f'{name}: 7\r\n' in head
    assert head.count(name) == 1


def test_heads_without_a_priority_stay_as_they_were():
    name = dialects.DEFAULT.engine_priority
    assert name not in build_head(None)
    assert f'{name}: 3\r\n' in build_head(None, **{name: '3'})
    admitted = slot_admission.SlotAdmission().admit(
        build_demand(), build_targets()[0], 0
    )
    assert admitted.engine_priority is None
    assert admitted.fields == {}


def test_started_streams_precede_fresh_requests_and_these_late_ones():
    def check():
        policy = build_policy()
        target = build_targets()[0]
        found = [
            policy.admit(
                build_demand(kind, priority), target, 0
            ).engine_priority
            for kind in (CLASSES.STARTED, CLASSES.FRESH, CLASSES.LATE)
            for priority in (0, 1, 2)
        ]
        assert found[:3] == [0, 0, 0]
        assert found[3:] == sorted(set(found[3:]))
        assert found[3] > 0
        assert found[-1] <= 9

    run(check)


@pytest.mark.parametrize('kind', (CLASSES.FRESH, CLASSES.LATE))
def test_least_urgent_class_gives_way_first(kind):
    """Guards against urgent requests refused beside less urgent ones."""

    def check():
        taken = []
        for priority in (0, 1, 2):
            policy = build_policy()
            loads = 0
            while policy.find_room(
                build_demand(kind, priority),
                dict.fromkeys(build_targets(), loads),
            ).replicas:
                loads += 1
            taken.append(loads)
        assert taken == sorted(set(taken), reverse=True)
        assert taken[0] < 2 * SLOTS

    run(check)


def test_request_that_cannot_end_in_time_is_refused_at_once():
    def check():
        policy = build_policy()
        demand = build_demand(CLASSES.LATE)
        loads = dict.fromkeys(build_targets(), SLOTS)
        assert policy.find_room(demand, loads).replicas
        short = admission.Demand(
            'models',
            'big',
            CLASSES.LATE,
            remaining_ms=300.0,
            engine=short_capacity.ENGINE,
        )
        assert not policy.find_room(short, loads).replicas

    run(check)


def test_large_customer_leaves_room_to_the_others():
    def check():
        shares = fair_shares.FairShares()
        for _ in range(80):
            shares.record('large')
        for number in range(20):
            shares.record(f'small-{number}')
        assert shares.find_fraction('small-3', 0.5) == 1.0
        assert shares.find_fraction('large', 0.5) < 0.4

    run(check)


def test_refused_callers_return_in_the_trough_of_a_wave():
    """The wave's crest refuses callers that return within it once more."""

    async def check():
        rng = random.Random(1)
        forecast = room_forecast.RoomForecast()
        for step in range(360):
            await asyncio.sleep(0.1)
            wave = 1 + 0.9 * math.sin(2 * math.pi * step / 130)
            for _ in range(round(2 * wave + rng.random())):
                forecast.record()
        # At 36 s the load falls, and the trough is 3 s ahead at 35.75 s + n.
        delays = [forecast.choose_delay_s(0.5, 4.5, rng) for _ in range(2000)]
        assert all(0.5 <= delay <= 4.5 for delay in delays)
        near_trough = sum(1.5 <= delay <= 3.5 for delay in delays)
        assert near_trough > sum(not 1.5 <= delay <= 3.5 for delay in delays)

    run(check)


def test_refused_callers_return_within_a_third_of_their_time():
    def check():
        policy = build_policy()
        rng = random.Random(1)
        delays = [
            policy.choose_retry_s(build_demand(), 1.0, False, rng)
            for _ in range(200)
        ]
        assert 0.5 <= min(delays) < 0.6
        assert 1.8 < max(delays) <= 2.0
        # A refusal for another reason keeps its time.
        assert 0.75 <= policy.choose_retry_s(None, 1.0, False, rng) <= 1.25

    run(check)


def test_unserved_demand_of_all_hosts_delays_returns():
    """Guards against all refused callers returning into the same room."""

    def check():
        own = unserved.UnservedDemand()
        for _ in range(20):
            own.record(1, 'big')
        reports = [
            fleet_pb2.WatchReport(unserved_per_s=own.read()) for _ in range(9)
        ]
        fleet_view = view.FleetView()
        policy = build_policy(fleet_view)
        loads = dict.fromkeys(build_targets(), SLOTS)
        policy.find_room(build_demand(), loads)
        frame = fleet_pb2.FleetFrame(unserved_per_s=unserved.add_up(reports))
        fleet_view.apply_frame(frame)
        rng = random.Random(1)

        def choose_earliest(priority):
            demand = build_demand(priority=priority)
            return min(
                policy.choose_retry_s(demand, 1.0, False, rng)
                for _ in range(200)
            )

        assert choose_earliest(1) > 1.2
        assert choose_earliest(0) < 0.6

    run(check)


# With 58 hosts whose beliefs are 0.1 to 0.8 s old


def play(routes, is_urgent, customers=(1,) * 24, **load):
    """Return the requests of the wave's second crest."""

    def make_policy(fleet_view, own_unserved):
        if is_urgent:
            return urgency_admission.UrgencyAdmission(fleet_view, own_unserved)
        return slot_admission.SlotAdmission()

    model = short_capacity.Model(
        make_policy,
        routes,
        short_capacity.build_wave(routes, **load),
        customers,
    )
    requests = virtual_time.run(model.run(CREST_S[1] + 1))
    return [
        request
        for request in requests
        if CREST_S[0] <= request.began_s - model.start_s < CREST_S[1]
    ]


def measure(requests, name):
    return sum(getattr(item, name) for item in requests) / len(requests)


def list_largest(requests):
    ordered = sorted(requests, key=lambda item: item.prompt + 10 * item.answer)
    return ordered[-len(ordered) // 10 :]


EQUAL_ROUTES = (
    short_capacity.Route('a', 1, 504, 6500, 0.4),
    short_capacity.Route('b', 1, 303, 6500, 0.3),
    short_capacity.Route('c', 1, 505, 6500, 0.3),
)
RANKED_ROUTES = (
    short_capacity.Route('a', 1, 404, 8100, 0.4),
    short_capacity.Route('b', 0, 253, 6100, 0.3),
    short_capacity.Route('c', 2, 805, 6000, 0.3),
)


def test_more_are_in_time_and_no_fewer_served_in_a_burst_on_a_crest():
    load = {'mean': 0.85, 'burst_route': 'b', 'burst': 0.35}
    slots = play(EQUAL_ROUTES, False, **load)
    urgent = play(EQUAL_ROUTES, True, **load)
    assert measure(urgent, 'is_in_time') > 1.2 * measure(slots, 'is_in_time')
    assert measure(urgent, 'is_served') >= measure(slots, 'is_served')
    assert measure(list_largest(urgent), 'is_served') >= 0.5 * measure(
        urgent, 'is_served'
    )


def test_burst_of_the_least_urgent_route_costs_that_route():
    load = {'mean': 0.75, 'burst_route': 'c', 'burst': 0.6}
    slots = play(RANKED_ROUTES, False, **load)
    urgent = play(RANKED_ROUTES, True, **load)

    def measure_route(requests, name, what):
        return measure(
            [item for item in requests if item.route.name == name], what
        )

    assert measure_route(urgent, 'b', 'is_in_time') > 2 * measure_route(
        slots, 'b', 'is_in_time'
    )
    served = [measure_route(urgent, name, 'is_served') for name in 'bac']
    credit = [measure_route(urgent, name, 'credit') for name in 'bac']
    for urgency in (0, 1):
        assert served[urgency] >= max(served[urgency:]) - 0.05
        assert credit[urgency] >= max(credit[urgency:]) - 0.15


def test_small_customers_are_served_beside_a_large_one():
    requests = play(EQUAL_ROUTES, True, customers=(16,) + (1,) * 23, mean=0.9)
    small = [item for item in requests if item.customer != 'c-0']
    assert measure(small, 'is_served') >= measure(requests, 'is_served') - 0.05
    for number in range(24):
        own = [item for item in requests if item.customer == f'c-{number}']
        assert measure(own, 'is_served') >= 0.25 * measure(
            requests, 'is_served'
        )
