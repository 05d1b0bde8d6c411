"""Runs of requests that need a claim: at most once over all nodes."""

import asyncio
from collections import abc

from filbertglade.admission import permits
from filbertglade import clock
from filbertglade.control import failures as control_failures
from filbertglade.inner import commands_pb2
from filbertglade.inner import requests_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.requests import activity
from filbertglade.requests import answers
from filbertglade.requests import attempts
from filbertglade.requests import caller
from filbertglade.requests import claims
from filbertglade.requests import execution
from filbertglade.requests import joins
from filbertglade.requests import outcomes
from filbertglade.requests import permissions
from filbertglade.requests import shared
from filbertglade.settings import model
from filbertglade import tasks

log = logs.get_log(__name__)

CLAIM_TIMEOUT_MS = claims.SUBMIT_TIMEOUT_MS
RELEASE_TIMEOUT_MS = 500
# Longest time from asking for a claim to the dispatch. Claims are kept far
# longer, so that none expires in between.
DISPATCH_WINDOW_MS = 10_000
ROUNDS = 8

Action = commands_pb2.ClaimChange
Verdict = commands_pb2.ClaimResult
Reason = outcomes.RefusalReason
Answer = answers.AnswerSource | outcomes.Refusal
Admitted = permits.Permit | outcomes.Refusal
StartExecution = abc.Callable[
    [caller.CallerRequest, permissions.Permission], execution.Execution
]


class ClaimedRunner:
    """Runs claimed requests, or joins whoever runs them."""

    def __init__(
        self,
        settings: model.NodeSettings,
        registry: attempts.AttemptRegistry,
        batcher: claims.ClaimBatcher,
        joiner: joins.Joiner,
        start_execution: StartExecution,
        in_flight: activity.Activity,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._batcher = batcher
        self._joiner = joiner
        self._start_execution = start_execution
        self._in_flight = in_flight
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        # Permits of runs in flight, which give them back at their end.
        self._used_permits: set[permits.Permit] = set()

    async def close(self) -> None:
        """Stop what still runs."""
        await self._tasks.close()

    async def start(
        self, request: caller.CallerRequest, admitted: Admitted
    ) -> Answer:
        """Run a request under a claim, or join the run of another.

        :param request: the request; it has a key.
        :param admitted: the permit to run it; or why it may not be run, so
            that it is only joined if it runs already.
        :returns: the answer, or why there is none.
        """
        try:
            return await self._claim_or_join(request, admitted)
        finally:
            if not isinstance(admitted, outcomes.Refusal):
                self._release_unused(admitted)

    async def _claim_or_join(
        self, request: caller.CallerRequest, admitted: Admitted
    ) -> Answer:
        expected = ''
        for _ in range(ROUNDS):
            result = await self._claim(request, admitted, expected)
            if not isinstance(result, commands_pb2.ClaimResult):
                return result
            if result.verdict == Verdict.BODY_DIFFERS:
                return outcomes.Refusal(
                    Reason.KEY_REUSED, 'the key was used with another body'
                )
            expected = ''
            if result.verdict == Verdict.NOT_HELD:
                continue
            found = await self._join(request, result)
            if found is joins.JoinVerdict.NEVER_DISPATCHED:
                expected = result.attempt
            elif isinstance(found, joins.JoinVerdict):
                return _refuse_unknown(
                    'the node that took the request does not answer for it'
                )
            else:
                return found
        return _refuse_unknown('other nodes hold the key in turn')

    async def _claim(
        self,
        request: caller.CallerRequest,
        admitted: Admitted,
        expected: str,
    ) -> Answer | commands_pb2.ClaimResult:
        attempt = self._registry.create(request.digest_body())
        change = self._build_change(Action.TAKE, request, attempt)
        if expected:
            change.action = Action.TAKE_OVER
            change.expected_attempt = expected
        sent_ms = clock.now_ms()
        left_ms = min(request.deadline_ms - sent_ms, CLAIM_TIMEOUT_MS)
        try:
            result = await self._batcher.submit(change, left_ms)
        except asyncio.CancelledError:
            self._give_up(request, attempt)
            raise
        if isinstance(result, control_failures.SubmitFailure):
            return self._refuse_unclaimed(request, attempt, result)
        if result.verdict != Verdict.DONE:
            self._registry.discard(attempt)
            return result
        window_ms = min(DISPATCH_WINDOW_MS, request.claim_kept_ms // 2)
        attempt.hold_until(sent_ms + window_ms)
        if isinstance(admitted, outcomes.Refusal):
            attempt.abandon()
            await self._release(request, attempt)
            return admitted
        return await self._launch(request, attempt, admitted)

    def _release_unused(self, permit: permits.Permit) -> None:
        if permit not in self._used_permits:
            permit.release()

    def _refuse_unclaimed(
        self,
        request: caller.CallerRequest,
        attempt: attempts.Attempt,
        failure: control_failures.SubmitFailure,
    ) -> outcomes.Refusal:
        if failure.may_have_applied:
            self._give_up(request, attempt)
        else:
            self._registry.discard(attempt)
        self._counters.count('claims_failed')
        return outcomes.Refusal(
            Reason.NO_QUORUM,
            f'the claim could not be committed ({failure})',
            outcome=request.unseen_outcome,
            retry_after_ms=outcomes.RETRY_AFTER_MS,
        )

    def _give_up(
        self, request: caller.CallerRequest, attempt: attempts.Attempt
    ) -> None:
        """Promise not to dispatch; the claim is released when it can be."""
        attempt.abandon()
        self._registry.settle(attempt)
        self._tasks.start(self._release(request, attempt))

    async def _release(
        self, request: caller.CallerRequest, attempt: attempts.Attempt
    ) -> None:
        self._registry.settle(attempt)
        change = self._build_change(Action.RELEASE, request, attempt)
        # A lost release does no harm: this node answers for the attempt.
        await self._batcher.submit(change, RELEASE_TIMEOUT_MS)

    async def _launch(
        self,
        request: caller.CallerRequest,
        attempt: attempts.Attempt,
        permit: permits.Permit,
    ) -> Answer:
        follower = attempt.answer.follow()
        assert follower is not None
        self._used_permits.add(permit)
        self._tasks.start(self._run(request, attempt, permit))
        return await self._wait_head(attempt, follower)

    async def _wait_head(
        self, attempt: attempts.Attempt, follower: shared.Follower
    ) -> Answer:
        try:
            refusal = await follower.wait_head()
        except asyncio.CancelledError:
            follower.close()
            if not attempt.answer.has_followers:
                attempt.abandon()
            raise
        return follower if refusal is None else refusal

    async def _run(
        self,
        request: caller.CallerRequest,
        attempt: attempts.Attempt,
        permit: permits.Permit,
    ) -> None:
        run = self._start_execution(request, attempt)
        refusal: outcomes.Refusal | None = _refuse_unknown('it was stopped')
        try:
            with self._in_flight.track():
                refusal = await self._pump(run, attempt)
        finally:
            self._used_permits.discard(permit)
            run.report_usage(permit)
            permit.release()
            run.close()
            await self._finish(request, attempt, refusal)

    async def _finish(
        self,
        request: caller.CallerRequest,
        attempt: attempts.Attempt,
        refusal: outcomes.Refusal | None,
    ) -> None:
        """Tell all who wait; first release the claim of what never ran."""
        if refusal is not None:
            is_not_run = refusal.outcome is outcomes.Outcome.NOT_RUN
            if is_not_run and not attempt.abandon():
                refusal = _refuse_unknown(refusal.detail)
        is_abandoned = attempt.state is attempts.AttemptState.ABANDONED
        try:
            if is_abandoned:
                await self._release(request, attempt)
        finally:
            attempt.answer.end(refusal)
            self._registry.settle(attempt)
        if not is_abandoned:
            change = self._build_change(Action.FINISH, request, attempt)
            await self._batcher.submit(change, CLAIM_TIMEOUT_MS)

    async def _pump(
        self, run: execution.Execution, attempt: attempts.Attempt
    ) -> outcomes.Refusal | None:
        refusal = await run.begin()
        if refusal is not None:
            return refusal
        attempt.answer.set_head(run.status, run.headers)
        while True:
            part = await run.read()
            if not isinstance(part, bytes):
                return part
            await attempt.answer.add(part)

    async def _join(
        self,
        request: caller.CallerRequest,
        result: commands_pb2.ClaimResult,
    ) -> Answer | joins.JoinVerdict:
        self._counters.count('joins')
        limit_ms = max(request.deadline_ms - clock.now_ms(), 1)
        if result.owner_address != self._settings.listen.inner:
            wanted = requests_pb2.JoinRequest(
                customer=request.customer.name,
                key=request.key,
                body_digest=request.digest_body(),
                attempt=result.attempt,
            )
            return await self._joiner.join(
                result.owner_address, wanted, limit_ms
            )
        return await self._join_own(result.attempt, limit_ms)

    async def _join_own(
        self, name: str, limit_ms: int
    ) -> Answer | joins.JoinVerdict:
        attempt = self._registry.find(name)
        if attempt is None:
            return joins.JoinVerdict.UNKNOWN
        if attempt.state is attempts.AttemptState.ABANDONED:
            return joins.JoinVerdict.NEVER_DISPATCHED
        follower = attempt.answer.follow()
        if follower is None:
            return joins.JoinVerdict.UNKNOWN
        try:
            async with asyncio.timeout(limit_ms / 1000):
                found = await self._wait_head(attempt, follower)
        except TimeoutError:
            return joins.JoinVerdict.UNKNOWN
        if attempt.state is attempts.AttemptState.ABANDONED:
            return joins.JoinVerdict.NEVER_DISPATCHED
        return found

    def _build_change(
        self,
        action: commands_pb2.ClaimChange.Action,
        request: caller.CallerRequest,
        attempt: attempts.Attempt,
    ) -> commands_pb2.ClaimChange:
        return commands_pb2.ClaimChange(
            action=action,
            customer=request.customer.name,
            key=request.key,
            body_digest=attempt.body_digest,
            attempt=attempt.name,
            owner=self._settings.name,
            owner_address=self._settings.listen.inner,
            kept_ms=request.claim_kept_ms,
        )


def _refuse_unknown(detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        Reason.OWNER_GONE,
        detail,
        outcomes.Outcome.UNKNOWN,
        retry_after_ms=outcomes.RETRY_AFTER_MS,
    )
