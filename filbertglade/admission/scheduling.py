"""Order of the waiting requests: by priority class, then fairly."""

from filbertglade.admission import admission_requests
from filbertglade.admission import fairness
from filbertglade.admission import limits
from filbertglade.admission import permits
from filbertglade.admission import target as targets
from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.membership import view
from filbertglade.settings import model

# How often in a row a priority class with an eligible request may be skipped.
MAX_SKIPS = 15
SERVICE_PRIORITY = 5
FORGET_MS = 60_000


class Schedule:
    """Schedules the requests of all targets by priority class.

    Higher classes run first, but a lower class with an eligible request gets
    at least every sixteenth turn. Within a class the targets take turns;
    within a target customers share the slots by weight.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        fleet: view.FleetView,
        customers: limits.CustomerLimits,
    ) -> None:
        self._max_running = settings.limits.requests_in_flight
        self._fleet = fleet
        self._customers = customers
        self._targets: dict[tuple[str, bool], targets.Target] = {}
        self._document: configuration_model.Document | None = None
        self._priorities: dict[str, int] = {}
        self._skips: dict[int, int] = {}
        self._turn = 0
        self.running = 0
        self.waiting = 0

    def get_or_create(
        self, request: admission_requests.AdmissionRequest
    ) -> targets.Target:
        """Return a request's target; create it if there is none.

        :param request: the request.
        """
        key = (request.target, request.is_service)
        found = self._targets.get(key)
        if found is None:
            found = targets.Target(self._fleet, self._customers, request)
            self._targets[key] = found
        found.last_used_ms = clock.now_ms()
        return found

    def list_targets(self) -> list[targets.Target]:
        """Return all targets."""
        return list(self._targets.values())

    def can_start_now(
        self,
        target: targets.Target,
        request: admission_requests.AdmissionRequest,
    ) -> bool:
        """Return whether a request may start without waiting.

        :param target: its target.
        :param request: the request.
        """
        if self.running >= self._max_running:
            return False
        if target.queue.count_waiting(request.customer.name):
            return False
        return target.can_start(request) and not target.find_eligible()

    def push(self, target: targets.Target, waiter: fairness.Waiter) -> None:
        """Queue a request.

        :param target: its target.
        :param waiter: the request.
        """
        target.queue.push(waiter)
        self.waiting += 1

    def pop(self, target: targets.Target) -> fairness.Waiter:
        """Remove and return a target's next request.

        :param target: the target; it has an eligible request.
        :returns: the request.
        """
        self.waiting -= 1
        return target.queue.pop(target.find_eligible())

    def remove(self, target: targets.Target, waiter: fairness.Waiter) -> bool:
        """Remove a request from its queue.

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
        """Record that a request received its permit.

        :param target: its target.
        :param request: the request.
        """
        self._turn += 1
        target.last_turn = self._turn
        target.note_started(request)
        self.running += 1

    def note_released(
        self, target: targets.Target, permit: permits.Permit, held_ms: float
    ) -> None:
        """Record that a permit was released.

        :param target: its target.
        :param permit: the permit.
        :param held_ms: time for which it was held.
        """
        self.running -= 1
        target.note_released(permit, held_ms)

    def find_next(self) -> targets.Target | None:
        """Return the target whose next request may start now, if any."""
        if self.running >= self._max_running or not self.waiting:
            return None
        classes: dict[int, list[targets.Target]] = {}
        for (name, is_service), target in self._targets.items():
            if target.find_eligible():
                priority = self._find_priority(name, is_service)
                classes.setdefault(priority, []).append(target)
        if not classes:
            return None
        chosen = self._choose_class(sorted(classes, reverse=True))
        return min(classes[chosen], key=lambda target: target.last_turn)

    def find_priority(
        self,
        target: targets.Target,
        request: admission_requests.AdmissionRequest,
    ) -> int:
        """Return the priority of a request at its endpoint.

        :param target: its target.
        :param request: the request, not yet started.
        """
        priority = self._find_priority(request.target, request.is_service)
        return 2 * priority + (not target.is_greedy(request))

    def find_largest_backlog(
        self,
    ) -> tuple[targets.Target, fairness.Flow] | None:
        """Return the largest backlog by weight and its target, if any."""
        found = [
            (target, flow)
            for target in self._targets.values()
            if (flow := target.queue.find_largest_backlog()) is not None
        ]
        return max(
            found,
            key=lambda item: len(item[1].waiters) / item[1].weight,
            default=None,
        )

    def forget_idle(self) -> None:
        """Drop the targets that have been idle for ``FORGET_MS``."""
        oldest_ms = clock.now_ms() - FORGET_MS
        for key, target in list(self._targets.items()):
            target.forget_idle()
            is_idle = not target.running and not len(target.queue)
            if is_idle and target.last_used_ms < oldest_ms:
                del self._targets[key]

    def _choose_class(self, priorities: list[int]) -> int:
        chosen = priorities[0]
        for priority in priorities[1:]:
            skips = self._skips.get(priority, 0)
            if skips >= MAX_SKIPS:
                chosen = priority
                break
        for priority in priorities:
            if priority < chosen:
                skips = self._skips.get(priority, 0)
                self._skips[priority] = skips + 1
        self._skips[chosen] = 0
        return chosen

    def _find_priority(self, name: str, is_service: bool) -> int:
        if is_service:
            return SERVICE_PRIORITY
        if self._fleet.document is not self._document:
            self._document = self._fleet.document
            deployments = self._document.deployments if self._document else []
            self._priorities = {
                item.name: item.priority for item in deployments
            }
        return self._priorities.get(name, SERVICE_PRIORITY)
