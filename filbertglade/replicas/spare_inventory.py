"""Spares and what groups lack, by domain and model."""

import collections
from collections import abc

from filbertglade.replicas import plan_types


class SpareInventory:
    """Spares and missing members, by domain and model.

    :param free: the spares by domain.
    :param waiting: groups that lack members.
    :param groups: all groups.
    """

    def __init__(
        self,
        free: abc.Mapping[str, list[plan_types.FreeEndpoint]],
        waiting: abc.Sequence[plan_types.Group],
        groups: abc.Sequence[plan_types.Group] = (),
    ) -> None:
        self._held: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._lacking: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        for domain, hosts in free.items():
            for host in hosts:
                for model in host.staged | {host.staging_model}:
                    self._held[domain, model] += 1
        for group in waiting:
            self._lacking[group.domain, group.model] += group.missing_count
        self._far: collections.Counter[tuple[str, str]] = collections.Counter()
        self._members: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        for group in groups:
            place = (group.domain, group.model)
            near = len(group.present) - len(group.cross_domain_members)
            self._members[place] += near
            self._far[place] += len(group.cross_domain_members)

    def count_held(self, domain: str, model: str) -> int:
        """Return a domain's spares that hold a model, or soon will.

        :param domain: the domain.
        :param model: the model.
        """
        return self._held[domain, model]

    def count_short(self, domain: str, model: str) -> int:
        """Return how many spares a domain lacks for its own groups.

        :param domain: the domain.
        :param model: the model.
        """
        place = (domain, model)
        # A member in another domain makes its group slow.
        lacking = self._lacking[place] + self._far[place]
        return max(0, lacking - self._held[place])

    def measure_cover(self, domain: str, model: str) -> float:
        """Return a domain's members of a model for each spare of it.

        :param domain: the domain.
        :param model: the model.
        """
        place = (domain, model)
        return self._members[place] / (1 + self._held[place])

    def count_left(self, model: str) -> int:
        """Return the spares of all domains beyond what is missing.

        :param model: the model.
        """
        held = sum(
            count for (_, name), count in self._held.items() if name == model
        )
        lacking = sum(
            count
            for (_, name), count in self._lacking.items()
            if name == model
        )
        return held - lacking

    def move(
        self, domain: str, host: plan_types.FreeEndpoint, model: str
    ) -> None:
        """Count a spare under the model that it is to hold.

        :param domain: its domain.
        :param host: the spare.
        :param model: the model.
        """
        for name in host.staged:
            self._held[domain, name] -= 1
        self._held[domain, model] += 1
