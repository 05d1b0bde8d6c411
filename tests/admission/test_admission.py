"""Admission limits, queues and deadlines, in virtual time."""

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


async def run_request(controller, request, hold_s, done):
    """Run a request; append its permit or refusal and its wait to done."""
    start_ms = clock.now_ms()
    decision = await controller.admit(request)
    wait_ms = clock.now_ms() - start_ms
    done.append((request.customer.name, request.target, decision, wait_ms))
    if isinstance(decision, permits.Permit):
        with decision:
            await asyncio.sleep(hold_s)


async def fill(controller, request):
    """Acquire permits until the next request has to wait."""
    held = []
    while True:
        try:
            decision = await asyncio.wait_for(controller.admit(request), 0.01)
        except TimeoutError:
            return held
        held.append(decision)


def test_no_endpoint_known_gives_a_permit_at_once():
    async def scenario():
        controller = build_admission(fakes.FakeFleet())
        decision = await controller.admit(build_request())
        assert isinstance(decision, permits.Permit)

    virtual_time.run(scenario())


def test_slots_are_divided_by_this_nodes_share():
    async def scenario():
        fleet = fakes.FakeFleet(writer=100)
        fleet.shares = {'a': 0.25}
        controller = build_admission(fleet)
        held = await fill(controller, build_request())
        assert 25 <= len(held) <= 28

    virtual_time.run(scenario())


@pytest.mark.parametrize('share, allowed', [(1.0, 8), (0.5, 4), (0.01, 1)])
def test_concurrent_requests_are_limited_by_share(share, allowed):
    async def scenario():
        fleet = fakes.FakeFleet(writer=1000)
        fleet.shares = {'a': share}
        controller = build_admission(fleet)
        request = build_request(concurrent_requests=8)
        decisions = [await controller.admit(request) for _ in range(10)]
        assert [bool(item) for item in decisions].count(True) == allowed
        refusal = decisions[-1]
        assert refusal.reason is Reason.LIMIT_REACHED
        assert refusal.outcome is outcomes.Outcome.NOT_RUN
        assert refusal.retry_after_ms > 0
        decisions[0].release()
        assert await controller.admit(request)

    virtual_time.run(scenario())


def test_request_rate_is_limited_and_sets_retry_after():
    async def scenario():
        fleet = fakes.FakeFleet(writer=1000)
        fleet.shares = {'a': 0.5}
        controller = build_admission(fleet)
        request = build_request(requests_per_s=4.0)
        decisions = [await controller.admit(request) for _ in range(3)]
        assert [bool(item) for item in decisions] == [True, True, False]
        assert 500 <= decisions[2].retry_after_ms <= 625
        await asyncio.sleep(decisions[2].retry_after_ms / 1000)
        assert await controller.admit(request)

    virtual_time.run(scenario())


def test_deadline_that_cannot_be_met_is_refused_at_once():
    async def scenario():
        controller = build_admission(fakes.FakeFleet(writer=1))
        await controller.start()
        done = []
        work = []
        for _ in range(40):
            request = run_request(
                controller, build_request(left_ms=4000), 1, done
            )
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
        await controller.close()

    virtual_time.run(scenario())


def test_waiting_request_is_refused_once_slots_are_lost():
    async def scenario():
        fleet = fakes.FakeFleet(writer=10)
        controller = build_admission(fleet)
        await controller.start()
        held = await fill(controller, build_request())
        done = []
        work = [
            asyncio.create_task(
                run_request(controller, build_request(left_ms=6000), 1, done)
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
        await controller.close()

    virtual_time.run(scenario())


def test_full_queue_displaces_the_largest_backlog():
    async def scenario():
        controller = build_admission(
            fakes.FakeFleet(writer=1), queued_requests=6, queue_wait_ms=60_000
        )
        held = await fill(controller, build_request())
        done = []
        tasks = []
        for name in 'aaaaaaabbb':
            work = run_request(controller, build_request(name), 0.1, done)
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


def test_close_refuses_waiting_requests():
    async def scenario():
        controller = build_admission(fakes.FakeFleet(writer=1))
        await controller.start()
        await fill(controller, build_request())
        waiting = asyncio.create_task(controller.admit(build_request()))
        await asyncio.sleep(0)
        await controller.close()
        assert (await waiting).reason is Reason.SHUTTING_DOWN
        assert (await controller.admit(build_request())).reason is (
            Reason.SHUTTING_DOWN
        )

    virtual_time.run(scenario())


def test_demand_counts_refused_requests_too():
    async def scenario():
        controller = build_admission(fakes.FakeFleet(writer=1000))
        for _ in range(400):
            request = build_request(requests_per_s=1.0)
            request.expected_tokens = 30
            decision = await controller.admit(request)
            if decision:
                decision.release()
            await asyncio.sleep(0.1)
        (demand,) = controller.demand()
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
        controller = build_admission(fleet, requests_in_flight=1)
        done = []
        work = [
            run_request(controller, build_request('a', target), 0.01, done)
            for target in ['high'] * 64 + ['low'] * 64
        ]
        await asyncio.gather(*work)
        turns = [i for i, item in enumerate(done) if item[1] == 'low']
        # The very first request did not wait and so used no turn.
        assert turns[:4] == [16, 32, 48, 64]

    virtual_time.run(scenario())


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    weights=st.lists(st.sampled_from([1.0, 2.0, 4.0]), min_size=2, max_size=4),
    slots=st.integers(1, 6),
)
def test_backlogged_customers_are_served_by_weight(weights, slots):
    async def scenario():
        controller = build_admission(
            fakes.FakeFleet(writer=slots), queue_wait_ms=10_000_000
        )
        done = []
        work = [
            run_request(
                controller, build_request(f'c{i}', weight=weight), 0.1, done
            )
            for i, weight in enumerate(weights)
            for _ in range(120)
        ]
        await asyncio.gather(*work)
        # Counts responses while the heaviest customer still has requests.
        saturated = int(120 * sum(weights) / max(weights) * 0.9)
        names = [item[0] for item in done[30:saturated]]
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
        controller = build_admission(
            fakes.FakeFleet(writer=slots),
            queued_requests=queued,
            queue_wait_ms=2000,
        )
        await controller.start()
        running = [0]
        max_running = [0]

        async def run():
            await asyncio.sleep(rng.random())
            decision = await controller.admit(
                build_request(
                    rng.choice('abc'),
                    left_ms=rng.choice([10, 500, 5000]),
                    concurrent_requests=20,
                )
            )
            if not decision:
                return
            running[0] += 1
            max_running[0] = max(max_running[0], running[0])
            try:
                await asyncio.sleep(rng.random() / 4)
            finally:
                running[0] -= 1
                decision.release()
                decision.release()

        work = [asyncio.create_task(run()) for _ in range(count)]
        for task in work:
            if rng.random() < 0.4:
                await asyncio.sleep(rng.random() / 10)
                task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        # Every slot must be free again.
        held = await fill(controller, build_request('z'))
        limit = len(held)
        assert slots <= limit <= 2 * slots + 1
        assert max_running[0] <= 2 * slots + 1
        for permit in held:
            permit.release()
        accounts = controller._customers._accounts
        assert all(not item.in_flight for item in accounts.values())
        assert (
            controller._schedule.running == controller._schedule.waiting == 0
        )
        await controller.close()

    virtual_time.run(scenario())


def test_cancellation_between_grant_and_wake_releases_the_permit():
    async def scenario():
        controller = build_admission(fakes.FakeFleet(writer=1))
        held = await fill(controller, build_request())
        waiting = asyncio.create_task(controller.admit(build_request()))
        await asyncio.sleep(0)
        for permit in held:
            permit.release()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        again = await fill(controller, build_request())
        assert len(again) == len(held)

    virtual_time.run(scenario())


# Guards against requests that wait, or use up limits, although nothing can
# serve them until the operator ends an evacuation.
def test_requests_to_evacuated_endpoints_are_refused_at_once():
    async def scenario():
        fleet = fakes.FakeFleet(writer=2)
        controller = build_admission(fleet)
        await controller.start()
        request = build_request()
        held = await fill(controller, request)
        waiting = asyncio.ensure_future(controller.admit(request))
        await asyncio.sleep(0.01)
        fleet.evacuations = ['north']
        start_ms = clock.now_ms()
        for decision in (await controller.admit(request), await waiting):
            assert decision.reason is Reason.EVACUATED
            assert decision.reason.value == 'data centre evacuated'
            assert '(north)' in decision.detail
            assert 'until the operator ends it' in decision.detail
            assert decision.outcome is outcomes.Outcome.NOT_RUN
            assert decision.retry_after_ms >= 2000
        assert clock.now_ms() - start_ms <= admission.SWEEP_INTERVAL_MS
        fleet.evacuations = []
        held.pop().release()
        assert isinstance(await controller.admit(request), permits.Permit)
        await controller.close()

    virtual_time.run(scenario())
