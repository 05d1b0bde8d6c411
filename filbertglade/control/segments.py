"""The log's files: records in segments, each named by its first index.

The log's beginning is removed a whole segment at a time, so that nothing is
ever written again.
"""

import dataclasses
import os
import pathlib
import typing

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
    """What the segments held.

    :param entries: their records, without a gap.
    :param committed_index: how far they say the log was committed.
    :param cut_bytes: length of the torn tail that was cut off.
    """

    entries: list[LogEntry]
    committed_index: int = 0
    cut_bytes: int = 0


class SegmentedLog:
    """The segments of one data folder; every method blocks.

    :param folder: the data folder.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        # First index of each segment, in order.
        self._firsts: list[int] = []
        self._file: typing.BinaryIO | None = None
        self._size = 0

    def open(self, point: store.SnapshotPoint) -> OpenedLog | StorageFailure:
        """Read every segment, and cut off a torn tail.

        :param point: the snapshot's point; a log that ends before it, or
            has another record there, is superseded and removed.
        :returns: the records, or the damage found.
        :raises OSError: the operating system refused.
        """
        self._firsts = sorted(
            int(path.name[len(SEGMENT_PREFIX) :])
            for path in self._folder.glob(SEGMENT_PREFIX + '*')
        )
        log = OpenedLog([])
        for first in self._firsts:
            failure = self._read_segment(first, log)
            if failure is not None:
                return failure
        entries = log.entries
        if entries and entries[0].index > point.index + 1:
            return _broken(
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
            return _broken(path, f'begins at {first}, not at {expected}')
        end = 0
        for record in file_records.read_records(data):
            entry = LogEntry.FromString(record.payload)
            if entry.index != expected:
                return _broken(path, f'{entry.index} follows {expected - 1}')
            log.entries.append(entry)
            log.committed_index = max(
                log.committed_index, record.committed_index
            )
            expected += 1
            end = record.end
        if end == len(data):
            return None
        return self._cut_tail(path, data, end, expected, log)

    def _cut_tail(
        self,
        path: pathlib.Path,
        data: bytes,
        end: int,
        expected: int,
        log: OpenedLog,
    ) -> StorageFailure | None:
        """Cut off a damaged tail, unless it was once synced."""
        later = [
            found
            for found in file_records.find_records(data, end)
            if found.batch_first > expected
        ]
        is_last = path == self._path(self._firsts[-1])
        if later or not is_last or log.committed_index >= expected:
            return _broken(path, f'record {expected} is damaged')
        _truncate_file(path, end)
        log.cut_bytes = len(data) - end
        return None

    def _path(self, first: int) -> pathlib.Path:
        return self._folder / f'{SEGMENT_PREFIX}{first:020d}'

    def append(self, entries: list[LogEntry], committed_index: int) -> None:
        """Append records and sync them.

        :param entries: at least one; they follow on the last one.
        :param committed_index: how far the log is known to be committed.
        :raises OSError: the operating system refused.
        """
        batch_first = entries[0].index
        # What this batch itself holds may yet be torn.
        committed_index = min(committed_index, batch_first - 1)
        file = self._prepare(batch_first)
        data = b''.join(
            file_records.frame_record(
                entry.SerializeToString(), batch_first, committed_index
            )
            for entry in entries
        )
        file.write(data)
        file.flush()
        os.fdatasync(file.fileno())
        self._size += len(data)

    def _prepare(self, next_index: int) -> typing.BinaryIO:
        """Return the file to append to; begin a segment if need be."""
        if self._file is not None and self._size < SEGMENT_BYTES:
            return self._file
        self._close_file()
        if not self._firsts or self._size >= SEGMENT_BYTES:
            self._firsts.append(next_index)
            self._size = 0
        path = self._path(self._firsts[-1])
        is_new = not path.exists()
        self._file = open(path, 'ab')
        self._size = self._file.tell()
        if is_new:
            files.sync_folder(self._folder)
        return self._file

    def truncate(self, first_index: int) -> None:
        """Remove the log's end.

        :param first_index: the first record to go.
        :raises OSError: the operating system refused.
        """
        self._close_file()
        # From the end, so that a crash on the way leaves no gap.
        while self._firsts and self._firsts[-1] >= first_index:
            self._path(self._firsts.pop()).unlink()
            files.sync_folder(self._folder)
        self._size = 0
        if not self._firsts:
            return
        path = self._path(self._firsts[-1])
        index = self._firsts[-1]
        end = 0
        for record in file_records.read_records(path.read_bytes()):
            if index >= first_index:
                break
            end = record.end
            index += 1
        _truncate_file(path, end)

    def compact(self, first_kept: int) -> None:
        """Remove segments whose records all stand before an index.

        :param first_kept: the first record that must stay.
        :raises OSError: the operating system refused.
        """
        removed = False
        while len(self._firsts) > 1 and self._firsts[1] <= first_kept:
            self._path(self._firsts.pop(0)).unlink()
            removed = True
        if removed:
            files.sync_folder(self._folder)

    def close(self) -> None:
        """Close the file."""
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


def _broken(path: pathlib.Path, detail: str) -> StorageFailure:
    return StorageFailure(failures.StorageReason.BROKEN, f'{path}: {detail}')
