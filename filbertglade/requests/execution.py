"""One request's run on endpoints: its tries, and its answer."""

import asyncio
import collections
import dataclasses
import json

from tornado import httputil

from filbertglade.admission import permits
from filbertglade import clock
from filbertglade import failures
from filbertglade.membership import attachment
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import answers
from filbertglade.requests import arriving
from filbertglade.requests import caller
from filbertglade.requests import calls
from filbertglade.requests import crashes
from filbertglade.requests import endpoints
from filbertglade.requests import outcomes
from filbertglade.requests import permissions
from filbertglade.requests import retries
from filbertglade.requests import setbacks
from filbertglade.requests import streams
from filbertglade.requests import strikes
from filbertglade.routing import candidates
from filbertglade.routing import selection
from filbertglade.settings import model

CHOICE_VALID_MS = 1000
HELD_ANSWER_BYTES = 4_194_304
CONFLICT = 409
NOT_FOUND = 404
SERVER_ERROR = 500
# Relay intervals until every node has heard of a strike.
SPREAD_RELAYS = 4
PROBE_DELAY_S = 0.05

Reason = outcomes.RefusalReason


@dataclasses.dataclass(slots=True)
class ExecutionParts:
    """What all executions of a node share.

    :param settings: the node's settings.
    :param fleet: the node's view.
    :param attached: where losses are reported.
    :param pool: connections to endpoints.
    :param selector: the policy that chooses endpoints.
    :param budget: the budget of further tries.
    :param strikes: strikes against requests.
    :param counters: the process's metrics.
    """

    settings: model.NodeSettings
    fleet: view.FleetView
    attached: attachment.Attachment
    pool: endpoints.EndpointPool
    selector: selection.Selector
    budget: retries.RetryBudget
    strikes: strikes.StrikeBook
    counters: metrics.Metrics


_OVERLONG = setbacks.Setback(
    Reason.ENDPOINT_FAILED, 'an event is too long', is_final=True
)


class Execution(answers.AnswerSource):
    """Runs one request until its answer is whole or given up."""

    def __init__(
        self,
        parts: ExecutionParts,
        request: caller.CallerRequest,
        permission: permissions.Permission,
    ) -> None:
        self._parts = parts
        self._request = request
        self._permission = permission
        self._digest = request.digest_for_strikes()
        self._work = selection.Work(
            request.customer.name,
            request.call.body,
            request.prefix_hashes,
            request.target,
        )
        self._crashes = crashes.CrashReport(parts.strikes, self._digest)
        self._first_token_ms: int | None = None
        self._answer: arriving.Answer | None = None
        self._candidate: selection.Candidate | None = None
        self._avoided: set[str] = set()
        self._further_tries = 0
        self._was_sent = False
        self._may_have_run = False
        self._is_head_given = False
        self._has_begun = False
        self._last_events_ms = 0
        self._sent_ms = 0
        self._tokens = 0
        self._splitter: streams.EventSplitter | None = None
        self._progress = streams.Progress()
        self._held: collections.deque[bytes] = collections.deque()
        self._is_held_whole = False
        self.request_id = calls.new_request_id()
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
            return self._held.popleft()
        if self._is_held_whole:
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
        if self._may_have_run:
            return outcomes.Outcome.UNKNOWN
        return outcomes.Outcome.NOT_RUN

    def report_usage(self, permit: permits.Permit) -> None:
        """Tell admission what the request used.

        :param permit: the request's permit.
        """
        if self._first_token_ms is not None:
            permit.note_first_token(self._first_token_ms)
        permit.note_tokens(self._tokens)

    def _end(self) -> None:
        self._crashes.close()
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.release()
        self._leave_candidate()

    def _leave_candidate(self) -> None:
        candidate, self._candidate = self._candidate, None
        if candidate is not None:
            took_ms = clock.now_ms() - self._sent_ms
            self._parts.selector.note_finished(
                candidate, self._work, self._tokens, took_ms
            )

    async def _go_on(
        self, setback: setbacks.Setback
    ) -> None | outcomes.Refusal:
        found: setbacks.Setback | None = setback
        while found is not None:
            refusal = await self._find_refusal(found)
            if refusal is not None:
                self.close()
                return refusal
            found = await self._try_once(found)
        return None

    async def _find_refusal(
        self, setback: setbacks.Setback
    ) -> outcomes.Refusal | None:
        refusal = outcomes.Refusal(
            setback.reason,
            setback.detail,
            self.outcome,
            retry_after_ms=setback.retry_after_ms,
        )
        may_run_again = self._request.is_repeatable or not self._may_have_run
        if setback.is_final or not (may_run_again or setback.may_resume):
            return refusal
        if self._further_tries >= retries.FURTHER_TRIES:
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

    def _can_continue(self, setback: setbacks.Setback) -> bool:
        return setback.may_resume or (
            self._splitter is not None and self._progress.text is not None
        )

    async def _spread_strikes(self) -> None:
        relay_ms = self._parts.settings.timings.relay_ms
        wait_ms = min(SPREAD_RELAYS * relay_ms, self._left_ms())
        await asyncio.sleep(max(wait_ms, 0) / 1000)

    async def _try_once(
        self, setback: setbacks.Setback | None
    ) -> setbacks.Setback | None:
        resumes = setback is not None and setback.may_resume
        if resumes and self._candidate is not None:
            candidate = self._candidate
            call = calls.build_resumption(
                self._build_call(candidate), self._progress.tokens
            )
        else:
            resumes = False
            found = self._choose()
            if isinstance(found, setbacks.Setback):
                return found
            candidate = found
            call = self._build_call(candidate)
            if self._progress.tokens:
                call = calls.build_continuation(call, self._progress)
        answer = await self._send(candidate, call, resumes)
        if isinstance(answer, setbacks.Setback):
            return answer
        return await self._accept(candidate, answer, resumes)

    def _choose(self) -> selection.Candidate | setbacks.Setback:
        obstacle = self._parts.strikes.find_obstacle(
            self._digest, self._was_sent
        )
        if obstacle is not None:
            request = self._request
            if request.key and not request.needs_claim:
                # An earlier sending with this key was given the strikes.
                self._may_have_run = True
            return setbacks.Setback(
                Reason.STRUCK,
                obstacle.detail,
                is_final=True,
                retry_after_ms=obstacle.retry_after_ms,
            )
        self._leave_candidate()
        request = self._request
        fleet = self._parts.fleet
        if request.is_service:
            listed = candidates.list_worker_candidates(fleet, request.target)
        else:
            listed = candidates.list_group_candidates(fleet, request.target)
        open_ones = [item for item in listed if item.name not in self._avoided]
        candidate = self._parts.selector.choose(open_ones, self._work)
        if candidate is None:
            return setbacks.Setback(
                Reason.NO_ENDPOINT,
                f'no endpoint serves {request.target!r} now',
                is_final=True,
            )
        self._candidate = candidate
        self._sent_ms = clock.now_ms()
        self._parts.selector.note_started(candidate, self._work)
        return candidate

    def _build_call(self, candidate: selection.Candidate) -> endpoints.Call:
        return calls.build_call(
            self._request, candidate, self.request_id, self._left_ms()
        )

    def _left_ms(self) -> int:
        if self._has_begun:
            return self._parts.settings.timings.first_byte_timeout_ms
        return self._request.deadline_ms - clock.now_ms()

    async def _send(
        self,
        candidate: selection.Candidate,
        call: endpoints.Call,
        resumes: bool,
    ) -> arriving.Answer | setbacks.Setback:
        chosen_ms = clock.now_ms()
        is_stale = False

        def may_send() -> bool:
            nonlocal is_stale
            # A process that was paused here must look at the fleet again.
            is_stale = clock.now_ms() - chosen_ms > CHOICE_VALID_MS
            if is_stale or not self._permission.begin():
                return False
            self._was_sent = True
            return True

        timings = self._parts.settings.timings
        timeout_ms = min(self._left_ms(), timings.first_byte_timeout_ms)
        answer = await self._parts.pool.start_call(
            candidate.address, call, timeout_ms, may_send
        )
        if not isinstance(answer, failures.Failure):
            return answer
        if answer.reason is arriving.EndpointReason.WITHDRAWN:
            return setbacks.Setback(
                Reason.NO_ENDPOINT,
                'the request was not sent in time',
                is_final=not is_stale,
            )
        if answer.reason is not arriving.EndpointReason.UNREACHABLE:
            return await self._judge_failure(candidate, answer)
        if resumes:
            return self._note_crash(candidate)
        self._mark_lost(candidate)
        return setbacks.Setback(Reason.NO_ENDPOINT, str(answer))

    async def _judge_failure(
        self, candidate: selection.Candidate, failure: failures.Failure
    ) -> setbacks.Setback:
        self._may_have_run = True
        if failure.reason is arriving.EndpointReason.TIMED_OUT:
            self._avoided.add(candidate.name)
            return setbacks.Setback(Reason.ENDPOINT_FAILED, str(failure))
        # A process that died may take connections for a moment yet.
        await asyncio.sleep(PROBE_DELAY_S)
        if await self._parts.pool.is_reachable(candidate.address):
            return setbacks.Setback(
                Reason.ENDPOINT_FAILED,
                str(failure),
                may_resume=self._request.is_stream,
            )
        return self._note_crash(candidate)

    def _note_crash(self, candidate: selection.Candidate) -> setbacks.Setback:
        self._mark_lost(candidate)
        self._crashes.add(candidate.name)
        return setbacks.Setback(
            Reason.ENDPOINT_FAILED, f'{candidate.name} crashed'
        )

    def _mark_lost(self, candidate: selection.Candidate) -> None:
        parts = self._parts
        self._avoided.add(candidate.name)
        if self._request.is_service:
            parts.fleet.mark_worker_lost(candidate.host, candidate.run)
        else:
            parts.fleet.mark_group_lost(candidate.name, candidate.epoch)
        parts.attached.report_loss(candidate.host, candidate.run)
        parts.counters.count('endpoints_lost')

    async def _accept(
        self,
        candidate: selection.Candidate,
        answer: arriving.Answer,
        resumes: bool,
    ) -> setbacks.Setback | None:
        setback = self._judge_head(candidate, answer, resumes)
        if setback is not None:
            answer.cancel()
            return setback
        self._may_have_run = True
        self._answer = answer
        if self._is_head_given:
            self._splitter = streams.EventSplitter()
            return None
        self.status = answer.status
        self.headers = answer.headers
        if self.is_events:
            if not self._request.is_service:
                self._splitter = streams.EventSplitter()
            return None
        return await self._hold()

    def _judge_head(
        self,
        candidate: selection.Candidate,
        answer: arriving.Answer,
        resumes: bool,
    ) -> setbacks.Setback | None:
        told = answer.headers.get(outcomes.OUTCOME_HEADER, '')
        detail = f'{candidate.name} answered {answer.status}'
        if resumes and answer.status in (NOT_FOUND, CONFLICT):
            self._avoided.add(candidate.name)
            return setbacks.Setback(Reason.ENDPOINT_FAILED, detail)
        is_error = answer.status >= SERVER_ERROR
        says_not_run = told == outcomes.Outcome.NOT_RUN.value
        if says_not_run and (is_error or answer.status == CONFLICT):
            self._avoided.add(candidate.name)
            if not self._may_have_run:
                self._permission.undo()
            return setbacks.Setback(Reason.NO_ENDPOINT, detail)
        if is_error:
            self._avoided.add(candidate.name)
            self._may_have_run = True
            return setbacks.Setback(Reason.ENDPOINT_FAILED, detail)
        if self._is_head_given and answer.status != self.status:
            self._avoided.add(candidate.name)
            return setbacks.Setback(Reason.ENDPOINT_FAILED, detail)
        return None

    async def _hold(self) -> setbacks.Setback | None:
        answer = self._answer
        assert answer is not None
        self._held.clear()
        size = 0
        while size <= HELD_ANSWER_BYTES:
            chunk = await answer.read(self._left_ms() / 1000)
            if isinstance(chunk, failures.Failure):
                return await self._judge_cut(chunk)
            if chunk is None:
                self._is_held_whole = True
                return self._judge_end(answer)
            size += len(chunk)
            self._held.append(chunk)
        self._has_begun = True
        return None

    def _judge_end(self, answer: arriving.Answer) -> setbacks.Setback | None:
        kind = answer.headers.get('Content-Type', '')
        if answer.is_framed or 'json' not in kind:
            return None
        try:
            json.loads(b''.join(self._held))
        except (ValueError, RecursionError):
            self._is_held_whole = False
            return setbacks.Setback(
                Reason.ENDPOINT_FAILED, 'the answer was cut'
            )
        return None

    async def _judge_cut(self, failure: failures.Failure) -> setbacks.Setback:
        assert self._answer is not None and self._candidate is not None
        self._answer.cancel()
        self._answer = None
        return await self._judge_failure(self._candidate, failure)

    async def _read_once(self) -> bytes | None | setbacks.Setback:
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
                    arriving.EndpointReason.BROKEN, 'the stream has no end'
                )
                return await self._judge_cut(cut)
            events = self._splitter.feed(chunk)
            if self._splitter.is_overlong:
                return _OVERLONG
            if events:
                self._note_events(events)
                return events
            if self._splitter.is_done:
                return None

    def _note_events(self, events: bytes) -> None:
        now_ms = clock.now_ms()
        count = events.count(streams.DATA)
        if not self._has_begun and self._candidate is not None:
            took_ms = now_ms - self._sent_ms
            self._parts.selector.note_first_token(self._candidate, took_ms)
            self._parts.counters.record_ms('first_token', took_ms)
            self._first_token_ms = took_ms
        elif self._last_events_ms and count:
            waited_ms = (now_ms - self._last_events_ms) / count
            self._parts.counters.record_ms('between_tokens', waited_ms)
        self._has_begun = True
        self._last_events_ms = now_ms
        self._tokens += count
        self._progress.add(events)
