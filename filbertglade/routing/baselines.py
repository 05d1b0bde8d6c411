"""Plain policies, against which the expected wait is measured."""

import random

from filbertglade.routing import selection


class RandomSelector(selection.Selector):
    """Takes any endpoint."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: list[selection.Candidate],
        features: selection.RequestFeatures,
    ) -> selection.Candidate | None:
        """Choose an endpoint at random.

        :param candidates: those that may run the request.
        :param features: the request.
        :returns: the choice; None if there is no candidate.
        """
        return self._rng.choice(candidates) if candidates else None


class RoundRobinSelector(selection.Selector):
    """Takes the endpoints in turn, from a random one on."""

    def __init__(self, rng: random.Random) -> None:
        self._turn = rng.randrange(1 << 16)

    def choose(
        self,
        candidates: list[selection.Candidate],
        features: selection.RequestFeatures,
    ) -> selection.Candidate | None:
        """Choose the endpoint whose turn it is.

        :param candidates: those that may run the request.
        :param features: the request.
        :returns: the choice; None if there is no candidate.
        """
        if not candidates:
            return None
        self._turn += 1
        ordered = sorted(candidates, key=lambda item: item.name)
        return ordered[self._turn % len(ordered)]


class LeastLoadSelector(selection.Selector):
    """Takes the least reported load; ties are broken at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: list[selection.Candidate],
        features: selection.RequestFeatures,
    ) -> selection.Candidate | None:
        """Choose the endpoint with the least reported load.

        :param candidates: those that may run the request.
        :param features: the request.
        :returns: the choice; None if there is no candidate.
        """
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda item: (
                (item.load.active + item.load.queued)
                / max(1, item.load.slots),
                self._rng.random(),
            ),
        )
