"""Time-outs of callers' requests that leave out time of a blocked loop."""

import asyncio
from collections import abc

# A time-out consists of this many equal slices.
SLICES = 4
# The time-out expires after this many slices, even if the event loop was
# blocked in most of them.
MAX_SLICES = 16
# A slice whose timer fires later than this is not counted: the event loop was
# blocked, and data that arrived meanwhile has not been read yet.
MAX_TIMER_DELAY_S = 0.05


class ReadTimeout:
    """Calls a function if a message is not complete in time.

    :param timeout_ms: the time-out, in milliseconds.
    :param expire: called on the event loop when the time-out expires.
    """

    __slots__ = (
        '_counted',
        '_expire',
        '_loop',
        '_slice_s',
        '_passed',
        '_timer',
    )

    def __init__(
        self, timeout_ms: int, expire: abc.Callable[[], None]
    ) -> None:
        self._slice_s = timeout_ms / 1000 / SLICES
        self._expire = expire
        self._loop = asyncio.get_running_loop()
        self._counted = 0
        self._passed = 0
        self._timer = self._start_slice()

    def stop(self) -> None:
        """Stop the time-out: its function is not called."""
        self._timer.cancel()

    def _start_slice(self) -> asyncio.TimerHandle:
        due_s = self._loop.time() + self._slice_s
        return self._loop.call_at(due_s, self._end_slice, due_s)

    def _end_slice(self, due_s: float) -> None:
        self._passed += 1
        if self._loop.time() - due_s < MAX_TIMER_DELAY_S:
            self._counted += 1
        if self._counted == SLICES or self._passed == MAX_SLICES:
            self._expire()
        else:
            self._timer = self._start_slice()
