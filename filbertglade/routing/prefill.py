"""Time that the prefill of a prompt's block takes, learned from answers."""

PRIOR_MS_PER_BLOCK = 1.0
PRIOR_WEIGHT = 50.0
DECAY = 0.995


class PrefillCost:
    """Regression of first-token times on uncached blocks.

    Older samples count less. Without samples it gives a prior.
    """

    __slots__ = ('_weight', '_x', '_y', '_xx', '_xy')

    def __init__(self) -> None:
        self._weight = 0.0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0

    def add(self, uncached_blocks: int, first_token_ms: float) -> None:
        """Add a sample.

        :param uncached_blocks: the prompt's blocks that were not cached.
        :param first_token_ms: time from sending to the first token.
        """
        self._weight = DECAY * self._weight + 1
        self._x = DECAY * self._x + uncached_blocks
        self._y = DECAY * self._y + first_token_ms
        self._xx = DECAY * self._xx + uncached_blocks * uncached_blocks
        self._xy = DECAY * self._xy + uncached_blocks * first_token_ms

    @property
    def ms_per_block(self) -> float:
        """Milliseconds that one cached block saves."""
        if not self._weight:
            return PRIOR_MS_PER_BLOCK
        spread = self._xx - self._x * self._x / self._weight
        together = self._xy - self._x * self._y / self._weight
        prior = PRIOR_WEIGHT * PRIOR_MS_PER_BLOCK
        return max(0.0, (together + prior) / (spread + PRIOR_WEIGHT))
