"""Announcements that endpoints send to this node over HTTP."""

import dataclasses
import typing

import annotated_types
import pydantic

from filbertglade import clock
from filbertglade.inner import membership_pb2
from filbertglade.membership import pauses
from filbertglade import schema
from filbertglade.settings import values

MAX_PENDING_HOSTS = 4096

Natural = typing.Annotated[int, annotated_types.Ge(0)]
PrefixHash = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^[0-9a-f]{1,16}$')
]


@dataclasses.dataclass(slots=True)
class LoadForm:
    """Load that an endpoint announces; see the callers' page."""

    __pydantic_config__ = schema.STRICT

    slots: Natural = 0
    active: Natural = 0
    queued: Natural = 0
    first_token_ms: Natural = 0
    between_tokens_us: Natural = 0


@dataclasses.dataclass(slots=True)
class CacheEventForm:
    """A change of an engine's prefix cache that the engine announces.

    :param sequence: number of the event, counted up by one.
    :param stored: prefix hashes that were stored, hexadecimal.
    :param evicted: prefix hashes that were evicted, hexadecimal.
    """

    __pydantic_config__ = schema.STRICT

    sequence: Natural
    stored: list[PrefixHash] = dataclasses.field(default_factory=list)
    evicted: list[PrefixHash] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class AnnouncementForm:
    """An announcement's JSON body.

    :param token: the token in the response to the last announcement.
    :param held_ms: time since that response arrived, by the host's clock.
    """

    __pydantic_config__ = schema.STRICT

    host: values.Name
    run: str
    sequence: Natural
    region: str
    data_centre: str
    address: values.Address
    fabric_domain: str = ''
    order_address: str = ''
    service: str = ''
    group: str = ''
    epoch: Natural = 0
    ready: bool = False
    holds: str = ''
    leaving: bool = False
    load: LoadForm = dataclasses.field(default_factory=LoadForm)
    cache_events: list[CacheEventForm] = dataclasses.field(
        default_factory=list
    )
    token: str = ''
    held_ms: Natural = 0


class AnnouncementInbox:
    """Keeps the newest announcement of each host until it is relayed.

    The response to an announcement carries a token with this node's clock
    and the name of its run. The host's next announcement returns the token,
    which bounds the announcement's age however long it was buffered. An
    announcement without a token counts as made when it was read, and is
    dropped if this process may have been paused meanwhile.

    :ivar pauses: detects pauses of this process.
    """

    def __init__(self, run: str) -> None:
        self._run = run
        self._waiting: dict[str, tuple[membership_pb2.Announcement, int]] = {}
        self.pauses = pauses.PauseDetector()

    def accept(self, form: AnnouncementForm) -> str:
        """Add an announcement.

        :param form: the validated body.
        :returns: the token for the host's next announcement.
        """
        proven_ms = self._find_earliest_ms(form)
        if proven_ms is not None and self._is_newest(form):
            self._waiting[form.host] = (_to_message(form), proven_ms)
        return f'{self._run}:{clock.now_ms()}'

    def _find_earliest_ms(self, form: AnnouncementForm) -> int | None:
        """Return the earliest time at which it can have been made.

        :returns: local clock; None if the announcement proves no time.
        """
        now_ms = clock.now_ms()
        if not form.token:
            return None if self.pauses.may_be_stale() else now_ms
        run, _, sent_ms = form.token.rpartition(':')
        if run != self._run or not sent_ms.isdecimal():
            return None
        return min(int(sent_ms) + form.held_ms, now_ms)

    def _is_newest(self, form: AnnouncementForm) -> bool:
        if form.host not in self._waiting:
            return len(self._waiting) < MAX_PENDING_HOSTS
        known, _ = self._waiting[form.host]
        return known.run != form.run or known.sequence < form.sequence

    def take(self) -> list[membership_pb2.Announcement]:
        """Return the announcements since the last call, with their ages."""
        now_ms = clock.now_ms()
        taken = []
        for message, proven_ms in self._waiting.values():
            message.age_ms = now_ms - proven_ms
            taken.append(message)
        self._waiting.clear()
        return taken


def _to_message(form: AnnouncementForm) -> membership_pb2.Announcement:
    fields = {
        field.name: getattr(form, field.name)
        for field in dataclasses.fields(form)
        if field.name not in ('token', 'held_ms', 'load', 'cache_events')
    }
    load = membership_pb2.Load(**dataclasses.asdict(form.load))
    return membership_pb2.Announcement(load=load, **fields)
