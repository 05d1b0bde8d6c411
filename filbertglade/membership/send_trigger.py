"""Wakes senders before their next regular frame."""

import asyncio

# Least time between two alarms, so that a burst costs few frames.
MIN_INTERVAL_S = 0.02


class SendTrigger:
    """Lets tasks sleep until a time, or until something is urgent.

    :ivar count: how often it has rung.
    """

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._next_s = 0.0
        self.count = 0

    async def wait(self, delay_s: float, seen_count: int) -> None:
        """Sleep, until the next trigger at most.

        :param delay_s: longest time, in seconds.
        :param seen_count: ``count`` at the sleeper's last look; if it has rung
            since, there is no sleep.
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
        """Wake all who sleep, at once or after the least gap."""
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
