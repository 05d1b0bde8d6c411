"""Longest silences, watched by one timer that is seldom set."""

import asyncio
from collections import abc


class IdleTimeout:
    """Calls back when a wait lasts too long.

    A wait that ends in time costs no timer: the timer that is set looks
    when it fires whether a wait is still due, and when.

    :ivar has_expired: whether a wait lasted too long.
    """

    __slots__ = ('_due_s', '_expire', '_loop', '_timer', 'has_expired')

    def __init__(self, expire: abc.Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._expire = expire
        self._due_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.has_expired = False

    def begin(self, limit_s: float) -> None:
        """Begin a wait.

        :param limit_s: its longest time, in seconds.
        """
        self._due_s = self._loop.time() + limit_s
        if self._timer is not None and self._timer.when() > self._due_s:
            self.stop()
        if self._timer is None:
            self._set_timer(self._due_s)

    def end(self) -> None:
        """End a wait; its timer may run on."""
        self._due_s = None

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, when_s: float) -> None:
        self._timer = self._loop.call_at(when_s, self._look)

    def _look(self) -> None:
        self._timer = None
        if self._due_s is None:
            return
        if self._loop.time() < self._due_s:
            self._set_timer(self._due_s)
            return
        self.has_expired = True
        self._expire()
