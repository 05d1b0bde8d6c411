"""Loads of weights at a time, and how long one takes."""

import collections
import statistics

from filbertglade import clock

KEPT_LOADS = 50
# Taken for a load's time until one was seen.
FIRST_GUESS_MS = 30_000
# Time until the loads of the leader before show in announcements.
SETTLE_MS = 3000
# Stands for a group's epoch where a host loads for none.
PRELOAD_EPOCH = -1


class LoadLedger:
    """Counts the hosts that load weights and times the loads."""

    def __init__(self) -> None:
        self._started: dict[str, tuple[int, int]] = {}
        self._settled_ms = 0
        self._taken_ms: collections.deque[int] = collections.deque(
            maxlen=KEPT_LOADS
        )

    def is_loading(self, host: str, epoch: int) -> bool:
        """Tell whether a host was let load for a group at this epoch.

        :param host: its name.
        :param epoch: the group's epoch.
        """
        return self.started_epoch(host) == epoch

    def has_room(self, limit: int) -> bool:
        """Tell whether one host more may begin to load.

        :param limit: hosts that may load at a time.
        """
        if clock.now_ms() < self._settled_ms:
            # Loads may be under way that don't show yet.
            return False
        return len(self._started) < limit

    def begin(self) -> None:
        """Note that this host has begun to act as leader.

        The loads that the leader before it let begin show in announcements
        only after a while.
        """
        self._settled_ms = clock.now_ms() + SETTLE_MS

    def resume(self, host: str, epoch: int) -> None:
        """Note that a host loads, if that is not known.

        :param host: its name.
        :param epoch: its group's epoch.
        """
        if not self.is_loading(host, epoch):
            self._started[host] = (epoch, clock.now_ms())

    def finish(self, host: str) -> None:
        """Note that a host has loaded.

        :param host: its name.
        """
        started = self._started.pop(host, None)
        if started is not None:
            self._taken_ms.append(clock.now_ms() - started[1])

    def drop(self, host: str) -> None:
        """Note that a host loads no more, and has not loaded.

        :param host: its name.
        """
        self._started.pop(host, None)

    def started_epoch(self, host: str) -> int:
        """Return the epoch for which a host was let load; 0 if it wasn't.

        :param host: its name.
        """
        return self._started.get(host, (0, 0))[0]

    def started_ago_ms(self, host: str) -> int:
        """Return the time since a host was let load.

        :param host: its name; it loads.
        """
        return clock.now_ms() - self._started[host][1]

    def list_hosts(self) -> list[str]:
        """Return the hosts that load."""
        return list(self._started)

    def expect_ms(self) -> float:
        """Return how long a load is likely to take."""
        if not self._taken_ms:
            return FIRST_GUESS_MS
        return statistics.median(self._taken_ms)
