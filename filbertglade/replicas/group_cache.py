"""Values derived from groups, cached until a group changes."""

from collections import abc
import dataclasses
import typing

from filbertglade.control import state
from filbertglade.fleet import registry
from filbertglade.inner import commands_pb2

T = typing.TypeVar('T')


@dataclasses.dataclass(slots=True)
class _Entry(typing.Generic[T]):
    """The cached value of a group.

    :param record: the group's record.
    :param value: the value derived from it.
    """

    record: commands_pb2.ReplicaRecord
    value: T


class GroupCache(typing.Generic[T]):
    """Derives a value from each group, again only where it has changed.

    With hundreds of endpoints, looking at all members of all groups many
    times a second takes a large part of a leader's time.

    :param agreed: the agreed state.
    :param endpoint_registry: the endpoints.
    :param derive: derives the value from a group's record.
    :param with_spare_groups: whether spare groups have a value too.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        endpoint_registry: registry.Registry,
        derive: abc.Callable[[commands_pb2.ReplicaRecord], T],
        with_spare_groups: bool = False,
    ) -> None:
        self._agreed = agreed
        self._registry = endpoint_registry
        self._derive = derive
        self._with_spare_groups = with_spare_groups
        self._conditions: object = None
        self._registry_version = -1
        self._entries: dict[str, _Entry[T]] = {}

    def clear(self) -> None:
        """Derive all values again at the next refresh."""
        self._entries.clear()

    def refresh(self, conditions: object = None) -> abc.Iterable[T]:
        """Return the value of each group.

        The value of a group that has not changed is the same object as before.

        :param conditions: what values depend on beside the group's record
            and its members' entries in the registry.
        """
        if conditions != self._conditions:
            self._conditions = conditions
            self._entries.clear()
        changed = self._list_changed_groups()
        current: dict[str, _Entry[T]] = {}
        for group, record in self._agreed.replicas.records.items():
            if record.is_spare and not self._with_spare_groups:
                continue
            entry = self._entries.get(group)
            if entry is None or entry.record is not record or group in changed:
                entry = _Entry(record, self._derive(record))
            current[group] = entry
        self._entries = current
        self._registry_version = self._registry.version
        return [entry.value for entry in current.values()]

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
