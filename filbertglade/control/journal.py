"""The log in memory, and its way to the disk."""

import asyncio
from collections import abc

from filbertglade.control import failures
from filbertglade.control import store
from filbertglade.inner import agreement_pb2
from filbertglade import tasks

LogEntry = agreement_pb2.LogEntry
StorageFailure = failures.StorageFailure

# Rough size of a record in memory beyond its command's bytes.
ENTRY_OVERHEAD_BYTES = 150


class Journal:
    """Records of the log, of which a beginning may be cut off.

    A write goes on when the task that asked for it is cancelled: memory and
    disk must not come apart.

    :param storage: where the records are kept.
    :param stored: what the storage held when it was opened.
    :param background: the tasks of this voter.
    :ivar point: the record just before the first one held.
    :ivar synced_index: index of the last record that is on the disk.
    :ivar size_bytes: memory that the records take.
    :ivar voter_changes: indexes of records that change the voters.
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
        self.point = stored.snapshot
        self.size_bytes = 0
        self.voter_changes: list[int] = []
        if stored.entries and stored.entries[0].index <= self.point.index:
            # Records before the snapshot are kept for slow followers. The
            # first stands in for the point before the others.
            first = stored.entries[0]
            self.point = store.SnapshotPoint(first.index, first.term)
            stored.entries = stored.entries[1:]
        self._extend(stored.entries)
        self.synced_index = self.last_index

    @property
    def first_index(self) -> int:
        """Index of the first record held, or of the next one to come."""
        return self.point.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last record."""
        return self.point.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last record."""
        return self._entries[-1].term if self._entries else self.point.term

    def term_at(self, index: int) -> int | None:
        """Return a record's term.

        :param index: the record's index.
        :returns: its term; None if it isn't held.
        """
        if index == self.point.index:
            return self.point.term
        entry = self.get(index)
        return None if entry is None else entry.term

    def get(self, index: int) -> LogEntry | None:
        """Return a record.

        :param index: its index.
        :returns: the record; None if it isn't held.
        """
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position]
        return None

    def read(
        self, first: int, limit_bytes: int, limit_count: int
    ) -> list[LogEntry]:
        """Return records from an index on.

        :param first: index of the first; it must be held.
        :param limit_bytes: stop at this size, but give at least one.
        :param limit_count: the most records to give.
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
        """Add records in memory; :meth:`flush` makes them durable.

        :param entries: they follow on the last one.
        """
        self._extend(entries)

    def _extend(self, entries: abc.Sequence[LogEntry]) -> None:
        for entry in entries:
            self._entries.append(entry)
            self.size_bytes += len(entry.command) + ENTRY_OVERHEAD_BYTES
            if entry.changes_voters:
                self.voter_changes.append(entry.index)

    async def flush(self, committed_index: int) -> StorageFailure | None:
        """Make every record durable.

        :param committed_index: how far the log is known to be committed.
        :returns: None, or why it may not be.
        """
        return await asyncio.shield(
            self._background.start(self._flush(committed_index))
        )

    async def _flush(self, committed_index: int) -> StorageFailure | None:
        async with self._flush_lock:
            batch = self._entries[self.synced_index - self.point.index :]
            if not batch:
                return None
            failure = await self._storage.append(batch, committed_index)
            if failure is not None:
                return failure
            self.synced_index = batch[-1].index
            return None

    async def truncate(self, first: int) -> StorageFailure | None:
        """Remove the end.

        :param first: index of the first record to go.
        :returns: None, or why it may still be on the disk.
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
        """Remove the beginning.

        :param first_kept: the first record to stay.
        :returns: None, or why it may still be on the disk.
        """
        return await asyncio.shield(
            self._background.start(self._compact(first_kept))
        )

    async def _compact(self, first_kept: int) -> StorageFailure | None:
        async with self._flush_lock:
            # A record that isn't synced yet can't go.
            first_kept = min(first_kept, self.synced_index)
            count = first_kept - self.first_index
            if count <= 0:
                return None
            last = self._entries[count - 1]
            for entry in self._entries[:count]:
                self.size_bytes -= len(entry.command) + ENTRY_OVERHEAD_BYTES
            del self._entries[:count]
            self.point = store.SnapshotPoint(last.index, last.term)
            self.voter_changes = [
                index for index in self.voter_changes if index > last.index
            ]
            return await self._storage.compact(first_kept)

    async def reset(self, point: store.SnapshotPoint) -> StorageFailure | None:
        """Drop every record: a snapshot has taken their place.

        :param point: the snapshot's point.
        :returns: None, or why they may still be on the disk.
        """
        return await asyncio.shield(self._background.start(self._reset(point)))

    async def _reset(
        self, point: store.SnapshotPoint
    ) -> StorageFailure | None:
        async with self._flush_lock:
            self._entries.clear()
            self.size_bytes = 0
            self.voter_changes.clear()
            self.point = point
            self.synced_index = point.index
            return await self._storage.truncate(0)
