"""Handles one request: routing, attempts, retries, resumption, response."""

import asyncio
import enum
import hashlib

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import document
from filbertglade.forwarding import admission
from filbertglade.forwarding import choice
from filbertglade.forwarding import containment
from filbertglade.forwarding import context
from filbertglade.forwarding import delivery
from filbertglade.forwarding import events
from filbertglade.forwarding import heads
from filbertglade.forwarding import lookup
from filbertglade.forwarding import request_record
from filbertglade.forwarding import server
from filbertglade.forwarding import stall_detection
from filbertglade.forwarding import upstream

# Attempts beyond the route's limit, which only counts those that may have run
# the request.
EXTRA_ATTEMPTS = 3
# Retry-After times of refusals, in s. A group is repaired within one to two
# seconds; a slot becomes free within a fraction of a second.
REPAIR_RETRY_AFTER_S = 1.2
OVERLOAD_RETRY_AFTER_S = 1.0
# Least Retry-After of requests beyond the limits of all endpoints, in s: the
# leader divides the limits several times a second.
MIN_LIMITED_RETRY_S = 0.3
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
        self._record = request_record.RequestRecord(
            request.headers.get(shared.dialect.request_id, ''),
            shared.view,
            shared.counters,
        )
        self._delivery = delivery.Delivery(shared, request, self._record, self)
        self._record.deadline_ms = request.received_ms + DEFAULT_DEADLINE_MS
        self._prompt_tokens = 0
        self._answer_tokens = 0
        self._tried: list[str] = []
        self._send_count = 0
        # Attempts that ran the request or may have run it. The others were
        # rejected by an endpoint that guarantees it did not run the request.
        self._run_count = 0
        self._connection: upstream.Connection | None = None
        self._target: choice.Target | None = None
        self._stalled = False
        # Of the current attempt.
        self._permission = containment.Permission()
        self._has_sent = False
        # Whether the retry after a failover has been taken from the quota.
        self._is_retry_taken = False
        self.suspect_limit_ms = float(stall_detection.DEFAULT_SUSPECT_MS)
        self._digest = b''
        self._is_caller_retry = False

    async def run(self) -> None:
        """Handle the request; stop when the caller disconnects."""
        try:
            await self._handle()
        except asyncio.CancelledError:
            self._record.count('callers_left')
            self._record.write(
                'request.left',
                held_ms=clock.now_ms() - self._request.received_ms,
                events=self._delivery.splitter.count,
                sends=self._send_count,
            )
            raise

    # Routing

    async def _handle(self) -> None:
        shared = self._context
        shared.leader.requests += 1
        caller_ms = self._read_caller_deadline()
        if caller_ms is not None:
            self._record.deadline_ms = self._request.received_ms + min(
                DEFAULT_DEADLINE_MS, caller_ms
            )
        route = await lookup.RouteLookup(
            shared, self._request, self._record
        ).find()
        if isinstance(route, failures.Failure):
            status, retry_s = lookup.LOOKUP_REFUSALS[route.reason]
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
        shared.retries.record_request(self._record.service)
        await self._run_attempts(route)

    def _read_deadline(self, route: document.Route) -> None:
        remaining_ms = route.timeout_ms
        caller_ms = self._read_caller_deadline()
        if caller_ms is not None:
            remaining_ms = min(remaining_ms, caller_ms)
            self._is_caller_retry = self._context.deadlines.is_short(
                route.name, caller_ms
            )
        self._record.deadline_ms = self._request.received_ms + int(
            remaining_ms
        )

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
        self._record.service = service.name
        if not service.models:
            return True
        names = [shape.name for shape in service.models]
        model = self._request.headers.get(self._context.dialect.model, '')
        if not model and len(names) == 1:
            model = names[0]
        self._record.model = model
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
        customer = self._record.customer_name
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
            if self._remaining_ms() < context.MIN_REMAINING_MS:
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
        limit = self._context.chooser.sum_limits(
            self._record.service, self._record.model
        )
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
        return self._record.deadline_ms - clock.now_ms()

    def _build_demand(self, route: document.Route) -> admission.Demand:
        """Return what the request demands of a replica now."""
        admission_class = admission.AdmissionClass.FRESH
        waited_ms = clock.now_ms() - self._request.received_ms
        if self._is_caller_retry or waited_ms > route.objective_ms / 2 > 0:
            admission_class = admission.AdmissionClass.LATE
        if self._request.is_response_started:
            admission_class = admission.AdmissionClass.STARTED
        index = self._context.view.index
        service = index.services.get(self._record.service) if index else None
        return admission.Demand(
            self._record.service,
            self._record.model,
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
        allowed = shared.retries.take(self._record.service, nodes)
        self._record.write(
            'request.retry',
            allowed=allowed,
            quota_left=shared.retries.count_remaining(
                self._record.service, nodes
            ),
            entry_nodes=nodes,
            left_ms=self._remaining_ms(),
        )
        return allowed

    def _may_try_another(
        self, outcome: AttemptOutcome, route: document.Route
    ) -> bool:
        if outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_RUN):
            return True
        if (
            self._run_count >= route.max_attempts
            or self._delivery.is_passing_body
        ):
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
            self._record.write('request.cut', reason=detail, outcome=outcome)
            self._record.count('requests_cut')
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
        self._delivery.splitter.discard_partial()
        self._connection = connection
        self._target = target
        load = shared.chooser.count_in_flight(target)
        self._record.write(
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
            resume_after=self._delivery.splitter.last_id,
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
            self._record.write(
                'try.failed', endpoint=target.key, outcome=outcome.value
            )
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
        route = self._record.route
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
        return shared.retries.count_remaining(self._record.service, nodes) > 0

    def _build_head(self, target: choice.Target) -> bytes:
        customer = self._record.customer_name
        return heads.build_request_head(
            self._request,
            self._context.dialect,
            customer,
            target.endpoint_id,
            max(1, self._remaining_ms()),
            self._delivery.splitter.last_id,
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
            shared.dialect.request_id,
            self._record.request_id,
            self._request.method,
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
                self._record.service, shared.view.entry_nodes
            ):
                if await connection.skip_body(head):
                    shared.containment.record_served(
                        self._digest, self._permission
                    )
                else:
                    await shared.containment.record_broken(
                        self._digest, target, self._permission
                    )
                return AttemptOutcome.FAILED, connection.is_reusable(head)
        if self._request.is_response_started and not head.is_success:
            # The head has been forwarded already, so a resumed stream can't
            # end with an error response.
            return AttemptOutcome.CUT, False
        try:
            await self._delivery.forward(target, connection, head)
        except upstream.IncompleteResponse as error:
            await self._record_broken(target, connection, str(error))
            return AttemptOutcome.CUT, False
        except (events.EventTooLong, upstream.UnstatedEnd) as error:
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
        self._record.write(
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
        was_idle = (
            connection.is_reused and self._delivery.first_byte_ms is None
        )
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
        self._record.write(
            'answer.broken',
            endpoint=target.key,
            reason=detail,
            rest_bytes=self._delivery.splitter.partial_bytes,
            **connection.describe_end(),
        )

    # The end

    def _record_response(
        self,
        target: choice.Target,
        connection: upstream.Connection,
        head: upstream.ResponseHead,
    ) -> None:
        shared = self._context
        if self._delivery.is_survival_known:
            shared.containment.record_served(self._digest, self._permission)
        now_ms = clock.now_ms()
        first_ms = (
            self._delivery.first_byte_ms or now_ms
        ) - self._request.received_ms
        self._record.count('requests', outcome=str(head.status))
        route = self._record.route_name
        shared.counters.record_ms('first_byte', first_ms, route=route)
        shared.counters.record_ms(
            'longest_pause', self._delivery.longest_pause_ms, route=route
        )
        shared.counters.record_ms(
            'forwarding', now_ms - self._request.received_ms, route=route
        )
        self._record.write(
            'request.answered',
            status=head.status,
            endpoint=target.key,
            group=target.group,
            first_byte_ms=first_ms,
            total_ms=now_ms - self._request.received_ms,
            events=self._delivery.splitter.count,
            rest_bytes=self._delivery.splitter.rest_bytes,
            **connection.describe_end(),
            longest_pause_ms=self._delivery.longest_pause_ms,
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
        self._record.count('refusals', outcome=str(status))
        self._record.write(
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
            **self._record.describe_document(),
        )
        self._request.respond(status, detail.encode() + b'\n', headers)


def _parse_count(text: str) -> int:
    """Return a token count from a header; 0 if it holds none."""
    return _parse_number(text.strip()) or 0


def _parse_number(text: str) -> int | None:
    """Return a number from a header; None if it is none or absurdly long."""
    if len(text) > MAX_NUMBER_DIGITS:
        return None
    return int(text) if text.isascii() and text.isdecimal() else None
