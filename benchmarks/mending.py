"""Policies of group repair, in virtual time, under a steady loss of members.

Run as ``python -m benchmarks.mending [DAYS]`` from the repository's root. It
simulates the planner while hosts are lost two at a time, in the data centres
of one region in turn, and new hosts without a model are added, as on the
platform's days of high load.

A response in time earns a request's credit, a late one a quarter of it. For
the planner as built, and for variants that differ in one constant, the
benchmark prints the credit that the groups could have earned as a fraction of
the credit of all requests.
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
DAY_S = 44.0
TICK_S = 0.1
DATA_CENTRES = 3
DOMAINS_PER_DATA_CENTRE = 2
HOSTS_PER_DOMAIN = 9
LOSS_TIMES_S = (2.6, 29.0, 3.0)
ARRIVAL_TIMES_S = (11.5, 31.0, 3.1)
# Time from a loss to the leader's decision, measured on the platform's test
# bench.
DETECTION_S = 0.6
JOIN_S = 0.2
OPEN_S = 0.3
# Time from a group's release until its members may join another group; the
# longer one applies if the group's head is lost.
REJOIN_DELAY_S = 0.6
HEADLESS_REJOIN_DELAY_S = 5.5
SLOTS = 13
LOADS_AT_ONCE = 6
CROSS_DOMAIN_SLOWDOWN = 2.5
MODELS = (
    document.ModelShape(
        'large', size=4, share=0.57, pace=1.0, load_s=16.0, warm_s=1.6
    ),
    document.ModelShape(
        'small', size=3, share=0.43, pace=0.6, load_s=12.0, warm_s=1.1
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class ModelWork:
    """Demand for a model, and the capacity of one complete group of it.

    :param offered_per_s: requests that callers send, a second.
    :param same_domain_per_s: requests a second that a same-domain group
        completes in time.
    :param cross_domain_per_s: requests a second that a cross-domain group
        completes in time.
    :param cross_domain_total_per_s: requests a second that a cross-domain
        group completes in time or late.
    :param request_s: mean time of a request in a same-domain group.
    :param credit: credit of a response in time; a late one earns a quarter
        of it.
    """

    offered_per_s: float
    same_domain_per_s: float
    cross_domain_per_s: float
    cross_domain_total_per_s: float
    request_s: float
    credit: float


# Measured on the platform's test bench on the days of high load.
WORK_BY_MODEL = {
    'large': ModelWork(34.0, 9.0, 1.0, 4.0, 0.9, 2.3),
    'small': ModelWork(52.0, 13.0, 4.0, 5.0, 0.85, 1.8),
}
PERIODS_S = ((0.0, 10.0), (10.0, 20.0), (20.0, 30.0), (30.0, DAY_S))
# The planner as built, and variants: the constants of the planner that each
# changes.
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
    :param staged_model: the model on it; empty if none.
    :param staging_model: the model that is being loaded; empty if none.
    :param load_remaining_s: load time that remains.
    :param lost_s: when it was lost; None if it is present.
    :param rejoins_from_s: time from which it may join another group.
    :param spare_model: the model for which it is a warm spare; empty if none.
    """

    key: str
    domain: str
    staged_model: str = ''
    staging_model: str = ''
    load_remaining_s: float = 0.0
    lost_s: float | None = None
    rejoins_from_s: float = 0.0
    spare_model: str = ''


class Fleet:
    """Hosts and groups in virtual time.

    :param seed: seed of the losses and of the domains of added hosts.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.hosts: dict[str, Host] = {}
        self.groups: dict[str, plan_types.Group] = {}
        self.serves_from_s: dict[str, float] = {}
        self.epoch = 0
        for data_centre in range(DATA_CENTRES):
            for number in range(DOMAINS_PER_DATA_CENTRE):
                for _ in range(HOSTS_PER_DOMAIN):
                    self._add(f'z{data_centre}-d{number}')

    def _add(self, domain: str) -> None:
        key = f'h{len(self.hosts)}'
        self.hosts[key] = Host(key, domain)

    def lose_hosts(self, data_centre: int) -> None:
        """Lose two hosts of a data centre for good: members or warm spares."""
        members = {
            key for group in self.groups.values() for key in group.members
        }
        joined = [
            host.key
            for host in self.hosts.values()
            if host.domain.startswith(f'z{data_centre}')
            and host.lost_s is None
            and (host.key in members or host.spare_model)
        ]
        for key in self.rng.sample(joined, min(2, len(joined))):
            self.hosts[key].lost_s = self.now_s

    def add_hosts(self, data_centre: int) -> None:
        """Add two hosts without a model to a data centre."""
        for _ in range(2):
            number = self.rng.randrange(DOMAINS_PER_DATA_CENTRE)
            self._add(f'z{data_centre}-d{number}')

    def _is_seen_as_present(self, key: str) -> bool:
        lost_s = self.hosts[key].lost_s
        return lost_s is None or self.now_s - lost_s < DETECTION_S

    def advance_loads(self) -> None:
        """Advance the model loads in progress by one tick.

        The store serves ``LOADS_AT_ONCE`` loads at full speed. More loads
        share that rate.
        """
        loading = [
            host
            for host in self.hosts.values()
            if host.staging_model and host.lost_s is None
        ]
        speed = min(1.0, LOADS_AT_ONCE / max(1, len(loading)))
        for host in loading:
            host.load_remaining_s -= TICK_S * speed
            if host.load_remaining_s <= 0:
                host.staged_model, host.staging_model = host.staging_model, ''

    def build_planner_input(
        self, has_traffic: bool
    ) -> plan_types.PlannerInput:
        """Return the planner's input.

        :param has_traffic: whether callers send requests.
        """
        grouped = {
            key for group in self.groups.values() for key in group.members
        }
        groups = []
        for group in self.groups.values():
            group.present = tuple(
                filter(self._is_seen_as_present, group.members)
            )
            group.cross_domain_members = frozenset(
                key
                for key in group.present
                if self.hosts[key].domain != group.domain
            )
            group.other_domains = tuple(
                self.hosts[key].domain for key in group.cross_domain_members
            )
            group.serves = group.is_complete and (
                self.serves_from_s[group.name] <= self.now_s
            )
            groups.append(group)
        for model, work in WORK_BY_MODEL.items():
            complete_groups = [
                group
                for group in groups
                if group.model == model and group.is_complete
            ]
            capacity = sum(
                1 / CROSS_DOMAIN_SLOWDOWN
                if group.cross_domain_members
                else 1.0
                for group in complete_groups
            )
            in_flight_per_group = (
                work.offered_per_s * work.request_s / max(1.0, capacity)
            )
            for group in complete_groups:
                group.in_flight = (
                    round(min(in_flight_per_group, SLOTS)) * has_traffic
                )
        free = [
            plan_types.FreeEndpoint(
                host.key,
                host.domain,
                frozenset([host.staged_model] if host.staged_model else []),
                host.staging_model,
                host.spare_model,
                bool(host.spare_model),
            )
            for host in self.hosts.values()
            if host.key not in grouped
            and self._is_seen_as_present(host.key)
            and host.rejoins_from_s <= self.now_s
        ]
        return plan_types.PlannerInput(
            list(MODELS),
            SLOTS,
            groups,
            free,
            has_traffic,
            CROSS_DOMAIN_SLOWDOWN,
        )

    def apply_action(self, action: plan_types.Action, is_free: bool) -> None:
        """Carry out an action of the planner.

        :param action: the action.
        :param is_free: whether loading a model takes no time.
        """
        if isinstance(action, plan_types.StageModel):
            self._stage(action, is_free)
        elif isinstance(action, plan_types.WarmSpare):
            self.hosts[action.key].spare_model = action.model
        elif isinstance(action, plan_types.ReleaseGroup):
            self._release(action.group)
        else:
            self._form(action)

    def _stage(self, action: plan_types.StageModel, is_free: bool) -> None:
        host = self.hosts[action.key]
        loading = sum(
            bool(other.staging_model) for other in self.hosts.values()
        )
        if is_free:
            host.staged_model = action.model
        elif loading < LOADS_AT_ONCE:
            shape = _find_shape(action.model)
            host.staged_model, host.spare_model = '', ''
            host.staging_model, host.load_remaining_s = (
                action.model,
                shape.load_s,
            )

    def _release(self, name: str) -> None:
        group = self.groups.pop(name)
        has_head = self.hosts[group.members[0]].lost_s is None
        rejoin_delay_s = (
            REJOIN_DELAY_S if has_head else HEADLESS_REJOIN_DELAY_S
        )
        for key in group.members:
            self.hosts[key].rejoins_from_s = self.now_s + rejoin_delay_s

    def _form(self, action: plan_types.FormGroup) -> None:
        shape = _find_shape(action.model)
        name = action.group or f'g{self.epoch}'
        old = self.groups.get(action.group)
        old_members = set(old.members) if old is not None else set()
        join_s = JOIN_S
        for key in action.members:
            host = self.hosts[key]
            if key not in old_members and host.spare_model != action.model:
                join_s = max(join_s, shape.warm_s)
            host.spare_model = ''
            host.staged_model = action.model
        self.epoch += 1
        self.groups[name] = plan_types.Group(
            name,
            self.epoch,
            action.model,
            action.domain,
            action.members,
            action.members,
        )
        self.serves_from_s[name] = self.now_s + join_s + OPEN_S

    def measure(self, model: str) -> tuple[float, float]:
        """Return requests a second that are completed in time, and late."""
        work = WORK_BY_MODEL[model]
        in_time, late = 0.0, 0.0
        for group in self.groups.values():
            if (
                group.model != model
                or self.serves_from_s[group.name] > self.now_s
            ):
                continue
            if any(
                self.hosts[key].lost_s is not None for key in group.members
            ):
                continue
            domains = {self.hosts[key].domain for key in group.members}
            if len(domains) == 1:
                in_time += work.same_domain_per_s
            else:
                in_time += work.cross_domain_per_s
                late += work.cross_domain_total_per_s - work.cross_domain_per_s
        in_time = min(in_time, work.offered_per_s)
        return in_time, min(late, work.offered_per_s - in_time)


def _find_shape(model: str) -> document.ModelShape:
    return next(shape for shape in MODELS if shape.name == model)


def simulate_day(seed: int) -> list[float]:
    """Simulate one day.

    :param seed: seed of its losses.
    :returns: for each tick, earned credit as a fraction of all credit.
    """
    fleet = Fleet(seed)
    for _ in range(3):
        for action in planning.Planner(
            fleet.build_planner_input(False)
        ).plan():
            fleet.apply_action(action, is_free=True)
    # Groups are formed before the first request.
    fleet.serves_from_s = dict.fromkeys(fleet.serves_from_s, 0.0)
    losses = _list_times(LOSS_TIMES_S)
    arrivals = _list_times(ARRIVAL_TIMES_S)
    fractions = []
    while fleet.now_s < DAY_S:
        while losses and losses[0] <= fleet.now_s:
            losses.pop(0)
            fleet.lose_hosts(len(losses) % DATA_CENTRES)
        while arrivals and arrivals[0] <= fleet.now_s:
            arrivals.pop(0)
            fleet.add_hosts((len(arrivals) + 1) % DATA_CENTRES)
        fleet.advance_loads()
        for action in planning.Planner(fleet.build_planner_input(True)).plan():
            fleet.apply_action(action, is_free=False)
        earned = offered = 0.0
        for model, work in WORK_BY_MODEL.items():
            in_time, late = fleet.measure(model)
            earned += work.credit * (in_time + late / 4)
            offered += work.credit * work.offered_per_s
        fractions.append(earned / offered)
        fleet.now_s += TICK_S
    return fractions


def _list_times(times_s: tuple[float, float, float]) -> list[float]:
    first_s, last_s, interval_s = times_s
    count = int((last_s - first_s) / interval_s) + 1
    return [first_s + number * interval_s for number in range(count)]


def _mean_fraction(
    day_fractions: list[list[float]], first_s: float, last_s: float
) -> float:
    first, last = round(first_s / TICK_S), round(last_s / TICK_S)
    return statistics.fmean(
        value for fractions in day_fractions for value in fractions[first:last]
    )


def main() -> None:
    """Print each policy's fraction of the credit, of the day and its parts."""
    days = int(sys.argv[1]) if len(sys.argv) > 1 else DAYS
    headings = [f'{first:.0f}-{last:.0f} s' for first, last in PERIODS_S]
    print('| policy | all |', ' | '.join(headings), '|')
    print('|---' * (len(PERIODS_S) + 2) + '|')
    for name, constants in POLICIES.items():
        with _override_constants(constants):
            day_fractions = [simulate_day(seed) for seed in range(days)]
        values = [_mean_fraction(day_fractions, 0, DAY_S)]
        values += [
            _mean_fraction(day_fractions, *period) for period in PERIODS_S
        ]
        print(f'| {name} |', ' | '.join(f'{item:.3f}' for item in values), '|')


@contextlib.contextmanager
def _override_constants(constants: dict[str, float]) -> abc.Iterator[None]:
    """Change constants of the planner temporarily."""
    originals = {name: getattr(planning, name) for name in constants}
    try:
        for name, value in constants.items():
            setattr(planning, name, value)
        yield
    finally:
        for name, value in originals.items():
            setattr(planning, name, value)


if __name__ == '__main__':
    main()
