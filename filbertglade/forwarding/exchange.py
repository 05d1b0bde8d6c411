"""Handles one request: routing, attempts, retries, resumption, response."""

import asyncio
import enum
import hashlib
import typing

from tornado import httputil
from tornado import iostream

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import document
from filbertglade.forwarding import admission
from filbertglade.forwarding import body_budget
from filbertglade.forwarding import choice
from filbertglade.forwarding import containment
from filbertglade.forwarding import context
from filbertglade.forwarding import events
from filbertglade.forwarding import heads
from filbertglade.forwarding import server
from filbertglade.forwarding import stall_detection
from filbertglade.forwarding import upstream
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Minimum remaining time before the deadline for sending a request, in ms: no
# endpoint responds faster.
MIN_REMAINING_MS = 30
# Attempts beyond the route's limit, which only counts those that may have run
# the request.
EXTRA_ATTEMPTS = 3
# Retry-After times of refusals, in s. A group is repaired within one to two
# seconds; a slot becomes free within a fraction of a second.
REPAIR_RETRY_AFTER_S = 1.2
OVERLOAD_RETRY_AFTER_S = 1.0
STARTUP_RETRY_AFTER_S = 0.8
# Least Retry-After of requests beyond the limits of all endpoints, in s: the
# leader divides the limits several times a second.
MIN_LIMITED_RETRY_S = 0.3
# Other nodes accept the request immediately.
SHUTDOWN_RETRY_AFTER_S = 0.1
# Another node may have the newer document already; all have it within seconds.
DOCUMENT_RETRY_AFTER_S = 0.5
# Longest wait for a newer document, in ms: the leader's longest interval
# between two frames. A refused caller needs the rest of its time elsewhere.
MAX_DOCUMENT_WAIT_MS = 250
# The same as a fraction of the time until the deadline: the rest is for the
# response, or for another node.
MAX_WAIT_FRACTION = 0.25
# Longest time since the last use of a connection that is reused, in ms. It is
# short for requests that must not run twice: the endpoint may be closing a
# connection that has been idle for longer.
NON_IDEMPOTENT_REUSE_MS = 1500
IDEMPOTENT_REUSE_MS = 60_000
# Digits of the longest number that is read from a header: every time and count
# is shorter, and Python converts no number of more than 4300 digits.
MAX_NUMBER_DIGITS = 15
# Deadline until the route of a request is known, in ms.
DEFAULT_DEADLINE_MS = 60_000


class LookupReason(enum.Enum):
    """Why a request's route or customer isn't known.

    The values are sent to the caller.
    """

    SHUTTING_DOWN = 'shutting down'
    NO_DOCUMENT = 'no document yet'
    NO_ROUTE = 'no such route'
    UNKNOWN_KEY = 'unknown key'
    # The document in force doesn't allow it, and a newer one may.
    NOT_HERE_YET = 'configuration not here yet'


# Status and Retry-After, in s, of the refusal for each reason.
LOOKUP_REFUSALS: dict[enum.Enum, tuple[int, float | None]] = {
    LookupReason.SHUTTING_DOWN: (503, SHUTDOWN_RETRY_AFTER_S),
    LookupReason.NO_DOCUMENT: (503, STARTUP_RETRY_AFTER_S),
    LookupReason.NO_ROUTE: (404, None),
    LookupReason.UNKNOWN_KEY: (401, None),
    LookupReason.NOT_HERE_YET: (503, DOCUMENT_RETRY_AFTER_S),
}


class AttemptOutcome(enum.Enum):
    """How one attempt at one endpoint ended.

    The values are written to the log.
    """

    ANSWERED = 'answered'
    # Nothing was sent.
    UNREACHABLE = 'unreachable'
    # The endpoint reports that it did not run the request.
    NOT_RUN = 'not-run'
    # It ran and failed, and may be retried.
    FAILED = 'failed'
    # It may have run; no part of the response was forwarded.
    BROKEN = 'broken'
    # The response ended early, after its head had been received.
    CUT = 'cut'
    # The replica stalled.
    STALLED = 'stalled'
    TIMED_OUT = 'timed-out'


RETRYABLE = (
    AttemptOutcome.BROKEN,
    AttemptOutcome.CUT,
    AttemptOutcome.STALLED,
    AttemptOutcome.FAILED,
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
        self._request_id = request.headers.get(shared.dialect.request_id, '')
        self._deadline_ms = request.received_ms + DEFAULT_DEADLINE_MS
        self._route: document.Route | None = None
        self._service = ''
        self._model = ''
        self._prompt_tokens = 0
        self._answer_tokens = 0
        self._customer: document.Customer | None = None
        self._tried: list[str] = []
        self._send_count = 0
        # Attempts that ran the request or may have run it. The others were
        # rejected by an endpoint that guarantees it did not run the request.
        self._run_count = 0
        self._splitter = events.EventSplitter()
        self._connection: upstream.Connection | None = None
        self._target: choice.Target | None = None
        self._stalled = False
        # Of the current attempt.
        self._permission = containment.Permission()
        self._has_sent = False
        # Whether the retry after a failover has been taken from the quota.
        self._is_retry_taken = False
        self.suspect_limit_ms = float(stall_detection.DEFAULT_SUSPECT_MS)
        self._first_byte_ms: int | None = None
        # Whether a body that is too long to be kept is being forwarded.
        self._is_passing_body = False
        self._digest = b''
        self._is_caller_retry = False
        self._last_byte_ms = 0
        self._longest_pause_ms = 0

    async def run(self) -> None:
        """Handle the request; stop when the caller disconnects."""
        try:
            await self._handle()
        except asyncio.CancelledError:
            self._count('callers_left')
            self._log(
                'request.left',
                held_ms=clock.now_ms() - self._request.received_ms,
                events=self._splitter.count,
                sends=self._send_count,
            )
            raise

    # Routing

    async def _handle(self) -> None:
        shared = self._context
        shared.leader.requests += 1
        caller_ms = self._read_caller_deadline()
        if caller_ms is not None:
            self._deadline_ms = self._request.received_ms + min(
                DEFAULT_DEADLINE_MS, caller_ms
            )
        route = self._look_up()
        if _depends_on_document(route):
            route = await self._look_up_in_newer(route)
        if isinstance(route, failures.Failure):
            status, retry_s = LOOKUP_REFUSALS[route.reason]
            self._refuse(status, str(route), retry_s)
            return
        if route.gap_objective_ms:
            self.suspect_limit_ms = (
                route.gap_objective_ms * stall_detection.SUSPECT_GAP_FACTOR
            )
        self._read_deadline(route)
        index = shared.view.index
        assert index is not None
        if not self._choose_service(index, route):
            self._refuse(503, 'no such service or model', REPAIR_RETRY_AFTER_S)
            return
        self._digest = self._digest_request()
        shared.retries.record_request(self._service)
        await self._run_attempts(route)

    def _look_up(self) -> document.Route | failures.Failure:
        """Find the request's route and customer in the document in force.

        :returns: the route, or why the request can't be served.
        """
        shared = self._context
        request = self._request
        self._route = self._customer = None
        request.closes_connection = shared.is_stopping
        if shared.is_refusing_requests:
            return failures.Failure(LookupReason.SHUTTING_DOWN)
        index = shared.view.index
        if index is None:
            return failures.Failure(LookupReason.NO_DOCUMENT)
        route = index.find_route(request.hostname, request.path)
        if route is None:
            return failures.Failure(LookupReason.NO_ROUTE)
        self._route = route
        if not self._authenticate(index):
            return failures.Failure(LookupReason.UNKNOWN_KEY)
        return route

    async def _look_up_in_newer(
        self, result: document.Route | failures.Failure
    ) -> document.Route | failures.Failure:
        """Wait for a document that may hold the request's route and key.

        :param result: why the document in force doesn't allow the request.
        :returns: the route; the reason, if the document in force is certainly
            the newest; or that a newer one hasn't come.
        """
        certainty = self._context.certainty
        end_ms = clock.now_ms() + self._limit_wait_ms()
        while _depends_on_document(result):
            doubt = certainty.find_doubt()
            if doubt is None:
                break
            limit_ms = end_ms - clock.now_ms()
            detail = f'{result}; {doubt.value}'
            if not certainty.has_room:
                detail = f'{detail}; too many requests wait'
                limit_ms = 0
            if limit_ms > 0:
                self._count('requests_held')
                self._log(
                    'request.held',
                    reason=detail,
                    limit_ms=limit_ms,
                    **self._describe_document(),
                )
            if limit_ms <= 0 or not await certainty.wait_for_change(limit_ms):
                return failures.Failure(LookupReason.NOT_HERE_YET, detail)
            result = self._look_up()
        return result

    def _limit_wait_ms(self) -> int:
        """Return how long to wait for a document, in ms; 0 for not at all."""
        remaining_ms = self._remaining_ms()
        if self._context.is_stopping or remaining_ms < MIN_REMAINING_MS:
            return 0
        return min(MAX_DOCUMENT_WAIT_MS, int(remaining_ms * MAX_WAIT_FRACTION))

    def _authenticate(self, index: document.RoutingIndex) -> bool:
        """Identify the customer; return whether the request is permitted."""
        assert self._route is not None
        key = self._request.headers.get(self._context.dialect.key, '')
        self._customer = index.find_customer(key) if key else None
        if self._customer is not None or not index.needs_keys:
            return True
        return self._route.public

    def _read_deadline(self, route: document.Route) -> None:
        remaining_ms = route.timeout_ms
        caller_ms = self._read_caller_deadline()
        if caller_ms is not None:
            remaining_ms = min(remaining_ms, caller_ms)
            self._is_caller_retry = self._context.deadlines.is_short(
                route.name, caller_ms
            )
        self._deadline_ms = self._request.received_ms + int(remaining_ms)

    def _read_caller_deadline(self) -> int | None:
        """Return the deadline that the caller sent, in ms; None without."""
        text = self._request.headers.get(self._context.dialect.deadline, '')
        return _parse_number(text)

    def _choose_service(
        self, index: document.RoutingIndex, route: document.Route
    ) -> bool:
        weights = [item.weight for item in route.weights]
        chosen = self._context.rng.choices(route.weights, weights)[0]
        service = index.services.get(chosen.service)
        if service is None:
            return False
        self._service = service.name
        if not service.models:
            return True
        names = [shape.name for shape in service.models]
        model = self._request.headers.get(self._context.dialect.model, '')
        if not model and len(names) == 1:
            model = names[0]
        self._model = model
        dialect = self._context.dialect
        headers = self._request.headers
        counts = headers.get(dialect.token_counts, '')
        prompt, _, max_tokens = counts.partition(',')
        self._prompt_tokens = _parse_count(prompt)
        self._answer_tokens = _parse_count(
            headers.get(dialect.answer_hint, '')
        )
        if self._answer_tokens and _parse_count(max_tokens):
            self._answer_tokens = min(
                self._answer_tokens, _parse_count(max_tokens)
            )
        return model in names

    def _digest_request(self) -> bytes:
        """Return a digest that is equal for retries of the same request."""
        request = self._request
        customer = self._customer.name if self._customer else ''
        digest = hashlib.sha256(
            f'{request.method} {request.hostname} {request.target} '
            f'{customer} '.encode()
        )
        digest.update(request.body)
        return digest.digest()[:16]

    # Attempts

    async def _run_attempts(self, route: document.Route) -> None:
        shared = self._context
        outcome: AttemptOutcome | None = None
        for _ in range(EXTRA_ATTEMPTS + route.max_attempts):
            if self._remaining_ms() < MIN_REMAINING_MS:
                outcome = outcome or AttemptOutcome.TIMED_OUT
                break
            demand = self._build_demand(route)
            target = shared.chooser.choose(demand, self._tried)
            if isinstance(target, failures.Failure):
                self._give_up_without_target(outcome, target)
                return
            if self._send_count and not (
                self._is_retry_taken or self._take_retry()
            ):
                self._give_up(outcome, 'quota of retries spent')
                return
            self._is_retry_taken = False
            permission = await shared.containment.admit(
                self._digest, self._remaining_ms()
            )
            if isinstance(permission, failures.Failure):
                self._give_up_struck(outcome, str(permission))
                return
            self._permission = permission
            if not shared.allowed.may_send(target.key):
                # Another request took what was allowed during the wait.
                shared.containment.end(self._digest, permission, False)
                self._is_retry_taken = self._send_count > 0
                continue
            taken = shared.allowed.take(target.key)
            self._has_sent = False
            try:
                outcome = await self._attempt(target, route, demand)
            finally:
                if not self._has_sent:
                    shared.allowed.give_back(target.key, taken)
                shared.containment.end(
                    self._digest, permission, self._has_sent
                )
            if outcome is AttemptOutcome.ANSWERED:
                return
            self._tried.append(target.load_key)
            if not self._may_try_another(outcome, route):
                break
        self._give_up(outcome, 'tries used up')

    def _give_up_without_target(
        self, outcome: AttemptOutcome | None, failure: failures.Failure
    ) -> None:
        """End a request for which there is no target now."""
        if failure.reason is not choice.NoTargetReason.LIMITED:
            is_overloaded = failure.reason is choice.NoTargetReason.FULL
            self._give_up(outcome, str(failure), is_overloaded)
            return
        limit = self._context.chooser.sum_limits(self._service, self._model)
        retry_s = max(1 / limit if limit else 0.0, MIN_LIMITED_RETRY_S)
        self._give_up(
            outcome, str(failure), retry_s=min(retry_s, OVERLOAD_RETRY_AFTER_S)
        )

    def _give_up_struck(
        self, outcome: AttemptOutcome | None, detail: str
    ) -> None:
        """End a request that may not be sent as endpoints crashed."""
        if self._send_count:
            self._give_up(outcome, detail)
            return
        retry_ms = self._context.containment.find_retry_ms(self._digest)
        self._refuse(503, detail, retry_ms / 1000)

    def _remaining_ms(self) -> int:
        return self._deadline_ms - clock.now_ms()

    def _build_demand(self, route: document.Route) -> admission.Demand:
        """Return what the request demands of a replica now."""
        admission_class = admission.AdmissionClass.FRESH
        waited_ms = clock.now_ms() - self._request.received_ms
        if self._is_caller_retry or waited_ms > route.objective_ms / 2 > 0:
            admission_class = admission.AdmissionClass.LATE
        if self._request.is_response_started:
            admission_class = admission.AdmissionClass.STARTED
        index = self._context.view.index
        service = index.services.get(self._service) if index else None
        return admission.Demand(
            self._service,
            self._model,
            admission_class,
            route.objective_ms,
            self._remaining_ms(),
            self._prompt_tokens,
            self._answer_tokens,
            service.engine if service is not None else None,
        )

    def _take_retry(self) -> bool:
        shared = self._context
        nodes = shared.view.entry_nodes
        allowed = shared.retries.take(self._service, nodes)
        self._log(
            'request.retry',
            allowed=allowed,
            quota_left=shared.retries.count_remaining(self._service, nodes),
            entry_nodes=nodes,
            left_ms=self._remaining_ms(),
        )
        return allowed

    def _may_try_another(
        self, outcome: AttemptOutcome, route: document.Route
    ) -> bool:
        if outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_RUN):
            return True
        if self._run_count >= route.max_attempts or self._is_passing_body:
            return False
        return outcome in RETRYABLE and route.is_idempotent

    def _give_up(
        self,
        outcome: AttemptOutcome | None,
        detail: str,
        is_overloaded: bool = False,
        retry_s: float = REPAIR_RETRY_AFTER_S,
    ) -> None:
        """End a request that no endpoint has completed."""
        if self._request.is_response_started:
            self._log('request.cut', reason=detail, outcome=outcome)
            self._count('requests_cut')
            self._request.abort()
            return
        if not self._run_count and outcome in (
            None,
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.NOT_RUN,
        ):
            if is_overloaded or outcome is AttemptOutcome.NOT_RUN:
                retry_s = OVERLOAD_RETRY_AFTER_S
            self._refuse(503, detail, retry_s)
            return
        # From here on an endpoint may have run the request, so no status may
        # say that it has not.
        status = 504 if outcome is AttemptOutcome.TIMED_OUT else 502
        if outcome is AttemptOutcome.TIMED_OUT and not self._send_count:
            status = 503
        reason = outcome.value if outcome is not None else 'not sent again'
        self._refuse(status, f'{reason}: {detail}')

    # One attempt

    async def _attempt(
        self,
        target: choice.Target,
        route: document.Route,
        demand: admission.Demand,
    ) -> AttemptOutcome:
        """Send the request to one target and forward its response."""
        shared = self._context
        connection = await self._connect(target, route)
        if isinstance(connection, failures.Failure):
            shared.faults.record(target, str(connection))
            if target.group:
                shared.leader.report_suspicion(
                    target.group, target.epoch, str(connection)
                )
            return AttemptOutcome.UNREACHABLE
        self._has_sent = True
        self._send_count += 1
        self._run_count += 1
        self._stalled = False
        self._splitter.discard_partial()
        self._connection = connection
        self._target = target
        load = shared.chooser.count_in_flight(target)
        self._log(
            'request.sent',
            endpoint=target.key,
            group=target.group,
            epoch=target.epoch,
            digest=self._digest.hex(),
            strikes=shared.view.struck.count_strikes(self._digest),
            trial=self._permission.trial,
            load=load,
            slowness=target.slowness,
            standing=demand.admission_class.value,
            expected_ms=round(
                demand.estimate_first_token_ms(load, target.slowness)
            ),
            view_age_ms=shared.view.age_ms(),
            document=shared.view.version,
            reused=connection.is_reused,
            left_ms=self._remaining_ms(),
            resume_after=self._splitter.last_id,
        )
        shared.loads.record_start(target)
        if target.group:
            shared.stall_detector.add_stream(target, self)
        keep = False
        try:
            connection.send(self._build_head(target), self._request.body)
            async with asyncio.timeout(max(0, self._remaining_ms()) / 1000):
                outcome, keep = await self._forward_response(target, route)
        except TimeoutError:
            outcome = AttemptOutcome.TIMED_OUT
        finally:
            if target.group:
                shared.stall_detector.remove_stream(target, self)
            shared.loads.record_end(target)
            self._connection = None
            if keep:
                shared.pool.keep(connection)
            else:
                connection.close()
        if self._stalled and outcome in (
            AttemptOutcome.BROKEN,
            AttemptOutcome.CUT,
        ):
            outcome = AttemptOutcome.STALLED
        if outcome in (AttemptOutcome.STALLED, AttemptOutcome.TIMED_OUT):
            shared.containment.record_silence(
                self._digest, target, self._permission
            )
        if outcome is not AttemptOutcome.ANSWERED:
            self._log('try.failed', endpoint=target.key, outcome=outcome.value)
        return outcome

    async def _connect(
        self, target: choice.Target, route: document.Route
    ) -> upstream.Connection | failures.Failure:
        pool = self._context.pool
        max_idle_ms = (
            IDEMPOTENT_REUSE_MS
            if route.is_idempotent
            else NON_IDEMPOTENT_REUSE_MS
        )
        idle = pool.take_idle(target.key, max_idle_ms)
        if idle is not None:
            return idle
        return await pool.connect(target.key, target.address)

    def fail_over(self) -> None:
        """Leave a stalled replica if the request can be sent to another."""
        route = self._route
        if route is None or not route.is_idempotent:
            return
        if self._run_count >= route.max_attempts or self._connection is None:
            return
        if self._stalled:
            return
        if not (self._has_other_target(route) and self._take_retry()):
            return
        self._is_retry_taken = True
        self._stalled = True
        self._connection.close()

    def _has_other_target(self, route: document.Route) -> bool:
        """Return whether a retry would be sent now."""
        shared = self._context
        assert self._target is not None
        tried = [*self._tried, self._target.load_key]
        target = shared.chooser.choose(self._build_demand(route), tried)
        if isinstance(target, failures.Failure):
            return False
        nodes = shared.view.entry_nodes
        return shared.retries.count_remaining(self._service, nodes) > 0

    def _build_head(self, target: choice.Target) -> bytes:
        customer = self._customer.name if self._customer else ''
        return heads.build_request_head(
            self._request,
            self._context.dialect,
            customer,
            target.endpoint_id,
            max(1, self._remaining_ms()),
            self._splitter.last_id,
        )

    # The response

    async def _forward_response(
        self, target: choice.Target, route: document.Route
    ) -> tuple[AttemptOutcome, bool]:
        """Forward a response.

        :returns: the outcome, and whether the connection may be reused.
        """
        shared, connection = self._context, self._connection
        assert connection is not None
        head = await connection.read_head(
            shared.dialect.request_id, self._request_id, self._request.method
        )
        if isinstance(head, failures.Failure):
            await self._record_broken(target, connection, str(head))
            return AttemptOutcome.BROKEN, False
        shared.allowed.record_answer(
            target.key, head.headers.get(shared.dialect.limit)
        )
        if self._is_not_run(head):
            await connection.skip_body(head)
            self._record_rejection(target, head)
            self._run_count -= 1
            return AttemptOutcome.NOT_RUN, connection.is_reusable(head)
        shared.faults.clear(target)
        if head.status >= 500 and self._may_try_another(
            AttemptOutcome.FAILED, route
        ):
            if shared.retries.count_remaining(
                self._service, shared.view.entry_nodes
            ):
                if await connection.skip_body(head):
                    shared.containment.record_served(
                        self._digest, self._permission
                    )
                return AttemptOutcome.FAILED, connection.is_reusable(head)
        if self._request.is_response_started and not head.is_success:
            # The head has been forwarded already, so a resumed stream can't
            # end with an error response.
            return AttemptOutcome.CUT, False
        try:
            if route.kind is document.RouteKind.STREAMING and head.is_success:
                await self._forward_stream(target, connection, head)
            else:
                await self._forward_body(connection, head)
        except upstream.IncompleteResponse as error:
            await self._record_broken(target, connection, str(error))
            return AttemptOutcome.CUT, False
        except events.EventTooLong as error:
            self._log_broken(target, connection, str(error))
            return AttemptOutcome.CUT, False
        self._record_response(target, connection, head)
        return AttemptOutcome.ANSWERED, connection.is_reusable(head)

    def _is_not_run(self, head: upstream.ResponseHead) -> bool:
        if head.status == 421:
            return True
        return self._context.dialect.not_run in head.headers

    def _record_rejection(
        self, target: choice.Target, head: upstream.ResponseHead
    ) -> None:
        shared = self._context
        faulty = head.headers.get(shared.dialect.faulty_endpoint, '')
        load = head.headers.get(shared.dialect.load, '')
        self._log(
            'request.rejected',
            endpoint=target.key,
            status=head.status,
            faulty=faulty,
            load=load,
            limit=head.headers.get(shared.dialect.limit),
        )
        if head.status == 421 or faulty:
            shared.faults.record(target, f'{head.status} {faulty}')
            if target.group:
                shared.leader.report_suspicion(
                    target.group,
                    target.epoch,
                    f'answered {head.status}',
                )

    async def _record_broken(
        self,
        target: choice.Target,
        connection: upstream.Connection,
        detail: str,
    ) -> None:
        """Record that a connection broke while the request was in flight."""
        if self._stalled:
            # It was this node that closed the connection.
            return
        shared = self._context
        self._log_broken(target, connection, detail)
        shared.pool.drop(target.key)
        was_idle = connection.is_reused and self._first_byte_ms is None
        if target.group and not was_idle:
            shared.faults.record(target, detail)
            shared.leader.report_suspicion(target.group, target.epoch, detail)
        await shared.containment.record_broken(
            self._digest, target, self._permission
        )

    def _log_broken(
        self,
        target: choice.Target,
        connection: upstream.Connection,
        detail: str,
    ) -> None:
        self._log(
            'answer.broken',
            endpoint=target.key,
            reason=detail,
            rest_bytes=self._splitter.partial_bytes,
            **connection.describe_end(),
        )

    async def _forward_body(
        self, connection: upstream.Connection, head: upstream.ResponseHead
    ) -> None:
        """Forward a response once it is complete, or too long to be kept."""
        held = self._context.bodies.begin()
        try:
            async for chunk in connection.read_body(head):
                if self._is_passing_body:
                    await self._write(chunk)
                elif not held.add(chunk):
                    await self._begin_passing(head, held)
            if not self._is_passing_body:
                self._first_byte_ms = clock.now_ms()
                body = held.take()
                headers = heads.strip_headers(head.headers)
                if head.length is None or self._request.method != 'HEAD':
                    headers['Content-Length'] = str(len(body))
                await self._begin_response(head, headers)
                await self._write(body)
        finally:
            held.discard()
        self._request.finish()

    async def _begin_passing(
        self, head: upstream.ResponseHead, held: body_budget.HeldBody
    ) -> None:
        """Begin to forward a long body as it arrives."""
        self._is_passing_body = True
        self._first_byte_ms = clock.now_ms()
        self._log('body.passed_on', length=head.length)
        headers = heads.strip_headers(head.headers)
        if head.length is None:
            headers.pop('Content-Length', None)
        await self._begin_response(head, headers)
        await self._write(held.take())

    async def _forward_stream(
        self,
        target: choice.Target,
        connection: upstream.Connection,
        head: upstream.ResponseHead,
    ) -> None:
        """Forward the complete events of a stream as they arrive."""
        if not self._request.is_response_started:
            headers = heads.strip_headers(head.headers)
            if self._route is not None and self._route.resumable:
                # The stream may be resumed at another endpoint, so its length
                # is not known.
                headers.pop('Content-Length', None)
            await self._begin_response(head, headers)
        held = self._context.bodies.begin()
        try:
            async for chunk in connection.read_body(head):
                self._record_pause()
                self._context.stall_detector.record_event(target, self)
                complete = self._splitter.split(chunk)
                if not held.set_size(self._splitter.partial_bytes):
                    raise events.EventTooLong('too many bytes are kept')
                if complete:
                    await self._write(complete)
        finally:
            held.discard()
        rest = self._splitter.finish()
        if rest:
            await self._write(rest)
        self._request.finish()

    def _record_pause(self) -> None:
        """Record the pause before a part of a stream."""
        now_ms = clock.now_ms()
        if self._first_byte_ms is None:
            self._first_byte_ms = now_ms
        else:
            pause_ms = now_ms - self._last_byte_ms
            self._longest_pause_ms = max(self._longest_pause_ms, pause_ms)
        self._last_byte_ms = now_ms

    async def _begin_response(
        self, head: upstream.ResponseHead, headers: httputil.HTTPHeaders
    ) -> None:
        try:
            await self._request.begin_response(
                head.status, head.reason, headers
            )
        except iostream.StreamClosedError as error:
            raise asyncio.CancelledError from error

    async def _write(self, chunk: bytes) -> None:
        try:
            await self._request.write(chunk)
        except iostream.StreamClosedError as error:
            raise asyncio.CancelledError from error

    # The end

    def _record_response(
        self,
        target: choice.Target,
        connection: upstream.Connection,
        head: upstream.ResponseHead,
    ) -> None:
        shared = self._context
        shared.containment.record_served(self._digest, self._permission)
        now_ms = clock.now_ms()
        first_ms = (self._first_byte_ms or now_ms) - self._request.received_ms
        self._count('requests', outcome=str(head.status))
        route = _get_route_name(self._route)
        shared.counters.record_ms('first_byte', first_ms, route=route)
        shared.counters.record_ms(
            'longest_pause', self._longest_pause_ms, route=route
        )
        shared.counters.record_ms(
            'forwarding', now_ms - self._request.received_ms, route=route
        )
        self._log(
            'request.answered',
            status=head.status,
            endpoint=target.key,
            group=target.group,
            first_byte_ms=first_ms,
            total_ms=now_ms - self._request.received_ms,
            events=self._splitter.count,
            rest_bytes=self._splitter.rest_bytes,
            **connection.describe_end(),
            longest_pause_ms=self._longest_pause_ms,
            sends=self._send_count,
            load=head.headers.get(shared.dialect.load, ''),
            limit=head.headers.get(shared.dialect.limit),
        )

    def _refuse(
        self, status: int, detail: str, retry_s: float | None = None
    ) -> None:
        headers = {}
        if retry_s is not None:
            spread = 0.75 + self._context.rng.random() / 2
            headers['Retry-After'] = f'{retry_s * spread:.2f}'
        self._count('refusals', outcome=str(status))
        self._log(
            'request.refused',
            status=status,
            reason=detail,
            retry_after=headers.get('Retry-After'),
            held_ms=clock.now_ms() - self._request.received_ms,
            left_ms=self._remaining_ms(),
            prompt_tokens=self._prompt_tokens,
            answer_tokens=self._answer_tokens,
            sends=self._send_count,
            tried=self._tried,
            **self._describe_document(),
        )
        self._request.respond(status, detail.encode() + b'\n', headers)

    def _describe_document(self) -> dict[str, int | None]:
        """Return the log fields that show how certain the document is."""
        fleet_view = self._context.view
        return {
            'document': fleet_view.version,
            'announced_document': fleet_view.announced_version,
            'view_age_ms': fleet_view.age_ms(),
        }

    def _count(self, name: str, outcome: str = '') -> None:
        self._context.counters.count(
            name,
            route=_get_route_name(self._route),
            service=self._service,
            customer=self._customer.name if self._customer else '',
            outcome=outcome,
        )

    def _log(self, event: str, **fields: typing.Any) -> None:
        log.request(
            event,
            self._request_id,
            route=self._route.name if self._route else None,
            model=self._model,
            **fields,
        )


def _depends_on_document(result: document.Route | failures.Failure) -> bool:
    """Return whether a newer document may allow a request."""
    return isinstance(result, failures.Failure) and result.reason in (
        LookupReason.NO_ROUTE,
        LookupReason.UNKNOWN_KEY,
    )


def _get_route_name(route: document.Route | None) -> str:
    """Return a route's name for metrics; empty for None."""
    return route.name if route is not None else ''


def _parse_count(text: str) -> int:
    """Return a token count from a header; 0 if it holds none."""
    return _parse_number(text.strip()) or 0


def _parse_number(text: str) -> int | None:
    """Return a number from a header; None if it is none or absurdly long."""
    if len(text) > MAX_NUMBER_DIGITS:
        return None
    return int(text) if text.isascii() and text.isdecimal() else None
