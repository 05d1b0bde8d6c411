"""A node's stream to the leader."""

import asyncio
import random

from grpclib import client

from filbertglade import clock
from filbertglade.control import replication
from filbertglade.fleet import pacing
from filbertglade.fleet import view
from filbertglade.inner import channels
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade import tasks

log = logs.get_log(__name__)

# Longest wait for the first frame of a control host, in ms: an answer needs
# a connection and a look at who leads.
FIRST_FRAME_MS = 800
# Silence of the leader that counts as a loss, in ms: four of its frames.
LEADER_SILENCE_MS = 1100
# Longest pause between two reports, in ms: half the silence of a watcher
# that the leader notices, and less.
REPORT_MS = 400
# Pause between two reports while requests in flight change, in ms, at least
# and for each entry node: all together send some 500 a second at most.
LOAD_MS = 40
LOAD_NODE_MS = 2
# Pause between two tries to find the leader, in ms.
SEARCH_MS = 60

Stream = client.Stream[fleet_pb2.WatchReport, fleet_pb2.FleetFrame]


class Watcher:
    """Finds the leader and takes in what it says.

    :param node: this process's name.
    :param run: names this run of the process.
    :param seeds: inner addresses of some control hosts.
    :param takes_callers: whether this process takes callers.
    :param seen: the view to fill.
    :param channel_factory: opens channels to control hosts.
    :param counters: the process's metrics.
    :param rng: the process's random numbers.
    :ivar in_flight: requests in flight here, by group.
    :ivar requests: requests received since the start.
    """

    def __init__(
        self,
        node: str,
        run: str,
        seeds: list[str],
        takes_callers: bool,
        seen: view.FleetView,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._run_name = run
        self._seeds = list(seeds)
        self._takes_callers = takes_callers
        self._view = seen
        self._channels = channel_factory
        self._counters = counters
        self._rng = rng
        self._tasks = tasks.TaskGroup()
        self._hosts: list[str] = []
        self._leader = ''
        self._strikes: list[fleet_pb2.Strike] = []
        self._suspicions: list[fleet_pb2.Suspicion] = []
        self._alarm = asyncio.Event()
        self._reported: dict[str, int] = {}
        self.in_flight: dict[str, int] = {}
        self.requests = 0

    def start(self) -> None:
        """Begin to watch."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Stop watching."""
        await self._tasks.close()

    def set_seeds(self, seeds: list[str]) -> None:
        """Take other seeds, from settings that were read again.

        :param seeds: inner addresses of control hosts.
        """
        self._seeds = list(seeds)

    def list_hosts(self) -> list[str]:
        """Return the control hosts known, as the leader and the seeds say."""
        return list(dict.fromkeys([*self._hosts, *self._seeds]))

    def report_strike(self, digest: bytes, endpoint: str) -> None:
        """Tell all nodes that an endpoint crashed under a request.

        :param digest: names the request.
        :param endpoint: the endpoint's life.
        """
        self._view.note_strike(digest, endpoint)
        self._strikes.append(
            fleet_pb2.Strike(digest=digest, endpoint=endpoint)
        )
        self._alarm.set()

    def report_suspicion(self, group: str, epoch: int, reason: str) -> None:
        """Tell the leader that a group seems to stand still.

        :param group: its name.
        :param epoch: its epoch.
        :param reason: what was seen.
        """
        self._suspicions.append(
            fleet_pb2.Suspicion(group=group, epoch=epoch, reason=reason)
        )
        self._alarm.set()

    async def _run(self) -> None:
        while True:
            for host in self._order_hosts():
                self._leader = ''
                await self._watch(host)
                await asyncio.sleep(SEARCH_MS / 1000)
                if self._leader:
                    break

    def _order_hosts(self) -> list[str]:
        hosts = self.list_hosts()
        self._rng.shuffle(hosts)
        if self._leader:
            hosts = [
                self._leader,
                *(host for host in hosts if host != self._leader),
            ]
        return hosts

    async def _watch(self, host: str) -> None:
        channel = self._channels.open_channel(host)
        began_ms = clock.now_ms()
        followed = False
        reason = 'ended'
        try:
            stub = fleet_grpc.FleetStub(channel)
            async with stub.Watch.open() as stream:
                async with asyncio.timeout(FIRST_FRAME_MS / 1000):
                    await stream.send_message(self._build_report())
                    frame = await stream.recv_message()
                if frame is None or not frame.is_leader:
                    self._note_redirection(host, frame)
                    return
                followed = True
                log.change('leader.watched', leader=host)
                await self._follow(stream, frame)
        except replication.STREAM_ERRORS as error:
            reason = f'{type(error).__name__}: {error}'
        finally:
            channel.close()
            if followed:
                log.change(
                    'leader.unwatched',
                    leader=host,
                    reason=reason,
                    lasted_ms=clock.now_ms() - began_ms,
                    age_ms=self._view.age_ms(),
                )

    def _note_redirection(
        self, host: str, frame: fleet_pb2.FleetFrame | None
    ) -> None:
        if frame is None:
            return
        self._hosts = list(frame.control_hosts) or self._hosts
        if frame.leader != host:
            self._leader = frame.leader

    async def _follow(
        self, stream: Stream, frame: fleet_pb2.FleetFrame | None
    ) -> None:
        sender = self._tasks.start(self._send_reports(stream))
        try:
            while frame is not None and frame.is_leader:
                self._hosts = list(frame.control_hosts) or self._hosts
                self._view.apply_frame(frame)
                self._counters.count('fleet_frames')
                async with asyncio.timeout(LEADER_SILENCE_MS / 1000):
                    frame = await stream.recv_message()
            self._note_redirection('', frame)
        finally:
            sender.cancel()
            await asyncio.wait([sender])

    async def _send_reports(self, stream: Stream) -> None:
        try:
            while True:
                await self._await_news()
                async with asyncio.timeout(LEADER_SILENCE_MS / 1000):
                    await stream.send_message(self._build_report())
        except replication.STREAM_ERRORS:
            # The receiving side sees the loss by the leader's silence.
            return

    async def _await_news(self) -> None:
        """Wait until there is something to report, or it is time to."""
        self._alarm.clear()
        pause_ms = max(LOAD_MS, LOAD_NODE_MS * self._view.entry_nodes)
        await pacing.await_news(
            self._alarm,
            lambda: self.in_flight != self._reported,
            pause_ms,
            REPORT_MS,
        )

    def _build_report(self) -> fleet_pb2.WatchReport:
        strikes, self._strikes = self._strikes, []
        suspicions, self._suspicions = self._suspicions, []
        self._reported = dict(self.in_flight)
        return fleet_pb2.WatchReport(
            node=self._node,
            run=self._run_name,
            document_version=self._view.version,
            takes_callers=self._takes_callers,
            in_flight={
                group: count
                for group, count in self.in_flight.items()
                if count
            },
            strikes=strikes,
            suspicions=suspicions,
            requests=self.requests,
            has_view=bool(self._view.endpoints or self._view.replicas),
        )
