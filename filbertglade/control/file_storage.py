"""Storage of a voter in files of a data folder.

* ``voter.json``: owner and incarnation of the folder; locked while a process
  uses the folder;
* ``vote.json``: term and vote;
* ``log-INDEX``: log records, starting at this index;
* ``snapshot-INDEX-TERM``: the state after this record.
"""

import dataclasses
import pathlib

from filbertglade import clock
from filbertglade.control import disk_worker
from filbertglade.control import failures
from filbertglade.control import files
from filbertglade.control import identity
from filbertglade.control import segments
from filbertglade.control import snapshot_files
from filbertglade.control import store
from filbertglade.observability import logs

VOTE_NAME = 'vote.json'
# Room on the disk that a voter needs to start, in bytes: more than a usual
# batch of records.
PROBE_BYTES = 65_536

Reason = failures.StorageReason
StorageFailure = failures.StorageFailure
Storage = store.Storage

log = logs.get_log(__name__)


class FileStorage(store.Storage):
    """A data folder on disk.

    :param folder: the folder; created if it is missing.
    :param is_founder: whether an empty folder becomes a founding voter's.
    """

    def __init__(self, folder: pathlib.Path, is_founder: bool = False) -> None:
        self._folder = folder
        self._worker = disk_worker.DiskWorker()
        self._identity = identity.IdentityFile(folder, is_founder)
        self._log = segments.SegmentedLog(folder)
        self._snapshots = snapshot_files.SnapshotFiles(folder)

    async def open(self, name: str) -> store.StoredState | StorageFailure:
        """Read the folder; an empty one is set up as a learner's.

        :param name: name of the node.
        :returns: content of the folder, or why it can't be used.
        """
        started_ms = clock.now_ms()
        await self._snapshots.finish_pending()
        found = await self._worker.run(self._list_files, Reason.READ_FAILED)
        stored = await self._worker.run(
            lambda: self._open(name), Reason.READ_FAILED
        )
        took_ms = clock.now_ms() - started_ms
        if isinstance(stored, StorageFailure):
            self._identity.unlock()
            log.error(
                'folder.refused',
                reason=str(stored),
                found=str(found),
                took_ms=took_ms,
            )
        else:
            log.change(
                'folder.read',
                found=str(found),
                cut_bytes=stored.cut_bytes,
                entries=len(stored.entries),
                committed_index=stored.committed_index,
                took_ms=took_ms,
            )
        return stored

    def _list_files(self) -> dict[str, int]:
        """Return the sizes of the files, before any of them is changed."""
        if not self._folder.exists():
            return {}
        return {
            path.name: path.stat().st_size
            for path in sorted(self._folder.iterdir())
        }

    def _open(self, name: str) -> store.StoredState | StorageFailure:
        self._log.close()
        self._identity.unlock()
        self._folder.mkdir(parents=True, exist_ok=True)
        stored_identity = self._identity.open(name)
        if isinstance(stored_identity, StorageFailure):
            return stored_identity
        self._remove_temporary_files()
        # A killed process may have left names that aren't durable.
        files.sync_folder(self._folder)
        vote = self._read_vote()
        if isinstance(vote, StorageFailure):
            return vote
        # Fails while the disk has no room for what a voter appends.
        files.probe_folder(self._folder, PROBE_BYTES)
        if vote is not None:
            self._write_vote(vote)
        point = self._snapshots.open()
        log = self._log.open(point)
        if isinstance(log, StorageFailure):
            return log
        self._log.rewrite_last_segment()
        if vote is None:
            if log.entries or point.index:
                return self._build_damage_failure(f'{VOTE_NAME} is missing')
            vote = store.Vote()
        return store.StoredState(
            stored_identity,
            vote,
            point,
            log.entries,
            max(log.committed_index, point.index),
            log.cut_bytes,
        )

    def _build_damage_failure(self, detail: str) -> StorageFailure:
        return StorageFailure(Reason.BROKEN, f'{self._folder}: {detail}')

    def _remove_temporary_files(self) -> None:
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

        :param vote: the new term and vote.
        """
        return await self._worker.run(
            lambda: self._write_vote(vote), Reason.WRITE_FAILED
        )

    def _write_vote(self, vote: store.Vote) -> None:
        files.write_json(self._folder / VOTE_NAME, dataclasses.asdict(vote))

    async def append(
        self, entries: list[segments.LogEntry], committed_index: int
    ) -> StorageFailure | None:
        """Append records to the log and sync them.

        :param entries: one or more records that directly follow the last
            one.
        :param committed_index: index up to which the log is known to be
            committed.
        """
        return await self._worker.run(
            lambda: self._log.append(entries, committed_index),
            Reason.WRITE_FAILED,
        )

    async def truncate(self, first_index: int) -> StorageFailure | None:
        """Remove the end of the log.

        :param first_index: index of the first record to remove.
        """
        return await self._worker.run(
            lambda: self._log.truncate(first_index), Reason.WRITE_FAILED
        )

    async def compact(self, first_kept: int) -> StorageFailure | None:
        """Remove segment files from the beginning of the log.

        :param first_kept: index of the first record to keep.
        """
        return await self._worker.run(
            lambda: self._log.compact(first_kept), Reason.WRITE_FAILED
        )

    async def begin_snapshot(
        self, point: store.SnapshotPoint
    ) -> store.SnapshotWriter | StorageFailure:
        """Start writing a snapshot to a temporary file.

        :param point: index and term of the last record it covers.
        """
        return await self._snapshots.begin(point)

    async def read_snapshot(
        self,
    ) -> store.SnapshotReader | StorageFailure | None:
        """Open the newest snapshot for reading; None if there is none."""
        return await self._snapshots.read()

    async def close(self) -> None:
        """Close the folder, so that another process can use it."""
        await self._worker.run(self._log.close, Reason.WRITE_FAILED)
        self._worker.close()
        self._snapshots.close()
        self._identity.unlock()
