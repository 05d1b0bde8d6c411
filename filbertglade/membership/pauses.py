"""Detects pauses of this process by gaps in its event loop's ticks."""

import asyncio

from filbertglade import clock

TICK_MS = 100
# A tick this late means that the process did not run.
PAUSE_MS = 500
# For this long after a pause, data that is read may have been buffered during
# the pause.
DRAIN_MS = 1000


class PauseDetector:
    """Tells whether data read now may have been buffered during a pause.

    It serves for peers that echo no clock value, so that nothing else bounds
    the age of what they sent.
    """

    def __init__(self) -> None:
        self._ticked_ms: int | None = None
        self._paused_ms: int | None = None

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._note_tick()
            await asyncio.sleep(TICK_MS / 1000)

    def _note_tick(self) -> None:
        now_ms = clock.now_ms()
        if self._is_overdue(now_ms):
            self._paused_ms = now_ms
        self._ticked_ms = now_ms

    def _is_overdue(self, now_ms: int) -> bool:
        if self._ticked_ms is None:
            return False
        return now_ms - self._ticked_ms > TICK_MS + PAUSE_MS

    def may_be_stale(self) -> bool:
        """Return whether data that was just read may be from before a pause.

        This checks the time of the last tick as well, because sockets can be
        read after a pause before the next tick.
        """
        now_ms = clock.now_ms()
        if self._is_overdue(now_ms):
            return True
        return (
            self._paused_ms is not None
            and now_ms - self._paused_ms <= DRAIN_MS
        )
