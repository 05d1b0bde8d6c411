"""The leader's side towards the nodes that watch it."""

import asyncio
from collections import abc
import dataclasses

from grpclib import server

from filbertglade.control import agreement
from filbertglade.control import replication
from filbertglade.control import state
from filbertglade.control import voters as control_voters
from filbertglade.fleet import pacing
from filbertglade.fleet import registry
from filbertglade.fleet import view
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.replicas import controller

log = logs.get_log(__name__)

# Longest pause between two frames, in ms: a watcher takes several of them
# without a word for a loss.
FRAME_MS = 250
# Shortest pause, in ms, so that changes of one moment go out together.
GATHER_MS = 25
# Pause between two frames that tell of load alone, in ms, at least and for
# each watcher: all of them together are some 500 a second at most.
LOAD_MS = 50
LOAD_WATCHER_MS = 2
# Silence of a watcher after which its stream is ended, in ms.
WATCHER_SILENCE_MS = 3000


@dataclasses.dataclass(slots=True)
class Watcher:
    """A node that watches.

    :param report: what it said last.
    """

    report: fleet_pb2.WatchReport


@dataclasses.dataclass(slots=True)
class _Line:
    version: int
    replica: fleet_pb2.Replica


class Publisher(fleet_grpc.FleetBase):
    """Tells watchers what the leader knows.

    :param agreed: the agreed state.
    :param voters: this control host's part in agreement.
    :param membership: the control hosts.
    :param known: the endpoints.
    :param replicas: the care of groups.
    :param seen: this host's own view; it keeps the strikes.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        membership: control_voters.SeededMembership,
        known: registry.Registry,
        replicas: controller.ReplicaController,
        seen: view.FleetView,
    ) -> None:
        self._agreed = agreed
        self._voters = voters
        self._membership = membership
        self._registry = known
        self._replicas = replicas
        self._view = seen
        self._watchers: dict[int, Watcher] = {}
        self._alarms: set[asyncio.Event] = set()
        self._lines: dict[str, _Line] = {}
        self._gone: dict[str, int] = {}
        self._version = 0
        self._load_version = 0
        self._is_stale = True
        self._strikes: list[fleet_pb2.Strike] = []
        self.was_seeded = False
        known.add_listener(self.wake)
        agreed.add_listener(lambda command: self.wake())

    def wake(self) -> None:
        """Send what has changed soon."""
        self._is_stale = True
        self._raise_alarms()

    def _raise_alarms(self) -> None:
        for alarm in self._alarms:
            alarm.set()

    @property
    def has_view(self) -> bool:
        """Whether the endpoints known here are enough to route by."""
        return self.was_seeded or self._replicas.observed.is_settled

    def start_leading(self, was_seeded: bool) -> None:
        """Begin with a fresh view of the replicas.

        :param was_seeded: whether endpoints are known from before.
        """
        self.was_seeded = was_seeded
        self._lines.clear()
        self._gone.clear()
        self._is_stale = True
        self._strikes = self._view.list_strikes()

    # Serving

    async def Enlist(  # noqa: N802
        self,
        stream: 'server.Stream[fleet_pb2.EnlistRequest, '
        'fleet_pb2.EnlistReply]',
    ) -> None:
        """Take note of a control host that is no voter.

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
        """Return the voters' inner addresses; the seeds before any."""
        table = self._agreed.voters.incarnations
        return list(table) or self._membership.seeds

    async def Watch(  # noqa: N802
        self,
        stream: 'server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]',
    ) -> None:
        """Serve a node that watches, as long as this host leads.

        :param stream: the node's stream.
        """
        first = await stream.recv_message()
        if first is None:
            return
        if not self._voters.is_leader:
            await stream.send_message(self._build_redirection())
            return
        watcher = Watcher(first)
        self._watchers[id(watcher)] = watcher
        self._take_report(watcher, first)
        reading = asyncio.get_running_loop().create_task(
            self._read_reports(stream, watcher)
        )
        alarm = asyncio.Event()
        self._alarms.add(alarm)
        log.change('watcher.attached', watcher=first.node)
        try:
            await self._send_frames(stream, watcher, alarm, reading)
        except replication.STREAM_ERRORS:
            return
        finally:
            log.change('watcher.left', watcher=first.node)
            self._alarms.discard(alarm)
            del self._watchers[id(watcher)]
            reading.cancel()
            await asyncio.wait([reading])

    def _build_redirection(self) -> fleet_pb2.FleetFrame:
        return fleet_pb2.FleetFrame(
            leader=self._voters.leader,
            control_hosts=self.list_control_hosts(),
        )

    async def _read_reports(
        self,
        stream: 'server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]',
        watcher: Watcher,
    ) -> None:
        try:
            while True:
                async with asyncio.timeout(WATCHER_SILENCE_MS / 1000):
                    report = await stream.recv_message()
                if report is None:
                    return
                self._take_report(watcher, report)
        except replication.STREAM_ERRORS:
            # The sending side sees the end of this task.
            return

    def _take_report(
        self, watcher: Watcher, report: fleet_pb2.WatchReport
    ) -> None:
        if watcher.report.in_flight != report.in_flight:
            self._load_version += 1
        watcher.report = report
        for strike in report.strikes:
            self._view.note_strike(strike.digest, strike.endpoint)
            self._strikes.append(strike)
        for suspicion in report.suspicions:
            self._replicas.handle_suspicion(suspicion, report.node)
        if report.requests:
            self._replicas.has_traffic = True

    async def _send_frames(
        self,
        stream: 'server.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]',
        watcher: Watcher,
        alarm: asyncio.Event,
        reading: 'asyncio.Task[None]',
    ) -> None:
        progress = _Progress(watcher.report.document_version)
        while not reading.done():
            if not self._voters.is_leader:
                await stream.send_message(self._build_redirection())
                return
            alarm.clear()
            frame = self._build_frame(watcher, progress)
            async with asyncio.timeout(WATCHER_SILENCE_MS / 1000):
                await stream.send_message(frame)
            await asyncio.sleep(GATHER_MS / 1000)
            await self._await_news(alarm)

    async def _await_news(self, alarm: asyncio.Event) -> None:
        """Wait for a change, for other loads, or until a frame is due."""
        told = self._load_version
        pause_ms = max(LOAD_MS, LOAD_WATCHER_MS * len(self._watchers))
        await pacing.await_news(
            alarm, lambda: self._load_version != told, pause_ms, FRAME_MS
        )

    # Frames

    def refresh(self) -> None:
        """Look at the replicas and the load, once for all watchers."""
        totals: dict[str, int] = {}
        for watcher in self._watchers.values():
            for group, count in watcher.report.in_flight.items():
                totals[group] = totals.get(group, 0) + count
        self._replicas.observed.in_flight = totals
        self._is_stale = False
        version = self._version + 1
        changed = False
        standing = set()
        for replica in self._replicas.observed.list_replicas():
            standing.add(replica.group)
            line = self._lines.get(replica.group)
            if line is None or line.replica != replica:
                self._lines[replica.group] = _Line(version, replica)
                self._gone.pop(replica.group, None)
                changed = True
        for group in [group for group in self._lines if group not in standing]:
            del self._lines[group]
            self._gone[group] = version
            changed = True
        if changed:
            self._version = version
            self._raise_alarms()

    def _build_frame(
        self, watcher: Watcher, progress: '_Progress'
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
        )
        current = self._agreed.document.current
        if current.version > progress.document_version:
            progress.document_version = current.version
            frame.document.version = current.version
            frame.document.text = current.text
        frame.strikes.extend(self._strikes[progress.strikes :])
        progress.strikes = len(self._strikes)
        if self.has_view or progress.is_begun or not watcher.report.has_view:
            # A part is better than nothing, but not than an older whole.
            progress.is_begun = True
            self._write_view(frame, watcher, progress)
        return frame

    def _write_view(
        self,
        frame: fleet_pb2.FleetFrame,
        watcher: Watcher,
        progress: '_Progress',
    ) -> None:
        frame.is_whole = progress.endpoints < 0
        if progress.endpoints != self._registry.version:
            self._write_endpoints(frame, watcher, progress)
        if progress.replicas != self._version:
            self._write_replicas(frame, progress)
        for group in self._lines:
            count = self._replicas.observed.in_flight.get(group, 0)
            if progress.in_flight.get(group, 0) != count:
                progress.in_flight[group] = count
                frame.in_flight[group] = count

    def _write_endpoints(
        self,
        frame: fleet_pb2.FleetFrame,
        watcher: Watcher,
        progress: '_Progress',
    ) -> None:
        unwanted = self._find_unwanted_services(watcher)
        for known in self._registry.entries.values():
            is_new = known.version > progress.endpoints
            if is_new and known.endpoint.service not in unwanted:
                frame.endpoints.append(known.endpoint)
        for key, version in self._registry.gone.items():
            if version > progress.endpoints:
                frame.gone_endpoints.append(key)
        progress.endpoints = self._registry.version

    def _write_replicas(
        self, frame: fleet_pb2.FleetFrame, progress: '_Progress'
    ) -> None:
        for line in self._lines.values():
            if line.version > progress.replicas:
                frame.replicas.append(line.replica)
        for group, version in self._gone.items():
            if version > progress.replicas:
                frame.gone_replicas.append(group)
        progress.replicas = self._version

    def _find_unwanted_services(self, watcher: Watcher) -> abc.Container[str]:
        """Return the services whose endpoints a watcher needn't know."""
        index = self._replicas.observed.index
        if not watcher.report.takes_callers or index is None:
            return ()
        return {service.name for service in index.model_services}


@dataclasses.dataclass(slots=True)
class _Progress:
    """What a watcher has been told."""

    document_version: int
    is_begun: bool = False
    endpoints: int = -1
    replicas: int = -1
    strikes: int = 0
    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)
