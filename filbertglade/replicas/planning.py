"""Decides which endpoints form which groups, and what spares stage.

Pure functions of what the leader knows; nothing here waits or sends.
"""

import collections
from collections import abc

from filbertglade.fleet import document
from filbertglade.replicas import layout
from filbertglade.replicas import plan_types
from filbertglade.replicas import spare_inventory

# Part of the hosts that the first groups leave free, so that a lost member
# finds a spare: between a sixth and a quarter the credit is the same over a
# minute of losses, and whole groups serve until then (benchmarks/mending.py).
SPARE_FRACTION = 0.165
# The share of a model that the document gives none.
LEAST_SHARE = 0.01
# Requests in flight of a group, as a part of its slots, above which a spare
# group is worth more than spares.
SCALE_UP_UTILISATION = 0.35
# The same above which even a slow group over two domains helps, and is worth
# other domains' spares: below it the whole groups do the work, and in time
# (benchmarks/mending.py: more credit after 20 s than with 0.5).
CROSS_DOMAIN_UTILISATION = 0.8
# The need of a model that no group serves: more than any other.
UNSERVED_NEED = 10.0
# How much more of its places a model must use than another for which spares
# are staged anew; less would let them go back and forth.
RESTAGE_UTILISATION_GAP = 0.6
# The least need that counts for what spares load: before callers come, all
# models are alike.
LEAST_NEED = 0.2
# What one more spare is worth against one that makes a group whole: where it
# makes up a new group, and where a group has none yet.
COMPLETED_GAIN = 0.8
COVER_GAIN = 0.3
# Part of a model's groups that may be away while slow ones are ended.
MOST_AWAY_SHARE = 0.25
# Slow groups that are ended at once to make a near one.
MAX_REGROUPED_GROUPS = 2


def _count_in(group: plan_types.Group, domain: str) -> int:
    """Return how many of a slow group's members are in a domain."""
    if domain == group.domain:
        return len(group.present) - len(group.cross_domain_members)
    return sum(place == domain for place in group.other_domains)


class Planner:
    """Makes one plan.

    :param situation: what it goes by.
    """

    def __init__(self, situation: plan_types.PlannerInput) -> None:
        self._situation = situation
        self._shapes = {shape.name: shape for shape in situation.models}
        self._free: dict[str, list[plan_types.FreeEndpoint]] = (
            collections.defaultdict(list)
        )
        for host in situation.free:
            self._free[host.domain].append(host)
        self._actions: list[plan_types.Action] = []
        self._has_newcomers = False
        # Needs while spares are staged; nothing changes them by then.
        self._needs: dict[str, float] = {}
        # Groups that this plan makes whole.
        self._mended: set[str] = set()

    def plan(self) -> list[plan_types.Action]:
        """Return what to do now, the most urgent first."""
        self._release_unknown()
        waiting = self._mend()
        waiting = self._mend_across(waiting)
        self._merge(waiting)
        self._gather()
        self._regroup()
        if self._situation.has_traffic:
            self._add_groups()
        else:
            self._lay_out()
        self._stage(waiting)
        self._warm()
        return self._actions

    def _release_unknown(self) -> None:
        """End groups of models that the document names no more."""
        for group in self._situation.groups:
            shape = self._shapes.get(group.model)
            if shape is None or shape.size != len(group.members):
                self._release(group, 'the document names no such model')

    def _release(self, group: plan_types.Group, reason: str) -> None:
        self._actions.append(
            plan_types.ReleaseGroup(group.name, group.epoch, reason)
        )

    # Mending

    def _mend(self) -> list[plan_types.Group]:
        """Replace lost members; return the groups that must wait."""
        waiting = []
        broken = [
            group
            for group in self._situation.groups
            if group.model in self._shapes
            and not (group.is_complete and not group.is_broken)
        ]
        broken.sort(key=lambda group: group.missing_count)
        for group in broken:
            spares = self._take_staged(
                group.domain, group.model, group.missing_count
            )
            if spares is None or not (group.present or spares):
                waiting.append(group)
            else:
                self._form_anew(group, group.present, spares, 'mended')
        return waiting

    def _form_anew(
        self,
        group: plan_types.Group,
        staying: abc.Iterable[str],
        spares: list[str],
        reason: str,
    ) -> None:
        self._mended.add(group.name)
        self._actions.append(
            plan_types.FormGroup(
                group.model,
                group.domain,
                (*staying, *spares),
                group.name,
                group.epoch,
                reason,
            )
        )

    def _mend_across(
        self, waiting: list[plan_types.Group]
    ) -> list[plan_types.Group]:
        """Mend with other domains' spares; slow, but better than nothing.

        Only where a model's groups are busy: else a domain's last spare is
        worth more for its own.
        """
        left = []
        for group in waiting:
            if not self._needs_slow_groups(group.model):
                left.append(group)
                continue
            count = group.missing_count
            spares = self._find_foreign(group, count)
            if not group.present or len(spares) < count:
                left.append(group)
                continue
            for host in spares:
                self._free[host.domain].remove(host)
            self._form_anew(
                group,
                group.present,
                [host.key for host in spares],
                'mended across domains',
            )
        return left

    def _needs_slow_groups(self, model: str) -> bool:
        return (
            self._measure_need(self._shapes[model]) > CROSS_DOMAIN_UTILISATION
        )

    def _find_foreign(
        self, group: plan_types.Group, count: int
    ) -> list[plan_types.FreeEndpoint]:
        """Return staged spares of any domain, the roomiest domains' first."""
        own = [
            host
            for host in self._free[group.domain]
            if group.model in host.staged
        ]
        others = sorted(
            (
                host
                for domain, hosts in self._free.items()
                if domain != group.domain
                for host in hosts
                if group.model in host.staged
            ),
            key=lambda host: (
                -len(self._free[host.domain]),
                host.join_rank(group.model),
            ),
        )
        return (own + others)[:count]

    def _take_staged(
        self, domain: str, model: str, count: int
    ) -> list[str] | None:
        """Take spares that hold a model; None if there are too few."""
        fitting = [host for host in self._free[domain] if model in host.staged]
        if len(fitting) < count:
            return None
        fitting.sort(key=lambda host: host.join_rank(model))
        taken = fitting[:count]
        for host in taken:
            self._free[domain].remove(host)
        return [host.key for host in taken]

    def _merge(self, waiting: list[plan_types.Group]) -> None:
        """Give groups up whose members can mend others of their model."""
        by_model: dict[str, list[plan_types.Group]] = {}
        for group in waiting:
            by_model.setdefault(group.model, []).append(group)
        for model, groups in by_model.items():
            donor = self._find_donor(model, groups)
            if donor is not None:
                self._release(donor, 'its members mend another')

    def _find_donor(
        self, model: str, groups: list[plan_types.Group]
    ) -> plan_types.Group | None:
        """Return the group that helps others most by its end."""
        # Whose head is there frees its members at once; a silent head must
        # first be known to stand still no more.
        groups = sorted(
            groups, key=lambda group: (not group.has_head, len(group.present))
        )
        for group in groups:
            if not group.present:
                return group
        staged = sum(
            model in host.staged
            for hosts in self._free.values()
            for host in hosts
        )
        for donor in groups:
            others = [group for group in groups if group is not donor]
            near = [group for group in others if group.domain == donor.domain]
            if not near and not self._needs_slow_groups(model):
                continue
            for receiver in near or others:
                missing = receiver.missing_count
                if len(donor.present) + staged >= missing:
                    return donor
        return None

    def _gather(self) -> None:
        """Bring groups back into one domain whose spares suffice."""
        for group in self._situation.groups:
            if (
                not group.cross_domain_members
                or not group.is_complete
                or group.is_broken
            ):
                continue
            warm = [
                host
                for host in self._free[group.domain]
                if host.join_rank(group.model) == 0
            ]
            if len(warm) < len(group.cross_domain_members):
                continue
            near = [
                key
                for key in group.members
                if key not in group.cross_domain_members
            ]
            taken = warm[: len(group.cross_domain_members)]
            for host in taken:
                self._free[group.domain].remove(host)
            self._form_anew(
                group,
                near,
                [host.key for host in taken],
                'gathered in one domain',
            )

    def _regroup(self) -> None:
        """End slow groups whose members in one domain can make a near one.

        Spares of that domain help; the new group is formed once those
        members may join it. Until then a model's other groups must carry
        its work, so nearly all of them serve.
        """
        for shape in self._situation.models:
            groups = [
                group
                for group in self._situation.groups
                if group.model == shape.name
            ]
            far = [group for group in groups if group.cross_domain_members]
            away = sum(not group.serves for group in groups)
            if self._measure_need(
                shape
            ) <= SCALE_UP_UTILISATION or away > MOST_AWAY_SHARE * len(groups):
                continue
            domains = {
                domain
                for group in far
                for domain in (group.domain, *group.other_domains)
            }
            for domain in sorted(domains):
                staged = sum(
                    shape.name in host.staged
                    for host in self._free.get(domain, ())
                )
                found = self._find_regroupable(shape, domain, staged, far)
                if found:
                    for group in found:
                        self._release(group, f'regrouped in {domain}')
                    break

    def _find_regroupable(
        self,
        shape: document.ModelShape,
        domain: str,
        staged: int,
        far: list[plan_types.Group],
    ) -> list[plan_types.Group]:
        """Return the fewest slow groups that make a near one in a domain."""
        wanted = shape.size - staged
        counted = sorted(
            ((_count_in(group, domain), group) for group in far),
            key=lambda item: -item[0],
        )
        found = []
        for count, group in counted[:MAX_REGROUPED_GROUPS]:
            if not count or wanted <= 0:
                break
            found.append(group)
            wanted -= count
        return found if wanted <= 0 else []

    # New groups

    def _lay_out(self) -> None:
        """Form the first groups, each model's by its share of the hosts."""
        models = self._situation.models
        # What is already formed before traffic is a first layout's rest.
        if self._situation.groups or not models:
            return
        hosts = {domain: len(free) for domain, free in self._free.items()}
        sizes = [shape.size for shape in models]
        total = sum(hosts.values())
        wanted = layout.count_groups(
            round(total * (1 - SPARE_FRACTION)),
            sizes,
            [(shape.share or LEAST_SHARE) / shape.size for shape in models],
        )
        packed = layout.pack_groups(hosts, sizes, wanted)
        while packed is None and any(wanted):
            most = max(range(len(wanted)), key=wanted.__getitem__)
            wanted[most] -= 1
            packed = layout.pack_groups(hosts, sizes, wanted)
        for domain, counts in (packed or {}).items():
            for shape, count in zip(models, counts, strict=True):
                for _ in range(count):
                    self._form_any(shape, domain)

    def _form_any(self, shape: document.ModelShape, domain: str) -> None:
        hosts = self._free[domain]
        hosts.sort(key=lambda host: shape.name not in host.staged)
        members = tuple(host.key for host in hosts[: shape.size])
        del hosts[: shape.size]
        self._actions.append(
            plan_types.FormGroup(
                shape.name, domain, members, reason='first layout'
            )
        )

    def _add_groups(self) -> None:
        """Form groups of spares where their model needs them."""
        for shape in sorted(
            self._situation.models, key=self._measure_need, reverse=True
        ):
            need = self._measure_need(shape)
            for domain in list(self._free):
                if need <= SCALE_UP_UTILISATION and not self._has_surplus(
                    shape.size
                ):
                    break
                members = self._take_staged(domain, shape.name, shape.size)
                if members is not None:
                    self._form_new(shape, domain, members, need)
            if need > CROSS_DOMAIN_UTILISATION:
                self._add_scattered(shape, need)

    def _has_surplus(self, size: int) -> bool:
        """Tell whether a new group leaves the spares of a first layout."""
        spare = sum(map(len, self._free.values()))
        members = sum(len(group.present) for group in self._situation.groups)
        return spare - size >= int(SPARE_FRACTION * (spare + members))

    def _form_new(
        self,
        shape: document.ModelShape,
        domain: str,
        members: list[str],
        need: float,
    ) -> None:
        self._actions.append(
            plan_types.FormGroup(
                shape.name, domain, tuple(members), reason=f'need {need:.2f}'
            )
        )

    def _add_scattered(self, shape: document.ModelShape, need: float) -> None:
        """Form a slow group of spares from several domains."""
        fitting = {
            domain: [host for host in hosts if shape.name in host.staged]
            for domain, hosts in self._free.items()
        }
        if sum(map(len, fitting.values())) <= shape.size:
            return
        taken: list[plan_types.FreeEndpoint] = []
        for domain in sorted(fitting, key=lambda name: -len(fitting[name])):
            taken += fitting[domain][: shape.size - len(taken)]
        for host in taken:
            self._free[host.domain].remove(host)
        self._form_new(
            shape, taken[0].domain, [host.key for host in taken], need
        )

    def _measure_need(self, shape: document.ModelShape) -> float:
        """Return the part of a model's places in time that is taken."""
        groups = [
            group
            for group in self._situation.groups
            if group.model == shape.name and self._will_serve(group)
        ]
        if not groups:
            return UNSERVED_NEED
        in_flight = sum(
            group.in_flight
            for group in self._situation.groups
            if group.model == shape.name
        )
        far_x = self._situation.cross_domain_slowdown
        whole = sum(
            1 / far_x if group.cross_domain_members else 1.0
            for group in groups
        )
        return in_flight / (whole * self._situation.slots)

    def _will_serve(self, group: plan_types.Group) -> bool:
        """Tell whether a group serves, or does so in a second."""
        return group.name in self._mended or (
            group.is_complete and not group.is_broken
        )

    # Staging

    def _stage(self, waiting: abc.Sequence[plan_types.Group]) -> None:
        """Let spares stage what is lacking most, near before far."""
        if not self._situation.models:
            return
        # The store loads a few models at a time: hosts without any go first.
        self._has_newcomers = any(
            not host.staged and not host.staging_model
            for hosts in self._free.values()
            for host in hosts
        )
        self._needs = {
            name: self._measure_need(shape)
            for name, shape in self._shapes.items()
        }
        inventory = spare_inventory.SpareInventory(
            self._free, waiting, self._situation.groups
        )
        wanted: list[tuple[tuple[float, ...], plan_types.StageModel]] = []
        for domain, hosts in self._free.items():
            for host in hosts:
                if host.staging_model:
                    continue
                model = self._choose_model(domain, host, inventory)
                if model and model not in host.staged:
                    worth = self._measure_worth(domain, model, inventory)
                    inventory.move(domain, host, model)
                    wanted.append(
                        (worth, plan_types.StageModel(host.key, model))
                    )
        # The store loads a few models at a time: the best use comes first.
        wanted.sort(key=lambda item: item[0], reverse=True)
        self._actions += [action for _, action in wanted]

    def _measure_worth(
        self,
        domain: str,
        model: str,
        inventory: spare_inventory.SpareInventory,
    ) -> tuple[float, ...]:
        """Return what one more spare of a model is worth in a domain."""
        shape = self._shapes[model]
        need = self._needs[model]
        short = inventory.count_short(domain, model)
        if short:
            gain = 1 / short
        elif need > SCALE_UP_UTILISATION and (
            inventory.count_held(domain, model) + 1 >= shape.size
        ):
            gain = COMPLETED_GAIN
        else:
            cover = inventory.measure_cover(domain, model) / shape.size
            gain = min(COVER_GAIN * cover, COMPLETED_GAIN)
        return (
            gain * max(LEAST_NEED, need) ** 2,
            -inventory.count_left(model),
            need,
        )

    def _choose_model(
        self,
        domain: str,
        host: plan_types.FreeEndpoint,
        inventory: spare_inventory.SpareInventory,
    ) -> str:
        """Return what a spare should hold; empty if what it holds is fine."""
        held = next((name for name in self._shapes if name in host.staged), '')
        if held and inventory.count_left(held) <= 0:
            return ''
        best = max(
            self._shapes,
            key=lambda name: self._measure_worth(domain, name, inventory),
        )
        if not held or best == held:
            return best
        if self._has_newcomers:
            return ''
        gap = self._needs[best] - self._needs[held]
        is_worth_it = (
            gap > RESTAGE_UTILISATION_GAP
            and inventory.count_left(best) < inventory.count_left(held) - 1
        )
        return best if is_worth_it else ''

    def _warm(self) -> None:
        """Let spares join groups of one with what their hosts hold."""
        for domain, hosts in self._free.items():
            for host in hosts:
                fitting = [
                    name for name in self._shapes if name in host.staged
                ]
                if fitting and host.spare_model not in fitting:
                    self._actions.append(
                        plan_types.WarmSpare(host.key, fitting[0], domain)
                    )
