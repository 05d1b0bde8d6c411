"""Runs one request on endpoints, with retries and continuations."""

import asyncio
import dataclasses

from tornado import httputil

from filbertglade.admission import permits
from filbertglade import clock
from filbertglade import failures
from filbertglade.requests import attempt_failure
from filbertglade.requests import buffered_body
from filbertglade.requests import caller_request
from filbertglade.requests import crash_reporter
from filbertglade.requests import dispatch
from filbertglade.requests import dispatch_permission
from filbertglade.requests import endpoint_calls
from filbertglade.requests import endpoint_choice
from filbertglade.requests import endpoint_pool
from filbertglade.requests import endpoint_response
from filbertglade.requests import event_stream
from filbertglade.requests import execution_context
from filbertglade.requests import outcomes
from filbertglade.requests import response_source
from filbertglade.requests import retry_budget
from filbertglade.requests import stream_meter
from filbertglade.routing import selection

# Relay intervals until every node has received a strike.
STRIKE_RELAY_INTERVALS = 4

Reason = outcomes.RefusalReason


_EVENT_TOO_LONG = attempt_failure.AttemptFailure(
    Reason.ENDPOINT_FAILED, 'an event exceeds the size limit', is_final=True
)


class Execution(response_source.ResponseSource):
    """Runs one request until its response is complete or refused."""

    def __init__(
        self,
        context: execution_context.ExecutionContext,
        request: caller_request.CallerRequest,
        permission: dispatch_permission.DispatchPermission,
    ) -> None:
        self._context = context
        self._request = request
        self._strike_digest = request.digest_for_strikes()
        self._choice = endpoint_choice.EndpointChoice(context, request)
        self._meter = stream_meter.StreamMeter(context, self._choice)
        self._crashes = crash_reporter.CrashReporter(
            context.strikes, self._strike_digest
        )
        self._response: endpoint_response.EndpointResponse | None = None
        self._retries = 0
        self._dispatch = dispatch.Dispatch(
            context, request, permission, self._choice, self._crashes
        )
        self._is_head_sent = False
        self._is_body_started = False
        self._splitter: event_stream.EventSplitter | None = None
        self._progress = event_stream.StreamProgress()
        # The end of a service's stream, which is passed on unsplit.
        self._event_end: event_stream.EventEnd | None = None
        self._buffer = buffered_body.BufferedBody()
        self.request_id = endpoint_calls.new_request_id()
        self.status = 0
        self.headers = httputil.HTTPHeaders()

    async def begin(self) -> None | outcomes.Refusal:
        """Run the request until the head of the response is received.

        A response that is no event stream is buffered completely, up to a
        limit, so that its outcome is known before its first byte is passed
        on.

        :returns: None, or why there is no response.
        """
        failure = await self._run_attempt(None)
        if failure is not None:
            refusal = await self._retry(failure)
            if refusal is not None:
                return refusal
        self._is_head_sent = True
        return None

    async def read(self) -> bytes | None | outcomes.Refusal:
        """Return the next part of the body.

        :returns: bytes; None after a complete body; or the refusal that
            tells why the body is incomplete.
        """
        if self._buffer:
            return self._buffer.pop()
        if self._buffer.is_complete:
            self._end()
            return None
        while True:
            if self._splitter is not None and self._splitter.is_done:
                self._end()
                return None
            part = await self._read_part()
            if isinstance(part, bytes):
                return part
            if part is None:
                self._end()
                return None
            refusal = await self._retry(part)
            if refusal is not None:
                return refusal

    def close(self) -> None:
        """Cancel the request at its endpoint."""
        if self._response is not None:
            self._response.cancel()
        self._end()

    @property
    def is_stream(self) -> bool:
        """Whether the response is passed on as a stream of events."""
        return self._splitter is not None

    @property
    def outcome(self) -> outcomes.Outcome:
        """The outcome if the request is given up now."""
        if self._dispatch.may_have_run:
            return outcomes.Outcome.UNKNOWN
        return outcomes.Outcome.NOT_RUN

    def report_usage(self, permit: permits.Permit) -> None:
        """Report to admission what the request used.

        :param permit: the request's permit.
        """
        if self._meter.first_token_ms is not None:
            permit.note_first_token(self._meter.first_token_ms)
        permit.note_tokens(self._meter.tokens)

    def _end(self) -> None:
        self._crashes.close()
        response, self._response = self._response, None
        if response is not None:
            response.release()
        self._choice.release(self._meter.tokens)

    async def _retry(
        self, failure: attempt_failure.AttemptFailure
    ) -> None | outcomes.Refusal:
        latest: attempt_failure.AttemptFailure | None = failure
        while latest is not None:
            refusal = await self._check_retry(latest)
            if refusal is not None:
                self.close()
                return refusal
            latest = await self._run_attempt(latest)
        return None

    async def _check_retry(
        self, failure: attempt_failure.AttemptFailure
    ) -> outcomes.Refusal | None:
        refusal = outcomes.Refusal(
            failure.reason,
            failure.detail,
            self.outcome,
            retry_after_ms=failure.retry_after_ms,
        )
        may_run_again = (
            self._request.is_repeatable or not self._dispatch.may_have_run
        )
        if failure.is_final or not (may_run_again or failure.may_resume):
            return refusal
        if self._is_body_started and not self._can_continue(failure):
            return refusal
        if failure.is_unsent and self._remaining_ms() > 0:
            return None
        if self._retries >= retry_budget.MAX_RETRIES:
            return refusal
        if self._crashes and not failure.may_resume:
            await self._wait_for_strike_relay()
            obstacle = self._context.strikes.find_obstacle(
                self._strike_digest, True
            )
            if obstacle is not None:
                return dataclasses.replace(obstacle, outcome=self.outcome)
        if self._choice.is_withheld and not failure.may_resume:
            # A retry would be sent nowhere.
            return dataclasses.replace(
                refusal, retry_after_ms=self._choice.retry_after_ms
            )
        if self._remaining_ms() <= 0 or not self._context.budget.take():
            return refusal
        self._retries += 1
        return None

    def _can_continue(self, failure: attempt_failure.AttemptFailure) -> bool:
        return failure.may_resume or (
            self._splitter is not None and self._progress.text is not None
        )

    async def _wait_for_strike_relay(self) -> None:
        relay_ms = self._context.settings.timings.relay_ms
        wait_ms = min(STRIKE_RELAY_INTERVALS * relay_ms, self._remaining_ms())
        await asyncio.sleep(max(wait_ms, 0) / 1000)

    async def _run_attempt(
        self, failure: attempt_failure.AttemptFailure | None
    ) -> attempt_failure.AttemptFailure | None:
        is_resumption = failure is not None and failure.may_resume
        if is_resumption and self._choice.candidate is not None:
            candidate = self._choice.candidate
            call = endpoint_calls.build_resumption(
                self._build_call(candidate), self._progress.tokens
            )
        else:
            is_resumption = False
            found = await self._choose()
            if isinstance(found, attempt_failure.AttemptFailure):
                return found
            candidate = found
            call = self._build_call(candidate)
            if self._progress.tokens:
                call = endpoint_calls.build_continuation(call, self._progress)
        response = await self._dispatch.send(
            candidate, call, self._remaining_ms(), is_resumption
        )
        if isinstance(response, attempt_failure.AttemptFailure):
            return response
        return await self._accept_response(candidate, response, is_resumption)

    async def _choose(
        self,
    ) -> selection.Candidate | attempt_failure.AttemptFailure:
        found = self._choose_now()
        if (
            isinstance(found, attempt_failure.AttemptFailure)
            and found.reason is Reason.NO_ENDPOINT
            and await self._choice.wait_for_endpoint()
        ):
            return self._choose_now()
        return found

    def _choose_now(
        self,
    ) -> selection.Candidate | attempt_failure.AttemptFailure:
        obstacle = self._context.strikes.find_obstacle(
            self._strike_digest, self._dispatch.was_sent
        )
        if obstacle is not None:
            request = self._request
            if request.key and not request.needs_claim:
                # An earlier request with this key got the strikes: it may have
                # run.
                self._dispatch.may_have_run = True
            return attempt_failure.AttemptFailure(
                Reason.STRUCK,
                obstacle.detail,
                is_final=True,
                retry_after_ms=obstacle.retry_after_ms,
            )
        self._choice.release(self._meter.tokens)
        return self._choice.choose()

    def _build_call(
        self, candidate: selection.Candidate
    ) -> endpoint_pool.Call:
        return endpoint_calls.build_call(
            self._request, candidate, self.request_id, self._remaining_ms()
        )

    def _remaining_ms(self) -> int:
        if self._is_body_started:
            return self._context.settings.timings.first_byte_timeout_ms
        return self._request.deadline_ms - clock.now_ms()

    async def _accept_response(
        self,
        candidate: selection.Candidate,
        response: endpoint_response.EndpointResponse,
        is_resumption: bool,
    ) -> attempt_failure.AttemptFailure | None:
        sent_status = self.status if self._is_head_sent else None
        failure = self._dispatch.check_head(
            candidate, response, is_resumption, sent_status
        )
        if failure is not None:
            response.cancel()
            return failure
        self._response = response
        if not self._is_head_sent:
            self.status = response.status
            self.headers = response.headers
            if not self.is_event_stream:
                return await self._buffer_body()
        if not self._request.is_service:
            self._splitter = event_stream.EventSplitter()
        elif 'Content-Encoding' not in response.headers:
            self._event_end = event_stream.EventEnd()
        return None

    async def _buffer_body(self) -> attempt_failure.AttemptFailure | None:
        response = self._response
        assert response is not None
        self._buffer.clear()
        while not self._buffer.is_full:
            chunk = await response.read(self._remaining_ms() / 1000)
            if isinstance(chunk, failures.Failure):
                return await self._classify_cut(chunk)
            if chunk is None:
                if self._buffer.finish(response):
                    return await self._check_end(response)
                return attempt_failure.AttemptFailure(
                    Reason.ENDPOINT_FAILED, 'the response was truncated'
                )
            self._buffer.add(chunk)
        self._is_body_started = True
        return None

    async def _check_end(
        self, response: endpoint_response.EndpointResponse
    ) -> attempt_failure.AttemptFailure | None:
        """Return why a body that has ended is incomplete; None if it isn't."""
        if self._event_end is not None and self._event_end.is_inside_event:
            return await self._classify_cut(
                failures.Failure(
                    endpoint_response.EndpointFailureReason.BROKEN,
                    'the stream ended inside an event',
                )
            )
        if response.is_framed or self._request.call.method == 'HEAD':
            return None
        if self.is_framed:
            # A retry's response, after a head that promised a stated end.
            return await self._classify_cut(
                failures.Failure(
                    endpoint_response.EndpointFailureReason.BROKEN,
                    'the end of the body was not stated',
                )
            )
        assert self._choice.candidate is not None
        failure = await self._dispatch.check_unstated_end(
            self._choice.candidate
        )
        if failure is not None:
            self._response = None
            response.cancel()
        return failure

    async def _classify_cut(
        self, failure: failures.Failure
    ) -> attempt_failure.AttemptFailure:
        assert (
            self._response is not None and self._choice.candidate is not None
        )
        self._response.cancel()
        self._response = None
        return await self._dispatch.classify_failure(
            self._choice.candidate, failure
        )

    async def _read_part(
        self,
    ) -> bytes | None | attempt_failure.AttemptFailure:
        response = self._response
        assert response is not None
        while True:
            timeout_s = (
                None if self._is_body_started else self._remaining_ms() / 1000
            )
            chunk = await response.read(timeout_s)
            if isinstance(chunk, failures.Failure):
                return await self._classify_cut(chunk)
            if self._splitter is None:
                if chunk is None:
                    return await self._check_end(response)
                if self._event_end is not None:
                    self._event_end.feed(chunk)
                self._is_body_started = True
                return chunk
            if chunk is None:
                cut = failures.Failure(
                    endpoint_response.EndpointFailureReason.BROKEN,
                    'the stream ended without [DONE]',
                )
                return await self._classify_cut(cut)
            events = self._splitter.feed(chunk)
            if self._splitter.is_overlong:
                return _EVENT_TOO_LONG
            if events:
                self._meter.note(events, not self._is_body_started)
                self._is_body_started = True
                self._progress.add(events)
                return events
            if self._splitter.is_done:
                return None
