"""The way of commands from any node to the leader."""

import asyncio
import dataclasses
import typing

from grpclib import server
import xxhash

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import claim_batching
from filbertglade.control import failures
from filbertglade.control import replication
from filbertglade.control import submit_stream
from filbertglade.control import submitter
from filbertglade.inner import channels
from filbertglade.inner import commands_grpc
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade.settings import model
from filbertglade import tasks

# Commands of one stream that may wait for their commit.
MAXIMUM_WAITING = 1024
# Pause before a command that found no leader is sent again.
RETRY_PAUSE_MS = 50

Reason = failures.SubmitReason
Result = commands_pb2.CommandResult | failures.SubmitFailure

# Failures after which another control host may do better.
_RETRIED = (Reason.NO_LEADER, Reason.CLOSING)
_TURNED_FROM = (*_RETRIED, Reason.LEADER_LOST, Reason.TIMED_OUT)


class RemoteSubmitter(submitter.Submitter):
    """Submits commands through the control hosts.

    A command that certainly wasn't written to the log is sent again, to the
    next control host, until its time-out.

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
        """Begin to take commands."""
        self._closed = False

    async def close(self) -> None:
        """Stop; commands without an answer fail."""
        self._closed = True
        stream, self._stream = self._stream, None
        if stream is not None:
            await stream.close()
        await self._tasks.close()

    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command and return what it did.

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
            if result.reason in _TURNED_FROM:
                self._turn_from(stream)
            left_ms = deadline_ms - clock.now_ms()
            if not _is_retried(result) or left_ms <= RETRY_PAUSE_MS:
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

    def _turn_from(self, stream: submit_stream.SubmitStream) -> None:
        """Take the next control host, unless another command did so."""
        if stream is not self._stream:
            return
        self._stream = None
        self._position = (self._position + 1) % len(self._addresses)
        self._tasks.start(stream.retire())


def _is_retried(failure: failures.SubmitFailure) -> bool:
    return failure.reason in _RETRIED and not failure.may_have_applied


def _order_addresses(settings: model.NodeSettings) -> list[str]:
    """Return the control hosts' addresses, own data centre first.

    Nodes begin at different ones, by their names, so that they spread.
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
    """Submits commands on a control host, claims gathered.

    :param settings: the node's settings.
    :param voter: this host's part in the log.
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
        self._here = claim_batching.ClaimBatcher(voter)
        self._ways: dict[str, _Way] = {}

    async def close(self) -> None:
        """Stop; commands passed on that have no answer fail."""
        await self._here.close()
        ways, self._ways = self._ways, {}
        for way in ways.values():
            await way.stream.close()
            await way.gatherer.close()

    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command here, or pass it on to the leader.

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
            if not _is_retried(result) or left_ms <= RETRY_PAUSE_MS:
                return result
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def submit_once(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command, without a second try.

        :param command: the command; the leader stamps it.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, or the failure.
        """
        leader = self._voter.leader
        if self._voter.is_leader or leader in ('', self._settings.name):
            return await self.submit_here(command, timeout_ms)
        way = self._ways.get(leader)
        if way is None:
            way = self._ways[leader] = self._open_way(leader)
        return await way.gatherer.submit(command, timeout_ms)

    async def submit_here(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command if this host leads.

        :param command: the command; it is stamped here.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, or the failure.
        """
        return await self._here.submit(command, timeout_ms)

    def _open_way(self, leader: str) -> '_Way':
        stream = submit_stream.SubmitStream(
            self._settings,
            self._find_address(leader),
            self._channel_factory,
            forwarded=True,
        )
        return _Way(stream, claim_batching.ClaimBatcher(stream))

    def _find_address(self, name: str) -> str:
        hosts = self._settings.control.hosts
        return next(host.address for host in hosts if host.name == name)


@dataclasses.dataclass(frozen=True, slots=True)
class _Way:
    """How commands reach a leader.

    :param stream: the stream to it.
    :param gatherer: what gathers claims before the stream.
    """

    stream: submit_stream.SubmitStream
    gatherer: claim_batching.ClaimBatcher


class CommandsServicer(commands_grpc.CommandsBase):
    """Takes commands from the nodes on a control host.

    :param settings: the node's settings.
    :param voter: this host's part in the log.
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
        """The way of this host's own commands."""
        return self._local

    async def close(self) -> None:
        """Stop passing commands on."""
        await self._local.close()

    async def Submit(  # noqa: N802
        self,
        stream: 'server.Stream[commands_pb2.SubmitRequest, '
        'commands_pb2.SubmitReply]',
    ) -> None:
        """Take commands and answer each when it is committed.

        :param stream: lasts as long as the node is attached.
        """
        # Commands that this stream brought end with it: what was appended
        # stays in the log, and its sender knows that it can't know.
        waiting = tasks.TaskGroup()
        count = _Count()
        try:
            async for request in stream:
                self._counters.count('commands_received')
                if count.value >= MAXIMUM_WAITING:
                    await stream.send_message(_refuse_overload(request))
                    continue
                count.value += 1
                waiting.start(self._answer(request, stream, count))
        finally:
            await waiting.close()

    async def _answer(
        self,
        request: commands_pb2.SubmitRequest,
        stream: typing.Any,
        count: '_Count',
    ) -> None:
        take = self._local.submit_once
        if request.forwarded:
            # It is passed on once only, so that it can't go round.
            take = self._local.submit_here
        try:
            result = await take(request.command, request.timeout_ms)
            await stream.send_message(_make_reply(request, result))
        except replication.STREAM_ERRORS:
            # The sender has left; it knows that it can't know.
            return
        finally:
            count.value -= 1


class _Count:
    """Commands of one stream that wait."""

    __slots__ = ('value',)

    def __init__(self) -> None:
        self.value = 0


def _refuse_overload(
    request: commands_pb2.SubmitRequest,
) -> commands_pb2.SubmitReply:
    failure = failures.SubmitFailure(
        Reason.OVERLOADED, 'too many commands of this stream wait'
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
