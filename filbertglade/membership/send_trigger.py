"""Sends urgent events before the next regular frame."""

import asyncio

# Minimum time between two firings, so that a burst of events causes few
# frames.
MIN_INTERVAL_S = 0.02


class SendTrigger:
    """Wakes waiting senders early when there is something urgent to send.

    :ivar count: number of times it has fired.
    """

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._next_s = 0.0
        self.count = 0

    async def wait(self, delay_s: float, seen_count: int) -> None:
        """Wait for a delay, or until the trigger fires.

        :param delay_s: longest wait, in seconds.
        :param seen_count: ``count`` before the caller built its last frame;
            if the trigger has fired since, the call returns at once.
        """
        if self.count != seen_count:
            return
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        timer = loop.call_later(delay_s, _wake, waiter)
        self._waiters.add(waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._waiters.discard(waiter)

    def fire(self) -> None:
        """Wake all waiters, at once or after the minimum interval."""
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._next_s, self._wake_all)

    def _wake_all(self) -> None:
        self._timer = None
        self.count += 1
        self._next_s = asyncio.get_running_loop().time() + MIN_INTERVAL_S
        for waiter in self._waiters:
            _wake(waiter)


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
