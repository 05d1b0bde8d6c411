"""State that all requests of a node share."""

import copy
import random

from filbertglade import clock
from filbertglade.costs import tracking
from filbertglade.fleet import certainty
from filbertglade.fleet import dialects
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.forwarding import admission_policy
from filbertglade.forwarding import body_budget
from filbertglade.forwarding import caller_retries
from filbertglade.forwarding import choice
from filbertglade.forwarding import evidence
from filbertglade.forwarding import quota
from filbertglade.forwarding import slot_admission
from filbertglade.forwarding import upstream
from filbertglade.observability import metrics

# Minimum remaining time before the deadline for sending a request, in ms: no
# endpoint responds faster.
MIN_REMAINING_MS = 30
# Time after a process's start in which it may have its first document at any
# moment, in ms: control hosts that start with it elect a leader meanwhile.
STARTUP_MS = 3000
# How long a process accepts requests after its shutdown has begun, in ms. Load
# balancers stop sending new ones after two health checks, and responses that
# begin later may not end within the grace period.
SHUTDOWN_ACCEPT_MS = 2600


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
    :param costs: costs of requests; None if they are selected by load.
    :param policy: the chooser's admission policy; by free slots if None.
    :ivar certainty: whether the document in force may be out of date.
    :ivar bodies: the response bodies that are kept in memory.
    :ivar deadlines: the deadlines that callers of each route send.
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
        costs: tracking.RequestCosts | None = None,
        policy: admission_policy.AdmissionPolicy | None = None,
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
        self.costs = costs
        self.admission = policy or slot_admission.SlotAdmission()
        self.certainty = certainty.DocumentCertainty(fleet_view)
        self.bodies = body_budget.BodyBudget()
        counters.set_gauge(
            'held_response_bytes', lambda: self.bodies.held_bytes
        )
        self.deadlines = caller_retries.DeadlineTracker()
        self.started_ms = clock.now_ms()
        self.stopping_since_ms: int | None = None

    def copy_state(self) -> 'ForwardingContext':
        """Return a copy with which requests can be tried without sending them.

        It decides as this one would decide now, with the same random numbers.
        What it counts, takes and draws is not counted, taken or drawn here.
        Nothing may be sent with it.
        """
        other = copy.copy(self)
        other.rng = random.Random()
        other.rng.setstate(self.rng.getstate())
        other.view = self.view.copy_state()
        other.counters = metrics.Metrics()
        other.evidence = self.evidence.copy_state(other.view, other.rng)
        other.admission = self.admission.copy_state()
        other.chooser = self.chooser.copy_state(
            other.view, other.evidence, other.admission, other.rng
        )
        other.deadlines = self.deadlines.copy_state()
        return other

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
