"""A node's attachment: its long-lived stream to one control host."""

import asyncio
from collections import abc

from grpclib import client
import xxhash

from filbertglade import clock
from filbertglade.inner import channels
from filbertglade.inner import membership_grpc
from filbertglade.inner import membership_pb2
from filbertglade.membership import announcements
from filbertglade.membership import document_parts
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
# Number of presence limits without a leader after which the node looks for
# another control host.
LEADERLESS_PRESENCE_LIMITS = 2
# An attachment that lasted for more than this number of presence limits counts
# as stable. When it is lost, the node tries the nearest control host first
# rather than the next one in its order.
STABLE_PRESENCE_LIMITS = 2

StreamErrors = stream_errors.StreamErrors

Stream = client.Stream[membership_pb2.NodeFrame, membership_pb2.ControlFrame]


class Attachment:
    """Sends this node's reports and receives the data that it routes by."""

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
        # A control host with a leader, to which the node attaches next.
        self._next_host: model.ControlHostSettings | None = None
        self._sequence = 0
        self._started_ms = 0
        self._outbox = report_outbox.ReportOutbox(settings.name)
        # Of the present stream: a new one starts with a document's first part.
        self._parts = document_parts.PartAssembler()
        self.is_draining = False
        self.control_host = ''

    async def start(self) -> None:
        """Start the attachment."""
        self._started_ms = clock.now_ms()
        self._tasks.keep_running(
            'membership.detect_pauses', self._inbox.pauses.run, self._counters
        )
        self._tasks.keep_running(
            'membership.forget_at_node', self._forget_old, self._counters
        )
        self._tasks.keep_running(
            'membership.attach', self._keep_attached, self._counters
        )

    async def close(self) -> None:
        """End the attachment."""
        await self._tasks.close()

    def report_loss(self, host: str, run: str) -> None:
        """Report that a connection to a host failed.

        :param host: its name.
        :param run: the run of the host's process that was lost.
        """
        self._outbox.add_loss(host, run)

    def report_strike(self, digest: bytes, group: str) -> None:
        """Report that an endpoint crashed while it ran a request.

        :param digest: identifies the request.
        :param group: the group, or the worker's host, that ran it.
        """
        strike = self._outbox.add_strike(digest, group)
        self._fleet.strikes.note(strike, 0)

    def report_demand(
        self, customer: str, requests_per_s: float, tokens_per_s: float
    ) -> None:
        """Report a customer's demand at this node.

        :param customer: its name.
        :param requests_per_s: requests received a second.
        :param tokens_per_s: tokens a second that they demand.
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
        """Report the prefixes that a group's cache has stored or evicted.

        :param group: the group.
        :param epoch: its epoch.
        :param sequence: the event's number, counted by the engine.
        :param stored: hashes of stored prefixes.
        :param evicted: hashes of evicted prefixes.
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
                started_ms = clock.now_ms()
                await self._attach(host)
                while self._next_host is not None:
                    next_host, self._next_host = self._next_host, None
                    await self._attach(next_host)
                await asyncio.sleep(relay_s)
                lasted_ms = clock.now_ms() - started_ms
                if lasted_ms > STABLE_PRESENCE_LIMITS * limit_ms:
                    break

    def _ordered_hosts(self) -> list[model.ControlHostSettings]:
        """Return the control hosts, the nearest first.

        A control host on this node's own host comes first, then those of
        its data centre. Ties are ordered by a hash that includes the node's
        name, which spreads the nodes over the control hosts.
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
        self._parts = document_parts.PartAssembler()
        leader_seen_ms = clock.now_ms()
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
                self._handle_frame(frame, age_bound, reader)
                if frame.leader_known:
                    seen_ms = clock.now_ms() - frame.leader_age_ms
                    leader_seen_ms = max(leader_seen_ms, seen_ms)
                better_hosts = self._list_better_hosts(host, leader_seen_ms)
                if better_hosts:
                    self._next_host = self._search.poll(better_hosts)
                if self._next_host is not None:
                    log.change(
                        'attachment.left',
                        control_host=host,
                        better=self._next_host.name,
                    )
                    return
        finally:
            self._search.stop()
            sender.cancel()

    def _note_attached(self, host: str) -> None:
        if not self.control_host:
            self.control_host = host
            log.change('attachment.made', control_host=host)

    def _list_better_hosts(
        self, attached: str, leader_seen_ms: int
    ) -> list[model.ControlHostSettings]:
        """Return the control hosts that are better if they have a leader.

        If the attached one has no leader, these are all others. The
        attachment is kept until one with a leader is found, because the
        attached one still receives the reports of the region's own hosts. If
        the attached one has a leader, these are the control hosts of this
        node's data centre, unless the attached one is among them.
        """
        hosts = self._ordered_hosts()
        if self._needs_leader_search(leader_seen_ms):
            return [host for host in hosts if host.name != attached]
        own = self._settings.data_centre
        local = [host for host in hosts if host.data_centre == own]
        if any(host.name == attached for host in local):
            return []
        return local

    def _needs_leader_search(self, leader_seen_ms: int) -> bool:
        """Return whether other control hosts should be tried for a leader."""
        if len(self._settings.control.hosts) == 1:
            return False
        limit_ms = (
            LEADERLESS_PRESENCE_LIMITS
            * self._settings.timings.presence_limit_ms
        )
        return clock.now_ms() - leader_seen_ms > limit_ms

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
            clock=age_bound.stamp(),
            report=report,
            configuration_parts=self._parts.part_count,
        )
        # Without an echo of its clock, the control host cannot bound the age
        # of these.
        if age_bound.has_peer_clock:
            frame.announcements.extend(self._inbox.take())
            self._outbox.write(frame)
        return frame

    def _handle_frame(
        self,
        frame: membership_pb2.ControlFrame,
        age_bound: frame_age.FrameAgeBound,
        reader: line_reader.LineReader,
    ) -> None:
        age_ms = age_bound.observe(frame.clock)
        self._handle_configuration(frame, age_ms)
        self._fleet.evacuated.apply(frame)
        if age_ms is None:
            return
        reader.read(frame, age_ms)
        self._fleet.note_shares(frame.shares)
        for strike in frame.strikes:
            self._fleet.strikes.note(strike, age_ms)
        for event in frame.cache_events:
            self._fleet.note_cache_event(event)
        self._counters.count('control_frames_received')

    def _handle_configuration(
        self, frame: membership_pb2.ControlFrame, age_ms: int | None
    ) -> None:
        """Put a document in force, and record whether it is the newest.

        The first document is put in force only if it is proven to be the
        newest: an earlier process on this node may have had a newer one than
        the control host has applied so far. It is held until a frame proves
        it, which must be a frame that names the same document.
        """
        is_proven = age_ms is not None and self._is_proven(frame, age_ms)
        if frame.HasField('configuration'):
            self._parts.add(frame.configuration)
            # The control host sends more once it knows that this arrived.
            self._outbox.send_trigger.fire()
        is_held_proven = (
            is_proven and self._parts.number == frame.configuration_number
        )
        if is_held_proven or self._fleet.is_confirmed:
            update = self._parts.take()
            if update is not None:
                self._fleet.put_in_force(update)
        if is_proven and self._fleet.number >= frame.configuration_number:
            self._fleet.is_confirmed = True

    def _is_proven(
        self, frame: membership_pb2.ControlFrame, age_ms: int
    ) -> bool:
        """Return whether the leader confirmed it since this process began."""
        if not frame.leader_known:
            return False
        proven_ms = clock.now_ms() - age_ms - frame.leader_age_ms
        return proven_ms >= self._started_ms
