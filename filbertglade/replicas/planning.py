"""Decides which endpoints form which groups, and which models spares load.

The plan depends only on the planner's input: nothing here waits for or sends
anything.

A group is complete if all of its members are present, and incomplete
otherwise. A same-domain group has all its members in one fabric domain. A
cross-domain group has members in other domains and is slower. A model's
utilisation is its requests in flight as a fraction of the concurrent requests
that its complete groups can run.
"""

import collections
from collections import abc

from filbertglade.fleet import document
from filbertglade.replicas import layout
from filbertglade.replicas import plan_types
from filbertglade.replicas import spares
from filbertglade.replicas import spread_layout

# Fraction of the endpoints that the first layout leaves as spares for lost
# members. Between a sixth and a quarter, benchmarks/mending.py gives the same
# credit (its score for responses in time) over a minute of losses; with fewer
# spares, more endpoints serve in complete groups until members are lost.
SPARE_FRACTION = 0.165
# Share of the work of a model whose share in the document is 0.
DEFAULT_MODEL_SHARE = 0.01
# Utilisation of a model above which one more group of it is worth more than
# the spares that it is formed of.
SCALE_UP_UTILISATION = 0.35
# Utilisation of a model above which even a cross-domain group helps and is
# worth the spares of other domains. Below it the complete groups answer all
# requests in time: benchmarks/mending.py shows more credit after 20 s than
# with 0.5.
CROSS_DOMAIN_UTILISATION = 0.8
# Stands for the utilisation of a model without a complete group. It is higher
# than that of any model with one, so that such a model comes first.
UNSERVED_UTILISATION = 10.0
# Least difference in utilisation for which a spare of one model loads another
# model instead. With less, spares would oscillate between the models.
RESTAGE_UTILISATION_GAP = 0.6
# Lower bound of the utilisation by which the choice of a spare's model is
# weighted. Without traffic all models have the same weight.
MIN_STAGING_UTILISATION = 0.2
# Gain of one more spare for a model in a domain, relative to a spare that
# completes a group (1.0): if the domain then has enough spares for a new
# group, and for each group that the domain has per spare.
NEW_GROUP_GAIN = 0.8
RESERVE_SPARE_GAIN = 0.3
# Fraction of a model's groups that may be unavailable when cross-domain groups
# are released to form a same-domain group.
MAX_UNAVAILABLE_FRACTION = 0.25
# Most cross-domain groups released at once to form one same-domain group.
MAX_REGROUPED_GROUPS = 2


def _count_members_in(group: plan_types.Group, domain: str) -> int:
    """Return how many present members of a group are in a domain."""
    if domain == group.domain:
        return len(group.present) - len(group.cross_domain_members)
    return sum(place == domain for place in group.other_domains)


class Planner:
    """Makes one plan.

    :param planner_input: state that the plan is made from.
    """

    def __init__(self, planner_input: plan_types.PlannerInput) -> None:
        self._input = planner_input
        self._shapes = {shape.name: shape for shape in planner_input.models}
        self._free: dict[str, list[plan_types.FreeEndpoint]] = (
            collections.defaultdict(list)
        )
        for endpoint in planner_input.free:
            self._free[endpoint.domain].append(endpoint)
        self._actions: list[plan_types.Action] = []
        self._has_empty_hosts = False
        # Utilisation by model, computed once before models are chosen for
        # spares: nothing later in the plan changes it.
        self._utilisations: dict[str, float] = {}
        # Groups that this plan repairs.
        self._repaired: set[str] = set()

    def plan(self) -> list[plan_types.Action]:
        """Return the actions to carry out now, the most urgent first."""
        self._release_unconfigured()
        incomplete = self._repair_same_domain()
        incomplete = self._repair_cross_domain(incomplete)
        self._release_donor_groups(incomplete)
        self._replace_cross_domain_members()
        self._release_cross_domain_groups()
        if self._input.has_traffic:
            self._add_groups()
        else:
            self._form_first_groups()
        self._stage_models(incomplete)
        self._warm_spares()
        return self._actions

    def _release_unconfigured(self) -> None:
        """Release groups whose model or size has left the document."""
        for group in self._input.groups:
            shape = self._shapes.get(group.model)
            if shape is None or shape.size != len(group.members):
                self._release(
                    group, 'the document has no model of this name and size'
                )

    def _release(self, group: plan_types.Group, reason: str) -> None:
        self._actions.append(
            plan_types.ReleaseGroup(group.name, group.epoch, reason)
        )

    # Repair

    def _repair_same_domain(self) -> list[plan_types.Group]:
        """Replace missing members with spares of the group's own domain.

        :returns: the groups that could not be repaired in this way.
        """
        incomplete = []
        to_repair = [
            group
            for group in self._input.groups
            if group.model in self._shapes
            and not (group.is_complete and not group.is_broken)
        ]
        to_repair.sort(key=lambda group: group.missing_count)
        for group in to_repair:
            replacements = self._take_staged(
                group.domain, group.model, group.missing_count
            )
            if replacements is None or not (group.present or replacements):
                incomplete.append(group)
            else:
                self._form_again(group, group.present, replacements, 'mended')
        return incomplete

    def _form_again(
        self,
        group: plan_types.Group,
        staying: abc.Iterable[str],
        replacements: list[str],
        reason: str,
    ) -> None:
        self._repaired.add(group.name)
        self._actions.append(
            plan_types.FormGroup(
                group.model,
                group.domain,
                (*staying, *replacements),
                group.name,
                group.epoch,
                reason,
            )
        )

    def _repair_cross_domain(
        self, incomplete: list[plan_types.Group]
    ) -> list[plan_types.Group]:
        """Replace missing members with spares of any domain.

        A cross-domain group is slow, so this is done only if the model's
        other groups are highly utilised. Otherwise a domain's last spare is
        worth more for the groups of its own domain.

        :param incomplete: groups that spares of their domain can't repair.
        :returns: the groups that are still not repaired.
        """
        unrepaired = []
        for group in incomplete:
            if not self._needs_cross_domain_groups(group.model):
                unrepaired.append(group)
                continue
            count = group.missing_count
            replacements = self._find_staged_anywhere(group, count)
            if not group.present or len(replacements) < count:
                unrepaired.append(group)
                continue
            for endpoint in replacements:
                self._free[endpoint.domain].remove(endpoint)
            self._form_again(
                group,
                group.present,
                [endpoint.key for endpoint in replacements],
                'mended across domains',
            )
        return unrepaired

    def _needs_cross_domain_groups(self, model: str) -> bool:
        return (
            self._measure_utilisation(self._shapes[model])
            > CROSS_DOMAIN_UTILISATION
        )

    def _find_staged_anywhere(
        self, group: plan_types.Group, count: int
    ) -> list[plan_types.FreeEndpoint]:
        """Return spares of any domain that hold a group's model.

        Spares of the group's own domain come first, then those of the
        domains with the most free endpoints.

        :param group: the group.
        :param count: how many spares to return at most.
        """
        own = [
            endpoint
            for endpoint in self._free[group.domain]
            if group.model in endpoint.staged
        ]
        others = sorted(
            (
                endpoint
                for domain, endpoints in self._free.items()
                if domain != group.domain
                for endpoint in endpoints
                if group.model in endpoint.staged
            ),
            key=lambda endpoint: (
                -len(self._free[endpoint.domain]),
                endpoint.join_rank(group.model),
            ),
        )
        return (own + others)[:count]

    def _take_staged(
        self, domain: str, model: str, count: int
    ) -> list[str] | None:
        """Take spares that hold a model, those that join fastest first.

        :param domain: the spares' fabric domain.
        :param model: the model.
        :param count: how many spares to take.
        :returns: the spares' incarnations; None if there are too few.
        """
        fitting = [
            endpoint
            for endpoint in self._free[domain]
            if model in endpoint.staged
        ]
        if len(fitting) < count:
            return None
        fitting.sort(key=lambda endpoint: endpoint.join_rank(model))
        # The first becomes the head, which receives the group's requests.
        taken = sorted(fitting[:count], key=lambda endpoint: endpoint.is_cold)
        for endpoint in taken:
            self._free[domain].remove(endpoint)
        return [endpoint.key for endpoint in taken]

    def _release_donor_groups(
        self, incomplete: list[plan_types.Group]
    ) -> None:
        """Release groups whose members can repair others of their model."""
        by_model: dict[str, list[plan_types.Group]] = {}
        for group in incomplete:
            by_model.setdefault(group.model, []).append(group)
        for model, groups in by_model.items():
            donor = self._find_donor(model, groups)
            if donor is not None:
                self._release(donor, 'its members repair another group')

    def _find_donor(
        self, model: str, groups: list[plan_types.Group]
    ) -> plan_types.Group | None:
        """Return the group whose release helps the others most.

        A group without present members comes first: nothing of it is left.

        :param model: the groups' model.
        :param groups: the model's incomplete groups.
        :returns: the group; None if no release can complete another group.
        """
        # A group whose head is present frees its members at once. One whose
        # head is silent may still serve until the stall that follows the loss
        # of a member is over.
        groups = sorted(
            groups, key=lambda group: (not group.has_head, len(group.present))
        )
        for group in groups:
            if not group.present:
                return group
        staged = sum(
            model in endpoint.staged
            for endpoints in self._free.values()
            for endpoint in endpoints
        )
        for donor in groups:
            others = [group for group in groups if group is not donor]
            same_domain = [
                group for group in others if group.domain == donor.domain
            ]
            if not same_domain and not self._needs_cross_domain_groups(model):
                continue
            for receiver in same_domain or others:
                missing = receiver.missing_count
                if len(donor.present) + staged >= missing:
                    return donor
        return None

    def _replace_cross_domain_members(self) -> None:
        """Turn cross-domain groups into same-domain groups.

        This needs a warm spare in the group's own domain for each of its
        cross-domain members.
        """
        for group in self._input.groups:
            if (
                not group.cross_domain_members
                or not group.is_complete
                or group.is_broken
            ):
                continue
            warm = [
                endpoint
                for endpoint in self._free[group.domain]
                if endpoint.join_rank(group.model) == 0
            ]
            if len(warm) < len(group.cross_domain_members):
                continue
            staying = [
                key
                for key in group.members
                if key not in group.cross_domain_members
            ]
            taken = warm[: len(group.cross_domain_members)]
            for endpoint in taken:
                self._free[group.domain].remove(endpoint)
            self._form_again(
                group,
                staying,
                [endpoint.key for endpoint in taken],
                'moved into one domain',
            )

    def _release_cross_domain_groups(self) -> None:
        """Release cross-domain groups that can form a same-domain group.

        The new group consists of their members in one domain and of that
        domain's spares. A later plan forms it, once those members may join
        another group. Until then the model's other groups must do its work,
        so only a small fraction of them may be unavailable.
        """
        for shape in self._input.models:
            groups = [
                group
                for group in self._input.groups
                if group.model == shape.name
            ]
            cross_domain = [
                group for group in groups if group.cross_domain_members
            ]
            unavailable = sum(not group.serves for group in groups)
            if (
                self._measure_utilisation(shape) <= SCALE_UP_UTILISATION
                or unavailable > MAX_UNAVAILABLE_FRACTION * len(groups)
            ):
                continue
            domains = {
                domain
                for group in cross_domain
                for domain in (group.domain, *group.other_domains)
            }
            for domain in sorted(domains):
                staged = sum(
                    shape.name in endpoint.staged
                    for endpoint in self._free.get(domain, ())
                )
                chosen = self._find_regroupable(
                    shape, domain, staged, cross_domain
                )
                if chosen:
                    for group in chosen:
                        self._release(group, f'regrouped in {domain}')
                    break

    def _find_regroupable(
        self,
        shape: document.ModelShape,
        domain: str,
        staged: int,
        cross_domain: list[plan_types.Group],
    ) -> list[plan_types.Group]:
        """Return the fewest groups to release for a same-domain group.

        :param shape: the groups' model.
        :param domain: the fabric domain of the new group.
        :param staged: that domain's spares that hold the model.
        :param cross_domain: the model's cross-domain groups.
        :returns: the groups to release; empty if their members and the
            spares are too few.
        """
        wanted = shape.size - staged
        counted = sorted(
            (
                (_count_members_in(group, domain), group)
                for group in cross_domain
            ),
            key=lambda item: -item[0],
        )
        chosen = []
        for count, group in counted[:MAX_REGROUPED_GROUPS]:
            if not count or wanted <= 0:
                break
            chosen.append(group)
            wanted -= count
        return chosen if wanted <= 0 else []

    # New groups

    def _form_first_groups(self) -> None:
        """Form the first groups; each model gets its share of endpoints."""
        models = self._input.models
        # Groups that exist before the first request are left from a first
        # layout, which is not made twice.
        if self._input.groups or not models:
            return
        endpoints = {domain: len(free) for domain, free in self._free.items()}
        sizes = [shape.size for shape in models]
        total = sum(endpoints.values())
        wanted = layout.count_groups(
            round(total * (1 - SPARE_FRACTION)),
            sizes,
            [
                (shape.share or DEFAULT_MODEL_SHARE) / shape.size
                for shape in models
            ],
        )
        if self._input.spreads_groups:
            places = {
                domain: free[0].data_centre if free else ''
                for domain, free in self._free.items()
            }
            packed = spread_layout.fit_groups(endpoints, places, sizes, wanted)
        else:
            packed = layout.fit_groups(endpoints, sizes, wanted)
        for domain, counts in packed.items():
            for shape, count in zip(models, counts, strict=True):
                for _ in range(count):
                    self._form_first_group(shape, domain)

    def _form_first_group(
        self, shape: document.ModelShape, domain: str
    ) -> None:
        endpoints = self._free[domain]
        endpoints.sort(key=lambda endpoint: shape.name not in endpoint.staged)
        taken = endpoints[: shape.size]
        taken.sort(key=lambda endpoint: endpoint.is_cold)
        members = tuple(endpoint.key for endpoint in taken)
        del endpoints[: shape.size]
        self._actions.append(
            plan_types.FormGroup(
                shape.name, domain, members, reason='first layout'
            )
        )

    def _add_groups(self) -> None:
        """Form groups of spares for utilised models or from surplus spares."""
        for shape in sorted(
            self._input.models, key=self._measure_utilisation, reverse=True
        ):
            utilisation = self._measure_utilisation(shape)
            for domain in list(self._free):
                if (
                    utilisation <= SCALE_UP_UTILISATION
                    and not self._has_surplus_spares(shape.size)
                ):
                    break
                members = self._take_staged(domain, shape.name, shape.size)
                if members is not None:
                    self._form_new(shape, domain, members, utilisation)
            if utilisation > CROSS_DOMAIN_UTILISATION:
                self._add_cross_domain_group(shape, utilisation)

    def _has_surplus_spares(self, size: int) -> bool:
        """Return whether enough spares are left after forming a group.

        As many are enough as a first layout leaves.

        :param size: endpoints that the group takes.
        """
        spare = sum(map(len, self._free.values()))
        members = sum(len(group.present) for group in self._input.groups)
        return spare - size >= int(SPARE_FRACTION * (spare + members))

    def _form_new(
        self,
        shape: document.ModelShape,
        domain: str,
        members: list[str],
        utilisation: float,
    ) -> None:
        self._actions.append(
            plan_types.FormGroup(
                shape.name,
                domain,
                tuple(members),
                reason=f'utilisation {utilisation:.2f}',
            )
        )

    def _add_cross_domain_group(
        self, shape: document.ModelShape, utilisation: float
    ) -> None:
        """Form a group of spares from several domains."""
        fitting = {
            domain: [
                endpoint
                for endpoint in endpoints
                if shape.name in endpoint.staged
            ]
            for domain, endpoints in self._free.items()
        }
        if sum(map(len, fitting.values())) <= shape.size:
            return
        taken: list[plan_types.FreeEndpoint] = []
        for domain in sorted(fitting, key=lambda name: -len(fitting[name])):
            taken += fitting[domain][: shape.size - len(taken)]
        for endpoint in taken:
            self._free[endpoint.domain].remove(endpoint)
        self._form_new(
            shape,
            taken[0].domain,
            [endpoint.key for endpoint in taken],
            utilisation,
        )

    def _measure_utilisation(self, shape: document.ModelShape) -> float:
        """Return the utilisation of a model.

        Groups that will not serve add no slots, but their requests in flight
        count. Slots of a cross-domain group count for less, by its slowdown.

        :param shape: the model.
        """
        groups = [
            group
            for group in self._input.groups
            if group.model == shape.name and self._will_serve(group)
        ]
        if not groups:
            return UNSERVED_UTILISATION
        in_flight = sum(
            group.in_flight
            for group in self._input.groups
            if group.model == shape.name
        ) + self._input.displaced.get(shape.name, 0)
        slowdown = self._input.cross_domain_slowdown
        capacity = sum(
            1 / slowdown if group.cross_domain_members else 1.0
            for group in groups
        )
        return in_flight / (capacity * self._input.slots)

    def _will_serve(self, group: plan_types.Group) -> bool:
        """Return whether a group serves, or will within about a second."""
        return group.name in self._repaired or (
            group.is_complete and not group.is_broken
        )

    # Staging

    def _stage_models(
        self, incomplete: abc.Sequence[plan_types.Group]
    ) -> None:
        """Order model loads for spares, those with the most gain first.

        :param incomplete: groups that wait for spares.
        """
        if not self._input.models:
            return
        # The store serves only a few loads concurrently: while hosts without
        # any model wait for it, no other host replaces its model.
        self._has_empty_hosts = any(
            not endpoint.staged and not endpoint.staging_model
            for endpoints in self._free.values()
            for endpoint in endpoints
        )
        self._utilisations = {
            name: self._measure_utilisation(shape)
            for name, shape in self._shapes.items()
        }
        inventory = spares.SpareInventory(
            self._free, incomplete, self._input.groups
        )
        wanted: list[tuple[tuple[float, ...], plan_types.StageModel]] = []
        for domain, endpoints in self._free.items():
            for endpoint in endpoints:
                if endpoint.staging_model:
                    continue
                model = self._choose_model(domain, endpoint, inventory)
                if model and model not in endpoint.staged:
                    worth = self._measure_worth(domain, model, inventory)
                    inventory.move(domain, endpoint, model)
                    wanted.append(
                        (worth, plan_types.StageModel(endpoint.key, model))
                    )
        # Only the first few loads begin now, for the same reason.
        wanted.sort(key=lambda item: item[0], reverse=True)
        self._actions += [action for _, action in wanted]

    def _measure_worth(
        self,
        domain: str,
        model: str,
        inventory: spares.SpareInventory,
    ) -> tuple[float, ...]:
        """Return the worth of one more spare of a model in a domain.

        :param domain: the fabric domain.
        :param model: the model.
        :param inventory: spares and missing members, with the loads that
            this plan has already ordered.
        :returns: a sort key, higher for a more useful spare.
        """
        shape = self._shapes[model]
        utilisation = self._utilisations[model]
        shortage = inventory.count_shortage(domain, model)
        if shortage:
            gain = 1 / shortage
        elif utilisation > SCALE_UP_UTILISATION and (
            inventory.count_spares(domain, model) + 1 >= shape.size
        ):
            gain = NEW_GROUP_GAIN
        else:
            groups_per_spare = (
                inventory.measure_members_per_spare(domain, model) / shape.size
            )
            gain = min(RESERVE_SPARE_GAIN * groups_per_spare, NEW_GROUP_GAIN)
        return (
            gain * max(MIN_STAGING_UTILISATION, utilisation) ** 2,
            -inventory.count_surplus(model),
            utilisation,
        )

    def _choose_model(
        self,
        domain: str,
        endpoint: plan_types.FreeEndpoint,
        inventory: spares.SpareInventory,
    ) -> str:
        """Return the model that a spare should load.

        :param domain: the spare's fabric domain.
        :param endpoint: the spare.
        :param inventory: spares and missing members, with the loads that
            this plan has already ordered.
        :returns: the model; may be the one that the spare holds. Empty if
            it should load none.
        """
        held = next(
            (name for name in self._shapes if name in endpoint.staged), ''
        )
        if held and inventory.count_surplus(held) <= 0:
            return ''
        best = max(
            self._shapes,
            key=lambda name: self._measure_worth(domain, name, inventory),
        )
        if not held or best == held:
            return best
        if self._has_empty_hosts:
            return ''
        gap = self._utilisations[best] - self._utilisations[held]
        is_worthwhile = (
            gap > RESTAGE_UTILISATION_GAP
            and inventory.count_surplus(best)
            < inventory.count_surplus(held) - 1
        )
        return best if is_worthwhile else ''

    def _warm_spares(self) -> None:
        """Let spares join spare groups of a model that their hosts hold."""
        for domain, endpoints in self._free.items():
            for endpoint in endpoints:
                fitting = [
                    name for name in self._shapes if name in endpoint.staged
                ]
                if fitting and endpoint.spare_model not in fitting:
                    self._actions.append(
                        plan_types.WarmSpare(endpoint.key, fitting[0], domain)
                    )
