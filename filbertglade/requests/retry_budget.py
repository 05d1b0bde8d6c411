"""The budget that keeps retries a small part of all traffic."""

from filbertglade.observability import metrics

RETRY_SHARE = 0.1
RESERVE = 10.0
RESERVE_LIMIT = 100.0
FURTHER_TRIES = 2


class RetryBudget:
    """Allows one further try for every ten requests."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._left = RESERVE

    def note_request(self) -> None:
        """Note one request of a caller."""
        self._left = min(self._left + RETRY_SHARE, RESERVE_LIMIT)

    def take(self) -> bool:
        """Take one further try.

        :returns: whether the budget allows it.
        """
        if self._left < 1:
            self._counters.count('retries_denied')
            return False
        self._left -= 1
        self._counters.count('retries')
        return True
