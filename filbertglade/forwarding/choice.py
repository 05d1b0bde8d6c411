"""Chooses the endpoint for a request by the load that all nodes report."""

from collections import abc
import copy
import random

from filbertglade.costs import policy
from filbertglade import failures
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.forwarding import admission_policy
from filbertglade.forwarding import cold_preference
from filbertglade.forwarding import evidence
from filbertglade.forwarding import slot_admission
from filbertglade.forwarding import targets


class Chooser:
    """Chooses the targets of requests.

    :param data_centre: this node's data centre.
    :param fleet_view: the node's view.
    :param endpoint_evidence: what endpoints have said and shown.
    :param rng: the process's random number generator.
    :param selection_policy: selects among the targets that may be sent a
        request; None to select by the requests in flight.
    :param admission_rules: decides which replicas may take a request; by free
        slots if None.
    """

    def __init__(
        self,
        data_centre: str,
        fleet_view: view.FleetView,
        endpoint_evidence: evidence.EndpointEvidence,
        rng: random.Random,
        selection_policy: policy.SelectionPolicy | None = None,
        admission_rules: admission_policy.AdmissionPolicy | None = None,
    ) -> None:
        self._view = fleet_view
        self._evidence = endpoint_evidence
        self._policy = selection_policy or policy.LoadPolicy(
            data_centre, endpoint_evidence.loads, rng
        )
        self._admission = admission_rules or slot_admission.SlotAdmission()

    def copy_state(
        self,
        fleet_view: view.FleetView,
        endpoint_evidence: evidence.EndpointEvidence,
        admission_rules: admission_policy.AdmissionPolicy,
        rng: random.Random,
    ) -> 'Chooser':
        """Return a copy that chooses as this one would, from copied state.

        :param fleet_view: a copy of the node's view.
        :param endpoint_evidence: a copy of what endpoints have said and shown.
        :param admission_rules: a copy of the admission policy.
        :param rng: the copy's random number generator.
        """
        other = copy.copy(self)
        other._view = fleet_view
        other._evidence = endpoint_evidence
        other._policy = self._policy.copy_with(rng)
        other._admission = admission_rules
        return other

    def rate(self, target: targets.Target, demand: admission.Demand) -> float:
        """Return what is compared of targets; less is better.

        :param target: the target.
        :param demand: what the request demands.
        """
        return self._policy.rate(target, demand)

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
        candidates = self._evidence.select(demand, listed, tried)
        if isinstance(candidates, failures.Failure):
            return candidates
        return cold_preference.choose_warm_first(
            candidates,
            self._evidence,
            demand,
            lambda options: self._choose_returning_last(options, demand),
        )

    def _choose_returning_last(
        self, candidates: list[targets.Target], demand: admission.Demand
    ) -> targets.Target | evidence.NoTarget:
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
            return self._policy.select(candidates, demand)
        room = self.find_room(demand, candidates)
        if not room.replicas:
            return evidence.NoTarget(
                evidence.NoTargetReason.FULL,
                evidence.OVERLOAD_RETRY_AFTER_S,
                room.detail,
            )
        return self._policy.select(room.replicas, demand)

    def find_room(
        self, demand: admission.Demand, candidates: list[targets.Target]
    ) -> admission_policy.Room:
        """Return the replicas that have room for a request.

        :param demand: what the request demands.
        :param candidates: the replicas that may be sent it; at least one.
        """
        # The policy may know a target's speed better than the leader does.
        rated = {
            self._policy.rate_speed(target): target for target in candidates
        }
        loads = {
            seen: self._evidence.loads.count_in_flight(target)
            for seen, target in rated.items()
        }
        room = self._admission.find_room(demand, loads)
        return admission_policy.Room(
            [rated[seen] for seen in room.replicas], room.detail
        )
