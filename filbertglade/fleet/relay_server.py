"""A control host's service for hosts that can't reach the leader.

It relays their streams to the leader. Messages pass unchanged, one at a time,
so that a slow watcher holds back the leader's stream and not this memory.
"""

import abc
import asyncio
import contextlib
import enum

from grpclib import client
from grpclib import server

from filbertglade import clock
from filbertglade.fleet import watcher as fleet_watcher
from filbertglade.inner import channels
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Streams at a time: more than the hosts of the largest fleet. Each takes a
# connection to the leader.
MAX_STREAMS = 128
# Longest wait for the leader to accept a stream and for a message to be taken,
# in ms. The host that waits counts its hop as lost a little later.
SEND_TIMEOUT_MS = 1000
# Interval between two checks whether the leader is still the same, in ms.
LEADER_CHECK_INTERVAL_MS = 50

ServerStream = server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]


class EndReason(enum.StrEnum):
    """Why a relayed stream ended."""

    WATCHER_ENDED = 'ended by the watcher'
    LEADER_ENDED = 'ended by the leader'
    LEADER_CHANGED = 'this host no longer follows that leader'
    STREAM_ERROR = 'stream error'
    TIMEOUT = 'time-out'
    RESET = 'stream reset or connection lost'


class RelaySource(abc.ABC):
    """What a control host knows that relays or leads."""

    @property
    @abc.abstractmethod
    def is_leader(self) -> bool:
        """Whether this host leads."""

    @abc.abstractmethod
    def find_leader(self) -> str:
        """Return the leader that this host watches without a hop, or ''."""

    @property
    @abc.abstractmethod
    def has_recent_frame(self) -> bool:
        """Whether the latest frame is young enough to take new watchers."""

    @abc.abstractmethod
    def list_control_hosts(self) -> list[str]:
        """Return the inner addresses of control hosts."""

    @abc.abstractmethod
    async def answer(
        self, message: fleet_pb2.EndpointMessage
    ) -> fleet_pb2.EndpointAnswer:
        """Answer what an endpoint has sent to a hop.

        :param message: what it has sent.
        :returns: the answer; 503 if this host doesn't lead.
        """


class RelayServer(fleet_grpc.RelaysBase):
    """Answers probes, and relays streams between watchers and the leader.

    :param source: what this host knows.
    :param channel_factory: opens channels to the leader.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        source: RelaySource,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
    ) -> None:
        self._source = source
        self._channels = channel_factory
        self._counters = counters
        self._stream_count = 0
        counters.set_gauge('relayed_hosts', lambda: self._stream_count)

    async def Probe(  # noqa: N802
        self,
        stream: 'server.Stream[fleet_pb2.ProbeRequest, fleet_pb2.ProbeReply]',
    ) -> None:
        """Tell whether this host leads, or follows a leader.

        :param stream: one request and its reply.
        """
        if await stream.recv_message() is None:
            return
        may_relay = (
            self._stream_count < MAX_STREAMS and self._source.has_recent_frame
        )
        await stream.send_message(
            fleet_pb2.ProbeReply(
                is_leader=self._source.is_leader,
                relayed_leader=(
                    self._source.find_leader() if may_relay else ''
                ),
                control_hosts=self._source.list_control_hosts(),
            )
        )

    async def Announce(  # noqa: N802
        self,
        stream: 'server.Stream[fleet_pb2.EndpointMessage, '
        'fleet_pb2.EndpointAnswer]',
    ) -> None:
        """Answer what an endpoint has sent to a hop, if this host leads.

        :param stream: one message and its answer.
        """
        message = await stream.recv_message()
        if message is None:
            return
        await stream.send_message(await self._source.answer(message))

    async def Watch(  # noqa: N802
        self,
        stream: 'server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]',
    ) -> None:
        """Relay a watcher's stream to the leader and back.

        :param stream: the watcher's stream.
        """
        first = await stream.recv_message()
        if first is None:
            return
        leader = self._source.find_leader()
        if not leader or self._stream_count >= MAX_STREAMS:
            self._counters.count('relays_refused')
            await stream.send_message(self._build_redirection())
            return
        self._stream_count += 1
        started_ms = clock.now_ms()
        log.change('relay.started', watcher=first.node, leader=leader)
        reason = EndReason.RESET
        channel = self._channels.open_channel(leader)
        try:
            reason = await self._relay(stream, channel, first, leader)
        except channels.STREAM_ERRORS as error:
            reason = EndReason.STREAM_ERROR
            if isinstance(error, TimeoutError):
                reason = EndReason.TIMEOUT
        finally:
            channel.close()
            self._stream_count -= 1
            self._counters.count('relays_ended', reason=reason)
            log.change(
                'relay.ended',
                watcher=first.node,
                leader=leader,
                reason=reason,
                lasted_ms=clock.now_ms() - started_ms,
            )
        # A message may have been sent in part: its receiver must not read
        # it as whole.
        with contextlib.suppress(*channels.STREAM_ERRORS):
            async with asyncio.timeout(channels.LEAVE_TIMEOUT_MS / 1000):
                await stream.cancel()

    def _build_redirection(self) -> fleet_pb2.FleetFrame:
        return fleet_pb2.FleetFrame(
            leader=self._source.find_leader(),
            control_hosts=self._source.list_control_hosts(),
        )

    async def _relay(
        self,
        stream: ServerStream,
        channel: client.Channel,
        first: fleet_pb2.WatchReport,
        leader: str,
    ) -> EndReason:
        """Relay until either end or the leadership ends; return why."""
        async with fleet_grpc.FleetStub(channel).Watch.open() as upstream:
            async with asyncio.timeout(SEND_TIMEOUT_MS / 1000):
                await upstream.send_request()
                await upstream.send_message(first)
            loop = asyncio.get_running_loop()
            parts = [
                loop.create_task(self._relay_reports(stream, upstream)),
                loop.create_task(self._relay_frames(stream, upstream)),
                loop.create_task(self._wait_for_other_leader(leader)),
            ]
            try:
                done, _ = await asyncio.wait(
                    parts, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                for part in parts:
                    part.cancel()
                await asyncio.gather(*parts, return_exceptions=True)
            # A report may have been sent in part. The stream is reset, since
            # an orderly end would wait for the leader.
            async with asyncio.timeout(channels.LEAVE_TIMEOUT_MS / 1000):
                await upstream.cancel()
            return next(part for part in parts if part in done).result()

    async def _relay_reports(
        self, stream: ServerStream, upstream: fleet_watcher.Stream
    ) -> EndReason:
        while True:
            report = await stream.recv_message()
            if report is None:
                return EndReason.WATCHER_ENDED
            async with asyncio.timeout(SEND_TIMEOUT_MS / 1000):
                await upstream.send_message(report)
            self._counters.count('relayed_reports')

    async def _relay_frames(
        self, stream: ServerStream, upstream: fleet_watcher.Stream
    ) -> EndReason:
        while True:
            async with asyncio.timeout(fleet_watcher.LEADER_TIMEOUT_MS / 1000):
                frame = await upstream.recv_message()
            if frame is None or not frame.is_leader:
                return EndReason.LEADER_ENDED
            async with asyncio.timeout(SEND_TIMEOUT_MS / 1000):
                await stream.send_message(frame)
            self._counters.count('relayed_frames')

    async def _wait_for_other_leader(self, leader: str) -> EndReason:
        while True:
            if self._source.find_leader() != leader:
                return EndReason.LEADER_CHANGED
            await asyncio.sleep(LEADER_CHECK_INTERVAL_MS / 1000)
