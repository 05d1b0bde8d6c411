"""Sources of the attempts of claims, each stored once."""

from collections import abc
import heapq
import typing

from filbertglade.inner import commands_pb2

CHUNK_SOURCES = 1024
# Number of an attempt whose name doesn't end in a number.
NO_NUMBER = 2**64 - 1

_SEPARATOR = '-'


class Source(typing.NamedTuple):
    """What many attempts have in common.

    :param run: common prefix of their names; the complete name if it doesn't
        end in a number.
    :param owner: name of the node that owns the attempts.
    :param owner_address: inner address of this node.
    """

    run: str
    owner: str
    owner_address: str


class SourceTable:
    """Sources by slot; a slot without claims is reused."""

    def __init__(self) -> None:
        self._sources: list[Source | None] = []
        self._claim_counts: list[int] = []
        self._slots: dict[Source, int] = {}
        self._free_slots: list[int] = []

    def __len__(self) -> int:
        return len(self._slots)

    def acquire(self, source: Source) -> int:
        """Count one more claim of a source, and add it if it is new.

        :param source: the source.
        :returns: slot of the source.
        """
        slot = self._slots.get(source)
        if slot is None:
            slot = self._add(source)
        self._claim_counts[slot] += 1
        return slot

    def release(self, slot: int) -> None:
        """Count one claim less, and remove the source with the last one.

        :param slot: slot of the source.
        """
        self._claim_counts[slot] -= 1
        if self._claim_counts[slot]:
            return
        source = self._sources[slot]
        assert source is not None
        self._sources[slot] = None
        del self._slots[source]
        heapq.heappush(self._free_slots, slot)

    def get(self, slot: int) -> Source:
        """Return a source.

        :param slot: slot of the source; the source must have claims.
        """
        source = self._sources[slot]
        assert source is not None
        return source

    def _add(self, source: Source) -> int:
        if self._free_slots:
            slot = heapq.heappop(self._free_slots)
            self._sources[slot] = source
        else:
            slot = len(self._sources)
            self._sources.append(source)
            self._claim_counts.append(0)
        self._slots[source] = slot
        return slot

    def dump(self) -> abc.Iterator[bytes]:
        """Return all sources at the time of the call, in chunks."""
        return _serialize_sources(
            self._sources.copy(), self._claim_counts.copy()
        )

    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk into an empty table.

        :param chunk: a chunk returned by :meth:`dump`; all must be loaded,
            in order.
        """
        message = commands_pb2.ClaimSources.FromString(chunk)
        for item in message.sources:
            slot = len(self._sources)
            self._claim_counts.append(item.claim_count)
            if not item.claim_count:
                self._sources.append(None)
                heapq.heappush(self._free_slots, slot)
                continue
            source = Source(item.run, item.owner, item.owner_address)
            self._sources.append(source)
            self._slots[source] = slot


def split_name(attempt: str) -> tuple[str, int]:
    """Split the name of an attempt into run and number.

    :param attempt: name of the attempt.
    :returns: the prefix before the number, and the number; the complete name
        and NO_NUMBER if the name doesn't end in a number.
    """
    run, separator, digits = attempt.rpartition(_SEPARATOR)
    if separator and digits.isdecimal() and digits.isascii():
        number = int(digits)
        if number < NO_NUMBER and str(number) == digits:
            return run, number
    return attempt, NO_NUMBER


def join_name(run: str, number: int) -> str:
    """Join what :func:`split_name` returned to the name of the attempt.

    :param run: prefix of the name.
    :param number: number of the attempt.
    """
    if number == NO_NUMBER:
        return run
    return f'{run}{_SEPARATOR}{number}'


def _serialize_sources(
    sources: list[Source | None], claim_counts: list[int]
) -> abc.Iterator[bytes]:
    for first in range(0, len(sources), CHUNK_SOURCES):
        message = commands_pb2.ClaimSources()
        for slot in range(first, min(first + CHUNK_SOURCES, len(sources))):
            item = message.sources.add(claim_count=claim_counts[slot])
            source = sources[slot]
            if source is not None:
                item.run = source.run
                item.owner = source.owner
                item.owner_address = source.owner_address
        yield message.SerializeToString()
