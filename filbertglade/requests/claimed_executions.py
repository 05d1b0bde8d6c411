"""Executions of requests whose claim this node holds."""

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
    """Runs claimed requests to their end, even if their caller leaves."""

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
        # Permits of executions in flight, which release them at their end.
        self._used_permits: set[permits.Permit] = set()

    async def close(self) -> None:
        """Stop the running executions."""
        await self._tasks.close()

    def release_unused(self, permit: permits.Permit) -> None:
        """Release a permit unless an execution uses it.

        :param permit: the permit.
        """
        if permit not in self._used_permits:
            permit.release()

    def abandon_attempt(
        self, request: caller_request.CallerRequest, attempt: attempts.Attempt
    ) -> None:
        """Abandon an attempt, and release its claim in the background.

        :param request: the request.
        :param attempt: the attempt that is not to run.
        """
        attempt.abandon()
        self._registry.archive(attempt)
        self._tasks.start(self.release(request, attempt))

    async def release(
        self, request: caller_request.CallerRequest, attempt: attempts.Attempt
    ) -> None:
        """Release the claim of an attempt that was abandoned.

        :param request: the request.
        :param attempt: the attempt.
        """
        self._registry.archive(attempt)
        change = self.build_change(Action.RELEASE, request, attempt)
        # A lost release does no harm: joins of the attempt are answered with
        # "never dispatched", and the claim can be taken over.
        await self._batcher.submit(change, RELEASE_TIMEOUT_MS)

    async def start_attempt(
        self,
        request: caller_request.CallerRequest,
        attempt: attempts.Attempt,
        permit: permits.Permit,
    ) -> ResponseOrRefusal:
        """Run an attempt that holds the claim, and wait for the response head.

        :param request: the request.
        :param attempt: the attempt.
        :param permit: the permit to run it; released at the end of the run.
        :returns: the response, or why there is none.
        """
        reader = attempt.response.open_reader()
        assert reader is not None
        self._used_permits.add(permit)
        self._tasks.start(self._run(request, attempt, permit))
        return await self.wait_head(attempt, reader)

    async def wait_head(
        self,
        attempt: attempts.Attempt,
        reader: shared_response.ResponseReader,
    ) -> ResponseOrRefusal:
        """Wait for the head of an attempt's response.

        :param attempt: the attempt.
        :param reader: reads its response; closed if the wait is cancelled.
        :returns: the response, or why there is none.
        """
        try:
            refusal = await reader.wait_head()
        except asyncio.CancelledError:
            reader.close()
            if not attempt.response.has_readers:
                attempt.abandon()
            raise
        return reader if refusal is None else refusal

    async def _run(
        self,
        request: caller_request.CallerRequest,
        attempt: attempts.Attempt,
        permit: permits.Permit,
    ) -> None:
        run = self._start_execution(request, attempt)
        refusal: outcomes.Refusal | None = outcomes.refuse_unknown(
            'the run was stopped'
        )
        try:
            with self._in_flight.track():
                refusal = await self._copy_response(run, attempt)
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
        """End the response, after releasing the claim of an abandoned attempt.

        :param request: the request.
        :param attempt: the attempt.
        :param refusal: why the response is incomplete; None if it is complete.
        """
        if refusal is not None:
            is_not_run = refusal.outcome is outcomes.Outcome.NOT_RUN
            if is_not_run and not attempt.abandon():
                refusal = outcomes.refuse_unknown(refusal.detail)
        is_abandoned = attempt.state is attempts.AttemptState.ABANDONED
        try:
            if is_abandoned:
                await self.release(request, attempt)
        finally:
            attempt.response.end(refusal)
            self._registry.archive(attempt)
        if not is_abandoned:
            change = self.build_change(Action.FINISH, request, attempt)
            await self._batcher.submit(change, claim_batcher.SUBMIT_TIMEOUT_MS)

    async def _copy_response(
        self, run: execution.Execution, attempt: attempts.Attempt
    ) -> outcomes.Refusal | None:
        refusal = await run.begin()
        if refusal is not None:
            return refusal
        attempt.response.set_head(run.status, run.headers)
        while True:
            part = await run.read()
            if not isinstance(part, bytes):
                return part
            await attempt.response.add(part)

    def build_change(
        self,
        action: commands_pb2.ClaimChange.Action,
        request: caller_request.CallerRequest,
        attempt: attempts.Attempt,
    ) -> commands_pb2.ClaimChange:
        """Return a change of a request's claim.

        :param action: the kind of change.
        :param request: the request.
        :param attempt: the attempt that holds the claim or is to hold it.
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
