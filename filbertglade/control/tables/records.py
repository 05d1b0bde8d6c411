"""A hash table of many small records of equal size.

A record begins with the digest of its key. Records are stored in shards of
immutable bytes, so that a copy of the list of shards is a consistent copy of
all records. Shards are split and merged one at a time (linear hashing), so
that the time of a step doesn't grow with the number of records.
"""

from collections import abc
import struct

DIGEST_BYTES = 16
CHUNK_BYTES = 1 << 17
# Average number of records per shard above which a shard is added, and below
# which one is removed.
SHARD_RECORDS = 64
SPARSE_RECORDS = 16

_LENGTH = struct.Struct('>I')


class RecordTable:
    """Records by digest.

    :param record_bytes: size of each record, including its digest.
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

        :param digest: digest that the record begins with.
        :returns: the record; None if there is none.
        """
        shard = self._shards[self._find_shard_index(digest)]
        start = self._find(shard, digest)
        return None if start < 0 else shard[start : start + self._record_bytes]

    def add(self, record: bytes) -> None:
        """Add a record.

        :param record: the record; its digest must not be in the table.
        """
        self._shards[self._find_shard_index(record)] += record
        self._count += 1
        if self._count > SHARD_RECORDS * len(self._shards):
            self._split_one_shard()

    def replace(self, record: bytes) -> None:
        """Replace the record that has the same digest.

        :param record: the record; its digest must be in the table.
        """
        shard_index = self._find_shard_index(record)
        shard = self._shards[shard_index]
        start = self._find(shard, record[:DIGEST_BYTES])
        end = start + self._record_bytes
        self._shards[shard_index] = shard[:start] + record + shard[end:]

    def remove(self, digest: bytes) -> None:
        """Remove a record.

        :param digest: digest of the record; it must be in the table.
        """
        shard_index = self._find_shard_index(digest)
        shard = self._shards[shard_index]
        start = self._find(shard, digest)
        end = start + self._record_bytes
        self._shards[shard_index] = shard[:start] + shard[end:]
        self._count -= 1
        self._merge_if_sparse()

    def shard(self, shard_index: int) -> bytes:
        """Return the concatenated records of one shard.

        :param shard_index: index of the shard, below :attr:`shard_count`.
        """
        return self._shards[shard_index]

    def filter_shard(
        self, shard_index: int, is_kept: abc.Callable[[bytes], bool]
    ) -> None:
        """Remove the records of one shard that don't match a predicate.

        :param shard_index: index of the shard, below :attr:`shard_count`.
        :param is_kept: returns whether to keep a record.
        """
        records = list(self._iterate_records(self._shards[shard_index]))
        kept = [record for record in records if is_kept(record)]
        if len(kept) == len(records):
            return
        self._shards[shard_index] = b''.join(kept)
        self._count -= len(records) - len(kept)
        self._merge_if_sparse()

    def dump(self) -> abc.Iterator[bytes]:
        """Return all records at the time of the call, in chunks."""
        return _join_shards(self._shards.copy())

    def clear(self) -> None:
        """Remove all records and shards; :meth:`load_chunk` adds shards."""
        self._shards = []
        self._mask = 0
        self._count = 0

    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk after :meth:`clear`.

        :param chunk: a chunk returned by :meth:`dump`; all must be loaded,
            in order.
        """
        position = 0
        while position < len(chunk):
            (length,) = _LENGTH.unpack_from(chunk, position)
            start = position + _LENGTH.size
            position = start + length
            self._shards.append(chunk[start:position])
            self._count += length // self._record_bytes
        self._mask = _build_mask(len(self._shards))

    def _find_shard_index(self, digest: bytes) -> int:
        """Return the index of the shard of a digest or a record."""
        shard_index = int.from_bytes(digest[:8]) & self._mask
        if shard_index >= len(self._shards):
            # The shard doesn't exist yet: its records are in the lower one.
            shard_index &= self._mask >> 1
        return shard_index

    def _find(self, shard: bytes, digest: bytes) -> int:
        start = shard.find(digest)
        while start >= 0 and start % self._record_bytes:
            start = shard.find(digest, start + 1)
        return start

    def _iterate_records(self, shard: bytes) -> abc.Iterator[bytes]:
        size = self._record_bytes
        for start in range(0, len(shard), size):
            yield shard[start : start + size]

    def _split_one_shard(self) -> None:
        """Add a shard, and move its records from the one that held them."""
        added = len(self._shards)
        mask = _build_mask(added + 1)
        shard_index = added & (mask >> 1)
        shard = self._shards[shard_index]
        self._mask = mask
        self._shards.append(b'')
        kept: list[bytes] = []
        moved: list[bytes] = []
        for record in self._iterate_records(shard):
            (
                kept
                if self._find_shard_index(record) == shard_index
                else moved
            ).append(record)
        self._shards[shard_index] = b''.join(kept)
        self._shards[added] = b''.join(moved)

    def _merge_if_sparse(self) -> None:
        """Merge the last shard into a lower one if there are few records."""
        last = len(self._shards) - 1
        if not last or self._count >= SPARSE_RECORDS * len(self._shards):
            return
        self._shards[last & (self._mask >> 1)] += self._shards[last]
        del self._shards[last]
        self._mask = _build_mask(last)


def _build_mask(shard_count: int) -> int:
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
