"""The snapshot files of a data folder: written aside, synced, renamed."""

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
    """Keeps the newest snapshot of a folder.

    They have their own thread: syncing a large one must not hold up the log.

    :ivar point: the newest snapshot's point; of index 0 if there is none.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Begin without looking at the disk.

        :param folder: the data folder.
        """
        self.point = store.SnapshotPoint()
        self._folder = folder
        self._worker = disk_worker.DiskWorker()

    def open(self) -> store.SnapshotPoint:
        """Find the newest snapshot and remove older ones.

        :returns: its point.
        :raises OSError: the operating system refused.
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
        """Begin a snapshot in a temporary file.

        :param point: the record up to which it holds everything.
        """
        path = self._path(point)
        temporary = path.with_name(path.name + files.TEMPORARY_SUFFIX)
        file = await self.run_write(lambda: open(temporary, 'wb'))
        if isinstance(file, StorageFailure):
            return file
        return _FileSnapshotWriter(self, point, file)

    async def read(self) -> store.SnapshotReader | StorageFailure | None:
        """Open the newest snapshot; None if there is none."""
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
        """Run a blocking write.

        :param work: the write.
        :returns: its result, or why it failed.
        """
        return await self._worker.run(work, Reason.WRITE_FAILED)

    def adopt(
        self, temporary: pathlib.Path, point: store.SnapshotPoint
    ) -> None:
        """Put a synced temporary file in the place of the old snapshot.

        :param temporary: the file.
        :param point: its point.
        :raises OSError: the operating system refused.
        """
        old = self.point
        os.replace(temporary, self._path(point))
        files.sync_folder(self._folder)
        self.point = point
        if old.index and old != point:
            self._path(old).unlink()

    def close(self) -> None:
        """Begin and read no further snapshot."""
        self._worker.close()


class _FileSnapshotWriter(store.SnapshotWriter):
    """Writes chunks as records; an empty one marks the end."""

    def __init__(
        self,
        owner: SnapshotFiles,
        point: store.SnapshotPoint,
        file: typing.BinaryIO,
    ) -> None:
        self._owner = owner
        self._point = point
        self._file = file
        self._temporary = pathlib.Path(file.name)
        self._chunk_count = 0

    async def write(self, chunk: bytes) -> StorageFailure | None:
        """Write the next part.

        :param chunk: not empty.
        :returns: None, or why it wasn't written.
        """
        return await self._owner.run_write(lambda: self._write(chunk))

    def _write(self, chunk: bytes) -> None:
        self._file.write(
            file_records.frame_record(
                chunk, self._chunk_count, self._point.index
            )
        )
        self._chunk_count += 1

    async def commit(self) -> StorageFailure | None:
        """Sync the snapshot and put it in the place of the earlier one."""
        return await self._owner.run_write(self._commit)

    def _commit(self) -> None:
        self._write(b'')
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.close()
        self._owner.adopt(self._temporary, self._point)

    async def abort(self) -> None:
        """Forget what was written."""
        await self._owner.run_write(self._abort)

    def _abort(self) -> None:
        self._file.close()
        self._temporary.unlink(missing_ok=True)


class _FileSnapshotReader(store.SnapshotReader):
    """Reads chunks back and checks that none is missing."""

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
        """Return the next part; empty at the end."""
        return await self._worker.run(self._read, Reason.READ_FAILED)

    def _read(self) -> bytes | StorageFailure:
        record = file_records.read_from(self._file)
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
