"""Exponentially decaying rates and smoothed durations."""

import math

from filbertglade import clock

TIME_CONSTANT_MS = 5000


class DecayingRate:
    """Events per second, weighted down exponentially by age."""

    __slots__ = ('_value', '_updated_ms')

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_ms = clock.now_ms()

    def add(self, amount: float = 1.0) -> None:
        """Add events at the current time.

        :param amount: number of events.
        """
        self._decay()
        self._value += amount * 1000 / TIME_CONSTANT_MS

    def read(self) -> float:
        """Return the rate in events per second."""
        self._decay()
        return self._value

    def _decay(self) -> None:
        now_ms = clock.now_ms()
        if now_ms == self._updated_ms:
            return
        self._value *= math.exp((self._updated_ms - now_ms) / TIME_CONSTANT_MS)
        self._updated_ms = now_ms


class SmoothedDuration:
    """A smoothed duration and its mean deviation, in milliseconds."""

    __slots__ = ('value_ms', 'deviation_ms', '_samples')

    SMOOTHING = 0.05

    def __init__(self, first_ms: float) -> None:
        self.value_ms = first_ms
        self.deviation_ms = 0.0
        self._samples = 0

    def add(self, value_ms: float) -> None:
        """Add a sample.

        :param value_ms: the sample in milliseconds.
        """
        self._samples += 1
        weight = max(self.SMOOTHING, 1 / self._samples)
        error_ms = value_ms - self.value_ms
        self.value_ms += weight * error_ms
        self.deviation_ms += weight * (abs(error_ms) - self.deviation_ms)
