"""A bounded buffer of events that are sent once to each peer and node."""

import collections
import dataclasses
import typing

from filbertglade import clock

Message = typing.TypeVar('Message')


@dataclasses.dataclass(slots=True)
class KeptEvent(typing.Generic[Message]):
    """An event and its time.

    :param position: number of the event in its buffer, counted from 1.
    :param message: the event.
    :param noted_ms: local clock less the upper bound of its age.
    :param origin: the control host that the reporting node is attached to.
    """

    position: int
    message: Message
    noted_ms: int
    origin: str

    @property
    def age_ms(self) -> int:
        """Upper bound of its age in milliseconds."""
        return clock.now_ms() - self.noted_ms


class EventBuffer(typing.Generic[Message]):
    """Keeps the newest events for a time.

    Each reader remembers the position of the last event that it has read.

    :param limit: maximum number of events; the oldest are dropped.
    :param kept_ms: how long an event is kept, in milliseconds.
    :ivar end: position of the newest event; 0 before the first.
    """

    def __init__(self, limit: int, kept_ms: int) -> None:
        self._kept: collections.deque[KeptEvent[Message]] = collections.deque(
            maxlen=limit
        )
        self._kept_ms = kept_ms
        self.end = 0

    def add(self, message: Message, age_ms: int = 0, origin: str = '') -> None:
        """Add an event.

        :param message: the event.
        :param age_ms: upper bound of its age.
        :param origin: the control host that the reporting node is attached
            to.
        """
        self.end += 1
        noted_ms = clock.now_ms() - age_ms
        self._kept.append(KeptEvent(self.end, message, noted_ms, origin))

    def read_after(
        self, position: int, limit: int
    ) -> list[KeptEvent[Message]]:
        """Return the events after a position, oldest first.

        :param position: the last one that the reader has read; 0 for none.
        :param limit: maximum number of events; older ones are skipped.
        """
        self._drop_old()
        found: list[KeptEvent[Message]] = []
        for kept in reversed(self._kept):
            if kept.position <= position or len(found) == limit:
                break
            found.append(kept)
        found.reverse()
        return found

    def _drop_old(self) -> None:
        oldest_ms = clock.now_ms() - self._kept_ms
        while self._kept and self._kept[0].noted_ms < oldest_ms:
            self._kept.popleft()
