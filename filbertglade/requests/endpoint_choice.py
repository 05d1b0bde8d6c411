"""The endpoint that a request is sent to, and those it avoids."""

import asyncio

from filbertglade import clock
from filbertglade.requests import attempt_failure
from filbertglade.requests import caller_request
from filbertglade.requests import execution_context
from filbertglade.requests import outcomes
from filbertglade.routing import candidates
from filbertglade.routing import selection

LOOK_INTERVAL_MS = 50


class EndpointChoice:
    """Chooses a request's endpoint, and tells of it what became known.

    :ivar candidate: the endpoint in use.
    :ivar sent_ms: local clock when it was chosen.
    """

    def __init__(
        self,
        parts: execution_context.ExecutionContext,
        request: caller_request.CallerRequest,
    ) -> None:
        self._parts = parts
        self._request = request
        self._work = selection.Work(
            request.customer.name,
            request.call.body,
            request.prefix_hashes,
            request.target,
        )
        self._avoided: set[str] = set()
        self.candidate: selection.Candidate | None = None
        self.sent_ms = 0

    async def wait_for_endpoint(self) -> bool:
        """Wait out a short time without an endpoint.

        :returns: whether there is one now that is not avoided.
        """
        gap_ms = self._parts.gaps.left_ms(self._request.target)
        end_ms = min(clock.now_ms() + gap_ms, self._request.deadline_ms)
        while (left_ms := end_ms - clock.now_ms()) > 0:
            await asyncio.sleep(min(left_ms, LOOK_INTERVAL_MS) / 1000)
            if self._list_open():
                return True
        return False

    def choose(self) -> selection.Candidate | attempt_failure.AttemptFailure:
        """Choose an endpoint that is not avoided.

        :returns: the endpoint, or that there is none.
        """
        candidate = self._parts.selector.choose(self._list_open(), self._work)
        if candidate is None:
            return attempt_failure.AttemptFailure(
                outcomes.RefusalReason.NO_ENDPOINT,
                f'no endpoint serves {self._request.target!r} now',
                is_final=True,
            )
        self._parts.gaps.note_served(self._request.target)
        self.candidate = candidate
        self.sent_ms = clock.now_ms()
        self._parts.selector.note_started(candidate, self._work)
        return candidate

    def _list_open(self) -> list[selection.Candidate]:
        listed = self._list_candidates()
        return [item for item in listed if item.name not in self._avoided]

    def _list_candidates(self) -> list[selection.Candidate]:
        request = self._request
        fleet = self._parts.fleet
        if request.is_service:
            return candidates.list_worker_candidates(fleet, request.target)
        return candidates.list_group_candidates(fleet, request.target)

    def leave(self, tokens: int) -> None:
        """Use the endpoint no longer.

        :param tokens: how many tokens came.
        """
        candidate, self.candidate = self.candidate, None
        if candidate is not None:
            took_ms = clock.now_ms() - self.sent_ms
            self._parts.selector.note_finished(
                candidate, self._work, tokens, took_ms
            )

    def avoid(self, candidate: selection.Candidate) -> None:
        """Choose an endpoint no more.

        :param candidate: the endpoint.
        """
        self._avoided.add(candidate.name)

    def mark_lost(self, candidate: selection.Candidate) -> None:
        """Tell the node and the control hosts that an endpoint is lost.

        :param candidate: the endpoint.
        """
        parts = self._parts
        self.avoid(candidate)
        if self._request.is_service:
            parts.fleet.mark_worker_lost(candidate.host, candidate.run)
        else:
            parts.fleet.mark_group_lost(candidate.name, candidate.epoch)
        parts.attached.report_loss(candidate.host, candidate.run)
        parts.counters.count('endpoints_lost')
