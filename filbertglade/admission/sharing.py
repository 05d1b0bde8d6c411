"""Sharing of one target's slots among its customers."""

import dataclasses
import math

from filbertglade.admission import rates
from filbertglade.configuration import model

MIN_RATE_PER_S = 0.001
# Slots are divided among the customers above this rate, which a single
# request exceeds for a few seconds.
ACTIVE_RATE_PER_S = 0.05
GREEDY_FACTOR = 2.0
RESERVE_DEVIATIONS = 4


class CustomerUsage:
    """A customer's arrival rate and running requests at a target."""

    __slots__ = ('weight', 'running', 'arrivals')

    def __init__(self) -> None:
        self.weight = 1.0
        self.running = 0
        self.arrivals = rates.DecayingRate()


@dataclasses.dataclass(slots=True)
class SlotAllocation:
    """How many requests may run, in total and by customer.

    A greedy customer is one that demands far more than its share.

    :param limit: limit of the running requests of all customers.
    :param slots_per_weight: a customer's share in slots, per unit of weight.
    :param greedy_limit: the same limit for the requests of a greedy customer
        beyond its share.
    :param hold_ms: average time for which a request holds its slot.
    """

    limit: int
    slots_per_weight: float
    greedy_limit: float
    hold_ms: float

    def compute_share(self, weight: float) -> float:
        """Return a customer's share in slots.

        :param weight: the customer's weight.
        """
        return max(1.0, self.slots_per_weight * weight)

    def is_greedy(self, usage: CustomerUsage) -> bool:
        """Return whether a customer demands far more than its share.

        :param usage: the customer's usage.
        """
        return self.is_far_above_share(
            estimate_demanded_slots(usage, self.hold_ms), usage.weight
        )

    def is_far_above_share(self, demanded: float, weight: float) -> bool:
        """Return whether a demand is far above the customer's share.

        :param demanded: the demanded number of slots.
        :param weight: the customer's weight.
        """
        return demanded > GREEDY_FACTOR * self.compute_share(weight)

    def is_within_share(self, usage: CustomerUsage) -> bool:
        """Return whether one more request is within a customer's share.

        :param usage: the customer's usage.
        """
        return usage.running + 1 <= self.compute_share(usage.weight)


class CustomerUsageTable:
    """Usage of one target by customer."""

    def __init__(self) -> None:
        self._usages: dict[str, CustomerUsage] = {}

    def get_or_create(self, customer: str) -> CustomerUsage:
        """Return a customer's usage; create it if there is none.

        :param customer: its name.
        """
        usage = self._usages.get(customer)
        if usage is None:
            usage = self._usages[customer] = CustomerUsage()
        return usage

    def note_arrival(self, customer: model.Customer) -> None:
        """Record the arrival of a request, admitted or not.

        :param customer: the customer that sent it.
        """
        usage = self.get_or_create(customer.name)
        usage.weight = customer.weight
        usage.arrivals.add()

    def read_rates(self) -> dict[str, float]:
        """Return the arrivals per second by customer name."""
        return {
            name: usage.arrivals.read() for name, usage in self._usages.items()
        }

    def compute_allocation(
        self, limit: int, slots: float, hold_ms: float
    ) -> SlotAllocation:
        """Return how many requests may run now.

        Requests of greedy customers beyond their share leave enough slots
        free for the usual concurrency of the other customers and its usual
        variation.

        :param limit: how many requests may run concurrently.
        :param slots: number of slots to share.
        :param hold_ms: average time for which a request holds its slot.
        """
        min_active_slots = ACTIVE_RATE_PER_S * hold_ms / 1000
        active = [
            (usage, demanded)
            for usage in self._usages.values()
            if (demanded := estimate_demanded_slots(usage, hold_ms))
            > min_active_slots
            or usage.running
        ]
        weights = sum(usage.weight for usage, _ in active)
        allocation = SlotAllocation(
            limit, slots / (weights or 1.0), float(limit), hold_ms
        )
        running, expected = 0, 0.0
        for usage, demanded in active:
            if not allocation.is_far_above_share(demanded, usage.weight):
                running += usage.running
                expected += demanded
        expected = max(running, expected)
        if expected:
            reserve = RESERVE_DEVIATIONS * math.sqrt(expected)
            allocation.greedy_limit = slots - reserve - (expected - running)
        return allocation

    def forget_idle(self) -> None:
        """Drop customers without running or recent requests."""
        for name, usage in list(self._usages.items()):
            if not usage.running and usage.arrivals.read() < MIN_RATE_PER_S:
                del self._usages[name]


def estimate_demanded_slots(usage: CustomerUsage, hold_ms: float) -> float:
    """Return how many slots a customer's requests would hold if all ran.

    :param usage: the customer's usage.
    :param hold_ms: average time for which a request holds its slot.
    """
    return usage.arrivals.read() * hold_ms / 1000
