"""Files that are replaced whole, and syncing of folders."""

import json
import os
import pathlib
import typing

import google_crc32c

from filbertglade.control import failures

TEMPORARY_SUFFIX = '.tmp'


def sync_folder(folder: pathlib.Path) -> None:
    """Make the names in a folder durable.

    :param folder: the folder.
    :raises OSError: the operating system refused.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Write a file whole and durably, or leave it as it was.

    :param path: the file.
    :param data: its new content.
    :raises OSError: the operating system refused.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with open(temporary, 'wb') as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def write_json(path: pathlib.Path, values: dict[str, typing.Any]) -> None:
    """Write values durably, with a checksum.

    :param path: the file.
    :param values: what JSON can hold.
    :raises OSError: the operating system refused.
    """
    text = json.dumps(values, sort_keys=True)
    checksum = google_crc32c.value(text.encode())
    whole = {'checksum': checksum, 'values': values}
    replace_file(path, json.dumps(whole, sort_keys=True).encode() + b'\n')


def read_json(
    path: pathlib.Path,
) -> dict[str, typing.Any] | failures.StorageFailure:
    """Read what :func:`write_json` wrote.

    :param path: the file.
    :returns: the values, or a failure if they aren't what was written.
    :raises OSError: the operating system refused.
    """
    try:
        whole = json.loads(path.read_bytes())
        values = dict(whole['values'])
        text = json.dumps(values, sort_keys=True)
        matches = whole['checksum'] == google_crc32c.value(text.encode())
    except (ValueError, KeyError, TypeError):
        matches = False
    if not matches:
        return failures.StorageFailure(
            failures.StorageReason.BROKEN, f'{path} is damaged'
        )
    return values
