"""Count of requests in flight, which a shutdown waits to reach zero."""

import asyncio
import contextlib
import typing


class InFlightCounter:
    """Counts the work in flight and lets a shutdown wait for zero.

    :ivar count: the number of pieces of work in flight.
    """

    def __init__(self) -> None:
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextlib.contextmanager
    def track(self) -> typing.Iterator[None]:
        """Count one piece of work while the context lasts."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until nothing is in flight."""
        await self._idle.wait()
