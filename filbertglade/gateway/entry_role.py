"""The parts of a gateway process that runs as an entry host."""

import asyncio
import random

from tornado import httpserver
from tornado import web

from filbertglade import clock
from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.fleet import statements
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.forwarding import choice
from filbertglade.forwarding import context
from filbertglade.forwarding import evidence
from filbertglade.forwarding import exchange
from filbertglade.forwarding import quota
from filbertglade.forwarding import server
from filbertglade.forwarding import upstream
from filbertglade.inner import channels
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from filbertglade import tasks

log = logs.get_log(__name__)

# Part of the grace period kept for the shutdown after draining, in ms.
SHUTDOWN_MARGIN_MS = 500
DRAIN_POLL_INTERVAL_MS = 50


class ReadyHandler(web.RequestHandler):
    """Reports to the load balancer whether this host accepts callers."""

    def initialize(self, role: 'EntryRole') -> None:
        """Set the role.

        :param role: the role whose readiness is reported.
        """
        self._role = role

    def get(self) -> None:
        """Respond with 200, or with 503 and the reason."""
        obstacle = self._role.find_obstacle()
        self.set_status(503 if obstacle else 200)
        self.finish(obstacle or 'ready')


class EntryRole:
    """Accepts callers' requests and forwards them.

    :param settings: the process's settings.
    :param dialect: names of headers.
    :param fleet_view: the node's view.
    :param fleet_watcher: the node's stream to the leader.
    :param stated: what endpoints state in their answers to this process.
    :param counters: the process's metrics.
    :param rng: the process's random number generator.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        dialect: dialects.Dialect,
        fleet_view: view.FleetView,
        fleet_watcher: watcher.Watcher,
        stated: statements.EndpointStatements,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = fleet_view
        self._tasks = tasks.TaskGroup()
        self._pool = upstream.UpstreamPool(counters)
        self._known = evidence.EndpointEvidence(
            dialect,
            fleet_view,
            fleet_watcher,
            self._pool,
            stated,
            counters,
            rng,
        )
        self._context = context.ForwardingContext(
            dialect,
            fleet_view,
            fleet_watcher,
            choice.Chooser(settings.data_centre, fleet_view, self._known, rng),
            self._known,
            self._pool,
            quota.RetryQuota(settings.retries),
            counters,
            rng,
        )
        self._server = server.CallerServer(self._serve, self._get_limits)
        self._health_server: httpserver.HTTPServer | None = None

    def find_obstacle(self) -> str:
        """Return why this host accepts no callers; empty if it does."""
        if self._context.is_stopping:
            return 'shutting down'
        if self._view.index is None:
            return 'no document yet'
        return ''

    def _get_limits(self) -> document.Limits | None:
        index = self._view.index
        return index.document.limits if index is not None else None

    async def _serve(self, request: server.CallerRequest) -> None:
        await exchange.Exchange(self._context, request).run()

    def start(self) -> None:
        """Start accepting callers.

        :raises OSError: the server can't listen on an address.
        """
        listen = self._settings.listen
        assert listen.callers is not None
        self._server.listen(listen.callers)
        if listen.health is not None:
            application = web.Application(
                [(r'/readyz', ReadyHandler, {'role': self})],
                log_function=lambda handler: None,
            )
            self._health_server = httpserver.HTTPServer(application)
            host, port = channels.split_address(listen.health)
            self._health_server.listen(port, host)
        self._tasks.start(self._known.stall_detector.run())

    async def drain(self) -> None:
        """Finish the requests in flight, within the grace period."""
        started_ms = clock.now_ms()
        end_ms = started_ms + self._settings.grace_ms - SHUTDOWN_MARGIN_MS
        self._context.stopping_since_ms = started_ms
        log.change('entry.draining', in_flight=len(self._server.in_flight))
        while clock.now_ms() < end_ms:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
            waited_ms = clock.now_ms() - started_ms
            if (
                waited_ms > context.SHUTDOWN_ACCEPT_MS
                and not self._server.in_flight
            ):
                break
        log.change(
            'entry.drained',
            in_flight=len(self._server.in_flight),
            waited_ms=clock.now_ms() - started_ms,
        )

    async def close(self) -> None:
        """Stop without waiting for requests in flight."""
        self._server.stop()
        if self._health_server is not None:
            self._health_server.stop()
        await self._tasks.close()
        await self._known.close()
        self._pool.close()
