"""Lets long bodies of all peers be read while they fit into the budget."""

import asyncio

from filbertglade.budgets import turns
from filbertglade.observability import metrics

# Part of the budget that long bodies may take together: below the part from
# which any are evicted.
SHARE = 0.5
# Longest wait for a place, in ms: a sender that was refused can come back
# before its request is of no more use.
MAX_WAIT_MS = 1000
# Interval between two looks at the bodies that are read, in ms.
CHECK_INTERVAL_MS = 500
# Time for which a body is read before it can be slow, in ms.
MIN_READING_MS = 400


class Place:
    """The place of a body.

    :param peer: the sender's address, without its port.
    :param reader: reads the body.
    :param size_bytes: the most that the body may have.
    :ivar is_granted: whether the body may be read.
    :ivar is_reading: whether it hasn't arrived completely.
    :ivar seen_bytes: what had arrived at the latest look, or when the place
        was granted.
    :ivar seen_s: when that was, by the loop's clock.
    :ivar since_s: when the place was asked for.
    """

    __slots__ = (
        'peer',
        'reader',
        'size_bytes',
        'is_granted',
        'is_reading',
        'seen_bytes',
        'seen_s',
        'since_s',
    )

    def __init__(
        self, peer: str, reader: turns.Reader, size_bytes: int, since_s: float
    ) -> None:
        self.peer = peer
        self.reader = reader
        self.size_bytes = size_bytes
        self.is_granted = False
        self.is_reading = True
        self.seen_bytes = 0
        self.seen_s = since_s
        self.since_s = since_s


class LongBodies:
    """The long bodies of a listener.

    A body has a place from when it is read until its request has ended. Those
    without one aren't read: bodies of which each gets a part of the budget
    could all stay incomplete. The next place goes to the peer with the
    fewest. While others wait, a body has to arrive at a least rate.

    :param limit_bytes: the process's budget for its clients.
    :param min_rate: that rate, in bytes a second.
    :param counters: the process's metrics.
    """

    def __init__(
        self, limit_bytes: int, min_rate: int, counters: metrics.Metrics
    ) -> None:
        self._limit_bytes = int(limit_bytes * SHARE)
        self._min_rate = min_rate
        self._counters = counters
        self._granted: set[Place] = set()
        self._waiting: list[Place] = []
        self._timer: asyncio.TimerHandle | None = None
        counters.set_gauge('long_bodies', lambda: len(self._granted))
        counters.set_gauge('long_bodies_waiting', lambda: len(self._waiting))

    def take(self, peer: str, reader: turns.Reader, size_bytes: int) -> Place:
        """Take a place, or wait for one.

        :param peer: the sender's address, without its port.
        :param reader: reads the body; told later if it has to wait.
        :param size_bytes: the most that the body may have.
        :returns: the place; the caller gives it back with :meth:`leave`.
        """
        now_s = asyncio.get_running_loop().time()
        place = Place(peer, reader, size_bytes, now_s)
        if not self._waiting and self._has_room(place):
            self._grant(place)
            return place
        self._counters.count('long_bodies_delayed')
        self._waiting.append(place)
        if self._timer is None:
            self._start_looks()
        return place

    def end_reading(self, place: Place, size_bytes: int) -> None:
        """Note that a body has arrived.

        :param place: its place.
        :param size_bytes: its size.
        """
        place.is_reading = False
        place.size_bytes = size_bytes
        self._grant_waiting()

    def leave(self, place: Place) -> None:
        """Give a place back, or wait for it no longer.

        :param place: the place.
        """
        if place in self._granted:
            self._granted.discard(place)
            self._grant_waiting()
        elif place in self._waiting:
            self._waiting.remove(place)

    def _has_room(self, place: Place) -> bool:
        held = sum(each.size_bytes for each in self._granted)
        # A single body is read whatever the budget.
        return not held or held + place.size_bytes <= self._limit_bytes

    def _grant(self, place: Place) -> None:
        place.is_granted = True
        _see(place)
        self._granted.add(place)

    def _grant_waiting(self) -> None:
        while self._waiting:
            by_peer: dict[str, int] = {}
            for each in self._granted:
                by_peer[each.peer] = by_peer.get(each.peer, 0) + 1
            # The first of those that are equal has waited for the longest.
            place = min(
                self._waiting, key=lambda each: by_peer.get(each.peer, 0)
            )
            if not self._has_room(place):
                return
            self._waiting.remove(place)
            self._grant(place)
            place.reader.start_turn()

    def _start_looks(self) -> None:
        for place in self._granted:
            _see(place)
        self._schedule()

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_MS / 1000, self._look
        )

    def _look(self) -> None:
        """Refuse what waits for too long, and bodies that arrive slowly."""
        self._timer = None
        limit_s = asyncio.get_running_loop().time() - MAX_WAIT_MS / 1000
        for place in [
            each for each in self._waiting if each.since_s < limit_s
        ]:
            self._waiting.remove(place)
            place.reader.refuse_wait()
        if not self._waiting:
            return
        self._schedule()
        for place in [each for each in self._granted if each.is_reading]:
            age_s = asyncio.get_running_loop().time() - place.seen_s
            if age_s < MIN_READING_MS / 1000:
                continue
            received_bytes = place.reader.received_bytes - place.seen_bytes
            _see(place)
            if received_bytes < self._min_rate * age_s:
                place.reader.refuse_slow()


def _see(place: Place) -> None:
    """Note what has arrived of a body."""
    place.seen_bytes = place.reader.received_bytes
    place.seen_s = asyncio.get_running_loop().time()
