"""The leader's side of the streams to the nodes that watch it."""

import asyncio
from collections import abc
import dataclasses
import enum
import random

from grpclib import server

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import replication
from filbertglade.control import state
from filbertglade.control import voters as control_voters
from filbertglade.fleet import crash_evidence
from filbertglade.fleet import endpoint_limits
from filbertglade.fleet import frames
from filbertglade.fleet import pacing
from filbertglade.fleet import registry
from filbertglade.fleet import struck_requests
from filbertglade.fleet import trials
from filbertglade.fleet import turns
from filbertglade.fleet import view
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.replicas import controller

log = logs.get_log(__name__)

# Longest interval between two frames, in ms: a watcher considers the leader
# lost after several such intervals without a frame.
MAX_FRAME_INTERVAL_MS = 250
# Shortest interval between two frames, in ms, so that changes made at nearly
# the same time are sent in one frame.
BATCH_MS = 25
# Interval between two frames while only the load changes, in ms: the minimum,
# and the time per watcher, which limits all watchers together to about 500
# frames a second.
MIN_LOAD_INTERVAL_MS = 50
LOAD_INTERVAL_PER_WATCHER_MS = 2
# Watchers that are sent the whole view at the same time, and how long each may
# take while others wait, in ms: after a change of leader all need it at once.
MAX_WHOLE_VIEWS = 16
WHOLE_VIEW_TURN_MS = 250
# Time without a report after which a watcher's stream is ended, in ms.
WATCHER_TIMEOUT_MS = 3000


class LeaveReason(enum.StrEnum):
    """Why a watcher's stream ended."""

    REPORT_TIMEOUT = 'report time-out'
    SEND_TIMEOUT = 'send time-out'
    ENDED_BY_WATCHER = 'stream ended by the watcher'
    # The watcher gave up, its connection broke, or this process is stopping.
    RESET = 'stream reset or connection lost'
    STREAM_ERROR = 'stream error'
    NO_LONGER_LEADER = 'no longer leader'
    INTERNAL_ERROR = 'internal error'


@dataclasses.dataclass(slots=True)
class ConnectedWatcher:
    """A node that watches this host.

    :param report: its latest report.
    :param attached_ms: local clock at its first report.
    :param changed_event: set when it must be sent a frame at once.
    :param frames: number of frames sent.
    :param sent_bytes: bytes of these frames.
    :param sending_bytes: bytes of the frame that is being sent; 0 if none is.
    :param trial_answers: answers to its trial requests that wait to be sent.
    :param allowances: what it may send to endpoints with limits, and hasn't
        been told.
    :param leave_reason: why its stream ended; None while it runs.
    :param leave_error: type and text of the exception that ended it; empty if
        there was none.
    """

    report: fleet_pb2.WatchReport
    attached_ms: int
    changed_event: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    frames: int = 0
    sent_bytes: int = 0
    sending_bytes: int = 0
    trial_answers: list[fleet_pb2.TrialAnswer] = dataclasses.field(
        default_factory=list
    )
    allowances: list[fleet_pb2.Allowance] = dataclasses.field(
        default_factory=list
    )
    leave_reason: LeaveReason | None = None
    leave_error: str = ''

    def note_leaving(
        self, reason: LeaveReason, error: BaseException | None = None
    ) -> None:
        """Note why the stream ends; the first reason counts.

        :param reason: the reason.
        :param error: the exception that ended it, if any.
        """
        if self.leave_reason is None:
            self.leave_reason = reason
            # As text: an exception refers to the frame that was being sent.
            if error is not None:
                self.leave_error = f'{type(error).__name__}: {error}'


@dataclasses.dataclass(slots=True)
class FrameSize:
    """The bytes of a frame by kind of content.

    :param view_bytes: endpoints and replicas.
    :param load_bytes: all else.
    """

    view_bytes: int
    load_bytes: int

    @property
    def total_bytes(self) -> int:
        """The frame's bytes."""
        return self.view_bytes + self.load_bytes

    @property
    def main_content(self) -> str:
        """The first kind of content that the frame has."""
        return 'view' if self.view_bytes else 'load'


def measure_frame(frame: fleet_pb2.FleetFrame) -> FrameSize:
    """Return the bytes of a frame by kind of content.

    :param frame: the frame.
    """
    view_bytes = sum(item.ByteSize() for item in frame.endpoints)
    view_bytes += sum(item.ByteSize() for item in frame.replicas)
    return FrameSize(view_bytes, frame.ByteSize() - view_bytes)


@dataclasses.dataclass(slots=True)
class _VersionedReplica:
    version: int
    replica: fleet_pb2.Replica


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
    :ivar was_seeded: whether the registry started with endpoints that a
        previous leader had reported.
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
    ) -> None:
        self._agreed = agreed
        self._voters = voters
        self._membership = membership
        self._registry = endpoint_registry
        self._replicas = replicas
        self._view = fleet_view
        self._counters = counters
        self._watchers: dict[int, ConnectedWatcher] = {}
        self._sender_events: set[asyncio.Event] = set()
        self._versioned_replicas: dict[str, _VersionedReplica] = {}
        self._removed_versions: dict[str, int] = {}
        self._version = 0
        self._load_version = 0
        self._is_stale = True
        self._struck = struck_requests.StruckRequests()
        self._arbiter = trials.TrialArbiter(self._struck, counters)
        self._evidence = crash_evidence.CrashEvidence(
            endpoint_registry, self._struck, self._arbiter, counters
        )
        self._limits = endpoint_limits.EndpointLimits(
            counters, random.Random()
        )
        self._view_turns = turns.Turns(
            MAX_WHOLE_VIEWS, WHOLE_VIEW_TURN_MS, WHOLE_VIEW_TURN_MS
        )
        self._announced_version = 0
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
        self._wake_senders()

    def _wake_senders(self) -> None:
        for changed_event in self._sender_events:
            changed_event.set()

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
        self._versioned_replicas.clear()
        self._removed_versions.clear()
        self._is_stale = True
        self._struck.replace_with(self._view.struck)
        self._arbiter.start_leading()
        self._evidence.clear()
        self._limits.start_leading(self._view.limits)

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
        self._membership.record_join_request(request.name)
        await stream.send_message(
            fleet_pb2.EnlistReply(
                leader=self._voters.leader,
                control_hosts=self.list_control_hosts(),
            )
        )

    def list_control_hosts(self) -> list[str]:
        """Return the voters' inner addresses, or the seeds if none."""
        table = self._agreed.voters.incarnations
        return list(table) or self._membership.seeds

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
        if not self._voters.is_leader:
            await stream.send_message(self._build_redirection())
            return
        watcher = ConnectedWatcher(first, clock.now_ms())
        self._watchers[id(watcher)] = watcher
        self._apply_report(watcher, first)
        report_reader = asyncio.get_running_loop().create_task(
            self._read_reports(stream, watcher)
        )
        changed_event = watcher.changed_event
        self._sender_events.add(changed_event)
        log.change('watcher.attached', watcher=first.node)
        try:
            await self._send_frames(
                stream, watcher, changed_event, report_reader
            )
        except replication.STREAM_ERRORS as error:
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
            self._sender_events.discard(changed_event)
            del self._watchers[id(watcher)]
            report_reader.cancel()
            await asyncio.wait([report_reader])

    def _log_left(self, watcher: ConnectedWatcher) -> None:
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

    def _build_redirection(self) -> fleet_pb2.FleetFrame:
        return fleet_pb2.FleetFrame(
            leader=self._voters.leader,
            control_hosts=self.list_control_hosts(),
        )

    async def _read_reports(
        self,
        stream: 'server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]',
        watcher: ConnectedWatcher,
    ) -> None:
        try:
            while True:
                async with asyncio.timeout(WATCHER_TIMEOUT_MS / 1000):
                    report = await stream.recv_message()
                if report is None:
                    watcher.note_leaving(LeaveReason.ENDED_BY_WATCHER)
                    return
                self._apply_report(watcher, report)
        except replication.STREAM_ERRORS as error:
            # The sending side notices that this task has ended.
            reason = LeaveReason.STREAM_ERROR
            if isinstance(error, TimeoutError):
                reason = LeaveReason.REPORT_TIMEOUT
            watcher.note_leaving(reason, error)

    def _apply_report(
        self, watcher: ConnectedWatcher, report: fleet_pb2.WatchReport
    ) -> None:
        if watcher.report.in_flight != report.in_flight:
            self._load_version += 1
        watcher.report = report
        self._apply_crashes(watcher, report)
        self._apply_limits(report)
        for endpoint in report.leaving:
            self._registry.mark_leaving(endpoint, report.node)
        for suspicion in report.suspicions:
            self._replicas.handle_suspicion(suspicion, report.node)
        if report.requests:
            self._replicas.has_traffic = True

    def _apply_crashes(
        self, watcher: ConnectedWatcher, report: fleet_pb2.WatchReport
    ) -> None:
        """Apply what a watcher reports of requests that crash endpoints.

        Strikes come first: they decide about the trials that are asked for.
        """
        before = self._struck.trials_version
        for strike in report.strikes:
            is_new = self._struck.add_strike(
                strike.digest,
                strike.endpoint,
                strike.age_ms,
                is_trial=bool(strike.trial),
            )
            self._arbiter.record_crash(strike.digest, strike.trial, report.run)
            log.change(
                'strike.received',
                digest=strike.digest.hex(),
                endpoint=strike.endpoint,
                watcher=report.node,
                is_new=is_new,
            )
        for broken in report.broken_responses:
            self._evidence.add(broken, report.run, self._list_members(broken))
        for digest in report.served:
            self._arbiter.record_served(digest)
            self._struck.clear(digest)
        for end in report.trial_ends:
            self._arbiter.record_end(end, report.run)
        for request in report.trial_requests:
            watcher.trial_answers.append(
                self._arbiter.decide(request, report.run)
            )
        if self._struck.trials_version != before:
            self._wake_senders()
        elif watcher.trial_answers:
            watcher.changed_event.set()

    def _apply_limits(self, report: fleet_pb2.WatchReport) -> None:
        before = self._limits.version
        for limit in report.limits:
            self._limits.record(limit, report.run)
        self._limits.record_demand(report.limited_demand, report.run)
        self._limits.record_unused(report.unused_allowances)
        if self._limits.version != before:
            self._wake_senders()

    def _divide_limits(self) -> None:
        """Give watchers requests to endpoints with limits.

        They go with the next regular frames.
        """
        self._limits.end_absent(self._registry.entries.__contains__)
        allowances = self._limits.divide()
        if not allowances:
            return
        for watcher in self._watchers.values():
            watcher.allowances += allowances.get(watcher.report.run, ())

    def _list_members(
        self, broken: fleet_pb2.BrokenResponse
    ) -> abc.Iterable[str]:
        """Return the endpoints whose crash may have broken a response off."""
        if not broken.group:
            return (broken.endpoint,)
        record = self._agreed.replicas.records.get(broken.group)
        if record is None or record.epoch != broken.epoch:
            return (broken.endpoint,)
        return record.endpoints

    async def _send_frames(
        self,
        stream: 'server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]',
        watcher: ConnectedWatcher,
        changed_event: asyncio.Event,
        report_reader: 'asyncio.Task[None]',
    ) -> None:
        sent = _SentState()
        turn = turns.Turn(self._view_turns)
        try:
            while not report_reader.done():
                if not sent.is_view_begun:
                    await turn.take(MAX_FRAME_INTERVAL_MS)
                if not self._voters.is_leader:
                    watcher.note_leaving(LeaveReason.NO_LONGER_LEADER)
                    await stream.send_message(self._build_redirection())
                    return
                changed_event.clear()
                # Without a turn, the watcher gets a frame without a view.
                has_view = sent.is_view_begun or turn.is_held
                frame = self._build_frame(watcher, sent, has_view)
                await self._send_frame(stream, watcher, turn, frame)
                if not has_view:
                    continue
                turn.give_up()
                await asyncio.sleep(BATCH_MS / 1000)
                await self._wait_for_change(changed_event)
        finally:
            turn.give_up()

    async def _send_frame(
        self,
        stream: 'server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]',
        watcher: ConnectedWatcher,
        turn: turns.Turn,
        frame: fleet_pb2.FleetFrame,
    ) -> None:
        size = measure_frame(frame)
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
            for message in frames.split_frame(frame):
                while needs_turn and turn.is_over:
                    if not await turn.take(MAX_FRAME_INTERVAL_MS):
                        # Shows between two parts that this host is alive.
                        await stream.send_message(
                            fleet_pb2.FleetFrame(is_leader=True)
                        )
                await turn.run(
                    stream.send_message(message), WATCHER_TIMEOUT_MS
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

    async def _wait_for_change(self, changed_event: asyncio.Event) -> None:
        """Wait for a change, or until the next frame is due."""
        sent_version = self._load_version
        interval_ms = max(
            MIN_LOAD_INTERVAL_MS,
            LOAD_INTERVAL_PER_WATCHER_MS * len(self._watchers),
        )
        await pacing.wait_for_change(
            changed_event,
            lambda: self._load_version != sent_version,
            interval_ms,
            MAX_FRAME_INTERVAL_MS,
        )

    # Frames

    def refresh(self) -> None:
        """Update the replicas and the load, once for all watchers."""
        if self._evidence.judge():
            self._wake_senders()
        self._divide_limits()
        totals: dict[str, int] = {}
        for watcher in self._watchers.values():
            for group, count in watcher.report.in_flight.items():
                totals[group] = totals.get(group, 0) + count
        self._replicas.observed.in_flight = totals
        self._is_stale = False
        self._track_distribution()
        version = self._version + 1
        changed = False
        present_groups = set()
        for replica in self._replicas.observed.list_replicas():
            present_groups.add(replica.group)
            versioned = self._versioned_replicas.get(replica.group)
            if versioned is None or versioned.replica != replica:
                self._versioned_replicas[replica.group] = _VersionedReplica(
                    version, replica
                )
                self._removed_versions.pop(replica.group, None)
                changed = True
        for group in [
            group
            for group in self._versioned_replicas
            if group not in present_groups
        ]:
            del self._versioned_replicas[group]
            self._removed_versions[group] = version
            changed = True
        if changed:
            self._version = version
            self._wake_senders()

    def _list_hosts_behind(self) -> list[str]:
        """Return the connected entry hosts without the newest document."""
        version = self._agreed.document.current.version
        return [
            item.report.node
            for item in self._watchers.values()
            if item.report.takes_callers
            and item.report.document_version < version
        ]

    def _track_distribution(self) -> None:
        """Log when all entry hosts have reported the newest document."""
        version = self._agreed.document.current.version
        now_ms = clock.now_ms()
        if version > self._announced_version:
            self._announced_version = version
            self._announced_ms = now_ms
            self._is_distributed = False
        hosts = sum(
            item.report.takes_callers for item in self._watchers.values()
        )
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

    def _build_frame(
        self, watcher: ConnectedWatcher, sent: '_SentState', has_view: bool
    ) -> fleet_pb2.FleetFrame:
        if self._is_stale:
            self.refresh()
        frame = fleet_pb2.FleetFrame(
            is_leader=True,
            leader=self._voters.leader,
            control_hosts=self.list_control_hosts(),
            entry_nodes=sum(
                item.report.takes_callers for item in self._watchers.values()
            ),
            document_version=self._agreed.document.current.version,
        )
        if not has_view:
            return frame
        self._struck.write_changes(frame, sent.struck)
        sent.struck = self._struck.version
        frame.trial_answers.extend(watcher.trial_answers)
        watcher.trial_answers.clear()
        self._limits.write_changes(frame, sent.limits)
        sent.limits = self._limits.version
        frame.allowances.extend(watcher.allowances)
        watcher.allowances.clear()
        if self.has_view or sent.is_view_begun or not watcher.report.has_view:
            # A watcher with an older complete view keeps that rather than
            # get an incomplete one; a watcher without any gets what there is.
            sent.is_view_begun = True
            self._write_view(frame, watcher, sent)
        return frame

    def _write_view(
        self,
        frame: fleet_pb2.FleetFrame,
        watcher: ConnectedWatcher,
        sent: '_SentState',
    ) -> None:
        frame.is_whole = sent.endpoints < 0
        if sent.endpoints != self._registry.version:
            self._write_endpoints(frame, watcher, sent)
        if sent.replicas != self._version:
            self._write_replicas(frame, sent)
        for group in self._versioned_replicas:
            count = self._replicas.observed.in_flight.get(group, 0)
            if sent.in_flight.get(group, 0) != count:
                sent.in_flight[group] = count
                frame.in_flight[group] = count

    def _write_endpoints(
        self,
        frame: fleet_pb2.FleetFrame,
        watcher: ConnectedWatcher,
        sent: '_SentState',
    ) -> None:
        unneeded = self._find_unneeded_services(watcher)
        for entry in self._registry.entries.values():
            is_new = entry.version > sent.endpoints
            if is_new and entry.endpoint.service not in unneeded:
                frame.endpoints.append(entry.endpoint)
        for key, version in self._registry.removed_versions.items():
            if version > sent.endpoints:
                frame.gone_endpoints.append(key)
        sent.endpoints = self._registry.version

    def _write_replicas(
        self, frame: fleet_pb2.FleetFrame, sent: '_SentState'
    ) -> None:
        for versioned in self._versioned_replicas.values():
            if versioned.version > sent.replicas:
                frame.replicas.append(versioned.replica)
        for group, version in self._removed_versions.items():
            if version > sent.replicas:
                frame.gone_replicas.append(group)
        sent.replicas = self._version

    def _find_unneeded_services(
        self, watcher: ConnectedWatcher
    ) -> abc.Container[str]:
        """Return the services whose endpoints a watcher doesn't need."""
        index = self._replicas.observed.index
        if not watcher.report.takes_callers or index is None:
            return ()
        return {service.name for service in index.model_services}


@dataclasses.dataclass(slots=True)
class _SentState:
    """What has been sent to a watcher.

    :param is_view_begun: whether any part of the view was sent.
    :param endpoints: registry version of the latest endpoints; -1 if none.
    :param replicas: version of the latest replicas; -1 if none.
    :param struck: version of the latest struck requests; -1 if none.
    :param limits: version of the latest limits; -1 if none.
    :param in_flight: requests in flight by group.
    """

    is_view_begun: bool = False
    endpoints: int = -1
    replicas: int = -1
    struck: int = -1
    limits: int = -1
    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)
