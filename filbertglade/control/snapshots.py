"""Taking snapshots of the agreed state, and loading them at the start."""

import asyncio
import typing

from filbertglade import clock
from filbertglade.control import failures
from filbertglade.control import state
from filbertglade.control import store
from filbertglade.control import voter_state
from filbertglade.observability import logs

# Memory that the log may take before a snapshot is due.
LOG_LIMIT_BYTES = 32 << 20
# The same while a snapshot is on its way to another voter.
TRANSFER_LIMIT_BYTES = 256 << 20
# Part of the records between two snapshots that stays for slow followers.
KEPT_PART = 4

log = logs.get_log(__name__)


class Snapshotter:
    """Takes snapshots while the voter goes on.

    :param voter: the voter.
    """

    def __init__(self, voter: voter_state.VoterState) -> None:
        self._voter = voter
        self._due = asyncio.Event()
        self._tried_index = 0
        # Memory that the log took after the last snapshot.
        self._left_bytes = 0

    def schedule_if_due(self) -> None:
        """Let a snapshot be taken if one is due."""
        voter = self._voter
        interval = voter.settings.control.snapshot_entries
        applied = voter.state.applied_index
        since = applied - max(voter.snapshot.index, self._tried_index)
        grown_bytes = voter.journal.size_bytes - self._left_bytes
        if since >= interval or (since > 0 and grown_bytes > LOG_LIMIT_BYTES):
            self._due.set()

    async def run(self) -> typing.NoReturn:
        """Take a snapshot whenever one is due."""
        while True:
            await self._due.wait()
            self._due.clear()
            async with self._voter.snapshot_lock:
                self._tried_index = self._voter.state.applied_index
                failure = await self._take()
                self._left_bytes = self._voter.journal.size_bytes
            if failure is not None:
                # The log still holds everything.
                self._voter.counters.count('agreement_snapshot_failures')
                log.error('snapshot.failed', reason=str(failure))

    async def _take(self) -> failures.StorageFailure | None:
        voter = self._voter
        started_ms = clock.now_ms()
        index = voter.state.applied_index
        term = voter.journal.term_at(index)
        if term is None or index <= voter.snapshot.index:
            return None
        point = store.SnapshotPoint(index, term)
        chunks = voter.state.dump()
        writer = await voter.storage.begin_snapshot(point)
        if isinstance(writer, failures.StorageFailure):
            return writer
        failure = await _write_all(writer, chunks)
        if failure is not None:
            return failure
        voter.snapshot = point
        took_ms = clock.now_ms() - started_ms
        voter.counters.record_ms('agreement_snapshot', took_ms)
        log.change('snapshot.taken', index=index, took_ms=took_ms)
        return await self._compact_log(point)

    async def _compact_log(
        self, point: store.SnapshotPoint
    ) -> failures.StorageFailure | None:
        """Cut off what the snapshot covers, but for some of it."""
        voter = self._voter
        kept = voter.settings.control.snapshot_entries // KEPT_PART
        if voter.journal.size_bytes > LOG_LIMIT_BYTES:
            kept = 0
        first_kept = point.index + 1 - kept
        if voter.journal.size_bytes < TRANSFER_LIMIT_BYTES:
            first_kept = min(first_kept, self._first_needed())
        return await voter.journal.compact(first_kept)

    def _first_needed(self) -> int:
        """Return the first record that a snapshot under way builds on.

        Were it cut off meanwhile, the snapshot would come too late, and so
        would every one after it.
        """
        voter = self._voter
        if voter.leadership is None:
            return voter.journal.last_index + 1
        sent = [
            replicator.sending_snapshot_index
            for replicator in voter.leadership.replicators
            if replicator.sending_snapshot_index is not None
        ]
        return min(sent, default=voter.journal.last_index) + 1


async def _write_all(
    writer: store.SnapshotWriter, chunks: typing.Iterator[bytes]
) -> failures.StorageFailure | None:
    committed = False
    try:
        for chunk in chunks:
            failure = await writer.write(chunk)
            if failure is not None:
                return failure
        failure = await writer.commit()
        committed = failure is None
        return failure
    finally:
        if not committed:
            await writer.abort()


async def load_snapshot(
    storage: store.Storage, agreed: state.AgreedState
) -> failures.StorageFailure | None:
    """Load the newest snapshot, if there is one, into the state.

    :param storage: the data folder, opened.
    :param agreed: the state.
    :returns: None, or why the snapshot can't be loaded.
    """
    reader = await storage.read_snapshot()
    if reader is None or isinstance(reader, failures.StorageFailure):
        return reader
    loaded = state.AgreedState()
    try:
        while True:
            chunk = await reader.read()
            if isinstance(chunk, failures.StorageFailure):
                return chunk
            if not chunk:
                break
            loaded.load_chunk(chunk)
    finally:
        reader.close()
    agreed.adopt(loaded)
    return None
