"""Runs callers' requests: admission, claim, execution and shutdown."""

import random

from tornado import httputil

from filbertglade.admission import admission
from filbertglade.admission import admission_requests
from filbertglade.admission import permits
from filbertglade import clock
from filbertglade.control import submitter
from filbertglade.fleet import dialects
from filbertglade.fleet import statements
from filbertglade.inner import channels
from filbertglade.membership import attachment
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import attempts
from filbertglade.requests import caller_request
from filbertglade.requests import claim_batcher
from filbertglade.requests import claimed_runner
from filbertglade.requests import dispatch_permission
from filbertglade.requests import endpoint_calls
from filbertglade.requests import endpoint_pool
from filbertglade.requests import endpoint_wait
from filbertglade.requests import execution
from filbertglade.requests import execution_context
from filbertglade.requests import in_flight_counter
from filbertglade.requests import outcomes
from filbertglade.requests import permitted_endpoints
from filbertglade.requests import response_joins
from filbertglade.requests import response_source
from filbertglade.requests import retry_budget
from filbertglade.requests import strikes
from filbertglade.routing import policies
from filbertglade.settings import model


class PermittedResponse(response_source.ResponseSource):
    """A response that releases its permit when it ends."""

    def __init__(
        self,
        run: execution.Execution,
        permit: permits.Permit,
    ) -> None:
        self._execution = run
        self._permit = permit
        self.status = run.status
        self.headers: httputil.HTTPHeaders = run.headers

    async def read(self) -> bytes | None | outcomes.Refusal:
        """Return the next part of the body.

        :returns: bytes; None after a complete body; or the refusal that
            tells why the body is incomplete.
        """
        part = await self._execution.read()
        if not isinstance(part, bytes):
            self._release()
        return part

    def _release(self) -> None:
        if not self._permit.is_released:
            self._execution.report_usage(self._permit)
            self._permit.release()

    def close(self) -> None:
        """Cancel the request at its endpoint."""
        self._execution.close()
        self._release()


class RequestRunner:
    """Runs callers' requests on endpoints."""

    def __init__(
        self,
        settings: model.NodeSettings,
        run: str,
        fleet: view.FleetView,
        attached: attachment.Attachment,
        commands: submitter.Submitter,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._counters = counters
        self._pool = endpoint_pool.EndpointPool(settings)
        self._context = execution_context.ExecutionContext(
            settings=settings,
            fleet=fleet,
            attached=attached,
            pool=self._pool,
            selector=policies.build_selector(settings, fleet, rng),
            budget=retry_budget.RetryBudget(counters),
            strikes=strikes.StrikeTracker(fleet, attached, counters),
            permitted=permitted_endpoints.PermittedEndpoints(
                statements.EndpointStatements(
                    dialects.DEFAULT.leaving, counters, rng
                ),
                rng,
            ),
            wait_limits=endpoint_wait.EndpointWaitLimits(settings),
            counters=counters,
        )
        self._admission = admission.Admission(settings, fleet, counters, rng)
        self._admission.add_demand_listener(attached.report_demand)
        self._registry = attempts.AttemptRegistry(settings, run)
        self._batcher = claim_batcher.ClaimBatcher(commands, counters)
        self.in_flight = in_flight_counter.InFlightCounter()
        self.join_servicer = response_joins.JoinServicer(
            settings, self._registry, self.in_flight, counters
        )
        self._claimed_runner = claimed_runner.ClaimedRunner(
            settings,
            self._registry,
            self._batcher,
            response_joins.InnerJoiner(channel_factory),
            self._start_execution,
            self.in_flight,
            counters,
        )
        self.is_refusing = False
        counters.set_gauge('requests_in_flight', lambda: self.in_flight.count)

    async def start_background_tasks(self) -> None:
        """Start the background work."""
        await self._admission.start()

    async def close(self) -> None:
        """Stop all requests and close the connections to endpoints."""
        await self._claimed_runner.close()
        await self._batcher.close()
        await self._admission.close()
        self._pool.close()

    async def drain(self) -> None:
        """Wait until no request is in flight."""
        await self.in_flight.wait_idle()

    async def start(
        self, request: caller_request.CallerRequest
    ) -> response_source.ResponseSource | outcomes.Refusal:
        """Run a request until the head of its response is received.

        :param request: the request.
        :returns: the response, or why there is none.
        """
        self._context.budget.note_request()
        admitted = await self._admit(request)
        if isinstance(admitted, permits.Permit):
            priority = str(admitted.priority)
            request.call.headers[endpoint_calls.PRIORITY_HEADER] = priority
        if request.needs_claim:
            return await self._claimed_runner.start(request, admitted)
        if isinstance(admitted, outcomes.Refusal):
            return admitted
        return await self._start_unclaimed(request, admitted)

    async def _admit(
        self, request: caller_request.CallerRequest
    ) -> permits.Permit | outcomes.Refusal:
        if self.is_refusing:
            return outcomes.Refusal(
                outcomes.RefusalReason.SHUTTING_DOWN,
                'this node is shutting down',
                retry_after_ms=outcomes.RETRY_AFTER_MS,
            )
        admission_request = admission_requests.AdmissionRequest(
            customer=request.customer,
            target=request.target,
            is_service=request.is_service,
            deadline_ms=request.deadline_ms,
            expected_tokens=request.expected_tokens,
        )
        return await self._admission.admit(admission_request)

    async def _start_unclaimed(
        self, request: caller_request.CallerRequest, permit: permits.Permit
    ) -> response_source.ResponseSource | outcomes.Refusal:
        run = self._start_execution(
            request, dispatch_permission.UnclaimedPermission()
        )
        refusal: outcomes.Refusal | None = None
        try:
            refusal = await run.begin()
        except BaseException:
            run.close()
            permit.release()
            raise
        if refusal is not None:
            if refusal.outcome is outcomes.Outcome.UNKNOWN:
                # It may have run without a first token: the time so far is a
                # lower bound of its first-token time.
                permit.note_first_token(clock.now_ms() - permit.granted_ms)
            permit.release()
            return refusal
        return PermittedResponse(run, permit)

    def _start_execution(
        self,
        request: caller_request.CallerRequest,
        permission: dispatch_permission.DispatchPermission,
    ) -> execution.Execution:
        return execution.Execution(self._context, request, permission)
