"""Prefix cache of a stand-in engine and the events that it publishes."""

import collections
import dataclasses
import random

from filbertglade import clock
from filbertglade.standin import settings as standin_settings

MAX_PENDING_EVENTS = 1000


@dataclasses.dataclass(slots=True)
class CacheEvent:
    """A change of the cached prefixes.

    :param sequence: sequence number, one more than that of the last event.
    :param stored: hashes of prefixes that were stored.
    :param evicted: hashes of prefixes that were evicted.
    """

    sequence: int
    stored: list[int]
    evicted: list[int]


class PrefixCache:
    """Least recently used (LRU) cache of prompt blocks, of limited size."""

    def __init__(
        self, settings: standin_settings.StandinSettings, rng: random.Random
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._events: collections.deque[tuple[int, CacheEvent]] = (
            collections.deque(maxlen=MAX_PENDING_EVENTS)
        )

    def count_cached(self, hashes: list[int]) -> int:
        """Count the blocks of a prompt that are cached from its start on.

        :param hashes: the prompt's prefix hashes, shortest first.
        """
        count = 0
        for item in hashes:
            if item not in self._blocks:
                break
            self._blocks.move_to_end(item)
            count += 1
        return count

    def store(self, hashes: list[int]) -> None:
        """Store a prompt's blocks and evict the least recently used ones.

        :param hashes: the prompt's prefix hashes, shortest first.
        """
        stored = [item for item in hashes if item not in self._blocks]
        # The longest prefix is stored first, so that it is evicted first.
        for item in reversed(hashes):
            self._blocks[item] = None
            self._blocks.move_to_end(item)
        evicted = []
        while len(self._blocks) > self._settings.cache_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        if stored or evicted:
            self._publish(stored, evicted)

    def _publish(self, stored: list[int], evicted: list[int]) -> None:
        self._sequence += 1
        if self._rng.random() >= self._settings.event_loss:
            event = CacheEvent(self._sequence, stored, evicted)
            self._events.append((clock.now_ms(), event))

    def take_events(self) -> list[CacheEvent]:
        """Remove and return the events that are old enough to be published."""
        newest_ms = clock.now_ms() - self._settings.event_lag_ms
        taken = []
        while self._events and self._events[0][0] <= newest_ms:
            taken.append(self._events.popleft()[1])
        return taken
