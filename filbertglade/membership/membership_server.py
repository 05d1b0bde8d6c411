"""The RPC server of a control host for nodes and other control hosts."""

import asyncio

from grpclib import server

from filbertglade.control import agreement
from filbertglade.control import state
from filbertglade.inner import channels
from filbertglade.inner import membership_grpc
from filbertglade.inner import membership_pb2
from filbertglade.membership import configuration_freshness
from filbertglade.membership import node_link
from filbertglade.membership import presence
from filbertglade.membership import presence_logger
from filbertglade.membership import relay_peers
from filbertglade.membership import relays
from filbertglade.membership import reported_state
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.settings import model
from filbertglade import tasks

log = logs.get_log(__name__)

FORGET_INTERVAL_MS = 1000


class MembershipServer(membership_grpc.MembershipBase):
    """Collects the reports of nodes and sends them routing data."""

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._channels = channel_factory
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        self._reported = reported_state.ReportedState(settings.name)
        self._freshness = configuration_freshness.ConfigurationFreshness(
            agreed, voters
        )
        self._peers = relay_peers.RelayPeers(settings)
        self._source = node_link.NodeSource(
            settings, agreed, self._reported, self._freshness, counters
        )

        self._presence_logger = presence_logger.PresenceLogger(
            agreed,
            self._reported.presence,
            settings.timings.presence_limit_ms,
        )

    @property
    def presence(self) -> presence.PresenceTable:
        """Hosts and nodes that were reported to this control host."""
        return self._reported.presence

    async def start(self) -> None:
        """Start to relay to the other control hosts."""
        for host in self._settings.control.hosts:
            if host.name != self._settings.name:
                self._tasks.keep_running(
                    'membership.relay',
                    self._build_sender(host).run,
                    self._counters,
                )
        self._tasks.keep_running(
            'membership.refresh', self._refresh, self._counters
        )
        self._tasks.keep_running(
            'membership.forget_old', self._forget_old, self._counters
        )
        self._tasks.keep_running(
            'membership.log_presence', self._log_presence, self._counters
        )

    def _build_sender(
        self, host: model.ControlHostSettings
    ) -> relays.RelaySender:
        return relays.RelaySender(
            self._settings,
            host,
            self._reported,
            self._freshness,
            self._peers,
            self._channels,
            self._counters,
        )

    async def close(self) -> None:
        """Stop relaying."""
        await self._tasks.close()

    async def _refresh(self) -> None:
        interval_ms = self._settings.timings.relay_ms / 2
        while True:
            silent = self._peers.list_silent()
            self.presence.silent_control_hosts = frozenset(silent)
            self._source.refresh()
            await asyncio.sleep(interval_ms / 1000)

    async def _log_presence(self) -> None:
        interval_s = self._settings.timings.relay_ms / 1000
        while True:
            await asyncio.sleep(interval_s)
            self._presence_logger.log_host_changes()
            if self._freshness.is_leader:
                self._presence_logger.log_group_changes()

    async def _forget_old(self) -> None:
        while True:
            await asyncio.sleep(FORGET_INTERVAL_MS / 1000)
            for host in self.presence.forget_old():
                log.change('host.forgotten', host=host)

    async def Attach(  # noqa: N802
        self,
        stream: server.Stream[
            membership_pb2.NodeFrame, membership_pb2.ControlFrame
        ],
    ) -> None:
        """Serve one node's attachment until it ends.

        :param stream: the node's stream.
        """
        await node_link.NodeLink(self._source, stream).run()

    async def FindLeader(  # noqa: N802
        self,
        stream: server.Stream[
            membership_pb2.LeaderRequest, membership_pb2.LeaderReply
        ],
    ) -> None:
        """Tell a node whether this control host has a leader.

        :param stream: one request and its reply.
        """
        if await stream.recv_message() is None:
            return
        age_ms = self._freshness.age_ms()
        reply = membership_pb2.LeaderReply(
            known=age_ms is not None, age_ms=age_ms or 0
        )
        await stream.send_message(reply)

    async def Relay(  # noqa: N802
        self,
        stream: server.Stream[
            membership_pb2.RelayFrame, membership_pb2.RelayFrame
        ],
    ) -> None:
        """Receive the reports that another control host relays.

        :param stream: the peer's stream.
        """
        receiver = relays.RelayReceiver(
            self._settings, self._reported, self._freshness, self._peers
        )
        await receiver.run(stream)
