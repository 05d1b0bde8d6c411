"""Announcements that endpoints make to this node over HTTP."""

import dataclasses
import typing

import annotated_types

from filbertglade import clock
from filbertglade.inner import membership_pb2
from filbertglade import schema
from filbertglade.settings import model as settings_model

Natural = typing.Annotated[int, annotated_types.Ge(0)]


@dataclasses.dataclass(slots=True)
class LoadForm:
    """Load as an endpoint announces it; see the callers' page."""

    __pydantic_config__ = schema.STRICT

    slots: Natural = 0
    active: Natural = 0
    queued: Natural = 0
    first_token_ms: Natural = 0
    between_tokens_us: Natural = 0


@dataclasses.dataclass(slots=True)
class AnnouncementForm:
    """An announcement's JSON body.

    :param token: what the reply to the last announcement carried.
    """

    __pydantic_config__ = schema.STRICT

    host: settings_model.Name
    run: str
    sequence: Natural
    region: str
    data_centre: str
    address: settings_model.Address
    fabric_domain: str = ''
    order_address: str = ''
    service: str = ''
    group: str = ''
    epoch: Natural = 0
    ready: bool = False
    leaving: bool = False
    load: LoadForm = dataclasses.field(default_factory=LoadForm)
    token: str = ''


class AnnouncementInbox:
    """Keeps the newest announcement of each host until it is relayed."""

    def __init__(self, run: str) -> None:
        self._run = run
        self._waiting: dict[str, tuple[membership_pb2.Announcement, int]] = {}

    def accept(self, form: AnnouncementForm) -> str:
        """Take an announcement in.

        :param form: the checked body.
        :returns: the token for the host's next announcement.
        """
        now_ms = clock.now_ms()
        sent_ms = self._read_token(form.token)
        if sent_ms is not None:
            message = _to_message(form)
            self._waiting[form.host] = (message, sent_ms)
        return f'{self._run}:{now_ms}'

    def _read_token(self, token: str) -> int | None:
        run, _, sent_ms = token.rpartition(':')
        if run != self._run or not sent_ms.isdecimal():
            return None
        return min(int(sent_ms), clock.now_ms())

    def take(self) -> list[membership_pb2.Announcement]:
        """Return what arrived since the last call, each with its age."""
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
        if field.name not in ('token', 'load')
    }
    load = membership_pb2.Load(**dataclasses.asdict(form.load))
    return membership_pb2.Announcement(load=load, **fields)
