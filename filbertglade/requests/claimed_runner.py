"""Runs of requests that need a claim: at most once over all nodes."""

import asyncio

from filbertglade.admission import permits
from filbertglade import clock
from filbertglade.control import failures as control_failures
from filbertglade.inner import commands_pb2
from filbertglade.inner import requests_pb2
from filbertglade.observability import metrics
from filbertglade.requests import attempts
from filbertglade.requests import caller_request
from filbertglade.requests import claim_batcher
from filbertglade.requests import claimed_executions
from filbertglade.requests import in_flight_counter
from filbertglade.requests import outcomes
from filbertglade.requests import response_joins
from filbertglade.settings import model

CLAIM_TIMEOUT_MS = claim_batcher.SUBMIT_TIMEOUT_MS
# Longest time from asking for a claim to the dispatch. Claims are kept far
# longer, so that none expires in between.
DISPATCH_WINDOW_MS = 10_000
ROUNDS = 8

Action = commands_pb2.ClaimChange
Verdict = commands_pb2.ClaimResult
Reason = outcomes.RefusalReason
ResponseOrRefusal = claimed_executions.ResponseOrRefusal
Admitted = permits.Permit | outcomes.Refusal


class ClaimedRunner:
    """Runs claimed requests, or joins whoever runs them."""

    def __init__(
        self,
        settings: model.NodeSettings,
        registry: attempts.AttemptRegistry,
        batcher: claim_batcher.ClaimBatcher,
        joiner: response_joins.Joiner,
        start_execution: claimed_executions.StartExecution,
        in_flight: in_flight_counter.InFlightCounter,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._batcher = batcher
        self._joiner = joiner
        self._counters = counters
        self._runs = claimed_executions.ClaimedExecutions(
            settings, registry, batcher, start_execution, in_flight
        )

    async def close(self) -> None:
        """Stop what still runs."""
        await self._runs.close()

    async def start(
        self, request: caller_request.CallerRequest, admitted: Admitted
    ) -> ResponseOrRefusal:
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
                self._runs.release_unused(admitted)

    async def _claim_or_join(
        self, request: caller_request.CallerRequest, admitted: Admitted
    ) -> ResponseOrRefusal:
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
            if found is response_joins.JoinFailure.NEVER_DISPATCHED:
                expected = result.attempt
            elif isinstance(found, response_joins.JoinFailure):
                return outcomes.refuse_unknown(
                    'the node that took the request does not answer for it'
                )
            else:
                return found
        return outcomes.refuse_unknown('other nodes hold the key in turn')

    async def _claim(
        self,
        request: caller_request.CallerRequest,
        admitted: Admitted,
        expected: str,
    ) -> ResponseOrRefusal | commands_pb2.ClaimResult:
        attempt = self._registry.create(request.digest_body())
        change = self._runs.build_change(Action.TAKE, request, attempt)
        if expected:
            change.action = Action.TAKE_OVER
            change.expected_attempt = expected
        sent_ms = clock.now_ms()
        left_ms = min(request.deadline_ms - sent_ms, CLAIM_TIMEOUT_MS)
        try:
            result = await self._batcher.submit(change, left_ms)
        except asyncio.CancelledError:
            self._runs.give_up(request, attempt)
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
            await self._runs.release(request, attempt)
            return admitted
        return await self._runs.launch(request, attempt, admitted)

    def _refuse_unclaimed(
        self,
        request: caller_request.CallerRequest,
        attempt: attempts.Attempt,
        failure: control_failures.SubmitFailure,
    ) -> outcomes.Refusal:
        if failure.may_have_applied:
            self._runs.give_up(request, attempt)
        else:
            self._registry.discard(attempt)
        self._counters.count('claims_failed')
        return outcomes.Refusal(
            Reason.NO_QUORUM,
            f'the claim could not be committed ({failure})',
            outcome=request.unseen_outcome,
            retry_after_ms=outcomes.RETRY_AFTER_MS,
        )

    async def _join(
        self,
        request: caller_request.CallerRequest,
        result: commands_pb2.ClaimResult,
    ) -> ResponseOrRefusal | response_joins.JoinFailure:
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
    ) -> ResponseOrRefusal | response_joins.JoinFailure:
        attempt = self._registry.find(name)
        if attempt is None:
            return response_joins.JoinFailure.UNKNOWN
        if attempt.state is attempts.AttemptState.ABANDONED:
            return response_joins.JoinFailure.NEVER_DISPATCHED
        follower = attempt.answer.follow()
        if follower is None:
            return response_joins.JoinFailure.UNKNOWN
        try:
            async with asyncio.timeout(limit_ms / 1000):
                found = await self._runs.wait_head(attempt, follower)
        except TimeoutError:
            return response_joins.JoinFailure.UNKNOWN
        if attempt.state is attempts.AttemptState.ABANDONED:
            return response_joins.JoinFailure.NEVER_DISPATCHED
        return found
