"""Counts spares and missing group members by fabric domain and model."""

import collections
from collections import abc

from filbertglade.replicas import plan_types


class SpareInventory:
    """Spares, group members and missing members, by domain and model.

    A spare counts for each model that its host holds and for the model that
    it is loading.

    :param free: free endpoints by fabric domain.
    :param incomplete: groups that lack members and wait for spares.
    :param groups: all groups.
    """

    def __init__(
        self,
        free: abc.Mapping[str, list[plan_types.FreeEndpoint]],
        incomplete: abc.Sequence[plan_types.Group],
        groups: abc.Sequence[plan_types.Group] = (),
    ) -> None:
        self._spares: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._missing: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        # Spares less missing members, over all domains.
        self._surplus: collections.Counter[str] = collections.Counter()
        for domain, endpoints in free.items():
            for endpoint in endpoints:
                for model in endpoint.staged | {endpoint.staging_model}:
                    self._add_spare(domain, model, 1)
        for group in incomplete:
            self._missing[group.domain, group.model] += group.missing_count
            self._surplus[group.model] -= group.missing_count
        self._cross_domain_members: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._same_domain_members: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        for group in groups:
            place = (group.domain, group.model)
            same_domain = len(group.present) - len(group.cross_domain_members)
            self._same_domain_members[place] += same_domain
            self._cross_domain_members[place] += len(
                group.cross_domain_members
            )

    def count_spares(self, domain: str, model: str) -> int:
        """Return how many of a domain's spares hold or load a model.

        :param domain: the fabric domain.
        :param model: the model.
        """
        return self._spares[domain, model]

    def count_shortage(self, domain: str, model: str) -> int:
        """Return how many more spares a domain's own groups need.

        The groups need one spare for each missing member and one to replace
        each cross-domain member.

        :param domain: the fabric domain.
        :param model: the model.
        :returns: the needed spares that no spare of the domain covers, at
            least 0.
        """
        place = (domain, model)
        # A cross-domain member makes its whole group slower.
        needed = self._missing[place] + self._cross_domain_members[place]
        return max(0, needed - self._spares[place])

    def measure_members_per_spare(self, domain: str, model: str) -> float:
        """Return the same-domain members per spare, with one more spare.

        :param domain: the fabric domain.
        :param model: the model.
        """
        place = (domain, model)
        return self._same_domain_members[place] / (1 + self._spares[place])

    def count_surplus(self, model: str) -> int:
        """Return the spares less the missing members, over all domains.

        :param model: the model.
        :returns: the difference; negative if spares are too few.
        """
        return self._surplus[model]

    def move(
        self, domain: str, endpoint: plan_types.FreeEndpoint, model: str
    ) -> None:
        """Count a spare under the model that it is to load.

        :param domain: its fabric domain.
        :param endpoint: the spare.
        :param model: the model.
        """
        for name in endpoint.staged:
            self._add_spare(domain, name, -1)
        self._add_spare(domain, model, 1)

    def _add_spare(self, domain: str, model: str, count: int) -> None:
        self._spares[domain, model] += count
        self._surplus[model] += count
