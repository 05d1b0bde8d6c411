"""What a control host of a gateway runs."""

import asyncio
import pathlib
import random

from tornado import httpserver

from filbertglade.control import agreement
from filbertglade.control import file_storage
from filbertglade.control import identity
from filbertglade.control import replication
from filbertglade.control import state
from filbertglade.control import voters
from filbertglade import failures
from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.fleet import publisher
from filbertglade.fleet import registry
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.gateway import control_api
from filbertglade.inner import channels
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.replicas import controller
from filbertglade.replicas import orders
from filbertglade.settings import gateway
from filbertglade.settings import model
from filbertglade import tasks

log = logs.get_log(__name__)

# Pause between two greetings of a host that is no voter, in ms, and of one
# that is: the second only matters where its voter table is out of date.
GREETING_MS = 400
VOTER_GREETING_MS = 2000
GREETING_TIMEOUT_MS = 500
# Pause between two looks at the replicas' lines, in ms.
REFRESH_MS = 50


class VoterSettings:
    """The settings of a control host as agreement needs them.

    :param settings: the process's settings.
    """

    __slots__ = ('control', 'name')

    def __init__(self, settings: gateway.GatewaySettings) -> None:
        control = settings.control
        self.name = settings.listen.inner
        self.control = model.ControlSettings(
            hosts=[],
            data_folder=control.data_folder,
            election_ms=control.election_ms,
            heartbeat_ms=control.heartbeat_ms,
            lease_ms=control.lease_ms,
            snapshot_entries=control.snapshot_entries,
        )


class ControlRole:
    """Agreement, the registry of endpoints and the care of groups.

    :param settings: the process's settings.
    :param dialect: names of headers and paths.
    :param seen: the node's view; a new leader begins with it.
    :param watching: the node's stream to the leader.
    :param channel_factory: opens channels to other control hosts.
    :param counters: the process's metrics.
    :param rng: the process's random numbers.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        dialect: dialects.Dialect,
        seen: view.FleetView,
        watching: watcher.Watcher,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._voter_settings = VoterSettings(settings)
        self._view = seen
        self._watching = watching
        self._channels = channel_factory
        self._tasks = tasks.TaskGroup()
        self.membership = voters.SeededMembership(
            settings.list_seeds(), settings.control.tolerated_losses
        )
        self._agreed = state.AgreedState()
        folder = pathlib.Path(settings.control.data_folder)
        self.voters = agreement.Agreement(
            self._voter_settings,
            self._agreed,
            file_storage.FileStorage(folder),
            channel_factory,
            counters,
            rng,
            self.membership,
        )
        self._registry = registry.Registry(settings.endpoints.announce_ms)
        self._client = orders.HttpEngineClient(dialect)
        self._replicas = controller.ReplicaController(
            settings,
            self._agreed,
            self.voters,
            self._registry,
            self._client,
            counters,
        )
        self.publisher = publisher.Publisher(
            self._agreed,
            self.voters,
            self.membership,
            self._registry,
            self._replicas,
            seen,
        )
        assert settings.listen.control is not None
        self._context = control_api.ControlContext(
            settings.listen.control,
            self._agreed,
            self.voters,
            self._registry,
            counters,
            self._replicas.observed,
        )
        self._server: httpserver.HTTPServer | None = None
        self._changing = asyncio.Lock()
        self._refreshing: asyncio.Task[None] | None = None
        self._agreed.add_listener(lambda command: self._read_document())

    async def start(self) -> failures.Failure | None:
        """Start the parts.

        :returns: None, or why the host cannot take part.
        """
        failure = self._try_found()
        if failure is not None:
            return failure
        self.voters.add_leadership_listener(self._change_leadership)
        failure = await self.voters.start()
        if failure is not None:
            return failure
        self._read_document()
        self._server = control_api.listen(self._context)
        self._tasks.start(self._greet())
        return None

    def _try_found(self) -> failures.Failure | None:
        """Mark an empty folder of a new cluster's seed as a founder's."""
        control = self._settings.control
        own = self._settings.listen.inner
        if not control.found_cluster or own not in self.membership.seeds:
            return None
        folder = pathlib.Path(control.data_folder)
        if folder.exists() and any(folder.iterdir()):
            return None
        return identity.init_control(self._voter_settings)

    async def close(self) -> None:
        """Stop the parts; a leader hands over first."""
        if self._server is not None:
            self._server.stop()
        await self.voters.transfer_leadership()
        await self._replicas.close()
        await self._tasks.close()
        await self.voters.close()
        self._client.close()

    # Leading

    def _change_leadership(self, acting: bool) -> None:
        self._tasks.start(self._follow_leadership(acting))

    async def _follow_leadership(self, acting: bool) -> None:
        # One change at a time: a loss right after a win must end what the
        # win began.
        async with self._changing:
            await self._follow(acting)

    async def _follow(self, acting: bool) -> None:
        await self._replicas.close()
        if self._refreshing is not None:
            self._refreshing.cancel()
            self._refreshing = None
        if not acting:
            return
        self._registry.seed(self._view.endpoints.values())
        log.change(
            'registry.seeded',
            endpoints=len(self._view.endpoints),
            view_age_ms=self._view.age_ms(),
        )
        self._replicas.has_traffic |= bool(self._view.in_flight)
        self.publisher.start_leading(bool(self._view.endpoints))
        self._replicas.start()
        self._refreshing = self._tasks.start(self._refresh())

    async def _refresh(self) -> None:
        while True:
            self.publisher.refresh()
            await asyncio.sleep(REFRESH_MS / 1000)

    def _read_document(self) -> None:
        current = self._agreed.document.current
        index = self._replicas.observed.index
        if not current.version or (
            index is not None and index.document.version == current.version
        ):
            return
        parsed, problems = document.read_document(current.text)
        if parsed is None:
            log.error(
                'document.unreadable',
                version=current.version,
                problems=[str(problem) for problem in problems[:4]],
            )
            return
        self._replicas.observed.index = document.RoutingIndex(parsed)

    # Being taken in

    async def _greet(self) -> None:
        """Make this host known to the leader until it votes."""
        while True:
            is_settled = self.voters.is_voter and bool(self.voters.leader)
            interval_ms = VOTER_GREETING_MS if is_settled else GREETING_MS
            await asyncio.sleep(interval_ms / 1000)
            if self.voters.is_leader or is_settled:
                continue
            own = self._settings.listen.inner
            for host in self._watching.list_hosts():
                if host != own:
                    self._tasks.start(self._enlist(host))

    async def _enlist(self, host: str) -> None:
        channel = self._channels.open_channel(host)
        try:
            async with asyncio.timeout(GREETING_TIMEOUT_MS / 1000):
                await fleet_grpc.FleetStub(channel).Enlist(
                    fleet_pb2.EnlistRequest(name=self._settings.listen.inner)
                )
        except replication.STREAM_ERRORS:
            # The host is down or not yet up; the next greeting tells.
            return
        finally:
            channel.close()
