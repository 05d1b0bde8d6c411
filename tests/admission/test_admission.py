"""Limits, queues and deadlines, over virtual time."""

import asyncio
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from filbertglade.admission import admission
from filbertglade.admission import admission_requests
from filbertglade.admission import permits
from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.observability import metrics
from filbertglade.requests import outcomes
from tests import fakes
from tests import virtual_time

Reason = outcomes.RefusalReason


def build_admission(fleet, **limits):
    settings = fakes.build_settings(**limits)
    return admission.Admission(
        settings, fleet, metrics.Metrics(), random.Random(1)
    )


def build_request(customer='a', target='writer', left_ms=600_000, **fields):
    return admission_requests.AdmissionRequest(
        fakes.build_customer(customer, **fields),
        target,
        False,
        fakes.build_deadline(left_ms),
    )


async def run_request(gate, request, hold_s, done):
    """Run a request and note when its permit came, or its refusal."""
    asked_ms = clock.now_ms()
    given = await gate.admit(request)
    wait_ms = clock.now_ms() - asked_ms
    done.append((request.customer.name, request.target, given, wait_ms))
    if isinstance(given, permits.Permit):
        with given:
            await asyncio.sleep(hold_s)


async def fill(gate, request):
    """Take permits until one more request would wait."""
    held = []
    while True:
        try:
            given = await asyncio.wait_for(gate.admit(request), 0.01)
        except TimeoutError:
            return held
        held.append(given)


def test_no_endpoint_known_gives_a_permit_at_once():
    async def scenario():
        gate = build_admission(fakes.FakeFleet())
        given = await gate.admit(build_request())
        assert isinstance(given, permits.Permit)

    virtual_time.run(scenario())


def test_slots_are_divided_by_this_nodes_share():
    async def scenario():
        fleet = fakes.FakeFleet(writer=100)
        fleet.shares = {'a': 0.25}
        gate = build_admission(fleet)
        held = await fill(gate, build_request())
        assert 25 <= len(held) <= 28

    virtual_time.run(scenario())


@pytest.mark.parametrize('share, allowed', [(1.0, 8), (0.5, 4), (0.01, 1)])
def test_concurrent_requests_are_limited_by_share(share, allowed):
    async def scenario():
        fleet = fakes.FakeFleet(writer=1000)
        fleet.shares = {'a': share}
        gate = build_admission(fleet)
        request = build_request(concurrent_requests=8)
        given = [await gate.admit(request) for _ in range(10)]
        assert [bool(item) for item in given].count(True) == allowed
        refusal = given[-1]
        assert refusal.reason is Reason.LIMIT_REACHED
        assert refusal.outcome is outcomes.Outcome.NOT_RUN
        assert refusal.retry_after_ms > 0
        given[0].release()
        assert await gate.admit(request)

    virtual_time.run(scenario())


def test_request_rate_is_limited_and_says_when_to_come_back():
    async def scenario():
        fleet = fakes.FakeFleet(writer=1000)
        fleet.shares = {'a': 0.5}
        gate = build_admission(fleet)
        request = build_request(requests_per_s=4.0)
        given = [await gate.admit(request) for _ in range(3)]
        assert [bool(item) for item in given] == [True, True, False]
        assert 500 <= given[2].retry_after_ms <= 625
        await asyncio.sleep(given[2].retry_after_ms / 1000)
        assert await gate.admit(request)

    virtual_time.run(scenario())


def test_deadline_that_cannot_be_met_is_refused_at_once():
    async def scenario():
        gate = build_admission(fakes.FakeFleet(writer=1))
        await gate.start()
        done = []
        work = []
        for _ in range(40):
            request = run_request(gate, build_request(left_ms=4000), 1, done)
            work.append(asyncio.create_task(request))
            await asyncio.sleep(0.15)
        await asyncio.gather(*work)
        refused = [item for item in done if not item[2]]
        assert len(done) == 40
        assert len(refused) > 10
        for _, _, refusal, wait_ms in refused:
            assert refusal.reason is Reason.DEADLINE
            assert wait_ms <= 100
            assert refusal.retry_after_ms >= 250
        assert all(wait_ms <= 4000 for *_, wait_ms in done)
        await gate.close()

    virtual_time.run(scenario())


def test_waiting_request_is_refused_once_slots_are_lost():
    async def scenario():
        fleet = fakes.FakeFleet(writer=10)
        gate = build_admission(fleet)
        await gate.start()
        held = await fill(gate, build_request())
        done = []
        work = [
            asyncio.create_task(
                run_request(gate, build_request(left_ms=6000), 1, done)
            )
            for _ in range(20)
        ]
        await asyncio.sleep(0.05)
        assert not done
        fleet.loads['writer'].slots = 1
        await asyncio.sleep(0.3)
        assert len(done) > 10
        assert all(item[2].reason is Reason.DEADLINE for item in done)
        fleet.loads['writer'].slots = 10
        for permit in held:
            permit.release()
        await asyncio.gather(*work)
        await gate.close()

    virtual_time.run(scenario())


def test_full_queue_displaces_who_holds_most():
    async def scenario():
        gate = build_admission(
            fakes.FakeFleet(writer=1), queued_requests=6, queue_wait_ms=60_000
        )
        held = await fill(gate, build_request())
        done = []
        tasks = []
        for name in 'aaaaaaabbb':
            work = run_request(gate, build_request(name), 0.1, done)
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(0.01)
        refused = [item[0] for item in done]
        assert refused == ['a', 'a', 'a', 'a']
        assert {item[2].reason for item in done} == {Reason.OVERLOADED}
        for permit in held:
            permit.release()
        await asyncio.gather(*tasks)
        served = [item[0] for item in done if item[2]]
        assert sorted(served) == ['a', 'a', 'a', 'b', 'b', 'b']

    virtual_time.run(scenario())


def test_close_refuses_what_waits():
    async def scenario():
        gate = build_admission(fakes.FakeFleet(writer=1))
        await gate.start()
        await fill(gate, build_request())
        waiting = asyncio.create_task(gate.admit(build_request()))
        await asyncio.sleep(0)
        await gate.close()
        assert (await waiting).reason is Reason.SHUTTING_DOWN
        assert (await gate.admit(build_request())).reason is (
            Reason.SHUTTING_DOWN
        )

    virtual_time.run(scenario())


def test_demand_counts_refused_requests_too():
    async def scenario():
        gate = build_admission(fakes.FakeFleet(writer=1000))
        for _ in range(400):
            request = build_request(requests_per_s=1.0)
            request.expected_tokens = 30
            given = await gate.admit(request)
            if given:
                given.release()
            await asyncio.sleep(0.1)
        (demand,) = gate.demand()
        assert demand.customer == 'a'
        assert demand.requests_per_s == pytest.approx(10, rel=0.1)
        assert demand.tokens_per_s == pytest.approx(300, rel=0.1)

    virtual_time.run(scenario())


def test_lower_class_gets_every_sixteenth_turn():
    async def scenario():
        fleet = fakes.FakeFleet(high=100, low=100)
        fleet.document = configuration_model.Document(
            1,
            'change',
            deployments=[
                fakes.build_deployment('high', 9),
                fakes.build_deployment('low', 1),
            ],
        )
        gate = build_admission(fleet, requests_in_flight=1)
        done = []
        work = [
            run_request(gate, build_request('a', target), 0.01, done)
            for target in ['high'] * 64 + ['low'] * 64
        ]
        await asyncio.gather(*work)
        turns = [i for i, item in enumerate(done) if item[1] == 'low']
        # The first of all did not wait, and so was nobody's turn.
        assert turns[:4] == [16, 32, 48, 64]

    virtual_time.run(scenario())


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    weights=st.lists(st.sampled_from([1.0, 2.0, 4.0]), min_size=2, max_size=4),
    slots=st.integers(1, 6),
)
def test_busy_customers_are_served_by_weight(weights, slots):
    async def scenario():
        gate = build_admission(
            fakes.FakeFleet(writer=slots), queue_wait_ms=10_000_000
        )
        done = []
        work = [
            run_request(gate, build_request(f'c{i}', weight=weight), 0.1, done)
            for i, weight in enumerate(weights)
            for _ in range(120)
        ]
        await asyncio.gather(*work)
        # As long as the heaviest customer still asks for something.
        busy = int(120 * sum(weights) / max(weights) * 0.9)
        names = [item[0] for item in done[30:busy]]
        for i, weight in enumerate(weights):
            fair = len(names) * weight / sum(weights)
            assert names.count(f'c{i}') == pytest.approx(fair, abs=4 + slots)

    virtual_time.run(scenario())


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    seed=st.integers(0, 1 << 30),
    slots=st.integers(1, 5),
    count=st.integers(1, 60),
    queued=st.integers(1, 20),
)
def test_permits_never_leak(seed, slots, count, queued):
    async def scenario():
        rng = random.Random(seed)
        gate = build_admission(
            fakes.FakeFleet(writer=slots),
            queued_requests=queued,
            queue_wait_ms=2000,
        )
        await gate.start()
        running = [0]
        most = [0]

        async def run():
            await asyncio.sleep(rng.random())
            given = await gate.admit(
                build_request(
                    rng.choice('abc'),
                    left_ms=rng.choice([10, 500, 5000]),
                    concurrent_requests=20,
                )
            )
            if not given:
                return
            running[0] += 1
            most[0] = max(most[0], running[0])
            try:
                await asyncio.sleep(rng.random() / 4)
            finally:
                running[0] -= 1
                given.release()
                given.release()

        work = [asyncio.create_task(run()) for _ in range(count)]
        for task in work:
            if rng.random() < 0.4:
                await asyncio.sleep(rng.random() / 10)
                task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        # Whatever happened, every slot is free again.
        held = await fill(gate, build_request('z'))
        limit = len(held)
        assert slots <= limit <= 2 * slots + 1
        assert most[0] <= 2 * slots + 1
        for permit in held:
            permit.release()
        accounts = gate._customers._accounts
        assert all(not item.in_flight for item in accounts.values())
        assert gate._schedule.running == gate._schedule.waiting == 0
        await gate.close()

    virtual_time.run(scenario())


def test_cancelled_between_grant_and_wake_gives_the_permit_back():
    async def scenario():
        gate = build_admission(fakes.FakeFleet(writer=1))
        held = await fill(gate, build_request())
        waiting = asyncio.create_task(gate.admit(build_request()))
        await asyncio.sleep(0)
        for permit in held:
            permit.release()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        again = await fill(gate, build_request())
        assert len(again) == len(held)

    virtual_time.run(scenario())
