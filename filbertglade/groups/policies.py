"""Repair policies: what becomes of a group that has lost hosts."""

import abc
import dataclasses

from filbertglade.configuration import model as configuration_model
from filbertglade.inner import commands_pb2


@dataclasses.dataclass(slots=True)
class BrokenGroup:
    """A group that has to do without some of its hosts.

    :param record: the group.
    :param deployment: its deployment.
    :param gone: the hosts that it has lost.
    :param absent_ms: for how long the last of them has been away.
    """

    record: commands_pb2.GroupRecord
    deployment: configuration_model.Deployment
    gone: list[str]
    absent_ms: int

    @property
    def survivors(self) -> list[str]:
        """The hosts that are left, in their order."""
        return [host for host in self.record.hosts if host not in self.gone]


@dataclasses.dataclass(slots=True)
class RepairScene:
    """What a policy decides by.

    :param free: hosts of the group's fabric domain that can join at once.
    :param broken: all broken groups of the fabric domain, this one too.
    :param fits_elsewhere: whether a whole group can be formed of free hosts
        of another fabric domain.
    :param expected_return_ms: for how much longer the lost hosts are likely
        to be away; None if unknown.
    :param expected_load_ms: how long a replacement takes to serve.
    """

    free: list[str]
    broken: list[BrokenGroup]
    fits_elsewhere: bool
    expected_return_ms: float | None
    expected_load_ms: float

    @property
    def is_return_quicker(self) -> bool:
        """Whether waiting is likely to take less time than a load."""
        return (
            self.expected_return_ms is not None
            and self.expected_return_ms < self.expected_load_ms
        )


@dataclasses.dataclass(slots=True)
class Replace:
    """Form the group anew with these hosts.

    :param hosts: all its hosts from now on.
    """

    hosts: list[str]


@dataclasses.dataclass(slots=True)
class Wait:
    """Leave the group as it is for now."""


@dataclasses.dataclass(slots=True)
class Release:
    """Give the group up; its hosts are free for others once rested.

    :param why: the reason, for the log.
    """

    why: str


Decision = Replace | Wait | Release


class RepairPolicy(abc.ABC):
    """Decides about broken groups, and where new groups stand."""

    @abc.abstractmethod
    def decide(self, group: BrokenGroup, scene: RepairScene) -> Decision:
        """Decide what becomes of a broken group at this moment.

        :param group: the group.
        :param scene: what is known.
        """

    @abc.abstractmethod
    def choose_domain(self, free: dict[str, int], needed: int) -> str | None:
        """Choose the fabric domain of a new group.

        :param free: by fabric domain, how many hosts can join.
        :param needed: how many hosts the group needs.
        :returns: the domain; None if none has enough.
        """

    @abc.abstractmethod
    def count_spares(self, deployment: configuration_model.Deployment) -> int:
        """Return how many idle hosts to keep in a fabric domain in use.

        :param deployment: a deployment that has groups there.
        """


def replace_gone(group: BrokenGroup, scene: RepairScene) -> Replace | None:
    """Return the group with free hosts in place of the lost ones.

    :param group: the group.
    :param scene: what is known.
    :returns: the decision; None if there are too few free hosts.
    """
    needed = len(group.gone)
    if len(scene.free) < needed:
        return None
    return Replace(group.survivors + scene.free[:needed])


def gives_way(group: BrokenGroup, scene: RepairScene) -> bool:
    """Tell whether a broken group should give its hosts to another one.

    The broken groups of a domain are completed in the order of priority,
    then of how little they lack; the last in this order gives way if its
    hosts help to complete the first.

    :param group: the group.
    :param scene: what is known.
    """
    order = sorted(
        scene.broken,
        key=lambda item: (
            -item.deployment.priority,
            len(item.gone),
            item.record.group,
        ),
    )
    first = order[0]
    if len(order) < 2 or order[-1].record.group != group.record.group:
        return False
    supply = len(scene.free) + sum(len(item.survivors) for item in order[1:])
    return supply >= len(first.gone)
