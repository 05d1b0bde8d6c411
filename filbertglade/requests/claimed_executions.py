"""Runs of requests whose claim this node holds."""

import asyncio
from collections import abc

from filbertglade.admission import permits
from filbertglade.inner import commands_pb2
from filbertglade.requests import attempts
from filbertglade.requests import caller_request
from filbertglade.requests import claim_batcher
from filbertglade.requests import dispatch_permission
from filbertglade.requests import execution
from filbertglade.requests import in_flight_counter
from filbertglade.requests import outcomes
from filbertglade.requests import response_source
from filbertglade.requests import shared_response
from filbertglade.settings import model
from filbertglade import tasks

RELEASE_TIMEOUT_MS = 500

Action = commands_pb2.ClaimChange
ResponseOrRefusal = response_source.ResponseSource | outcomes.Refusal
StartExecution = abc.Callable[
    [caller_request.CallerRequest, dispatch_permission.DispatchPermission],
    execution.Execution,
]


class ClaimedExecutions:
    """Runs claimed requests to their end, whoever still waits for them."""

    def __init__(
        self,
        settings: model.NodeSettings,
        registry: attempts.AttemptRegistry,
        batcher: claim_batcher.ClaimBatcher,
        start_execution: StartExecution,
        in_flight: in_flight_counter.InFlightCounter,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._batcher = batcher
        self._start_execution = start_execution
        self._in_flight = in_flight
        self._tasks = tasks.TaskGroup()
        # Permits of runs in flight, which give them back at their end.
        self._used_permits: set[permits.Permit] = set()

    async def close(self) -> None:
        """Stop what still runs."""
        await self._tasks.close()

    def release_unused(self, permit: permits.Permit) -> None:
        """Give a permit back, unless a run uses it.

        :param permit: the permit.
        """
        if permit not in self._used_permits:
            permit.release()

    def give_up(
        self, request: caller_request.CallerRequest, attempt: attempts.Attempt
    ) -> None:
        """Promise not to dispatch; the claim is released when it can be.

        :param request: the request.
        :param attempt: the attempt that is not to run.
        """
        attempt.abandon()
        self._registry.settle(attempt)
        self._tasks.start(self.release(request, attempt))

    async def release(
        self, request: caller_request.CallerRequest, attempt: attempts.Attempt
    ) -> None:
        """Release the claim of an attempt that was abandoned.

        :param request: the request.
        :param attempt: the attempt.
        """
        self._registry.settle(attempt)
        change = self.build_change(Action.RELEASE, request, attempt)
        # A lost release does no harm: this node answers for the attempt.
        await self._batcher.submit(change, RELEASE_TIMEOUT_MS)

    async def launch(
        self,
        request: caller_request.CallerRequest,
        attempt: attempts.Attempt,
        permit: permits.Permit,
    ) -> ResponseOrRefusal:
        """Run an attempt whose claim is held, and wait for its head.

        :param request: the request.
        :param attempt: the attempt.
        :param permit: the permit to run it; given back at the run's end.
        :returns: the answer, or why there is none.
        """
        follower = attempt.answer.follow()
        assert follower is not None
        self._used_permits.add(permit)
        self._tasks.start(self._run(request, attempt, permit))
        return await self.wait_head(attempt, follower)

    async def wait_head(
        self,
        attempt: attempts.Attempt,
        follower: shared_response.ResponseReader,
    ) -> ResponseOrRefusal:
        """Wait for the head of an attempt's answer.

        :param attempt: the attempt.
        :param follower: reads its answer; closed if the wait is cancelled.
        :returns: the answer, or why there is none.
        """
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
        request: caller_request.CallerRequest,
        attempt: attempts.Attempt,
        permit: permits.Permit,
    ) -> None:
        run = self._start_execution(request, attempt)
        refusal: outcomes.Refusal | None = outcomes.refuse_unknown(
            'it was stopped'
        )
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
        request: caller_request.CallerRequest,
        attempt: attempts.Attempt,
        refusal: outcomes.Refusal | None,
    ) -> None:
        """Tell all who wait; first release the claim of what never ran."""
        if refusal is not None:
            is_not_run = refusal.outcome is outcomes.Outcome.NOT_RUN
            if is_not_run and not attempt.abandon():
                refusal = outcomes.refuse_unknown(refusal.detail)
        is_abandoned = attempt.state is attempts.AttemptState.ABANDONED
        try:
            if is_abandoned:
                await self.release(request, attempt)
        finally:
            attempt.answer.end(refusal)
            self._registry.settle(attempt)
        if not is_abandoned:
            change = self.build_change(Action.FINISH, request, attempt)
            await self._batcher.submit(change, claim_batcher.SUBMIT_TIMEOUT_MS)

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

    def build_change(
        self,
        action: commands_pb2.ClaimChange.Action,
        request: caller_request.CallerRequest,
        attempt: attempts.Attempt,
    ) -> commands_pb2.ClaimChange:
        """Return a change of a request's claim.

        :param action: what to do with the claim.
        :param request: the request.
        :param attempt: the attempt that holds it, or is to.
        """
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
