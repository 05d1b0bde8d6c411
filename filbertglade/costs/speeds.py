"""Speeds of targets, from the times of the answers that this host forwards."""

import math

from filbertglade.costs import decayed
from filbertglade.forwarding import targets

# Half-life of an observation, in ms: endpoints are slow for some seconds
# after a start.
HALF_LIFE_MS = 5_000
# Most targets of which the speed is kept.
MAX_TARGETS = 1024
# Observations that count as much as the assumption of the normal speed.
PRIOR_WEIGHT = 3.0
# Bounds of the factor by which a target's times may exceed the expected ones.
MIN_FACTOR = 0.5
MAX_FACTOR = 8.0


class TargetSpeeds:
    """Learns by which factor each target's times exceed the expected ones.

    What is known of a target that gets no requests decays, so that it is
    tried again.
    """

    def __init__(self) -> None:
        self._factors = decayed.DecayedMeans(MAX_TARGETS, HALF_LIFE_MS)

    def __len__(self) -> int:
        return len(self._factors)

    def record(
        self, target: targets.Target, expected_ms: float, taken_ms: float
    ) -> None:
        """Record how long a request took.

        :param target: its target.
        :param expected_ms: how long it should have taken there.
        :param taken_ms: how long it took.
        """
        if expected_ms <= 0 or taken_ms <= 0:
            return
        factor = min(MAX_FACTOR, max(MIN_FACTOR, taken_ms / expected_ms))
        self._factors.add(target.key, math.log(factor))

    def get_factor(self, target: targets.Target) -> float:
        """Return by which factor a target's times exceed the expected ones.

        :param target: the target.
        """
        return math.exp(self._factors.shrink(target.key, 0.0, PRIOR_WEIGHT))
