"""Finds the leader, or a control host that relays between it and this host."""

import asyncio
from collections import abc
import dataclasses
import random

from grpclib import client
from grpclib import const
from grpclib import exceptions

from filbertglade.inner import channels
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Time for which the leader itself is waited for before a hop is used, in ms.
# It doubles with each search that no host answers, for slow links. Not where
# others answer: one of them may be elected while silent ones are waited for.
DIRECT_WAIT_MS = 250
MAX_DIRECT_WAIT_MS = 800
# Time for a single probe of the leader while a hop is in use, in ms.
PROBE_TIMEOUT_MS = 800
# Pause between two searches, in ms. Hosts lose a leader together, and each
# search asks all control hosts: at random within these bounds.
MIN_PAUSE_MS = 150
MAX_PAUSE_MS = 300
# Interval between two probes of the leader while a hop is in use, in ms, and
# how many in a row it has to answer before the hop is left: one may be
# answered over a link that comes and goes.
RETURN_INTERVAL_MS = 500
RETURN_PROBES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How a host reaches the leader.

    :param host: the control host to attach to.
    :param is_hop: whether it relays.
    """

    host: str
    is_hop: bool = False


@dataclasses.dataclass(slots=True)
class _Answers:
    """What the probes of a search have shown so far.

    :param leader: the control host that leads; empty if none has said so.
    :param hops: those that follow a leader.
    :param unable: those without this service.
    :param count: number of hosts that have answered.
    :param control_hosts: the control hosts that an answer named last.
    """

    leader: str = ''
    hops: list[str] = dataclasses.field(default_factory=list)
    unable: list[str] = dataclasses.field(default_factory=list)
    count: int = 0
    control_hosts: list[str] = dataclasses.field(default_factory=list)


class LeaderSearch:
    """Probes all control hosts at once.

    :param channel_factory: opens channels to control hosts.
    :param counters: the process's metrics.
    :param rng: the process's random number generator.
    :ivar control_hosts: the control hosts that an answer named last.
    :ivar answered_count: hosts that answered the latest search.
    :ivar unanswered: number of searches in a row that no host answered.
    """

    def __init__(
        self,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._channels = channel_factory
        self._counters = counters
        self._rng = rng
        self.control_hosts: list[str] = []
        self.answered_count = 0
        self.unanswered = 0
        # Hops that failed since a leader was last found.
        self._failed_hops: set[str] = set()

    def note_followed(self) -> None:
        """Note that a leader was found."""
        self._failed_hops.clear()

    def note_failed(self, route: Route) -> None:
        """Note that a route led to no leader.

        :param route: the route, which others are preferred to.
        """
        if route.is_hop:
            self._failed_hops.add(route.host)

    async def pause(self) -> None:
        """Wait between two searches."""
        pause_ms = self._rng.uniform(MIN_PAUSE_MS, MAX_PAUSE_MS)
        await asyncio.sleep(pause_ms / 1000)

    async def find(self, hosts: list[str]) -> Route | None:
        """Search once.

        :param hosts: the control hosts.
        :returns: the route to the leader; None if none was found.
        """
        self._counters.count('leader_searches')
        answers = await self._probe_all(hosts)
        self.control_hosts = answers.control_hosts or self.control_hosts
        route: Route | None
        if answers.leader:
            route = Route(answers.leader)
        elif answers.hops:
            route = Route(self._choose_hop(answers.hops), is_hop=True)
        elif answers.unable:
            route = Route(self._rng.choice(answers.unable))
        else:
            route = None
        self.answered_count = answers.count
        self.unanswered = 0 if answers.count else self.unanswered + 1
        return route

    def _choose_hop(self, hops: list[str]) -> str:
        untried = [host for host in hops if host not in self._failed_hops]
        if not untried:
            self._failed_hops.clear()
        return self._rng.choice(untried or hops)

    async def _probe_all(self, hosts: list[str]) -> _Answers:
        answers = _Answers()
        wait_ms = min(
            MAX_DIRECT_WAIT_MS,
            DIRECT_WAIT_MS * 2 ** min(self.unanswered, 16),
        )
        loop = asyncio.get_running_loop()
        running = {
            loop.create_task(self._probe(host, answers)) for host in hosts
        }
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while running and not answers.leader:
                    _, running = await asyncio.wait(
                        running, return_when=asyncio.FIRST_COMPLETED
                    )
        except TimeoutError:
            # The answers so far count.
            return answers
        finally:
            for task in running:
                task.cancel()
            if running:
                await asyncio.wait(running)
        return answers

    async def _probe(self, host: str, answers: _Answers) -> None:
        channel = self._channels.open_channel(host)
        try:
            reply = await _ask(channel)
        except exceptions.GRPCError as error:
            if error.status is const.Status.UNIMPLEMENTED:
                answers.count += 1
                answers.unable.append(host)
        except channels.STREAM_ERRORS:
            # The others' answers count.
            return
        else:
            answers.count += 1
            answers.control_hosts = list(reply.control_hosts)
            if reply.is_leader:
                answers.leader = host
            elif reply.relayed_leader not in ('', host):
                answers.hops.append(host)
        finally:
            channel.close()

    async def wait_for_direct(self, get_leader: abc.Callable[[], str]) -> None:
        """Wait until the leader can be reached without a hop.

        :param get_leader: returns its inner address; empty if unknown yet.
        """
        answered = 0
        while answered < RETURN_PROBES:
            await asyncio.sleep(
                self._rng.uniform(0.8, 1.2) * RETURN_INTERVAL_MS / 1000
            )
            answers = _Answers()
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000):
                    if leader := get_leader():
                        await self._probe(leader, answers)
            except TimeoutError:
                pass
            is_reached = bool(answers.leader or answers.unable)
            answered = answered + 1 if is_reached else 0


async def _ask(channel: client.Channel) -> fleet_pb2.ProbeReply:
    return await fleet_grpc.RelaysStub(channel).Probe(fleet_pb2.ProbeRequest())
