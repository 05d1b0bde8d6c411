"""The parts of a gateway process that runs as a control host."""

import asyncio
import pathlib
import random

from filbertglade.budgets import process
from filbertglade.control import agreement
from filbertglade.control import file_storage
from filbertglade.control import joining
from filbertglade.control import state
from filbertglade.control.tables import document as document_table
from filbertglade.control import voters
from filbertglade import document_versions
from filbertglade import failures
from filbertglade.fleet import cold_bound
from filbertglade.fleet import departure_log
from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.fleet import document_server
from filbertglade.fleet import publisher
from filbertglade.fleet import registry
from filbertglade.fleet import relay_server
from filbertglade.fleet import statements
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.gateway import control_api
from filbertglade.gateway import control_context
from filbertglade.gateway import http_server
from filbertglade.gateway import relay_role
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.replicas import controller
from filbertglade.replicas import engine_client
from filbertglade.settings import gateway
from filbertglade.settings import model
from filbertglade import tasks

log = logs.get_log(__name__)

# Interval between two updates of the replicas sent to watchers, in ms.
REFRESH_INTERVAL_MS = 50
# Pause before a document is read again after an unexpected error, in ms: an
# operator sends it again after as long, and reading takes less.
READ_RETRY_INTERVAL_MS = 1000


class VoterSettings:
    """The settings of a control host in the form that agreement needs.

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


def _read_index(
    stored: commands_pb2.PutDocument,
) -> document.RoutingIndex | None:
    """Unpack and index a document; runs off the event loop.

    :param stored: the document.
    """
    text = document_table.unpack_text(stored)
    return document.read_index(stored.version, text)


class ControlRole:
    """Agreement, the endpoint registry and the control of groups.

    :param settings: the process's settings.
    :param dialect: names of headers and paths.
    :param fleet_view: the node's view; a new leader starts from it.
    :param fleet_watcher: the node's stream to the leader.
    :param channel_factory: opens channels to other control hosts.
    :param stated: what endpoints state in their answers to this process.
    :param counters: the process's metrics.
    :param rng: the process's random number generator.
    :param budgets: what the process may hold for its clients.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        dialect: dialects.Dialect,
        fleet_view: view.FleetView,
        fleet_watcher: watcher.Watcher,
        channel_factory: channels.ChannelFactory,
        stated: statements.EndpointStatements,
        counters: metrics.Metrics,
        rng: random.Random,
        budgets: process.Budgets | None = None,
    ) -> None:
        self._settings = settings
        self._budgets = budgets
        self._counters = counters
        self._voter_settings = VoterSettings(settings)
        self._view = fleet_view
        self._watcher = fleet_watcher
        self._channels = channel_factory
        self._tasks = tasks.TaskGroup()
        self.membership = voters.SeededMembership(
            settings.list_seeds(), settings.control.tolerated_losses
        )
        self._agreed = state.AgreedState()
        is_founder = (
            settings.control.found_cluster
            and settings.listen.inner in self.membership.seeds
        )
        self.voters = agreement.Agreement(
            self._voter_settings,
            self._agreed,
            file_storage.FileStorage(
                pathlib.Path(settings.control.data_folder), is_founder
            ),
            channel_factory,
            counters,
            rng,
            self.membership,
        )
        fleet_watcher.note_voters = self.voters.note_voters
        self._joiner = joining.Joiner(
            settings.listen.inner,
            self.voters,
            fleet_watcher.list_control_hosts,
            channel_factory,
        )
        self._departures = departure_log.DepartureLog(
            self._agreed, self.voters, counters
        )
        self._registry = registry.Registry(
            settings.endpoints.announce_ms, self._departures
        )
        self._agreed.add_listener(self._registry.heed_departures)
        stated.add_leaving_listener(
            lambda key: self._registry.mark_leaving(key, settings.name)
        )
        self._client = engine_client.HttpEngineClient(
            dialect,
            stated,
            lambda: self.voters.is_leader,
            lambda endpoint, text: self.publisher.cold.read_health(
                endpoint, text
            ),
        )
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
            fleet_view,
            counters,
            cold_bound.ColdBound(
                settings.endpoints.cold_overage, settings.endpoints.cold_slack
            ),
        )
        self.documents = document_server.DocumentServer(self._agreed, counters)
        assert settings.listen.control is not None
        self._context = control_context.ControlContext(
            settings.listen.control,
            self._agreed,
            self.voters,
            self._registry,
            self._departures,
            counters,
            self._replicas.observed,
            self.publisher.cold,
        )
        self.relays: relay_server.RelayServer | None = None
        if settings.control.tolerated_data_centres > 0:
            role = relay_role.RelayRole(
                settings.listen.inner,
                self._context,
                self.voters,
                fleet_watcher,
                self.publisher,
                channel_factory,
                counters,
            )
            self._context.leader_caller = role
            self.relays = relay_server.RelayServer(
                role, channel_factory, counters
            )
        self._server: http_server.HttpServer | None = None
        self._leadership_lock = asyncio.Lock()
        self._refresh_task: asyncio.Task[None] | None = None
        self._document_changed = asyncio.Event()
        self._agreed.add_listener(lambda command: self._document_changed.set())

    async def start(self) -> failures.Failure | None:
        """Start all parts.

        :returns: None, or why the host cannot take part in agreement.
        """
        self.voters.add_leadership_listener(self._handle_leadership_change)
        failure = await self.voters.start()
        if failure is not None:
            return failure
        await self._read_document()
        self._tasks.keep_running(
            'control.read_documents', self._read_documents, self._counters
        )
        self._server = await control_api.listen(self._context, self._budgets)
        self._tasks.keep_running(
            'control.join', self._joiner.run, self._counters
        )
        return None

    async def close(self) -> None:
        """Hand leadership over if this host leads, then stop all parts."""
        if self._server is not None:
            self._server.stop()
        await self.voters.transfer_leadership()
        await self._replicas.close()
        await self._tasks.close()
        await self._departures.close()
        await self.voters.close()
        await self._context.documents.close()
        self._client.close()

    # Leading

    def _handle_leadership_change(self, is_acting: bool) -> None:
        self._tasks.start(self._switch_leadership(is_acting))

    async def _switch_leadership(self, is_acting: bool) -> None:
        # Changes are handled one at a time: a loss of leadership right after
        # an election must stop what the election started.
        async with self._leadership_lock:
            await self._apply_leadership(is_acting)

    async def _apply_leadership(self, is_acting: bool) -> None:
        await self._replicas.close()
        if self._refresh_task is not None:
            self._refresh_task.cancel()
            self._refresh_task = None
        if not is_acting:
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
        self._refresh_task = self._tasks.keep_running(
            'control.refresh_replicas',
            self._refresh_repeatedly,
            self._counters,
        )

    async def _refresh_repeatedly(self) -> None:
        while True:
            self.publisher.refresh()
            await asyncio.sleep(REFRESH_INTERVAL_MS / 1000)

    async def _read_documents(self) -> None:
        """Read each document that was accepted, off the event loop."""
        while True:
            await self._document_changed.wait()
            self._document_changed.clear()
            try:
                await self._read_document()
            except Exception as error:
                log.error(
                    'document.read_failed',
                    version=self._agreed.document.version,
                    error=error,
                )
                await asyncio.sleep(READ_RETRY_INTERVAL_MS / 1000)
                self._document_changed.set()

    async def _read_document(self) -> None:
        stored = self._agreed.document.current
        if stored is None or not document_versions.is_newer(
            stored.version, self._context.read_version
        ):
            return
        index = await document.read_in_turn(_read_index, stored)
        if index is not None:
            self._replicas.observed.index = index
            self._view.put_in_force(index)
        self._context.set_read_version(stored.version)
