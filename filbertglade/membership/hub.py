"""A control host's side of attachments, and its relays to its peers."""

import asyncio

from grpclib import server

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import state
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.inner import membership_grpc
from filbertglade.inner import membership_pb2
from filbertglade.membership import attachment
from filbertglade.membership import hops
from filbertglade.membership import presence
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.settings import model
from filbertglade import tasks

log = logs.get_log(__name__)


class Hub(membership_grpc.MembershipBase):
    """Gathers what nodes report and gives them what they route by."""

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._agreed = agreed
        self._voters = voters
        self._channels = channel_factory
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        self._losses: list[membership_pb2.HostLoss] = []
        self.presence = presence.PresenceTable()

    async def start(self) -> None:
        """Begin to relay to the other control hosts."""
        for host in self._settings.control.hosts:
            if host.name != self._settings.name:
                self._tasks.start(self._keep_relay(host))
        self._tasks.start(self._forget_old())

    async def close(self) -> None:
        """Stop relaying."""
        await self._tasks.close()

    async def Attach(
        self,
        stream: server.Stream[
            membership_pb2.NodeFrame, membership_pb2.ControlFrame
        ],
    ) -> None:
        """Serve one node's attachment until it ends.

        :param stream: the node's stream.
        """
        hop = hops.HopClock()
        sender: asyncio.Task[None] | None = None
        timeout_s = self._settings.timings.presence_limit_ms / 1000
        number = 0
        try:
            while True:
                frame = await asyncio.wait_for(
                    stream.recv_message(), timeout_s
                )
                if frame is None:
                    return
                number = frame.report.configuration_number
                self._take_node_frame(frame, hop)
                if sender is None:
                    sender = self._tasks.start(
                        self._send_control_frames(
                            stream, hop, frame.report.node
                        )
                    )
                self._counters.count('node_frames_received')
        except TimeoutError:
            log.change('node.silent', configuration_number=number)
        finally:
            if sender is not None:
                sender.cancel()

    def _take_node_frame(
        self, frame: membership_pb2.NodeFrame, hop: hops.HopClock
    ) -> None:
        age_ms = hop.observe(frame.clock)
        if age_ms is None:
            return
        self.presence.note_node(frame.report, age_ms)
        for announcement in frame.announcements:
            self._note_host(announcement, age_ms)
        for loss in frame.losses:
            self.presence.note_loss(loss)
            self._losses.append(loss)

    def _note_host(
        self, announcement: membership_pb2.Announcement, age_ms: int
    ) -> None:
        known = announcement.host in self.presence.hosts
        if self.presence.note_host(announcement, age_ms) and not known:
            log.change(
                'host.seen',
                host=announcement.host,
                fabric_domain=announcement.fabric_domain,
                service=announcement.service,
            )

    async def _send_control_frames(
        self,
        stream: server.Stream[
            membership_pb2.NodeFrame, membership_pb2.ControlFrame
        ],
        hop: hops.HopClock,
        node: str,
    ) -> None:
        timings = self._settings.timings
        sent: set[str] = set()
        sent_workers: set[str] = set()
        while True:
            frame = self._build_control_frame(hop, node)
            groups = {line.group for line in frame.groups}
            workers = {line.host for line in frame.workers}
            frame.gone_groups.extend(sent - groups)
            frame.gone_workers.extend(sent_workers - workers)
            sent, sent_workers = groups, workers
            try:
                await asyncio.wait_for(
                    stream.send_message(frame),
                    timings.presence_limit_ms / 1000,
                )
            except attachment.LinkErrors:
                return
            await asyncio.sleep(timings.relay_ms / 1000)

    def _build_control_frame(
        self, hop: hops.HopClock, node: str
    ) -> membership_pb2.ControlFrame:
        frame = membership_pb2.ControlFrame(clock=hop.stamp())
        leader_age_ms = self._voters.leader_age_ms()
        if leader_age_ms is not None:
            frame.leader_known = True
            frame.leader_age_ms = leader_age_ms
        current = self._agreed.configuration.current
        seen = self.presence.nodes.get(node)
        known = seen.report.configuration_number if seen else 0
        if current.number > known:
            frame.configuration.number = current.number
            frame.configuration.change_id = current.change_id
            frame.configuration.document = current.document
        frame.groups.extend(self._build_group_lines())
        frame.workers.extend(self._build_worker_lines())
        return frame

    def _build_group_lines(self) -> list[membership_pb2.GroupLine]:
        return [
            self._build_group_line(record)
            for record in self._agreed.groups.groups.values()
            if record.phase == commands_pb2.SERVING
        ]

    def _build_group_line(
        self, record: commands_pb2.GroupRecord
    ) -> membership_pb2.GroupLine:
        line = membership_pb2.GroupLine(
            group=record.group,
            epoch=record.epoch,
            deployment=record.deployment,
            fabric_domain=record.fabric_domain,
            hosts=record.hosts,
            complete=True,
        )
        now_ms = clock.now_ms()
        for position, host in enumerate(record.hosts):
            seen = self.presence.hosts.get(host)
            if seen is None or not _serves(seen, record):
                line.complete = False
                continue
            line.age_ms = max(line.age_ms, now_ms - seen.proven_ms)
            if position == 0:
                line.run = seen.announcement.run
                line.address = seen.announcement.address
                line.region = seen.announcement.region
                line.data_centre = seen.announcement.data_centre
                line.load.CopyFrom(seen.announcement.load)
        return line

    def _build_worker_lines(self) -> list[membership_pb2.WorkerLine]:
        now_ms = clock.now_ms()
        limit_ms = self._settings.timings.presence_limit_ms
        return [
            membership_pb2.WorkerLine(
                host=seen.announcement.host,
                run=seen.announcement.run,
                service=seen.announcement.service,
                region=seen.announcement.region,
                data_centre=seen.announcement.data_centre,
                address=seen.announcement.address,
                leaving=seen.announcement.leaving,
                age_ms=now_ms - seen.proven_ms,
                load=seen.announcement.load,
            )
            for name, seen in self.presence.hosts.items()
            if seen.announcement.service
            and self.presence.is_present(name, limit_ms)
        ]

    async def _forget_old(self) -> None:
        while True:
            await asyncio.sleep(1)
            limit_ms = self._settings.timings.presence_limit_ms
            before = set(self.presence.hosts)
            self.presence.forget_old()
            for host in before - set(self.presence.hosts):
                log.change('host.forgotten', host=host, limit_ms=limit_ms)

    async def Relay(
        self,
        stream: server.Stream[
            membership_pb2.RelayFrame, membership_pb2.RelayFrame
        ],
    ) -> None:
        """Take in what another control host has heard.

        :param stream: the peer's stream; each frame is answered by an
            empty one that echoes its clock.
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
                self._take_relay_frame(frame, hop)
                await stream.send_message(
                    membership_pb2.RelayFrame(
                        clock=hop.stamp(), sender=self._settings.name
                    )
                )
        except TimeoutError:
            return

    def _take_relay_frame(
        self, frame: membership_pb2.RelayFrame, hop: hops.HopClock
    ) -> None:
        age_ms = hop.observe(frame.clock)
        if age_ms is None:
            return
        for report in frame.reports:
            self.presence.note_node(report, age_ms)
        for announcement in frame.announcements:
            self._note_host(announcement, age_ms)
        for loss in frame.losses:
            self.presence.note_loss(loss)

    async def _keep_relay(self, host: model.ControlHostSettings) -> None:
        while True:
            channel = self._channels.open_channel(host.address)
            try:
                stub = membership_grpc.MembershipStub(channel)
                async with stub.Relay.open() as stream:
                    await self._run_relay(stream)
            except attachment.LinkErrors:
                self._counters.count('relay_breaks', peer=host.name)
            finally:
                channel.close()
            await asyncio.sleep(self._settings.timings.relay_ms / 1000)

    async def _run_relay(self, stream: object) -> None:
        hop = hops.HopClock()
        timings = self._settings.timings
        timeout_s = timings.presence_limit_ms / 1000
        sent: dict[str, int] = {}
        while True:
            frame = self._build_relay_frame(hop, sent)
            await asyncio.wait_for(
                stream.send_message(frame),  # type: ignore[attr-defined]
                timeout_s,
            )
            reply = await asyncio.wait_for(
                stream.recv_message(),  # type: ignore[attr-defined]
                timeout_s,
            )
            if reply is None:
                return
            hop.observe(reply.clock)
            await asyncio.sleep(timings.relay_ms / 1000)

    def _build_relay_frame(
        self, hop: hops.HopClock, sent: dict[str, int]
    ) -> membership_pb2.RelayFrame:
        now_ms = clock.now_ms()
        frame = membership_pb2.RelayFrame(
            clock=hop.stamp(), sender=self._settings.name
        )
        for name, host in self.presence.hosts.items():
            if sent.get(f'host/{name}', -1) < host.proven_ms:
                sent[f'host/{name}'] = host.proven_ms
                copy = membership_pb2.Announcement()
                copy.CopyFrom(host.announcement)
                copy.age_ms = now_ms - host.proven_ms
                frame.announcements.append(copy)
        for name, node in self.presence.nodes.items():
            if sent.get(f'node/{name}', -1) < node.proven_ms:
                sent[f'node/{name}'] = node.proven_ms
                report = membership_pb2.NodeReport()
                report.CopyFrom(node.report)
                report.age_ms = now_ms - node.proven_ms
                frame.reports.append(report)
        return frame


def _serves(seen: presence.SeenHost, record: commands_pb2.GroupRecord) -> bool:
    announcement = seen.announcement
    return (
        not seen.lost
        and announcement.group == record.group
        and announcement.epoch == record.epoch
        and announcement.ready
        and not announcement.leaving
    )
