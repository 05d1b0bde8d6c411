"""A data folder in memory that retains only synced writes."""

import asyncio
import dataclasses

from filbertglade.control import failures
from filbertglade.control import store

WRITE_FAILED = failures.StorageFailure(
    failures.StorageReason.WRITE_FAILED, 'no space left on device'
)
# Writes that make durable what is read when a folder is opened.
OPENING_WRITES = frozenset(('append', 'save_vote'))


@dataclasses.dataclass
class Disk:
    """Content that survives a crash."""

    identity: store.Identity | None = None
    vote: store.Vote = store.Vote()
    entries: list = dataclasses.field(default_factory=list)
    committed_index: int = 0
    point: store.SnapshotPoint = store.SnapshotPoint()
    chunks: list = dataclasses.field(default_factory=list)
    incarnation_count: int = 0
    # Number of the write, counted from now, at which the process crashes: this
    # and later writes never return.
    writes_left: int | None = None
    # Whether the write at which it crashes becomes durable nevertheless.
    last_write_stays: bool = False
    fails_writes: bool = False
    # The writes that it refuses: methods of the storage, 'snapshot' for the
    # commit of a snapshot.
    refused: frozenset[str] = frozenset()
    # Whether a refused write reaches the disk nevertheless: when the sync
    # after it failed, for instance.
    refused_write_stays: bool = False
    write_s: float = 0.001

    def mark_founding(self, name):
        self.incarnation_count += 1
        self.identity = store.Identity(
            name, f'{name}-{self.incarnation_count}', True
        )

    def wipe(self):
        self.__init__(
            incarnation_count=self.incarnation_count, write_s=self.write_s
        )


class MemoryStorage(store.Storage):
    """A process's access to a disk; it ends with a crash of the process."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.crashed = asyncio.Event()

    async def _write(self, change, kind):
        if self.crashed.is_set():
            await asyncio.Future()
        await asyncio.sleep(self.disk.write_s)
        if self.crashed.is_set():
            await asyncio.Future()
        if self.disk.fails_writes or kind in self.disk.refused:
            if self.disk.refused_write_stays:
                change()
            return WRITE_FAILED
        if self.disk.writes_left is not None:
            self.disk.writes_left -= 1
            if self.disk.writes_left <= 0:
                self.disk.writes_left = None
                if self.disk.last_write_stays:
                    change()
                self.crashed.set()
                await asyncio.Future()
        change()
        return None

    async def open(self, name):
        disk = self.disk
        if disk.fails_writes or disk.refused & OPENING_WRITES:
            return WRITE_FAILED
        if disk.identity is None:
            disk.incarnation_count += 1
            incarnation = f'{name}-{disk.incarnation_count}'
            disk.identity = store.Identity(name, incarnation, False)
        entries = list(disk.entries)
        position = disk.point.index - entries[0].index if entries else 0
        if entries and (
            entries[-1].index < disk.point.index
            or (position >= 0 and entries[position].term != disk.point.term)
        ):
            entries = []
        disk.entries = entries
        return store.StoredState(
            disk.identity,
            disk.vote,
            disk.point,
            list(entries),
            max(disk.committed_index, disk.point.index),
        )

    async def save_vote(self, vote):
        return await self._write(
            lambda: setattr(self.disk, 'vote', vote), 'save_vote'
        )

    async def append(self, entries, committed_index):
        def change():
            disk = self.disk
            if disk.entries:
                assert entries[0].index == disk.entries[-1].index + 1
            disk.entries.extend(entries)
            disk.committed_index = max(
                disk.committed_index,
                min(committed_index, entries[0].index - 1),
            )

        return await self._write(change, 'append')

    async def truncate(self, first_index):
        def change():
            self.disk.entries = [
                entry
                for entry in self.disk.entries
                if entry.index < first_index
            ]

        return await self._write(change, 'truncate')

    async def compact(self, first_kept):
        def change():
            self.disk.entries = [
                entry
                for entry in self.disk.entries
                if entry.index >= first_kept
            ]

        return await self._write(change, 'compact')

    async def begin_snapshot(self, point):
        return _Writer(self, point)

    async def read_snapshot(self):
        if not self.disk.point.index:
            return None
        return _Reader(self.disk.point, list(self.disk.chunks))

    async def close(self):
        self.crashed.set()

    async def write_snapshot(self, point, chunks):
        def change():
            self.disk.point = point
            self.disk.chunks = chunks

        return await self._write(change, 'snapshot')


class _Writer(store.SnapshotWriter):
    def __init__(self, storage, point):
        self._storage = storage
        self._point = point
        self._chunks = []

    async def write(self, chunk):
        self._chunks.append(chunk)

    async def commit(self):
        return await self._storage.write_snapshot(self._point, self._chunks)

    async def abort(self):
        pass


class _Reader(store.SnapshotReader):
    def __init__(self, point, chunks):
        self.point = point
        self._chunks = chunks

    async def read(self):
        return self._chunks.pop(0) if self._chunks else b''

    def close(self):
        pass
