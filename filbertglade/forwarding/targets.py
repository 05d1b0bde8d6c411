"""What a request may be sent to."""

import dataclasses

from filbertglade.fleet import endpoints
from filbertglade.inner import fleet_pb2


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A replica or plain endpoint that a request may be sent to.

    :param key: key of the endpoint's incarnation.
    :param endpoint_id: the endpoint's id.
    :param address: its address.
    :param data_centre: its data centre.
    :param slots: requests that it runs concurrently.
    :param group: its group; empty for a plain endpoint.
    :param epoch: the group's epoch.
    :param slowness: factor by which its times exceed normal ones.
    :param model: the model that it serves; empty for a plain endpoint.
    """

    key: str
    endpoint_id: str
    address: str
    data_centre: str
    slots: int
    group: str = ''
    epoch: int = 0
    slowness: float = 1.0
    model: str = ''

    @property
    def load_key(self) -> str:
        """Key under which its requests in flight are counted."""
        return self.group or self.key


def from_replica(replica: fleet_pb2.Replica) -> Target:
    """Return a replica as a target.

    :param replica: the replica.
    """
    return Target(
        endpoints.make_key(replica.head_id, replica.head_born_ms),
        replica.head_id,
        replica.address,
        replica.data_centre,
        replica.slots,
        replica.group,
        replica.epoch,
        max(1.0, replica.slowness),
        replica.model,
    )


def from_endpoint(endpoint: fleet_pb2.Endpoint) -> Target:
    """Return a plain endpoint as a target.

    :param endpoint: the endpoint.
    """
    return Target(
        endpoints.get_key(endpoint),
        endpoint.id,
        endpoint.address,
        endpoint.data_centre,
        endpoint.slots,
    )
