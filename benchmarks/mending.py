"""Policies of mending, in virtual time, against a steady loss of members.

Run as ``python -m benchmarks.mending [DAYS]`` from the repository's root. It
plays the planner against hosts that are lost two at a time, one region's data
centres in turn, while new ones come empty, as on the platform's busy days. It
prints the credit of what groups could have answered against what was asked,
for the planner as built and for others that differ in one point.
"""

from collections import abc
import contextlib
import dataclasses
import random
import statistics
import sys

from filbertglade.fleet import document
from filbertglade.replicas import plan_types
from filbertglade.replicas import planning

DAYS = 12
LENGTH_S = 44.0
TICK_S = 0.1
ZONES = 3
DOMAINS_PER_ZONE = 2
HOSTS_PER_DOMAIN = 9
LOSSES_S = (2.6, 29.0, 3.0)
ARRIVALS_S = (11.5, 31.0, 3.1)
# Measured on the platform's bench, from the loss to the leader's decision.
DETECTION_S = 0.6
JOIN_S = 0.2
OPEN_S = 0.3
REST_S = 0.6
SILENT_REST_S = 5.5
SLOTS = 13
LOADS_AT_ONCE = 6
FAR_X = 2.5
MODELS = (
    document.ModelShape(
        'large', size=4, share=0.57, pace=1.0, load_s=16.0, warm_s=1.6
    ),
    document.ModelShape(
        'small', size=3, share=0.43, pace=0.6, load_s=12.0, warm_s=1.1
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What callers ask of a model, and what one group of it can do.

    :param asked_per_s: requests in a second.
    :param near_per_s: requests that a whole near group answers in time.
    :param far_per_s: the same of a group over several domains.
    :param far_all_per_s: what such a group answers in time or late.
    :param held_s: mean time of a request in a near group.
    :param credit: of a request in time; a quarter of it if late.
    """

    asked_per_s: float
    near_per_s: float
    far_per_s: float
    far_all_per_s: float
    held_s: float
    credit: float


# Measured on the platform's bench on the days of high load.
WORK = {
    'large': Work(34.0, 9.0, 1.0, 4.0, 0.9, 2.3),
    'small': Work(52.0, 13.0, 4.0, 5.0, 0.85, 1.8),
}


PARTS_S = ((0.0, 10.0), (10.0, 20.0), (20.0, 30.0), (30.0, LENGTH_S))
# The product's planner, and others that differ in one point.
POLICIES: dict[str, dict[str, float]] = {
    'as built': {},
    'slow groups at half of the places': {'CROSS_DOMAIN_UTILISATION': 0.5},
    'never slow groups': {'CROSS_DOMAIN_UTILISATION': 99.0},
    'no regrouping': {'MAX_REGROUPED_GROUPS': 0},
    'spares staged anew at small gaps': {'RESTAGE_UTILISATION_GAP': 0.2},
    'a fifth of the hosts spare': {'SPARE_FRACTION': 0.22},
    'a quarter spare': {'SPARE_FRACTION': 0.26},
    'new groups only if crowded': {'SCALE_UP_UTILISATION': 0.8},
}


@dataclasses.dataclass(slots=True)
class Host:
    """A host of the simulation.

    :param key: its name.
    :param domain: its fabric domain.
    :param staged: the model on it; empty if none.
    :param staging: the model under way.
    :param left_s: load time that is left.
    :param lost_s: when it was lost; None if it is there.
    :param rested_s: from when it may join another group.
    :param warm_model: the model that it has joined as a spare.
    """

    key: str
    domain: str
    staged: str = ''
    staging: str = ''
    left_s: float = 0.0
    lost_s: float | None = None
    rested_s: float = 0.0
    warm_model: str = ''


class Fleet:
    """Hosts and groups in virtual time.

    :param seed: of the losses.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.hosts: dict[str, Host] = {}
        self.groups: dict[str, plan_types.Group] = {}
        self.ready_s: dict[str, float] = {}
        self.epoch = 0
        for zone in range(ZONES):
            for part in range(DOMAINS_PER_ZONE):
                for _ in range(HOSTS_PER_DOMAIN):
                    self._add(f'z{zone}-d{part}')

    def _add(self, domain: str) -> None:
        key = f'h{len(self.hosts)}'
        self.hosts[key] = Host(key, domain)

    def lose(self, zone: int) -> None:
        """Lose two hosts of a zone for good, in groups or warm spares."""
        members = {
            key for group in self.groups.values() for key in group.members
        }
        joined = [
            host.key
            for host in self.hosts.values()
            if host.domain.startswith(f'z{zone}')
            and host.lost_s is None
            and (host.key in members or host.warm_model)
        ]
        for key in self.rng.sample(joined, min(2, len(joined))):
            self.hosts[key].lost_s = self.now_s

    def arrive(self, zone: int) -> None:
        """Add two empty hosts to a zone."""
        for _ in range(2):
            part = self.rng.randrange(DOMAINS_PER_ZONE)
            self._add(f'z{zone}-d{part}')

    def _is_there(self, key: str) -> bool:
        lost_s = self.hosts[key].lost_s
        return lost_s is None or self.now_s - lost_s < DETECTION_S

    def load(self) -> None:
        """Let the store go on with the loads under way."""
        loading = [
            host
            for host in self.hosts.values()
            if host.staging and host.lost_s is None
        ]
        share = min(1.0, LOADS_AT_ONCE / max(1, len(loading)))
        for host in loading:
            host.left_s -= TICK_S * share
            if host.left_s <= 0:
                host.staged, host.staging = host.staging, ''

    def describe(self, has_traffic: bool) -> plan_types.PlannerInput:
        """Return what the planner goes by."""
        taken = {
            key for group in self.groups.values() for key in group.members
        }
        groups = []
        for group in self.groups.values():
            group.present = tuple(filter(self._is_there, group.members))
            group.cross_domain_members = frozenset(
                key
                for key in group.present
                if self.hosts[key].domain != group.domain
            )
            group.other_domains = tuple(
                self.hosts[key].domain for key in group.cross_domain_members
            )
            group.serves = group.is_complete and (
                self.ready_s[group.name] <= self.now_s
            )
            groups.append(group)
        for model, work in WORK.items():
            serving = [
                group
                for group in groups
                if group.model == model and group.is_complete
            ]
            whole = sum(
                1 / FAR_X if group.cross_domain_members else 1.0
                for group in serving
            )
            held = work.asked_per_s * work.held_s / max(1.0, whole)
            for group in serving:
                group.in_flight = round(min(held, SLOTS)) * has_traffic
        free = [
            plan_types.FreeEndpoint(
                host.key,
                host.domain,
                frozenset([host.staged] if host.staged else []),
                host.staging,
                host.warm_model,
                bool(host.warm_model),
            )
            for host in self.hosts.values()
            if host.key not in taken
            and self._is_there(host.key)
            and host.rested_s <= self.now_s
        ]
        return plan_types.PlannerInput(
            list(MODELS), SLOTS, groups, free, has_traffic, FAR_X
        )

    def carry_out(self, action: plan_types.Action, is_free: bool) -> None:
        """Do what the planner decided."""
        if isinstance(action, plan_types.StageModel):
            self._stage(action, is_free)
        elif isinstance(action, plan_types.WarmSpare):
            self.hosts[action.key].warm_model = action.model
        elif isinstance(action, plan_types.ReleaseGroup):
            self._release(action.group)
        else:
            self._form(action)

    def _stage(self, action: plan_types.StageModel, is_free: bool) -> None:
        host = self.hosts[action.key]
        loading = sum(bool(other.staging) for other in self.hosts.values())
        if is_free:
            host.staged = action.model
        elif loading < LOADS_AT_ONCE:
            shape = _find_shape(action.model)
            host.staged, host.warm_model = '', ''
            host.staging, host.left_s = action.model, shape.load_s

    def _release(self, name: str) -> None:
        group = self.groups.pop(name)
        has_head = self.hosts[group.members[0]].lost_s is None
        rest_s = REST_S if has_head else SILENT_REST_S
        for key in group.members:
            self.hosts[key].rested_s = self.now_s + rest_s

    def _form(self, action: plan_types.FormGroup) -> None:
        shape = _find_shape(action.model)
        name = action.group or f'g{self.epoch}'
        old = self.groups.get(action.group)
        stay = set(old.members) if old is not None else set()
        join_s = JOIN_S
        for key in action.members:
            host = self.hosts[key]
            if key not in stay and host.warm_model != action.model:
                join_s = max(join_s, shape.warm_s)
            host.warm_model = ''
            host.staged = action.model
        self.epoch += 1
        self.groups[name] = plan_types.Group(
            name,
            self.epoch,
            action.model,
            action.domain,
            action.members,
            action.members,
        )
        self.ready_s[name] = self.now_s + join_s + OPEN_S

    def measure(self, model: str) -> tuple[float, float]:
        """Return requests in a second answered in time, and late."""
        work = WORK[model]
        in_time, late = 0.0, 0.0
        for group in self.groups.values():
            if group.model != model or self.ready_s[group.name] > self.now_s:
                continue
            if any(
                self.hosts[key].lost_s is not None for key in group.members
            ):
                continue
            domains = {self.hosts[key].domain for key in group.members}
            if len(domains) == 1:
                in_time += work.near_per_s
            else:
                in_time += work.far_per_s
                late += work.far_all_per_s - work.far_per_s
        in_time = min(in_time, work.asked_per_s)
        return in_time, min(late, work.asked_per_s - in_time)


def _find_shape(model: str) -> document.ModelShape:
    return next(shape for shape in MODELS if shape.name == model)


def play(seed: int) -> list[float]:
    """Play one day.

    :param seed: of its losses.
    :returns: the share of the credit of each second.
    """
    fleet = Fleet(seed)
    for _ in range(3):
        for action in planning.Planner(fleet.describe(False)).plan():
            fleet.carry_out(action, is_free=True)
    # Groups are formed before callers come.
    fleet.ready_s = dict.fromkeys(fleet.ready_s, 0.0)
    losses = _list_times(LOSSES_S)
    arrivals = _list_times(ARRIVALS_S)
    shares = []
    while fleet.now_s < LENGTH_S:
        while losses and losses[0] <= fleet.now_s:
            losses.pop(0)
            fleet.lose(len(losses) % ZONES)
        while arrivals and arrivals[0] <= fleet.now_s:
            arrivals.pop(0)
            fleet.arrive((len(arrivals) + 1) % ZONES)
        fleet.load()
        for action in planning.Planner(fleet.describe(True)).plan():
            fleet.carry_out(action, is_free=False)
        earned = asked = 0.0
        for model, work in WORK.items():
            in_time, late = fleet.measure(model)
            earned += work.credit * (in_time + late / 4)
            asked += work.credit * work.asked_per_s
        shares.append(earned / asked)
        fleet.now_s += TICK_S
    return shares


def _list_times(times_s: tuple[float, float, float]) -> list[float]:
    first_s, last_s, pause_s = times_s
    count = int((last_s - first_s) / pause_s) + 1
    return [first_s + number * pause_s for number in range(count)]


def _share(played: list[list[float]], first_s: float, last_s: float) -> float:
    first, last = round(first_s / TICK_S), round(last_s / TICK_S)
    return statistics.fmean(
        value for shares in played for value in shares[first:last]
    )


def main() -> None:
    """Print the share of the credit for each policy, whole and in parts."""
    days = int(sys.argv[1]) if len(sys.argv) > 1 else DAYS
    heads = [f'{first:.0f}-{last:.0f} s' for first, last in PARTS_S]
    print('| policy | all |', ' | '.join(heads), '|')
    print('|---' * (len(PARTS_S) + 2) + '|')
    for name, constants in POLICIES.items():
        with _changed(constants):
            played = [play(seed) for seed in range(days)]
        values = [_share(played, 0, LENGTH_S)]
        values += [_share(played, *part) for part in PARTS_S]
        print(f'| {name} |', ' | '.join(f'{item:.3f}' for item in values), '|')


@contextlib.contextmanager
def _changed(constants: dict[str, float]) -> abc.Iterator[None]:
    """Let the planner go by other constants for a while."""
    kept = {name: getattr(planning, name) for name in constants}
    try:
        for name, value in constants.items():
            setattr(planning, name, value)
        yield
    finally:
        for name, value in kept.items():
            setattr(planning, name, value)


if __name__ == '__main__':
    main()
