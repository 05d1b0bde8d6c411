"""What an entry host of a gateway runs."""

import asyncio
import random

from tornado import httpserver
from tornado import web

from filbertglade import clock
from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.forwarding import choice
from filbertglade.forwarding import context
from filbertglade.forwarding import exchange
from filbertglade.forwarding import quota
from filbertglade.forwarding import server
from filbertglade.forwarding import stall_detection
from filbertglade.forwarding import upstream
from filbertglade.inner import channels
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from filbertglade import tasks

log = logs.get_log(__name__)

# How much of the grace is left for the end itself, in ms.
END_MARGIN_MS = 500
LOOK_MS = 50


class ReadyHandler(web.RequestHandler):
    """Tells the balancer whether this host takes callers."""

    def initialize(self, role: 'EntryRole') -> None:
        """Take the role.

        :param role: whose readiness it tells.
        """
        self._role = role

    def get(self) -> None:
        """Tell it."""
        obstacle = self._role.find_obstacle()
        self.set_status(503 if obstacle else 200)
        self.finish(obstacle or 'ready')


class EntryRole:
    """Takes callers' requests and forwards them.

    :param settings: the process's settings.
    :param dialect: names of headers.
    :param seen: the node's view.
    :param watching: the node's stream to the leader.
    :param counters: the process's metrics.
    :param rng: the process's random numbers.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        dialect: dialects.Dialect,
        seen: view.FleetView,
        watching: watcher.Watcher,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = seen
        self._tasks = tasks.TaskGroup()
        loads = choice.LoadTracker(seen, watching.in_flight)
        faults = choice.FaultTracker()
        progress = stall_detection.StallDetector(faults, watching, seen)
        self._progress = progress
        self._pool = upstream.UpstreamPool(counters)
        self._context = context.ForwardingContext(
            dialect,
            seen,
            watching,
            choice.Chooser(settings.data_centre, seen, loads, faults, rng),
            loads,
            faults,
            progress,
            self._pool,
            quota.RetryQuota(settings.retries),
            counters,
            rng,
        )
        self._server = server.CallerServer(self._serve, self._get_limits)
        self._health: httpserver.HTTPServer | None = None

    def find_obstacle(self) -> str:
        """Return why no callers should come; empty if they should."""
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
        """Begin to take callers.

        :raises OSError: an address can't be listened on.
        """
        listen = self._settings.listen
        assert listen.callers is not None
        self._server.listen(listen.callers)
        if listen.health is not None:
            application = web.Application(
                [(r'/readyz', ReadyHandler, {'role': self})],
                log_function=lambda handler: None,
            )
            self._health = httpserver.HTTPServer(application)
            host, port = channels.split_address(listen.health)
            self._health.listen(port, host)
        self._tasks.start(self._progress.run())

    async def drain(self) -> None:
        """Answer what is in flight, within the grace."""
        began_ms = clock.now_ms()
        end_ms = began_ms + self._settings.grace_ms - END_MARGIN_MS
        self._context.stopping_since_ms = began_ms
        log.change('entry.draining', in_flight=len(self._server.in_flight))
        while clock.now_ms() < end_ms:
            await asyncio.sleep(LOOK_MS / 1000)
            waited_ms = clock.now_ms() - began_ms
            if (
                waited_ms > context.SHUTDOWN_ACCEPT_MS
                and not self._server.in_flight
            ):
                break
        log.change(
            'entry.drained',
            in_flight=len(self._server.in_flight),
            waited_ms=clock.now_ms() - began_ms,
        )

    async def close(self) -> None:
        """Stop at once."""
        self._server.stop()
        if self._health is not None:
            self._health.stop()
        await self._tasks.close()
        self._pool.close()
