"""Pauses of senders that tell changes at once and the rest seldom."""

import asyncio
from collections import abc


async def await_news(
    alarm: asyncio.Event,
    has_changed: abc.Callable[[], bool],
    pause_ms: int,
    longest_ms: int,
) -> None:
    """Wait until there is something to tell, or it is time to.

    :param alarm: set when something must be told at once.
    :param has_changed: whether what is told seldom has changed.
    :param pause_ms: pause between two looks whether it has.
    :param longest_ms: longest wait, rounded up to whole pauses.
    """
    waited_ms = 0
    while waited_ms < longest_ms:
        try:
            async with asyncio.timeout(pause_ms / 1000):
                await alarm.wait()
            return
        except TimeoutError:
            waited_ms += pause_ms
        if has_changed():
            return
