"""Choice of the endpoint for a request, by the load of all nodes."""

from collections import abc
import dataclasses
import enum
import random

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import endpoints
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)


class ChoiceReason(enum.Enum):
    """Why no target was chosen."""

    NO_ENDPOINT = 'no endpoint'
    FULL = 'full'


# What another data centre costs, in requests in flight.
FAR_REQUESTS = 1.5
# Weight of the newest frame in the mean of requests begun between two.
FRAME_WEIGHT = 0.1
# Requests that may have been begun unseen at the least: two nodes may choose
# at the same moment.
LEAST_UNSEEN = 0.5
# How long a target at fault is left out, in ms, unless its group is formed
# anew: a lost member is found, and mended, within it.
FAULT_KEPT_MS = 2500


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where a request may be sent.

    :param key: the endpoint's life.
    :param endpoint_id: its id.
    :param address: its address.
    :param data_centre: its data centre.
    :param slots: requests that it runs at once.
    :param group: its group; empty for a plain endpoint.
    :param epoch: the group's epoch.
    :param slowness: factor of its times.
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
        """What its requests in flight are counted under."""
        return self.group or self.key


class LoadTracker:
    """Requests in flight: this node's own, and those of all others.

    :param seen: the node's view.
    :param in_flight: this node's own, by target; shared with its reports.
    """

    def __init__(
        self, seen: view.FleetView, in_flight: dict[str, int]
    ) -> None:
        self._view = seen
        self._own = in_flight
        self._reported: dict[str, int] = {}
        self._begun_since: dict[str, int] = {}
        self._begun: dict[str, float] = {}
        seen.add_listener(self._note_frame)

    def _note_frame(self) -> None:
        # The frame's totals hold about what this node reports now.
        self._reported = dict(self._own)
        for model, count in self._begun_since.items():
            mean = self._begun.get(model, 0.0)
            self._begun[model] = mean + FRAME_WEIGHT * (count - mean)
            self._begun_since[model] = 0

    def expect_unseen(self, model: str) -> float:
        """Return the requests that nodes begin before a view tells of them.

        Each begins about as many as this one between two frames.

        :param model: the model that they are for.
        """
        begun = self._begun.get(model, 0.0) * self._view.entry_nodes
        return max(LEAST_UNSEEN, begun)

    def begin(self, target: Target) -> None:
        """Count a request that is sent.

        :param target: where to.
        """
        self._own[target.load_key] = self._own.get(target.load_key, 0) + 1
        begun = self._begun_since.get(target.model, 0)
        self._begun_since[target.model] = begun + 1

    def end(self, target: Target) -> None:
        """Count a request that is over.

        :param target: where it was sent to.
        """
        left = self._own.get(target.load_key, 0) - 1
        if left > 0:
            self._own[target.load_key] = left
        else:
            self._own.pop(target.load_key, None)

    def measure(self, target: Target) -> int:
        """Return the requests in flight on a target, of all nodes.

        :param target: the target.
        """
        key = target.load_key
        others = self._view.in_flight.get(key, 0) - self._reported.get(key, 0)
        return max(0, others) + self._own.get(key, 0)


class FaultTracker:
    """Targets that this node has found at fault."""

    def __init__(self) -> None:
        self._faults_ms: dict[tuple[str, int], int] = {}

    def note(self, target: Target, reason: str) -> None:
        """Leave a target out for a while.

        :param target: the target.
        :param reason: for the log.
        """
        place = (target.load_key, target.epoch)
        if place not in self._faults_ms:
            log.change(
                'target.at_fault',
                target=target.load_key,
                epoch=target.epoch,
                endpoint=target.key,
                reason=reason,
            )
        self._faults_ms[place] = clock.now_ms()

    def clear(self, target: Target) -> None:
        """Use a target again, since it answers.

        :param target: the target.
        """
        self._faults_ms.pop((target.load_key, target.epoch), None)

    def has(self, target: Target) -> bool:
        """Tell whether a target is left out now.

        :param target: the target.
        """
        at_ms = self._faults_ms.get((target.load_key, target.epoch))
        return at_ms is not None and clock.now_ms() - at_ms < FAULT_KEPT_MS


class Chooser:
    """Chooses targets.

    :param data_centre: this node's data centre.
    :param seen: the node's view.
    :param loads: requests in flight.
    :param faults: targets at fault.
    :param rng: the process's random numbers.
    """

    def __init__(
        self,
        data_centre: str,
        seen: view.FleetView,
        loads: LoadTracker,
        faults: FaultTracker,
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._view = seen
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

    def choose(
        self, demand: admission.Demand, tried: abc.Container[str]
    ) -> Target | failures.Failure:
        """Return the best target for a request.

        Among replicas that are expected to answer in time, one with little
        to do; if there is none, a slow one with room, so that the others go
        on in time.

        :param demand: what the request needs.
        :param tried: load keys of targets that were tried already.
        :returns: the target, or why there is none.
        """
        fitting = [
            target
            for target in self.list_targets(demand.service, demand.model)
            if target.load_key not in tried and not self._faults.has(target)
        ]
        if not fitting:
            return failures.Failure(ChoiceReason.NO_ENDPOINT)
        if not demand.model:
            return self._fill(fitting)
        loads = {target: self._loads.measure(target) for target in fitting}
        roomy = [
            target
            for target in fitting
            if demand.has_room(loads[target], target.slots, target.slowness)
        ]
        if not roomy:
            least = min(loads.values())
            return failures.Failure(ChoiceReason.FULL, f'{least} in flight')
        in_time = [
            target
            for target in roomy
            if demand.is_in_time(loads[target], target.slots, target.slowness)
        ]
        if not in_time:
            slowest = max(target.slowness for target in roomy)
            in_time = [
                target for target in roomy if target.slowness == slowest
            ]
        return self._fill(in_time)

    def _fill(self, targets: list[Target]) -> Target:
        """Choose as if what is not yet told had evened the loads out.

        The least of loads that are told late would draw every node's
        requests until the next word. So those expected meanwhile are poured
        over the loads like water, and each target is chosen as often as its
        share of them.
        """
        costs = sorted(
            ((self._measure(target), target) for target in targets),
            key=lambda item: item[0],
        )
        unseen = self._loads.expect_unseen(targets[0].model)
        level, filled = costs[0][0], 0.0
        for place, (cost, _) in enumerate(costs[1:], start=1):
            if filled + place * (cost - level) >= unseen:
                break
            filled += place * (cost - level)
            level = cost
        else:
            place = len(costs)
        level += (unseen - filled) / place
        shares = [max(0.0, level - cost) for cost, _ in costs]
        chosen = self._rng.choices(costs, shares)[0]
        return chosen[1]

    def _measure(self, target: Target) -> float:
        load = (self._loads.measure(target) + 1) * target.slowness
        far = target.data_centre != self._data_centre
        return load + far * FAR_REQUESTS

    def measure_load(self, target: Target) -> int:
        """Return the requests in flight on a target, of all nodes.

        :param target: the target.
        """
        return self._loads.measure(target)


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
