"""Which endpoints may be sent requests, by what they have stated."""

from collections import abc
import random

from filbertglade.fleet import statements
from filbertglade.requests import outcomes
from filbertglade.routing import selection

# Callers that are refused together are told times up to so much longer than
# that until the next endpoint may be asked.
RETRY_SPREAD = 0.25
# Most incarnations that are noted: each of two kinds of statements is kept of
# so many at most.
MAX_NOTED = 2 * statements.MAX_ENDPOINTS


class PermittedEndpoints:
    """Which endpoints may be sent requests, by what they have stated.

    An endpoint that wants a pause is sent nothing until its time is over, and
    one that leaves nothing new while another one may be sent it.

    :param stated: the statements of endpoints.
    :param rng: the process's random number generator.
    """

    def __init__(
        self, stated: statements.EndpointStatements, rng: random.Random
    ) -> None:
        self._stated = stated
        self._rng = rng
        # Incarnations that have stated something, in the order of the first
        # time: most endpoints never do.
        self._noted: dict[str, None] = {}

    def read(
        self,
        candidate: selection.Candidate,
        status: int,
        headers: abc.Mapping[str, str],
    ) -> None:
        """Read what the head of a response states of its endpoint.

        :param candidate: the endpoint that was asked.
        :param status: the response's status.
        :param headers: its headers, by names in any case.
        """
        key = candidate.incarnation
        self._stated.read(key, status, headers)
        if self.is_leaving(candidate) or self.is_paused(candidate):
            self._noted[key] = None
            if len(self._noted) > MAX_NOTED:
                del self._noted[next(iter(self._noted))]

    def select(
        self, candidates: list[selection.Candidate]
    ) -> list[selection.Candidate]:
        """Select the endpoints that may be sent a new request now.

        :param candidates: the endpoints that could run it.
        :returns: those of which one may be chosen.
        """
        if not self._noted:
            return candidates
        stated = self._stated
        staying, returning, last = [], [], []
        for item in candidates:
            key = item.incarnation
            if key not in self._noted:
                staying.append(item)
            elif stated.find_pause_ms(key):
                continue
            elif self.is_leaving(item):
                if stated.is_last_resort(key):
                    last.append(item)
            elif stated.is_returning(key):
                returning.append(item)
            else:
                staying.append(item)
        return staying or returning or last

    def is_leaving(self, candidate: selection.Candidate) -> bool:
        """Return whether an endpoint has stated that it leaves.

        :param candidate: the endpoint.
        """
        age_ms = self._stated.find_leaving_age_ms(candidate.incarnation)
        return age_ms is not None

    def is_paused(self, candidate: selection.Candidate) -> bool:
        """Return whether an endpoint wants nothing from this node now.

        :param candidate: the endpoint.
        """
        return self._stated.find_pause_ms(candidate.incarnation) > 0

    def find_retry_after_ms(
        self, candidates: list[selection.Candidate]
    ) -> int | None:
        """Return when a caller may retry if statements leave no endpoint.

        :param candidates: the endpoints that could run its request.
        :returns: milliseconds; None unless all of them, and at least one,
            leave or want a pause.
        """
        pauses_ms = []
        for item in candidates:
            pause_ms = self._stated.find_pause_ms(item.incarnation)
            if self.is_leaving(item):
                # Another endpoint or incarnation has to come first.
                pause_ms = max(pause_ms, outcomes.RETRY_AFTER_MS)
            if not pause_ms:
                return None
            pauses_ms.append(pause_ms)
        if not pauses_ms:
            return None
        spread = 1 + RETRY_SPREAD * self._rng.random()
        return int(min(pauses_ms) * spread)
