"""The identity file of a data folder, locked while the folder is in use."""

import dataclasses
import fcntl
import os
import pathlib
import secrets

from filbertglade.control import failures
from filbertglade.control import files
from filbertglade.control import store
from filbertglade.settings import model

IDENTITY_NAME = 'voter.json'
INCARNATION_BYTES = 8

Reason = failures.StorageReason
StorageFailure = failures.StorageFailure


class IdentityFile:
    """Reads and locks the identity file of a data folder.

    :param folder: the data folder.
    :param is_founder: whether an empty folder becomes a founding voter's.
    """

    def __init__(self, folder: pathlib.Path, is_founder: bool = False) -> None:
        self._folder = folder
        self._is_founder = is_founder
        self._path = folder / IDENTITY_NAME
        self._lock: int | None = None

    def open(self, name: str) -> store.Identity | StorageFailure:
        """Read and lock the file; create one in an empty folder.

        :param name: the node's name.
        :returns: the identity, or why the folder can't be used.
        :raises OSError: a system call failed.
        """
        if not self._path.exists():
            if list_used(self._folder):
                return StorageFailure(
                    Reason.BROKEN,
                    f'{self._folder}: {IDENTITY_NAME} is missing',
                )
            write_identity(
                self._folder,
                store.Identity(name, new_incarnation(), self._is_founder),
            )
        if not self._try_lock():
            return StorageFailure(
                Reason.IN_USE, f'another process uses {self._folder}'
            )
        return self._read(name)

    def _read(self, name: str) -> store.Identity | StorageFailure:
        values = files.read_json(self._path)
        if isinstance(values, StorageFailure):
            return values
        identity = store.Identity(**values)
        if identity.name != name:
            return StorageFailure(
                Reason.WRONG_NODE,
                f'{self._folder} belongs to {identity.name!r}, not {name!r}',
            )
        return identity

    def _try_lock(self) -> bool:
        self._lock = os.open(self._path, os.O_RDONLY)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def unlock(self) -> None:
        """Release the lock, so that other processes can use the folder."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None


def list_used(folder: pathlib.Path) -> list[str]:
    """Return the names in a folder but those of temporary files.

    A process that was killed may have left these.

    :param folder: the data folder.
    :raises OSError: a system call failed.
    """
    return sorted(
        path.name
        for path in folder.iterdir()
        if not path.name.endswith(files.TEMPORARY_SUFFIX)
    )


def new_incarnation() -> str:
    """Return a random name for a new incarnation of a data folder.

    The process's seeded generator must not be used: it would give a wiped
    folder the name of its previous incarnation again.
    """
    return secrets.token_hex(INCARNATION_BYTES)


def write_identity(folder: pathlib.Path, identity: store.Identity) -> None:
    """Write the identity file of a data folder.

    :param folder: the data folder.
    :param identity: the identity to write.
    :raises OSError: a system call failed.
    """
    files.write_json(folder / IDENTITY_NAME, dataclasses.asdict(identity))


def init_control(settings: model.VoterSettings) -> StorageFailure | None:
    """Mark an empty data folder as that of a founding voter.

    :param settings: the node's settings.
    :returns: None, or why the folder can't be marked.
    """
    folder = pathlib.Path(settings.control.data_folder)
    identity = store.Identity(settings.name, new_incarnation(), founding=True)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        present = list_used(folder)
        if present:
            return StorageFailure(
                Reason.NOT_EMPTY, f'{folder} holds {", ".join(present[:3])}'
            )
        write_identity(folder, identity)
        files.sync_folder(folder.parent)
    except OSError as error:
        return StorageFailure(Reason.WRITE_FAILED, str(error))
    return None
