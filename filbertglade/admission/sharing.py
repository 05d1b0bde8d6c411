"""How the slots of one target are shared among its customers."""

import dataclasses
import math

from filbertglade.admission import rates
from filbertglade.configuration import model

LEAST_RATE = 0.001
# A customer with a request in the last few seconds claims its share.
ACTIVE_RATE = 0.05
GREEDY_FACTOR = 2.0
SPARE_DEVIATIONS = 4


class CustomerUse:
    """What one customer asks of a target, and has running there."""

    __slots__ = ('weight', 'running', 'arrivals')

    def __init__(self) -> None:
        self.weight = 1.0
        self.running = 0
        self.arrivals = rates.Rate()


@dataclasses.dataclass(slots=True)
class Room:
    """How many requests may run.

    :param limit: of all customers.
    :param share_by_weight: slots that are a customer's share, by its weight.
    :param unspared: of all, for a greedy customer beyond its share.
    :param hold_ms: how long a request usually holds its slot.
    """

    limit: int
    share_by_weight: float
    unspared: float
    hold_ms: float

    def read_share(self, weight: float) -> float:
        """Return how many slots are a customer's share.

        :param weight: its weight.
        """
        return max(1.0, self.share_by_weight * weight)

    def is_greedy(self, use: CustomerUse) -> bool:
        """Return whether a customer asks for far more than its share.

        :param use: what it asks for.
        """
        return self.exceeds_share(read_asked(use, self.hold_ms), use.weight)

    def exceeds_share(self, asked: float, weight: float) -> bool:
        """Return whether so many slots are far more than a share.

        :param asked: how many slots.
        :param weight: the weight of the customer that asks for them.
        """
        return asked > GREEDY_FACTOR * self.read_share(weight)

    def is_within(self, use: CustomerUse) -> bool:
        """Return whether one more request is within a customer's share.

        :param use: what it has running.
        """
        return use.running + 1 <= self.read_share(use.weight)


class CustomerUses:
    """What each customer asks of one target, and has running there."""

    def __init__(self) -> None:
        self._uses: dict[str, CustomerUse] = {}

    def open(self, customer: str) -> CustomerUse:
        """Return a customer's use, a new one if there is none.

        :param customer: its name.
        """
        use = self._uses.get(customer)
        if use is None:
            use = self._uses[customer] = CustomerUse()
        return use

    def note_arrival(self, customer: model.Customer) -> None:
        """Note a request, whatever becomes of it.

        :param customer: who sent it.
        """
        use = self.open(customer.name)
        use.weight = customer.weight
        use.arrivals.add()

    def read_rates(self) -> dict[str, float]:
        """Return arrivals a second by customer's name."""
        return {name: use.arrivals.read() for name, use in self._uses.items()}

    def read_room(self, limit: int, slots: float, hold_ms: float) -> Room:
        """Return the room there is now.

        Beside a greedy customer, what the others usually have running and
        its usual swing stay free of requests beyond that customer's share.

        :param limit: how many requests may run.
        :param slots: slots to share.
        :param hold_ms: how long a request usually holds its slot.
        """
        least = ACTIVE_RATE * hold_ms / 1000
        active = [
            (use, asked)
            for use in self._uses.values()
            if (asked := read_asked(use, hold_ms)) > least or use.running
        ]
        weights = sum(use.weight for use, _ in active)
        room = Room(limit, slots / (weights or 1.0), float(limit), hold_ms)
        running, expected = 0, 0.0
        for use, asked in active:
            if not room.exceeds_share(asked, use.weight):
                running += use.running
                expected += asked
        expected = max(running, expected)
        if expected:
            spare = SPARE_DEVIATIONS * math.sqrt(expected)
            room.unspared = slots - spare - (expected - running)
        return room

    def forget_idle(self) -> None:
        """Drop customers whose demand has faded."""
        for name, use in list(self._uses.items()):
            if not use.running and use.arrivals.read() < LEAST_RATE:
                del self._uses[name]


def read_asked(use: CustomerUse, hold_ms: float) -> float:
    """Return how many slots a customer's requests would hold if all ran.

    :param use: what it asks for.
    :param hold_ms: how long a request usually holds its slot.
    """
    return use.arrivals.read() * hold_ms / 1000
