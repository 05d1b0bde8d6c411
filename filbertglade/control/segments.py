"""Segment files of the log, each named by the index of its first record.

The beginning of the log is removed in units of complete segments, so that
the remaining records needn't be rewritten.
"""

from collections import abc
import contextlib
import dataclasses
import io
import os
import pathlib

from filbertglade.control import failures
from filbertglade.control import file_records
from filbertglade.control import files
from filbertglade.control import store
from filbertglade.inner import agreement_pb2

SEGMENT_PREFIX = 'log-'
SEGMENT_BYTES = 4 << 20

LogEntry = agreement_pb2.LogEntry
StorageFailure = failures.StorageFailure


@dataclasses.dataclass(slots=True)
class OpenedLog:
    """Content of the segments when the log was opened.

    :param entries: the records, without a gap.
    :param committed_index: highest committed index stored in the records.
    :param cut_bytes: length of the torn tail that was removed, in bytes.
    """

    entries: list[LogEntry]
    committed_index: int = 0
    cut_bytes: int = 0


class SegmentedLog:
    """The log segments of a data folder; all methods block.

    :param folder: the data folder.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        # Index of the first record of each segment, ascending.
        self._first_indexes: list[int] = []
        self._file: io.FileIO | None = None
        self._size_bytes = 0
        # Whether a change failed, so that the state on disk is unknown.
        self._is_doubtful = False

    def open(self, point: store.SnapshotPoint) -> OpenedLog | StorageFailure:
        """Read all segments, and remove a torn tail.

        :param point: index and term of the last record in the snapshot. A
            log that ends before this record, or holds a record of another
            term at its index, is superseded and removed.
        :returns: the records, or the damage found.
        :raises OSError: a system call failed.
        """
        self._size_bytes = 0
        self._is_doubtful = False
        self._first_indexes = sorted(
            int(path.name[len(SEGMENT_PREFIX) :])
            for path in self._folder.glob(SEGMENT_PREFIX + '*')
        )
        log = OpenedLog([])
        for first in self._first_indexes:
            failure = self._read_segment(first, log)
            if failure is not None:
                return failure
        entries = log.entries
        if entries and entries[0].index > point.index + 1:
            return _build_damage_failure(
                self._folder,
                f'records {point.index + 1} to {entries[0].index - 1}'
                ' are missing',
            )
        if not entries or _is_superseded(entries, point):
            self.truncate(0)
            log.entries = []
        return log

    def _read_segment(
        self, first: int, log: OpenedLog
    ) -> StorageFailure | None:
        path = self._path(first)
        data = path.read_bytes()
        expected = log.entries[-1].index + 1 if log.entries else first
        if first != expected:
            return _build_damage_failure(
                path, f'first index is {first}, expected {expected}'
            )
        end = 0
        for record in file_records.read_records(data):
            entry = LogEntry.FromString(record.payload)
            if entry.index != expected:
                return _build_damage_failure(
                    path, f'record {entry.index} follows record {expected - 1}'
                )
            log.entries.append(entry)
            log.committed_index = max(
                log.committed_index, record.committed_index
            )
            expected += 1
            end = record.end
        if end == len(data):
            return None
        return self._remove_torn_tail(path, data, end, expected, log)

    def _remove_torn_tail(
        self,
        path: pathlib.Path,
        data: bytes,
        end: int,
        expected: int,
        log: OpenedLog,
    ) -> StorageFailure | None:
        """Remove a damaged tail, unless it had been synced before."""
        later = [
            found
            for found in file_records.find_records(data, end)
            if found.batch_first > expected
        ]
        is_last = path == self._path(self._first_indexes[-1])
        if later or not is_last or log.committed_index >= expected:
            return _build_damage_failure(path, f'record {expected} is damaged')
        _truncate_file(path, end)
        log.cut_bytes = len(data) - end
        return None

    def _path(self, first: int) -> pathlib.Path:
        return self._folder / f'{SEGMENT_PREFIX}{first:020d}'

    def append(self, entries: list[LogEntry], committed_index: int) -> None:
        """Append records and sync them.

        :param entries: one or more records that directly follow the last
            one.
        :param committed_index: index up to which the log is known to be
            committed.
        :raises OSError: a system call failed.
        """
        with self._changing():
            self._append(entries, committed_index)

    @contextlib.contextmanager
    def _changing(self) -> abc.Iterator[None]:
        """Refuse changes from the first failed one until the next opening.

        :raises OSError: this change or an earlier one failed.
        """
        if self._is_doubtful:
            raise OSError('an earlier change of the log failed')
        self._is_doubtful = True
        yield
        self._is_doubtful = False

    def _append(self, entries: list[LogEntry], committed_index: int) -> None:
        batch_first = entries[0].index
        # A crash may tear this batch: the stored index must not include it.
        committed_index = min(committed_index, batch_first - 1)
        file = self._open_segment(batch_first)
        data = b''.join(
            file_records.frame_record(
                entry.SerializeToString(), batch_first, committed_index
            )
            for entry in entries
        )
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[file.write(remaining) :]
        os.fdatasync(file.fileno())
        self._size_bytes += len(data)

    def _open_segment(self, next_index: int) -> io.FileIO:
        """Return the file to append to; start a new segment if needed."""
        if self._file is not None and self._size_bytes < SEGMENT_BYTES:
            return self._file
        self._close_file()
        if not self._first_indexes or self._size_bytes >= SEGMENT_BYTES:
            self._first_indexes.append(next_index)
            self._size_bytes = 0
        path = self._path(self._first_indexes[-1])
        is_new = not path.exists()
        # A buffer would keep what a failed write left, and write it later.
        self._file = open(path, 'ab', buffering=0)
        self._size_bytes = self._file.tell()
        if is_new:
            files.sync_folder(self._folder)
        return self._file

    def rewrite_last_segment(self) -> None:
        """Make the records durable that were read from the last segment.

        A sync alone isn't enough: after one that failed, the system may take
        what it holds in memory for written. Segments before the last one are
        durable, as nothing is written after a failure.

        :raises OSError: a system call failed.
        """
        if not self._first_indexes:
            return
        path = self._path(self._first_indexes[-1])
        data = path.read_bytes()
        with open(path, 'r+b') as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def truncate(self, first_index: int) -> None:
        """Remove the end of the log.

        :param first_index: index of the first record to remove.
        :raises OSError: a system call failed.
        """
        with self._changing():
            self._truncate(first_index)

    def _truncate(self, first_index: int) -> None:
        self._close_file()
        # Removes the last segment first, so that a crash leaves no gap.
        while self._first_indexes and self._first_indexes[-1] >= first_index:
            self._path(self._first_indexes.pop()).unlink()
            files.sync_folder(self._folder)
        self._size_bytes = 0
        if not self._first_indexes:
            return
        path = self._path(self._first_indexes[-1])
        index = self._first_indexes[-1]
        end = 0
        for record in file_records.read_records(path.read_bytes()):
            if index >= first_index:
                break
            end = record.end
            index += 1
        _truncate_file(path, end)

    def compact(self, first_kept: int) -> None:
        """Remove segments that hold only records before an index.

        :param first_kept: index of the first record to keep.
        :raises OSError: a system call failed.
        """
        with self._changing():
            self._compact(first_kept)

    def _compact(self, first_kept: int) -> None:
        # Syncs after each removal, so that a loss of power leaves no gap.
        while (
            len(self._first_indexes) > 1
            and self._first_indexes[1] <= first_kept
        ):
            self._path(self._first_indexes.pop(0)).unlink()
            files.sync_folder(self._folder)

    def close(self) -> None:
        """Close the open segment file."""
        self._close_file()

    def _close_file(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None


def _is_superseded(
    entries: list[LogEntry], point: store.SnapshotPoint
) -> bool:
    if entries[-1].index < point.index:
        return True
    position = point.index - entries[0].index
    return position >= 0 and entries[position].term != point.term


def _truncate_file(path: pathlib.Path, size: int) -> None:
    with open(path, 'r+b') as file:
        file.truncate(size)
        os.fsync(file.fileno())


def _build_damage_failure(path: pathlib.Path, detail: str) -> StorageFailure:
    return StorageFailure(failures.StorageReason.BROKEN, f'{path}: {detail}')
