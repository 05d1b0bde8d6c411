"""A node's part of the retries that all nodes together may send."""

import collections

from filbertglade import clock
from filbertglade.settings import gateway

# Part of the quota that nodes use: requests are counted where they were
# received, and the bound holds for the sum over all nodes in any window.
USED_SHARE = 0.6


class _Window:
    """Times of the last window's events."""

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
    """Counts requests and retries of each service.

    :param settings: the quota of all nodes together.
    """

    def __init__(self, settings: gateway.RetryQuota) -> None:
        self._settings = settings
        self._requests: dict[str, _Window] = {}
        self._retries: dict[str, _Window] = {}

    def note_request(self, service: str) -> None:
        """Count a request for a service.

        :param service: the service's name.
        """
        self._find(self._requests, service).add()

    def count_left(self, service: str, entry_nodes: int) -> int:
        """Return how many retries this node may send now.

        :param service: the service's name.
        :param entry_nodes: nodes that share the slack.
        """
        settings = self._settings
        requests = self._find(self._requests, service).count()
        retries = self._find(self._retries, service).count()
        slack = settings.slack / max(1, entry_nodes)
        allowed = USED_SHARE * (settings.ratio * requests + slack)
        return int(allowed - retries)

    def take(self, service: str, entry_nodes: int) -> bool:
        """Count a retry, if one may be sent.

        :param service: the service's name.
        :param entry_nodes: nodes that share the slack.
        :returns: whether it may.
        """
        if self.count_left(service, entry_nodes) < 1:
            return False
        self._find(self._retries, service).add()
        return True

    def _find(self, windows: dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = _Window(self._settings.window_ms)
            windows[service] = window
        return window
