"""Prefill time of a prompt block, estimated from first-token times."""

PRIOR_MS_PER_BLOCK = 1.0
PRIOR_WEIGHT = 50.0
SAMPLE_DECAY = 0.995


class PrefillCost:
    """Linear regression of first-token times on uncached blocks.

    The weight of older samples decays. Without samples the estimate is the
    prior.
    """

    __slots__ = ('_weight', '_sum_x', '_sum_y', '_sum_xx', '_sum_xy')

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum_x = 0.0
        self._sum_y = 0.0
        self._sum_xx = 0.0
        self._sum_xy = 0.0

    def add(self, uncached_blocks: int, first_token_ms: float) -> None:
        """Add a sample.

        :param uncached_blocks: the prompt's blocks that were not cached.
        :param first_token_ms: time from sending to the first token.
        """
        self._weight = SAMPLE_DECAY * self._weight + 1
        self._sum_x = SAMPLE_DECAY * self._sum_x + uncached_blocks
        self._sum_y = SAMPLE_DECAY * self._sum_y + first_token_ms
        self._sum_xx = (
            SAMPLE_DECAY * self._sum_xx + uncached_blocks * uncached_blocks
        )
        self._sum_xy = (
            SAMPLE_DECAY * self._sum_xy + uncached_blocks * first_token_ms
        )

    @property
    def ms_per_block(self) -> float:
        """Estimated prefill time of one block in milliseconds."""
        if not self._weight:
            return PRIOR_MS_PER_BLOCK
        block_variation = (
            self._sum_xx - self._sum_x * self._sum_x / self._weight
        )
        covariation = self._sum_xy - self._sum_x * self._sum_y / self._weight
        prior = PRIOR_WEIGHT * PRIOR_MS_PER_BLOCK
        return max(
            0.0, (covariation + prior) / (block_variation + PRIOR_WEIGHT)
        )
