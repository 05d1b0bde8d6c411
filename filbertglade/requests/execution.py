"""One request's run on endpoints: its tries, and its answer."""

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

# Relay intervals until every node has heard of a strike.
SPREAD_RELAYS = 4

Reason = outcomes.RefusalReason


_OVERLONG = attempt_failure.AttemptFailure(
    Reason.ENDPOINT_FAILED, 'an event is too long', is_final=True
)


class Execution(response_source.ResponseSource):
    """Runs one request until its answer is whole or given up."""

    def __init__(
        self,
        parts: execution_context.ExecutionContext,
        request: caller_request.CallerRequest,
        permission: dispatch_permission.DispatchPermission,
    ) -> None:
        self._parts = parts
        self._request = request
        self._digest = request.digest_for_strikes()
        self._choice = endpoint_choice.EndpointChoice(parts, request)
        self._meter = stream_meter.StreamMeter(parts, self._choice)
        self._crashes = crash_reporter.CrashReporter(
            parts.strikes, self._digest
        )
        self._answer: endpoint_response.EndpointResponse | None = None
        self._further_tries = 0
        self._dispatch = dispatch.Dispatch(
            parts, request, permission, self._choice, self._crashes
        )
        self._is_head_given = False
        self._has_begun = False
        self._splitter: event_stream.EventSplitter | None = None
        self._progress = event_stream.StreamProgress()
        self._held = buffered_body.BufferedBody()
        self.request_id = endpoint_calls.new_request_id()
        self.status = 0
        self.headers = httputil.HTTPHeaders()

    async def begin(self) -> None | outcomes.Refusal:
        """Run the request until the head of its answer is there.

        A whole answer that is no stream of events is held by then, so that
        its outcome is known before its first byte is passed on.

        :returns: None, or why there is no answer.
        """
        setback = await self._try_once(None)
        if setback is not None:
            refusal = await self._go_on(setback)
            if refusal is not None:
                return refusal
        self._is_head_given = True
        return None

    async def read(self) -> bytes | None | outcomes.Refusal:
        """Return the next part of the body.

        :returns: bytes; None at its whole end; or why it is not whole.
        """
        if self._held:
            return self._held.take()
        if self._held.is_whole:
            self._end()
            return None
        while True:
            if self._splitter is not None and self._splitter.is_done:
                self._end()
                return None
            setback = await self._read_once()
            if isinstance(setback, bytes):
                return setback
            if setback is None:
                self._end()
                return None
            refusal = await self._go_on(setback)
            if refusal is not None:
                return refusal

    def close(self) -> None:
        """Cancel the request at its endpoint."""
        if self._answer is not None:
            self._answer.cancel()
        self._end()

    @property
    def is_stream(self) -> bool:
        """Whether the answer comes as a stream of events."""
        return self._splitter is not None

    @property
    def outcome(self) -> outcomes.Outcome:
        """What is to be said of it if it is given up now."""
        if self._dispatch.may_have_run:
            return outcomes.Outcome.UNKNOWN
        return outcomes.Outcome.NOT_RUN

    def report_usage(self, permit: permits.Permit) -> None:
        """Tell admission what the request used.

        :param permit: the request's permit.
        """
        if self._meter.first_token_ms is not None:
            permit.note_first_token(self._meter.first_token_ms)
        permit.note_tokens(self._meter.tokens)

    def _end(self) -> None:
        self._crashes.close()
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.release()
        self._choice.leave(self._meter.tokens)

    async def _go_on(
        self, setback: attempt_failure.AttemptFailure
    ) -> None | outcomes.Refusal:
        found: attempt_failure.AttemptFailure | None = setback
        while found is not None:
            refusal = await self._find_refusal(found)
            if refusal is not None:
                self.close()
                return refusal
            found = await self._try_once(found)
        return None

    async def _find_refusal(
        self, setback: attempt_failure.AttemptFailure
    ) -> outcomes.Refusal | None:
        refusal = outcomes.Refusal(
            setback.reason,
            setback.detail,
            self.outcome,
            retry_after_ms=setback.retry_after_ms,
        )
        may_run_again = (
            self._request.is_repeatable or not self._dispatch.may_have_run
        )
        if setback.is_final or not (may_run_again or setback.may_resume):
            return refusal
        if self._further_tries >= retry_budget.FURTHER_TRIES:
            return refusal
        if self._has_begun and not self._can_continue(setback):
            return refusal
        if self._crashes and not setback.may_resume:
            await self._spread_strikes()
            obstacle = self._parts.strikes.find_obstacle(self._digest, True)
            if obstacle is not None:
                return dataclasses.replace(obstacle, outcome=self.outcome)
        if self._left_ms() <= 0 or not self._parts.budget.take():
            return refusal
        self._further_tries += 1
        return None

    def _can_continue(self, setback: attempt_failure.AttemptFailure) -> bool:
        return setback.may_resume or (
            self._splitter is not None and self._progress.text is not None
        )

    async def _spread_strikes(self) -> None:
        relay_ms = self._parts.settings.timings.relay_ms
        wait_ms = min(SPREAD_RELAYS * relay_ms, self._left_ms())
        await asyncio.sleep(max(wait_ms, 0) / 1000)

    async def _try_once(
        self, setback: attempt_failure.AttemptFailure | None
    ) -> attempt_failure.AttemptFailure | None:
        resumes = setback is not None and setback.may_resume
        if resumes and self._choice.candidate is not None:
            candidate = self._choice.candidate
            call = endpoint_calls.build_resumption(
                self._build_call(candidate), self._progress.tokens
            )
        else:
            resumes = False
            found = await self._choose()
            if isinstance(found, attempt_failure.AttemptFailure):
                return found
            candidate = found
            call = self._build_call(candidate)
            if self._progress.tokens:
                call = endpoint_calls.build_continuation(call, self._progress)
        answer = await self._dispatch.send(
            candidate, call, self._left_ms(), resumes
        )
        if isinstance(answer, attempt_failure.AttemptFailure):
            return answer
        return await self._accept(candidate, answer, resumes)

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
        obstacle = self._parts.strikes.find_obstacle(
            self._digest, self._dispatch.was_sent
        )
        if obstacle is not None:
            request = self._request
            if request.key and not request.needs_claim:
                # An earlier sending with this key was given the strikes.
                self._dispatch.may_have_run = True
            return attempt_failure.AttemptFailure(
                Reason.STRUCK,
                obstacle.detail,
                is_final=True,
                retry_after_ms=obstacle.retry_after_ms,
            )
        self._choice.leave(self._meter.tokens)
        return self._choice.choose()

    def _build_call(
        self, candidate: selection.Candidate
    ) -> endpoint_pool.Call:
        return endpoint_calls.build_call(
            self._request, candidate, self.request_id, self._left_ms()
        )

    def _left_ms(self) -> int:
        if self._has_begun:
            return self._parts.settings.timings.first_byte_timeout_ms
        return self._request.deadline_ms - clock.now_ms()

    async def _accept(
        self,
        candidate: selection.Candidate,
        answer: endpoint_response.EndpointResponse,
        resumes: bool,
    ) -> attempt_failure.AttemptFailure | None:
        given_status = self.status if self._is_head_given else None
        setback = self._dispatch.judge_head(
            candidate, answer, resumes, given_status
        )
        if setback is not None:
            answer.cancel()
            return setback
        self._answer = answer
        if self._is_head_given:
            self._splitter = event_stream.EventSplitter()
            return None
        self.status = answer.status
        self.headers = answer.headers
        if self.is_event_stream:
            if not self._request.is_service:
                self._splitter = event_stream.EventSplitter()
            return None
        return await self._hold()

    async def _hold(self) -> attempt_failure.AttemptFailure | None:
        answer = self._answer
        assert answer is not None
        self._held.clear()
        while not self._held.is_full:
            chunk = await answer.read(self._left_ms() / 1000)
            if isinstance(chunk, failures.Failure):
                return await self._judge_cut(chunk)
            if chunk is None:
                if self._held.end(answer):
                    return None
                return attempt_failure.AttemptFailure(
                    Reason.ENDPOINT_FAILED, 'the answer was cut'
                )
            self._held.add(chunk)
        self._has_begun = True
        return None

    async def _judge_cut(
        self, failure: failures.Failure
    ) -> attempt_failure.AttemptFailure:
        assert self._answer is not None and self._choice.candidate is not None
        self._answer.cancel()
        self._answer = None
        return await self._dispatch.judge_failure(
            self._choice.candidate, failure
        )

    async def _read_once(
        self,
    ) -> bytes | None | attempt_failure.AttemptFailure:
        answer = self._answer
        assert answer is not None
        while True:
            limit_s = None if self._has_begun else self._left_ms() / 1000
            chunk = await answer.read(limit_s)
            if isinstance(chunk, failures.Failure):
                return await self._judge_cut(chunk)
            if self._splitter is None:
                self._has_begun = True
                return chunk
            if chunk is None:
                cut = failures.Failure(
                    endpoint_response.EndpointFailureReason.BROKEN,
                    'the stream has no end',
                )
                return await self._judge_cut(cut)
            events = self._splitter.feed(chunk)
            if self._splitter.is_overlong:
                return _OVERLONG
            if events:
                self._meter.note(events, not self._has_begun)
                self._has_begun = True
                self._progress.add(events)
                return events
            if self._splitter.is_done:
                return None
