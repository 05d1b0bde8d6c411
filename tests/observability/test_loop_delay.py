"""The delay of the event loop is recorded, and logged within bounds."""

import asyncio

from filbertglade import clock
from filbertglade.observability import loop_delay
from filbertglade.observability import metrics
from tests import virtual_time

STALL_MS = 400


def run_monitor(monkeypatch, stalls, interval_ms):
    """Run a monitor while the loop stalls at intervals; return its metrics."""
    counters = metrics.Metrics()
    stalled_ms = 0
    loop_ms = clock.now_ms
    monkeypatch.setattr(clock, 'now_ms', lambda: loop_ms() + stalled_ms)

    async def main():
        nonlocal stalled_ms
        monitor = loop_delay.LoopDelayMonitor(counters)
        running = asyncio.create_task(monitor.run())
        # Between two ticks.
        await asyncio.sleep(loop_delay.TICK_MS / 2000)
        for _ in range(stalls):
            stalled_ms += STALL_MS
            await asyncio.sleep(interval_ms / 1000)
        running.cancel()

    virtual_time.run(main())
    return counters


def select_delays(log_lines):
    return [
        line for line in log_lines if line['message_type'] == 'loop.delayed'
    ]


def test_ticks_in_time_are_not_logged(monkeypatch, log_lines):
    counters = run_monitor(monkeypatch, 0, 0)
    assert select_delays(log_lines) == []
    assert counters.percentile_ms('event_loop_delay', 100) <= 1


def test_a_late_tick_is_recorded_and_logged(monkeypatch, log_lines):
    counters = run_monitor(monkeypatch, 1, 1000)
    (line,) = select_delays(log_lines)
    assert line['late_ticks'] == 1
    assert abs(line['longest_delay_ms'] - STALL_MS) <= 2
    longest_ms = counters.percentile_ms('event_loop_delay', 100)
    assert abs(longest_ms - STALL_MS) < STALL_MS / 50


def test_late_ticks_are_logged_once_a_second(monkeypatch, log_lines):
    # Each interval takes a tick and a stall: 20 of them are 10 s.
    run_monitor(monkeypatch, 20, loop_delay.TICK_MS)
    lines = select_delays(log_lines)
    assert 5 <= len(lines) <= 10
    assert 15 <= sum(line['late_ticks'] for line in lines) <= 20
