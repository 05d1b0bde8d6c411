"""How many requests of a deployment or service this node may run."""

import math
import statistics

from filbertglade.admission import admission_requests
from filbertglade.admission import limits
from filbertglade.admission import sharing
from filbertglade import clock
from filbertglade.inner import membership_pb2
from filbertglade.membership import view

REFRESH_INTERVAL_MS = 100
ADJUST_INTERVAL_MS = 250
ADJUST_STEP_FRACTION = 0.03
MIN_LIMIT_FACTOR = 0.9
MAX_LIMIT_FACTOR = 2.0
INITIAL_LIMIT_FACTOR = 1.1
LOW_QUEUED_MS = 250
HIGH_QUEUED_MS = 500


class Capacity:
    """This node's fraction of the slots that a target's endpoints report.

    The fraction follows from the customers' demand on this node. The number
    of concurrent requests is limited to the node's slots times a limit
    factor, which adapts slowly: it rises while requests wait on this node and
    endpoint queues are short, and falls while endpoint queues are long.
    """

    def __init__(
        self,
        fleet: view.FleetView,
        customers: limits.CustomerLimits,
        request: admission_requests.AdmissionRequest,
        usages: sharing.CustomerUsageTable,
    ) -> None:
        self._fleet = fleet
        self._customers = customers
        self._target = request.target
        self._is_service = request.is_service
        self._usages = usages
        self._slots = 0.0
        self._queued = 0
        self._refreshed_ms: int | None = None
        self._adjusted_ms = clock.now_ms()
        self._limit_factor = INITIAL_LIMIT_FACTOR

    def read_limit(self) -> int | None:
        """Return how many requests of this node may run concurrently.

        :returns: the number; None if no endpoint has reported slots.
        """
        self._refresh_slots()
        if not self._slots:
            return None
        return max(1, math.ceil(self.read_node_slots() * self._limit_factor))

    def read_node_slots(self) -> float:
        """Return this node's slots, regardless of the limit factor."""
        self._refresh_slots()
        return self._slots * self._estimate_node_fraction()

    def adjust(self, is_waiting: bool, hold_ms: float) -> None:
        """Adapt the limit factor to the length of the endpoints' queues.

        :param is_waiting: whether requests wait on this node.
        :param hold_ms: average time for which a request holds its slot.
        """
        now_ms = clock.now_ms()
        if now_ms - self._adjusted_ms < ADJUST_INTERVAL_MS:
            return
        self._adjusted_ms = now_ms
        self._refresh_slots()
        queued_ms = self._queued * hold_ms / max(1.0, self._slots)
        if queued_ms > HIGH_QUEUED_MS:
            self._limit_factor = max(
                MIN_LIMIT_FACTOR,
                self._limit_factor * (1 - ADJUST_STEP_FRACTION),
            )
        elif is_waiting and queued_ms < LOW_QUEUED_MS:
            self._limit_factor = min(
                MAX_LIMIT_FACTOR,
                self._limit_factor * (1 + ADJUST_STEP_FRACTION),
            )

    def _refresh_slots(self) -> None:
        now_ms = clock.now_ms()
        if (
            self._refreshed_ms is not None
            and now_ms - self._refreshed_ms < REFRESH_INTERVAL_MS
        ):
            return
        self._refreshed_ms = now_ms
        if self._is_service:
            workers = self._fleet.list_workers(self._target)
            loads = [seen.line.load for seen in workers]
        else:
            groups = self._fleet.list_groups(self._target)
            loads = [seen.line.load for seen in groups]
        self._slots = _count_slots(loads)
        self._queued = sum(load.queued for load in loads)

    def _estimate_node_fraction(self) -> float:
        own = total = 0.0
        for customer, demand in self._usages.read_rates().items():
            own += demand
            total += demand / max(
                0.001, self._customers.read_node_fraction(customer)
            )
        return own / total if total else 1.0


def _count_slots(loads: list[membership_pb2.Load]) -> float:
    """Return the endpoints' slots, each weighted by its relative speed.

    The speed is relative to the median and counts as 1 at most.
    """
    times_us = [load.between_tokens_us for load in loads]
    median_us = statistics.median(times_us) if times_us else 0
    if not median_us:
        return float(sum(load.slots for load in loads))
    return sum(
        load.slots * min(1.0, median_us / max(1, load.between_tokens_us))
        for load in loads
    )
