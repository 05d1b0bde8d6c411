"""Requests that wait or are refused, as hosts tell each other."""

from collections import abc

from filbertglade import clock
from filbertglade.inner import fleet_pb2

# Time in which the weight of a request falls to a half, in ms.
HALF_LIFE_MS = 700
# Rate of a weight of 1 that halves in this time, in requests a second.
RATE_PER_WEIGHT = 0.693 / (HALF_LIFE_MS / 1000)
# Rate below which a key is forgotten.
MIN_PER_S = 0.02


class UnservedDemand:
    """What this host could not serve in time, by priority and model."""

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._decayed_ms = 0

    def record(self, priority: int, model: str) -> None:
        """Record a request that waits or is refused.

        :param priority: its priority.
        :param model: the model.
        """
        self._decay()
        key = make_key(priority, model)
        self._weights[key] = self._weights.get(key, 0.0) + 1.0

    def read(self) -> dict[str, float]:
        """Return the requests a second, by priority and model."""
        self._decay()
        return {
            key: round(weight * RATE_PER_WEIGHT, 3)
            for key, weight in self._weights.items()
        }

    def _decay(self) -> None:
        now_ms = clock.now_ms()
        factor = 0.5 ** ((now_ms - self._decayed_ms) / HALF_LIFE_MS)
        self._decayed_ms = now_ms
        self._weights = {
            key: weight * factor
            for key, weight in self._weights.items()
            if weight * factor * RATE_PER_WEIGHT > MIN_PER_S
        }


def make_key(priority: int, model: str) -> str:
    """Return the key of a priority and a model.

    :param priority: the priority.
    :param model: the model.
    """
    return f'{priority}:{model}'


def add_up(
    reports: abc.Iterable[fleet_pb2.WatchReport],
) -> dict[str, float]:
    """Return what all hosts together could not serve in time.

    :param reports: their latest reports.
    """
    totals: dict[str, float] = {}
    for report in reports:
        for key, per_s in report.unserved_per_s.items():
            totals[key] = totals.get(key, 0.0) + per_s
    return totals
