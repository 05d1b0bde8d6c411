"""Limits a node's retries to its part of the quota of all nodes."""

import collections

from filbertglade import clock
from filbertglade.settings import gateway

# Fraction of the quota that nodes use. The margin is needed because each node
# counts only the requests that it received, while the quota bounds the sum
# over all nodes in any window.
USED_FRACTION = 0.6


class _SlidingWindow:
    """Counts events within a sliding time window."""

    __slots__ = ('_times_ms', '_window_ms')

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._times_ms: collections.deque[int] = collections.deque()

    def add(self) -> None:
        self._times_ms.append(clock.now_ms())

    def count(self) -> int:
        oldest_ms = clock.now_ms() - self._window_ms
        while self._times_ms and self._times_ms[0] < oldest_ms:
            self._times_ms.popleft()
        return len(self._times_ms)


class RetryQuota:
    """Counts the requests and retries of each service against the quota.

    :param settings: the quota of all nodes together.
    """

    def __init__(self, settings: gateway.RetryQuotaSettings) -> None:
        self._settings = settings
        self._requests: dict[str, _SlidingWindow] = {}
        self._retries: dict[str, _SlidingWindow] = {}

    def record_request(self, service: str) -> None:
        """Count a request for a service.

        :param service: the service's name.
        """
        self._get_window(self._requests, service).add()

    def count_remaining(self, service: str, entry_nodes: int) -> int:
        """Return how many retries this node may send now.

        :param service: the service's name.
        :param entry_nodes: nodes that share the slack.
        """
        settings = self._settings
        requests = self._get_window(self._requests, service).count()
        retries = self._get_window(self._retries, service).count()
        slack = settings.slack / max(1, entry_nodes)
        allowed = USED_FRACTION * (settings.ratio * requests + slack)
        return int(allowed - retries)

    def take(self, service: str, entry_nodes: int) -> bool:
        """Count a retry, if one may be sent.

        :param service: the service's name.
        :param entry_nodes: nodes that share the slack.
        :returns: whether the retry may be sent.
        """
        if self.count_remaining(service, entry_nodes) < 1:
            return False
        self._get_window(self._retries, service).add()
        return True

    def _get_window(
        self, windows: dict[str, _SlidingWindow], service: str
    ) -> _SlidingWindow:
        window = windows.get(service)
        if window is None:
            window = _SlidingWindow(self._settings.window_ms)
            windows[service] = window
        return window
