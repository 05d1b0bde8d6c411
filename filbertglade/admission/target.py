"""Requests of one deployment or service: those that run and that wait."""

from filbertglade.admission import admission_requests
from filbertglade.admission import capacity
from filbertglade.admission import fairness
from filbertglade.admission import limits
from filbertglade.admission import permits
from filbertglade.admission import rates
from filbertglade.admission import sharing
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
        request: admission_requests.AdmissionRequest,
    ) -> None:
        self.queue = fairness.FairQueue()
        self._uses = sharing.CustomerUses()
        self.capacity = capacity.Capacity(
            fleet, customers, request, self._uses
        )
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

    def note_arrival(
        self, request: admission_requests.AdmissionRequest
    ) -> None:
        """Note a request, whatever becomes of it.

        :param request: the request.
        """
        self._uses.note_arrival(request.customer)

    def has_room(self, request: admission_requests.AdmissionRequest) -> bool:
        """Return whether a request may run now.

        A greedy customer beyond its share leaves some slots free for the
        bursts of the others.

        :param request: the request.
        """
        room = self._read_room()
        return room is None or self._fits(room, request.customer.name)

    def find_eligible(self) -> list[fairness.Flow]:
        """Return the waiting customers whose next request may run now."""
        flows = self.queue.list_flows()
        if not flows:
            return []
        room = self._read_room()
        if room is None:
            return flows
        if self.running >= room.limit:
            return []
        return [flow for flow in flows if self._fits(room, flow.customer)]

    def is_greedy(self, request: admission_requests.AdmissionRequest) -> bool:
        """Return whether a request's customer asks far beyond its share.

        :param request: the request.
        """
        room = self._read_room()
        if room is None:
            return False
        return room.is_greedy(self._uses.open(request.customer.name))

    def note_started(
        self, request: admission_requests.AdmissionRequest
    ) -> None:
        """Note that a request got its permit.

        :param request: the request.
        """
        self.running += 1
        self._uses.open(request.customer.name).running += 1

    def note_released(self, permit: permits.Permit, held_ms: float) -> None:
        """Note that a request ended.

        :param permit: its permit.
        :param held_ms: how long it was held.
        """
        self.running -= 1
        self._uses.open(permit.request.customer.name).running -= 1
        self._hold.add(held_ms)
        first_token_ms = permit.usage.first_token_ms
        if first_token_ms is not None:
            self._first_token.add(first_token_ms)

    def forget_idle(self) -> None:
        """Drop customers that ask for nothing any more."""
        self.queue.forget_idle()
        self._uses.forget_idle()

    def estimate_wait_ms(
        self, request: admission_requests.AdmissionRequest, own: int
    ) -> float:
        """Return how long a request would wait for its permit.

        :param request: the request.
        :param own: how many of its customer's requests wait before it.
        """
        limit = self.capacity.read_limit()
        if limit is None:
            return 0.0
        customer = request.customer
        ahead = self.queue.count_ahead(customer.name, customer.weight, own)
        turns = ahead + 1 + self.running - limit
        return max(0.0, turns) * self._hold.value_ms / limit

    def _read_room(self) -> sharing.Room | None:
        """Return the room there is now; None if it is not known."""
        limit = self.capacity.read_limit()
        if limit is None:
            return None
        slots = self.capacity.read_slots()
        return self._uses.read_room(limit, slots, self.hold_ms)

    def _fits(self, room: sharing.Room, customer: str) -> bool:
        if self.running >= room.limit:
            return False
        use = self._uses.open(customer)
        if room.is_within(use) or not room.is_greedy(use):
            return True
        return self.running < room.unspared
