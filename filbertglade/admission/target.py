"""Running and waiting requests of one deployment or service."""

from filbertglade.admission import admission_requests
from filbertglade.admission import capacity
from filbertglade.admission import fairness
from filbertglade.admission import limits
from filbertglade.admission import permits
from filbertglade.admission import rates
from filbertglade.admission import sharing
from filbertglade import clock
from filbertglade.membership import view

INITIAL_HOLD_MS = 1000.0
INITIAL_FIRST_TOKEN_MS = 0.0
FIRST_TOKEN_DEVIATIONS = 2


class Target:
    """This node's admission state of one deployment or service."""

    def __init__(
        self,
        fleet: view.FleetView,
        customers: limits.CustomerLimits,
        request: admission_requests.AdmissionRequest,
    ) -> None:
        self.queue = fairness.FairQueue()
        self._usages = sharing.CustomerUsageTable()
        self.capacity = capacity.Capacity(
            fleet, customers, request, self._usages
        )
        self.running = 0
        self.last_turn = 0
        self.last_used_ms = clock.now_ms()
        self._hold_time = rates.SmoothedDuration(INITIAL_HOLD_MS)
        self._first_token = rates.SmoothedDuration(INITIAL_FIRST_TOKEN_MS)

    @property
    def first_token_ms(self) -> float:
        """Time from permit to first token, which few requests exceed."""
        first = self._first_token
        return first.value_ms + FIRST_TOKEN_DEVIATIONS * first.deviation_ms

    @property
    def hold_ms(self) -> float:
        """Average time for which a request holds its permit."""
        return self._hold_time.value_ms

    def note_arrival(
        self, request: admission_requests.AdmissionRequest
    ) -> None:
        """Record the arrival of a request, admitted or not.

        :param request: the request.
        """
        self._usages.note_arrival(request.customer)

    def can_start(self, request: admission_requests.AdmissionRequest) -> bool:
        """Return whether a request may start now.

        Requests of a greedy customer beyond its share leave some slots free
        for bursts of the other customers.

        :param request: the request.
        """
        allocation = self._compute_allocation()
        return allocation is None or self._may_start(
            allocation, request.customer.name
        )

    def find_eligible(self) -> list[fairness.Flow]:
        """Return the backlogged flows whose next request may start now."""
        flows = self.queue.list_backlogged_flows()
        if not flows:
            return []
        allocation = self._compute_allocation()
        if allocation is None:
            return flows
        if self.running >= allocation.limit:
            return []
        return [
            flow
            for flow in flows
            if self._may_start(allocation, flow.customer)
        ]

    def is_greedy(self, request: admission_requests.AdmissionRequest) -> bool:
        """Return whether a request's customer demands far more than its share.

        :param request: the request.
        """
        allocation = self._compute_allocation()
        if allocation is None:
            return False
        return allocation.is_greedy(
            self._usages.get_or_create(request.customer.name)
        )

    def note_started(
        self, request: admission_requests.AdmissionRequest
    ) -> None:
        """Record that a request received its permit.

        :param request: the request.
        """
        self.running += 1
        self._usages.get_or_create(request.customer.name).running += 1

    def note_released(self, permit: permits.Permit, held_ms: float) -> None:
        """Record that a request ended.

        :param permit: its permit.
        :param held_ms: time for which it was held.
        """
        self.running -= 1
        self._usages.get_or_create(permit.request.customer.name).running -= 1
        self._hold_time.add(held_ms)
        first_token_ms = permit.usage.first_token_ms
        if first_token_ms is not None:
            self._first_token.add(first_token_ms)

    def forget_idle(self) -> None:
        """Drop the state of idle customers."""
        self.queue.forget_idle()
        self._usages.forget_idle()

    def estimate_wait_ms(
        self, request: admission_requests.AdmissionRequest, own_ahead: int
    ) -> float:
        """Estimate how long a request would wait for its permit.

        :param request: the request.
        :param own_ahead: how many of its customer's requests wait ahead of it.
        """
        limit = self.capacity.read_limit()
        if limit is None:
            return 0.0
        customer = request.customer
        ahead = self.queue.count_ahead(
            customer.name, customer.weight, own_ahead
        )
        turns = ahead + 1 + self.running - limit
        return max(0.0, turns) * self._hold_time.value_ms / limit

    def _compute_allocation(self) -> sharing.SlotAllocation | None:
        """Return the current allocation; None without reported slots."""
        limit = self.capacity.read_limit()
        if limit is None:
            return None
        slots = self.capacity.read_node_slots()
        return self._usages.compute_allocation(limit, slots, self.hold_ms)

    def _may_start(
        self, allocation: sharing.SlotAllocation, customer: str
    ) -> bool:
        if self.running >= allocation.limit:
            return False
        usage = self._usages.get_or_create(customer)
        if allocation.is_within_share(usage) or not allocation.is_greedy(
            usage
        ):
            return True
        return self.running < allocation.greedy_limit
