"""What endpoints say of themselves, decoded once."""

import dataclasses
import enum
import typing

import orjson

from filbertglade import failures
from filbertglade.fleet import document
from filbertglade.inner import fleet_pb2
from filbertglade import schema
from filbertglade.settings import model

Text = document.Text
Whole = document.Whole


class AnnouncementReason(enum.Enum):
    """Why an announcement is not taken."""

    MALFORMED = 'malformed'
    UNKNOWN_SERVICE = 'unknown-service'
    OUTDATED = 'outdated'


class EndpointState(enum.StrEnum):
    """Whether an endpoint takes new work."""

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
    """A group as its member announces it.

    :param name: the group's name.
    :param epoch: the group's epoch.
    :param rank: the member's place; 0 for the head.
    :param state: the member's state.
    """

    __pydantic_config__ = document.LENIENT

    name: Text
    epoch: Whole
    state: MemberState
    rank: Whole = 0


@dataclasses.dataclass(slots=True)
class Announcement:
    """What an endpoint says of itself.

    :param service: the service that it works for.
    :param address: where it takes requests and orders.
    :param zone: its data centre.
    :param state: whether it takes new work.
    :param sequence: rises with each announcement of a life.
    :param slots: requests that it runs at once.
    :param version: version of its software.
    :param born: when this life began, Unix time in ms.
    :param domain: its fabric domain.
    :param staged: models on its host.
    :param group: the group that it is a member of.
    :param busy: whether it carries out an order.
    """

    __pydantic_config__ = document.LENIENT

    service: Text
    address: model.Address
    zone: Text
    state: EndpointState
    sequence: Whole
    slots: document.PositiveWhole
    version: str = ''
    born: Whole | None = None
    domain: str | None = None
    staged: list[str] | None = None
    group: AnnouncedMembership | None = None
    busy: bool | None = None


def make_key(endpoint_id: str, born_ms: int) -> str:
    """Return what names one life of an endpoint.

    :param endpoint_id: the endpoint's id.
    :param born_ms: when that life began.
    """
    return f'{endpoint_id}@{born_ms}'


def get_key(endpoint: fleet_pb2.Endpoint) -> str:
    """Return what names an endpoint's life.

    :param endpoint: the endpoint.
    """
    return make_key(endpoint.id, endpoint.born_ms)


def get_id(key: str) -> str:
    """Return the id in the name of a life.

    :param key: what :func:`make_key` gave.
    """
    return key.rpartition('@')[0]


def split_key(key: str) -> tuple[str, int]:
    """Return the id and the birth in the name of a life.

    :param key: what :func:`make_key` gave.
    """
    endpoint_id, _, born_ms = key.rpartition('@')
    return endpoint_id, int(born_ms)


def read_announcement(
    endpoint_id: str, text: bytes
) -> fleet_pb2.Endpoint | failures.Failure:
    """Decode an announcement.

    :param endpoint_id: who sent it.
    :param text: its JSON text.
    :returns: the endpoint, or what is wrong with the announcement.
    """
    try:
        data: typing.Any = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return _refuse([schema.Problem(schema.WHOLE, f'not JSON: {error}')])
    said, problems = schema.decode(Announcement, data)
    if said is None:
        return _refuse(problems)
    endpoint = fleet_pb2.Endpoint(
        id=endpoint_id,
        born_ms=said.born or 0,
        service=said.service,
        address=said.address,
        data_centre=said.zone,
        fabric_domain=said.domain or '',
        version=said.version,
        slots=said.slots,
        leaving=said.state is EndpointState.LEAVING,
        sequence=said.sequence,
        staged=said.staged or [],
        busy=bool(said.busy),
    )
    if said.group is not None:
        endpoint.membership.group = said.group.name
        endpoint.membership.epoch = said.group.epoch
        endpoint.membership.rank = said.group.rank
        endpoint.membership.state = said.group.state.value
    return endpoint


def _refuse(problems: list[schema.Problem]) -> failures.Failure:
    text = '; '.join(str(problem) for problem in problems[:4])
    return failures.Failure(AnnouncementReason.MALFORMED, text)
