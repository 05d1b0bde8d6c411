"""The data folder as files.

* ``voter.json``: whose folder it is; locked while a process uses it;
* ``vote.json``: term and vote;
* ``log-INDEX``: records of the log from this index on;
* ``snapshot-INDEX-TERM``: the state up to this record.
"""

import dataclasses
import pathlib

from filbertglade.control import disk_worker
from filbertglade.control import failures
from filbertglade.control import files
from filbertglade.control import identity
from filbertglade.control import segments
from filbertglade.control import snapshot_files
from filbertglade.control import store

VOTE_NAME = 'vote.json'

Reason = failures.StorageReason
StorageFailure = failures.StorageFailure
Storage = store.Storage


class FileStorage(store.Storage):
    """A data folder on a disk.

    :param folder: the folder; made if it is missing.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._worker = disk_worker.DiskWorker()
        self._identity = identity.IdentityFile(folder)
        self._log = segments.SegmentedLog(folder)
        self._snapshots = snapshot_files.SnapshotFiles(folder)

    async def open(self, name: str) -> store.StoredState | StorageFailure:
        """Read the folder; an empty one becomes a learner's.

        :param name: the node's name.
        :returns: what it held, or why it can't be used.
        """
        found = await self._worker.run(
            lambda: self._open(name), Reason.READ_FAILED
        )
        if isinstance(found, StorageFailure):
            self._identity.unlock()
        return found

    def _open(self, name: str) -> store.StoredState | StorageFailure:
        self._folder.mkdir(parents=True, exist_ok=True)
        owner = self._identity.open(name)
        if isinstance(owner, StorageFailure):
            return owner
        self._remove_temporary()
        vote = self._read_vote()
        if isinstance(vote, StorageFailure):
            return vote
        point = self._snapshots.open()
        log = self._log.open(point)
        if isinstance(log, StorageFailure):
            return log
        if vote is None:
            if log.entries or point.index:
                return self._broken(f'{VOTE_NAME} is missing')
            vote = store.Vote()
        return store.StoredState(
            owner,
            vote,
            point,
            log.entries,
            max(log.committed_index, point.index),
            log.cut_bytes,
        )

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

    async def compact(self, first_kept: int) -> StorageFailure | None:
        """Remove whole files of the log's beginning.

        :param first_kept: the first record that must stay.
        """
        return await self._worker.run(
            lambda: self._log.compact(first_kept), Reason.WRITE_FAILED
        )

    async def begin_snapshot(
        self, point: store.SnapshotPoint
    ) -> store.SnapshotWriter | StorageFailure:
        """Begin a snapshot in a temporary file.

        :param point: the record up to which it holds everything.
        """
        return await self._snapshots.begin(point)

    async def read_snapshot(
        self,
    ) -> store.SnapshotReader | StorageFailure | None:
        """Open the newest snapshot; None if there is none."""
        return await self._snapshots.read()

    async def close(self) -> None:
        """Release the folder."""
        await self._worker.run(self._log.close, Reason.WRITE_FAILED)
        self._worker.close()
        self._snapshots.close()
        self._identity.unlock()
