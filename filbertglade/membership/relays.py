"""Relays between control hosts, which pass on their own nodes' reports."""

import asyncio
import typing

from grpclib import server

from filbertglade.inner import channels
from filbertglade.inner import membership_grpc
from filbertglade.inner import membership_pb2
from filbertglade.membership import configuration_freshness
from filbertglade.membership import frame_age
from filbertglade.membership import relay_batch
from filbertglade.membership import relay_peers
from filbertglade.membership import reported_state
from filbertglade.membership import stream_errors
from filbertglade.observability import metrics
from filbertglade.settings import model

PeerStream = server.Stream[
    membership_pb2.RelayFrame, membership_pb2.RelayFrame
]


class RelayReceiver:
    """Receives what one control host relays.

    :param settings: the node's settings.
    :param reported: records the reports.
    :param freshness: records the leader's configuration number.
    :param peers: records which control hosts send frames.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        reported: reported_state.ReportedState,
        freshness: configuration_freshness.ConfigurationFreshness,
        peers: relay_peers.RelayPeers,
    ) -> None:
        self._settings = settings
        self._reported = reported
        self._freshness = freshness
        self._peers = peers

    async def run(self, stream: PeerStream) -> None:
        """Serve a peer's stream until it ends or falls silent.

        :param stream: the stream; the reply to each frame holds nothing but
            the sender's name and the clock with its echo.
        """
        age_bound = frame_age.FrameAgeBound()
        timeout_s = self._settings.timings.presence_limit_ms / 1000
        try:
            while True:
                # asyncio.wait_for would swallow a cancellation that comes
                # together with a frame.
                async with asyncio.timeout(timeout_s):
                    frame = await stream.recv_message()
                if frame is None:
                    return
                self._handle_frame(frame, age_bound)
                reply = membership_pb2.RelayFrame(
                    clock=age_bound.stamp(), sender=self._settings.name
                )
                async with asyncio.timeout(timeout_s):
                    await stream.send_message(reply)
        except stream_errors.StreamErrors:
            return

    def _handle_frame(
        self,
        frame: membership_pb2.RelayFrame,
        age_bound: frame_age.FrameAgeBound,
    ) -> None:
        age_ms = age_bound.observe(frame.clock)
        if age_ms is None:
            return
        self._peers.note_frame(frame, age_ms)
        if frame.leading:
            self._freshness.note_leader(frame.configuration_number, age_ms)
        self._reported.take_relay_frame(frame, age_ms)


class RelaySender:
    """Keeps a relay to one other control host.

    :param settings: the node's settings.
    :param host: the other control host.
    :param reported: what to relay.
    :param freshness: knows the local configuration and who leads.
    :param peers: knows which control hosts are silent.
    :param channel_factory: opens the channel.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        host: model.ControlHostSettings,
        reported: reported_state.ReportedState,
        freshness: configuration_freshness.ConfigurationFreshness,
        peers: relay_peers.RelayPeers,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._host = host
        self._reported = reported
        self._freshness = freshness
        self._peers = peers
        self._channels = channel_factory
        self._counters = counters

    async def run(self) -> None:
        """Keep the relay until cancelled."""
        while True:
            channel = self._channels.open_channel(self._host.address)
            try:
                stub = membership_grpc.MembershipStub(channel)
                async with stub.Relay.open() as stream:
                    await self._run_stream(stream)
            except stream_errors.StreamErrors:
                self._counters.count('relay_breaks', peer=self._host.name)
            finally:
                channel.close()
            await asyncio.sleep(self._settings.timings.relay_ms / 1000)

    async def _run_stream(self, stream: typing.Any) -> None:
        age_bound = frame_age.FrameAgeBound()
        batch = relay_batch.RelayBatch(
            self._settings.name, self._host.name, self._reported, self._peers
        )
        timings = self._settings.timings
        timeout_s = timings.presence_limit_ms / 1000
        trigger = self._reported.send_trigger
        while True:
            seen_count = trigger.count
            frame = membership_pb2.RelayFrame(
                clock=age_bound.stamp(),
                sender=self._settings.name,
                leading=self._freshness.is_leader,
                configuration_number=self._freshness.number,
                unheard=self._peers.list_silent(),
            )
            batch.write(frame)
            async with asyncio.timeout(timeout_s):
                await stream.send_message(frame)
            async with asyncio.timeout(timeout_s):
                reply = await stream.recv_message()
            if reply is None:
                return
            age_bound.observe(reply.clock)
            await trigger.wait(timings.relay_ms / 1000, seen_count)
