"""Handles one request: routing, attempts, retries, resumption, response."""

import asyncio

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import document
from filbertglade.forwarding import admission
from filbertglade.forwarding import attempt
from filbertglade.forwarding import context
from filbertglade.forwarding import delivery
from filbertglade.forwarding import evidence
from filbertglade.forwarding import faults
from filbertglade.forwarding import lookup
from filbertglade.forwarding import refusals
from filbertglade.forwarding import request_demand
from filbertglade.forwarding import request_record
from filbertglade.forwarding import server
from filbertglade.forwarding import stall_detection
from filbertglade.forwarding import suspicion
from filbertglade.forwarding import targets
from filbertglade.forwarding import upstream

# Attempts beyond the route's limit, which only counts those that may have run
# the request.
EXTRA_ATTEMPTS = 3
# How long a response that has started waits for a target, in ms: within this
# time a lost member is detected and its group repaired. Interval between looks
# for one.
MAX_TARGET_WAIT_MS = faults.FAULT_EXCLUSION_MS
TARGET_POLL_MS = 100


RETRYABLE = (
    attempt.AttemptOutcome.BROKEN,
    attempt.AttemptOutcome.CUT,
    attempt.AttemptOutcome.STALLED,
    attempt.AttemptOutcome.FAILED,
)


class Exchange:
    """One request and its response.

    :param shared: state that all requests share.
    :param request: the request.
    :ivar suspect_limit_ms: silence after which a replica is suspect, in ms.
    """

    def __init__(
        self, shared: context.ForwardingContext, request: server.CallerRequest
    ) -> None:
        self._context = shared
        self._request = request
        self._record = request_record.RequestRecord(
            request.headers.get(shared.dialect.request_id, ''),
            shared.view,
            shared.counters,
        )
        self._delivery = delivery.Delivery(shared, request, self._record, self)
        self._demand = request_demand.RequestDemand(
            shared, request, self._record
        )
        self._tried: list[str] = []
        self._refusals = refusals.Refusals(
            shared, request, self._record, self._demand, self._tried
        )
        self._attempt: attempt.Attempt | None = None
        # Whether the retry after a failover has been taken from the quota.
        self._is_retry_taken = False
        self.suspect_limit_ms = float(stall_detection.DEFAULT_SUSPECT_MS)
        self._suspects = suspicion.Suspects(b'')
        # Ends the exchange at the end of the process.
        self._limit = asyncio.timeout(None)

    async def run(self) -> None:
        """Handle the request; stop when the caller disconnects."""
        try:
            async with self._limit:
                await self._handle()
        except TimeoutError:
            if not self._limit.expired():
                raise
            self._give_up(
                attempt.AttemptOutcome.TIMED_OUT
                if self._record.run_count
                else None,
                'this host ends',
                lookup.SHUTDOWN_RETRY_AFTER_S,
            )
        except asyncio.CancelledError:
            self._record.count('callers_left')
            self._record.write(
                'request.left',
                held_ms=clock.now_ms() - self._request.received_ms,
                events=self._delivery.splitter.count,
                sends=self._record.send_count,
            )
            raise

    def end(self) -> None:
        """Give the request its final response now: the process ends."""
        self._limit.reschedule(asyncio.get_running_loop().time())

    # Routing

    async def _handle(self) -> None:
        shared = self._context
        shared.leader.requests += 1
        self._demand.limit_deadline()
        route = await lookup.RouteLookup(
            shared, self._request, self._record
        ).find()
        if isinstance(route, failures.Failure):
            status, retry_s = lookup.LOOKUP_REFUSALS[route.reason]
            self._refusals.refuse(status, str(route), retry_s)
            return
        if route.gap_objective_ms:
            self.suspect_limit_ms = (
                route.gap_objective_ms * stall_detection.SUSPECT_GAP_FACTOR
            )
        self._demand.read_deadline(route)
        index = shared.view.index
        assert index is not None
        if not self._demand.choose_service(index, route):
            self._refusals.refuse(
                503,
                'no such service or model',
                evidence.REPAIR_RETRY_AFTER_S,
            )
            return
        self._suspects = suspicion.find_suspects(
            self._request,
            shared.dialect,
            self._record.customer_name,
            self._record.service,
        )
        shared.retries.record_request(self._record.service)
        if self._record.model:
            shared.admission.record_arrival(self._demand.build(route))
        await self._run_attempts(route)

    # Attempts

    async def _run_attempts(self, route: document.Route) -> None:
        outcome: attempt.AttemptOutcome | None = None
        for _ in range(EXTRA_ATTEMPTS + route.max_attempts):
            if self._demand.remaining_ms < context.MIN_REMAINING_MS:
                outcome = outcome or attempt.AttemptOutcome.TIMED_OUT
                break
            demand = self._demand.build(route)
            target = self._context.chooser.choose(demand, self._tried)
            if (
                isinstance(target, evidence.NoTarget)
                and self._request.is_response_started
            ):
                target = await self._wait_for_target(route, target)
            if isinstance(target, evidence.NoTarget):
                self._give_up_without_target(outcome, target, demand)
                return
            if self._record.send_count and not (
                self._is_retry_taken or self._take_retry()
            ):
                self._give_up(outcome, 'quota of retries spent')
                return
            self._is_retry_taken = False
            clearance = await self._context.evidence.ask(
                demand,
                target,
                self._suspects,
                self._demand.remaining_ms,
            )
            if isinstance(clearance, failures.Failure):
                if clearance.reason is not evidence.WithdrawnReason.CHANGED:
                    self._give_up_struck(outcome, str(clearance))
                    return
                self._is_retry_taken = self._record.send_count > 0
                continue
            tried = await self._try(clearance, route, demand)
            if tried is attempt.AttemptOutcome.WITHDRAWN:
                self._is_retry_taken = self._record.send_count > 0
                continue
            if tried is attempt.AttemptOutcome.NO_CONNECTION:
                self._give_up(
                    outcome,
                    upstream.UpstreamReason.LIMIT.value,
                    evidence.OVERLOAD_RETRY_AFTER_S,
                )
                return
            outcome = tried
            if outcome is attempt.AttemptOutcome.ANSWERED:
                return
            self._tried.append(target.load_key)
            if not self._may_try_another(outcome, route):
                break
        # Engines whose queues are full run nothing.
        is_full = outcome is attempt.AttemptOutcome.NOT_RUN
        self._give_up(
            outcome,
            'tries used up',
            lacking_room=self._demand.build(route) if is_full else None,
        )

    async def _wait_for_target(
        self, route: document.Route, failure: evidence.NoTarget
    ) -> targets.Target | evidence.NoTarget:
        """Wait until a response that has started can be resumed.

        A response that is cut is lost, with what its caller has of it. Targets
        that were tried may be asked again once nothing speaks against them.

        :param failure: why there is no target now.
        :returns: the target, or why there was none for
            :data:`MAX_TARGET_WAIT_MS` or until the deadline.
        """
        start_ms = clock.now_ms()
        target: targets.Target | evidence.NoTarget = failure
        while isinstance(target, evidence.NoTarget):
            left_ms = min(
                self._demand.remaining_ms - context.MIN_REMAINING_MS,
                start_ms + MAX_TARGET_WAIT_MS - clock.now_ms(),
            )
            if left_ms <= 0:
                break
            await asyncio.sleep(min(TARGET_POLL_MS, left_ms) / 1000)
            target = self._context.chooser.choose(
                self._demand.build(route), ()
            )
        self._record.write(
            'request.waited',
            reason=str(failure),
            waited_ms=clock.now_ms() - start_ms,
            left_ms=self._demand.remaining_ms,
        )
        return target

    async def _try(
        self,
        clearance: evidence.Clearance,
        route: document.Route,
        demand: admission.Demand,
    ) -> attempt.AttemptOutcome:
        """Make one attempt."""
        self._attempt = attempt.Attempt(
            self._context,
            self._request,
            self._record,
            self._delivery,
            clearance,
            self,
        )
        try:
            return await self._attempt.run(
                demand, lambda: self._may_retry_failure(route)
            )
        finally:
            self._attempt = None
            self._context.evidence.end(clearance)

    def _give_up_without_target(
        self,
        outcome: attempt.AttemptOutcome | None,
        failure: evidence.NoTarget,
        demand: admission.Demand,
    ) -> None:
        """End a request for which there is no target now."""
        is_paused = failure.reason is evidence.NoTargetReason.PAUSED
        is_full = failure.reason is evidence.NoTargetReason.FULL
        self._give_up(
            outcome,
            str(failure),
            failure.retry_s,
            is_paused,
            demand if is_full else None,
        )

    def _give_up_struck(
        self, outcome: attempt.AttemptOutcome | None, detail: str
    ) -> None:
        """End a request that may not be sent as endpoints crashed."""
        if self._record.send_count:
            self._give_up(outcome, detail)
            return
        retry_ms = self._context.evidence.suspicion.find_retry_ms(
            self._suspects
        )
        self._refusals.refuse(503, detail, retry_ms / 1000)

    def _take_retry(self) -> bool:
        shared = self._context
        nodes = shared.view.entry_nodes
        allowed = shared.retries.take(self._record.service, nodes)
        self._record.write(
            'request.retry',
            allowed=allowed,
            quota_left=shared.retries.count_remaining(
                self._record.service, nodes
            ),
            entry_nodes=nodes,
            left_ms=self._demand.remaining_ms,
        )
        return allowed

    def _may_try_another(
        self, outcome: attempt.AttemptOutcome, route: document.Route
    ) -> bool:
        if outcome in (
            attempt.AttemptOutcome.UNREACHABLE,
            attempt.AttemptOutcome.NOT_RUN,
        ):
            return True
        if (
            self._record.run_count >= route.max_attempts
            or self._delivery.is_passing_body
        ):
            return False
        return outcome in RETRYABLE and route.is_idempotent

    def _give_up(
        self,
        outcome: attempt.AttemptOutcome | None,
        detail: str,
        retry_s: float = evidence.REPAIR_RETRY_AFTER_S,
        is_earliest: bool = False,
        lacking_room: admission.Demand | None = None,
    ) -> None:
        """End a request that no endpoint has completed."""
        if self._request.is_response_started:
            self._record.write('request.cut', reason=detail, outcome=outcome)
            self._record.count('requests_cut')
            self._request.abort()
            return
        if not self._record.run_count and outcome in (
            None,
            attempt.AttemptOutcome.UNREACHABLE,
            attempt.AttemptOutcome.NOT_RUN,
        ):
            if outcome is attempt.AttemptOutcome.NOT_RUN and not is_earliest:
                retry_s = evidence.OVERLOAD_RETRY_AFTER_S
            self._refusals.refuse(
                503, detail, retry_s, is_earliest, lacking_room
            )
            return
        # From here on an endpoint may have run the request, so no status may
        # say that it has not.
        has_timed_out = outcome is attempt.AttemptOutcome.TIMED_OUT
        status = 504 if has_timed_out else 502
        if has_timed_out and not self._record.send_count:
            status = 503
        reason = outcome.value if outcome is not None else 'not sent again'
        self._refusals.refuse(status, f'{reason}: {detail}')

    def fail_over(self) -> None:
        """Leave a stalled replica if the request can be sent to another."""
        route, current = self._record.route, self._attempt
        if route is None or not route.is_idempotent:
            return
        if current is None or not current.may_leave:
            return
        if self._record.run_count >= route.max_attempts:
            return
        if not (self._has_other_target(route, current) and self._take_retry()):
            return
        self._is_retry_taken = True
        current.leave_stalled()

    def _has_other_target(
        self, route: document.Route, current: attempt.Attempt
    ) -> bool:
        """Return whether a retry would be sent now."""
        shared = self._context
        tried = [*self._tried, current.clearance.target.load_key]
        target = shared.chooser.choose(self._demand.build(route), tried)
        if isinstance(target, failures.Failure):
            return False
        nodes = shared.view.entry_nodes
        return shared.retries.count_remaining(self._record.service, nodes) > 0

    def _may_retry_failure(self, route: document.Route) -> bool:
        """Return whether a failure is retried rather than passed on."""
        shared = self._context
        return self._may_try_another(
            attempt.AttemptOutcome.FAILED, route
        ) and bool(
            shared.retries.count_remaining(
                self._record.service, shared.view.entry_nodes
            )
        )
