"""The follower: accepts log entries and snapshots from the leader."""

import asyncio
from collections import abc
import typing

from filbertglade.control import entry_parts
from filbertglade.control import failures
from filbertglade.control import log_formats
from filbertglade.control import state
from filbertglade.control import store
from filbertglade.control import voter_state
from filbertglade import failures as base_failures
from filbertglade.inner import agreement_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Longest wait for the next chunk of a snapshot.
CHUNK_WAIT_MS = 10_000

Chunks = typing.AsyncIterator[agreement_pb2.SnapshotChunk]
SendReply = abc.Callable[[agreement_pb2.SnapshotReply], abc.Awaitable[None]]


class Follower:
    """Handles the leader's append entries and snapshot requests.

    :param voter: this voter.
    """

    def __init__(self, voter: voter_state.VoterState) -> None:
        self._voter = voter
        # Belongs to the newest stream of a leader.
        self._assembler = entry_parts.PartAssembler()

    # Log entries

    async def append(
        self,
        request: agreement_pb2.AppendRequest,
        assembler: entry_parts.PartAssembler,
    ) -> agreement_pb2.AppendReply:
        """Handle an append entries request or a heartbeat.

        A part of a batch is handled like a heartbeat, and the last part like
        a request with all entries of the batch.

        :param request: the leader's request.
        :param assembler: assembles the batches of this stream.
        :returns: the reply; the entries that it accepts are durable.
        """
        voter = self._voter
        reply = agreement_pb2.AppendReply(
            sequence=request.sequence,
            incarnation=voter.identity.incarnation,
            founding=voter.identity.founding,
            log_format=log_formats.NEWEST_FORMAT,
        )
        async with voter.mutex:
            if await self._enter_term(request.term, request.leader):
                voter.record_leader_contact(
                    request.leader, request.log_clock_ms
                )
                self._adopt_assembler(assembler)
                await self._append_entries(request, reply)
            reply.term = voter.term
        return reply

    async def _enter_term(self, term: int, leader: str) -> bool:
        """Adopt the leader's term; return False if the term is stale."""
        voter = self._voter
        if voter.failure is not None or term < voter.term:
            return False
        if not await voter.adopt_term(term):
            return False
        voter.step_down(f'{leader} is the leader')
        return True

    def _adopt_assembler(self, assembler: entry_parts.PartAssembler) -> None:
        """Let only the newest stream hold parts in memory."""
        if assembler is not self._assembler:
            self._assembler.clear()
            self._assembler = assembler

    async def _append_entries(
        self,
        request: agreement_pb2.AppendRequest,
        reply: agreement_pb2.AppendReply,
    ) -> None:
        voter = self._voter
        retry_index = self._find_retry_index(request)
        if not retry_index and request.pieces:
            if not self._assembler.add(request):
                # Its beginning was lost: the whole batch is needed again.
                retry_index = request.previous_index + 1
        if retry_index:
            reply.retry_index = retry_index
            return
        entries: abc.Sequence[agreement_pb2.LogEntry] = request.entries
        if request.completes_batch:
            entries = self._assembler.take()
        last_index = request.previous_index + len(entries)
        committed_index = min(request.committed_index, last_index)
        failure = await self._store_entries(entries, committed_index)
        if failure is not None:
            voter.halt(failure)
            return
        voter.commit(committed_index)
        reply.accepted = True
        reply.match_index = last_index

    def _find_retry_index(self, request: agreement_pb2.AppendRequest) -> int:
        """Return the index to retry from; 0 if the logs match.

        The logs match if this log holds the entry before the new ones.
        """
        journal = self._voter.journal
        previous = request.previous_index
        if previous <= self._voter.committed_index:
            # Committed entries are identical on all voters.
            return 0
        if previous > journal.last_index:
            return journal.last_index + 1
        term = journal.term_at(previous)
        if term == request.previous_term:
            return 0
        # Back up over the conflicting term, but not into committed entries.
        index = previous
        while (
            index - 1 > self._voter.committed_index
            and journal.term_at(index - 1) == term
        ):
            index -= 1
        return index

    async def _store_entries(
        self,
        entries: abc.Sequence[agreement_pb2.LogEntry],
        committed_index: int,
    ) -> failures.StorageFailure | None:
        """Append new entries; entries that conflict are truncated.

        The committed index that comes with them is stored with them: a voter
        that restarts must know of a committed exchange, and the entry after
        it is the first that carries it.
        """
        voter = self._voter
        journal = voter.journal
        new_entries = [
            entry
            for entry in entries
            if entry.index > voter.committed_index
            and journal.term_at(entry.index) != entry.term
        ]
        if new_entries:
            first = new_entries[0].index
            # Entries after a conflicting one conflict too.
            new_entries = [item for item in entries if item.index >= first]
            if first <= journal.last_index:
                failure = await journal.truncate(first)
                if failure is not None:
                    return failure
            journal.append(new_entries)
        return await journal.flush(max(voter.committed_index, committed_index))

    # Snapshots

    async def install_snapshot(
        self, chunks: Chunks, send_reply: SendReply
    ) -> None:
        """Install a snapshot that replaces the log up to its index.

        :param chunks: its chunks, as the leader sends them.
        :param send_reply: sends a reply to the leader; its exceptions are
            passed on.
        """
        voter = self._voter
        accepted = False
        if voter.failure is None:
            async with voter.snapshot_lock:
                accepted = await self._receive_snapshot(chunks, send_reply)
        if voter.failure is None:
            await send_reply(self._make_snapshot_reply(accepted))

    def _make_snapshot_reply(
        self, accepted: bool
    ) -> agreement_pb2.SnapshotReply:
        return agreement_pb2.SnapshotReply(
            term=self._voter.term,
            accepted=accepted,
            incarnation=self._voter.identity.incarnation,
        )

    async def _receive_snapshot(
        self, chunks: Chunks, send_reply: SendReply
    ) -> bool:
        """Store and load the chunks; return whether it was installed."""
        writer: store.SnapshotWriter | None = None
        loaded = state.AgreedState()
        last: agreement_pb2.SnapshotChunk | None = None
        offset = 0
        parts: list[bytes] = []
        try:
            while (chunk := await _next_chunk(chunks)) is not None:
                if chunk.offset != offset or not await self._accept_chunk(
                    chunk
                ):
                    return False
                if writer is None:
                    point = store.SnapshotPoint(
                        chunk.last_index, chunk.last_term
                    )
                    begun = await self._voter.storage.begin_snapshot(point)
                    if isinstance(begun, failures.StorageFailure):
                        return _refuse(begun)
                    writer = begun
                if chunk.last:
                    last = chunk
                    break
                await send_reply(self._make_snapshot_reply(True))
                offset += 1
                parts.append(chunk.data)
                if chunk.continues:
                    continue
                data = b''.join(parts)
                parts.clear()
                failure = await writer.write(data)
                if failure is not None:
                    return _refuse(failure)
                try:
                    loaded.load_chunk(data)
                except log_formats.UnknownFormatError as error:
                    self._voter.halt(
                        base_failures.Failure(
                            failures.VoterReason.UNKNOWN_FORMAT, str(error)
                        )
                    )
                    return False
            if last is None or writer is None:
                return False
            finishing = self._voter.tasks.start(
                self._finish_install(last, writer, loaded)
            )
            writer = None
            return await asyncio.shield(finishing)
        finally:
            if writer is not None:
                await writer.abort()

    async def _accept_chunk(self, chunk: agreement_pb2.SnapshotChunk) -> bool:
        voter = self._voter
        async with voter.mutex:
            if not await self._enter_term(chunk.term, chunk.leader):
                return False
            voter.record_leader_contact(chunk.leader, 0)
            return True

    async def _finish_install(
        self,
        last: agreement_pb2.SnapshotChunk,
        writer: store.SnapshotWriter,
        loaded: state.AgreedState,
    ) -> bool:
        voter = self._voter
        point = store.SnapshotPoint(last.last_index, last.last_term)
        async with voter.mutex:
            if voter.failure is not None or voter.term != last.term:
                await writer.abort()
                return False
            if voter.journal.term_at(point.index) == point.term or (
                point.index <= voter.committed_index
            ):
                # The log covers the snapshot and may hold acknowledged
                # entries after it, which a reset would drop.
                await writer.abort()
                voter.commit(point.index)
                return True
            failure = await writer.commit()
            if failure is not None:
                return _refuse(failure)
            failure = await voter.journal.reset(point)
            if failure is not None:
                voter.halt(failure)
                return False
            voter.snapshot = point
            if point.index > voter.state.applied_index:
                voter.state.adopt(loaded)
            voter.commit(point.index)
        log.change('snapshot.installed', index=point.index)
        return True


async def _next_chunk(chunks: Chunks) -> agreement_pb2.SnapshotChunk | None:
    try:
        async with asyncio.timeout(CHUNK_WAIT_MS / 1000):
            return await anext(chunks)
    except (StopAsyncIteration, TimeoutError):
        return None


def _refuse(failure: failures.StorageFailure) -> bool:
    log.error('snapshot.refused', reason=str(failure))
    return False
