"""Requests of one deployment or service: those that run and that wait."""

from filbertglade.admission import capacity
from filbertglade.admission import fairness
from filbertglade.admission import limits
from filbertglade.admission import permits
from filbertglade.admission import rates
from filbertglade.admission import tickets
from filbertglade import clock
from filbertglade.membership import view

FIRST_HOLD_MS = 1000.0
FIRST_TOKEN_MS = 0.0
DEVIATIONS = 2


class Target:
    """A deployment or service as admission on this node sees it."""

    def __init__(
        self,
        fleet: view.FleetView,
        customers: limits.CustomerLimits,
        ticket: tickets.Ticket,
    ) -> None:
        self.queue = fairness.FairQueue()
        self.capacity = capacity.Capacity(fleet, customers, ticket)
        self.running = 0
        self.served = 0
        self.used_ms = clock.now_ms()
        self._hold = rates.SmoothedTime(FIRST_HOLD_MS)
        self._first_token = rates.SmoothedTime(FIRST_TOKEN_MS)

    @property
    def first_token_ms(self) -> float:
        """How long after its permit most first tokens have come."""
        first = self._first_token
        return first.value_ms + DEVIATIONS * first.deviation_ms

    @property
    def hold_ms(self) -> float:
        """How long a request usually holds its permit."""
        return self._hold.value_ms

    def has_room(self) -> bool:
        """Return whether one more request may run."""
        limit = self.capacity.read_limit()
        return limit is None or self.running < limit

    def note_released(self, permit: permits.Permit, held_ms: float) -> None:
        """Note that a request ended.

        :param permit: its permit.
        :param held_ms: how long it was held.
        """
        self.running -= 1
        self._hold.add(held_ms)
        first_token_ms = permit.usage.first_token_ms
        if first_token_ms is not None:
            self._first_token.add(first_token_ms)

    def estimate_wait_ms(self, ticket: tickets.Ticket, own: int) -> float:
        """Return how long a request would wait for its permit.

        :param ticket: the request.
        :param own: how many of its customer's requests wait before it.
        """
        limit = self.capacity.read_limit()
        if limit is None:
            return 0.0
        customer = ticket.customer
        ahead = self.queue.count_ahead(customer.name, customer.weight, own)
        turns = ahead + 1 + self.running - limit
        return max(0.0, turns) * self._hold.value_ms / limit
