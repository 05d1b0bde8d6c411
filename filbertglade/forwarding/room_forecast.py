"""Expects when there will be room, by the arrivals of the last periods."""

import collections
import random

from filbertglade import clock

# Time for which arrivals are added up, in ms.
BIN_MS = 500
# Bins that are remembered: three periods of a wave of 20 s.
KEPT_BINS = 120
# Periods that are looked for, in bins: 4 to 20 s.
MIN_PERIOD_BINS = 8
MAX_PERIOD_BINS = 40
# Bins on either side that a bin is averaged with: a host receives few
# requests in half a second.
SMOOTHING_BINS = 2
# Largest mean difference between two periods of a wave, as a fraction of the
# mean difference from the mean. For random arrivals it is above 1.
MAX_DIFFERENCE = 0.7
# Least weight of a time, as a fraction of the largest number of arrivals.
MIN_WEIGHT = 0.1
# Times among which one is chosen, in ms.
SLOT_MS = 100


class RoomForecast:
    """Arrivals at this host, and the times at which they will be fewest."""

    def __init__(self) -> None:
        self._counts: collections.deque[int] = collections.deque(
            [0], maxlen=KEPT_BINS
        )
        # None before the first arrival: no bins before it are known.
        self._last_bin: int | None = None
        # Of the present bin: smoothed counts, and the period; 0 without one.
        self._smoothed: list[float] = []
        self._period = 0

    def record(self) -> None:
        """Record an arrival."""
        self._advance()
        self._counts[-1] += 1

    def choose_delay_s(
        self, least_s: float, most_s: float, rng: random.Random
    ) -> float:
        """Choose when a refused caller returns, in s.

        Times with fewer expected arrivals are chosen more often. Without a
        period in the arrivals all times are equally likely.

        :param least_s: the earliest time.
        :param most_s: the latest time.
        :param rng: the process's random number generator.
        """
        self._advance()
        if not self._period or most_s <= least_s:
            return rng.uniform(least_s, max(least_s, most_s))
        steps = max(1, int((most_s - least_s) * 1000 / SLOT_MS))
        starts_s = [
            least_s + (most_s - least_s) * step / steps
            for step in range(steps)
        ]
        largest = max(self._smoothed)
        weights = [
            max(largest * MIN_WEIGHT, largest - self._expect(start_s))
            for start_s in starts_s
        ]
        chosen_s = rng.choices(starts_s, weights)[0]
        return chosen_s + rng.uniform(0, (most_s - least_s) / steps)

    def _expect(self, delay_s: float) -> float:
        ahead = int(delay_s * 1000 / BIN_MS) % self._period
        return self._smoothed[len(self._smoothed) - 1 - self._period + ahead]

    def _advance(self) -> None:
        current = clock.now_ms() // BIN_MS
        if self._last_bin is None:
            self._last_bin = current
        passed = current - self._last_bin
        if not passed:
            return
        self._last_bin = current
        self._counts.extend([0] * min(KEPT_BINS, passed))
        self._smoothed = self._smooth()
        self._period = self._find_period()

    def _smooth(self) -> list[float]:
        counts = list(self._counts)[:-1]
        smoothed = []
        for position in range(len(counts)):
            near = counts[max(0, position - SMOOTHING_BINS) :][
                : 2 * SMOOTHING_BINS + 1
            ]
            smoothed.append(sum(near) / len(near))
        return smoothed

    def _find_period(self) -> int:
        """Return the period of the arrivals in bins; 0 without one."""
        series = self._smoothed
        if len(series) < 2 * MIN_PERIOD_BINS or not any(series):
            return 0
        mean = sum(series) / len(series)
        spread = sum(abs(value - mean) for value in series) / len(series)
        best, best_lag = MAX_DIFFERENCE * spread, 0
        for lag in range(
            MIN_PERIOD_BINS, min(MAX_PERIOD_BINS, len(series) // 2) + 1
        ):
            pairs = list(zip(series[lag:], series, strict=False))
            difference = sum(abs(a - b) for a, b in pairs) / len(pairs)
            if difference < best:
                best, best_lag = difference, lag
        return best_lag
