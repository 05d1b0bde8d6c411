"""Which deployments have no group left because of evacuations."""

from filbertglade.control import state
from filbertglade.inner import commands_pb2
from filbertglade.membership import presence
from filbertglade.replicas import unserved_models


def list_states(
    agreed: state.AgreedState, presence_table: presence.PresenceTable
) -> list[unserved_models.GroupState]:
    """Return the states of all groups.

    A group that is formed anew after a repair isn't usable for a time.

    :param agreed: the agreed state.
    :param presence_table: the latest announcement of each host.
    """
    return [
        unserved_models.GroupState(
            record.deployment,
            record.phase == commands_pb2.SERVING,
            not agreed.evacuations.names.isdisjoint(
                _find_places(record, presence_table)
            ),
        )
        for record in agreed.groups.groups.values()
        if record.phase != commands_pb2.DRAINING
    ]


def find_unserved(
    agreed: state.AgreedState, presence_table: presence.PresenceTable
) -> dict[str, list[str]]:
    """Return the deployments that no group serves because of evacuations.

    :param agreed: the agreed state.
    :param presence_table: the latest announcement of each host.
    :returns: by deployment, the evacuated data centres of its groups.
    """
    evacuated = agreed.evacuations.names
    if not evacuated:
        return {}
    states = list_states(agreed, presence_table)
    found: dict[str, set[str]] = {
        name: set() for name in unserved_models.find_unserved(states)
    }
    for record in agreed.groups.groups.values():
        if record.deployment in found:
            places = _find_places(record, presence_table)
            found[record.deployment] |= places & evacuated
    return {name: sorted(places) for name, places in sorted(found.items())}


def _find_places(
    record: commands_pb2.GroupRecord, presence_table: presence.PresenceTable
) -> set[str]:
    """Return the known data centres of a group's hosts."""
    return {
        seen.announcement.data_centre
        for host in record.hosts
        if (seen := presence_table.hosts.get(host)) is not None
    }
