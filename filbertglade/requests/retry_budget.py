"""Budget that limits retries to a small fraction of the traffic."""

from filbertglade.observability import metrics

RETRY_FRACTION = 0.1
INITIAL_BUDGET = 10.0
MAX_BUDGET = 100.0
MAX_RETRIES = 2


class RetryBudget:
    """Allows one retry for every ten requests, plus a reserve."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._remaining = INITIAL_BUDGET

    def note_request(self) -> None:
        """Add the budget of one request."""
        self._remaining = min(self._remaining + RETRY_FRACTION, MAX_BUDGET)

    def take(self) -> bool:
        """Take one retry.

        :returns: whether the budget allows it.
        """
        if self._remaining < 1:
            self._counters.count('retries_denied')
            return False
        self._remaining -= 1
        self._counters.count('retries')
        return True
