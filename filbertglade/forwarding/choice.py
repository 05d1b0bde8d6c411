"""Chooses the endpoint for a request by the load that all nodes report."""

from collections import abc
import dataclasses
import enum
import random

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import endpoints
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.forwarding import allowances
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)


class NoTargetReason(enum.Enum):
    """Why no target was chosen."""

    NO_ENDPOINT = 'no endpoint'
    FULL = 'full'
    # All endpoints have named limits, which are used up.
    LIMITED = 'limits used up'


# Cost of a target in another data centre, in requests in flight.
CROSS_DATA_CENTRE_REQUESTS = 1.5
# Weight of the newest frame in the moving average of the requests that are
# started between two frames.
NEWEST_FRAME_WEIGHT = 0.1
# Minimum estimate of the requests in flight that no frame has reported yet:
# two nodes may choose concurrently.
MIN_UNREPORTED_REQUESTS = 0.5
# How long a faulty target is excluded, in ms, unless its group is formed anew
# before. The loss of a member is detected and repaired within this time.
FAULT_EXCLUSION_MS = 2500


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A replica or plain endpoint that a request may be sent to.

    :param key: key of the endpoint's incarnation.
    :param endpoint_id: the endpoint's id.
    :param address: its address.
    :param data_centre: its data centre.
    :param slots: requests that it runs concurrently.
    :param group: its group; empty for a plain endpoint.
    :param epoch: the group's epoch.
    :param slowness: factor by which its times exceed normal ones.
    :param model: the model that it serves; empty for a plain endpoint.
    """

    key: str
    endpoint_id: str
    address: str
    data_centre: str
    slots: int
    group: str = ''
    epoch: int = 0
    slowness: float = 1.0
    model: str = ''

    @property
    def load_key(self) -> str:
        """Key under which its requests in flight are counted."""
        return self.group or self.key


class LoadTracker:
    """Counts the requests in flight of this node and of all other nodes.

    :param fleet_view: the node's view.
    :param in_flight: this node's own requests by load key; shared with the
        stream that reports them to the leader.
    """

    def __init__(
        self, fleet_view: view.FleetView, in_flight: dict[str, int]
    ) -> None:
        self._view = fleet_view
        self._own = in_flight
        self._own_at_frame: dict[str, int] = {}
        self._started_since_frame: dict[str, int] = {}
        self._mean_started: dict[str, float] = {}
        fleet_view.add_listener(self._update_on_frame)

    def _update_on_frame(self) -> None:
        # The frame's totals include roughly what this node reports now.
        self._own_at_frame = dict(self._own)
        for model, count in self._started_since_frame.items():
            mean = self._mean_started.get(model, 0.0)
            self._mean_started[model] = mean + NEWEST_FRAME_WEIGHT * (
                count - mean
            )
            self._started_since_frame[model] = 0

    def estimate_unreported(self, model: str) -> float:
        """Estimate the requests of all nodes that no frame has reported yet.

        Assumes that each node starts as many requests between two frames as
        this one.

        :param model: the model that the requests are for.
        """
        started = self._mean_started.get(model, 0.0) * self._view.entry_nodes
        return max(MIN_UNREPORTED_REQUESTS, started)

    def record_start(self, target: Target) -> None:
        """Count a request that is sent.

        :param target: its target.
        """
        self._own[target.load_key] = self._own.get(target.load_key, 0) + 1
        started = self._started_since_frame.get(target.model, 0)
        self._started_since_frame[target.model] = started + 1

    def record_end(self, target: Target) -> None:
        """Stop counting a request that has ended.

        :param target: its target.
        """
        remaining = self._own.get(target.load_key, 0) - 1
        if remaining > 0:
            self._own[target.load_key] = remaining
        else:
            self._own.pop(target.load_key, None)

    def count_in_flight(self, target: Target) -> int:
        """Return the requests in flight on a target, of all nodes.

        :param target: the target.
        """
        key = target.load_key
        others = self._view.in_flight.get(key, 0) - self._own_at_frame.get(
            key, 0
        )
        return max(0, others) + self._own.get(key, 0)


class FaultTracker:
    """Remembers targets at which this node has seen faults."""

    def __init__(self) -> None:
        self._faults_ms: dict[tuple[str, int], int] = {}

    def record(self, target: Target, reason: str) -> None:
        """Exclude a target for :data:`FAULT_EXCLUSION_MS`.

        :param target: the target.
        :param reason: what went wrong, for the log.
        """
        fault_key = (target.load_key, target.epoch)
        if fault_key not in self._faults_ms:
            log.change(
                'target.at_fault',
                target=target.load_key,
                epoch=target.epoch,
                endpoint=target.key,
                reason=reason,
            )
        self._faults_ms[fault_key] = clock.now_ms()

    def clear(self, target: Target) -> None:
        """Stop excluding a target that has responded.

        :param target: the target.
        """
        self._faults_ms.pop((target.load_key, target.epoch), None)

    def is_excluded(self, target: Target) -> bool:
        """Return whether a target is excluded now.

        :param target: the target.
        """
        at_ms = self._faults_ms.get((target.load_key, target.epoch))
        return (
            at_ms is not None and clock.now_ms() - at_ms < FAULT_EXCLUSION_MS
        )


class Chooser:
    """Chooses the targets of requests.

    :param data_centre: this node's data centre.
    :param fleet_view: the node's view.
    :param loads: counts of the requests in flight.
    :param faults: targets to exclude.
    :param allowed: what may be sent to targets that name limits.
    :param rng: the process's random number generator.
    """

    def __init__(
        self,
        data_centre: str,
        fleet_view: view.FleetView,
        loads: LoadTracker,
        faults: FaultTracker,
        allowed: allowances.Allowances,
        rng: random.Random,
    ) -> None:
        self._allowed = allowed
        self._data_centre = data_centre
        self._view = fleet_view
        self._loads = loads
        self._faults = faults
        self._rng = rng

    def list_targets(self, service: str, model: str) -> list[Target]:
        """Return the targets that may take a request.

        :param service: the service's name.
        :param model: the model's name; empty for a plain service.
        """
        if model:
            replicas = self._view.list_replicas(service, model)
            return [_as_target(item) for item in replicas if item.usable]
        return [
            Target(
                endpoints.get_key(item),
                item.id,
                item.address,
                item.data_centre,
                item.slots,
            )
            for item in self._view.list_endpoints(service)
        ]

    def is_leaving(self, target: Target) -> bool:
        """Return whether an endpoint is leaving, or has left.

        :param target: the endpoint, or the replica that it leads.
        """
        endpoint = self._view.endpoints.get(target.key)
        return endpoint is None or endpoint.leaving

    def choose(
        self, demand: admission.Demand, tried: abc.Container[str]
    ) -> Target | failures.Failure:
        """Return the best target for a request.

        Prefers lightly loaded replicas among those that are expected to meet
        the objective. If there are none, chooses among the slowest replicas
        with capacity, so that the others continue to meet it.

        :param demand: what the request demands.
        :param tried: load keys of targets that were tried already.
        :returns: the target, or why there is none.
        """
        candidates = [
            target
            for target in self.list_targets(demand.service, demand.model)
            if target.load_key not in tried
            and not self._faults.is_excluded(target)
        ]
        if not candidates:
            return failures.Failure(NoTargetReason.NO_ENDPOINT)
        for target in candidates:
            self._allowed.record_demand(target.key)
        candidates = [
            target
            for target in candidates
            if self._allowed.may_send(target.key)
        ]
        if not candidates:
            return failures.Failure(NoTargetReason.LIMITED)
        if not demand.model:
            return self._choose_by_expected_load(candidates)
        loads = {
            target: self._loads.count_in_flight(target)
            for target in candidates
        }
        available = [
            target
            for target in candidates
            if demand.has_capacity(
                loads[target], target.slots, target.slowness
            )
        ]
        if not available:
            least = min(loads.values())
            return failures.Failure(NoTargetReason.FULL, f'{least} in flight')
        in_time = [
            target
            for target in available
            if demand.meets_objective(
                loads[target], target.slots, target.slowness
            )
        ]
        if not in_time:
            slowest = max(target.slowness for target in available)
            in_time = [
                target for target in available if target.slowness == slowest
            ]
        return self._choose_by_expected_load(in_time)

    def _choose_by_expected_load(self, targets: list[Target]) -> Target:
        """Choose at random, weighted by the gap to a common load level.

        If every node chose the least loaded target, all requests would go to
        it until the next frame reports its new load. Instead, the estimated
        unreported requests are distributed over the targets by water-filling:
        they raise the least loaded targets to a common level. Each target is
        chosen with a probability proportional to what it receives.
        """
        costs = sorted(
            ((self._compute_cost(target), target) for target in targets),
            key=lambda item: item[0],
        )
        unreported = self._loads.estimate_unreported(targets[0].model)
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

    def _compute_cost(self, target: Target) -> float:
        load = (self._loads.count_in_flight(target) + 1) * target.slowness
        is_remote = target.data_centre != self._data_centre
        return load + is_remote * CROSS_DATA_CENTRE_REQUESTS

    def sum_limits(self, service: str, model: str) -> float:
        """Return the limits of all targets, in requests a second.

        :param service: the service's name.
        :param model: the model's name; empty for a plain service.
        """
        return sum(
            self._view.find_limit(target.key) or 0.0
            for target in self.list_targets(service, model)
        )

    def count_in_flight(self, target: Target) -> int:
        """Return the requests in flight on a target, of all nodes.

        :param target: the target.
        """
        return self._loads.count_in_flight(target)


def _as_target(replica: fleet_pb2.Replica) -> Target:
    return Target(
        endpoints.make_key(replica.head_id, replica.head_born_ms),
        replica.head_id,
        replica.address,
        replica.data_centre,
        replica.slots,
        replica.group,
        replica.epoch,
        max(1.0, replica.slowness),
        replica.model,
    )
