"""Admission control: limits, queues and deadlines of requests."""

import asyncio
from collections import abc
import math
import random

from filbertglade.admission import admission_requests
from filbertglade.admission import fairness
from filbertglade.admission import limits
from filbertglade.admission import permits
from filbertglade.admission import scheduling
from filbertglade.admission import target as targets
from filbertglade import clock
from filbertglade.fleet import evacuated
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import outcomes
from filbertglade.settings import model
from filbertglade import tasks

SWEEP_INTERVAL_MS = 100
MIN_RETRY_AFTER_MS = 250
RETRY_JITTER_FRACTION = 0.25

DemandListener = abc.Callable[[str, float, float], None]
Reason = outcomes.RefusalReason


class Admission:
    """Decides whether and when each request runs."""

    def __init__(
        self,
        settings: model.NodeSettings,
        fleet: view.FleetView,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._limits = settings.limits
        self._fleet = fleet
        self._counters = counters
        self._rng = rng
        self._tasks = tasks.TaskGroup()
        self._customers = limits.CustomerLimits(fleet)
        self._schedule = scheduling.Schedule(settings, fleet, self._customers)
        self._demand_listeners: list[DemandListener] = []
        self._is_closed = False
        counters.set_gauge(
            'queued_requests', lambda: float(self._schedule.waiting)
        )
        counters.set_gauge(
            'permitted_requests', lambda: float(self._schedule.running)
        )

    async def start(self) -> None:
        """Start the periodic check of the waiting requests."""
        self._tasks.keep_running(
            'admission.sweep', self._sweep_periodically, self._counters
        )

    async def close(self) -> None:
        """Stop, and refuse the requests that still wait."""
        self._is_closed = True
        await self._tasks.close()
        for target in self._schedule.list_targets():
            for waiter in list(target.queue):
                self._refuse_waiter(target, waiter, Reason.SHUTTING_DOWN, 0)

    def add_demand_listener(self, listener: DemandListener) -> None:
        """Add a listener that receives each customer's demand periodically.

        :param listener: called with a customer's name, requests per second
            and tokens per second; with zeros once the customer's account is
            dropped as idle.
        """
        self._demand_listeners.append(listener)

    def demand(self) -> list[limits.Demand]:
        """Return each customer's demand on this node.

        :returns: one entry for each customer that called recently.
        """
        return self._customers.demand()

    async def admit(
        self, request: admission_requests.AdmissionRequest
    ) -> permits.Permit | outcomes.Refusal:
        """Wait for a permit to run a request.

        :param request: the request.
        :returns: a permit, which the caller must release; or a refusal,
            returned as soon as it is certain that the request won't run.
        """
        customer = request.customer
        target = self._schedule.get_or_create(request)
        self._customers.note_arrival(customer.name, request.expected_tokens)
        target.note_arrival(request)
        if self._is_closed:
            return self._refuse(Reason.SHUTTING_DOWN, 0)
        evacuation = self._fleet.find_evacuation(
            request.target, request.is_service
        )
        if evacuation:
            return self._refuse_evacuated(evacuation)
        wait_ms = self._customers.try_acquire(customer)
        if wait_ms:
            return self._refuse(Reason.LIMIT_REACHED, wait_ms)
        if self._schedule.can_start_now(target, request):
            target.queue.charge(request)
            return self._grant(target, request)
        refusal = self._check_wait(target, request)
        if refusal is not None:
            self._customers.release(customer.name)
            return refusal
        return await self._wait(target, request)

    def _check_wait(
        self,
        target: targets.Target,
        request: admission_requests.AdmissionRequest,
    ) -> outcomes.Refusal | None:
        own_ahead = target.queue.count_waiting(request.customer.name)
        wait_ms = target.estimate_wait_ms(request, own_ahead)
        refusal = self._check_estimate(target, request, wait_ms)
        if refusal is not None:
            return refusal
        if self._schedule.waiting < self._limits.queued_requests:
            return None
        if self._displace_for(request, own_ahead):
            return None
        return self._refuse(Reason.OVERLOADED, wait_ms)

    def _check_estimate(
        self,
        target: targets.Target,
        request: admission_requests.AdmissionRequest,
        wait_ms: float,
    ) -> outcomes.Refusal | None:
        remaining_ms = (
            request.deadline_ms - clock.now_ms() - target.first_token_ms
        )
        if wait_ms > remaining_ms:
            return self._refuse(Reason.DEADLINE, wait_ms - remaining_ms)
        if wait_ms > self._limits.queue_wait_ms:
            over_ms = wait_ms - self._limits.queue_wait_ms
            return self._refuse(Reason.OVERLOADED, over_ms)
        return None

    def _displace_for(
        self, request: admission_requests.AdmissionRequest, own_ahead: int
    ) -> bool:
        """Refuse the newest request of the largest backlog to free a place.

        Backlogs are compared by their number of requests per weight.

        :param request: the request that needs a place in the queue.
        :param own_ahead: number of its customer's requests that wait already.
        :returns: whether a place was freed.
        """
        found = self._schedule.find_largest_backlog()
        if found is None:
            return False
        target, flow = found
        if (own_ahead + 1) / request.customer.weight >= (
            len(flow.waiters) / flow.weight
        ):
            return False
        waiter = flow.waiters[-1]
        wait_ms = target.estimate_wait_ms(
            waiter.request, len(flow.waiters) - 1
        )
        self._refuse_waiter(target, waiter, Reason.OVERLOADED, wait_ms)
        return True

    async def _wait(
        self,
        target: targets.Target,
        request: admission_requests.AdmissionRequest,
    ) -> permits.Permit | outcomes.Refusal:
        now_ms = clock.now_ms()
        waiter = fairness.Waiter(
            request=request,
            decision=asyncio.get_running_loop().create_future(),
            arrived_ms=now_ms,
            latest_start_ms=min(
                now_ms + 2 * self._limits.queue_wait_ms, request.deadline_ms
            ),
        )
        self._schedule.push(target, waiter)
        self._counters.count('requests_queued')
        try:
            return await waiter.decision
        except asyncio.CancelledError:
            self._abandon(target, waiter)
            raise

    def _abandon(
        self, target: targets.Target, waiter: fairness.Waiter
    ) -> None:
        if self._schedule.remove(target, waiter):
            self._customers.release(waiter.request.customer.name)
            return
        if waiter.decision.done() and not waiter.decision.cancelled():
            decision = waiter.decision.result()
            if isinstance(decision, permits.Permit):
                decision.release()

    def _grant(
        self,
        target: targets.Target,
        request: admission_requests.AdmissionRequest,
        waited_ms: float = 0.0,
    ) -> permits.Permit:
        self._counters.record_ms('queue_wait', waited_ms)
        priority = self._schedule.find_priority(target, request)
        self._schedule.note_started(target, request)
        self._counters.count('requests_admitted')

        def release(permit: permits.Permit) -> None:
            held_ms = clock.now_ms() - permit.granted_ms
            self._schedule.note_released(target, permit, held_ms)
            self._customers.release(request.customer.name)
            self._serve_waiters()

        return permits.Permit(request, priority, release)

    def _serve_waiters(self) -> None:
        while True:
            target = self._schedule.find_next()
            if target is None:
                return
            waiter = self._schedule.pop(target)
            permit = self._grant(target, waiter.request, waiter.read_wait_ms())
            waiter.decision.set_result(permit)

    def _refuse_waiter(
        self,
        target: targets.Target,
        waiter: fairness.Waiter,
        reason: outcomes.RefusalReason,
        retry_ms: float,
    ) -> None:
        self._end_wait(target, waiter, self._refuse(reason, retry_ms))

    def _end_wait(
        self,
        target: targets.Target,
        waiter: fairness.Waiter,
        refusal: outcomes.Refusal,
    ) -> None:
        self._schedule.remove(target, waiter)
        self._customers.release(waiter.request.customer.name)
        waiter.decision.set_result(refusal)

    def _refuse_evacuated(
        self, data_centres: abc.Iterable[str]
    ) -> outcomes.Refusal:
        return self._refuse(
            Reason.EVACUATED,
            evacuated.RETRY_AFTER_MS,
            evacuated.describe(data_centres),
        )

    def _refuse(
        self,
        reason: outcomes.RefusalReason,
        retry_ms: float,
        detail: str = '',
    ) -> outcomes.Refusal:
        self._counters.count('requests_refused', reason=reason.value)
        jitter = 1 + RETRY_JITTER_FRACTION * self._rng.random()
        retry_after_ms = math.ceil(max(MIN_RETRY_AFTER_MS, retry_ms) * jitter)
        return outcomes.Refusal(
            reason,
            detail or REFUSAL_DETAILS[reason],
            retry_after_ms=retry_after_ms,
        )

    async def _sweep_periodically(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_MS / 1000)
            for target in self._schedule.list_targets():
                self._sweep(target)
            self._serve_waiters()
            self._schedule.forget_idle()
            self._report_demand()

    def _report_demand(self) -> None:
        found = self._customers.demand()
        for name in self._customers.forget_idle():
            found.append(limits.Demand(name, 0.0, 0.0))
        for listener in self._demand_listeners:
            for item in found:
                listener(item.customer, item.requests_per_s, item.tokens_per_s)

    def _sweep(self, target: targets.Target) -> None:
        """Refuse the waiting requests that can't start in time."""
        target.capacity.adjust(len(target.queue) > 0, target.hold_ms)
        flows = target.queue.list_backlogged_flows()
        if not flows:
            return
        # All of them are for the same deployment or service.
        request = flows[0].waiters[0].request
        evacuation = self._fleet.find_evacuation(
            request.target, request.is_service
        )
        for flow in flows:
            for own_ahead, waiter in enumerate(list(flow.waiters)):
                if evacuation:
                    refusal = self._refuse_evacuated(evacuation)
                    self._end_wait(target, waiter, refusal)
                else:
                    self._recheck(target, waiter, own_ahead)

    def _recheck(
        self, target: targets.Target, waiter: fairness.Waiter, own_ahead: int
    ) -> None:
        wait_ms = target.estimate_wait_ms(waiter.request, own_ahead)
        # The estimate ignores the progress of the running requests. Since the
        # request was in time when it was queued, one hold time is tolerated.
        excess_ms = max(0.0, wait_ms - target.hold_ms)
        start_ms = clock.now_ms() + excess_ms
        if start_ms + target.first_token_ms > waiter.request.deadline_ms:
            self._refuse_waiter(target, waiter, Reason.DEADLINE, wait_ms)
        elif start_ms > waiter.latest_start_ms:
            self._refuse_waiter(target, waiter, Reason.OVERLOADED, wait_ms)


REFUSAL_DETAILS = {
    Reason.LIMIT_REACHED: "the customer's limit is reached",
    Reason.DEADLINE: 'the deadline cannot be met',
    Reason.OVERLOADED: 'too many requests wait',
    Reason.SHUTTING_DOWN: 'the node is shutting down',
}
