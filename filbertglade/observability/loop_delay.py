"""Measures how late the event loop runs what is due."""

import asyncio

from filbertglade import clock
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Interval between two ticks, in ms: shorter than a heartbeat, so that a delay
# that can hold one up falls on a tick.
TICK_MS = 100
# Delay from which a tick is logged, in ms: the longest interval between two
# of the leader's frames.
LOGGED_DELAY_MS = 250
# Shortest interval between two log lines, in ms: a busy loop must not be
# loaded further by its log.
LOG_INTERVAL_MS = 1000


class LoopDelayMonitor:
    """Ticks, and records how late each tick is.

    :param counters: the process's metrics.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._logged_ms: int | None = None
        self._late_ticks = 0
        self._longest_delay_ms = 0

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            due_ms = clock.now_ms() + TICK_MS
            await asyncio.sleep(TICK_MS / 1000)
            self._record(max(0, clock.now_ms() - due_ms))

    def _record(self, delay_ms: int) -> None:
        self._counters.record_ms('event_loop_delay', delay_ms)
        if delay_ms <= LOGGED_DELAY_MS:
            return
        self._late_ticks += 1
        self._longest_delay_ms = max(self._longest_delay_ms, delay_ms)
        now_ms = clock.now_ms()
        if (
            self._logged_ms is not None
            and now_ms - self._logged_ms < LOG_INTERVAL_MS
        ):
            return
        self._logged_ms = now_ms
        log.change(
            'loop.delayed',
            late_ticks=self._late_ticks,
            longest_delay_ms=self._longest_delay_ms,
        )
        self._late_ticks = 0
        self._longest_delay_ms = 0
