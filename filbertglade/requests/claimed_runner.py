"""Runs requests that need a claim at most once over all nodes."""

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
# Longest time from submitting a claim to the dispatch. Claims are kept much
# longer, so that none expires in between.
DISPATCH_WINDOW_MS = 10_000
MAX_CLAIM_ROUNDS = 8

Action = commands_pb2.ClaimChange
Verdict = commands_pb2.ClaimResult
Reason = outcomes.RefusalReason
ResponseOrRefusal = claimed_executions.ResponseOrRefusal
AdmissionResult = permits.Permit | outcomes.Refusal


class ClaimedRunner:
    """Runs requests under a claim, or joins the attempt that holds it."""

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
        self._executions = claimed_executions.ClaimedExecutions(
            settings, registry, batcher, start_execution, in_flight
        )

    async def close(self) -> None:
        """Stop the running attempts."""
        await self._executions.close()

    async def start(
        self, request: caller_request.CallerRequest, admitted: AdmissionResult
    ) -> ResponseOrRefusal:
        """Run a request under a claim, or join the attempt that holds it.

        :param request: the request; it has a key.
        :param admitted: the permit to run it; or the refusal of admission, in
            which case the request only joins an attempt that exists.
        :returns: the response, or why there is none.
        """
        try:
            return await self._claim_or_join(request, admitted)
        finally:
            if not isinstance(admitted, outcomes.Refusal):
                self._executions.release_unused(admitted)

    async def _claim_or_join(
        self, request: caller_request.CallerRequest, admitted: AdmissionResult
    ) -> ResponseOrRefusal:
        expected_attempt = ''
        for _ in range(MAX_CLAIM_ROUNDS):
            result = await self._claim(request, admitted, expected_attempt)
            if not isinstance(result, commands_pb2.ClaimResult):
                return result
            if result.verdict == Verdict.BODY_DIFFERS:
                return outcomes.Refusal(
                    Reason.KEY_REUSED, 'the key was used with another body'
                )
            expected_attempt = ''
            if result.verdict == Verdict.NOT_HELD:
                continue
            found = await self._join(request, result)
            if found is response_joins.JoinFailure.NEVER_DISPATCHED:
                expected_attempt = result.attempt
            elif isinstance(found, response_joins.JoinFailure):
                return outcomes.refuse_unknown(
                    'no response could be joined at the node that holds '
                    'the claim'
                )
            else:
                return found
        return outcomes.refuse_unknown(
            'the claim changed its holder in every round'
        )

    async def _claim(
        self,
        request: caller_request.CallerRequest,
        admitted: AdmissionResult,
        expected_attempt: str,
    ) -> ResponseOrRefusal | commands_pb2.ClaimResult:
        attempt = self._registry.create(request.digest_body())
        change = self._executions.build_change(Action.TAKE, request, attempt)
        if expected_attempt:
            change.action = Action.TAKE_OVER
            change.expected_attempt = expected_attempt
        sent_ms = clock.now_ms()
        remaining_ms = min(request.deadline_ms - sent_ms, CLAIM_TIMEOUT_MS)
        try:
            result = await self._batcher.submit(change, remaining_ms)
        except asyncio.CancelledError:
            self._executions.abandon_attempt(request, attempt)
            raise
        if isinstance(result, control_failures.SubmitFailure):
            return self._refuse_unclaimed(request, attempt, result)
        if result.verdict != Verdict.DONE:
            self._registry.discard(attempt)
            return result
        window_ms = min(DISPATCH_WINDOW_MS, request.claim_kept_ms // 2)
        attempt.set_dispatch_deadline(sent_ms + window_ms)
        if isinstance(admitted, outcomes.Refusal):
            attempt.abandon()
            await self._executions.release(request, attempt)
            return admitted
        return await self._executions.start_attempt(request, attempt, admitted)

    def _refuse_unclaimed(
        self,
        request: caller_request.CallerRequest,
        attempt: attempts.Attempt,
        failure: control_failures.SubmitFailure,
    ) -> outcomes.Refusal:
        if failure.may_have_applied:
            self._executions.abandon_attempt(request, attempt)
        else:
            self._registry.discard(attempt)
        self._counters.count('claims_failed')
        return outcomes.Refusal(
            Reason.NO_QUORUM,
            f'the claim could not be committed ({failure})',
            outcome=request.unclaimed_outcome,
            retry_after_ms=outcomes.RETRY_AFTER_MS,
        )

    async def _join(
        self,
        request: caller_request.CallerRequest,
        result: commands_pb2.ClaimResult,
    ) -> ResponseOrRefusal | response_joins.JoinFailure:
        self._counters.count('joins')
        timeout_ms = max(request.deadline_ms - clock.now_ms(), 1)
        if result.owner_address != self._settings.listen.inner:
            join_request = requests_pb2.JoinRequest(
                customer=request.customer.name,
                key=request.key,
                body_digest=request.digest_body(),
                attempt=result.attempt,
            )
            return await self._joiner.join(
                result.owner_address, join_request, timeout_ms
            )
        return await self._join_local(result.attempt, timeout_ms)

    async def _join_local(
        self, name: str, timeout_ms: int
    ) -> ResponseOrRefusal | response_joins.JoinFailure:
        attempt = self._registry.find(name)
        if attempt is None:
            return response_joins.JoinFailure.UNKNOWN
        if attempt.state is attempts.AttemptState.ABANDONED:
            return response_joins.JoinFailure.NEVER_DISPATCHED
        reader = attempt.response.open_reader()
        if reader is None:
            return response_joins.JoinFailure.UNKNOWN
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                found = await self._executions.wait_head(attempt, reader)
        except TimeoutError:
            return response_joins.JoinFailure.UNKNOWN
        if attempt.state is attempts.AttemptState.ABANDONED:
            return response_joins.JoinFailure.NEVER_DISPATCHED
        return found
