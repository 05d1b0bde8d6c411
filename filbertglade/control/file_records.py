"""Framing of records in the files of a data folder.

A record consists of a header with length and checksum, and a payload. The
header also holds the first log index of the record's batch, and the index up
to which the log was known to be committed when the record was written. A
batch is written only after everything before it has been synced. A damaged
record that is followed by a valid record of a later batch was therefore once
complete on disk.
"""

from collections import abc
import dataclasses
import struct
import typing

import google_crc32c

_MAGIC = b'\xf1fgr'
_HEADER = struct.Struct('>4sIIQQ')
_CHECKSUM_FIELDS = struct.Struct('>IQQ')

MAXIMUM_PAYLOAD_BYTES = 1 << 30


@dataclasses.dataclass(slots=True)
class Record:
    """A record read from a file.

    :param payload: content of the record.
    :param batch_first: first log index of the record's batch.
    :param committed_index: index up to which the log was known to be
        committed when the record was written.
    :param end: offset in the file of the first byte after the record.
    """

    payload: bytes
    batch_first: int
    committed_index: int
    end: int


def frame_record(
    payload: bytes, batch_first: int, committed_index: int
) -> bytes:
    """Return a payload framed as a record.

    :param payload: content of the record.
    :param batch_first: first log index of the record's batch.
    :param committed_index: index up to which the log is known to be
        committed.
    :returns: the record, header included.
    """
    checksum = _checksum(payload, batch_first, committed_index)
    header = _HEADER.pack(
        _MAGIC, len(payload), checksum, batch_first, committed_index
    )
    return header + payload


def _checksum(payload: bytes, batch_first: int, committed_index: int) -> int:
    checksum_fields = _CHECKSUM_FIELDS.pack(
        len(payload), batch_first, committed_index
    )
    return int(
        google_crc32c.extend(google_crc32c.value(checksum_fields), payload)
    )


def read_record(data: bytes, position: int) -> Record | None:
    """Read the record at an offset.

    :param data: content of the file.
    :param position: offset of the record.
    :returns: the record, or None if there is no complete, valid one.
    """
    start = position + _HEADER.size
    if start > len(data):
        return None
    magic, length, checksum, batch_first, committed_index = (
        _HEADER.unpack_from(data, position)
    )
    end = start + length
    if magic != _MAGIC or length > MAXIMUM_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[start:end]
    if checksum != _checksum(payload, batch_first, committed_index):
        return None
    return Record(payload, batch_first, committed_index, end)


def read_records(data: bytes) -> abc.Iterator[Record]:
    """Read records from the start up to the first invalid one.

    :param data: content of the file.
    :returns: the records in order.
    """
    position = 0
    while record := read_record(data, position):
        position = record.end
        yield record


def find_records(data: bytes, position: int) -> abc.Iterator[Record]:
    """Search for valid records after a damaged one.

    :param data: content of the file.
    :param position: offset of the damaged record.
    :returns: all valid records after it.
    """
    position = data.find(_MAGIC, position + 1)
    while position >= 0:
        record = read_record(data, position)
        if record is not None:
            yield record
        next_position = position + 1 if record is None else record.end
        position = data.find(_MAGIC, next_position)


def read_next_record(file: typing.BinaryIO) -> Record | None:
    """Read the next record of an open file.

    :param file: the file.
    :returns: the record, or None if there is no complete, valid one.
    :raises OSError: a system call failed.
    """
    header = file.read(_HEADER.size)
    if len(header) < _HEADER.size:
        return None
    length = _HEADER.unpack(header)[1]
    if length > MAXIMUM_PAYLOAD_BYTES:
        return None
    return read_record(header + file.read(length), 0)
