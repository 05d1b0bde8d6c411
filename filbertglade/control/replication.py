"""Replication of the leader's log to one other voter."""

import asyncio
import typing

from grpclib import client

from filbertglade import clock
from filbertglade.control import entry_parts
from filbertglade.control import failures
from filbertglade.control import quorum
from filbertglade.control import send_window
from filbertglade.inner import agreement_grpc
from filbertglade.inner import agreement_pb2
from filbertglade.inner import channels
from filbertglade.observability import logs
from filbertglade.settings import model

if typing.TYPE_CHECKING:
    from filbertglade.control import leadership
    from filbertglade.control import voter_state

# Requests that may be in flight before no more entries are sent.
WINDOW_REQUESTS = 8
BATCH_BYTES = 1 << 20
BATCH_ENTRIES = 1024
SNAPSHOT_REPLY_MS = 60_000

Stream = client.Stream[agreement_pb2.AppendRequest, agreement_pb2.AppendReply]
SnapshotStream = client.Stream[
    agreement_pb2.SnapshotChunk, agreement_pb2.SnapshotReply
]

log = logs.get_log(__name__)


class Replicator:
    """Sends log entries, heartbeats and snapshots to one voter.

    :param voter: the voter that leads.
    :param leading: the leader's term.
    :param host: the voter to replicate to.
    :ivar match_index: index up to which its durable log is known to match.
    :ivar acknowledged_sent_ms: when the latest request that it replied to was
        sent; NO_VALUE if there is none.
    :ivar incarnation: incarnation of the data folder in its last reply.
    :ivar founding: whether that folder is marked as a founder's.
    :ivar sending_snapshot_index: index of the snapshot being sent to the
        voter; None if none is.
    """

    def __init__(
        self,
        voter: 'voter_state.VoterState',
        leading: 'leadership.Leadership',
        host: model.ControlHostSettings,
    ) -> None:
        self._voter = voter
        self._leading = leading
        self._host = host
        self.match_index = 0
        self.acknowledged_sent_ms = quorum.NO_VALUE
        self.incarnation = ''
        self.founding = False
        self.log_format = 0
        self.sending_snapshot_index: int | None = None
        self._next_index = voter.journal.last_index + 1
        self._sequence = 0
        # Rejections of requests before this one are stale: they were sent
        # before the next index was last reset.
        self._stale_before_sequence = 0
        self._in_flight_sent_ms: dict[int, int] = {}
        self._last_sent_ms = 0
        self._last_reply_ms = 0
        self._window = self._make_window()
        # The batch that is being sent in parts, if one is.
        self._batch: entry_parts.SplitBatch | None = None
        self._woken = asyncio.Event()
        # Whether a break was logged since the latest reply.
        self._is_break_logged = False
        self._snapshot_task: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """The other voter's name."""
        return self._host.name

    @property
    def address(self) -> str:
        """The other voter's address."""
        return self._host.address

    @property
    def replied_recently(self) -> bool:
        """Whether a request sent within an election time-out was answered."""
        age_ms = self.acknowledged_age_ms
        if age_ms is None:
            return False
        return age_ms < self._voter.settings.control.election_ms

    @property
    def acknowledged_age_ms(self) -> int | None:
        """Time since the latest request that was answered was sent.

        It is None if there is no such request.
        """
        if self.acknowledged_sent_ms == quorum.NO_VALUE:
            return None
        return clock.now_ms() - self.acknowledged_sent_ms

    @property
    def transfer_base_index(self) -> int | None:
        """Index after which the voter continues once a transfer is complete.

        It is that of the snapshot being sent to the voter, or of the entry
        before the batch being sent in parts; None if there is neither.
        """
        if self._batch is not None:
            return self._next_index - 1
        return self.sending_snapshot_index

    def build_reply(self, value: int) -> quorum.VoterReply:
        """Return the voter's reply for counting a quorum.

        :param value: the index or time that it has reached.
        """
        return quorum.VoterReply(self.incarnation, self.founding, value)

    def _make_window(self) -> send_window.SendWindow:
        # A lease lasts for at least three heartbeat intervals.
        return send_window.SendWindow(
            self._voter.settings.control.heartbeat_ms
        )

    def wake(self) -> None:
        """Let the stream check for entries to send."""
        self._woken.set()

    async def run(self) -> None:
        """Keep a stream to the voter; reopen it after a break."""
        pause_ms = self._voter.settings.control.heartbeat_ms
        while True:
            channel = self._voter.channel_factory.open_channel(
                self._host.address
            )
            try:
                await self._run_stream(channel)
            except channels.STREAM_ERRORS as error:
                self._voter.counters.count(
                    'agreement_stream_breaks', peer=self.name
                )
                self._log_break(error)
            except Exception as error:
                # An unexpected error ends the stream, but not the replication.
                log.error('replication.failed', peer=self.name, error=error)
            finally:
                self._batch = None
                await self._cancel_snapshot_transfer()
                channel.close()
            pause = pause_ms * (0.5 + self._voter.rng.random())
            await asyncio.sleep(pause / 1000)

    def _log_break(self, error: Exception) -> None:
        """Log a break; failures to reopen the stream add no line."""
        if self._is_break_logged:
            return
        self._is_break_logged = True
        log.change(
            'replication.broken',
            peer=self.name,
            error=error,
            **self.describe_traffic(),
        )

    def describe_traffic(self) -> dict[str, int | None]:
        """Return fields for a log line on how the voter replies.

        :returns: ``acknowledged_age_ms``, time since the latest request that
            it replied to was sent; ``in_flight``, requests without a reply;
            ``oldest_in_flight_ms``, time since the first of them was sent.
            A time is None if there is no such request.
        """
        now_ms = clock.now_ms()
        oldest_ms = next(iter(self._in_flight_sent_ms.values()), None)
        return {
            'acknowledged_age_ms': self.acknowledged_age_ms,
            'in_flight': len(self._in_flight_sent_ms),
            'oldest_in_flight_ms': (
                None if oldest_ms is None else now_ms - oldest_ms
            ),
        }

    async def _run_stream(self, channel: client.Channel) -> None:
        self._in_flight_sent_ms.clear()
        self._window = self._make_window()
        self._stale_before_sequence = self._sequence + 1
        self._move_to(self._voter.journal.last_index + 1)
        if self.match_index:
            self._move_to(self.match_index + 1)
        stub = agreement_grpc.AgreementStub(channel)
        async with stub.Append.open() as stream:
            async with asyncio.timeout(self._reply_timeout_s()):
                await stream.send_request()
            reader = self._voter.tasks.start(self._read_replies(stream))
            try:
                await self._send_requests(stream, channel, reader)
                raise ConnectionError('the peer ended the stream')
            finally:
                reader.cancel()
                await asyncio.wait([reader])

    def _reply_timeout_s(self) -> float:
        return self._voter.settings.control.election_ms / 1000

    # Sending

    async def _send_requests(
        self,
        stream: Stream,
        channel: client.Channel,
        reader: asyncio.Task[None],
    ) -> None:
        """Send entries as they are appended, and heartbeats when idle."""
        while not reader.done():
            self._check_reply_timeout()
            self._update_snapshot_transfer(channel)
            if self._can_send_entries() or self._heartbeat_wait_ms() <= 0:
                async with asyncio.timeout(self._reply_timeout_s()):
                    request = self._next_request()
                    self._count_sent(
                        'append'
                        if request.entries or request.pieces
                        else 'heartbeat',
                        request.ByteSize(),
                    )
                    await stream.send_message(request)
                continue
            self._woken.clear()
            try:
                async with asyncio.timeout(self._heartbeat_wait_ms() / 1000):
                    await self._woken.wait()
            except TimeoutError:
                continue

    def _count_sent(self, content: str, size_bytes: int) -> None:
        """Count a message whose sending begins."""
        self._voter.counters.count(
            'inner_bytes_sent', size_bytes, content=content
        )

    def _heartbeat_wait_ms(self) -> int:
        interval_ms = self._voter.settings.control.heartbeat_ms
        return self._last_sent_ms + interval_ms - clock.now_ms()

    def _check_reply_timeout(self) -> None:
        oldest_ms = next(iter(self._in_flight_sent_ms.values()), None)
        if oldest_ms is None:
            return
        # As long as replies come, the stream makes progress.
        silent_since_ms = max(oldest_ms, self._last_reply_ms)
        limit_ms = self._voter.settings.control.election_ms
        if clock.now_ms() - silent_since_ms > limit_ms:
            raise TimeoutError

    def _can_send_entries(self) -> bool:
        return (
            self._next_index <= self._voter.journal.last_index
            and len(self._in_flight_sent_ms) < WINDOW_REQUESTS
            and self._window.has_room
            and self._snapshot_task is None
        )

    def _next_request(self) -> agreement_pb2.AppendRequest:
        """Return a request with the next entries, or a heartbeat."""
        journal = self._voter.journal
        sends_entries = self._can_send_entries()
        previous_index = self._next_index - 1
        if self._snapshot_task is not None:
            previous_index = journal.last_index
        previous_term = journal.term_at(previous_index) or 0
        if self._batch is not None:
            # The log may have been compacted since the batch was begun.
            previous_term = self._batch.previous_term
        self._sequence += 1
        self._last_sent_ms = clock.now_ms()
        self._in_flight_sent_ms[self._sequence] = self._last_sent_ms
        request = agreement_pb2.AppendRequest(
            term=self._leading.term,
            leader=self._voter.name,
            sequence=self._sequence,
            previous_index=previous_index,
            previous_term=previous_term,
            committed_index=self._voter.committed_index,
            log_clock_ms=self._voter.log_clock_ms(),
        )
        if sends_entries:
            self._add_entries(request)
        return request

    def _add_entries(self, request: agreement_pb2.AppendRequest) -> None:
        """Add the next entries, or the next part of a large batch."""
        if self._batch is None:
            entries = self._voter.journal.read(
                self._next_index, BATCH_BYTES, BATCH_ENTRIES
            )
            size_bytes = entry_parts.measure(entries)
            if size_bytes <= self._window.room_bytes:
                request.entries.extend(entries)
                self._next_index += len(entries)
                self._window.record_sent(request.sequence, size_bytes)
                return
            self._batch = entry_parts.SplitBatch(
                request.previous_term, entries, self._leading.commands
            )
        request.part_number = self._batch.part_count
        pieces = self._batch.take(self._window.part_bytes)
        request.pieces.extend(pieces)
        self._window.record_sent(request.sequence, entry_parts.measure(pieces))
        if self._batch.is_complete:
            request.completes_batch = True
            self._move_to(self._next_index + self._batch.entry_count)

    def _move_to(self, next_index: int) -> None:
        """Set the next index; a batch that isn't complete is abandoned."""
        self._next_index = next_index
        self._batch = None

    # Replies

    async def _read_replies(self, stream: Stream) -> None:
        try:
            while True:
                reply = await stream.recv_message()
                if reply is None:
                    return
                self._handle_reply(reply)
        except channels.STREAM_ERRORS:
            # The sender notices the end of this task and raises.
            return
        finally:
            self.wake()

    def _handle_reply(self, reply: agreement_pb2.AppendReply) -> None:
        if reply.term > self._leading.term:
            self._voter.observe_term(reply.term)
            return
        sent_ms = self._in_flight_sent_ms.pop(reply.sequence, None)
        if sent_ms is None:
            return
        self._last_reply_ms = clock.now_ms()
        self._window.record_reply(reply.sequence)
        if reply.incarnation != self.incarnation:
            self.match_index = 0
            self.acknowledged_sent_ms = quorum.NO_VALUE
        self.incarnation = reply.incarnation
        self.founding = reply.founding
        self.log_format = reply.log_format
        self._is_break_logged = False
        self.acknowledged_sent_ms = max(self.acknowledged_sent_ms, sent_ms)
        if reply.accepted:
            self._advance_match_index(reply.match_index)
        elif reply.sequence >= self._stale_before_sequence:
            self._stale_before_sequence = self._sequence + 1
            self._move_to(max(1, reply.retry_index))
        self._leading.renew_lease()
        self.wake()

    def _advance_match_index(self, match_index: int) -> None:
        if match_index > self.match_index:
            self.match_index = match_index
            if self._next_index <= match_index:
                self._move_to(match_index + 1)
            self._leading.advance_commit_index()

    # Snapshots

    def _update_snapshot_transfer(self, channel: client.Channel) -> None:
        """Send a snapshot if the next entries are compacted away."""
        journal = self._voter.journal
        if self._snapshot_task is not None:
            if not self._snapshot_task.done():
                return
            self._snapshot_task = None
            self.sending_snapshot_index = None
            self._move_to(journal.last_index + 1)
            self._stale_before_sequence = self._sequence + 1
        if (
            self._batch is None
            and journal.term_at(self._next_index - 1) is None
        ):
            self.sending_snapshot_index = self._voter.snapshot.index
            self._snapshot_task = self._voter.tasks.start(
                self._send_snapshot(channel)
            )

    async def _cancel_snapshot_transfer(self) -> None:
        if self._snapshot_task is not None:
            self._snapshot_task.cancel()
            await asyncio.wait([self._snapshot_task])
            self._snapshot_task = None
            self.sending_snapshot_index = None

    async def _send_snapshot(self, channel: client.Channel) -> None:
        reader = await self._voter.storage.read_snapshot()
        if reader is None or isinstance(reader, failures.StorageFailure):
            log.error('snapshot.unreadable', reason=str(reader))
            return
        log.change(
            'snapshot.sending', peer=self.name, index=reader.point.index
        )
        stub = agreement_grpc.AgreementStub(channel)
        try:
            async with stub.InstallSnapshot.open() as stream:
                await self._send_chunks(stream, reader)
        except channels.STREAM_ERRORS:
            self._voter.counters.count('agreement_snapshot_breaks')
        finally:
            reader.close()
            self.wake()

    async def _send_chunks(
        self, stream: SnapshotStream, reader: typing.Any
    ) -> None:
        """Send all chunks, in parts that leave room for heartbeats."""
        window = self._make_window()
        offset = 0
        ended = False
        while not ended:
            data = await reader.read()
            if isinstance(data, failures.StorageFailure):
                log.error('snapshot.unreadable', reason=str(data))
                raise TimeoutError
            ended = not data
            sent_bytes = 0
            while sent_bytes < len(data) or ended:
                while not window.has_room:
                    await self._receive_snapshot_reply(stream, window)
                part = data[sent_bytes : sent_bytes + window.part_bytes]
                sent_bytes += len(part)
                chunk = agreement_pb2.SnapshotChunk(
                    term=self._leading.term,
                    leader=self._voter.name,
                    last_index=reader.point.index,
                    last_term=reader.point.term,
                    offset=offset,
                    data=part,
                    last=ended,
                    continues=sent_bytes < len(data),
                )
                window.record_sent(offset, len(part))
                self._count_sent('snapshot', chunk.ByteSize())
                async with asyncio.timeout(SNAPSHOT_REPLY_MS / 1000):
                    await stream.send_message(chunk, end=ended)
                offset += 1
                if ended:
                    break
        while not window.is_empty:
            await self._receive_snapshot_reply(stream, window)

    async def _receive_snapshot_reply(
        self, stream: SnapshotStream, window: send_window.SendWindow
    ) -> None:
        async with asyncio.timeout(SNAPSHOT_REPLY_MS / 1000):
            reply = await stream.recv_message()
        if reply is None:
            raise ConnectionError('the peer ended the stream')
        self._voter.observe_term(reply.term)
        if not reply.accepted:
            log.change('snapshot.refused', peer=self.name)
            raise ConnectionError('the peer refused the snapshot')
        window.record_reply(window.oldest_sequence)
