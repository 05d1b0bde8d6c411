"""Submission of commands from any node to the leader."""

import asyncio
import dataclasses
import typing

from grpclib import server
import xxhash

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import claim_batching
from filbertglade.control import failures
from filbertglade.control import submit_stream
from filbertglade.control import submitter
from filbertglade.inner import channels
from filbertglade.inner import commands_grpc
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade.settings import model
from filbertglade import tasks

# Commands of one stream that may be pending at a time.
MAXIMUM_PENDING = 1024
# Pause before a command that reached no leader is retried.
RETRY_PAUSE_MS = 50

Reason = failures.SubmitReason
Result = commands_pb2.CommandResult | failures.SubmitFailure

# Failures after which the command is retried if it wasn't applied.
_RETRYABLE = (Reason.NO_LEADER, Reason.CLOSING)
# Failures after which the next control host is used.
_FAILED_OVER = (*_RETRYABLE, Reason.LEADER_LOST, Reason.TIMED_OUT)


class RemoteSubmitter(submitter.Submitter):
    """Submits commands from a node through one control host at a time.

    A command that certainly wasn't written to the log is retried through the
    next control host until its time-out.

    :param settings: the node's settings.
    :param channel_factory: opens the channels.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._channel_factory = channel_factory
        self._counters = counters
        self._addresses = _order_addresses(settings)
        self._position = 0
        self._stream: submit_stream.SubmitStream | None = None
        self._tasks = tasks.TaskGroup()
        self._closed = False

    async def start(self) -> None:
        """Start to accept commands."""
        self._closed = False

    async def close(self) -> None:
        """Stop; pending commands fail."""
        self._closed = True
        stream, self._stream = self._stream, None
        if stream is not None:
            await stream.close()
        await self._tasks.close()

    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command and return its result.

        :param command: the command; the leader stamps it.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, after the commit; or the failure, which says
            whether the command may have been applied.
        """
        deadline_ms = clock.now_ms() + timeout_ms
        while True:
            if self._closed:
                return failures.SubmitFailure(Reason.CLOSING)
            stream = self._open_stream()
            left_ms = deadline_ms - clock.now_ms()
            result = await stream.submit(command, max(1, left_ms))
            if not isinstance(result, failures.SubmitFailure):
                return result
            self._counters.count('submit_failures', reason=result.reason.value)
            if result.reason in _FAILED_OVER:
                self._fail_over(stream)
            left_ms = deadline_ms - clock.now_ms()
            if not _is_retryable(result) or left_ms <= RETRY_PAUSE_MS:
                return result
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    def _open_stream(self) -> submit_stream.SubmitStream:
        if self._stream is None:
            self._stream = submit_stream.SubmitStream(
                self._settings,
                self._addresses[self._position],
                self._channel_factory,
            )
        return self._stream

    def _fail_over(self, stream: submit_stream.SubmitStream) -> None:
        """Switch to the next control host, unless that has happened."""
        if stream is not self._stream:
            return
        self._stream = None
        self._position = (self._position + 1) % len(self._addresses)
        self._tasks.start(stream.drain_and_close())


def _is_retryable(failure: failures.SubmitFailure) -> bool:
    return failure.reason in _RETRYABLE and not failure.may_have_applied


def _order_addresses(settings: model.NodeSettings) -> list[str]:
    """Return the control hosts' addresses, own data centre first.

    Within a data centre the order depends on the node's name, which spreads
    the nodes over the control hosts.
    """
    hosts = sorted(
        settings.control.hosts,
        key=lambda host: (
            host.data_centre != settings.data_centre,
            xxhash.xxh64_intdigest(f'{settings.name} {host.name}'.encode()),
        ),
    )
    return [host.address for host in hosts]


class LocalSubmitter(submitter.Submitter):
    """Submits a control host's commands, here or through the leader.

    Claim changes are batched in either case.

    :param settings: the node's settings.
    :param voter: this host's voter.
    :param channel_factory: opens the channel to the leader.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        voter: agreement.Agreement,
        channel_factory: channels.ChannelFactory,
    ) -> None:
        self._settings = settings
        self._voter = voter
        self._channel_factory = channel_factory
        self._local_batcher = claim_batching.ClaimBatcher(voter)
        self._connections: dict[str, _LeaderConnection] = {}

    async def close(self) -> None:
        """Stop; pending commands fail."""
        await self._local_batcher.close()
        connections, self._connections = self._connections, {}
        for connection in connections.values():
            await connection.stream.close()
            await connection.batcher.close()

    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command here, or forward it to the leader.

        :param command: the command; the leader stamps it.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, after the commit; or the failure, which says
            whether the command may have been applied.
        """
        deadline_ms = clock.now_ms() + timeout_ms
        while True:
            left_ms = deadline_ms - clock.now_ms()
            result = await self.submit_once(command, max(1, left_ms))
            if not isinstance(result, failures.SubmitFailure):
                return result
            left_ms = deadline_ms - clock.now_ms()
            if not _is_retryable(result) or left_ms <= RETRY_PAUSE_MS:
                return result
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def submit_once(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command, here or through the leader, without a retry.

        :param command: the command; the leader stamps it.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, or the failure.
        """
        leader = self._voter.leader
        if self._voter.is_leader or leader in ('', self._settings.name):
            return await self.submit_locally(command, timeout_ms)
        connection = self._connections.get(leader)
        if connection is None:
            connection = self._connections[leader] = self._connect(leader)
        return await connection.batcher.submit(command, timeout_ms)

    async def submit_locally(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command if this host leads.

        :param command: the command; its log clock is stamped here.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, or the failure.
        """
        return await self._local_batcher.submit(command, timeout_ms)

    def _connect(self, leader: str) -> '_LeaderConnection':
        stream = submit_stream.SubmitStream(
            self._settings,
            self._find_address(leader),
            self._channel_factory,
            forwarded=True,
        )
        return _LeaderConnection(stream, claim_batching.ClaimBatcher(stream))

    def _find_address(self, name: str) -> str:
        hosts = self._settings.control.hosts
        return next(host.address for host in hosts if host.name == name)


@dataclasses.dataclass(frozen=True, slots=True)
class _LeaderConnection:
    """The stream to a leader, with batching in front of it.

    :param stream: the stream.
    :param batcher: batches claim changes and sends them on the stream.
    """

    stream: submit_stream.SubmitStream
    batcher: claim_batching.ClaimBatcher


class CommandsServicer(commands_grpc.CommandsBase):
    """The gRPC service through which a control host accepts commands.

    :param settings: the node's settings.
    :param voter: this host's voter.
    :param channel_factory: opens the channel to the leader.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        voter: agreement.Agreement,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
    ) -> None:
        self._local = LocalSubmitter(settings, voter, channel_factory)
        self._counters = counters

    @property
    def local(self) -> LocalSubmitter:
        """The submitter of this host's own commands."""
        return self._local

    async def close(self) -> None:
        """Stop forwarding commands."""
        await self._local.close()

    async def Submit(  # noqa: N802
        self,
        stream: 'server.Stream[commands_pb2.SubmitRequest, '
        'commands_pb2.SubmitReply]',
    ) -> None:
        """Accept commands and reply to each once it is committed.

        :param stream: open as long as the node is attached.
        """
        # The tasks of this stream's commands end with it. Commands that were
        # appended stay in the log; their sender counts them as possibly
        # applied.
        waiting = tasks.TaskGroup()
        count = _PendingCount()
        try:
            async for request in stream:
                self._counters.count('commands_received')
                if count.value >= MAXIMUM_PENDING:
                    await stream.send_message(_refuse_overload(request))
                    continue
                count.value += 1
                waiting.start(self._submit_and_reply(request, stream, count))
        finally:
            await waiting.close()

    async def _submit_and_reply(
        self,
        request: commands_pb2.SubmitRequest,
        stream: typing.Any,
        count: '_PendingCount',
    ) -> None:
        submit = self._local.submit_once
        if request.forwarded:
            # A command is forwarded only once, so that it can't loop.
            submit = self._local.submit_locally
        try:
            result = await submit(request.command, request.timeout_ms)
            await stream.send_message(_make_reply(request, result))
        except channels.STREAM_ERRORS:
            # The sender is gone and counts the command as possibly applied.
            return
        finally:
            count.value -= 1


class _PendingCount:
    """Number of pending commands of one stream."""

    __slots__ = ('value',)

    def __init__(self) -> None:
        self.value = 0


def _refuse_overload(
    request: commands_pb2.SubmitRequest,
) -> commands_pb2.SubmitReply:
    failure = failures.SubmitFailure(
        Reason.OVERLOADED, 'too many commands of this stream are pending'
    )
    return _make_reply(request, failure)


def _make_reply(
    request: commands_pb2.SubmitRequest, result: Result
) -> commands_pb2.SubmitReply:
    reply = commands_pb2.SubmitReply(sequence=request.sequence)
    if isinstance(result, failures.SubmitFailure):
        reply.failure.reason = result.reason.value
        reply.failure.detail = result.detail
        reply.failure.may_have_applied = result.may_have_applied
    else:
        reply.result.CopyFrom(result)
    return reply
