"""Inactivity time-out that avoids setting a timer for each wait."""

import asyncio
from collections import abc


class IdleTimeout:
    """Calls back when a wait exceeds its limit.

    A wait that ends in time does not cancel the timer. When the timer fires,
    it checks whether a wait is running and is set again for that wait's
    deadline if it has not passed.

    :ivar has_expired: whether a wait exceeded its limit.
    """

    __slots__ = ('_deadline_s', '_expire', '_loop', '_timer', 'has_expired')

    def __init__(self, expire: abc.Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._expire = expire
        self._deadline_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.has_expired = False

    def begin(self, limit_s: float) -> None:
        """Begin a wait.

        :param limit_s: the longest duration, in seconds.
        """
        self._deadline_s = self._loop.time() + limit_s
        if self._timer is not None and self._timer.when() > self._deadline_s:
            self.stop()
        if self._timer is None:
            self._set_timer(self._deadline_s)

    def end(self) -> None:
        """End the wait; the timer may stay set for later waits."""
        self._deadline_s = None

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, when_s: float) -> None:
        self._timer = self._loop.call_at(when_s, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._deadline_s is None:
            return
        if self._loop.time() < self._deadline_s:
            self._set_timer(self._deadline_s)
            return
        self.has_expired = True
        self._expire()
