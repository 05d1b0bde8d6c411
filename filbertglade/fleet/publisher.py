"""The leader's side of the streams to the nodes that watch it."""

import asyncio
import random

from grpclib import server

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import joining
from filbertglade.control import state
from filbertglade.control import voters as control_voters
from filbertglade import document_versions
from filbertglade.fleet import audience
from filbertglade.fleet import cold_bound
from filbertglade.fleet import cold_leading
from filbertglade.fleet import connected_watcher
from filbertglade.fleet import crash_evidence
from filbertglade.fleet import endpoint_limits
from filbertglade.fleet import load_totals
from filbertglade.fleet import registry
from filbertglade.fleet import replica_changes
from filbertglade.fleet import report_reader
from filbertglade.fleet import shared_frames
from filbertglade.fleet import struck_requests
from filbertglade.fleet import trials
from filbertglade.fleet import turns
from filbertglade.fleet import unserved
from filbertglade.fleet import view
from filbertglade.inner import channels
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.replicas import controller

log = logs.get_log(__name__)

# Longest interval between two frames, in ms: a watcher considers the leader
# lost after several such intervals without a frame.
MAX_FRAME_INTERVAL_MS = 250
# Watchers that are sent the whole view at the same time, and how long each may
# take while others wait, in ms: after a change of leader all need it at once.
MAX_WHOLE_VIEWS = 16
WHOLE_VIEW_TURN_MS = 250
# Time without a report after which a watcher's stream is ended, in ms.
WATCHER_TIMEOUT_MS = 3000

LeaveReason = connected_watcher.LeaveReason


class Publisher(fleet_grpc.FleetBase):
    """Sends the fleet's state to watchers while this host leads.

    :param agreed: the agreed state.
    :param voters: this control host's part in agreement.
    :param membership: the control hosts.
    :param endpoint_registry: the endpoints.
    :param replicas: the controller of the groups.
    :param fleet_view: this host's own view, with the strikes that an earlier
        leader knew.
    :param counters: the process's metrics.
    :param bound: how many requests cold endpoints may get.
    :ivar was_seeded: whether the registry started with endpoints that a
        previous leader had reported.
    :ivar cold: learns which endpoints are cold.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        membership: control_voters.SeededMembership,
        endpoint_registry: registry.Registry,
        replicas: controller.ReplicaController,
        fleet_view: view.FleetView,
        counters: metrics.Metrics,
        bound: cold_bound.ColdBound = cold_bound.DEFAULT_BOUND,
    ) -> None:
        self._agreed = agreed
        self._voters = voters
        self._membership = membership
        self._registry = endpoint_registry
        self._replicas = replicas
        self._view = fleet_view
        self._counters = counters
        self._struck = struck_requests.StruckRequests()
        self._arbiter = trials.TrialArbiter(self._struck, counters)
        self._evidence = crash_evidence.CrashEvidence(
            endpoint_registry, self._struck, self._arbiter, counters
        )
        self._limits = endpoint_limits.EndpointLimits(
            counters, random.Random()
        )
        self.cold = cold_leading.ColdLeading(
            endpoint_registry,
            lambda: replicas.observed.index,
            bound,
            counters,
            self.notify_change,
        )
        self._state = shared_frames.FleetState(
            endpoint_registry,
            replica_changes.ReplicaChanges(),
            load_totals.LoadTotals(),
            self._struck,
            self._limits,
            self.cold.states,
        )
        self._reports = report_reader.ReportReader(
            agreed,
            endpoint_registry,
            replicas,
            self._state.loads,
            self._struck,
            self._arbiter,
            self._evidence,
            self._limits,
            self.cold,
            self._state.work,
        )
        self._entry_hosts = audience.Audience(
            shared_frames.FrameBuilder(self._state, counters),
            lambda builder: self._publish(builder, takes_callers=True),
            counters,
        )
        self._control_hosts = audience.Audience(
            shared_frames.FrameBuilder(self._state, counters),
            lambda builder: self._publish(builder, takes_callers=False),
            counters,
        )
        self._is_stale = True
        self._view_turns = turns.Turns(
            MAX_WHOLE_VIEWS, WHOLE_VIEW_TURN_MS, WHOLE_VIEW_TURN_MS
        )
        self._announced_version: int | None = None
        self._announced_ms = 0
        self._is_distributed = True
        self.was_seeded = False
        counters.set_gauge(
            'document_hosts_behind', lambda: len(self._list_hosts_behind())
        )
        endpoint_registry.add_listener(self.notify_change)
        agreed.add_listener(lambda command: self.notify_change())

    def notify_change(self) -> None:
        """Schedule frames with the latest changes."""
        self._is_stale = True
        self._entry_hosts.notify_change()
        self._control_hosts.notify_change()

    @property
    def has_view(self) -> bool:
        """Whether the endpoints known here suffice for routing."""
        return self.was_seeded or self._replicas.observed.is_settled

    def start_leading(self, was_seeded: bool) -> None:
        """Reset what watchers are sent, at the start of leadership.

        :param was_seeded: whether the registry starts with endpoints that a
            previous leader had reported.
        """
        self.was_seeded = was_seeded
        self._state.replicas.clear()
        self._state.loads.clear()
        self._state.work.clear()
        for members in (self._entry_hosts, self._control_hosts):
            for watcher in members.watchers.values():
                self._state.loads.replace({}, watcher.report.in_flight)
                self._state.work.replace({}, watcher.remaining_work)
        self._is_stale = True
        self._entry_hosts.start_leading()
        self._control_hosts.start_leading()
        self._struck.replace_with(self._view.struck)
        self._arbiter.start_leading()
        self._evidence.clear()
        self._limits.start_leading(self._view.limits)
        self.cold.start_leading(self._view.cold.cold)

    # Serving

    async def Enlist(  # noqa: N802
        self,
        stream: 'server.Stream[fleet_pb2.EnlistRequest, '
        'fleet_pb2.EnlistReply]',
    ) -> None:
        """Register a control host that isn't a voter as a candidate.

        :param stream: one request and its reply.
        """
        request = await stream.recv_message()
        if request is None:
            return
        await stream.send_message(
            joining.answer(
                request, self._voters, self._membership, self._agreed
            )
        )

    def list_control_hosts(self) -> list[str]:
        """Return the voters' inner addresses, or the seeds if none."""
        return joining.list_control_hosts(self._agreed, self._membership)

    async def Watch(  # noqa: N802
        self,
        stream: 'server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]',
    ) -> None:
        """Serve a watching node as long as this host leads.

        :param stream: the node's stream.
        """
        first = await stream.recv_message()
        if first is None:
            return
        self._voters.note_voters(
            first.voters_index, first.control_hosts, f'report of {first.node}'
        )
        if not self._voters.is_leader:
            await stream.send_message(self._build_redirection())
            return
        watcher = connected_watcher.ConnectedWatcher(
            fleet_pb2.WatchReport(), clock.now_ms()
        )
        self._apply_report(watcher, first)
        members = (
            self._entry_hosts if watcher.takes_callers else self._control_hosts
        )
        members.add(watcher)
        report_reader_task = asyncio.get_running_loop().create_task(
            self._read_reports(stream, watcher)
        )
        log.change('watcher.attached', watcher=first.node)
        try:
            await self._send_frames(
                stream, watcher, members, report_reader_task
            )
        except channels.STREAM_ERRORS as error:
            reason = LeaveReason.STREAM_ERROR
            if isinstance(error, TimeoutError):
                reason = LeaveReason.SEND_TIMEOUT
            watcher.note_leaving(reason, error)
            return
        except asyncio.CancelledError as error:
            watcher.note_leaving(LeaveReason.RESET, error)
            raise
        except Exception as error:
            watcher.note_leaving(LeaveReason.INTERNAL_ERROR, error)
            raise
        finally:
            self._log_left(watcher)
            members.remove(watcher)
            report_reader_task.cancel()
            # Before the wait, which a second cancellation may end.
            self._state.loads.replace(watcher.report.in_flight, {})
            self._state.work.replace(watcher.remaining_work, {})
            await asyncio.wait([report_reader_task])

    def _log_left(self, watcher: connected_watcher.ConnectedWatcher) -> None:
        reason = watcher.leave_reason or LeaveReason.INTERNAL_ERROR
        self._counters.count('watchers_left', reason=reason)
        log.change(
            'watcher.left',
            watcher=watcher.report.node,
            reason=reason,
            error=watcher.leave_error,
            lasted_ms=clock.now_ms() - watcher.attached_ms,
            frames=watcher.frames,
            sent_bytes=watcher.sent_bytes,
            sending_bytes=watcher.sending_bytes,
        )

    def _build_sign_of_life(self) -> fleet_pb2.FleetFrame:
        evacuations = self._agreed.evacuations
        return fleet_pb2.FleetFrame(
            is_leader=True,
            evacuated_data_centres=evacuations.names,
            evacuations_index=evacuations.changed_index,
        )

    def _build_redirection(self) -> fleet_pb2.FleetFrame:
        return fleet_pb2.FleetFrame(
            leader=self._voters.leader,
            control_hosts=self.list_control_hosts(),
            voters_index=self._agreed.voters_index,
        )

    # Reports

    async def _read_reports(
        self,
        stream: 'server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]',
        watcher: connected_watcher.ConnectedWatcher,
    ) -> None:
        try:
            while True:
                async with asyncio.timeout(WATCHER_TIMEOUT_MS / 1000):
                    report = await stream.recv_message()
                if report is None:
                    watcher.note_leaving(LeaveReason.ENDED_BY_WATCHER)
                    return
                self._apply_report(watcher, report)
        except channels.STREAM_ERRORS as error:
            # The sending side notices that this task has ended.
            reason = LeaveReason.STREAM_ERROR
            if isinstance(error, TimeoutError):
                reason = LeaveReason.REPORT_TIMEOUT
            watcher.note_leaving(reason, error)

    def _apply_report(
        self,
        watcher: connected_watcher.ConnectedWatcher,
        report: fleet_pb2.WatchReport,
    ) -> None:
        with self._counters.measure_part('reports'):
            if self._state.loads.replace(
                watcher.report.in_flight, report.in_flight
            ):
                self._entry_hosts.notify_load()
                self._control_hosts.notify_load()
            if self._reports.apply(watcher, report):
                self._notify_audiences()

    def _notify_audiences(self) -> None:
        self._entry_hosts.notify_change()
        self._control_hosts.notify_change()

    # Frames

    async def _send_frames(
        self,
        stream: 'server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]',
        watcher: connected_watcher.ConnectedWatcher,
        members: audience.Audience,
        report_reader_task: 'asyncio.Task[None]',
    ) -> None:
        builder = members.builder
        turn = turns.Turn(self._view_turns)
        is_view_begun = False
        try:
            while not report_reader_task.done():
                if not is_view_begun:
                    await turn.take(MAX_FRAME_INTERVAL_MS)
                if not self._voters.is_leader:
                    watcher.note_leaving(LeaveReason.NO_LONGER_LEADER)
                    await stream.send_message(self._build_redirection())
                    return
                watcher.changed_event.clear()
                if not is_view_begun and not turn.is_held:
                    # Without a turn, the watcher gets a frame without a view.
                    await self._send_frame(
                        stream, watcher, turn, builder.get_header()
                    )
                    continue
                # A watcher with an older complete view keeps that rather than
                # get an incomplete one; a watcher without any gets what there
                # is.
                is_view_begun |= self.has_view or not watcher.report.has_view
                published = builder.published
                shared = builder.get_frame(watcher.sent, is_view_begun)
                watcher.sent = (
                    published if is_view_begun else published.without_view()
                )
                await self._send_frame(
                    stream, watcher, turn, watcher.take_personal(shared)
                )
                if is_view_begun:
                    members.note_sent(watcher, published)
                turn.give_up()
                await self._wait_for_change(watcher.changed_event)
        finally:
            turn.give_up()

    async def _wait_for_change(self, changed_event: asyncio.Event) -> None:
        """Wait for a change, or until the next frame is due."""
        try:
            async with asyncio.timeout(MAX_FRAME_INTERVAL_MS / 1000):
                await changed_event.wait()
        except TimeoutError:
            return

    async def _send_frame(
        self,
        stream: 'server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]',
        watcher: connected_watcher.ConnectedWatcher,
        turn: turns.Turn,
        shared: shared_frames.SharedFrame,
    ) -> None:
        size = shared.size
        for content, size_bytes in (
            ('view', size.view_bytes),
            ('load', size.load_bytes),
        ):
            # Counted when sending begins: the link also carries much of a
            # frame that the watcher doesn't wait for.
            if size_bytes:
                self._counters.count(
                    'inner_bytes_sent', size_bytes, content=content
                )
        watcher.sending_bytes = size.total_bytes
        started_ms = clock.now_ms()
        try:
            needs_turn = turn.is_held
            for message in shared.messages:
                while needs_turn and turn.is_over:
                    if not await turn.take(MAX_FRAME_INTERVAL_MS):
                        # Shows between two parts that this host is alive.
                        await stream.send_message(
                            watcher.stamp(self._build_sign_of_life())
                        )
                await turn.run(
                    stream.send_message(watcher.stamp(message)),
                    WATCHER_TIMEOUT_MS,
                )
        finally:
            self._counters.record_ms(
                'frame_send',
                clock.now_ms() - started_ms,
                content=size.main_content,
            )
        watcher.frames += 1
        watcher.sent_bytes += size.total_bytes
        watcher.sending_bytes = 0

    def refresh(self) -> None:
        """Update the replicas, and what is decided at intervals."""
        if self._evidence.judge():
            self._notify_audiences()
        self._divide_limits()
        self.cold.give_permits(self._entry_hosts.watchers.values())
        self._track_distribution()
        before = self._state.replicas.version
        self._update_replicas()
        if self._state.replicas.version != before:
            self._notify_audiences()

    def _update_replicas(self) -> None:
        self._is_stale = False
        self.cold.states.update(self._agreed.replicas.records)
        loads = self._state.loads
        self._replicas.observed.in_flight = loads.totals
        with self._counters.measure_part('replicas'):
            added, removed = self._state.replicas.update(
                self._replicas.observed.list_replicas()
            )
        for group in added:
            loads.mark_changed(group)
            if group in self._state.work.totals:
                self._state.work.mark_changed(group)
        for group in removed:
            loads.forget(group)
            self._state.work.forget(group)

    def _publish(
        self, builder: shared_frames.FrameBuilder, takes_callers: bool
    ) -> None:
        """Let an audience be sent the present state from now on.

        :param builder: builds the audience's frames.
        :param takes_callers: whether it is that of entry hosts, which don't
            need the endpoints of replicas.
        """
        if self._is_stale:
            self._update_replicas()
        header = fleet_pb2.FleetFrame(
            is_leader=True,
            leader=self._voters.leader,
            control_hosts=self.list_control_hosts(),
            voters_index=self._agreed.voters_index,
            entry_nodes=len(self._entry_hosts.watchers),
            unserved_per_s=unserved.add_up(
                watcher.report
                for watcher in self._entry_hosts.watchers.values()
            ),
            document_version=self._agreed.document.version,
            evacuated_data_centres=self._agreed.evacuations.names,
            evacuations_index=self._agreed.evacuations.changed_index,
        )
        index = self._replicas.observed.index
        unneeded_services: frozenset[str] = frozenset()
        if takes_callers and index is not None:
            unneeded_services = frozenset(
                service.name for service in index.model_services
            )
        builder.publish(header, unneeded_services)

    def _divide_limits(self) -> None:
        """Give watchers requests to endpoints with limits.

        They go with the next regular frames.
        """
        self._limits.end_absent(self._registry.entries.__contains__)
        allowances = self._limits.divide()
        if not allowances:
            return
        for watcher in self._entry_hosts.watchers.values():
            watcher.allowances += allowances.get(watcher.report.run, ())

    def _list_hosts_behind(self) -> list[str]:
        """Return the connected entry hosts without the newest document."""
        version = self._agreed.document.version
        return [
            watcher.report.node
            for watcher in self._entry_hosts.watchers.values()
            if document_versions.is_newer(
                version, _find_reported_version(watcher.report)
            )
        ]

    def _track_distribution(self) -> None:
        """Log when all entry hosts have reported the newest document."""
        version = self._agreed.document.version
        now_ms = clock.now_ms()
        if document_versions.is_newer(version, self._announced_version):
            self._announced_version = version
            self._announced_ms = now_ms
            self._is_distributed = False
        hosts = len(self._entry_hosts.watchers)
        if self._is_distributed or not hosts or self._list_hosts_behind():
            return
        self._is_distributed = True
        lasted_ms = now_ms - self._announced_ms
        self._counters.record_ms('document_distribution', lasted_ms)
        log.change(
            'document.distributed',
            version=version,
            hosts=hosts,
            lasted_ms=lasted_ms,
        )


def _find_reported_version(report: fleet_pb2.WatchReport) -> int | None:
    """Return the version of a host's document; None if it has none."""
    if not report.HasField('document_version'):
        return None
    return report.document_version
