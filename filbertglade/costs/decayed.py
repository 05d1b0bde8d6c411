"""Decayed means in bounded tables.

An HDR histogram forgets nothing and takes 2 KB or more for each key. A mean
and a weight take 100 bytes, and the estimates need no other quantile.
"""

import collections
from collections import abc
import math

from filbertglade import clock

# Shortest time over which a rate is taken, in ms: the first requests after a
# start tell little of it.
MIN_SPAN_MS = 500


class DecayedMean:
    """A mean in which older values weigh less.

    :param half_life_ms: age at which a value has half of its weight.
    """

    __slots__ = ('_half_life_ms', '_updated_ms', '_weight', 'mean')

    def __init__(self, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._updated_ms = 0
        self._weight = 0.0
        self.mean = 0.0

    def get_weight(self) -> float:
        """Return how many new values the recorded ones count as."""
        if not self._weight:
            return 0.0
        age_ms = max(0, clock.now_ms() - self._updated_ms)
        return float(self._weight * 0.5 ** (age_ms / self._half_life_ms))

    def add(self, value: float) -> None:
        """Record a value.

        :param value: the value.
        """
        self._weight = self.get_weight() + 1.0
        self._updated_ms = clock.now_ms()
        self.mean += (value - self.mean) / self._weight

    def shrink(self, prior: float, prior_weight: float) -> float:
        """Return the mean, drawn to a prior while few values are known.

        :param prior: the prior.
        :param prior_weight: how many values the prior counts as.
        """
        weight = self.get_weight()
        return (weight * self.mean + prior_weight * prior) / (
            weight + prior_weight
        )


class DecayedMeans:
    """Decayed means by key; the least recently used are evicted.

    :param max_keys: most keys.
    :param half_life_ms: half-life of the values.
    """

    def __init__(self, max_keys: int, half_life_ms: float) -> None:
        self._max_keys = max_keys
        self._half_life_ms = half_life_ms
        self._means: collections.OrderedDict[abc.Hashable, DecayedMean] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._means)

    def get(self, key: abc.Hashable) -> DecayedMean | None:
        """Return the mean of a key; None if nothing is known of it.

        :param key: the key.
        """
        return self._means.get(key)

    def add(self, key: abc.Hashable, value: float) -> None:
        """Record a value.

        :param key: its key.
        :param value: the value.
        """
        mean = self._means.get(key)
        if mean is None:
            mean = self._means[key] = DecayedMean(self._half_life_ms)
            if len(self._means) > self._max_keys:
                self._means.popitem(last=False)
        self._means.move_to_end(key)
        mean.add(value)

    def shrink(
        self, key: abc.Hashable, prior: float, prior_weight: float
    ) -> float:
        """Return the mean of a key, drawn to a prior.

        :param key: the key.
        :param prior: the prior.
        :param prior_weight: how many values the prior counts as.
        """
        mean = self._means.get(key)
        return mean.shrink(prior, prior_weight) if mean else prior


class DecayedRates:
    """Amounts per ms by key, of the latest time.

    :param half_life_ms: half-life of the amounts.
    """

    # Models of a document are few; keys beyond this share one rate.
    MAX_KEYS = 64

    def __init__(self, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._started_ms: dict[str, int] = {}
        self._amounts: dict[str, tuple[int, float]] = {}

    def add(self, key: str, amount: float) -> None:
        """Add an amount.

        :param key: its key.
        :param amount: the amount.
        """
        if key not in self._amounts and len(self._amounts) >= self.MAX_KEYS:
            key = ''
        now_ms = clock.now_ms()
        self._started_ms.setdefault(key, now_ms)
        self._amounts[key] = (now_ms, self._get_decayed(key) + amount)

    def get_per_ms(self, key: str) -> float:
        """Return the amount per ms.

        :param key: the key.
        """
        if key not in self._amounts:
            return 0.0
        # The integral of the weights: less than the whole in the beginning.
        age_ms = max(1, clock.now_ms() - self._started_ms[key])
        mean_life_ms = self._half_life_ms / math.log(2)
        span_ms = mean_life_ms * -math.expm1(-age_ms / mean_life_ms)
        return self._get_decayed(key) / max(MIN_SPAN_MS, span_ms)

    def _get_decayed(self, key: str) -> float:
        updated_ms, amount = self._amounts.get(key, (clock.now_ms(), 0.0))
        age_ms = clock.now_ms() - updated_ms
        return float(amount * 0.5 ** (age_ms / self._half_life_ms))
