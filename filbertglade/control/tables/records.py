"""Many small records of one size, packed by their digests.

A record begins with the digest of its key. Records lie in shards, which are
bytes and never changed in place: a copy of the list of shards freezes them
all. Shards are split and merged one at a time (linear hashing), so that no
step takes longer the more records there are.
"""

from collections import abc
import struct

DIGEST_BYTES = 16
CHUNK_BYTES = 1 << 17
# Records a shard holds on average before there is one more shard, and below
# which there is one less.
SHARD_RECORDS = 64
SPARSE_RECORDS = 16

_LENGTH = struct.Struct('>I')


class RecordTable:
    """Records by digest.

    :param record_bytes: size of each record, its digest included.
    """

    def __init__(self, record_bytes: int) -> None:
        self._record_bytes = record_bytes
        self._shards = [b'']
        self._mask = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        return len(self._shards)

    def get(self, digest: bytes) -> bytes | None:
        """Return a record.

        :param digest: what it begins with.
        :returns: the record; None if there is none.
        """
        shard = self._shards[self._place(digest)]
        start = self._find(shard, digest)
        return None if start < 0 else shard[start : start + self._record_bytes]

    def add(self, record: bytes) -> None:
        """Keep a record.

        :param record: the record; there is none with its digest.
        """
        self._shards[self._place(record)] += record
        self._count += 1
        if self._count > SHARD_RECORDS * len(self._shards):
            self._split_one()

    def replace(self, record: bytes) -> None:
        """Keep a record in the place of the one with its digest.

        :param record: the record; there is one with its digest.
        """
        place = self._place(record)
        shard = self._shards[place]
        start = self._find(shard, record[:DIGEST_BYTES])
        end = start + self._record_bytes
        self._shards[place] = shard[:start] + record + shard[end:]

    def remove(self, digest: bytes) -> None:
        """Forget a record.

        :param digest: what it begins with; there is one.
        """
        place = self._place(digest)
        shard = self._shards[place]
        start = self._find(shard, digest)
        end = start + self._record_bytes
        self._shards[place] = shard[:start] + shard[end:]
        self._count -= 1
        self._merge_sparse()

    def shard(self, place: int) -> bytes:
        """Return the records of one shard, one behind the other.

        :param place: the shard, below :attr:`shard_count`.
        """
        return self._shards[place]

    def filter_shard(
        self, place: int, is_kept: abc.Callable[[bytes], bool]
    ) -> None:
        """Forget records of one shard.

        :param place: the shard, below :attr:`shard_count`.
        :param is_kept: whether a record stays.
        """
        records = list(self._split(self._shards[place]))
        kept = [record for record in records if is_kept(record)]
        if len(kept) == len(records):
            return
        self._shards[place] = b''.join(kept)
        self._count -= len(records) - len(kept)
        self._merge_sparse()

    def dump(self) -> abc.Iterator[bytes]:
        """Return all records, frozen now, in parts."""
        return _join_shards(self._shards.copy())

    def clear(self) -> None:
        """Forget all; :meth:`load_chunk` gives the shards again."""
        self._shards = []
        self._mask = 0
        self._count = 0

    def load_chunk(self, chunk: bytes) -> None:
        """Add one part after :meth:`clear`.

        :param chunk: a part that :meth:`dump` gave; all come in order.
        """
        position = 0
        while position < len(chunk):
            (length,) = _LENGTH.unpack_from(chunk, position)
            start = position + _LENGTH.size
            position = start + length
            self._shards.append(chunk[start:position])
            self._count += length // self._record_bytes
        self._mask = _mask(len(self._shards))

    def _place(self, digest: bytes) -> int:
        """Return the shard of a digest, or of a record that begins so."""
        place = int.from_bytes(digest[:8]) & self._mask
        if place >= len(self._shards):
            # This shard isn't split yet.
            place &= self._mask >> 1
        return place

    def _find(self, shard: bytes, digest: bytes) -> int:
        start = shard.find(digest)
        while start >= 0 and start % self._record_bytes:
            start = shard.find(digest, start + 1)
        return start

    def _split(self, shard: bytes) -> abc.Iterator[bytes]:
        size = self._record_bytes
        for start in range(0, len(shard), size):
            yield shard[start : start + size]

    def _split_one(self) -> None:
        """Add a shard with its part of the one that stood in for it."""
        added = len(self._shards)
        mask = _mask(added + 1)
        place = added & (mask >> 1)
        shard = self._shards[place]
        self._mask = mask
        self._shards.append(b'')
        stays: list[bytes] = []
        moves: list[bytes] = []
        for record in self._split(shard):
            (stays if self._place(record) == place else moves).append(record)
        self._shards[place] = b''.join(stays)
        self._shards[added] = b''.join(moves)

    def _merge_sparse(self) -> None:
        """Let the last shard go if there are few records."""
        last = len(self._shards) - 1
        if not last or self._count >= SPARSE_RECORDS * len(self._shards):
            return
        self._shards[last & (self._mask >> 1)] += self._shards[last]
        del self._shards[last]
        self._mask = _mask(last)


def _mask(shard_count: int) -> int:
    return (1 << (shard_count - 1).bit_length()) - 1


def _join_shards(shards: list[bytes]) -> abc.Iterator[bytes]:
    chunk = bytearray()
    for shard in shards:
        chunk += _LENGTH.pack(len(shard))
        chunk += shard
        if len(chunk) >= CHUNK_BYTES:
            yield bytes(chunk)
            chunk.clear()
    if chunk:
        yield bytes(chunk)
