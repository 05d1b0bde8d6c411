"""Tells by their deadlines which requests callers send once more."""

import collections
import statistics

# Fraction of a route's longest deadline above which no deadline is short.
RETRY_DEADLINE_FRACTION = 0.95
# Latest deadlines of a route that are remembered.
REMEMBERED_DEADLINES = 101
# Error of the shortest deadline of first requests, as estimated from so many,
# as a fraction of the longest one.
ESTIMATE_ERROR = 0.02


class DeadlineTracker:
    """Tracks the deadlines that callers of each route have sent lately.

    A caller that retries a request has less time left than at first. First
    requests may have different deadlines: these are taken to lie as far below
    the median as the longest one lies above it. Where retries are many, they
    lower the median, so that fewer requests count as retries.
    """

    def __init__(self) -> None:
        self._latest_ms: dict[str, collections.deque[int]] = {}

    def copy_state(self) -> 'DeadlineTracker':
        """Return a copy; what it records isn't recorded here."""
        other = DeadlineTracker()
        other._latest_ms = {
            route: latest_ms.copy()
            for route, latest_ms in self._latest_ms.items()
        }
        return other

    def is_short(self, route: str, deadline_ms: int) -> bool:
        """Record a deadline; return whether it is shorter than first ones are.

        :param route: the route's name.
        :param deadline_ms: the deadline that the caller sent, in ms from now.
        """
        latest_ms = self._latest_ms.setdefault(
            route, collections.deque(maxlen=REMEMBERED_DEADLINES)
        )
        latest_ms.append(deadline_ms)
        longest_ms = max(latest_ms)
        if deadline_ms >= RETRY_DEADLINE_FRACTION * longest_ms:
            return False
        shortest_ms = 2 * statistics.median(latest_ms) - longest_ms
        return deadline_ms < shortest_ms - ESTIMATE_ERROR * longest_ms
