"""Records which endpoints leave, so that the next leader knows it too."""

import asyncio

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import failures
from filbertglade.control import state
from filbertglade.fleet import departures
from filbertglade.inner import commands_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade import tasks

log = logs.get_log(__name__)

# Longest wait for the commit of a departure, in ms: an endpoint that isn't
# answered within 1 s calls another control host.
COMMIT_TIMEOUT_MS = 800
# Most endpoints that one line of the log names.
MAX_LOGGED_ENDPOINTS = 8


class _Batch:
    """Departures that are committed together.

    :ivar departures: whether each has gone, by incarnation key.
    :ivar settled: whether they were committed, once that is known.
    """

    __slots__ = ('departures', 'settled')

    def __init__(self) -> None:
        self.departures: dict[str, bool] = {}
        self.settled: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )


class DepartureLog(departures.DepartureReader):
    """Records departures in the agreed state.

    One entry is committed at a time; what is recorded meanwhile shares the
    next one.

    :param agreed: the agreed state.
    :param voters: this host's part in agreement.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        counters: metrics.Metrics,
    ) -> None:
        self._agreed = agreed
        self._voters = voters
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        self._next: _Batch | None = None
        self._is_committing = False

    async def close(self) -> None:
        """Stop; what isn't committed yet isn't acknowledged."""
        await self._tasks.close()

    def is_leaving(self, key: str) -> bool:
        """Return whether an endpoint drains or has departed.

        :param key: its incarnation key.
        """
        return self._find(key) is not None

    def has_gone(self, key: str) -> bool:
        """Return whether an endpoint has departed.

        :param key: its incarnation key.
        """
        departure = self._find(key)
        return departure is not None and departure.gone

    def list_departures(self) -> list[tuple[str, bool]]:
        """Return each incarnation key, and whether its endpoint has gone."""
        return [
            (departure.endpoint, departure.gone)
            for departure in self._agreed.departures.list_remembered(
                self._voters.log_clock_ms()
            )
        ]

    @property
    def version(self) -> int:
        """Incremented with each change."""
        return self._agreed.departures.version

    def _find(self, key: str) -> commands_pb2.Departure | None:
        return self._agreed.departures.find(key, self._voters.log_clock_ms())

    def is_recorded(self, key: str, has_gone: bool) -> bool:
        """Return whether every later leader knows of a departure.

        :param key: the endpoint's incarnation key.
        :param has_gone: whether it has deregistered; otherwise it drains.
        """
        is_known = self.has_gone(key) if has_gone else self.is_leaving(key)
        return is_known and self._voters.may_acknowledge

    async def record(self, key: str, has_gone: bool) -> bool:
        """Record a departure.

        :param key: the endpoint's incarnation key.
        :param has_gone: whether it has deregistered; otherwise it drains.
        :returns: whether every later leader knows of it. If not, it may still
            be recorded later.
        """
        if self._next is None:
            self._next = _Batch()
        batch = self._next
        batch.departures[key] = has_gone or batch.departures.get(key, False)
        if not self._is_committing:
            self._is_committing = True
            self._tasks.start(self._commit_batches())
        await asyncio.wait((batch.settled,), timeout=COMMIT_TIMEOUT_MS / 1000)
        return batch.settled.done() and batch.settled.result()

    async def _commit_batches(self) -> None:
        try:
            while self._next is not None:
                batch, self._next = self._next, None
                is_committed = False
                try:
                    is_committed = await self._commit(batch.departures)
                finally:
                    batch.settled.set_result(is_committed)
        finally:
            self._is_committing = False

    async def _commit(self, recorded: dict[str, bool]) -> bool:
        command = commands_pb2.Command()
        for key, has_gone in recorded.items():
            command.departures.departures.add(endpoint=key, gone=has_gone)
        started_ms = clock.now_ms()
        result = await self._voters.submit(command, COMMIT_TIMEOUT_MS)
        is_committed = not isinstance(result, failures.SubmitFailure)
        self._counters.count('departures', len(recorded))
        log.change(
            'departures.recorded' if is_committed else 'departures.unsettled',
            endpoints=list(recorded)[:MAX_LOGGED_ENDPOINTS],
            count=len(recorded),
            lasted_ms=clock.now_ms() - started_ms,
            reason='' if is_committed else str(result),
        )
        return is_committed
