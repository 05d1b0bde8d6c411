"""A node's stream to the leader: frames in, reports out."""

import asyncio
from collections import abc
import random

from grpclib import client

from filbertglade import clock
from filbertglade.fleet import cold_reports
from filbertglade.fleet import crash_reports
from filbertglade.fleet import frames
from filbertglade.fleet import leader_search
from filbertglade.fleet import pacing
from filbertglade.fleet import statements
from filbertglade.fleet import unserved
from filbertglade.fleet import view
from filbertglade.fleet import work_reports
from filbertglade.inner import channels
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade import tasks

log = logs.get_log(__name__)

# Longest wait for the first frame of a control host, in ms: the host has to
# check which host leads.
FIRST_FRAME_TIMEOUT_MS = 800
# Longest wait for a connection to a control host, in ms, at the first search
# for the leader. It doubles with each further one, up to the time-out for a
# frame, for links on which connecting takes longer. A machine without power
# refuses nothing.
FIRST_CONNECT_TIMEOUT_MS = 200
# The same for a hop that has just answered a probe, in ms: another one may be
# tried within 1 s. A leader that sends its view to many hosts takes longer.
HOP_FRAME_TIMEOUT_MS = 400
# Oldest frame with which this host relays to others, in ms: more than twice
# the leader's longest interval.
MAX_HOP_AGE_MS = 600
# Longest time for which all messages over a hop may be older than the time-out
# for the leader, in ms. After it another way to the leader is searched for.
MAX_STALE_MS = 3000
# Time without a frame after which the leader counts as lost, in ms: four of
# its longest intervals between frames.
LEADER_TIMEOUT_MS = 1100
# Longest interval between two reports, in ms: less than half of the leader's
# time-out for watchers.
MAX_REPORT_INTERVAL_MS = 400
# Interval between two reports while only the requests in flight change, in
# ms: the minimum, and the time per entry node, which limits all nodes
# together to about 500 reports a second.
MIN_LOAD_INTERVAL_MS = 40
LOAD_INTERVAL_PER_NODE_MS = 2
# Pause between two attempts to find the leader, in ms.
SEARCH_INTERVAL_MS = 60

Stream = client.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]


class Watcher:
    """Finds the leader, applies its frames and sends it reports.

    :param node: this process's name.
    :param run: unique id of this run of the process.
    :param seeds: inner addresses of some control hosts.
    :param takes_callers: whether this process accepts callers.
    :param fleet_view: the view that frames are applied to.
    :param channel_factory: opens channels to control hosts.
    :param counters: the process's metrics.
    :param rng: the process's random number generator.
    :param search: finds the leader or a hop; None to ask one control host
        after the other, without hops.
    :ivar watched_host: the control host that is being watched, the leader or
        a hop; empty without one.
    :ivar uses_hop: whether it is a hop.
    :ivar crashes: what is reported of requests that crash endpoints.
    :ivar cold: what is reported of cold endpoints.
    :ivar in_flight: requests in flight here, by group.
    :ivar requests: requests received since the start.
    :ivar limited_demand: requests since the last report that endpoints with
        limits could have taken, by incarnation key.
    :ivar unused_allowances: requests that this host was allowed to send to
        them since the last report and didn't send in time.
    :ivar read_work: returns the work that this host's requests have left, in
        ms by load key; None if requests aren't selected by cost.
    :ivar unserved: what this host could not serve in time.
    :ivar note_voters: called with the voters' index, the control hosts and
        the sender of each frame or redirection; None if nobody needs them.
    """

    def __init__(
        self,
        node: str,
        run: str,
        seeds: list[str],
        takes_callers: bool,
        fleet_view: view.FleetView,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
        rng: random.Random,
        search: leader_search.LeaderSearch | None = None,
    ) -> None:
        self._search = search
        self._node = node
        self._run_name = run
        self._seeds = list(seeds)
        self._takes_callers = takes_callers
        self._view = fleet_view
        self._channels = channel_factory
        self._counters = counters
        self._rng = rng
        self._tasks = tasks.TaskGroup()
        self._control_hosts: list[str] = []
        # The newest voters that were named, and the index that came with them.
        self._voters: abc.Collection[str] = ()
        self._voters_index = 0
        self._leader = ''
        # Failed searches for the leader since it was last found.
        self._failed_searches = 0
        self.watched_host = ''
        self.uses_hop = False
        if search is not None:
            counters.set_gauge(
                'uses_hop',
                lambda: int(self.uses_hop and bool(self.watched_host)),
            )
        # Local clock at the latest message over a hop that was surely young.
        self._fresh_ms = 0
        self._suspicions: list[fleet_pb2.Suspicion] = []
        # Local clock at the latest event since the last report, by group and
        # epoch.
        self._answered_ms: dict[tuple[str, int], int] = {}
        # By endpoint, with the local clock at the answer that named it.
        self._limits: dict[str, tuple[int, fleet_pb2.EndpointLimit]] = {}
        # Endpoints that have said that they leave, by the local clock when
        # they did, and those of which the watched leader hasn't been told.
        self._leaving_ms: dict[str, int] = {}
        self._unreported_leaving: set[str] = set()
        self._urgent_change = asyncio.Event()
        self.crashes = crash_reports.CrashReports(
            fleet_view.struck, self._urgent_change.set
        )
        self.cold = cold_reports.ColdReports(
            fleet_view, self._urgent_change.set
        )
        self._reported_in_flight: dict[str, int] = {}
        # Of the current stream.
        self._followed_leader = ''
        self._received_frames = 0
        self._received_bytes = 0
        self.in_flight: dict[str, int] = {}
        self.requests = 0
        self.limited_demand: dict[str, int] = {}
        self.unused_allowances: dict[str, int] = {}
        self.read_work: abc.Callable[[], dict[str, int]] | None = None
        self._reported_work = work_reports.ReportedWork()
        self.unserved = unserved.UnservedDemand()
        self.note_voters: (
            abc.Callable[[int, abc.Collection[str], str], None] | None
        ) = None

    def start(self) -> None:
        """Start watching."""
        self._tasks.keep_running('fleet.watch', self._run, self._counters)

    async def close(self) -> None:
        """Stop watching."""
        await self._tasks.close()

    def set_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds after the settings were reloaded.

        :param seeds: inner addresses of control hosts.
        """
        self._seeds = list(seeds)

    def list_control_hosts(self) -> list[str]:
        """Return the control hosts named by the leader, then the seeds."""
        return list(dict.fromkeys([*self._control_hosts, *self._seeds]))

    def report_suspicion(self, group: str, epoch: int, reason: str) -> None:
        """Report to the leader that a group seems to have stalled.

        :param group: the group's name.
        :param epoch: the group's epoch.
        :param reason: what was observed.
        """
        self._suspicions.append(
            fleet_pb2.Suspicion(group=group, epoch=epoch, reason=reason)
        )
        self._urgent_change.set()

    def record_answer(self, group: str, epoch: int) -> None:
        """Let the next report name a group that an event has arrived of.

        :param group: the group's name.
        :param epoch: the group's epoch.
        """
        self._answered_ms[group, epoch] = clock.now_ms()

    def report_limit(self, limit: fleet_pb2.EndpointLimit) -> None:
        """Report to the leader that an endpoint named another limit.

        :param limit: the limit, or its end.
        """
        self._limits[limit.endpoint] = (clock.now_ms(), limit)
        self._urgent_change.set()

    def report_leaving(self, endpoint: str) -> None:
        """Report to the leader that an endpoint says that it leaves.

        :param endpoint: its incarnation key.
        """
        if len(self._leaving_ms) >= statements.MAX_ENDPOINTS:
            del self._leaving_ms[next(iter(self._leaving_ms))]
        self._leaving_ms[endpoint] = clock.now_ms()
        self._unreported_leaving.add(endpoint)
        self._urgent_change.set()

    def _report_known_departures(self) -> None:
        """Let the next report name all departures for a new leader.

        It knows of the announced ones only.
        """
        end_ms = clock.now_ms() - statements.LEAVING_KEPT_MS
        self._leaving_ms = {
            endpoint: said_ms
            for endpoint, said_ms in self._leaving_ms.items()
            if said_ms > end_ms
        }
        self._unreported_leaving = set(self._leaving_ms)

    def _report_known_limits(self) -> None:
        """Let the next report name all limits for a new leader."""
        for endpoint, (named_ms, requests_per_s) in self._view.limits.items():
            if endpoint not in self._limits:
                limit = fleet_pb2.EndpointLimit(
                    endpoint=endpoint, requests_per_s=requests_per_s
                )
                self._limits[endpoint] = (named_ms, limit)

    @property
    def watched_leader(self) -> str:
        """The leader that is watched without a hop; empty without one."""
        return '' if self.uses_hop else self.watched_host

    @property
    def has_recent_frame(self) -> bool:
        """Whether the latest frame is young enough to relay to others."""
        age_ms = self._view.age_ms()
        return age_ms is not None and age_ms <= MAX_HOP_AGE_MS

    async def _run(self) -> None:
        if self._search is not None:
            await self._run_search(self._search)
        while True:
            for host in self._order_control_hosts():
                self._leader = ''
                await self._watch(host)
                await asyncio.sleep(SEARCH_INTERVAL_MS / 1000)
                if self._leader:
                    break
            else:
                self._failed_searches += 1

    async def _run_search(self, search: leader_search.LeaderSearch) -> None:
        was_missing = False
        while True:
            route = await search.find(self.list_control_hosts())
            self._control_hosts = search.control_hosts or self._control_hosts
            # Longer waits help on slow links, but not without a leader.
            if search.unanswered:
                self._failed_searches += 1
            if route is None:
                if not was_missing:
                    log.change(
                        'leader.not_found', answered=search.answered_count
                    )
                was_missing = True
                await search.pause()
                continue
            was_missing = False
            try:
                await self._watch(route.host, route.is_hop)
            except Exception as error:
                # The library raises others for a message that ends early.
                log.error('leader.watch_failed', host=route.host, error=error)
            await asyncio.sleep(SEARCH_INTERVAL_MS / 1000)

    @property
    def _first_frame_timeout_ms(self) -> int:
        if self.uses_hop and not self._failed_searches:
            return HOP_FRAME_TIMEOUT_MS
        return FIRST_FRAME_TIMEOUT_MS

    @property
    def _connect_timeout_ms(self) -> int:
        return min(
            FIRST_FRAME_TIMEOUT_MS,
            FIRST_CONNECT_TIMEOUT_MS * 2 ** min(self._failed_searches, 16),
        )

    def _order_control_hosts(self) -> list[str]:
        hosts = self.list_control_hosts()
        self._rng.shuffle(hosts)
        if self._leader:
            hosts = [
                self._leader,
                *(host for host in hosts if host != self._leader),
            ]
        return hosts

    async def _watch(self, host: str, is_hop: bool = False) -> None:
        channel = self._channels.open_channel(host)
        started_ms = clock.now_ms()
        self._received_frames = 0
        self._received_bytes = 0
        self._followed_leader = ''
        was_followed = False
        reason = 'ended'
        self.uses_hop = is_hop
        stub: fleet_grpc.FleetStub | fleet_grpc.RelaysStub
        stub = fleet_grpc.FleetStub(channel)
        if is_hop:
            stub = fleet_grpc.RelaysStub(channel)
        try:
            async with stub.Watch.open() as stream:
                self.crashes.start_stream()
                self._reported_work.start_stream()
                self._report_known_limits()
                self.cold.start_stream()
                self._report_known_departures()
                report = self._build_report()
                report.voters_index = self._voters_index
                report.control_hosts.extend(self._voters)
                async with asyncio.timeout(self._connect_timeout_ms / 1000):
                    await stream.send_request()
                async with asyncio.timeout(
                    self._first_frame_timeout_ms / 1000
                ):
                    await stream.send_message(report)
                    frame = await stream.recv_message()
                if frame is None or not frame.is_leader:
                    self._apply_redirection(host, frame)
                    return
                self._forget_reported(report)
                was_followed = True
                self._failed_searches = 0
                self.watched_host = host
                self._fresh_ms = clock.now_ms()
                if self._search is not None:
                    self._search.note_followed()
                log.change('leader.watched', leader=host, **_name_hop(is_hop))
                await self._follow(stream, frame)
        except channels.STREAM_ERRORS as error:
            reason = f'{type(error).__name__}: {error}'
            if not was_followed:
                self._report_failed_attempt(
                    host, error, clock.now_ms() - started_ms
                )
        finally:
            channel.close()
            self.watched_host = ''
            self.uses_hop = False
            if self._search is not None and not was_followed:
                self._search.note_failed(leader_search.Route(host, is_hop))
                self._failed_searches += 1
            if was_followed:
                log.change(
                    'leader.unwatched',
                    leader=host,
                    reason=reason,
                    lasted_ms=clock.now_ms() - started_ms,
                    age_ms=self._view.age_ms(),
                    frames=self._received_frames,
                    received_bytes=self._received_bytes,
                    **_name_hop(is_hop),
                )

    def _report_failed_attempt(
        self, host: str, error: Exception, waited_ms: int
    ) -> None:
        self._counters.count(
            'leader_watch_failures', reason=type(error).__name__
        )
        if isinstance(error, TimeoutError):
            # Only time-outs are logged: they take long enough to bound the
            # number of lines.
            log.change('leader.silent', host=host, waited_ms=waited_ms)

    def _apply_redirection(
        self, host: str, frame: fleet_pb2.FleetFrame | None
    ) -> None:
        if frame is None:
            return
        self._note_control_hosts(frame, f'redirection by {host}')
        if frame.leader != host:
            self._leader = frame.leader

    async def _follow(
        self, stream: Stream, frame: fleet_pb2.FleetFrame | None
    ) -> None:
        sender = self._tasks.start(self._send_reports(stream))
        assembler = frames.FrameAssembler()
        if self._search is not None and self.uses_hop:
            helpers = [sender, self._tasks.start(self._leave_hop(stream))]
        else:
            helpers = [sender]
        try:
            while frame is not None and frame.is_leader:
                self._received_bytes += frame.ByteSize()
                self._view.evacuated.apply(frame)
                age_ms = self._find_message_age_ms(frame)
                self._apply(assembler.add(frame), age_ms)
                if clock.now_ms() - self._fresh_ms > MAX_STALE_MS:
                    raise ConnectionError('the hop sends only old frames')
                async with asyncio.timeout(LEADER_TIMEOUT_MS / 1000):
                    frame = await stream.recv_message()
            self._apply_redirection('', frame)
        finally:
            for helper in helpers:
                helper.cancel()
            await asyncio.wait(helpers)

    def _find_message_age_ms(self, message: fleet_pb2.FleetFrame) -> int:
        """Return the longest time since the leader sent a message.

        What the leader sends itself counts from its arrival. Over a hop it
        counts from the report that the leader had read before.
        """
        now_ms = clock.now_ms()
        age_ms = 0
        if self.uses_hop:
            age_ms = MAX_STALE_MS
            if message.HasField('report_sent_ms'):
                age_ms = max(0, now_ms - message.report_sent_ms)
            self._counters.record_ms('hop_frame_age', age_ms)
        if age_ms <= LEADER_TIMEOUT_MS:
            self._fresh_ms = now_ms
        return age_ms

    async def _leave_hop(self, stream: Stream) -> None:
        """End the stream over a hop once the leader itself is reached."""
        assert self._search is not None
        await self._search.wait_for_direct(lambda: self._followed_leader)
        self._counters.count('hops_left')
        try:
            await stream.cancel()
        except channels.STREAM_ERRORS:
            # It has ended by itself.
            return

    def _apply(self, frame: fleet_pb2.FleetFrame | None, age_ms: int) -> None:
        if frame is None:
            return
        self._note_control_hosts(frame, f'frame of {frame.leader}')
        self._received_frames += 1
        self._followed_leader = frame.leader
        self._view.apply_frame(frame, age_ms)
        self.crashes.apply(frame)
        self._counters.count('fleet_frames')

    def _note_control_hosts(
        self, frame: fleet_pb2.FleetFrame, source: str
    ) -> None:
        self._control_hosts = list(frame.control_hosts) or self._control_hosts
        if frame.voters_index > self._voters_index:
            self._voters_index = frame.voters_index
            self._voters = list(frame.control_hosts)
        if self.note_voters is not None:
            self.note_voters(frame.voters_index, frame.control_hosts, source)

    async def _send_reports(self, stream: Stream) -> None:
        try:
            while True:
                await self._wait_for_change()
                report = self._build_report()
                async with asyncio.timeout(LEADER_TIMEOUT_MS / 1000):
                    await stream.send_message(report)
                self._forget_reported(report)
        except channels.STREAM_ERRORS:
            # The receiving side detects the loss by its time-out.
            return

    def _forget_reported(self, report: fleet_pb2.WatchReport) -> None:
        """Forget what the leader was sent."""
        self.crashes.forget_sent(report)
        del self._suspicions[: len(report.suspicions)]
        for limit in report.limits:
            _, current = self._limits[limit.endpoint]
            # It may have been named anew while the report was sent.
            if current.requests_per_s == limit.requests_per_s:
                del self._limits[limit.endpoint]
        self._unreported_leaving.difference_update(report.leaving)
        self.cold.forget_sent(report)
        _subtract(self.limited_demand, report.limited_demand)
        _subtract(self.unused_allowances, report.unused_allowances)

    async def _wait_for_change(self) -> None:
        """Wait for a change, or until the next report is due."""
        self._urgent_change.clear()
        interval_ms = max(
            MIN_LOAD_INTERVAL_MS,
            LOAD_INTERVAL_PER_NODE_MS * self._view.entry_nodes,
        )
        await pacing.wait_for_change(
            self._urgent_change,
            lambda: self.in_flight != self._reported_in_flight,
            interval_ms,
            MAX_REPORT_INTERVAL_MS,
        )

    def _build_report(self) -> fleet_pb2.WatchReport:
        self._reported_in_flight = dict(self.in_flight)
        report = fleet_pb2.WatchReport(
            node=self._node,
            run=self._run_name,
            document_version=self._view.version,
            takes_callers=self._takes_callers,
            in_flight={
                group: count
                for group, count in self.in_flight.items()
                if count
            },
            suspicions=self._suspicions,
            limited_demand=self.limited_demand,
            unused_allowances=self.unused_allowances,
            requests=self.requests,
            has_view=bool(self._view.endpoints or self._view.replicas),
            leaving=self._unreported_leaving,
            unserved_per_s=self.unserved.read(),
        )
        now_ms = clock.now_ms()
        for named_ms, limit in self._limits.values():
            limit.age_ms = now_ms - named_ms
            report.limits.append(limit)
        self.cold.write(report)
        for (group, epoch), answered_ms in self._answered_ms.items():
            report.answering.add(
                group=group, epoch=epoch, age_ms=now_ms - answered_ms
            )
        self._answered_ms.clear()
        if self.read_work is not None:
            changes = self._reported_work.take_changes(self.read_work())
            report.remaining_work_ms.update(changes)
        self.crashes.write(report)
        if self.uses_hop:
            report.sent_ms = now_ms
        return report


def _name_hop(is_hop: bool) -> dict[str, bool]:
    """Return the field of a log line that says that a hop is used."""
    return {'is_hop': True} if is_hop else {}


def _subtract(counts: dict[str, int], sent: abc.Mapping[str, int]) -> None:
    for key, count in sent.items():
        counts[key] -= count
        if not counts[key]:
            del counts[key]
