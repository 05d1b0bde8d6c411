"""The endpoint that a request is sent to, and those it avoids."""

from filbertglade import clock
from filbertglade.requests import caller
from filbertglade.requests import outcomes
from filbertglade.requests import parts as execution_parts
from filbertglade.requests import setbacks
from filbertglade.routing import candidates
from filbertglade.routing import selection


class EndpointChoice:
    """Chooses a request's endpoint, and tells of it what became known.

    :ivar candidate: the endpoint in use.
    :ivar sent_ms: local clock when it was chosen.
    """

    def __init__(
        self,
        parts: execution_parts.ExecutionParts,
        request: caller.CallerRequest,
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

    def choose(self) -> selection.Candidate | setbacks.Setback:
        """Choose an endpoint that is not avoided.

        :returns: the endpoint, or that there is none.
        """
        listed = self._list_candidates()
        open_ones = [item for item in listed if item.name not in self._avoided]
        candidate = self._parts.selector.choose(open_ones, self._work)
        if candidate is None:
            return setbacks.Setback(
                outcomes.RefusalReason.NO_ENDPOINT,
                f'no endpoint serves {self._request.target!r} now',
                is_final=True,
            )
        self.candidate = candidate
        self.sent_ms = clock.now_ms()
        self._parts.selector.note_started(candidate, self._work)
        return candidate

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
