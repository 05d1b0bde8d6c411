"""Relays between control hosts: each passes on what its own nodes said."""

import asyncio
import typing

from grpclib import server

from filbertglade import clock
from filbertglade.inner import channels
from filbertglade.inner import membership_grpc
from filbertglade.inner import membership_pb2
from filbertglade.membership import currency
from filbertglade.membership import gathered
from filbertglade.membership import hops
from filbertglade.membership import links
from filbertglade.membership import presence
from filbertglade.observability import metrics
from filbertglade.settings import model

EVENTS_PER_FRAME = 64

PeerStream = server.Stream[
    membership_pb2.RelayFrame, membership_pb2.RelayFrame
]


class RelayPeers:
    """Which control hosts this one hears, and what each of them lacks.

    :param settings: the node's settings.
    """

    def __init__(self, settings: model.NodeSettings) -> None:
        self._limit_ms = settings.timings.presence_limit_ms
        self._names = [
            host.name
            for host in settings.control.hosts
            if host.name != settings.name
        ]
        self._heard_ms: dict[str, int] = {}
        self._unheard: dict[str, frozenset[str]] = {}

    def note_frame(
        self, frame: membership_pb2.RelayFrame, age_ms: int
    ) -> None:
        """Note that a control host was heard.

        :param frame: its frame.
        :param age_ms: upper bound of the frame's age.
        """
        self._heard_ms[frame.sender] = clock.now_ms() - age_ms
        self._unheard[frame.sender] = frozenset(frame.unheard)

    def list_unheard(self) -> list[str]:
        """Return the control hosts that are not heard here."""
        oldest_ms = clock.now_ms() - self._limit_ms
        return [
            name
            for name in self._names
            if self._heard_ms.get(name, oldest_ms - 1) < oldest_ms
        ]

    def lacks(self, peer: str, origin: str) -> bool:
        """Tell whether a peer needs to be told what another one's nodes said.

        :param peer: the peer.
        :param origin: the control host whose nodes said it.
        """
        return origin != peer and origin in self._unheard.get(peer, ())


class RelayReceiver:
    """Takes in what one control host relays.

    :param settings: the node's settings.
    :param heard: where it goes.
    :param confirmed: told what the leader says of its configuration.
    :param peers: told which control hosts are heard.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        heard: gathered.GatheredState,
        confirmed: currency.ConfigurationCurrency,
        peers: RelayPeers,
    ) -> None:
        self._settings = settings
        self._heard = heard
        self._currency = confirmed
        self._peers = peers

    async def run(self, stream: PeerStream) -> None:
        """Serve a peer's stream until it ends or falls silent.

        :param stream: each frame is answered by an empty one that echoes
            its clock.
        """
        hop = hops.HopClock()
        timeout_s = self._settings.timings.presence_limit_ms / 1000
        try:
            while True:
                frame = await asyncio.wait_for(
                    stream.recv_message(), timeout_s
                )
                if frame is None:
                    return
                self._take(frame, hop)
                reply = membership_pb2.RelayFrame(
                    clock=hop.stamp(), sender=self._settings.name
                )
                await asyncio.wait_for(stream.send_message(reply), timeout_s)
        except links.LinkErrors:
            return

    def _take(
        self, frame: membership_pb2.RelayFrame, hop: hops.HopClock
    ) -> None:
        age_ms = hop.observe(frame.clock)
        if age_ms is None:
            return
        self._peers.note_frame(frame, age_ms)
        if frame.leading:
            self._currency.note_leader(frame.configuration_number, age_ms)
        self._heard.take_relay_frame(frame, age_ms)


class RelaySender:
    """Keeps a relay to one other control host.

    :param settings: the node's settings.
    :param host: the other control host.
    :param heard: what to relay.
    :param confirmed: what to say of the configuration.
    :param peers: which control hosts are heard.
    :param channel_factory: opens the channel.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        host: model.ControlHostSettings,
        heard: gathered.GatheredState,
        confirmed: currency.ConfigurationCurrency,
        peers: RelayPeers,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._host = host
        self._heard = heard
        self._currency = confirmed
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
            except links.LinkErrors:
                self._counters.count('relay_breaks', peer=self._host.name)
            finally:
                channel.close()
            await asyncio.sleep(self._settings.timings.relay_ms / 1000)

    async def _run_stream(self, stream: typing.Any) -> None:
        hop = hops.HopClock()
        batch = RelayBatch(
            self._settings.name, self._host.name, self._heard, self._peers
        )
        timings = self._settings.timings
        timeout_s = timings.presence_limit_ms / 1000
        while True:
            frame = membership_pb2.RelayFrame(
                clock=hop.stamp(),
                sender=self._settings.name,
                leading=self._currency.is_leader,
                configuration_number=self._currency.number,
                unheard=self._peers.list_unheard(),
            )
            batch.write(frame)
            await asyncio.wait_for(stream.send_message(frame), timeout_s)
            reply = await asyncio.wait_for(stream.recv_message(), timeout_s)
            if reply is None:
                return
            hop.observe(reply.clock)
            await asyncio.sleep(timings.relay_ms / 1000)


class RelayBatch:
    """Gathers, for one peer, the newest value of what changed.

    :param name: this control host.
    :param peer: the other one.
    :param heard: what to relay.
    :param peers: which control hosts the other one lacks.
    """

    def __init__(
        self,
        name: str,
        peer: str,
        heard: gathered.GatheredState,
        peers: RelayPeers,
    ) -> None:
        self._name = name
        self._peer = peer
        self._heard = heard
        self._peers = peers
        self._hosts: dict[str, int] = {}
        self._nodes: dict[str, int] = {}
        self._strikes_read = 0
        self._losses_read = heard.losses.end
        self._cache_events_read = heard.cache_events.end

    def write(self, frame: membership_pb2.RelayFrame) -> None:
        """Write a batch.

        :param frame: the frame to fill.
        """
        self._write_presence(frame)
        self._write_events(frame)

    def _is_wanted(self, origin: str) -> bool:
        return origin == self._name or self._peers.lacks(self._peer, origin)

    def _write_presence(self, frame: membership_pb2.RelayFrame) -> None:
        now_ms = clock.now_ms()
        table = self._heard.presence
        for name in self._select(table.hosts, self._hosts):
            host = table.hosts[name]
            frame.announcements.append(host.announcement)
            frame.announcements[-1].age_ms = now_ms - host.proven_ms
        for name in self._select(table.nodes, self._nodes):
            node = table.nodes[name]
            frame.reports.append(node.report)
            frame.reports[-1].age_ms = now_ms - node.proven_ms

    def _select(
        self,
        table: typing.Mapping[str, presence.SeenHost | presence.SeenNode],
        sent: dict[str, int],
    ) -> list[str]:
        """Return what has changed since it was last sent, and note it."""
        selected = []
        for name, seen in table.items():
            if sent.get(name) != seen.proven_ms and self._is_wanted(
                seen.origin
            ):
                sent[name] = seen.proven_ms
                selected.append(name)
        for name in [name for name in sent if name not in table]:
            del sent[name]
        return selected

    def _write_events(self, frame: membership_pb2.RelayFrame) -> None:
        heard = self._heard
        for strike in heard.strikes.read_after(
            self._strikes_read, EVENTS_PER_FRAME
        ):
            self._strikes_read = strike.position
            if self._is_wanted(strike.origin):
                frame.strikes.append(strike.message)
                frame.strikes[-1].age_ms = strike.age_ms
        for loss in heard.losses.read_after(
            self._losses_read, EVENTS_PER_FRAME
        ):
            self._losses_read = loss.position
            if self._is_wanted(loss.origin):
                frame.losses.append(loss.message)
                frame.losses[-1].age_ms = loss.age_ms
        for event in heard.cache_events.read_after(
            self._cache_events_read, EVENTS_PER_FRAME
        ):
            self._cache_events_read = event.position
            if self._is_wanted(event.origin):
                frame.cache_events.append(event.message)
