"""Chooses the endpoint for a request by the load that all nodes report."""

from collections import abc
import random

from filbertglade import failures
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.forwarding import admission_policy
from filbertglade.forwarding import evidence
from filbertglade.forwarding import slot_admission
from filbertglade.forwarding import targets

# Cost of a target in another data centre, in requests in flight.
CROSS_DATA_CENTRE_REQUESTS = 1.5


class Chooser:
    """Chooses the targets of requests.

    :param data_centre: this node's data centre.
    :param fleet_view: the node's view.
    :param endpoint_evidence: what endpoints have said and shown.
    :param rng: the process's random number generator.
    :param policy: decides which replicas may take a request; by free slots
        if None.
    """

    def __init__(
        self,
        data_centre: str,
        fleet_view: view.FleetView,
        endpoint_evidence: evidence.EndpointEvidence,
        rng: random.Random,
        policy: admission_policy.AdmissionPolicy | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._view = fleet_view
        self._evidence = endpoint_evidence
        self._rng = rng
        self._admission = policy or slot_admission.SlotAdmission()

    def list_targets(self, service: str, model: str) -> list[targets.Target]:
        """Return the targets that may take a request.

        :param service: the service's name.
        :param model: the model's name; empty for a plain service.
        """
        if model:
            replicas = self._view.list_replicas(service, model)
            return [
                targets.from_replica(item) for item in replicas if item.usable
            ]
        staying = self._view.list_endpoints(service)
        leaving = map(targets.from_endpoint, self._view.list_leaving(service))
        return [
            *map(targets.from_endpoint, staying),
            *filter(self._evidence.is_last_resort, leaving),
        ]

    def choose(
        self, demand: admission.Demand, tried: abc.Container[str]
    ) -> targets.Target | evidence.NoTarget:
        """Return the best target for a request.

        Prefers lightly loaded replicas among those that the admission policy
        allows.

        :param demand: what the request demands.
        :param tried: load keys of targets that were tried already.
        :returns: the target, or why there is none.
        """
        listed = self.list_targets(demand.service, demand.model)
        candidates = self._evidence.select(listed, tried)
        if isinstance(candidates, failures.Failure):
            return candidates
        preferred = [
            target
            for target in candidates
            if not self._evidence.is_returning(target)
        ]
        chosen = self._choose_among(preferred, demand) if preferred else None
        return chosen or self._choose_among(candidates, demand)

    def _choose_among(
        self, candidates: list[targets.Target], demand: admission.Demand
    ) -> targets.Target | evidence.NoTarget:
        if not demand.model:
            return self._choose_by_expected_load(candidates)
        loads = {
            target: self._evidence.loads.count_in_flight(target)
            for target in candidates
        }
        room = self._admission.find_room(demand, loads)
        if not room.replicas:
            return evidence.NoTarget(
                evidence.NoTargetReason.FULL,
                evidence.OVERLOAD_RETRY_AFTER_S,
                room.detail,
            )
        return self._choose_by_expected_load(room.replicas)

    def _choose_by_expected_load(
        self, options: list[targets.Target]
    ) -> targets.Target:
        """Choose at random, weighted by the gap to a common load level.

        If every node chose the least loaded target, all requests would go to
        it until the next frame reports its new load. Instead, the estimated
        unreported requests are distributed over the targets by water-filling:
        they raise the least loaded targets to a common level. Each target is
        chosen with a probability proportional to what it receives.
        """
        costs = sorted(
            ((self._compute_cost(target), target) for target in options),
            key=lambda item: item[0],
        )
        unreported = self._evidence.loads.estimate_unreported(options[0].model)
        level, placed = costs[0][0], 0.0
        for filled_count, (cost, _) in enumerate(costs[1:], start=1):
            if placed + filled_count * (cost - level) >= unreported:
                break
            placed += filled_count * (cost - level)
            level = cost
        else:
            filled_count = len(costs)
        level += (unreported - placed) / filled_count
        weights = [max(0.0, level - cost) for cost, _ in costs]
        chosen = self._rng.choices(costs, weights)[0]
        return chosen[1]

    def _compute_cost(self, target: targets.Target) -> float:
        load = (
            self._evidence.loads.count_in_flight(target) + 1
        ) * target.slowness
        is_remote = target.data_centre != self._data_centre
        return load + is_remote * CROSS_DATA_CENTRE_REQUESTS
