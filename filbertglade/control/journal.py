"""The replicated log in memory, and its writes to disk."""

import asyncio
from collections import abc

from filbertglade.control import failures
from filbertglade.control import store
from filbertglade.inner import agreement_pb2
from filbertglade import tasks

LogEntry = agreement_pb2.LogEntry
StorageFailure = failures.StorageFailure

# Approximate memory of a record in addition to its command's bytes.
ENTRY_OVERHEAD_BYTES = 150


class Journal:
    """Log records in memory; the oldest may have been removed.

    A write continues when the task that requested it is cancelled: otherwise
    the records in memory and on disk would diverge.

    :param storage: storage of the records.
    :param stored: content of the storage when it was opened.
    :param background: task group of this voter.
    :ivar base_point: index and term of the record before the first one held.
    :ivar synced_index: index of the last record synced to disk.
    :ivar size_bytes: approximate memory used by the records.
    :ivar voter_changes: indexes of the records that change the voters.
    """

    def __init__(
        self,
        storage: store.Storage,
        stored: store.StoredState,
        background: tasks.TaskGroup,
    ) -> None:
        self._storage = storage
        self._background = background
        self._entries: list[LogEntry] = []
        self._flush_lock = asyncio.Lock()
        self.base_point = stored.snapshot
        self.size_bytes = 0
        self.voter_changes: list[int] = []
        if stored.entries and stored.entries[0].index <= self.base_point.index:
            # Records before the snapshot are kept for slow followers. The
            # first one only gives the index and term of the base point.
            first = stored.entries[0]
            self.base_point = store.SnapshotPoint(first.index, first.term)
            stored.entries = stored.entries[1:]
        self._extend(stored.entries)
        self.synced_index = self.last_index

    @property
    def first_index(self) -> int:
        """Index of the first record held; if none is, of the next record."""
        return self.base_point.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last record."""
        return self.base_point.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last record."""
        return (
            self._entries[-1].term if self._entries else self.base_point.term
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of a record.

        :param index: index of the record.
        :returns: the term; None if the record isn't held.
        """
        if index == self.base_point.index:
            return self.base_point.term
        entry = self.get(index)
        return None if entry is None else entry.term

    def get(self, index: int) -> LogEntry | None:
        """Return a record.

        :param index: index of the record.
        :returns: the record; None if it isn't held.
        """
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position]
        return None

    def read(
        self, first: int, limit_bytes: int, limit_count: int
    ) -> list[LogEntry]:
        """Return consecutive records, starting at an index.

        :param first: index of the first record; it must be held.
        :param limit_bytes: maximum total size of the commands, in bytes; at
            least one record is returned even if it is larger.
        :param limit_count: maximum number of records.
        :returns: the records.
        """
        start = first - self.first_index
        found: list[LogEntry] = []
        size = 0
        for entry in self._entries[start : start + limit_count]:
            size += len(entry.command)
            if found and size > limit_bytes:
                break
            found.append(entry)
        return found

    def append(self, entries: abc.Sequence[LogEntry]) -> None:
        """Append records in memory; :meth:`flush` makes them durable.

        :param entries: records that directly follow the last one.
        """
        self._extend(entries)

    def _extend(self, entries: abc.Sequence[LogEntry]) -> None:
        for entry in entries:
            self._entries.append(entry)
            self.size_bytes += len(entry.command) + ENTRY_OVERHEAD_BYTES
            if entry.changes_voters:
                self.voter_changes.append(entry.index)

    async def flush(self, committed_index: int) -> StorageFailure | None:
        """Make all records durable.

        :param committed_index: index up to which the log is known to be
            committed.
        :returns: None, or why some records may not be durable.
        """
        return await asyncio.shield(
            self._background.start(self._flush(committed_index))
        )

    async def _flush(self, committed_index: int) -> StorageFailure | None:
        async with self._flush_lock:
            batch = self._entries[self.synced_index - self.base_point.index :]
            if not batch:
                return None
            for part in self._split(batch, committed_index):
                failure = await self._storage.append(part, committed_index)
                if failure is not None:
                    return failure
                self.synced_index = part[-1].index
            return None

    def _split(
        self, batch: list[LogEntry], committed_index: int
    ) -> list[list[LogEntry]]:
        """Split records that are to be written after a voter change.

        A batch states only that records before it are committed. Those after
        a committed change of the voters have to state that it is.
        """
        first = batch[0].index
        change = max(
            (
                index
                for index in self.voter_changes
                if first <= index <= min(committed_index, batch[-1].index - 1)
            ),
            default=None,
        )
        if change is None:
            return [batch]
        count = change + 1 - first
        return [batch[:count], batch[count:]]

    async def truncate(self, first: int) -> StorageFailure | None:
        """Remove the end of the log.

        :param first: index of the first record to remove.
        :returns: None, or why records may remain on disk.
        """
        return await asyncio.shield(
            self._background.start(self._truncate(first))
        )

    async def _truncate(self, first: int) -> StorageFailure | None:
        async with self._flush_lock:
            position = first - self.first_index
            for entry in self._entries[position:]:
                self.size_bytes -= len(entry.command) + ENTRY_OVERHEAD_BYTES
            del self._entries[position:]
            self.voter_changes = [
                index for index in self.voter_changes if index < first
            ]
            if self.synced_index < first:
                return None
            self.synced_index = first - 1
            return await self._storage.truncate(first)

    async def compact(self, first_kept: int) -> StorageFailure | None:
        """Remove the beginning of the log.

        :param first_kept: index of the first record to keep.
        :returns: None, or why records may remain on disk.
        """
        return await asyncio.shield(
            self._background.start(self._compact(first_kept))
        )

    async def _compact(self, first_kept: int) -> StorageFailure | None:
        async with self._flush_lock:
            # A record that isn't synced yet can't be removed.
            first_kept = min(first_kept, self.synced_index)
            count = first_kept - self.first_index
            if count <= 0:
                return None
            last = self._entries[count - 1]
            for entry in self._entries[:count]:
                self.size_bytes -= len(entry.command) + ENTRY_OVERHEAD_BYTES
            del self._entries[:count]
            self.base_point = store.SnapshotPoint(last.index, last.term)
            self.voter_changes = [
                index for index in self.voter_changes if index > last.index
            ]
            return await self._storage.compact(first_kept)

    async def reset(self, point: store.SnapshotPoint) -> StorageFailure | None:
        """Remove all records: a snapshot replaces them.

        :param point: index and term of the last record in the snapshot.
        :returns: None, or why records may remain on disk.
        """
        return await asyncio.shield(self._background.start(self._reset(point)))

    async def _reset(
        self, point: store.SnapshotPoint
    ) -> StorageFailure | None:
        async with self._flush_lock:
            self._entries.clear()
            self.size_bytes = 0
            self.voter_changes.clear()
            self.base_point = point
            self.synced_index = point.index
            return await self._storage.truncate(0)
