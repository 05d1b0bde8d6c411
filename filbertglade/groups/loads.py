"""Tracks concurrent weight loads and their durations."""

import collections
import statistics

from filbertglade import clock

MAX_DURATIONS = 50
# Estimated load time until a load has been timed.
DEFAULT_LOAD_MS = 30_000
# Time until the former leader's loads appear in announcements.
SETTLE_MS = 3000
# Takes the place of the epoch for a host that loads for no group.
PRELOAD_EPOCH = -1


class LoadTracker:
    """Counts the hosts that load weights and times their loads."""

    def __init__(self) -> None:
        self._loading: dict[str, tuple[int, int]] = {}
        self._settled_at_ms = 0
        self._durations_ms: collections.deque[int] = collections.deque(
            maxlen=MAX_DURATIONS
        )

    def is_loading(self, host: str, epoch: int) -> bool:
        """Tell whether a host loads for a group at this epoch.

        :param host: its name.
        :param epoch: the group's epoch.
        """
        return self.loading_epoch(host) == epoch

    def has_capacity(self, limit: int) -> bool:
        """Tell whether one more host may start to load.

        :param limit: the most hosts that may load concurrently.
        """
        if clock.now_ms() < self._settled_at_ms:
            # Loads may be running that no announcement shows yet.
            return False
        return len(self._loading) < limit

    def start_leading(self) -> None:
        """Record that this host has become the acting leader.

        Loads that the former leader started appear in announcements with a
        delay.
        """
        self._settled_at_ms = clock.now_ms() + SETTLE_MS

    def note_loading(self, host: str, epoch: int) -> None:
        """Record that a host loads, unless this is already recorded.

        :param host: its name.
        :param epoch: its group's epoch.
        """
        if not self.is_loading(host, epoch):
            self._loading[host] = (epoch, clock.now_ms())

    def note_loaded(self, host: str) -> None:
        """Record that a host has completed its load.

        :param host: its name.
        """
        started = self._loading.pop(host, None)
        if started is not None:
            self._durations_ms.append(clock.now_ms() - started[1])

    def note_ended(self, host: str) -> None:
        """Stop counting the load of a host, without timing it.

        :param host: its name.
        """
        self._loading.pop(host, None)

    def loading_epoch(self, host: str) -> int:
        """Return the epoch for which a host loads; 0 if it does not load.

        :param host: its name.
        """
        return self._loading.get(host, (0, 0))[0]

    def loading_ms(self, host: str) -> int:
        """Return for how long a host has been loading, in milliseconds.

        :param host: the name of a host that loads.
        """
        return clock.now_ms() - self._loading[host][1]

    def list_hosts(self) -> list[str]:
        """Return the hosts that load."""
        return list(self._loading)

    def estimate_ms(self) -> float:
        """Return the expected duration of a load, in milliseconds."""
        if not self._durations_ms:
            return DEFAULT_LOAD_MS
        return statistics.median(self._durations_ms)
