"""A node's attachment: one long stream to one control host."""

import asyncio
import collections

from grpclib import client
from grpclib import exceptions

from filbertglade import clock
from filbertglade.inner import channels
from filbertglade.inner import membership_grpc
from filbertglade.inner import membership_pb2
from filbertglade.membership import announcements
from filbertglade.membership import hops
from filbertglade.membership import view
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.settings import model
from filbertglade import tasks

log = logs.get_log(__name__)

WAITING_EVENTS = 1000

LinkErrors = (
    OSError,
    EOFError,
    TimeoutError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
)


class Attachment:
    """Sends what this node knows and receives what it routes by."""

    def __init__(
        self,
        settings: model.NodeSettings,
        run: str,
        inbox: announcements.AnnouncementInbox,
        fleet: view.FleetView,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._run = run
        self._inbox = inbox
        self._fleet = fleet
        self._channels = channel_factory
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        self._sequence = 0
        self._started_ms = 0
        self._losses: collections.deque[membership_pb2.HostLoss] = (
            collections.deque(maxlen=WAITING_EVENTS)
        )
        self.is_draining = False
        self.control_host = ''

    async def start(self) -> None:
        """Begin to attach."""
        self._started_ms = clock.now_ms()
        self._tasks.start(self._keep_attached())

    async def close(self) -> None:
        """Detach."""
        await self._tasks.close()

    def report_loss(self, host: str, run: str) -> None:
        """Tell the others that a connection to a host failed.

        :param host: its name.
        :param run: the run of it that was lost.
        """
        loss = membership_pb2.HostLoss(
            host=host, run=run, node=self._settings.name
        )
        self._losses.append(loss)

    async def _keep_attached(self) -> None:
        relay_s = self._settings.timings.relay_ms / 1000
        while True:
            for host in self._ordered_hosts():
                await self._attach(host)
                await asyncio.sleep(relay_s)

    def _ordered_hosts(self) -> list[model.ControlHostSettings]:
        settings = self._settings
        return sorted(
            settings.control.hosts,
            key=lambda host: (
                host.name != settings.name,
                host.data_centre != settings.data_centre,
            ),
        )

    async def _attach(self, host: model.ControlHostSettings) -> None:
        channel = self._channels.open_channel(host.address)
        try:
            stub = membership_grpc.MembershipStub(channel)
            async with stub.Attach.open() as stream:
                await self._run_stream(stream, host.name)
        except LinkErrors as error:
            if self.control_host:
                log.change(
                    'attachment.lost', control_host=host.name, error=error
                )
        finally:
            self.control_host = ''
            channel.close()

    async def _run_stream(
        self,
        stream: client.Stream[
            membership_pb2.NodeFrame, membership_pb2.ControlFrame
        ],
        host: str,
    ) -> None:
        timings = self._settings.timings
        hop = hops.HopClock()
        await asyncio.wait_for(
            stream.send_message(self._build_frame(hop)),
            timings.connect_timeout_ms / 1000,
        )
        sender = self._tasks.start(self._send_frames(stream, hop))
        try:
            while not sender.done():
                frame = await asyncio.wait_for(
                    stream.recv_message(), timings.presence_limit_ms / 1000
                )
                if frame is None:
                    return
                self._take(frame, hop, host)
        finally:
            sender.cancel()

    async def _send_frames(
        self,
        stream: client.Stream[
            membership_pb2.NodeFrame, membership_pb2.ControlFrame
        ],
        hop: hops.HopClock,
    ) -> None:
        timings = self._settings.timings
        try:
            while True:
                await asyncio.sleep(timings.relay_ms / 1000)
                await asyncio.wait_for(
                    stream.send_message(self._build_frame(hop)),
                    timings.presence_limit_ms / 1000,
                )
        except LinkErrors:
            return

    def _build_frame(self, hop: hops.HopClock) -> membership_pb2.NodeFrame:
        settings = self._settings
        self._sequence += 1
        report = membership_pb2.NodeReport(
            node=settings.name,
            run=self._run,
            sequence=self._sequence,
            region=settings.region,
            data_centre=settings.data_centre,
            inner_address=settings.listen.inner,
            configuration_number=self._fleet.number,
            draining=self.is_draining,
        )
        losses = list(self._losses)
        self._losses.clear()
        return membership_pb2.NodeFrame(
            clock=hop.stamp(),
            report=report,
            announcements=self._inbox.take(),
            losses=losses,
        )

    def _take(
        self,
        frame: membership_pb2.ControlFrame,
        hop: hops.HopClock,
        host: str,
    ) -> None:
        age_ms = hop.observe(frame.clock)
        if not self.control_host:
            self.control_host = host
            log.change('attachment.made', control_host=host)
        if frame.HasField('configuration'):
            self._fleet.put_in_force(frame.configuration)
        if age_ms is None:
            return
        heard_ms = clock.now_ms() - age_ms - frame.leader_age_ms
        if frame.leader_known and heard_ms >= self._started_ms:
            self._fleet.is_confirmed = True
        for line in frame.groups:
            self._fleet.note_group(line, age_ms)
        for worker in frame.workers:
            self._fleet.note_worker(worker, age_ms)
        self._fleet.forget(list(frame.gone_groups), list(frame.gone_workers))
        self._counters.count('control_frames_received')
