"""Endpoints that have told a control host that they leave."""

from collections import abc
import itertools
import typing

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2

# Time on the log clock for which a departure is remembered, in ms:
# announcements that a network partition delayed arrive seconds late.
RETENTION_MS = 120_000
# Most departures that are remembered: several times the endpoints of the
# largest fleet.
MAX_DEPARTURES = 8192
# Departures in one chunk of a snapshot.
CHUNK_DEPARTURES = 1024


class DepartureTable(base.Table):
    """Departures by incarnation key, the oldest first.

    An incarnation that has begun to leave ends, so a departure is never taken
    back. Only what no late announcement can name any more is forgotten.

    :ivar version: incremented with each change; of this process alone.
    """

    def __init__(self) -> None:
        self.version = 0
        self._departures: dict[str, commands_pb2.Departure] = {}

    def __len__(self) -> int:
        return len(self._departures)

    def find(
        self, key: str, log_clock_ms: int
    ) -> commands_pb2.Departure | None:
        """Return the departure of an incarnation.

        :param key: its incarnation key.
        :param log_clock_ms: the log clock now.
        :returns: the departure; None if none is remembered.
        """
        departure = self._departures.get(key)
        if departure is None or _is_outdated(departure, log_clock_ms):
            return None
        return departure

    def list_remembered(
        self, log_clock_ms: int
    ) -> list[commands_pb2.Departure]:
        """Return the departures.

        :param log_clock_ms: the log clock now.
        """
        return [
            departure
            for departure in self._departures.values()
            if not _is_outdated(departure, log_clock_ms)
        ]

    def adopt(self, other: typing.Self) -> None:
        """Replace the content by that of another table.

        :param other: the other table.
        """
        version = self.version
        super().adopt(other)
        self.version = version + 1

    def apply(self, change: commands_pb2.Departures, stamped_ms: int) -> None:
        """Add departures, and forget old ones.

        :param change: the departures.
        :param stamped_ms: log clock of the change, in ms.
        """
        self.version += 1
        for added in change.departures:
            known = self._departures.get(added.endpoint)
            if known is not None:
                is_new = added.gone and not known.gone
                if not (is_new or _is_outdated(known, stamped_ms)):
                    continue
                del self._departures[added.endpoint]
            self._departures[added.endpoint] = commands_pb2.Departure(
                endpoint=added.endpoint, gone=added.gone, since_ms=stamped_ms
            )
        excess = max(0, len(self._departures) - MAX_DEPARTURES)
        outdated = itertools.takewhile(
            lambda item: _is_outdated(item, stamped_ms),
            self._departures.values(),
        )
        forgotten = max(excess, sum(1 for _ in outdated))
        for key in list(itertools.islice(self._departures, forgotten)):
            del self._departures[key]

    def dump(self) -> abc.Iterator[bytes]:
        """Return the complete table for a snapshot."""
        items = list(self._departures.values())
        chunks = [
            commands_pb2.Departures(
                departures=items[start : start + CHUNK_DEPARTURES]
            ).SerializeToString()
            for start in range(0, len(items), CHUNK_DEPARTURES)
        ]
        return iter(chunks)

    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk of a snapshot.

        :param chunk: a chunk returned by :meth:`dump`.
        """
        for item in commands_pb2.Departures.FromString(chunk).departures:
            self._departures[item.endpoint] = item


def _is_outdated(departure: commands_pb2.Departure, log_clock_ms: int) -> bool:
    return log_clock_ms - departure.since_ms > RETENTION_MS
