"""Records of the files in a data folder: length, checksum, payload.

Each record also says which log index its batch began with and how far the
log was known to be committed when it was written. What stands before a
batch was synced before the batch was written; so a damaged record with a
valid record of a later batch behind it was once whole.
"""

from collections import abc
import dataclasses
import struct
import typing

import google_crc32c

_MAGIC = b'\xf1fgr'
_HEADER = struct.Struct('>4sIIQQ')
_SUMMED = struct.Struct('>IQQ')

MAXIMUM_BYTES = 1 << 30


@dataclasses.dataclass(slots=True)
class Record:
    """One record as read from a file.

    :param payload: what it carries.
    :param batch_first: log index its batch began with.
    :param committed_index: log index known to be committed at its writing.
    :param end: position in the file just behind it.
    """

    payload: bytes
    batch_first: int
    committed_index: int
    end: int


def frame_record(
    payload: bytes, batch_first: int, committed_index: int
) -> bytes:
    """Return a payload as a record.

    :param payload: what it carries.
    :param batch_first: log index its batch begins with.
    :param committed_index: log index known to be committed.
    :returns: the record's bytes.
    """
    checksum = _checksum(payload, batch_first, committed_index)
    header = _HEADER.pack(
        _MAGIC, len(payload), checksum, batch_first, committed_index
    )
    return header + payload


def _checksum(payload: bytes, batch_first: int, committed_index: int) -> int:
    summed = _SUMMED.pack(len(payload), batch_first, committed_index)
    return int(google_crc32c.extend(google_crc32c.value(summed), payload))


def read_record(data: bytes, position: int) -> Record | None:
    """Read the record at a position.

    :param data: the file's content.
    :param position: where the record begins.
    :returns: the record, or None if there is no whole one.
    """
    start = position + _HEADER.size
    if start > len(data):
        return None
    magic, length, checksum, batch_first, committed_index = (
        _HEADER.unpack_from(data, position)
    )
    end = start + length
    if magic != _MAGIC or length > MAXIMUM_BYTES or end > len(data):
        return None
    payload = data[start:end]
    if checksum != _checksum(payload, batch_first, committed_index):
        return None
    return Record(payload, batch_first, committed_index, end)


def read_records(data: bytes) -> abc.Iterator[Record]:
    """Read records from the start until one isn't whole.

    :param data: the file's content.
    :returns: the records in order.
    """
    position = 0
    while record := read_record(data, position):
        position = record.end
        yield record


def find_records(data: bytes, position: int) -> abc.Iterator[Record]:
    """Search for whole records behind a damaged place.

    :param data: the file's content.
    :param position: where the damage begins.
    :returns: every whole record found.
    """
    position = data.find(_MAGIC, position + 1)
    while position >= 0:
        record = read_record(data, position)
        if record is not None:
            yield record
        behind = position + 1 if record is None else record.end
        position = data.find(_MAGIC, behind)


def read_from(file: typing.BinaryIO) -> Record | None:
    """Read the next record of an open file.

    :param file: the file.
    :returns: the record, or None if there is no whole one.
    :raises OSError: the operating system refused.
    """
    header = file.read(_HEADER.size)
    if len(header) < _HEADER.size:
        return None
    length = _HEADER.unpack(header)[1]
    if length > MAXIMUM_BYTES:
        return None
    return read_record(header + file.read(length), 0)
