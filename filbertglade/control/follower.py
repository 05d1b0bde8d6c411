"""A voter's side towards its leader: taking records and snapshots."""

import asyncio
import typing

from filbertglade.control import failures
from filbertglade.control import state
from filbertglade.control import store
from filbertglade.control import voter_state
from filbertglade.inner import agreement_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Longest wait for the next part of a snapshot.
CHUNK_WAIT_MS = 10_000

Chunks = typing.AsyncIterator[agreement_pb2.SnapshotChunk]


class Follower:
    """Takes what a leader sends.

    :param voter: the voter.
    """

    def __init__(self, voter: voter_state.VoterState) -> None:
        self._voter = voter

    # Records

    async def append(
        self, request: agreement_pb2.AppendRequest
    ) -> agreement_pb2.AppendReply:
        """Take records, or a heartbeat.

        :param request: what the leader sent.
        :returns: the answer; what it accepts is durable.
        """
        voter = self._voter
        reply = agreement_pb2.AppendReply(
            sequence=request.sequence,
            incarnation=voter.identity.incarnation,
            founding=voter.identity.founding,
        )
        async with voter.mutex:
            if await self._follow(request.term, request.leader):
                voter.hear_leader(request.leader, request.log_clock_ms)
                await self._take(request, reply)
            reply.term = voter.term
        return reply

    async def _follow(self, term: int, leader: str) -> bool:
        """Enter the leader's term; return whether it still leads."""
        voter = self._voter
        if voter.failure is not None or term < voter.term:
            return False
        if not await voter.adopt_term(term):
            return False
        voter.step_down(f'{leader} leads')
        return True

    async def _take(
        self,
        request: agreement_pb2.AppendRequest,
        reply: agreement_pb2.AppendReply,
    ) -> None:
        voter = self._voter
        retry_index = self._find_retry(request)
        if retry_index:
            reply.retry_index = retry_index
            return
        last_index = request.previous_index + len(request.entries)
        failure = await self._store(request)
        if failure is not None:
            voter.halt(failure)
            return
        voter.commit(min(request.committed_index, last_index))
        reply.accepted = True
        reply.match_index = last_index

    def _find_retry(self, request: agreement_pb2.AppendRequest) -> int:
        """Return where the leader must begin instead; 0 if it fits."""
        journal = self._voter.journal
        previous = request.previous_index
        if previous <= self._voter.committed_index:
            # What is committed is the same everywhere.
            return 0
        if previous > journal.last_index:
            return journal.last_index + 1
        term = journal.term_at(previous)
        if term == request.previous_term:
            return 0
        # Skip the whole term that differs, but nothing committed.
        index = previous
        while (
            index - 1 > self._voter.committed_index
            and journal.term_at(index - 1) == term
        ):
            index -= 1
        return index

    async def _store(
        self, request: agreement_pb2.AppendRequest
    ) -> failures.StorageFailure | None:
        """Append what is new, in the place of what conflicts."""
        voter = self._voter
        journal = voter.journal
        fresh = [
            entry
            for entry in request.entries
            if entry.index > voter.committed_index
            and journal.term_at(entry.index) != entry.term
        ]
        if fresh:
            first = fresh[0].index
            # A record behind one that differs differs too.
            fresh = [item for item in request.entries if item.index >= first]
            if first <= journal.last_index:
                failure = await journal.truncate(first)
                if failure is not None:
                    return failure
            journal.append(fresh)
        return await journal.flush(voter.committed_index)

    # Snapshots

    async def install(self, chunks: Chunks) -> agreement_pb2.SnapshotReply:
        """Take a snapshot in the place of the log's beginning.

        :param chunks: its parts as the leader sends them.
        :returns: the answer.
        """
        voter = self._voter
        accepted = False
        if voter.failure is None:
            async with voter.snapshot_lock:
                accepted = await self._install(chunks)
        return agreement_pb2.SnapshotReply(
            term=voter.term,
            accepted=accepted,
            incarnation=voter.identity.incarnation,
        )

    async def _install(self, chunks: Chunks) -> bool:
        """Write and load the parts; return whether the whole was taken."""
        writer: store.SnapshotWriter | None = None
        loaded = state.AgreedState()
        last: agreement_pb2.SnapshotChunk | None = None
        number = 0
        try:
            while (chunk := await _next_chunk(chunks)) is not None:
                if chunk.offset != number or not await self._hear(chunk):
                    return False
                number += 1
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
                failure = await writer.write(chunk.data)
                if failure is not None:
                    return _refuse(failure)
                loaded.load_chunk(chunk.data)
            if last is None or writer is None:
                return False
            finishing = self._voter.tasks.start(
                self._finish(last, writer, loaded)
            )
            writer = None
            return await asyncio.shield(finishing)
        finally:
            if writer is not None:
                await writer.abort()

    async def _hear(self, chunk: agreement_pb2.SnapshotChunk) -> bool:
        voter = self._voter
        async with voter.mutex:
            if not await self._follow(chunk.term, chunk.leader):
                return False
            voter.hear_leader(chunk.leader, 0)
            return True

    async def _finish(
        self,
        last: agreement_pb2.SnapshotChunk,
        writer: store.SnapshotWriter,
        loaded: state.AgreedState,
    ) -> bool:
        voter = self._voter
        point = store.SnapshotPoint(last.last_index, last.last_term)
        async with voter.mutex:
            if voter.term != last.term:
                await writer.abort()
                return False
            if voter.journal.term_at(point.index) == point.term or (
                point.index <= voter.committed_index
            ):
                # The log holds all that the snapshot does, and perhaps
                # more that was acknowledged.
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
