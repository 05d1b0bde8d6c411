"""A long-lived stream of commands to one control host."""

import asyncio
import collections
import dataclasses

from grpclib import client

from filbertglade.control import failures
from filbertglade.control import submitter
from filbertglade.inner import channels
from filbertglade.inner import commands_grpc
from filbertglade.inner import commands_pb2
from filbertglade.settings import model
from filbertglade import tasks

MAXIMUM_OUTSTANDING = 1024
# Commands above this size are sent over a connection of their own. Smaller
# ones fit into the buffers of a connection.
LARGE_COMMAND_BYTES = 64 << 10

Reason = failures.SubmitReason
Result = commands_pb2.CommandResult | failures.SubmitFailure
Stream = client.Stream[commands_pb2.SubmitRequest, commands_pb2.SubmitReply]


@dataclasses.dataclass(slots=True)
class _Outstanding:
    """A command that has no reply yet."""

    future: asyncio.Future[Result]
    sent: bool = False


class SubmitStream(submitter.Submitter):
    """Sends commands to one control host concurrently.

    The stream is opened by the first command, and after a break by the next.
    A large command gets a stream of its own, so that no other waits for it.

    :param settings: the node's settings.
    :param address: the control host's inner address.
    :param channel_factory: opens the channel.
    :param forwarded: whether a control host forwards the commands.
    :param carries_large: whether large commands are sent on this stream;
        sending may take as long as their senders wait.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        address: str,
        channel_factory: channels.ChannelFactory,
        forwarded: bool = False,
        carries_large: bool = False,
    ) -> None:
        self._settings = settings
        self._address = address
        self._channel_factory = channel_factory
        self._forwarded = forwarded
        self._carries_large = carries_large
        # Streams of large commands.
        self._large: set[SubmitStream] = set()
        self._tasks = tasks.TaskGroup()
        self._runner: asyncio.Task[None] | None = None
        self._sequence = 0
        self._outstanding: dict[int, _Outstanding] = {}
        self._queue: collections.deque[commands_pb2.SubmitRequest] = (
            collections.deque()
        )
        self._woken = asyncio.Event()
        self._closed = False

    @property
    def address(self) -> str:
        """The control host's inner address."""
        return self._address

    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Send a command and wait for its reply.

        :param command: the command.
        :param timeout_ms: how long to wait.
        :returns: the result, or the failure.
        """
        if self._closed:
            return failures.SubmitFailure(Reason.CLOSING)
        if len(self._outstanding) >= MAXIMUM_OUTSTANDING:
            return failures.SubmitFailure(
                Reason.OVERLOADED, 'too many commands are pending'
            )
        if not self._carries_large and (
            command.ByteSize() > LARGE_COMMAND_BYTES
        ):
            return await self._submit_large(command, timeout_ms)
        self._sequence += 1
        sequence = self._sequence
        outstanding = _Outstanding(asyncio.get_running_loop().create_future())
        self._outstanding[sequence] = outstanding
        self._queue.append(
            commands_pb2.SubmitRequest(
                sequence=sequence,
                command=command,
                forwarded=self._forwarded,
                timeout_ms=timeout_ms,
            )
        )
        self._ensure_running()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await outstanding.future
        except TimeoutError:
            return failures.SubmitFailure(
                Reason.TIMED_OUT,
                f'no reply from {self._address}',
                may_have_applied=outstanding.sent,
            )
        finally:
            self._outstanding.pop(sequence, None)
            outstanding.future.cancel()

    async def _submit_large(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        stream = SubmitStream(
            self._settings,
            self._address,
            self._channel_factory,
            self._forwarded,
            carries_large=True,
        )
        self._large.add(stream)
        try:
            return await stream.submit(command, timeout_ms)
        finally:
            self._large.discard(stream)
            await stream.close()

    def _ensure_running(self) -> None:
        self._woken.set()
        if self._runner is None or self._runner.done():
            self._runner = self._tasks.start(self._run())

    async def drain_and_close(self) -> None:
        """Wait for the replies to pending commands, then close."""
        outstanding = [
            item.future
            for stream in (self, *self._large)
            for item in stream._outstanding.values()
        ]
        if outstanding:
            # Each wait is bounded by the command's own time-out.
            await asyncio.wait(outstanding)
        await self.close()

    async def close(self) -> None:
        """Close the stream; pending commands fail."""
        self._closed = True
        for stream in list(self._large):
            await stream.close()
        await self._tasks.close()
        self._fail_all(Reason.CLOSING, 'closing')

    async def _run(self) -> None:
        """Run one stream until it breaks."""
        channel = self._channel_factory.open_channel(self._address)
        detail = f'{self._address} ended the stream'
        try:
            await self._run_stream(channel)
        except channels.STREAM_ERRORS as error:
            kind = type(error).__name__
            detail = f'{self._address} is unreachable: {kind}'
        finally:
            channel.close()
            self._fail_all(Reason.NO_LEADER, detail)

    async def _run_stream(self, channel: client.Channel) -> None:
        limit_s = self._settings.timings.connect_timeout_ms / 1000
        stub = commands_grpc.CommandsStub(channel)
        async with stub.Submit.open() as stream:
            async with asyncio.timeout(limit_s):
                await stream.send_request()
            reader = self._tasks.start(self._read_replies(stream))
            try:
                while not reader.done():
                    await self._send_queued(stream)
                raise ConnectionError('the peer ended the stream')
            finally:
                reader.cancel()
                await asyncio.wait([reader])

    async def _send_queued(self, stream: Stream) -> None:
        limit_s: float | None = None
        if not self._carries_large:
            limit_s = self._settings.timings.connect_timeout_ms / 1000
        while self._queue:
            request = self._queue.popleft()
            outstanding = self._outstanding.get(request.sequence)
            if outstanding is None:
                continue
            # From here on the command may have reached the host.
            outstanding.sent = True
            async with asyncio.timeout(limit_s):
                await stream.send_message(request)
        self._woken.clear()
        await self._woken.wait()

    async def _read_replies(self, stream: Stream) -> None:
        try:
            while (reply := await stream.recv_message()) is not None:
                outstanding = self._outstanding.get(reply.sequence)
                if outstanding is not None and not outstanding.future.done():
                    outstanding.future.set_result(_read_reply(reply))
        except channels.STREAM_ERRORS:
            # The sender notices the end of this task and raises.
            return
        finally:
            self._woken.set()

    def _fail_all(self, reason: Reason, detail: str) -> None:
        self._queue.clear()
        for outstanding in self._outstanding.values():
            if not outstanding.future.done():
                lost = outstanding.sent and reason is Reason.NO_LEADER
                outstanding.future.set_result(
                    failures.SubmitFailure(
                        Reason.LEADER_LOST if lost else reason,
                        detail,
                        may_have_applied=outstanding.sent,
                    )
                )


def _read_reply(reply: commands_pb2.SubmitReply) -> Result:
    if reply.WhichOneof('answer') == 'result':
        return reply.result
    failure = reply.failure
    return failures.SubmitFailure(
        Reason(failure.reason), failure.detail, failure.may_have_applied
    )
