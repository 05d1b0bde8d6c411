"""Requests of one deployment or service: those that run and that wait."""

import dataclasses
import math

from filbertglade.admission import capacity
from filbertglade.admission import fairness
from filbertglade.admission import limits
from filbertglade.admission import permits
from filbertglade.admission import rates
from filbertglade.admission import tickets
from filbertglade import clock
from filbertglade.configuration import model
from filbertglade.membership import view

FIRST_HOLD_MS = 1000.0
FIRST_TOKEN_MS = 0.0
DEVIATIONS = 2
SPARE_DEVIATIONS = 4


@dataclasses.dataclass(slots=True)
class Room:
    """How many requests may run.

    :param limit: of all customers.
    :param limit_by_weight: a customer's share of it, by its weight.
    :param unspared: of all, for a customer beyond its share.
    """

    limit: int
    limit_by_weight: float
    unspared: float


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
        room = self._read_room(ticket.customer)
        return room is None or self._fits(room, ticket.customer)

    def find_eligible(self) -> list[fairness.Flow]:
        """Return the waiting customers whose next request may run now."""
        flows = self.queue.list_flows()
        if not flows:
            return []
        room = self._read_room(None)
        if room is None:
            return flows
        if self.running >= room.limit:
            return []
        return [
            flow
            for flow in flows
            if self._fits(room, flow.waiters[0].ticket.customer)
        ]

    def is_within_share(self, ticket: tickets.Ticket) -> bool:
        """Return whether one more request is within its customer's share.

        :param ticket: the request.
        """
        room = self._read_room(ticket.customer)
        return room is None or self._is_within(room, ticket.customer)

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

    def _read_room(self, customer: model.Customer | None) -> Room | None:
        """Return the room there is now; None if it is not known.

        :param customer: one that counts besides those that run or wait.
        """
        limit = self.capacity.read_limit()
        if limit is None:
            return None
        weights = dict(self._weights)
        for flow in self.queue.list_flows():
            weights[flow.customer] = flow.weight
        if customer is not None:
            weights[customer.name] = customer.weight
        limit_by_weight = limit / sum(weights.values())
        spare = self._find_spare(limit_by_weight)
        unspared = self.capacity.read_slots() - spare
        return Room(limit, limit_by_weight, unspared)

    def _fits(self, room: Room, customer: model.Customer) -> bool:
        if self.running >= room.limit:
            return False
        if self._is_within(room, customer):
            return True
        return self.running < room.unspared

    def _is_within(self, room: Room, customer: model.Customer) -> bool:
        running = self._running_by_customer.get(customer.name, 0)
        return running < max(1.0, room.limit_by_weight * customer.weight)

    def _find_spare(self, limit_by_weight: float) -> float:
        """Return slots kept for the bursts of customers within their share.

        It is the usual swing of as many independent requests as those have.
        """
        within = 0
        for name, running in self._running_by_customer.items():
            if running < limit_by_weight * self._weights[name]:
                within += running
        return SPARE_DEVIATIONS * math.sqrt(within)
