"""Taking snapshots of the agreed state, and loading them at startup."""

import asyncio
import typing

from filbertglade import clock
from filbertglade.control import failures
from filbertglade.control import log_formats
from filbertglade.control import state
from filbertglade.control import store
from filbertglade.control import voter_state
from filbertglade.observability import logs

# Memory the log may use before a snapshot is taken.
LOG_LIMIT_BYTES = 32 << 20
# Memory of the log above which records that a transfer to another voter still
# needs are removed too.
TRANSFER_LIMIT_BYTES = 256 << 20
# Divides `snapshot_entries`; the result is the number of records before a
# snapshot that are kept for slow followers.
KEPT_RECORDS_DIVISOR = 4

log = logs.get_log(__name__)


class Snapshotter:
    """Takes snapshots in the background while the voter operates.

    :param voter: the voter.
    """

    def __init__(self, voter: voter_state.VoterState) -> None:
        self._voter = voter
        self._due = asyncio.Event()
        self._attempted_index = 0
        # Memory used by the log just after the last snapshot attempt.
        self._remaining_bytes = 0

    def schedule_if_due(self) -> None:
        """Schedule a snapshot if the log has grown enough."""
        voter = self._voter
        interval = voter.settings.control.snapshot_entries
        applied = voter.state.applied_index
        since = applied - max(voter.snapshot.index, self._attempted_index)
        grown_bytes = voter.journal.size_bytes - self._remaining_bytes
        if since >= interval or (since > 0 and grown_bytes > LOG_LIMIT_BYTES):
            self._due.set()

    async def run(self) -> typing.NoReturn:
        """Take a snapshot whenever one is scheduled."""
        while True:
            await self._due.wait()
            self._due.clear()
            async with self._voter.snapshot_lock:
                self._attempted_index = self._voter.state.applied_index
                failure = await self._take()
                self._remaining_bytes = self._voter.journal.size_bytes
            if failure is not None:
                # No data is lost: the log still holds all records.
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
        """Remove records that the snapshot covers, but keep the newest."""
        voter = self._voter
        kept = voter.settings.control.snapshot_entries // KEPT_RECORDS_DIVISOR
        if voter.journal.size_bytes > LOG_LIMIT_BYTES:
            kept = 0
        first_kept = point.index + 1 - kept
        if voter.journal.size_bytes < TRANSFER_LIMIT_BYTES:
            first_kept = min(first_kept, self._find_first_needed())
        return await voter.journal.compact(first_kept)

    def _find_first_needed(self) -> int:
        """Return the first record needed after a transfer to a voter.

        If it were removed during the transfer, the receiver could not
        continue from the log and would need another snapshot, and so on.
        """
        voter = self._voter
        if voter.leadership is None:
            return voter.journal.last_index + 1
        sent = [
            replicator.transfer_base_index
            for replicator in voter.leadership.replicators
            if replicator.transfer_base_index is not None
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
    """Load the newest snapshot, if any, into the state.

    :param storage: the opened data folder.
    :param agreed: the state to load into.
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
    except log_formats.UnknownFormatError as error:
        return failures.StorageFailure(
            failures.StorageReason.UNKNOWN_FORMAT, str(error)
        )
    finally:
        reader.close()
    agreed.adopt(loaded)
    return None
