"""Events that are relayed once to each peer and node, bounded in number."""

import collections
import dataclasses
import typing

from filbertglade import clock

Message = typing.TypeVar('Message')


@dataclasses.dataclass(slots=True)
class KeptEvent(typing.Generic[Message]):
    """An event and when it was learnt of.

    :param position: counts the events of a buffer.
    :param message: the event.
    :param noted_ms: local clock less its age.
    :param origin: the control host one of whose nodes reported it.
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
    """Keeps the newest events for a time; readers hold a position.

    :param limit: events kept at most; the oldest give way.
    :param kept_ms: how long an event is kept.
    """

    def __init__(self, limit: int, kept_ms: int) -> None:
        self._kept: collections.deque[KeptEvent[Message]] = collections.deque(
            maxlen=limit
        )
        self._kept_ms = kept_ms
        self.end = 0

    def add(self, message: Message, age_ms: int = 0, origin: str = '') -> None:
        """Keep an event.

        :param message: the event.
        :param age_ms: upper bound of its age.
        :param origin: the control host one of whose nodes reported it.
        """
        self.end += 1
        noted_ms = clock.now_ms() - age_ms
        self._kept.append(KeptEvent(self.end, message, noted_ms, origin))

    def read_after(
        self, position: int, limit: int
    ) -> list[KeptEvent[Message]]:
        """Return the events behind a position, oldest first.

        :param position: where the reader stands; 0 for the start.
        :param limit: events returned at most; the newest are.
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
