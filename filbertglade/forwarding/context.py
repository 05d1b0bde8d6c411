"""State that all requests of a node share."""

import random

from filbertglade import clock
from filbertglade.fleet import certainty
from filbertglade.fleet import dialects
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.forwarding import body_budget
from filbertglade.forwarding import choice
from filbertglade.forwarding import evidence
from filbertglade.forwarding import quota
from filbertglade.forwarding import upstream
from filbertglade.observability import metrics

# Minimum remaining time before the deadline for sending a request, in ms: no
# endpoint responds faster.
MIN_REMAINING_MS = 30
# Fraction of a route's longest deadline below which a request counts as a
# caller's retry after a refusal.
RETRY_DEADLINE_FRACTION = 0.95
# Time after a process's start in which it may have its first document at any
# moment, in ms: control hosts that start with it elect a leader meanwhile.
STARTUP_MS = 3000
# How long a process accepts requests after its shutdown has begun, in ms. Load
# balancers stop sending new ones after two health checks, and responses that
# begin later may not end within the grace period.
SHUTDOWN_ACCEPT_MS = 2600


class DeadlineTracker:
    """Tracks the longest deadline that callers of each route have sent.

    A caller that retries a request has less time left than at first, so a
    shorter deadline marks a retry.
    """

    def __init__(self) -> None:
        self._longest_ms: dict[str, int] = {}

    def is_short(self, route: str, deadline_ms: int) -> bool:
        """Record a deadline; return whether it is shorter than usual.

        :param route: the route's name.
        :param deadline_ms: the deadline that the caller sent, in ms from now.
        :returns: whether it is below :data:`RETRY_DEADLINE_FRACTION` of the
            longest one.
        """
        longest_ms = max(self._longest_ms.get(route, 0), deadline_ms)
        self._longest_ms[route] = longest_ms
        return deadline_ms < RETRY_DEADLINE_FRACTION * longest_ms


class ForwardingContext:
    """State that all requests of a node share.

    :param dialect: the header names in use.
    :param fleet_view: the node's view.
    :param leader: the stream to the leader.
    :param chooser: chooses targets.
    :param endpoint_evidence: what endpoints have said and shown.
    :param pool: connections to endpoints.
    :param retries: the node's part of the retry quota.
    :param counters: the process's metrics.
    :param rng: the process's random number generator.
    :ivar certainty: whether the document in force may be out of date.
    :ivar bodies: the response bodies that are kept in memory.
    :ivar deadlines: the longest deadline of each route.
    :ivar started_ms: local clock when the process began to accept requests.
    :ivar stopping_since_ms: local clock when the shutdown began; None before.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        fleet_view: view.FleetView,
        leader: watcher.Watcher,
        chooser: choice.Chooser,
        endpoint_evidence: evidence.EndpointEvidence,
        pool: upstream.UpstreamPool,
        retries: quota.RetryQuota,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self.dialect = dialect
        self.view = fleet_view
        self.leader = leader
        self.chooser = chooser
        self.evidence = endpoint_evidence
        self.pool = pool
        self.retries = retries
        self.counters = counters
        self.rng = rng
        self.certainty = certainty.DocumentCertainty(fleet_view)
        self.bodies = body_budget.BodyBudget()
        counters.set_gauge(
            'held_response_bytes', lambda: self.bodies.held_bytes
        )
        self.deadlines = DeadlineTracker()
        self.started_ms = clock.now_ms()
        self.stopping_since_ms: int | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether the process is shutting down."""
        return self.stopping_since_ms is not None

    @property
    def is_starting(self) -> bool:
        """Whether the process has started a short time ago."""
        return clock.now_ms() - self.started_ms < STARTUP_MS

    @property
    def is_refusing_requests(self) -> bool:
        """Whether requests that arrive now are refused."""
        since_ms = self.stopping_since_ms
        return (
            since_ms is not None
            and clock.now_ms() - since_ms > SHUTDOWN_ACCEPT_MS
        )
