"""Which waiting request runs next: priorities, then fairness."""

from filbertglade.admission import admission_requests
from filbertglade.admission import fairness
from filbertglade.admission import limits
from filbertglade.admission import permits
from filbertglade.admission import target as targets
from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.membership import view
from filbertglade.settings import model

# A class that could run is passed over at most this often in a row.
PASSED_OVER_LIMIT = 15
SERVICE_PRIORITY = 5
FORGET_MS = 60_000


class Schedule:
    """Targets by priority class.

    A higher class goes first, but a lower one with a request that could run
    gets every sixteenth turn at least. Inside a class the targets take turns,
    and inside a target the customers share by weight.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        fleet: view.FleetView,
        customers: limits.CustomerLimits,
    ) -> None:
        self._most_running = settings.limits.requests_in_flight
        self._fleet = fleet
        self._customers = customers
        self._targets: dict[tuple[str, bool], targets.Target] = {}
        self._document: configuration_model.Document | None = None
        self._priorities: dict[str, int] = {}
        self._passed_over: dict[int, int] = {}
        self._turns = 0
        self.running = 0
        self.waiting = 0

    def open(
        self, request: admission_requests.AdmissionRequest
    ) -> targets.Target:
        """Return a request's target.

        :param request: the request.
        """
        key = (request.target, request.is_service)
        found = self._targets.get(key)
        if found is None:
            found = targets.Target(self._fleet, self._customers, request)
            self._targets[key] = found
        found.used_ms = clock.now_ms()
        return found

    def list_targets(self) -> list[targets.Target]:
        """Return all targets."""
        return list(self._targets.values())

    def has_room_now(
        self,
        target: targets.Target,
        request: admission_requests.AdmissionRequest,
    ) -> bool:
        """Return whether a request may run without waiting.

        :param target: its target.
        :param request: the request.
        """
        if self.running >= self._most_running:
            return False
        if target.queue.count_waiting(request.customer.name):
            return False
        return target.has_room(request) and not target.find_eligible()

    def push(self, target: targets.Target, waiter: fairness.Waiter) -> None:
        """Queue a request.

        :param target: its target.
        :param waiter: the request.
        """
        target.queue.push(waiter)
        self.waiting += 1

    def pop(self, target: targets.Target) -> fairness.Waiter:
        """Take a target's next request.

        :param target: the target, where one waits.
        :returns: the request.
        """
        self.waiting -= 1
        return target.queue.pop(target.find_eligible())

    def remove(self, target: targets.Target, waiter: fairness.Waiter) -> bool:
        """Take a request out of its queue.

        :param target: its target.
        :param waiter: the request.
        :returns: whether it was waiting.
        """
        was_waiting = target.queue.remove(waiter)
        if was_waiting:
            self.waiting -= 1
        return was_waiting

    def note_started(
        self,
        target: targets.Target,
        request: admission_requests.AdmissionRequest,
    ) -> None:
        """Note that a request got its permit.

        :param target: its target.
        :param request: the request.
        """
        self._turns += 1
        target.served = self._turns
        target.note_started(request)
        self.running += 1

    def note_released(
        self, target: targets.Target, permit: permits.Permit, held_ms: float
    ) -> None:
        """Note that a permit was given back.

        :param target: its target.
        :param permit: the permit.
        :param held_ms: how long it was held.
        """
        self.running -= 1
        target.note_released(permit, held_ms)

    def find_next(self) -> targets.Target | None:
        """Return the target whose next request may run now, if any."""
        if self.running >= self._most_running or not self.waiting:
            return None
        classes: dict[int, list[targets.Target]] = {}
        for (name, is_service), target in self._targets.items():
            if target.find_eligible():
                priority = self._read_priority(name, is_service)
                classes.setdefault(priority, []).append(target)
        if not classes:
            return None
        chosen = self._choose_class(sorted(classes, reverse=True))
        return min(classes[chosen], key=lambda target: target.served)

    def find_priority(
        self,
        target: targets.Target,
        request: admission_requests.AdmissionRequest,
    ) -> int:
        """Return the priority of a request at its endpoint.

        :param target: its target.
        :param request: the request, not yet started.
        """
        priority = self._read_priority(request.target, request.is_service)
        return 2 * priority + (not target.is_greedy(request))

    def find_longest(self) -> tuple[targets.Target, fairness.Flow] | None:
        """Return the queue of who holds most for its weight, if any."""
        found = [
            (target, flow)
            for target in self._targets.values()
            if (flow := target.queue.find_longest()) is not None
        ]
        return max(
            found,
            key=lambda item: len(item[1].waiters) / item[1].weight,
            default=None,
        )

    def forget_idle(self) -> None:
        """Drop what has not been used for long."""
        oldest_ms = clock.now_ms() - FORGET_MS
        for key, target in list(self._targets.items()):
            target.forget_idle()
            is_idle = not target.running and not len(target.queue)
            if is_idle and target.used_ms < oldest_ms:
                del self._targets[key]

    def _choose_class(self, priorities: list[int]) -> int:
        chosen = priorities[0]
        for priority in priorities[1:]:
            passed_over = self._passed_over.get(priority, 0)
            if passed_over >= PASSED_OVER_LIMIT:
                chosen = priority
                break
        for priority in priorities:
            if priority < chosen:
                passed_over = self._passed_over.get(priority, 0)
                self._passed_over[priority] = passed_over + 1
        self._passed_over[chosen] = 0
        return chosen

    def _read_priority(self, name: str, is_service: bool) -> int:
        if is_service:
            return SERVICE_PRIORITY
        if self._fleet.document is not self._document:
            self._document = self._fleet.document
            deployments = self._document.deployments if self._document else []
            self._priorities = {
                item.name: item.priority for item in deployments
            }
        return self._priorities.get(name, SERVICE_PRIORITY)
