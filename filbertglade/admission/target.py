"""Requests of one deployment or service: those that run and that wait."""

import math

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
SPARE_DEVIATIONS = 2


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
        self._running_by_customer: dict[str, int] = {}
        self._weights: dict[str, float] = {}
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

    def has_room(self, ticket: tickets.Ticket) -> bool:
        """Return whether a request may run now.

        A customer beyond its share leaves some slots free for the bursts of
        those within theirs.

        :param ticket: the request.
        """
        limit = self.capacity.read_limit()
        if limit is None:
            return True
        if self.running >= limit:
            return False
        if self.is_within_share(ticket):
            return True
        return self.running < self.capacity.read_slots() - self._find_spare()

    def find_eligible(self) -> list[fairness.Flow]:
        """Return the waiting customers whose next request may run now."""
        return [
            flow
            for flow in self.queue.list_flows()
            if self.has_room(flow.waiters[0].ticket)
        ]

    def is_within_share(self, ticket: tickets.Ticket) -> bool:
        """Return whether one more request is within its customer's share.

        :param ticket: the request.
        """
        limit = self.capacity.read_limit()
        if limit is None:
            return True
        customer = ticket.customer
        running = self._running_by_customer.get(customer.name, 0)
        weights = self._read_weights()
        weights[customer.name] = customer.weight
        share = limit * customer.weight / sum(weights.values())
        return running < max(1.0, share)

    def note_started(self, ticket: tickets.Ticket) -> None:
        """Note that a request got its permit.

        :param ticket: the request.
        """
        customer = ticket.customer
        self.running += 1
        running = self._running_by_customer.get(customer.name, 0)
        self._running_by_customer[customer.name] = running + 1
        self._weights[customer.name] = customer.weight

    def note_released(self, permit: permits.Permit, held_ms: float) -> None:
        """Note that a request ended.

        :param permit: its permit.
        :param held_ms: how long it was held.
        """
        self.running -= 1
        name = permit.ticket.customer.name
        self._running_by_customer[name] -= 1
        if not self._running_by_customer[name]:
            del self._running_by_customer[name]
            del self._weights[name]
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

    def _read_weights(self) -> dict[str, float]:
        """Return the weights of the customers that run or wait."""
        weights = dict(self._weights)
        for flow in self.queue.list_flows():
            weights[flow.customer] = flow.weight
        return weights

    def _find_spare(self) -> float:
        """Return slots kept for the bursts of customers within their share.

        It is the usual swing of as many independent requests as those have.
        """
        limit = self.capacity.read_limit() or 0
        total_weight = sum(self._read_weights().values())
        within = 0
        for name, running in self._running_by_customer.items():
            if running < limit * self._weights[name] / total_weight:
                within += running
        return SPARE_DEVIATIONS * math.sqrt(within)
