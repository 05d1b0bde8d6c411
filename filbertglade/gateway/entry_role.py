"""The parts of a gateway process that runs as an entry host."""

import asyncio
import random

from tornado import httputil

from filbertglade.budgets import process
from filbertglade import clock
from filbertglade.costs import backlog
from filbertglade.costs import policy
from filbertglade.costs import tracking
from filbertglade.costs import two_choices
from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.fleet import statements
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.forwarding import admission_policy
from filbertglade.forwarding import choice
from filbertglade.forwarding import context
from filbertglade.forwarding import evidence
from filbertglade.forwarding import exchange
from filbertglade.forwarding import quota
from filbertglade.forwarding import server
from filbertglade.forwarding import slot_admission
from filbertglade.forwarding import upstream
from filbertglade.forwarding import urgency_admission
from filbertglade.gateway import http_server
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from filbertglade import tasks

log = logs.get_log(__name__)

# Part of the grace period kept for the shutdown after draining, in ms.
SHUTDOWN_MARGIN_MS = 500
# Time of it in which the last responses are sent, in ms.
FINAL_RESPONSES_MS = 100
DRAIN_POLL_INTERVAL_MS = 50
# Longest body of a health check, which has none, in bytes.
MAX_HEALTH_BODY_BYTES = 0


class EntryRole:
    """Accepts callers' requests and forwards them.

    :param settings: the process's settings.
    :param dialect: names of headers.
    :param fleet_view: the node's view.
    :param fleet_watcher: the node's stream to the leader.
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
        stated: statements.EndpointStatements,
        counters: metrics.Metrics,
        rng: random.Random,
        budgets: process.Budgets,
    ) -> None:
        self._settings = settings
        self._view = fleet_view
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        self._pool = upstream.UpstreamPool(
            counters,
            budgets.find_limit('endpoints'),
            budgets.receive_buffer_bytes,
        )
        self._evidence = evidence.EndpointEvidence(
            dialect,
            fleet_view,
            fleet_watcher,
            self._pool,
            stated,
            counters,
            rng,
            {settings.data_centre: settings.region, **settings.data_centres},
        )
        self._costs: tracking.RequestCosts | None = None
        selection_policy = self._build_policy(fleet_watcher, counters, rng)
        policy: admission_policy.AdmissionPolicy
        if settings.scheduling.admission == 'urgency':
            policy = urgency_admission.UrgencyAdmission(
                fleet_view, fleet_watcher.unserved
            )
        else:
            policy = slot_admission.SlotAdmission()
        self._context = context.ForwardingContext(
            dialect,
            fleet_view,
            fleet_watcher,
            choice.Chooser(
                settings.data_centre,
                fleet_view,
                self._evidence,
                rng,
                selection_policy,
                policy,
            ),
            self._evidence,
            self._pool,
            quota.RetryQuota(settings.retries),
            counters,
            rng,
            self._costs,
            policy,
        )
        self._exchanges: set[exchange.Exchange] = set()
        self._context.bodies.set_account(budgets.memory.open_account(''))
        self._dialect = dialect
        self._server = server.CallerServer(
            self._serve, self._get_limits, budgets, self._find_customer
        )
        self._health_server = http_server.HttpServer(
            self._serve_health,
            MAX_HEALTH_BODY_BYTES,
            budgets=budgets,
            listener='health',
        )

    def _build_policy(
        self,
        fleet_watcher: watcher.Watcher,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> policy.SelectionPolicy | None:
        """Return the policy of the settings; None to select by load."""
        selection = self._settings.scheduling.selection
        if selection == 'load':
            return None
        reported = backlog.ReportedBacklog(self._view)
        is_by_cost = selection == 'cost'
        self._costs = costs = tracking.RequestCosts(
            reported, counters, changes_admission=is_by_cost
        )
        counters.set_gauge('backlog_own_ms', lambda: reported.total_own_ms)
        if not is_by_cost:
            # What is reported, and thus what frames tell, stays as by load.
            return two_choices.TwoChoicesPolicy(
                self._settings.data_centre,
                self._evidence.loads,
                costs.speeds,
                rng,
            )
        fleet_watcher.read_work = reported.take_report
        counters.set_gauge(
            'backlog_all_ms',
            lambda: sum(self._view.remaining_work_ms.values()),
        )
        return policy.CostPolicy(
            self._settings.data_centre,
            self._evidence.loads,
            reported,
            costs.speeds,
            rng,
        )

    @property
    def shared(self) -> context.ForwardingContext:
        """State that all requests share."""
        return self._context

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

    def _find_customer(self, headers: httputil.HTTPHeaders) -> str:
        """Return the name of a refused caller's customer, if known."""
        index = self._view.index
        key = headers.get(self._dialect.key, '')
        if index is None or not key:
            return ''
        customer = index.find_customer(key)
        return customer.name if customer is not None else ''

    async def _serve(self, request: server.CallerRequest) -> None:
        served = exchange.Exchange(self._context, request)
        self._exchanges.add(served)
        try:
            await served.run()
        finally:
            self._exchanges.discard(served)

    def _serve_health(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Respond with 200, or with 503 and why callers aren't accepted."""
        if request.path != '/readyz':
            return http_server.Response(404)
        if request.method not in ('GET', 'HEAD'):
            return http_server.Response(405)
        obstacle = self.find_obstacle()
        return http_server.Response(
            503 if obstacle else 200,
            (obstacle or 'ready').encode(),
            content_type='text/plain',
        )

    async def start(self) -> None:
        """Start accepting callers.

        :raises OSError: the server can't listen on an address.
        """
        listen = self._settings.listen
        assert listen.callers is not None
        self._server.listen(listen.callers)
        if listen.health is not None:
            await self._health_server.listen(listen.health)
        self._tasks.keep_running(
            'entry.detect_stalls',
            self._evidence.stall_detector.run,
            self._counters,
        )

    async def drain(self) -> None:
        """Finish the requests in flight, within the grace period.

        Those that remain at its end get a response that says so.
        """
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
        if self._exchanges:
            for served in self._exchanges:
                served.end()
            await asyncio.sleep(FINAL_RESPONSES_MS / 1000)

    async def close(self) -> None:
        """Stop without waiting for requests in flight."""
        self._server.stop()
        self._health_server.stop()
        await self._tasks.close()
        await self._evidence.close()
        self._pool.close()
