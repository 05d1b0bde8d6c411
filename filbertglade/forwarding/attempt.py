"""One attempt to have a request run by one endpoint."""

import asyncio
from collections import abc
import enum

from filbertglade import clock
from filbertglade.costs import tracking
from filbertglade import failures
from filbertglade.fleet import document
from filbertglade.fleet import statements
from filbertglade.forwarding import admission
from filbertglade.forwarding import admission_policy
from filbertglade.forwarding import context
from filbertglade.forwarding import delivery
from filbertglade.forwarding import events
from filbertglade.forwarding import evidence
from filbertglade.forwarding import heads
from filbertglade.forwarding import request_record
from filbertglade.forwarding import server
from filbertglade.forwarding import stall_detection
from filbertglade.forwarding import upstream

# Longest time since the last use of a connection that is reused, in ms. It is
# short for requests that must not run twice: the endpoint may be closing a
# connection that has been idle for longer.
NON_IDEMPOTENT_REUSE_MS = 1500
IDEMPOTENT_REUSE_MS = 60_000


class AttemptOutcome(enum.Enum):
    """How one attempt at one endpoint ended.

    The values are written to the log.
    """

    ANSWERED = 'answered'
    # Nothing was sent.
    UNREACHABLE = 'unreachable'
    # Nothing was sent: this process may open no further connection.
    NO_CONNECTION = 'no-connection'
    # Nothing was sent: meanwhile the endpoint said that it wants nothing.
    WITHDRAWN = 'withdrawn'
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


class Attempt:
    """One attempt to have a request run by one endpoint.

    :param shared: state that all requests share.
    :param request: the request.
    :param record: logs the decisions.
    :param passed_on: passes the response on to the caller.
    :param clearance: lets the request be sent to the endpoint.
    :param stream: told if the endpoint's replica stalls.
    :ivar clearance: the same.
    :ivar is_stalled: whether this host closed the connection as the replica
        stalled.
    """

    def __init__(
        self,
        shared: context.ForwardingContext,
        request: server.CallerRequest,
        record: request_record.RequestRecord,
        passed_on: delivery.Delivery,
        clearance: evidence.Clearance,
        stream: stall_detection.Stream,
    ) -> None:
        self._context = shared
        self._request = request
        self._record = record
        self._delivery = passed_on
        self._stream = stream
        self._target = clearance.target
        self._connection: upstream.Connection | None = None
        self._demand: admission.Demand | None = None
        self._admitted = admission_policy.Admitted()
        self._sign = evidence.Sign.NOTHING
        self._detail = ''
        self._is_success = False
        self.clearance = clearance
        self.is_stalled = False

    @property
    def may_leave(self) -> bool:
        """Whether the request runs and has not been left already."""
        return self._connection is not None and not self.is_stalled

    def leave_stalled(self) -> None:
        """Close the connection as the replica stalls."""
        assert self._connection is not None
        self.is_stalled = True
        self._connection.close()

    async def run(
        self,
        demand: admission.Demand,
        may_retry_failure: abc.Callable[[], bool],
    ) -> AttemptOutcome:
        """Send the request and forward its response.

        :param demand: what the request demands.
        :param may_retry_failure: tells whether the request is sent again if
            the response reports a failure.
        :returns: the outcome.
        """
        connection = await self._connect()
        if isinstance(connection, failures.Failure):
            if connection.reason is upstream.UpstreamReason.LIMIT:
                self._log_failed(AttemptOutcome.NO_CONNECTION)
                return AttemptOutcome.NO_CONNECTION
            await self._context.evidence.record(
                self.clearance, evidence.Sign.UNREACHABLE, str(connection)
            )
            return AttemptOutcome.UNREACHABLE
        if not self._context.evidence.begin(self.clearance, self._stream):
            self._context.pool.keep(connection)
            self._log_failed(AttemptOutcome.WITHDRAWN)
            return AttemptOutcome.WITHDRAWN
        self._record.send_count += 1
        self._record.run_count += 1
        self._delivery.splitter.discard_partial()
        load = self._context.evidence.loads.count_in_flight(self._target) - 1
        if self._target.group:
            self._demand = demand
            self._admitted = self._context.admission.admit(
                demand, self._target, load
            )
            self._delivery.first_byte_listener = self._record_first_byte
        self._log_sent(connection, demand, load)
        tracked = self._track(demand)
        outcome = AttemptOutcome.BROKEN
        try:
            outcome = await self._exchange(connection, may_retry_failure)
        finally:
            if tracked is not None:
                tracked.end(
                    outcome is AttemptOutcome.ANSWERED and self._is_success
                )
        await self._context.evidence.record(
            self.clearance, self._sign, self._detail
        )
        if outcome is not AttemptOutcome.ANSWERED:
            self._log_failed(outcome)
        return outcome

    def _track(
        self, demand: admission.Demand
    ) -> tracking.TrackedRequest | None:
        """Track the request's cost; None if it isn't known."""
        shared = self._context
        if shared.costs is None:
            return None
        load = shared.evidence.loads.count_in_flight(self._target) - 1
        splitter = self._delivery.splitter
        return shared.costs.start(
            self._target, demand, load, lambda: splitter.count
        )

    def _record_first_byte(self, now_ms: int) -> None:
        if self._demand is not None:
            self._context.admission.record_first_byte(
                self._demand,
                self._admitted,
                now_ms - self._request.received_ms,
            )

    async def _connect(self) -> upstream.Connection | failures.Failure:
        pool, target = self._context.pool, self._target
        max_idle_ms = (
            IDEMPOTENT_REUSE_MS
            if self._get_route().is_idempotent
            else NON_IDEMPOTENT_REUSE_MS
        )
        idle = pool.take_idle(target.key, max_idle_ms)
        if idle is not None:
            return idle
        return await pool.connect(target.key, target.address)

    def _get_route(self) -> document.Route:
        route = self._record.route
        assert route is not None
        return route

    def _remaining_ms(self) -> int:
        return self._record.deadline_ms - clock.now_ms()

    def _log_sent(
        self,
        connection: upstream.Connection,
        demand: admission.Demand,
        load: int,
    ) -> None:
        shared, target = self._context, self._target
        if 'late_reason' in self._admitted.fields:
            self._record.count('requests_admitted_late')
        suspects = self.clearance.suspects
        struck = shared.view.struck
        self._record.write(
            'request.sent',
            endpoint=target.key,
            group=target.group,
            epoch=target.epoch,
            send=self._record.send_count,
            digest=suspects.request.hex(),
            strikes=struck.count_strikes(suspects.request),
            struck_parts={
                part.hex(): struck.count_strikes(part)
                for part in suspects.parts
                if struck.find(part) is not None
            },
            trials=self.clearance.permissions.trials,
            last_resort=self.clearance.is_last_resort,
            load=load,
            slowness=target.slowness,
            standing=demand.admission_class.value,
            expected_ms=round(
                demand.estimate_first_token_ms(load, target.slowness)
            ),
            **tracking.describe(shared.costs, target, demand),
            view_age_ms=shared.view.age_ms(),
            document=shared.view.version,
            reused=connection.is_reused,
            left_ms=self._remaining_ms(),
            resume_after=self._delivery.splitter.last_id,
            **self._admitted.fields,
        )

    async def _exchange(
        self,
        connection: upstream.Connection,
        may_retry_failure: abc.Callable[[], bool],
    ) -> AttemptOutcome:
        """Send the request on a connection and forward the response."""
        keep = False
        self._connection = connection
        try:
            connection.send(self._build_head(), self._request.body)
            async with asyncio.timeout(max(0, self._remaining_ms()) / 1000):
                outcome, keep = await self._forward_response(
                    connection, may_retry_failure
                )
        except TimeoutError:
            outcome = AttemptOutcome.TIMED_OUT
        finally:
            self._connection = None
            if keep:
                self._context.pool.keep(connection)
            else:
                connection.close()
        if self.is_stalled and outcome in (
            AttemptOutcome.BROKEN,
            AttemptOutcome.CUT,
        ):
            outcome = AttemptOutcome.STALLED
        if outcome in (AttemptOutcome.STALLED, AttemptOutcome.TIMED_OUT):
            self._sign = evidence.Sign.SILENT
        return outcome

    def _build_head(self) -> bytes:
        return heads.build_request_head(
            self._request,
            self._context.dialect,
            self._record.customer_name,
            self._target.endpoint_id,
            max(1, self._remaining_ms()),
            self._delivery.splitter.last_id,
            self._admitted.engine_priority,
        )

    async def _forward_response(
        self,
        connection: upstream.Connection,
        may_retry_failure: abc.Callable[[], bool],
    ) -> tuple[AttemptOutcome, bool]:
        """Forward a response.

        :returns: the outcome, and whether the connection may be reused.
        """
        head = await connection.read_head(
            self._context.dialect.request_id,
            self._record.request_id,
            self._request.method,
        )
        if isinstance(head, failures.Failure):
            self._note_broken(connection, str(head))
            return AttemptOutcome.BROKEN, False
        self._context.evidence.read_head(self.clearance, head)
        if self._context.evidence.is_not_run(head):
            await connection.skip_body(head)
            self._log_rejection(head)
            self._record.run_count -= 1
            return AttemptOutcome.NOT_RUN, connection.is_reusable(head)
        if head.status >= 500 and may_retry_failure():
            is_complete = await connection.skip_body(head)
            self._sign = evidence.Sign.BROKEN_FAILURE
            if is_complete:
                self._sign = evidence.Sign.SURVIVED
            return AttemptOutcome.FAILED, connection.is_reusable(head)
        if (
            self._request.is_response_started
            and not self._delivery.is_continuation(head)
        ):
            # The head has been forwarded already, so a resumed stream can't
            # end with an error response.
            self._log_broken(connection, 'another kind of response')
            return AttemptOutcome.CUT, False
        try:
            await self._delivery.forward(self._target, connection, head)
        except upstream.IncompleteResponse as error:
            self._note_broken(connection, str(error))
            return AttemptOutcome.CUT, False
        except (events.EventTooLong, upstream.UnstatedEnd) as error:
            self._log_broken(connection, str(error))
            return AttemptOutcome.CUT, False
        self._is_success = head.is_success
        if head.status >= 500 and not head.has_stated_end:
            # It may have crashed while it wrote this, or be about to.
            self._sign = evidence.Sign.BROKEN_FAILURE
        elif self._delivery.is_survival_known:
            self._sign = evidence.Sign.SURVIVED
            if head.is_success:
                self._sign = evidence.Sign.SERVED
        self._log_response(connection, head)
        return AttemptOutcome.ANSWERED, connection.is_reusable(head)

    def _note_broken(
        self, connection: upstream.Connection, detail: str
    ) -> None:
        """Note that a connection broke while the request was in flight."""
        if self.is_stalled:
            # It was this node that closed the connection.
            return
        self._log_broken(connection, detail)
        self._detail = detail
        self._sign = evidence.Sign.BROKEN
        if connection.is_reused and self._delivery.first_byte_ms is None:
            self._sign = evidence.Sign.BROKEN_KEPT

    # The log

    def _log_failed(self, outcome: AttemptOutcome) -> None:
        self._record.write(
            'try.failed', endpoint=self._target.key, outcome=outcome.value
        )

    def _log_rejection(self, head: upstream.ResponseHead) -> None:
        dialect = self._context.dialect
        self._record.write(
            'request.rejected',
            endpoint=self._target.key,
            status=head.status,
            faulty=head.headers.get(dialect.faulty_endpoint, ''),
            load=head.headers.get(dialect.load, ''),
            limit=head.headers.get(dialect.limit),
            leaving=head.headers.get(dialect.leaving),
            retry_after=head.headers.get(statements.RETRY_AFTER_HEADER),
        )

    def _log_broken(
        self, connection: upstream.Connection, detail: str
    ) -> None:
        self._record.write(
            'answer.broken',
            endpoint=self._target.key,
            reason=detail,
            rest_bytes=self._delivery.splitter.partial_bytes,
            **connection.describe_end(),
        )

    def _log_response(
        self, connection: upstream.Connection, head: upstream.ResponseHead
    ) -> None:
        shared = self._context
        now_ms = clock.now_ms()
        first_ms = (
            self._delivery.first_byte_ms or now_ms
        ) - self._request.received_ms
        if self._demand is not None and head.is_success:
            shared.admission.record_end(
                self._demand, now_ms - self._request.received_ms - first_ms
            )
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
            endpoint=self._target.key,
            group=self._target.group,
            first_byte_ms=first_ms,
            total_ms=now_ms - self._request.received_ms,
            events=self._delivery.splitter.count,
            rest_bytes=self._delivery.splitter.rest_bytes,
            **connection.describe_end(),
            longest_pause_ms=self._delivery.longest_pause_ms,
            sends=self._record.send_count,
            load=head.headers.get(shared.dialect.load, ''),
            limit=head.headers.get(shared.dialect.limit),
            leaving=head.headers.get(shared.dialect.leaving),
        )
