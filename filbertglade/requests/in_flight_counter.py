"""Work in flight, counted so that a shutdown can wait for its end."""

import asyncio
import contextlib
import typing


class InFlightCounter:
    """Counts what is in flight.

    :ivar count: how much is in flight.
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
