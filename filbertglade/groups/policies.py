"""Interface of the repair policies for groups that have lost hosts."""

import abc
import dataclasses

from filbertglade.configuration import model as configuration_model
from filbertglade.inner import commands_pb2


@dataclasses.dataclass(slots=True)
class BrokenGroup:
    """A group that has lost at least one host.

    :param record: the group.
    :param deployment: its deployment.
    :param lost: the hosts that it has lost.
    :param absent_ms: absence of the host that was lost last.
    """

    record: commands_pb2.GroupRecord
    deployment: configuration_model.Deployment
    lost: list[str]
    absent_ms: int

    @property
    def survivors(self) -> list[str]:
        """The remaining hosts, in group order."""
        return [host for host in self.record.hosts if host not in self.lost]


@dataclasses.dataclass(slots=True)
class RepairContext:
    """The inputs of a policy's decision about one broken group.

    :param free: hosts of the group's fabric domain that can join now.
    :param broken: all broken groups of the domain, including this one.
    :param fits_other_domain: whether a complete group can be formed from the
        free hosts of another fabric domain.
    :param expected_return_ms: the expected remaining absence of the lost
        hosts; None if unknown.
    :param expected_load_ms: the expected time until a replacement serves.
    """

    free: list[str]
    broken: list[BrokenGroup]
    fits_other_domain: bool
    expected_return_ms: float | None
    expected_load_ms: float

    @property
    def is_return_quicker(self) -> bool:
        """Whether the lost hosts are likely to return before a load ends."""
        return (
            self.expected_return_ms is not None
            and self.expected_return_ms < self.expected_load_ms
        )


@dataclasses.dataclass(slots=True)
class Replace:
    """Re-form the group with these hosts.

    :param hosts: all its hosts after the change.
    """

    hosts: list[str]


@dataclasses.dataclass(slots=True)
class Wait:
    """Keep the group unchanged for now."""


@dataclasses.dataclass(slots=True)
class Release:
    """Dissolve the group; its hosts become free once they are quiesced.

    :param reason: the reason, for the log.
    """

    reason: str


Decision = Replace | Wait | Release


class RepairPolicy(abc.ABC):
    """Handles broken groups and chooses the domain of new groups."""

    @abc.abstractmethod
    def decide(self, group: BrokenGroup, context: RepairContext) -> Decision:
        """Decide how to handle a broken group now.

        :param group: the group.
        :param context: the state of the group's fabric domain.
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


def replace_lost(group: BrokenGroup, context: RepairContext) -> Replace | None:
    """Return the decision to replace the lost hosts by free ones.

    :param group: the group.
    :param context: the state of the group's fabric domain.
    :returns: the decision; None if there are too few free hosts.
    """
    needed = len(group.lost)
    if len(context.free) < needed:
        return None
    return Replace(group.survivors + context.free[:needed])


def should_yield(group: BrokenGroup, context: RepairContext) -> bool:
    """Tell whether a broken group should yield its hosts to another one.

    The broken groups of a domain are sorted by descending priority, then by
    ascending number of lost hosts. The last group yields if the free hosts and
    the survivors of all groups but the first suffice to complete the first.

    :param group: the group.
    :param context: the state of the group's fabric domain.
    """
    order = sorted(
        context.broken,
        key=lambda item: (
            -item.deployment.priority,
            len(item.lost),
            item.record.group,
        ),
    )
    first = order[0]
    if len(order) < 2 or order[-1].record.group != group.record.group:
        return False
    supply = len(context.free) + sum(len(item.survivors) for item in order[1:])
    return supply >= len(first.lost)
