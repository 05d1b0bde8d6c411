"""Divides scarce room among customers or routes by max-min fairness."""

from filbertglade import clock

# Time in which the weight of an arrival falls to a half, in ms: shorter than
# half of a wave of load, and long enough for some arrivals of most customers
# at one host.
HALF_LIFE_MS = 4000
# Arrivals of more keys than this are counted together.
MAX_KEYS = 256
# Weight below which a key is forgotten.
MIN_WEIGHT = 0.05


class FairShares:
    """Recent arrivals by key, and what part of them scarce room allows."""

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._decayed_ms = 0

    def record(self, key: str) -> None:
        """Record an arrival.

        :param key: whose it is.
        """
        self._decay()
        if key not in self._weights and len(self._weights) >= MAX_KEYS:
            key = ''
        self._weights[key] = self._weights.get(key, 0.0) + 1.0

    def find_fraction(self, key: str, fraction: float) -> float:
        """Return the fraction of a key's requests that fits.

        Keys with few requests keep all of them, as long as those with more
        have more left.

        :param key: the key.
        :param fraction: the fraction of all requests that fits.
        """
        self._decay()
        weight = self._weights.get(key, 0.0)
        if not weight or fraction >= 1.0:
            return min(1.0, fraction) if weight else 1.0
        left = fraction * sum(self._weights.values())
        ordered = sorted(self._weights.values())
        level = 0.0
        for position, smaller in enumerate(ordered):
            level = left / (len(ordered) - position)
            if smaller >= level:
                break
            left -= smaller
        return min(1.0, level / weight)

    def _decay(self) -> None:
        now_ms = clock.now_ms()
        passed_ms = now_ms - self._decayed_ms
        # Decay in steps saves work under load.
        if passed_ms < HALF_LIFE_MS / 20:
            return
        self._decayed_ms = now_ms
        factor = 0.5 ** (passed_ms / HALF_LIFE_MS)
        self._weights = {
            key: weight * factor
            for key, weight in self._weights.items()
            if weight * factor > MIN_WEIGHT
        }
