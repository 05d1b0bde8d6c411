"""What planning goes by, and what it decides."""

import dataclasses

from filbertglade.fleet import document


@dataclasses.dataclass(slots=True)
class FreeEndpoint:
    """An endpoint that planning may count on.

    :param key: its life.
    :param domain: its fabric domain.
    :param staged: models on its host.
    :param staging_model: the model that it was ordered to stage; empty if
        none is under way.
    :param spare_model: the model of the group of one that it is in; empty
        if it is in none.
    :param is_warm: whether it has joined that group.
    """

    key: str
    domain: str
    staged: frozenset[str] = frozenset()
    staging_model: str = ''
    spare_model: str = ''
    is_warm: bool = False

    def join_rank(self, model: str) -> int:
        """Return how fast it joins a group of a model; less is faster.

        :param model: the model.
        """
        if model not in self.staged:
            return 2
        return 0 if self.is_warm and self.spare_model == model else 1


@dataclasses.dataclass(slots=True)
class Group:
    """A group as it was formed, and who of it is there.

    :param name: its name.
    :param epoch: its epoch.
    :param model: its model.
    :param domain: its fabric domain.
    :param members: lives of its endpoints, the head first.
    :param present: those that are there and stay.
    :param is_broken: whether the head says that it broke.
    :param in_flight: requests in flight on it.
    :param cross_domain_members: its present members in other domains.
    :param other_domains: those domains, one for each such member.
    :param serves: whether it takes requests now.
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

    @property
    def has_head(self) -> bool:
        """Whether the head is there."""
        return self.members[0] in self.present

    @property
    def is_complete(self) -> bool:
        """Whether every member is there."""
        return not self.missing_count

    @property
    def missing_count(self) -> int:
        """How many members are not there."""
        return len(self.members) - len(self.present)


@dataclasses.dataclass(frozen=True, slots=True)
class FormGroup:
    """Form a group, or form it anew.

    :param model: its model.
    :param domain: its fabric domain.
    :param members: lives of its endpoints, the head first.
    :param group: the present group's name; empty for a new one.
    :param epoch: the present group's epoch; 0 for a new one.
    :param reason: for the log.
    """

    model: str
    domain: str
    members: tuple[str, ...]
    group: str = ''
    epoch: int = 0
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseGroup:
    """End a group, so that its members may join others.

    :param group: its name.
    :param epoch: its epoch.
    :param reason: for the log.
    """

    group: str
    epoch: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StageModel:
    """Load a model onto a spare's host.

    :param key: the spare's life.
    :param model: the model.
    """

    key: str
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class WarmSpare:
    """Let a spare join a group of one that is never opened.

    :param key: the spare's life.
    :param model: the model, which its host holds.
    :param domain: its fabric domain.
    """

    key: str
    model: str
    domain: str


Action = FormGroup | ReleaseGroup | StageModel | WarmSpare


@dataclasses.dataclass(slots=True)
class PlannerInput:
    """What a plan goes by.

    :param models: the service's models.
    :param slots: requests that a group runs at once.
    :param groups: the groups.
    :param free: endpoints that may join any group now.
    :param has_traffic: whether callers have come yet; before, loads are
        free.
    :param cross_domain_slowdown: factor by which a group is slower if its
        members are in several fabric domains.
    """

    models: list[document.ModelShape]
    slots: int
    groups: list[Group]
    free: list[FreeEndpoint]
    has_traffic: bool
    cross_domain_slowdown: float = 1.0
