"""Baseline policies to which the expected-wait policy is compared."""

import random

from filbertglade.routing import selection


class RandomSelector(selection.Selector):
    """Chooses an endpoint at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: list[selection.Candidate],
        features: selection.RequestFeatures,
    ) -> selection.Candidate | None:
        """Choose an endpoint at random.

        :param candidates: the endpoints that may run the request.
        :param features: the request's features.
        :returns: the chosen endpoint; None without candidates.
        """
        return self._rng.choice(candidates) if candidates else None


class RoundRobinSelector(selection.Selector):
    """Chooses the endpoints in turn, starting at a random one."""

    def __init__(self, rng: random.Random) -> None:
        self._turn = rng.randrange(1 << 16)

    def choose(
        self,
        candidates: list[selection.Candidate],
        features: selection.RequestFeatures,
    ) -> selection.Candidate | None:
        """Choose the endpoint whose turn it is.

        :param candidates: the endpoints that may run the request.
        :param features: the request's features.
        :returns: the chosen endpoint; None without candidates.
        """
        if not candidates:
            return None
        self._turn += 1
        ordered = sorted(candidates, key=lambda item: item.name)
        return ordered[self._turn % len(ordered)]


class LeastLoadSelector(selection.Selector):
    """Chooses the least reported load per slot; breaks ties at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: list[selection.Candidate],
        features: selection.RequestFeatures,
    ) -> selection.Candidate | None:
        """Choose the endpoint with the least reported load.

        :param candidates: the endpoints that may run the request.
        :param features: the request's features.
        :returns: the chosen endpoint; None without candidates.
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
