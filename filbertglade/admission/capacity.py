"""How many requests of a deployment or service this node may run."""

import math
import statistics

from filbertglade.admission import admission_requests
from filbertglade.admission import limits
from filbertglade.admission import sharing
from filbertglade import clock
from filbertglade.inner import membership_pb2
from filbertglade.membership import view

READ_MS = 100
PACE_MS = 250
PACE_STEP = 0.03
LEAST_PACE = 0.9
MOST_PACE = 2.0
FIRST_PACE = 1.1
LEAST_QUEUED_MS = 250
MOST_QUEUED_MS = 500


class Capacity:
    """This node's part of the slots that endpoints report.

    The part follows the demand of the customers that call the target here.
    A pace corrects it slowly by what endpoints report to be queued: it rises
    while requests wait here and few there, and falls while many wait there.
    """

    def __init__(
        self,
        fleet: view.FleetView,
        customers: limits.CustomerLimits,
        request: admission_requests.AdmissionRequest,
        uses: sharing.CustomerUses,
    ) -> None:
        self._fleet = fleet
        self._customers = customers
        self._target = request.target
        self._is_service = request.is_service
        self._uses = uses
        self._slots = 0.0
        self._queued = 0
        self._read_ms: int | None = None
        self._paced_ms = clock.now_ms()
        self._pace = FIRST_PACE

    def read_limit(self) -> int | None:
        """Return how many requests may run from here.

        :returns: the number; None if nothing is known of the endpoints.
        """
        self._read_fleet()
        if not self._slots:
            return None
        return max(1, math.ceil(self.read_slots() * self._pace))

    def read_slots(self) -> float:
        """Return this node's part of the slots, however much is queued."""
        self._read_fleet()
        return self._slots * self._find_share()

    def adjust(self, is_waiting: bool, hold_ms: float) -> None:
        """Adjust the pace to the wait that endpoints report.

        :param is_waiting: whether requests wait here.
        :param hold_ms: how long a request usually holds a slot.
        """
        now_ms = clock.now_ms()
        if now_ms - self._paced_ms < PACE_MS:
            return
        self._paced_ms = now_ms
        self._read_fleet()
        queued_ms = self._queued * hold_ms / max(1.0, self._slots)
        if queued_ms > MOST_QUEUED_MS:
            self._pace = max(LEAST_PACE, self._pace * (1 - PACE_STEP))
        elif is_waiting and queued_ms < LEAST_QUEUED_MS:
            self._pace = min(MOST_PACE, self._pace * (1 + PACE_STEP))

    def _read_fleet(self) -> None:
        now_ms = clock.now_ms()
        if self._read_ms is not None and now_ms - self._read_ms < READ_MS:
            return
        self._read_ms = now_ms
        if self._is_service:
            workers = self._fleet.list_workers(self._target)
            loads = [seen.line.load for seen in workers]
        else:
            groups = self._fleet.list_groups(self._target)
            loads = [seen.line.load for seen in groups]
        self._slots = _count_slots(loads)
        self._queued = sum(load.queued for load in loads)

    def _find_share(self) -> float:
        own = total = 0.0
        for customer, demand in self._uses.read_rates().items():
            own += demand
            total += demand / max(0.001, self._customers.read_share(customer))
        return own / total if total else 1.0


def _count_slots(loads: list[membership_pb2.Load]) -> float:
    """Return how many slots of usual speed the endpoints have."""
    times = [load.between_tokens_us for load in loads]
    usual_us = statistics.median(times) if times else 0
    if not usual_us:
        return float(sum(load.slots for load in loads))
    return sum(
        load.slots * min(1.0, usual_us / max(1, load.between_tokens_us))
        for load in loads
    )
