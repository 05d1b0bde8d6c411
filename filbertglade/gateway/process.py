"""A process of a gateway, which starts and stops its roles in order."""

import asyncio
import pathlib
import random
import signal
import types
import typing
import uuid

from filbertglade.budgets import allocator
from filbertglade.budgets import process as process_budgets
from filbertglade import failures
from filbertglade.fleet import dialects
from filbertglade.fleet import document_fetcher
from filbertglade.fleet import leader_search
from filbertglade.fleet import statements
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.gateway import entry_role
from filbertglade.gateway import http_server
from filbertglade.gateway import where_api
from filbertglade.inner import channels
from filbertglade.observability import logs
from filbertglade.observability import loop_delay
from filbertglade.observability import memory
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from filbertglade import signals
from filbertglade import tasks

if typing.TYPE_CHECKING:
    from filbertglade.gateway import control_role
    from filbertglade.gateway import inner_server

log = logs.get_log(__name__)

# Interval between two checks of the settings file, in ms: it may change
# without a signal.
SETTINGS_POLL_INTERVAL_MS = 1000

Response = http_server.Response


def _load_control_role() -> types.ModuleType:
    """Import what only control hosts need: entry hosts start without it."""
    from filbertglade.gateway import control_role

    return control_role


class GatewayProcess:
    """One process of a gateway.

    :param path: the settings file; it is reloaded when it changes.
    :param settings: the settings.
    :param dialect: names of headers and paths.
    :param channel_factory: opens channels to other processes.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: gateway.GatewaySettings,
        dialect: dialects.Dialect,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
    ) -> None:
        self._path = path
        self._settings_text = b''
        self._settings = settings
        self._run_name = uuid.uuid4().hex
        self._tasks = tasks.TaskGroup()
        rng = random.Random()
        self._counters = counters
        memory.set_gauges(counters)
        self._budgets = process_budgets.Budgets(
            settings.limits, counters, settings.list_listeners()
        )
        self._loop_delay = loop_delay.LoopDelayMonitor(counters)
        self._view = view.FleetView()
        counters.set_gauge(
            'document_version', lambda: _to_gauge(self._view.version)
        )
        counters.set_gauge(
            'document_announced_version',
            lambda: _to_gauge(self._view.announced_version),
        )
        counters.set_gauge(
            'view_age_ms', lambda: float(self._view.age_ms() or 0)
        )
        self._watcher = watcher.Watcher(
            settings.name,
            self._run_name,
            settings.list_seeds(),
            settings.listen.callers is not None,
            self._view,
            channel_factory,
            self._counters,
            rng,
            self._build_search(channel_factory, rng),
        )
        stated = statements.EndpointStatements(dialect.leaving, counters, rng)
        self._control_role: control_role.ControlRole | None = None
        if settings.is_control_host:
            self._control_role = _load_control_role().ControlRole(
                settings,
                dialect,
                self._view,
                self._watcher,
                channel_factory,
                stated,
                self._counters,
                rng,
                self._budgets,
            )
        self._entry_role: entry_role.EntryRole | None = None
        self._fetcher: document_fetcher.DocumentFetcher | None = None
        if settings.listen.callers is not None:
            self._fetcher = document_fetcher.DocumentFetcher(
                self._view,
                self._watcher.list_control_hosts,
                lambda: self._watcher.watched_host,
                channel_factory,
                self._counters,
                rng,
            )
        if settings.listen.callers is not None:
            self._entry_role = entry_role.EntryRole(
                settings,
                dialect,
                self._view,
                self._watcher,
                stated,
                self._counters,
                rng,
                self._budgets,
            )
        self._inner_server: inner_server.LimitedServer | None = None
        self._where = where_api.WhereApi(
            self._entry_role.shared if self._entry_role is not None else None
        )
        self._metrics_server = where_api.OperatorsServer(
            self._serve_operators,
            where_api.MAX_BODY_BYTES,
            budgets=self._budgets,
            listener='metrics',
        )
        self._stopping = asyncio.Event()
        self._reload_requested = asyncio.Event()
        self._signals = signals.SignalHandlers(
            {
                signal.SIGTERM: self._stopping.set,
                signal.SIGINT: self._stopping.set,
                signal.SIGHUP: self._reload_requested.set,
            }
        )

    def _build_search(
        self, channel_factory: channels.ChannelFactory, rng: random.Random
    ) -> leader_search.LeaderSearch | None:
        """Return the search that uses hops; None if they aren't enabled."""
        if not self._settings.control.tolerated_data_centres:
            return None
        return leader_search.LeaderSearch(channel_factory, self._counters, rng)

    async def start(self) -> failures.Failure | None:
        """Start all parts.

        :returns: None, or why the process cannot start.
        :raises OSError: a server can't listen on its address.
        """
        log.change(
            'process.starting',
            run=self._run_name,
            control=self._control_role is not None,
            seeds=self._settings.list_seeds(),
            found_cluster=self._settings.control.found_cluster,
        )
        allocator.map_large_blocks()
        self._tasks.keep_running(
            'process.measure_loop_delay', self._loop_delay.run, self._counters
        )
        self._settings_text = self._path.read_bytes()
        self._signals.install()
        if self._control_role is not None:
            from filbertglade.gateway import inner_server

            services: list[typing.Any] = [
                self._control_role.voters.servicer,
                self._control_role.publisher,
                self._control_role.documents,
            ]
            if self._control_role.relays is not None:
                services.append(self._control_role.relays)
            self._inner_server = inner_server.LimitedServer(
                services, self._budgets
            )
            await self._inner_server.listen(self._settings.listen.inner)
            failure = await self._control_role.start()
            if failure is not None:
                return failure
        self._watcher.start()
        if self._fetcher is not None:
            self._fetcher.start()
        if self._entry_role is not None:
            await self._entry_role.start()
        if self._settings.listen.metrics is not None:
            await self._metrics_server.listen(self._settings.listen.metrics)
        self._tasks.keep_running(
            'process.watch_settings', self._watch_settings, self._counters
        )
        log.change('process.started', run=self._run_name)
        return None

    def _serve_operators(self, request: http_server.Request) -> Response:
        """Respond with the metrics, or where a request would go.

        Metrics are in the Prometheus text format.
        """
        if request.path == where_api.PATH:
            return self._where.handle(request)
        if request.path != '/metrics':
            return Response(404)
        if request.method not in ('GET', 'HEAD'):
            return Response(405)
        return Response(
            200,
            self._counters.render_text().encode(),
            content_type='text/plain; version=0.0.4',
        )

    async def _watch_settings(self) -> None:
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_INTERVAL_MS / 1000):
                    await self._reload_requested.wait()
            except TimeoutError:
                pass
            is_requested = self._reload_requested.is_set()
            self._reload_requested.clear()
            try:
                text = self._path.read_bytes()
            except OSError as error:
                log.error('settings.unreadable', error=error)
                continue
            if text != self._settings_text or is_requested:
                self._settings_text = text
                self._reload()

    def _reload(self) -> None:
        """Apply the settings that may change while the process runs."""
        settings, problems = gateway.load_gateway_settings(self._path)
        if settings is None:
            log.error(
                'settings.refused',
                problems=[str(problem) for problem in problems],
            )
            return
        seeds = settings.list_seeds()
        self._watcher.set_seeds(seeds)
        log.change('settings.reloaded', seeds=seeds)

    async def run_until_stopped(self) -> None:
        """Run until SIGTERM or SIGINT, then finish requests in flight."""
        await self._stopping.wait()
        log.change('process.stopping', run=self._run_name)
        if self._entry_role is not None:
            await self._entry_role.drain()

    async def close(self) -> None:
        """Stop all parts."""
        await self._tasks.close()
        if self._entry_role is not None:
            await self._entry_role.close()
        if self._control_role is not None:
            await self._control_role.close()
        if self._fetcher is not None:
            await self._fetcher.close()
        await self._watcher.close()
        if self._inner_server is not None:
            self._inner_server.close()
        self._metrics_server.stop()
        self._signals.ignore()
        log.change('process.stopped', run=self._run_name)


def _to_gauge(version: int | None) -> int:
    """Return a document's version as a gauge shows it; -1 without one."""
    return -1 if version is None else version
