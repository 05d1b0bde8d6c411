"""The data folder as files.

* ``voter.json``: whose folder it is; locked while a process uses it;
* ``vote.json``: term and vote;
* ``log-INDEX``: records of the log from this index on;
* ``snapshot-INDEX-TERM``: the state up to this record.
"""

import asyncio
from collections import abc
from concurrent import futures
import dataclasses
import fcntl
import os
import pathlib
import secrets
import typing

from filbertglade.control import failures
from filbertglade.control import files
from filbertglade.control import records
from filbertglade.control import segments
from filbertglade.control import store
from filbertglade.settings import model

IDENTITY_NAME = 'voter.json'
INCARNATION_BYTES = 8
VOTE_NAME = 'vote.json'
SNAPSHOT_PREFIX = 'snapshot-'

Reason = failures.StorageReason
StorageFailure = failures.StorageFailure
Storage = store.Storage
Result = typing.TypeVar('Result')


class _Worker:
    """Runs blocking calls in one thread, in order."""

    def __init__(self) -> None:
        self._executor = futures.ThreadPoolExecutor(max_workers=1)

    async def run(
        self, work: abc.Callable[[], Result], reason: Reason
    ) -> Result | StorageFailure:
        loop = asyncio.get_running_loop()
        try:
            return await loop.run_in_executor(self._executor, work)
        except OSError as error:
            return StorageFailure(reason, str(error))

    def close(self) -> None:
        self._executor.shutdown(wait=False)


class FileStorage(store.Storage):
    """A data folder on a disk.

    :param folder: the folder; made if it is missing.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._worker = _Worker()
        # Snapshots have their own thread: syncing a large one must not hold
        # up the log.
        self._snapshot_worker = _Worker()
        self._log = segments.SegmentedLog(folder)
        self._point = store.SnapshotPoint()
        self._lock: int | None = None

    async def open(self, name: str) -> store.Stored | StorageFailure:
        """Read the folder; an empty one becomes a learner's.

        :param name: the node's name.
        :returns: what it held, or why it can't be used.
        """
        found = await self._worker.run(
            lambda: self._open(name), Reason.READ_FAILED
        )
        if isinstance(found, StorageFailure):
            self._unlock()
        return found

    def _open(self, name: str) -> store.Stored | StorageFailure:
        self._folder.mkdir(parents=True, exist_ok=True)
        identity = self._open_identity(name)
        if isinstance(identity, StorageFailure):
            return identity
        self._remove_temporary()
        vote = self._read_vote()
        if isinstance(vote, StorageFailure):
            return vote
        point = self._find_snapshot()
        self._point = point
        log = self._log.open(point)
        if isinstance(log, StorageFailure):
            return log
        if vote is None:
            if log.entries or point.index:
                return self._broken(f'{VOTE_NAME} is missing')
            vote = store.Vote()
        return store.Stored(
            identity,
            vote,
            point,
            log.entries,
            max(log.committed_index, point.index),
            log.cut_bytes,
        )

    def _open_identity(self, name: str) -> store.Identity | StorageFailure:
        path = self._folder / IDENTITY_NAME
        if not path.exists():
            present = [
                item.name
                for item in self._folder.iterdir()
                if not item.name.endswith(files.TEMPORARY_SUFFIX)
            ]
            if present:
                return self._broken(f'{IDENTITY_NAME} is missing')
            write_identity(
                self._folder,
                store.Identity(name, new_incarnation(), False),
            )
        if not self._try_lock(path):
            return StorageFailure(
                Reason.IN_USE, f'another process uses {self._folder}'
            )
        values = files.read_json(path)
        if isinstance(values, StorageFailure):
            return values
        identity = store.Identity(**values)
        if identity.name != name:
            return StorageFailure(
                Reason.WRONG_NODE,
                f'{self._folder} belongs to {identity.name!r}, not {name!r}',
            )
        return identity

    def _try_lock(self, path: pathlib.Path) -> bool:
        self._lock = os.open(path, os.O_RDONLY)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def _unlock(self) -> None:
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def _broken(self, detail: str) -> StorageFailure:
        return StorageFailure(Reason.BROKEN, f'{self._folder}: {detail}')

    def _remove_temporary(self) -> None:
        for path in self._folder.glob('*' + files.TEMPORARY_SUFFIX):
            path.unlink()

    def _read_vote(self) -> store.Vote | StorageFailure | None:
        path = self._folder / VOTE_NAME
        if not path.exists():
            return None
        values = files.read_json(path)
        if isinstance(values, StorageFailure):
            return values
        return store.Vote(**values)

    def _find_snapshot(self) -> store.SnapshotPoint:
        """Return the newest snapshot's point; older files are removed."""
        points = [store.SnapshotPoint()]
        for path in self._folder.glob(SNAPSHOT_PREFIX + '*'):
            index, _, term = path.name[len(SNAPSHOT_PREFIX) :].partition('-')
            points.append(store.SnapshotPoint(int(index), int(term)))
        points.sort(key=lambda point: point.index)
        for point in points[1:-1]:
            self._snapshot_path(point).unlink()
        return points[-1]

    def _snapshot_path(self, point: store.SnapshotPoint) -> pathlib.Path:
        name = f'{SNAPSHOT_PREFIX}{point.index:020d}-{point.term}'
        return self._folder / name

    async def save_vote(self, vote: store.Vote) -> StorageFailure | None:
        """Save term and vote.

        :param vote: the new ones.
        """
        path = self._folder / VOTE_NAME
        return await self._worker.run(
            lambda: files.write_json(path, dataclasses.asdict(vote)),
            Reason.WRITE_FAILED,
        )

    async def append(
        self, entries: list[segments.LogEntry], committed_index: int
    ) -> StorageFailure | None:
        """Append records to the log and sync them.

        :param entries: at least one; they follow on the last one.
        :param committed_index: how far the log is known to be committed.
        """
        return await self._worker.run(
            lambda: self._log.append(entries, committed_index),
            Reason.WRITE_FAILED,
        )

    async def truncate(self, first_index: int) -> StorageFailure | None:
        """Remove the log's end.

        :param first_index: the first record to go.
        """
        return await self._worker.run(
            lambda: self._log.truncate(first_index), Reason.WRITE_FAILED
        )

    async def cut(self, first_kept: int) -> StorageFailure | None:
        """Remove whole files of the log's beginning.

        :param first_kept: the first record that must stay.
        """
        return await self._worker.run(
            lambda: self._log.cut(first_kept), Reason.WRITE_FAILED
        )

    async def begin_snapshot(
        self, point: store.SnapshotPoint
    ) -> store.SnapshotWriter | StorageFailure:
        """Begin a snapshot in a temporary file.

        :param point: the record up to which it holds everything.
        """
        path = self._snapshot_path(point)
        temporary = path.with_name(path.name + files.TEMPORARY_SUFFIX)
        file = await self._snapshot_worker.run(
            lambda: open(temporary, 'wb'), Reason.WRITE_FAILED
        )
        if isinstance(file, StorageFailure):
            return file
        return _FileSnapshotWriter(self, point, file, path)

    async def read_snapshot(
        self,
    ) -> store.SnapshotReader | StorageFailure | None:
        """Open the newest snapshot; None if there is none."""
        if not self._point.index:
            return None
        point = self._point
        file = await self._snapshot_worker.run(
            lambda: open(self._snapshot_path(point), 'rb'),
            Reason.READ_FAILED,
        )
        if isinstance(file, StorageFailure):
            return file
        return _FileSnapshotReader(self._snapshot_worker, point, file)

    async def run_for_snapshot(
        self, work: abc.Callable[[], Result]
    ) -> Result | StorageFailure:
        """Run a snapshot's blocking write.

        :param work: the write.
        :returns: its result, or why it failed.
        """
        return await self._snapshot_worker.run(work, Reason.WRITE_FAILED)

    def adopt_snapshot(
        self, temporary: pathlib.Path, point: store.SnapshotPoint
    ) -> None:
        """Put a synced temporary file in the place of the old snapshot.

        :param temporary: the file.
        :param point: its point.
        :raises OSError: the operating system refused.
        """
        old = self._point
        os.replace(temporary, self._snapshot_path(point))
        files.sync_folder(self._folder)
        self._point = point
        if old.index and old != point:
            self._snapshot_path(old).unlink()

    async def close(self) -> None:
        """Release the folder."""
        await self._worker.run(self._log.close, Reason.WRITE_FAILED)
        self._worker.close()
        self._snapshot_worker.close()
        self._unlock()


class _FileSnapshotWriter(store.SnapshotWriter):
    """Writes chunks as records; an empty one marks the end."""

    def __init__(
        self,
        owner: FileStorage,
        point: store.SnapshotPoint,
        file: typing.BinaryIO,
        path: pathlib.Path,
    ) -> None:
        self._owner = owner
        self._point = point
        self._file = file
        self._temporary = pathlib.Path(file.name)
        self._path = path
        self._chunk_count = 0

    async def write(self, chunk: bytes) -> StorageFailure | None:
        """Write the next part.

        :param chunk: not empty.
        :returns: None, or why it wasn't written.
        """
        return await self._owner.run_for_snapshot(lambda: self._write(chunk))

    def _write(self, chunk: bytes) -> None:
        self._file.write(
            records.frame_record(chunk, self._chunk_count, self._point.index)
        )
        self._chunk_count += 1

    async def commit(self) -> StorageFailure | None:
        """Sync the snapshot and put it in the place of the earlier one."""
        return await self._owner.run_for_snapshot(self._commit)

    def _commit(self) -> None:
        self._write(b'')
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.close()
        self._owner.adopt_snapshot(self._temporary, self._point)

    async def abort(self) -> None:
        """Forget what was written."""
        await self._owner.run_for_snapshot(self._abort)

    def _abort(self) -> None:
        self._file.close()
        self._temporary.unlink(missing_ok=True)


class _FileSnapshotReader(store.SnapshotReader):
    """Reads chunks back and checks that none is missing."""

    def __init__(
        self,
        worker: _Worker,
        point: store.SnapshotPoint,
        file: typing.BinaryIO,
    ) -> None:
        self.point = point
        self._worker = worker
        self._file = file
        self._chunk_count = 0

    async def read(self) -> bytes | StorageFailure:
        """Return the next part; empty at the end."""
        return await self._worker.run(self._read, Reason.READ_FAILED)

    def _read(self) -> bytes | StorageFailure:
        record = records.read_from(self._file)
        expected = (self._chunk_count, self.point.index)
        if (
            record is None
            or (record.batch_first, record.committed_index) != expected
        ):
            return StorageFailure(
                Reason.BROKEN, f'{self._file.name} is damaged'
            )
        self._chunk_count += 1
        return record.payload

    def close(self) -> None:
        """Release the file."""
        self._file.close()


def new_incarnation() -> str:
    """Return the name of a new life of a data folder.

    It must not come from the process's seeded generator: that would give a
    wiped folder the name of its earlier life again.
    """
    return secrets.token_hex(INCARNATION_BYTES)


def write_identity(folder: pathlib.Path, identity: store.Identity) -> None:
    """Write a folder's identity.

    :param folder: the data folder.
    :param identity: whose it is.
    :raises OSError: the operating system refused.
    """
    files.write_json(folder / IDENTITY_NAME, dataclasses.asdict(identity))


def init_control(settings: model.NodeSettings) -> StorageFailure | None:
    """Mark an empty data folder as a founding voter of a new cluster.

    :param settings: the node's settings.
    :returns: None, or why the folder wasn't marked.
    """
    folder = pathlib.Path(settings.control.data_folder)
    identity = store.Identity(settings.name, new_incarnation(), founding=True)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        present = sorted(path.name for path in folder.iterdir())
        if present:
            return StorageFailure(
                Reason.NOT_EMPTY, f'{folder} holds {", ".join(present[:3])}'
            )
        write_identity(folder, identity)
        files.sync_folder(folder.parent)
    except OSError as error:
        return StorageFailure(Reason.WRITE_FAILED, str(error))
    return None
