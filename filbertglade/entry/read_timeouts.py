"""Time-outs of callers' messages that count only time of a running loop."""

import asyncio
from collections import abc

# A time-out is waited out in so many slices.
SLICES = 4
# After so many it ends, however often the loop was held up.
MOST_SLICES = 16
# A slice that ends later than this is not counted: what arrived while the
# loop was held up has yet to be read.
HELD_UP_S = 0.05


class ReadTimeout:
    """Calls a function once a message has taken too long.

    :param timeout_ms: longest time, in milliseconds.
    :param expire: called then on the event loop.
    """

    __slots__ = (
        '_counted',
        '_expire',
        '_loop',
        '_slice_s',
        '_taken',
        '_timer',
    )

    def __init__(
        self, timeout_ms: int, expire: abc.Callable[[], None]
    ) -> None:
        self._slice_s = timeout_ms / 1000 / SLICES
        self._expire = expire
        self._loop = asyncio.get_running_loop()
        self._counted = 0
        self._taken = 0
        self._timer = self._start_slice()

    def stop(self) -> None:
        """Call nothing any more."""
        self._timer.cancel()

    def _start_slice(self) -> asyncio.TimerHandle:
        due_s = self._loop.time() + self._slice_s
        return self._loop.call_at(due_s, self._end_slice, due_s)

    def _end_slice(self, due_s: float) -> None:
        self._taken += 1
        if self._loop.time() - due_s < HELD_UP_S:
            self._counted += 1
        if self._counted == SLICES or self._taken == MOST_SLICES:
            self._expire()
        else:
            self._timer = self._start_slice()
