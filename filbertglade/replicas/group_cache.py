"""What is made of each group, kept as long as nothing of it changes."""

from collections import abc
import dataclasses
import typing

from filbertglade.control import state
from filbertglade.fleet import registry
from filbertglade.inner import commands_pb2

T = typing.TypeVar('T')


@dataclasses.dataclass(slots=True)
class _Kept(typing.Generic[T]):
    """What was made of a group.

    :param record: the group's record.
    :param made: what was made of it.
    """

    record: commands_pb2.ReplicaRecord
    made: T


class GroupCache(typing.Generic[T]):
    """Makes something of each group, again only where something has changed.

    With hundreds of endpoints, looking at all members of all groups many
    times a second takes a large part of a leader's time.

    :param agreed: the agreed state.
    :param endpoint_registry: the endpoints.
    :param make: makes it of a group's record.
    :param with_spare_groups: whether it is made of spare groups too.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        endpoint_registry: registry.Registry,
        make: abc.Callable[[commands_pb2.ReplicaRecord], T],
        with_spare_groups: bool = False,
    ) -> None:
        self._agreed = agreed
        self._registry = endpoint_registry
        self._make = make
        self._with_spare_groups = with_spare_groups
        self._conditions: object = None
        self._registry_version = -1
        self._kept: dict[str, _Kept[T]] = {}

    def clear(self) -> None:
        """Make everything again at the next use."""
        self._kept.clear()

    def refresh(self, conditions: object = None) -> abc.Iterable[T]:
        """Return what is made of each group.

        What nothing has changed of since the last call is the same object.

        :param conditions: all that it also depends on, beside the group's
            record and its members' entries in the registry.
        """
        if conditions != self._conditions:
            self._conditions = conditions
            self._kept.clear()
        changed = self._list_changed_groups()
        current: dict[str, _Kept[T]] = {}
        for group, record in self._agreed.replicas.records.items():
            if record.is_spare and not self._with_spare_groups:
                continue
            kept = self._kept.get(group)
            if kept is None or kept.record is not record or group in changed:
                kept = _Kept(record, self._make(record))
            current[group] = kept
        self._kept = current
        self._registry_version = self._registry.version
        return [kept.made for kept in current.values()]

    def _list_changed_groups(self) -> set[str]:
        """Return the groups of which a member has changed."""
        table = self._agreed.replicas
        return {
            table.group_of_endpoint.get(key, '')
            for versions in (
                self._registry.changed_versions,
                self._registry.removed_versions,
            )
            for key in versions.list_since(self._registry_version)
        }
