"""Sends requests to endpoints and classifies the failures."""

import asyncio

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import evacuated
from filbertglade.requests import attempt_failure
from filbertglade.requests import caller_request
from filbertglade.requests import crash_reporter
from filbertglade.requests import dispatch_permission
from filbertglade.requests import endpoint_choice
from filbertglade.requests import endpoint_pool
from filbertglade.requests import endpoint_response
from filbertglade.requests import execution_context
from filbertglade.requests import outcomes
from filbertglade.routing import selection

# The view of the fleet may be outdated after this time.
CHOICE_VALID_MS = 1000
CONFLICT = 409
NOT_FOUND = 404
SERVER_ERROR = 500
# A process that died may accept connections a moment longer.
PROBE_DELAY_S = 0.05

# Failures before anything of a call was sent.
UNSENT = (
    endpoint_response.EndpointFailureReason.UNREACHABLE,
    endpoint_response.EndpointFailureReason.REFUSED,
)

Reason = outcomes.RefusalReason


class Dispatch:
    """Sends a request to endpoints and tracks whether it may have run.

    :ivar was_sent: whether any byte of it was sent to an endpoint.
    :ivar may_have_run: whether an endpoint may have run it.
    """

    def __init__(
        self,
        context: execution_context.ExecutionContext,
        request: caller_request.CallerRequest,
        permission: dispatch_permission.DispatchPermission,
        choice: endpoint_choice.EndpointChoice,
        crashes: crash_reporter.CrashReporter,
    ) -> None:
        self._context = context
        self._request = request
        self._permission = permission
        self._choice = choice
        self._crashes = crashes
        self.was_sent = False
        self.may_have_run = False

    async def send(
        self,
        candidate: selection.Candidate,
        call: endpoint_pool.Call,
        remaining_ms: int,
        is_resumption: bool,
    ) -> endpoint_response.EndpointResponse | attempt_failure.AttemptFailure:
        """Send a call and wait for the head of the response.

        :param candidate: the endpoint.
        :param call: the call.
        :param remaining_ms: time until the request's deadline, in
            milliseconds.
        :param is_resumption: whether the call resumes a run of this endpoint.
        :returns: the response, or the failure.
        """
        chosen_ms = clock.now_ms()
        is_stale = False
        is_permitted = True

        def may_send() -> bool:
            nonlocal is_stale, is_permitted
            # After a pause of the process the endpoint must be chosen again.
            is_stale = clock.now_ms() - chosen_ms > CHOICE_VALID_MS
            is_permitted = self._choice.may_send(candidate, is_resumption)
            if is_stale or not is_permitted:
                return False
            if not self._permission.begin_dispatch():
                return False
            self.was_sent = True
            return True

        timings = self._context.settings.timings
        timeout_ms = min(remaining_ms, timings.first_byte_timeout_ms)
        response = await self._context.pool.start_call(
            candidate.address, call, timeout_ms, may_send
        )
        if not isinstance(response, failures.Failure):
            self._context.permitted.read(
                candidate, response.status, response.headers
            )
            return response
        if (
            response.reason
            is endpoint_response.EndpointFailureReason.WITHDRAWN
        ):
            reason = Reason.NO_ENDPOINT
            detail = 'the request was not sent in time'
            if self._choice.is_evacuated(candidate):
                detail = f'{candidate.name}: {evacuated.REASON}'
                # An earlier attempt may have run it.
                reason = (
                    Reason.ENDPOINT_FAILED
                    if self.may_have_run
                    else Reason.EVACUATED
                )
            return attempt_failure.AttemptFailure(
                reason,
                detail,
                is_final=is_permitted and not is_stale,
                is_unsent=not is_permitted,
                retry_after_ms=self._choice.retry_after_ms,
            )
        return await self._classify_no_response(
            candidate, response, is_resumption
        )

    async def _classify_no_response(
        self,
        candidate: selection.Candidate,
        response: failures.Failure,
        is_resumption: bool,
    ) -> attempt_failure.AttemptFailure:
        if response.reason not in UNSENT:
            return await self.classify_failure(candidate, response)
        if is_resumption:
            return self._record_end(candidate, response)
        self._choice.report_lost(candidate)
        return attempt_failure.AttemptFailure(
            Reason.NO_ENDPOINT, str(response)
        )

    async def classify_failure(
        self, candidate: selection.Candidate, failure: failures.Failure
    ) -> attempt_failure.AttemptFailure:
        """Classify a response that broke off or timed out.

        :param candidate: the endpoint.
        :param failure: how its response failed.
        :returns: the failure of the attempt.
        """
        self.may_have_run = True
        if failure.reason is endpoint_response.EndpointFailureReason.TIMED_OUT:
            self._choice.exclude(candidate)
            return attempt_failure.AttemptFailure(
                Reason.ENDPOINT_FAILED, str(failure)
            )
        await asyncio.sleep(PROBE_DELAY_S)
        obstacle = await self._context.pool.look_at(candidate.address)
        if obstacle is None:
            # An endpoint that closed an idle connection has nothing to resume.
            was_idle = (
                failure.reason
                is endpoint_response.EndpointFailureReason.KEPT_BROKEN
            )
            return attempt_failure.AttemptFailure(
                Reason.ENDPOINT_FAILED,
                str(failure),
                may_resume=self._request.is_stream and not was_idle,
            )
        return self._record_end(candidate, obstacle)

    async def check_unstated_end(
        self, candidate: selection.Candidate
    ) -> attempt_failure.AttemptFailure | None:
        """Check a body that ended with its connection.

        A crashed process's connections are closed in order too.

        :param candidate: the endpoint.
        :returns: the failure of the attempt if the endpoint crashed; None if
            nothing tells whether the body is complete.
        """
        await asyncio.sleep(PROBE_DELAY_S)
        obstacle = await self._context.pool.look_at(candidate.address)
        if obstacle is None:
            return None
        return self._record_end(candidate, obstacle)

    def _record_end(
        self, candidate: selection.Candidate, obstacle: failures.Failure
    ) -> attempt_failure.AttemptFailure:
        """Record that an endpoint can't be reached after it was sent a call.

        It has crashed if no process listens there, unless it had said that it
        leaves. A connection that times out tells nothing of the process.
        """
        self._choice.report_lost(candidate)
        is_crash = (
            obstacle.reason is endpoint_response.EndpointFailureReason.REFUSED
            and not self._context.permitted.is_leaving(candidate)
        )
        if is_crash:
            self._crashes.add(candidate.name)
        return attempt_failure.AttemptFailure(
            Reason.ENDPOINT_FAILED,
            f'{candidate.name} crashed' if is_crash else str(obstacle),
        )

    def check_head(
        self,
        candidate: selection.Candidate,
        response: endpoint_response.EndpointResponse,
        is_resumption: bool,
        sent_status: int | None,
    ) -> attempt_failure.AttemptFailure | None:
        """Check whether a response can be used, by its head.

        :param candidate: the endpoint.
        :param response: its response.
        :param is_resumption: whether the call was to resume a run.
        :param sent_status: the status already sent to the caller, if any.
        :returns: why the response can't be used; None if it can.
        """
        outcome_header = response.headers.get(outcomes.OUTCOME_HEADER, '')
        detail = f'{candidate.name} responded with status {response.status}'
        if is_resumption and response.status in (NOT_FOUND, CONFLICT):
            self._choice.exclude(candidate)
            return attempt_failure.AttemptFailure(
                Reason.ENDPOINT_FAILED, detail
            )
        is_error = response.status >= SERVER_ERROR
        reports_not_run = outcome_header == outcomes.Outcome.NOT_RUN.value
        if reports_not_run and (is_error or response.status == CONFLICT):
            self._choice.exclude(candidate)
            if not self.may_have_run:
                self._permission.undo_dispatch()
            return attempt_failure.AttemptFailure(
                Reason.NO_ENDPOINT,
                detail,
                retry_after_ms=self._choice.retry_after_ms,
            )
        if is_error:
            self._choice.exclude(candidate)
            self.may_have_run = True
            return attempt_failure.AttemptFailure(
                Reason.ENDPOINT_FAILED,
                detail,
                retry_after_ms=self._choice.retry_after_ms,
            )
        if sent_status not in (None, response.status):
            self._choice.exclude(candidate)
            return attempt_failure.AttemptFailure(
                Reason.ENDPOINT_FAILED, detail
            )
        self.may_have_run = True
        return None
