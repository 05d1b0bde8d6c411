"""Input of the planner and the actions that it returns."""

from collections import abc
import dataclasses

from filbertglade.fleet import document


@dataclasses.dataclass(slots=True)
class FreeEndpoint:
    """An endpoint that serves no requests and may join any group.

    A free endpoint that holds a model is a spare for it. A warm spare has
    also joined a spare group: a group of its own, with itself as the only
    member, that is never opened to requests. It joins another group of the
    same model faster.

    :param key: the endpoint's incarnation: its id and start time.
    :param domain: its fabric domain.
    :param staged: models on its host.
    :param staging_model: the model whose load was ordered and has not
        ended; empty if there is none.
    :param spare_model: the model of its spare group; empty if it is in
        none.
    :param is_warm: whether the endpoint has joined its spare group.
    :param is_evacuated: whether it is in an evacuated data centre.
    :param is_cold: whether the endpoint takes few requests after its start.
    :param data_centre: its data centre.
    """

    key: str
    domain: str
    staged: frozenset[str] = frozenset()
    staging_model: str = ''
    spare_model: str = ''
    is_warm: bool = False
    is_evacuated: bool = False
    is_cold: bool = False
    data_centre: str = ''

    def join_rank(self, model: str) -> int:
        """Return the endpoint's rank for joining a group of a model.

        :param model: the model.
        :returns: 0 for a warm spare of the model, 1 if the model is staged,
            2 if it must be loaded first.
        """
        if model not in self.staged:
            return 2
        return 0 if self.is_warm and self.spare_model == model else 1


@dataclasses.dataclass(slots=True)
class Group:
    """A group as it was formed, and which of its members are present.

    A group is complete if all of its members are present. It is a
    cross-domain group if a present member is in another fabric domain than
    the group's; such a group serves, but more slowly.

    :param name: the group's name.
    :param epoch: its epoch.
    :param model: the model that it serves.
    :param domain: its fabric domain.
    :param members: incarnations of its endpoints, the head first.
    :param present: the members that are alive and not leaving.
    :param is_broken: whether the group can only go on with a higher epoch:
        its head reported it as broken, or an engine refused its epoch.
    :param in_flight: requests in flight on the group.
    :param cross_domain_members: present members in other fabric domains.
    :param other_domains: fabric domain of each cross-domain member, with
        repeats.
    :param serves: whether it is open to requests and complete.
    :param is_evacuated: whether a present member is in an evacuated data
        centre; without present members, whether the head was.
    """

    name: str
    epoch: int
    model: str
    domain: str
    members: tuple[str, ...]
    present: tuple[str, ...]
    is_broken: bool = False
    in_flight: int = 0
    cross_domain_members: frozenset[str] = frozenset()
    other_domains: tuple[str, ...] = ()
    serves: bool = True
    is_evacuated: bool = False

    @property
    def has_head(self) -> bool:
        """Whether the head is present."""
        return self.members[0] in self.present

    @property
    def is_complete(self) -> bool:
        """Whether every member is present."""
        return not self.missing_count

    @property
    def missing_count(self) -> int:
        """How many members are not present."""
        return len(self.members) - len(self.present)


@dataclasses.dataclass(frozen=True, slots=True)
class FormGroup:
    """Form a new group, or form an existing one again with other members.

    :param model: the group's model.
    :param domain: its fabric domain.
    :param members: incarnations of its endpoints, the head first.
    :param group: name of the existing group; empty for a new one.
    :param epoch: epoch of the existing group; 0 for a new one.
    :param reason: why, for the log.
    """

    model: str
    domain: str
    members: tuple[str, ...]
    group: str = ''
    epoch: int = 0
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseGroup:
    """Release a group, so that its members may join others.

    :param group: the group's name.
    :param epoch: its epoch.
    :param reason: why, for the log.
    """

    group: str
    epoch: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StageModel:
    """Load a model from the store onto the host of a free endpoint.

    :param key: the endpoint's incarnation.
    :param model: the model.
    """

    key: str
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class WarmSpare:
    """Make a spare warm: let it join a spare group of its own.

    :param key: the spare's incarnation.
    :param model: the spare group's model, staged on the spare's host.
    :param domain: the spare's fabric domain.
    """

    key: str
    model: str
    domain: str


Action = FormGroup | ReleaseGroup | StageModel | WarmSpare


@dataclasses.dataclass(slots=True)
class PlannerInput:
    """State of one service that a plan is made from.

    :param models: the service's models.
    :param slots: requests that a group runs concurrently.
    :param groups: the service's groups, without spare groups.
    :param free: endpoints that may join any group now.
    :param has_traffic: whether any request has arrived yet; until then
        model loads are not limited.
    :param cross_domain_slowdown: factor by which a group is slower if its
        members are in several fabric domains.
    :param displaced: by model, requests in flight on groups that are not
        part of the input, as they are evacuated.
    :param spreads_groups: whether the first layout spreads the groups of each
        model over data centres.
    """

    models: list[document.ModelShape]
    slots: int
    groups: list[Group]
    free: list[FreeEndpoint]
    has_traffic: bool
    cross_domain_slowdown: float = 1.0
    displaced: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    spreads_groups: bool = False
