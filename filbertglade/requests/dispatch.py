"""Sending of a request to an endpoint, and what its failures mean."""

import asyncio

from filbertglade import clock
from filbertglade import failures
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

CHOICE_VALID_MS = 1000
CONFLICT = 409
NOT_FOUND = 404
SERVER_ERROR = 500
PROBE_DELAY_S = 0.05

Reason = outcomes.RefusalReason


class Dispatch:
    """Sends a request to endpoints, and remembers whether it may have run.

    :ivar was_sent: whether a byte of it was sent to an endpoint.
    :ivar may_have_run: whether an endpoint may have run it.
    """

    def __init__(
        self,
        parts: execution_context.ExecutionContext,
        request: caller_request.CallerRequest,
        permission: dispatch_permission.DispatchPermission,
        choice: endpoint_choice.EndpointChoice,
        crash_report: crash_reporter.CrashReporter,
    ) -> None:
        self._parts = parts
        self._request = request
        self._permission = permission
        self._choice = choice
        self._crashes = crash_report
        self.was_sent = False
        self.may_have_run = False

    async def send(
        self,
        candidate: selection.Candidate,
        call: endpoint_pool.Call,
        left_ms: int,
        resumes: bool,
    ) -> endpoint_response.EndpointResponse | attempt_failure.AttemptFailure:
        """Send a call and wait for the head of its answer.

        :param candidate: the endpoint.
        :param call: the call.
        :param left_ms: time until the request's deadline.
        :param resumes: whether the endpoint has the run already.
        :returns: the answer, or what went wrong.
        """
        chosen_ms = clock.now_ms()
        is_stale = False

        def may_send() -> bool:
            nonlocal is_stale
            # A process that was paused here must look at the fleet again.
            is_stale = clock.now_ms() - chosen_ms > CHOICE_VALID_MS
            if is_stale or not self._permission.begin():
                return False
            self.was_sent = True
            return True

        timings = self._parts.settings.timings
        timeout_ms = min(left_ms, timings.first_byte_timeout_ms)
        answer = await self._parts.pool.start_call(
            candidate.address, call, timeout_ms, may_send
        )
        if not isinstance(answer, failures.Failure):
            return answer
        if answer.reason is endpoint_response.EndpointFailureReason.WITHDRAWN:
            return attempt_failure.AttemptFailure(
                Reason.NO_ENDPOINT,
                'the request was not sent in time',
                is_final=not is_stale,
            )
        return await self._judge_unanswered(candidate, answer, resumes)

    async def _judge_unanswered(
        self,
        candidate: selection.Candidate,
        answer: failures.Failure,
        resumes: bool,
    ) -> attempt_failure.AttemptFailure:
        if (
            answer.reason
            is not endpoint_response.EndpointFailureReason.UNREACHABLE
        ):
            return await self.judge_failure(candidate, answer)
        if resumes:
            return self._note_crash(candidate)
        self._choice.mark_lost(candidate)
        return attempt_failure.AttemptFailure(Reason.NO_ENDPOINT, str(answer))

    async def judge_failure(
        self, candidate: selection.Candidate, failure: failures.Failure
    ) -> attempt_failure.AttemptFailure:
        """Judge an answer that broke or fell silent.

        :param candidate: the endpoint.
        :param failure: how its answer failed.
        :returns: what that means for the request.
        """
        self.may_have_run = True
        if failure.reason is endpoint_response.EndpointFailureReason.TIMED_OUT:
            self._choice.avoid(candidate)
            return attempt_failure.AttemptFailure(
                Reason.ENDPOINT_FAILED, str(failure)
            )
        # A process that died may take connections for a moment yet.
        await asyncio.sleep(PROBE_DELAY_S)
        if await self._parts.pool.is_reachable(candidate.address):
            return attempt_failure.AttemptFailure(
                Reason.ENDPOINT_FAILED,
                str(failure),
                may_resume=self._request.is_stream,
            )
        return self._note_crash(candidate)

    def _note_crash(
        self, candidate: selection.Candidate
    ) -> attempt_failure.AttemptFailure:
        self._choice.mark_lost(candidate)
        self._crashes.add(candidate.name)
        return attempt_failure.AttemptFailure(
            Reason.ENDPOINT_FAILED, f'{candidate.name} crashed'
        )

    def judge_head(
        self,
        candidate: selection.Candidate,
        answer: endpoint_response.EndpointResponse,
        resumes: bool,
        given_status: int | None,
    ) -> attempt_failure.AttemptFailure | None:
        """Judge the head of an answer.

        :param candidate: the endpoint.
        :param answer: its answer.
        :param resumes: whether it was to resume the run.
        :param given_status: the status that the caller was given, if any.
        :returns: why the answer is of no use; None if it is.
        """
        told = answer.headers.get(outcomes.OUTCOME_HEADER, '')
        detail = f'{candidate.name} answered {answer.status}'
        if resumes and answer.status in (NOT_FOUND, CONFLICT):
            self._choice.avoid(candidate)
            return attempt_failure.AttemptFailure(
                Reason.ENDPOINT_FAILED, detail
            )
        is_error = answer.status >= SERVER_ERROR
        says_not_run = told == outcomes.Outcome.NOT_RUN.value
        if says_not_run and (is_error or answer.status == CONFLICT):
            self._choice.avoid(candidate)
            if not self.may_have_run:
                self._permission.undo()
            return attempt_failure.AttemptFailure(Reason.NO_ENDPOINT, detail)
        if is_error:
            self._choice.avoid(candidate)
            self.may_have_run = True
            return attempt_failure.AttemptFailure(
                Reason.ENDPOINT_FAILED, detail
            )
        if given_status not in (None, answer.status):
            self._choice.avoid(candidate)
            return attempt_failure.AttemptFailure(
                Reason.ENDPOINT_FAILED, detail
            )
        self.may_have_run = True
        return None
