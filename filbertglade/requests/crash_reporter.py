"""Reports endpoint crashes that happened while one request ran."""

import asyncio

from filbertglade.requests import strikes

REPEAT_INTERVAL_S = 2.0


class CrashReporter:
    """Records strikes of a request, and repeats them while the request runs.

    :param tracker: the strike tracker of the node.
    :param digest: the strike digest of the request.
    """

    def __init__(self, tracker: strikes.StrikeTracker, digest: bytes) -> None:
        self._strikes = tracker
        self._digest = digest
        self._crashed: list[str] = []
        self._timer: asyncio.TimerHandle | None = None

    def __bool__(self) -> bool:
        return bool(self._crashed)

    def add(self, endpoint: str) -> None:
        """Record a strike.

        :param endpoint: the name of the endpoint that crashed.
        """
        self._crashed.append(endpoint)
        self._strikes.add(self._digest, endpoint)
        self._schedule_repeat()

    def close(self) -> None:
        """Stop repeating the strikes."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule_repeat(self) -> None:
        self.close()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REPEAT_INTERVAL_S, self._repeat)

    def _repeat(self) -> None:
        for endpoint in self._crashed:
            self._strikes.report(self._digest, endpoint)
        self._schedule_repeat()
