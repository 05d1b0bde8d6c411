"""Atomic replacement of files, and syncing of folders."""

import json
import os
import pathlib
import typing

import google_crc32c

from filbertglade.control import failures

TEMPORARY_SUFFIX = '.tmp'


def sync_folder(folder: pathlib.Path) -> None:
    """Make the directory entries of a folder durable.

    :param folder: the folder.
    :raises OSError: a system call failed.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replace the content of a file atomically and durably.

    :param path: the file.
    :param data: its new content.
    :raises OSError: a system call failed.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with open(temporary, 'wb') as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def probe_folder(folder: pathlib.Path, size_bytes: int) -> None:
    """Write and remove a temporary file.

    :param folder: the folder.
    :param size_bytes: size of the file.
    :raises OSError: the disk doesn't take that many bytes.
    """
    probe = folder / ('probe' + TEMPORARY_SUFFIX)
    with open(probe, 'wb') as file:
        file.write(bytes(size_bytes))
        file.flush()
        os.fsync(file.fileno())
    probe.unlink()


def write_json(path: pathlib.Path, values: dict[str, typing.Any]) -> None:
    """Write values as JSON with a checksum, atomically and durably.

    :param path: the file.
    :param values: values that JSON can represent.
    :raises OSError: a system call failed.
    """
    text = json.dumps(values, sort_keys=True)
    checksum = google_crc32c.value(text.encode())
    envelope = {'checksum': checksum, 'values': values}
    replace_file(path, json.dumps(envelope, sort_keys=True).encode() + b'\n')


def read_json(
    path: pathlib.Path,
) -> dict[str, typing.Any] | failures.StorageFailure:
    """Read a file written by :func:`write_json`.

    :param path: the file.
    :returns: the values, or a failure if the checksum doesn't match.
    :raises OSError: a system call failed.
    """
    try:
        envelope = json.loads(path.read_bytes())
        values = dict(envelope['values'])
        text = json.dumps(values, sort_keys=True)
        matches = envelope['checksum'] == google_crc32c.value(text.encode())
    except (ValueError, KeyError, TypeError):
        matches = False
    if not matches:
        return failures.StorageFailure(
            failures.StorageReason.BROKEN, f'{path} is damaged'
        )
    return values
