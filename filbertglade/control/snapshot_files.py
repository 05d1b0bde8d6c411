"""The snapshot files of a data folder.

A snapshot is written to a temporary file, synced and then renamed.
"""

from collections import abc
import os
import pathlib
import typing

from filbertglade.control import disk_worker
from filbertglade.control import failures
from filbertglade.control import file_records
from filbertglade.control import files
from filbertglade.control import store

PREFIX = 'snapshot-'

Reason = failures.StorageReason
StorageFailure = failures.StorageFailure
Result = typing.TypeVar('Result')


class SnapshotFiles:
    """Stores the newest snapshot of a data folder.

    Snapshots have a worker thread of their own: syncing a large one must not
    delay writes to the log.

    :ivar point: point of the newest snapshot; index 0 if there is none.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Initialise without accessing the disk.

        :param folder: the data folder.
        """
        self.point = store.SnapshotPoint()
        self._folder = folder
        self._worker = disk_worker.DiskWorker()

    async def finish_pending(self) -> None:
        """Wait for the writes and reads that were begun."""
        await self._worker.run(lambda: None, Reason.READ_FAILED)

    def open(self) -> store.SnapshotPoint:
        """Find the newest snapshot and remove older ones.

        :returns: the point of the newest snapshot.
        :raises OSError: a system call failed.
        """
        points = [store.SnapshotPoint()]
        for path in self._folder.glob(PREFIX + '*'):
            index, _, term = path.name[len(PREFIX) :].partition('-')
            points.append(store.SnapshotPoint(int(index), int(term)))
        points.sort(key=lambda point: point.index)
        for point in points[1:-1]:
            self._path(point).unlink()
        self.point = points[-1]
        return self.point

    def _path(self, point: store.SnapshotPoint) -> pathlib.Path:
        return self._folder / f'{PREFIX}{point.index:020d}-{point.term}'

    async def begin(
        self, point: store.SnapshotPoint
    ) -> store.SnapshotWriter | StorageFailure:
        """Start writing a snapshot to a temporary file.

        :param point: index and term of the last record it covers.
        """
        path = self._path(point)
        temporary = path.with_name(path.name + files.TEMPORARY_SUFFIX)
        file = await self.run_write(lambda: open(temporary, 'wb'))
        if isinstance(file, StorageFailure):
            return file
        return _FileSnapshotWriter(self, point, file)

    async def read(self) -> store.SnapshotReader | StorageFailure | None:
        """Open the newest snapshot for reading; None if there is none."""
        point = self.point
        if not point.index:
            return None
        file = await self._worker.run(
            lambda: open(self._path(point), 'rb'), Reason.READ_FAILED
        )
        if isinstance(file, StorageFailure):
            return file
        return _FileSnapshotReader(self._worker, point, file)

    async def run_write(
        self, work: abc.Callable[[], Result]
    ) -> Result | StorageFailure:
        """Run a blocking write in the worker thread.

        :param work: the write.
        :returns: the result of the write, or the failure.
        """
        return await self._worker.run(work, Reason.WRITE_FAILED)

    def install(
        self, temporary: pathlib.Path, point: store.SnapshotPoint
    ) -> None:
        """Replace the current snapshot by a synced temporary file.

        :param temporary: the file.
        :param point: index and term of the last record it covers.
        :raises OSError: a system call failed.
        """
        old = self.point
        os.replace(temporary, self._path(point))
        files.sync_folder(self._folder)
        self.point = point
        if old.index and old != point:
            self._path(old).unlink()

    def close(self) -> None:
        """Stop accepting reads and writes of snapshots."""
        self._worker.close()


class _FileSnapshotWriter(store.SnapshotWriter):
    """Writes chunks as records; an empty record marks the end."""

    def __init__(
        self,
        snapshot_files: SnapshotFiles,
        point: store.SnapshotPoint,
        file: typing.BinaryIO,
    ) -> None:
        self._files = snapshot_files
        self._point = point
        self._file = file
        self._temporary = pathlib.Path(file.name)
        self._chunk_count = 0

    async def write(self, chunk: bytes) -> StorageFailure | None:
        """Write the next chunk.

        :param chunk: the chunk; not empty.
        :returns: None, or why it wasn't written.
        """
        return await self._files.run_write(lambda: self._write(chunk))

    def _write(self, chunk: bytes) -> None:
        self._file.write(
            file_records.frame_record(
                chunk, self._chunk_count, self._point.index
            )
        )
        self._chunk_count += 1

    async def commit(self) -> StorageFailure | None:
        """Sync the snapshot and replace the previous one by it."""
        return await self._files.run_write(self._commit)

    def _commit(self) -> None:
        self._write(b'')
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.close()
        self._files.install(self._temporary, self._point)

    async def abort(self) -> None:
        """Discard the unfinished snapshot."""
        await self._files.run_write(self._abort)

    def _abort(self) -> None:
        self._file.close()
        self._temporary.unlink(missing_ok=True)


class _FileSnapshotReader(store.SnapshotReader):
    """Reads chunks and verifies that none is missing."""

    def __init__(
        self,
        worker: disk_worker.DiskWorker,
        point: store.SnapshotPoint,
        file: typing.BinaryIO,
    ) -> None:
        self.point = point
        self._worker = worker
        self._file = file
        self._chunk_count = 0

    async def read(self) -> bytes | StorageFailure:
        """Return the next chunk; empty at the end."""
        return await self._worker.run(self._read, Reason.READ_FAILED)

    def _read(self) -> bytes | StorageFailure:
        record = file_records.read_next_record(self._file)
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
        """Close the file."""
        self._file.close()
