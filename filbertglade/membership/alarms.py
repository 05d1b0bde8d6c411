"""Wakes senders before their next regular frame."""

import asyncio

# Least time between two alarms, so that a burst costs few frames.
LEAST_GAP_S = 0.02


class Alarm:
    """Lets tasks sleep until a time, or until something is urgent.

    :ivar count: how often it has rung.
    """

    def __init__(self) -> None:
        self._sleepers: set[asyncio.Future[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._next_s = 0.0
        self.count = 0

    async def sleep(self, delay_s: float, heard: int) -> None:
        """Sleep, until the next alarm at most.

        :param delay_s: longest time, in seconds.
        :param heard: ``count`` at the sleeper's last look; if it has rung
            since, there is no sleep.
        """
        if self.count != heard:
            return
        loop = asyncio.get_running_loop()
        sleeper = loop.create_future()
        timer = loop.call_later(delay_s, _wake, sleeper)
        self._sleepers.add(sleeper)
        try:
            await sleeper
        finally:
            timer.cancel()
            self._sleepers.discard(sleeper)

    def ring(self) -> None:
        """Wake all who sleep, at once or after the least gap."""
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._next_s, self._wake_all)

    def _wake_all(self) -> None:
        self._timer = None
        self.count += 1
        self._next_s = asyncio.get_running_loop().time() + LEAST_GAP_S
        for sleeper in self._sleepers:
            _wake(sleeper)


def _wake(sleeper: asyncio.Future[None]) -> None:
    if not sleeper.done():
        sleeper.set_result(None)
