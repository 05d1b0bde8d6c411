"""Crashes of endpoints while they ran one request."""

import asyncio

from filbertglade.requests import strike_tracker

REPEAT_STRIKES_S = 2.0


class CrashReporter:
    """Gives a request its strikes, and repeats them while it goes on.

    :param book: the node's strikes.
    :param digest: names the request.
    """

    def __init__(
        self, book: strike_tracker.StrikeTracker, digest: bytes
    ) -> None:
        self._book = book
        self._digest = digest
        self._crashed: list[str] = []
        self._timer: asyncio.TimerHandle | None = None

    def __bool__(self) -> bool:
        return bool(self._crashed)

    def add(self, endpoint: str) -> None:
        """Give a strike.

        :param endpoint: name of the endpoint that crashed.
        """
        self._crashed.append(endpoint)
        self._book.add(self._digest, endpoint)
        self._wait()

    def close(self) -> None:
        """Repeat the strikes no longer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait(self) -> None:
        self.close()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REPEAT_STRIKES_S, self._repeat)

    def _repeat(self) -> None:
        for endpoint in self._crashed:
            self._book.report(self._digest, endpoint)
        self._wait()
