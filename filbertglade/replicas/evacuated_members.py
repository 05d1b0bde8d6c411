"""Which groups have members in evacuated data centres."""

from collections import abc

from filbertglade.control import state
from filbertglade.fleet import registry
from filbertglade.inner import commands_pb2


class EvacuatedMembers:
    """Compares the members' data centres with the agreed evacuations.

    :param agreed: the agreed state.
    :param endpoint_registry: the endpoints.
    """

    def __init__(
        self, agreed: state.AgreedState, endpoint_registry: registry.Registry
    ) -> None:
        self._agreed = agreed
        self._registry = endpoint_registry

    def affects(
        self, record: commands_pb2.ReplicaRecord, present: abc.Collection[str]
    ) -> bool:
        """Return whether a group is evacuated, as far as is known.

        A member that is lost doesn't count: a group outside is repaired with
        others. Of a group without members, the head's last place counts.

        :param record: the group.
        :param present: its members that are present.
        """
        names = self._agreed.evacuations.names
        if not names:
            return False
        keys = present or record.endpoints[:1]
        return any(self._find_place(record, key) in names for key in keys)

    def may_affect(self, record: commands_pb2.ReplicaRecord) -> bool:
        """Return whether a group may have an evacuated member.

        A new leader doesn't know the places of members that it has not seen,
        and a group may have members in several data centres. Until they have
        announced themselves, such a group gets no requests while any
        evacuation is in force.

        :param record: the group.
        """
        names = self._agreed.evacuations.names
        if not names:
            return False
        places = {self._find_place(record, key) for key in record.endpoints}
        return None in places or bool(places & names)

    def _find_place(
        self, record: commands_pb2.ReplicaRecord, key: str
    ) -> str | None:
        """Return a member's data centre; None if it is unknown."""
        known = self._registry.entries.get(key)
        if known is not None:
            return known.endpoint.data_centre
        return record.head_data_centre if key == record.endpoints[0] else None
