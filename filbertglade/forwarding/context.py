"""What all requests of a node share."""

import random

from filbertglade import clock
from filbertglade.fleet import dialects
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.forwarding import choice
from filbertglade.forwarding import quota
from filbertglade.forwarding import stall_detection
from filbertglade.forwarding import upstream
from filbertglade.observability import metrics

# Part of a route's longest deadline below which a caller was sent away before.
RETURNED_DEADLINE_SHARE = 0.95
# How long a process that is to end takes requests, in ms: balancers send new
# ones elsewhere after two looks, and answers that begin later may not end
# within the grace.
SHUTDOWN_ACCEPT_MS = 2600


class DeadlineBook:
    """The longest deadline that callers of each route have named.

    A caller that comes back has less time left than at first.
    """

    def __init__(self) -> None:
        self._longest_ms: dict[str, int] = {}

    def is_short(self, route: str, deadline_ms: int) -> bool:
        """Note a deadline; tell whether it is shorter than others.

        :param route: the route's name.
        :param deadline_ms: what the caller named.
        """
        longest_ms = max(self._longest_ms.get(route, 0), deadline_ms)
        self._longest_ms[route] = longest_ms
        return deadline_ms < RETURNED_DEADLINE_SHARE * longest_ms


class ForwardingContext:
    """What all requests of a node share.

    :param dialect: names of headers.
    :param seen: the node's view.
    :param leader: the stream to the leader.
    :param chooser: chooses targets.
    :param loads: requests in flight.
    :param faults: targets at fault.
    :param progress: watches the replicas' progress.
    :param pool: connections to endpoints.
    :param retries: the node's part of the retries.
    :param counters: the process's metrics.
    :param rng: the process's random numbers.
    :ivar deadlines: the longest deadline of each route.
    :ivar stopping_since_ms: local clock since when the process is to end;
        None if it isn't.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        seen: view.FleetView,
        leader: watcher.Watcher,
        chooser: choice.Chooser,
        loads: choice.LoadTracker,
        faults: choice.FaultTracker,
        progress: stall_detection.StallDetector,
        pool: upstream.UpstreamPool,
        retries: quota.RetryQuota,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self.dialect = dialect
        self.view = seen
        self.leader = leader
        self.chooser = chooser
        self.loads = loads
        self.faults = faults
        self.progress = progress
        self.pool = pool
        self.retries = retries
        self.counters = counters
        self.rng = rng
        self.deadlines = DeadlineBook()
        self.stopping_since_ms: int | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether the process is to end."""
        return self.stopping_since_ms is not None

    @property
    def is_closed(self) -> bool:
        """Whether no request that arrives now is taken any more."""
        since_ms = self.stopping_since_ms
        return (
            since_ms is not None
            and clock.now_ms() - since_ms > SHUTDOWN_ACCEPT_MS
        )
