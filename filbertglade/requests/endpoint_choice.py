"""Choice of the endpoint that a request is sent to."""

import asyncio

from filbertglade import clock
from filbertglade.fleet import evacuated
from filbertglade.requests import attempt_failure
from filbertglade.requests import caller_request
from filbertglade.requests import execution_context
from filbertglade.requests import outcomes
from filbertglade.routing import candidates
from filbertglade.routing import selection

POLL_INTERVAL_MS = 50


class EndpointChoice:
    """Chooses a request's endpoint and reports how the endpoint did.

    :ivar candidate: the endpoint in use.
    :ivar chosen_ms: local clock when it was chosen.
    """

    def __init__(
        self,
        context: execution_context.ExecutionContext,
        request: caller_request.CallerRequest,
    ) -> None:
        self._context = context
        self._request = request
        self._features = selection.RequestFeatures(
            request.customer.name,
            request.call.body,
            request.prefix_hashes,
            request.target,
        )
        self._excluded: set[str] = set()
        self.candidate: selection.Candidate | None = None
        self.chosen_ms = 0

    async def wait_for_endpoint(self) -> bool:
        """Wait a short time for an endpoint to appear.

        :returns: whether there is one now that is not excluded.
        """
        if self.is_withheld:
            return False
        wait_ms = self._context.wait_limits.remaining_ms(self._request.target)
        end_ms = min(clock.now_ms() + wait_ms, self._request.deadline_ms)
        while (remaining_ms := end_ms - clock.now_ms()) > 0:
            await asyncio.sleep(min(remaining_ms, POLL_INTERVAL_MS) / 1000)
            if self._list_eligible():
                return True
        return False

    def choose(self) -> selection.Candidate | attempt_failure.AttemptFailure:
        """Choose an endpoint that is not excluded.

        :returns: the endpoint, or the failure if there is none.
        """
        candidate = self._context.selector.choose(
            self._list_eligible(), self._features
        )
        if candidate is None:
            evacuation = self._context.fleet.find_evacuation(
                self._request.target, self._request.is_service
            )
            if evacuation:
                return attempt_failure.AttemptFailure(
                    outcomes.RefusalReason.EVACUATED,
                    evacuated.describe(evacuation),
                    is_final=True,
                    retry_after_ms=evacuated.RETRY_AFTER_MS,
                )
            return attempt_failure.AttemptFailure(
                outcomes.RefusalReason.NO_ENDPOINT,
                f'no endpoint serves {self._request.target!r} now',
                is_final=True,
                retry_after_ms=self.retry_after_ms,
            )
        self._context.wait_limits.note_served(self._request.target)
        self.candidate = candidate
        self.chosen_ms = clock.now_ms()
        self._context.selector.note_started(candidate, self._features)
        return candidate

    def _list_eligible(self) -> list[selection.Candidate]:
        listed = self._list_candidates()
        return self._context.permitted.select(
            [item for item in listed if item.name not in self._excluded]
        )

    def _find_retry_after_ms(self) -> int | None:
        return self._context.permitted.find_retry_after_ms(
            self._list_candidates()
        )

    @property
    def is_withheld(self) -> bool:
        """Whether statements of all endpoints leave none to choose."""
        return (
            self._find_retry_after_ms() is not None
            and not self._list_eligible()
        )

    @property
    def retry_after_ms(self) -> int:
        """After how many milliseconds a caller who is refused may retry."""
        return self._find_retry_after_ms() or outcomes.RETRY_AFTER_MS

    def may_send(
        self, candidate: selection.Candidate, is_resumption: bool
    ) -> bool:
        """Return whether a chosen endpoint may still be sent the request.

        :param candidate: the endpoint.
        :param is_resumption: whether the request resumes a run on it.
        """
        permitted = self._context.permitted
        if permitted.is_paused(candidate) or self.is_evacuated(candidate):
            return False
        if is_resumption or not permitted.is_leaving(candidate):
            return True
        return any(
            item.incarnation == candidate.incarnation
            for item in self._list_eligible()
        )

    def is_evacuated(self, candidate: selection.Candidate) -> bool:
        """Return whether a host of an endpoint is in an evacuated data centre.

        :param candidate: the endpoint.
        """
        fleet = self._context.fleet
        # The view may be newer than the candidate.
        places = fleet.find_places(candidate.name, self._request.is_service)
        return fleet.evacuated.affects((*candidate.data_centres, *places))

    def _list_candidates(self) -> list[selection.Candidate]:
        request = self._request
        fleet = self._context.fleet
        if request.is_service:
            return candidates.list_worker_candidates(fleet, request.target)
        return candidates.list_group_candidates(fleet, request.target)

    def release(self, tokens: int) -> None:
        """Release the endpoint and report the work done to the selector.

        :param tokens: the number of tokens received.
        """
        candidate, self.candidate = self.candidate, None
        if candidate is not None:
            took_ms = clock.now_ms() - self.chosen_ms
            self._context.selector.note_finished(
                candidate, self._features, tokens, took_ms
            )

    def exclude(self, candidate: selection.Candidate) -> None:
        """Exclude an endpoint from further choices.

        :param candidate: the endpoint.
        """
        self._excluded.add(candidate.name)

    def report_lost(self, candidate: selection.Candidate) -> None:
        """Report to this node and the control hosts that an endpoint is lost.

        :param candidate: the endpoint.
        """
        context = self._context
        self.exclude(candidate)
        if self._request.is_service:
            context.fleet.mark_worker_lost(candidate.host, candidate.run)
        else:
            context.fleet.mark_group_lost(candidate.name, candidate.epoch)
        context.attached.report_loss(candidate.host, candidate.run)
        context.counters.count('endpoints_lost')
