"""Where the attempts of claims come from, each kept once."""

from collections import abc
import heapq
import typing

from filbertglade.inner import commands_pb2

CHUNK_SOURCES = 1024
# Number of an attempt whose name has none.
NO_NUMBER = 2**64 - 1

_SEPARATOR = '-'


class Source(typing.NamedTuple):
    """What many attempts have in common.

    :param run: what their names begin with; a whole name if it doesn't end
        in a number.
    :param owner: the node.
    :param owner_address: its inner address.
    """

    run: str
    owner: str
    owner_address: str


class SourceTable:
    """Sources by place; a place without claims is used again."""

    def __init__(self) -> None:
        self._sources: list[Source | None] = []
        self._claim_counts: list[int] = []
        self._places: dict[Source, int] = {}
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._places)

    def hold(self, source: Source) -> int:
        """Count one more claim of a source.

        :param source: the source.
        :returns: its place.
        """
        place = self._places.get(source)
        if place is None:
            place = self._add(source)
        self._claim_counts[place] += 1
        return place

    def release(self, place: int) -> None:
        """Count one claim less.

        :param place: the source's place.
        """
        self._claim_counts[place] -= 1
        if self._claim_counts[place]:
            return
        source = self._sources[place]
        assert source is not None
        self._sources[place] = None
        del self._places[source]
        heapq.heappush(self._free, place)

    def get(self, place: int) -> Source:
        """Return a source.

        :param place: its place; it has claims.
        """
        source = self._sources[place]
        assert source is not None
        return source

    def _add(self, source: Source) -> int:
        if self._free:
            place = heapq.heappop(self._free)
            self._sources[place] = source
        else:
            place = len(self._sources)
            self._sources.append(source)
            self._claim_counts.append(0)
        self._places[source] = place
        return place

    def dump(self) -> abc.Iterator[bytes]:
        """Return all sources, frozen now, in parts."""
        return _join_sources(self._sources.copy(), self._claim_counts.copy())

    def load_chunk(self, chunk: bytes) -> None:
        """Add one part to an empty table.

        :param chunk: a part that :meth:`dump` gave; all come in order.
        """
        message = commands_pb2.ClaimSources.FromString(chunk)
        for item in message.sources:
            place = len(self._sources)
            self._claim_counts.append(item.claim_count)
            if not item.claim_count:
                self._sources.append(None)
                heapq.heappush(self._free, place)
                continue
            source = Source(item.run, item.owner, item.owner_address)
            self._sources.append(source)
            self._places[source] = place


def split_name(attempt: str) -> tuple[str, int]:
    """Return an attempt's run and number.

    :param attempt: the attempt's name.
    :returns: what stands before its number, and the number; the whole name
        and NO_NUMBER if it doesn't end in one.
    """
    run, separator, digits = attempt.rpartition(_SEPARATOR)
    if separator and digits.isdecimal() and digits.isascii():
        number = int(digits)
        if number < NO_NUMBER and str(number) == digits:
            return run, number
    return attempt, NO_NUMBER


def join_name(run: str, number: int) -> str:
    """Return the name that :func:`split_name` took apart.

    :param run: the run.
    :param number: the number.
    """
    if number == NO_NUMBER:
        return run
    return f'{run}{_SEPARATOR}{number}'


def _join_sources(
    sources: list[Source | None], claim_counts: list[int]
) -> abc.Iterator[bytes]:
    for first in range(0, len(sources), CHUNK_SOURCES):
        message = commands_pb2.ClaimSources()
        for place in range(first, min(first + CHUNK_SOURCES, len(sources))):
            item = message.sources.add(claim_count=claim_counts[place])
            source = sources[place]
            if source is not None:
                item.run = source.run
                item.owner = source.owner
                item.owner_address = source.owner_address
        yield message.SerializeToString()
