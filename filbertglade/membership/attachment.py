"""A node's attachment: one long stream to one control host."""

import asyncio
from collections import abc

from grpclib import client
import xxhash

from filbertglade import clock
from filbertglade.inner import channels
from filbertglade.inner import membership_grpc
from filbertglade.inner import membership_pb2
from filbertglade.membership import announcements
from filbertglade.membership import frame_age
from filbertglade.membership import leader_search
from filbertglade.membership import line_reader
from filbertglade.membership import report_outbox
from filbertglade.membership import stream_errors
from filbertglade.membership import view
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.settings import model
from filbertglade import tasks

log = logs.get_log(__name__)

FORGET_INTERVAL_MS = 1000
# Presence limits without a leader until another control host is tried.
LEADERLESS_LIMITS = 2
# Presence limits after which a lost attachment is made anew from the nearest
# control host on.
LASTING_LIMITS = 2

StreamErrors = stream_errors.StreamErrors

Stream = client.Stream[membership_pb2.NodeFrame, membership_pb2.ControlFrame]


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
        self._search = leader_search.LeaderSearch(
            settings, channel_factory, self._tasks
        )
        # A control host that hears the leader and is to be attached to next.
        self._better: model.ControlHostSettings | None = None
        self._sequence = 0
        self._started_ms = 0
        self._outbox = report_outbox.ReportOutbox(settings.name)
        self.is_draining = False
        self.control_host = ''

    async def start(self) -> None:
        """Begin to attach."""
        self._started_ms = clock.now_ms()
        self._tasks.start(self._inbox.pauses.run())
        self._tasks.start(self._forget_old())
        self._tasks.start(self._keep_attached())

    async def close(self) -> None:
        """Detach."""
        await self._tasks.close()

    def report_loss(self, host: str, run: str) -> None:
        """Tell the others that a connection to a host failed.

        :param host: its name.
        :param run: the run of it that was lost.
        """
        self._outbox.add_loss(host, run)

    def report_strike(self, digest: bytes, group: str) -> None:
        """Tell the others that an endpoint crashed under a request.

        :param digest: names the request.
        :param group: the group, or the worker's host, that ran it.
        """
        strike = self._outbox.add_strike(digest, group)
        self._fleet.strikes.note(strike, 0)

    def report_demand(
        self, customer: str, requests_per_s: float, tokens_per_s: float
    ) -> None:
        """Tell how much a customer asks of this node.

        :param customer: its name.
        :param requests_per_s: requests a second that came in.
        :param tokens_per_s: tokens a second that they ask for.
        """
        self._outbox.set_demand(customer, requests_per_s, tokens_per_s)

    def report_cache_event(
        self,
        group: str,
        epoch: int,
        sequence: int,
        stored: abc.Sequence[int] = (),
        evicted: abc.Sequence[int] = (),
    ) -> None:
        """Tell the others what a group's prefix cache took in or let go.

        :param group: the group.
        :param epoch: its epoch.
        :param sequence: the event's number, as the engine counts.
        :param stored: hashes of prefixes taken in.
        :param evicted: hashes of prefixes let go.
        """
        event = membership_pb2.CacheEvent(
            group=group,
            epoch=epoch,
            sequence=sequence,
            stored=stored,
            evicted=evicted,
        )
        self._outbox.add_cache_event(event)

    async def _forget_old(self) -> None:
        while True:
            await asyncio.sleep(FORGET_INTERVAL_MS / 1000)
            self._fleet.forget_old()

    async def _keep_attached(self) -> None:
        relay_s = self._settings.timings.relay_ms / 1000
        limit_ms = self._settings.timings.presence_limit_ms
        while True:
            for host in self._ordered_hosts():
                began_ms = clock.now_ms()
                await self._attach(host)
                while self._better is not None:
                    better, self._better = self._better, None
                    await self._attach(better)
                await asyncio.sleep(relay_s)
                lasted_ms = clock.now_ms() - began_ms
                if lasted_ms > LASTING_LIMITS * limit_ms:
                    break

    def _ordered_hosts(self) -> list[model.ControlHostSettings]:
        """Return the control hosts, the nearest first.

        Among those of one data centre each node has an order of its own, so
        that the nodes spread over them.
        """
        settings = self._settings
        return sorted(
            settings.control.hosts,
            key=lambda host: (
                host.name != settings.name,
                host.data_centre != settings.data_centre,
                xxhash.xxh64_intdigest(
                    f'{settings.name}/{host.name}'.encode()
                ),
            ),
        )

    async def _attach(self, host: model.ControlHostSettings) -> None:
        channel = self._channels.open_channel(host.address)
        try:
            stub = membership_grpc.MembershipStub(channel)
            async with stub.Attach.open() as stream:
                await self._run_stream(stream, host.name)
        except StreamErrors as error:
            if self.control_host:
                log.change(
                    'attachment.lost', control_host=host.name, error=error
                )
        finally:
            self.control_host = ''
            channel.close()

    async def _run_stream(self, stream: Stream, host: str) -> None:
        timings = self._settings.timings
        age_bound = frame_age.FrameAgeBound()
        reader = line_reader.LineReader(self._fleet)
        heard_leader_ms = clock.now_ms()
        async with asyncio.timeout(timings.connect_timeout_ms / 1000):
            await stream.send_message(self._build_frame(age_bound))
        sender = self._tasks.start(self._send_frames(stream, age_bound))
        try:
            while not sender.done():
                async with asyncio.timeout(timings.presence_limit_ms / 1000):
                    frame = await stream.recv_message()
                if frame is None:
                    return
                self._note_attached(host)
                self._take(frame, age_bound, reader)
                if frame.leader_known:
                    heard_ms = clock.now_ms() - frame.leader_age_ms
                    heard_leader_ms = max(heard_leader_ms, heard_ms)
                wanted = self._list_wanted(host, heard_leader_ms)
                if wanted:
                    self._better = self._search.poll(wanted)
                if self._better is not None:
                    log.change(
                        'attachment.left',
                        control_host=host,
                        better=self._better.name,
                    )
                    return
        finally:
            self._search.stop()
            sender.cancel()

    def _note_attached(self, host: str) -> None:
        if not self.control_host:
            self.control_host = host
            log.change('attachment.made', control_host=host)

    def _list_wanted(
        self, attached: str, heard_leader_ms: int
    ) -> list[model.ControlHostSettings]:
        """Return the control hosts that would be better if they hear a leader.

        Without a leader any other is; but the attachment is kept until one
        is found, since the region's own hosts are heard here. With one, those
        of this node's data centre are better than others.
        """
        hosts = self._ordered_hosts()
        if self._is_cut_off(heard_leader_ms):
            return [host for host in hosts if host.name != attached]
        own = self._settings.data_centre
        near = [host for host in hosts if host.data_centre == own]
        if any(host.name == attached for host in near):
            return []
        return near

    def _is_cut_off(self, heard_leader_ms: int) -> bool:
        """Tell whether another control host should be tried for a leader."""
        if len(self._settings.control.hosts) == 1:
            return False
        limit_ms = LEADERLESS_LIMITS * self._settings.timings.presence_limit_ms
        return clock.now_ms() - heard_leader_ms > limit_ms

    async def _send_frames(
        self, stream: Stream, age_bound: frame_age.FrameAgeBound
    ) -> None:
        timings = self._settings.timings
        trigger = self._outbox.send_trigger
        seen_count = trigger.count
        try:
            while True:
                await trigger.wait(timings.relay_ms / 1000, seen_count)
                seen_count = trigger.count
                async with asyncio.timeout(timings.presence_limit_ms / 1000):
                    await stream.send_message(self._build_frame(age_bound))
        except StreamErrors:
            return

    def _build_frame(
        self, age_bound: frame_age.FrameAgeBound
    ) -> membership_pb2.NodeFrame:
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
        frame = membership_pb2.NodeFrame(
            clock=age_bound.stamp(), report=report
        )
        # Before the control host has echoed a clock value, it can prove the
        # age of nothing in a frame.
        if age_bound.has_peer_clock:
            frame.announcements.extend(self._inbox.take())
            self._outbox.write(frame)
        return frame

    def _take(
        self,
        frame: membership_pb2.ControlFrame,
        age_bound: frame_age.FrameAgeBound,
        reader: line_reader.LineReader,
    ) -> None:
        age_ms = age_bound.observe(frame.clock)
        self._take_configuration(frame, age_ms)
        if age_ms is None:
            return
        reader.read(frame, age_ms)
        self._fleet.note_shares(frame.shares)
        for strike in frame.strikes:
            self._fleet.strikes.note(strike, age_ms)
        for event in frame.cache_events:
            self._fleet.note_cache_event(event)
        self._counters.count('control_frames_received')

    def _take_configuration(
        self, frame: membership_pb2.ControlFrame, age_ms: int | None
    ) -> None:
        """Put a document in force, and note whether it is the newest.

        The first one must be proven to be: a process that ran here before
        may have held a newer one than the control host has caught up with.
        """
        is_proven = age_ms is not None and self._is_proven(frame, age_ms)
        if frame.HasField('configuration') and (
            is_proven or self._fleet.is_confirmed
        ):
            self._fleet.put_in_force(frame.configuration)
        if is_proven and self._fleet.number >= frame.configuration_number:
            self._fleet.is_confirmed = True

    def _is_proven(
        self, frame: membership_pb2.ControlFrame, age_ms: int
    ) -> bool:
        """Tell whether the leader confirmed it since this process started."""
        if not frame.leader_known:
            return False
        proven_ms = clock.now_ms() - age_ms - frame.leader_age_ms
        return proven_ms >= self._started_ms
