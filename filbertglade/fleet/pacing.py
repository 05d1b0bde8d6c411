"""Pacing of senders: urgent changes at once, others at intervals."""

import asyncio
from collections import abc


async def wait_for_change(
    urgent_change: asyncio.Event,
    has_changed: abc.Callable[[], bool],
    interval_ms: int,
    longest_wait_ms: int,
) -> None:
    """Wait for a change, or until the longest wait has passed.

    :param urgent_change: set by a change that must be sent at once.
    :param has_changed: whether anything less urgent has changed.
    :param interval_ms: time between two calls of ``has_changed``.
    :param longest_wait_ms: longest wait.
    """
    waited_ms = 0
    while waited_ms < longest_wait_ms:
        wait_ms = min(interval_ms, longest_wait_ms - waited_ms)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await urgent_change.wait()
            return
        except TimeoutError:
            waited_ms += wait_ms
        if has_changed():
            return
