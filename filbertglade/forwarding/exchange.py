"""The life of one request: routed, sent, resent, resumed, answered."""

import asyncio
import enum
import hashlib
import typing

from tornado import httputil
from tornado import iostream

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import document
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.forwarding import choice
from filbertglade.forwarding import context
from filbertglade.forwarding import events
from filbertglade.forwarding import heads
from filbertglade.forwarding import server
from filbertglade.forwarding import stall_detection
from filbertglade.forwarding import upstream
from filbertglade.observability import logs

log = logs.get_log(__name__)

# What is left of a deadline below which nothing is sent, in ms: no endpoint
# answers within it.
LEAST_LEFT_MS = 30
# Connections that are tried for one request at most.
CONNECT_TRIES = 3
# Time after which a caller should come back, in s: a group is mended in one
# to two seconds, and a place is free again within a fraction of one.
MENDING_RETRY_S = 1.2
BUSY_RETRY_S = 1.0
STARTING_RETRY_S = 0.8
# Other nodes take the request at once.
ELSEWHERE_RETRY_S = 0.1
# A request that may run once only goes on a connection used this lately.
SAFE_REUSE_MS = 1500
REUSE_MS = 60_000
# Longest deadline where the caller names none, in ms.
DEADLINE_MS = 60_000


class Outcome(enum.Enum):
    """How one try at one endpoint ended."""

    ANSWERED = 'answered'
    # Nothing was sent.
    UNREACHABLE = 'unreachable'
    # The endpoint says that it did not run the request.
    NOT_RUN = 'not-run'
    # It ran and failed, and may be sent again.
    FAILED = 'failed'
    # It may have run; nothing was passed on.
    BROKEN = 'broken'
    # A part was passed on.
    CUT = 'cut'
    # The replica stands still.
    STALLED = 'stalled'
    TIMED_OUT = 'timed-out'


RETRYABLE = (Outcome.BROKEN, Outcome.CUT, Outcome.STALLED, Outcome.FAILED)


class Exchange:
    """One request and its answer.

    :param shared: what all requests share.
    :param request: the request.
    """

    def __init__(
        self, shared: context.ForwardingContext, request: server.CallerRequest
    ) -> None:
        self._context = shared
        self._request = request
        self._request_id = request.headers.get(shared.dialect.request_id, '')
        self._deadline_ms = request.received_ms + DEADLINE_MS
        self._route: document.Route | None = None
        self._service = ''
        self._model = ''
        self._prompt_tokens = 0
        self._answer_tokens = 0
        self._customer: document.Customer | None = None
        self._tried: list[str] = []
        self._sends = 0
        # Sends that ran, or may have; endpoints promise that others did not.
        self._runs = 0
        self._splitter = events.EventSplitter()
        self._connection: upstream.Connection | None = None
        self._stalled = False
        self.suspect_limit_ms = float(stall_detection.SUSPECT_MS)
        self._first_byte_ms: int | None = None
        self._digest = b''
        self._has_returned = False
        self._last_byte_ms = 0
        self._longest_pause_ms = 0

    async def run(self) -> None:
        """Answer the request; stop once the caller has left."""
        try:
            await self._run()
        except asyncio.CancelledError:
            self._count('callers_left')
            self._log(
                'request.left',
                held_ms=clock.now_ms() - self._request.received_ms,
                events=self._splitter.count,
                sends=self._sends,
            )
            raise

    # Routing

    async def _run(self) -> None:
        shared = self._context
        shared.leader.requests += 1
        request = self._request
        request.closes = shared.is_stopping
        if shared.is_closed:
            self._refuse(503, 'shutting down', ELSEWHERE_RETRY_S)
            return
        index = shared.view.index
        if index is None:
            self._refuse(503, 'no document yet', STARTING_RETRY_S)
            return
        route = index.find_route(request.hostname, request.path)
        if route is None:
            self._refuse(404, 'no such route')
            return
        self._route = route
        if route.gap_objective_ms:
            self.suspect_limit_ms = (
                route.gap_objective_ms * stall_detection.SUSPECT_SHARE
            )
        if not self._identify(index):
            self._refuse(401, 'unknown key')
            return
        self._read_deadline(route)
        if not self._choose_service(index, route):
            self._refuse(503, 'no such service or model', MENDING_RETRY_S)
            return
        self._digest = self._digest_request()
        strikes = shared.view.count_strikes(self._digest)
        if strikes >= view.STRIKE_LIMIT:
            self._refuse(503, f'crashed {strikes} endpoints')
            return
        shared.retries.note_request(self._service)
        await self._run_tries(route)

    def _identify(self, index: document.RoutingIndex) -> bool:
        """Find whose request it is; return whether it may go on."""
        assert self._route is not None
        key = self._request.headers.get(self._context.dialect.key, '')
        self._customer = index.find_customer(key) if key else None
        if self._customer is not None or not index.needs_keys:
            return True
        return self._route.public

    def _read_deadline(self, route: document.Route) -> None:
        text = self._request.headers.get(self._context.dialect.deadline, '')
        left_ms = route.timeout_ms
        if text.isascii() and text.isdecimal():
            left_ms = min(left_ms, int(text))
            self._has_returned = self._context.deadlines.is_short(
                route.name, int(text)
            )
        self._deadline_ms = self._request.received_ms + int(left_ms)

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
        prompt, _, most = counts.partition(',')
        self._prompt_tokens = _read_count(prompt)
        self._answer_tokens = _read_count(headers.get(dialect.answer_hint, ''))
        if self._answer_tokens and _read_count(most):
            self._answer_tokens = min(self._answer_tokens, _read_count(most))
        return model in names

    def _digest_request(self) -> bytes:
        """Return what a resend of the request has in common with it."""
        request = self._request
        customer = self._customer.name if self._customer else ''
        digest = hashlib.sha256(
            f'{request.hostname} {request.target} {customer} '.encode()
        )
        digest.update(request.body)
        if not request.body:
            # Equal reads of different callers are not the same request.
            digest.update(self._request_id.encode())
        return digest.digest()[:16]

    # Tries

    async def _run_tries(self, route: document.Route) -> None:
        outcome: Outcome | None = None
        for _ in range(CONNECT_TRIES + route.max_attempts):
            if self._left_ms() < LEAST_LEFT_MS:
                outcome = outcome or Outcome.TIMED_OUT
                break
            demand = self._build_demand(route)
            target = self._context.chooser.choose(demand, self._tried)
            if isinstance(target, failures.Failure):
                is_busy = target.reason is choice.ChoiceReason.FULL
                self._give_up(outcome, str(target), is_busy)
                return
            if self._sends and not self._may_send_again():
                self._give_up(outcome, 'quota of retries spent')
                return
            outcome = await self._try(target, route, demand)
            if outcome is Outcome.ANSWERED:
                return
            self._tried.append(target.load_key)
            if not self._may_go_on(outcome, route):
                break
        self._give_up(outcome, 'tries used up')

    def _left_ms(self) -> int:
        return self._deadline_ms - clock.now_ms()

    def _build_demand(self, route: document.Route) -> admission.Demand:
        """Return what the request needs now."""
        standing = admission.Standing.FRESH
        waited_ms = clock.now_ms() - self._request.received_ms
        if self._has_returned or waited_ms > route.objective_ms / 2 > 0:
            standing = admission.Standing.LATE
        if self._request.is_answered:
            standing = admission.Standing.BEGUN
        index = self._context.view.index
        service = index.services.get(self._service) if index else None
        return admission.Demand(
            self._service,
            self._model,
            standing,
            route.objective_ms,
            self._left_ms(),
            self._prompt_tokens,
            self._answer_tokens,
            service.engine if service is not None else None,
        )

    def _may_send_again(self) -> bool:
        shared = self._context
        nodes = shared.view.entry_nodes
        allowed = shared.retries.take(self._service, nodes)
        self._log(
            'request.retry',
            allowed=allowed,
            quota_left=shared.retries.count_left(self._service, nodes),
            entry_nodes=nodes,
            left_ms=self._left_ms(),
        )
        return allowed

    def _may_go_on(self, outcome: Outcome, route: document.Route) -> bool:
        if outcome in (Outcome.UNREACHABLE, Outcome.NOT_RUN):
            return True
        if self._runs >= route.max_attempts:
            return False
        return outcome in RETRYABLE and route.is_idempotent

    def _give_up(
        self, outcome: Outcome | None, detail: str, is_busy: bool = False
    ) -> None:
        """Give the final answer of a request that no endpoint answered."""
        if self._request.is_answered:
            self._log('request.cut', reason=detail, outcome=outcome)
            self._count('requests_cut')
            self._request.abort()
            return
        if outcome in (None, Outcome.UNREACHABLE, Outcome.NOT_RUN):
            is_busy |= outcome is Outcome.NOT_RUN
            retry_s = BUSY_RETRY_S if is_busy else MENDING_RETRY_S
            self._refuse(503, detail, retry_s)
            return
        status = 504 if outcome is Outcome.TIMED_OUT else 502
        if outcome is Outcome.TIMED_OUT and not self._sends:
            status = 503
        self._refuse(status, f'{outcome.value}: {detail}')

    # One try

    async def _try(
        self,
        target: choice.Target,
        route: document.Route,
        demand: admission.Demand,
    ) -> Outcome:
        """Send the request to one target and pass its answer on."""
        shared = self._context
        connection = await self._connect(target, route)
        if isinstance(connection, failures.Failure):
            shared.faults.note(target, str(connection))
            if target.group:
                shared.leader.report_suspicion(
                    target.group, target.epoch, str(connection)
                )
            return Outcome.UNREACHABLE
        self._sends += 1
        self._runs += 1
        self._stalled = False
        self._splitter.drop_rest()
        self._connection = connection
        load = shared.chooser.measure_load(target)
        self._log(
            'request.sent',
            endpoint=target.key,
            group=target.group,
            epoch=target.epoch,
            load=load,
            slowness=target.slowness,
            standing=demand.standing.value,
            expected_ms=round(demand.expect_first_ms(load, target.slowness)),
            view_age_ms=shared.view.age_ms(),
            document=shared.view.version,
            reused=connection.is_reused,
            left_ms=self._left_ms(),
            resume_after=self._splitter.last_id,
        )
        shared.loads.begin(target)
        if target.group:
            shared.progress.begin(target, self)
        keep = False
        try:
            connection.send(self._build_head(target), self._request.body)
            async with asyncio.timeout(max(0, self._left_ms()) / 1000):
                outcome, keep = await self._pass_answer(target, route)
        except TimeoutError:
            outcome = Outcome.TIMED_OUT
        finally:
            if target.group:
                shared.progress.end(target, self)
            shared.loads.end(target)
            self._connection = None
            if keep:
                shared.pool.keep(connection)
            else:
                connection.close()
        if self._stalled and outcome in (Outcome.BROKEN, Outcome.CUT):
            outcome = Outcome.STALLED
        if outcome is not Outcome.ANSWERED:
            self._log('try.failed', endpoint=target.key, outcome=outcome.value)
        return outcome

    async def _connect(
        self, target: choice.Target, route: document.Route
    ) -> upstream.Connection | failures.Failure:
        pool = self._context.pool
        freshest_ms = REUSE_MS if route.is_idempotent else SAFE_REUSE_MS
        idle = pool.take_idle(target.key, freshest_ms)
        if idle is not None:
            return idle
        return await pool.connect(target.key, target.address)

    def stall(self) -> None:
        """Leave a replica that stands still, if the request may be resent."""
        route = self._route
        if route is None or not route.is_idempotent:
            return
        if self._runs >= route.max_attempts or self._connection is None:
            return
        self._stalled = True
        self._connection.close()

    def _build_head(self, target: choice.Target) -> bytes:
        customer = self._customer.name if self._customer else ''
        return heads.build_request_head(
            self._request,
            self._context.dialect,
            customer,
            target.endpoint_id,
            max(1, self._left_ms()),
            self._splitter.last_id,
        )

    # The answer

    async def _pass_answer(
        self, target: choice.Target, route: document.Route
    ) -> tuple[Outcome, bool]:
        """Pass an answer on; return whether the connection may be kept."""
        shared, connection = self._context, self._connection
        assert connection is not None
        head = await connection.read_head(
            shared.dialect.request_id, self._request_id, self._request.method
        )
        if isinstance(head, failures.Failure):
            self._note_crash(target, connection, str(head))
            return Outcome.BROKEN, False
        if self._says_not_run(head):
            await _skip_body(connection, head)
            self._note_rejection(target, head)
            self._runs -= 1
            return Outcome.NOT_RUN, connection.may_be_kept(head)
        shared.faults.clear(target)
        if head.status >= 500 and self._may_go_on(Outcome.FAILED, route):
            if shared.retries.count_left(
                self._service, shared.view.entry_nodes
            ):
                await _skip_body(connection, head)
                return Outcome.FAILED, connection.may_be_kept(head)
        if self._request.is_answered and not head.is_success:
            # A resumed stream can't turn into another answer.
            return Outcome.CUT, False
        try:
            if route.kind is document.RouteKind.STREAMING and head.is_success:
                await self._pass_stream(target, connection, head)
            else:
                await self._pass_body(connection, head)
        except upstream.AnswerBroken as error:
            self._note_crash(target, connection, str(error))
            return Outcome.CUT, False
        self._note_answered(target, head)
        return Outcome.ANSWERED, connection.may_be_kept(head)

    def _says_not_run(self, head: upstream.AnswerHead) -> bool:
        if head.status == 421:
            return True
        return self._context.dialect.not_run in head.headers

    def _note_rejection(
        self, target: choice.Target, head: upstream.AnswerHead
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
        )
        if head.status == 421 or faulty:
            shared.faults.note(target, f'{head.status} {faulty}')
            if target.group:
                shared.leader.report_suspicion(
                    target.group, target.epoch, f'answered {head.status}'
                )

    def _note_crash(
        self,
        target: choice.Target,
        connection: upstream.Connection,
        detail: str,
    ) -> None:
        """Note that a connection broke under the request."""
        if self._stalled:
            return
        shared = self._context
        self._log('answer.broken', endpoint=target.key, reason=detail)
        shared.pool.drop(target.key)
        if connection.is_reused and self._first_byte_ms is None:
            # The endpoint may just have closed an idle connection.
            return
        if target.group:
            shared.faults.note(target, detail)
            shared.leader.report_suspicion(target.group, target.epoch, detail)
        shared.leader.report_strike(self._digest, target.key)

    async def _pass_body(
        self, connection: upstream.Connection, head: upstream.AnswerHead
    ) -> None:
        """Pass a plain answer on, once it is whole if it may be resent."""
        chunks = [chunk async for chunk in connection.read_body(head)]
        self._first_byte_ms = clock.now_ms()
        body = b''.join(chunks)
        headers = heads.strip_headers(head.headers)
        if head.length is None or self._request.method != 'HEAD':
            headers['Content-Length'] = str(len(body))
        await self._begin(head, headers)
        await self._write(body)
        self._request.finish()

    async def _pass_stream(
        self,
        target: choice.Target,
        connection: upstream.Connection,
        head: upstream.AnswerHead,
    ) -> None:
        """Pass a stream's events on as they arrive, each of them whole."""
        if not self._request.is_answered:
            headers = heads.strip_headers(head.headers)
            if self._route is not None and self._route.resumable:
                # Another endpoint may go on with it.
                headers.pop('Content-Length', None)
            await self._begin(head, headers)
        async for chunk in connection.read_body(head):
            self._note_pause()
            self._context.progress.note_event(target, self)
            whole = self._splitter.split(chunk)
            if whole:
                await self._write(whole)
        rest = self._splitter.finish()
        if rest:
            await self._write(rest)
        self._request.finish()

    def _note_pause(self) -> None:
        """Note the pause before a part of a stream."""
        now_ms = clock.now_ms()
        if self._first_byte_ms is None:
            self._first_byte_ms = now_ms
        else:
            pause_ms = now_ms - self._last_byte_ms
            self._longest_pause_ms = max(self._longest_pause_ms, pause_ms)
        self._last_byte_ms = now_ms

    async def _begin(
        self, head: upstream.AnswerHead, headers: httputil.HTTPHeaders
    ) -> None:
        try:
            await self._request.begin_answer(head.status, head.reason, headers)
        except iostream.StreamClosedError as error:
            raise asyncio.CancelledError from error

    async def _write(self, chunk: bytes) -> None:
        try:
            await self._request.write(chunk)
        except iostream.StreamClosedError as error:
            raise asyncio.CancelledError from error

    # Ends

    def _note_answered(
        self, target: choice.Target, head: upstream.AnswerHead
    ) -> None:
        shared = self._context
        now_ms = clock.now_ms()
        first_ms = (self._first_byte_ms or now_ms) - self._request.received_ms
        self._count('requests', outcome=str(head.status))
        route = _name_route(self._route)
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
            longest_pause_ms=self._longest_pause_ms,
            sends=self._sends,
            load=head.headers.get(shared.dialect.load, ''),
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
            left_ms=self._left_ms(),
            prompt_tokens=self._prompt_tokens,
            answer_tokens=self._answer_tokens,
            sends=self._sends,
            tried=self._tried,
            document=self._context.view.version,
            view_age_ms=self._context.view.age_ms(),
        )
        self._request.answer(status, detail.encode() + b'\n', headers)

    def _count(self, name: str, outcome: str = '') -> None:
        self._context.counters.count(
            name,
            route=_name_route(self._route),
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


def _name_route(route: document.Route | None) -> str:
    """Return a route's name for metrics; empty without one."""
    return route.name if route is not None else ''


def _read_count(text: str) -> int:
    """Return a count of tokens; 0 if the caller names none."""
    text = text.strip()
    return int(text) if text.isascii() and text.isdecimal() else 0


async def _skip_body(
    connection: upstream.Connection, head: upstream.AnswerHead
) -> None:
    try:
        async for _chunk in connection.read_body(head):
            pass
    except upstream.AnswerBroken:
        connection.close()
