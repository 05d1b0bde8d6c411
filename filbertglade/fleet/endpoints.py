"""Announcements of endpoints: schema, decoding, incarnation keys."""

import dataclasses
import enum

import orjson

from filbertglade import failures
from filbertglade.fleet import document
from filbertglade.fleet import header_text
from filbertglade.inner import fleet_pb2
from filbertglade import schema
from filbertglade.settings import values

NonEmptyText = document.NonEmptyText
NonNegativeInt = document.NonNegativeInt

# Longest time that fits in the messages, in ms.
MAX_TIME_MS = 2**32 - 1


class AnnouncementReason(enum.Enum):
    """Why an announcement is rejected."""

    MALFORMED = 'malformed'
    UNKNOWN_SERVICE = 'unknown-service'
    OUTDATED = 'outdated'


class EndpointState(enum.StrEnum):
    """Whether an endpoint accepts new work."""

    READY = 'ready'
    LEAVING = 'leaving'


class MemberState(enum.StrEnum):
    """A member's state in its group."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@dataclasses.dataclass(slots=True)
class AnnouncedMembership:
    """A group membership as the member announces it.

    :param name: the group's name.
    :param epoch: the group's epoch.
    :param rank: the member's rank; 0 for the head.
    :param state: the member's state.
    """

    __pydantic_config__ = document.LENIENT

    name: NonEmptyText
    epoch: NonNegativeInt
    state: MemberState
    rank: NonNegativeInt = 0


@dataclasses.dataclass(slots=True)
class Announcement:
    """What an endpoint announces about itself.

    :param service: the service that it belongs to.
    :param address: where it accepts requests and orders.
    :param zone: its data centre.
    :param state: whether it accepts new work.
    :param sequence: increases with each announcement of an incarnation.
    :param slots: requests that it runs concurrently.
    :param version: version of its software.
    :param born: start time of this incarnation, Unix time in ms.
    :param domain: its fabric domain.
    :param staged: models staged on its host.
    :param group: the group that it is a member of.
    :param busy: whether it is carrying out an order.
    :param cold_remaining_ms: how much longer it is cold.
    """

    __pydantic_config__ = document.LENIENT

    service: NonEmptyText
    address: values.Address
    zone: NonEmptyText
    state: EndpointState
    sequence: NonNegativeInt
    slots: document.PositiveInt
    version: str = ''
    born: NonNegativeInt | None = None
    domain: str | None = None
    staged: list[str] | None = None
    group: AnnouncedMembership | None = None
    busy: bool | None = None
    cold_remaining_ms: NonNegativeInt | None = None


def make_key(endpoint_id: str, born_ms: int) -> str:
    """Return the key of one incarnation of an endpoint.

    :param endpoint_id: the endpoint's id.
    :param born_ms: start time of the incarnation, Unix time in ms.
    """
    return f'{endpoint_id}@{born_ms}'


def get_key(endpoint: fleet_pb2.Endpoint) -> str:
    """Return the key of an endpoint's incarnation.

    :param endpoint: the endpoint.
    """
    return make_key(endpoint.id, endpoint.born_ms)


def get_id(key: str) -> str:
    """Return the endpoint's id from an incarnation key.

    :param key: a key made by :func:`make_key`.
    """
    return key.rpartition('@')[0]


def split_key(key: str) -> tuple[str, int]:
    """Return the endpoint's id and start time from an incarnation key.

    :param key: a key made by :func:`make_key`.
    """
    endpoint_id, _, born_ms = key.rpartition('@')
    return endpoint_id, int(born_ms)


def read_announcement(
    endpoint_id: str, text: bytes
) -> fleet_pb2.Endpoint | failures.Failure:
    """Decode an announcement.

    :param endpoint_id: id of its sender.
    :param text: its JSON text.
    :returns: the endpoint, or what is wrong with the announcement.
    """
    if not header_text.is_sendable(endpoint_id):
        # Hosts name it in the requests that they send to the endpoint.
        return _reject(
            [schema.Problem('id', 'has a control character, or outer spaces')]
        )
    try:
        # Also refuses numbers that don't fit in the fields below.
        orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return _reject([schema.Problem(schema.ROOT_KEY, f'not JSON: {error}')])
    announced, problems = schema.decode_text(Announcement, text)
    if announced is None:
        return _reject(problems)
    endpoint = fleet_pb2.Endpoint(
        id=endpoint_id,
        born_ms=announced.born or 0,
        service=announced.service,
        address=announced.address,
        data_centre=announced.zone,
        fabric_domain=announced.domain or '',
        version=announced.version,
        slots=announced.slots,
        leaving=announced.state is EndpointState.LEAVING,
        sequence=announced.sequence,
        staged=announced.staged or [],
        busy=bool(announced.busy),
        cold_remaining_ms=min(announced.cold_remaining_ms or 0, MAX_TIME_MS),
    )
    if announced.group is not None:
        endpoint.membership.group = announced.group.name
        endpoint.membership.epoch = announced.group.epoch
        endpoint.membership.rank = announced.group.rank
        endpoint.membership.state = announced.group.state.value
    return endpoint


def _reject(problems: list[schema.Problem]) -> failures.Failure:
    text = '; '.join(str(problem) for problem in problems[:4])
    return failures.Failure(AnnouncementReason.MALFORMED, text)
