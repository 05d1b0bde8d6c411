"""Hashes of prompt prefixes, and an index of where they are cached."""

import collections

import xxhash

from filbertglade import clock
from filbertglade.inner import membership_pb2
from filbertglade.routing import selection

BLOCK_BYTES = 256
BLOCKS_LIMIT = 128
HINT_EXPIRY_MS = 30_000
MAX_HOLDERS = 4096
NO_EXPIRY_MS = 1 << 62


def hash_prefixes(prompt: str) -> list[int]:
    """Hash the prefixes of a prompt that end at a block boundary.

    Each hash covers the complete prefix, so that two prompts share a hash
    only if they share that prefix.

    :param prompt: the prompt's text.
    :returns: 64-bit hashes, shortest prefix first, for at most
        ``BLOCKS_LIMIT`` blocks of ``BLOCK_BYTES``.
    """
    data = prompt.encode()
    end = min(len(data), BLOCKS_LIMIT * BLOCK_BYTES)
    digest = xxhash.xxh64()
    hashes = []
    for start in range(0, end - BLOCK_BYTES + 1, BLOCK_BYTES):
        digest.update(data[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return hashes


class PrefixIndex:
    """Index of the endpoints (holders) that have prompt prefixes cached.

    It keeps a bounded number of (prefix, holder) entries and evicts the least
    recently used prefixes first. Entries from cache events are valid until
    another event revokes them. A prompt that was sent adds hints, which
    expire unless an event confirms them.
    """

    def __init__(self, entries_limit: int) -> None:
        self._limit = entries_limit
        # The local clock time at which an entry expires, by prefix and holder.
        self._expiries_by_prefix: collections.OrderedDict[
            int, dict[selection.EndpointKey, int]
        ] = collections.OrderedDict()
        self._prefixes_by_holder: dict[selection.EndpointKey, set[int]] = {}
        self._sequences: collections.OrderedDict[
            selection.EndpointKey, int
        ] = collections.OrderedDict()
        self.entries = 0
        self.gaps = 0

    def apply_event(self, event: membership_pb2.CacheEvent) -> None:
        """Apply a prefix-cache event of a group.

        A gap in the sequence numbers drops all earlier entries of the group.

        :param event: the event; ignored if it is not newer than the last
            one.
        """
        holder = selection.EndpointKey(event.group, event.epoch)
        last = self._sequences.get(holder)
        if last is not None and event.sequence <= last:
            return
        if last is not None and event.sequence > last + 1:
            self.gaps += 1
            self._drop_prefixes(holder)
        self._note_sequence(holder, event.sequence)
        for item in event.evicted:
            self._remove(item, holder)
        for item in event.stored:
            self._add(item, holder, NO_EXPIRY_MS)

    def note_sent(
        self, holder: selection.EndpointKey, hashes: list[int]
    ) -> None:
        """Record that a prompt was sent to a holder, which will cache it.

        :param holder: the endpoint that it was sent to.
        :param hashes: the prompt's prefix hashes.
        """
        expires_ms = clock.now_ms() + HINT_EXPIRY_MS
        for item in hashes:
            known_ms = self._expiries_by_prefix.get(item, {}).get(holder, 0)
            self._add(item, holder, max(known_ms, expires_ms))

    def count_cached_blocks(
        self, holder: selection.EndpointKey, hashes: list[int]
    ) -> int:
        """Return how many of a prompt's blocks a holder has cached.

        :param holder: the holder.
        :param hashes: the prompt's prefix hashes, shortest first.
        """
        now_ms = clock.now_ms()
        held = self._prefixes_by_holder.get(holder, ())
        for position in range(len(hashes) - 1, -1, -1):
            item = hashes[position]
            if (
                item in held
                and self._expiries_by_prefix[item][holder] >= now_ms
            ):
                return position + 1
        return 0

    def find_holders(
        self, hashes: list[int], limit: int
    ) -> list[selection.EndpointKey]:
        """Return the holders of the longest cached prefix of a prompt.

        :param hashes: the prompt's prefix hashes, shortest first.
        :param limit: maximum number of holders to return.
        """
        now_ms = clock.now_ms()
        for item in reversed(hashes):
            known = self._expiries_by_prefix.get(item)
            if known is None:
                continue
            found = [key for key, until in known.items() if until >= now_ms]
            if found:
                self._expiries_by_prefix.move_to_end(item)
                return found[-limit:]
        return []

    def _note_sequence(
        self, holder: selection.EndpointKey, sequence: int
    ) -> None:
        self._sequences[holder] = sequence
        self._sequences.move_to_end(holder)
        if len(self._sequences) > MAX_HOLDERS:
            oldest, _ = self._sequences.popitem(last=False)
            self._drop_prefixes(oldest)

    def _drop_prefixes(self, holder: selection.EndpointKey) -> None:
        for item in list(self._prefixes_by_holder.get(holder, ())):
            self._remove(item, holder)

    def _add(
        self, item: int, holder: selection.EndpointKey, expires_ms: int
    ) -> None:
        known = self._expiries_by_prefix.setdefault(item, {})
        self._expiries_by_prefix.move_to_end(item)
        if holder not in known:
            self._prefixes_by_holder.setdefault(holder, set()).add(item)
            self.entries += 1
        known[holder] = expires_ms
        while self.entries > self._limit:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        item = next(iter(self._expiries_by_prefix))
        for holder in list(self._expiries_by_prefix[item]):
            self._remove(item, holder)

    def _remove(self, item: int, holder: selection.EndpointKey) -> None:
        known = self._expiries_by_prefix.get(item)
        if known is None or holder not in known:
            return
        del known[holder]
        self.entries -= 1
        if not known:
            del self._expiries_by_prefix[item]
        held = self._prefixes_by_holder[holder]
        held.discard(item)
        if not held:
            del self._prefixes_by_holder[holder]
