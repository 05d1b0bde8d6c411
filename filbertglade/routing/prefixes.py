"""Hashes of prompt prefixes, and where those prefixes are cached."""

import collections

import xxhash

from filbertglade import clock
from filbertglade.inner import membership_pb2
from filbertglade.routing import selection

BLOCK_BYTES = 256
BLOCKS_LIMIT = 128
HINT_MS = 30_000
HOLDERS_KEPT = 4096
NEVER_MS = 1 << 62


def hash_prefixes(prompt: str) -> list[int]:
    """Hash the prefixes of a prompt that end on a whole block.

    Each hash covers everything before it, so that two prompts share a hash
    only if they share the whole prefix.

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
    """Where prompt prefixes are cached, as far as is known.

    It holds a bounded number of (prefix, holder) entries, the least recently
    used of which go first. What events say holds until another event revokes
    it; what was sent without an event of it yet is a hint that expires.
    """

    def __init__(self, entries_limit: int) -> None:
        self._limit = entries_limit
        # The local clock at which a hint expires, by prefix and holder.
        self._prefixes: collections.OrderedDict[
            int, dict[selection.EndpointKey, int]
        ] = collections.OrderedDict()
        self._held: dict[selection.EndpointKey, set[int]] = {}
        self._sequences: collections.OrderedDict[
            selection.EndpointKey, int
        ] = collections.OrderedDict()
        self.entries = 0
        self.gaps = 0

    def take_event(self, event: membership_pb2.CacheEvent) -> None:
        """Take an event of a group's cache in.

        After a gap nothing that was known of the group is relied on.

        :param event: the event; one that is not newer than the last is
            passed over.
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
            self._add(item, holder, NEVER_MS)

    def note_sent(
        self, holder: selection.EndpointKey, hashes: list[int]
    ) -> None:
        """Note that a prompt went to a holder, which is to cache it soon.

        :param holder: where it went.
        :param hashes: the prompt's prefix hashes.
        """
        expires_ms = clock.now_ms() + HINT_MS
        for item in hashes:
            known_ms = self._prefixes.get(item, {}).get(holder, 0)
            self._add(item, holder, max(known_ms, expires_ms))

    def count_blocks(
        self, holder: selection.EndpointKey, hashes: list[int]
    ) -> int:
        """Return how many of a prompt's blocks a holder has cached.

        :param holder: the holder.
        :param hashes: the prompt's prefix hashes, shortest first.
        """
        now_ms = clock.now_ms()
        held = self._held.get(holder, ())
        for position in range(len(hashes) - 1, -1, -1):
            item = hashes[position]
            if item in held and self._prefixes[item][holder] >= now_ms:
                return position + 1
        return 0

    def find_holders(
        self, hashes: list[int], limit: int
    ) -> list[selection.EndpointKey]:
        """Return those that hold the longest prefix of a prompt.

        :param hashes: the prompt's prefix hashes, shortest first.
        :param limit: how many holders to return at most.
        """
        now_ms = clock.now_ms()
        for item in reversed(hashes):
            known = self._prefixes.get(item)
            if known is None:
                continue
            found = [key for key, until in known.items() if until >= now_ms]
            if found:
                self._prefixes.move_to_end(item)
                return found[-limit:]
        return []

    def _note_sequence(
        self, holder: selection.EndpointKey, sequence: int
    ) -> None:
        self._sequences[holder] = sequence
        self._sequences.move_to_end(holder)
        if len(self._sequences) > HOLDERS_KEPT:
            oldest, _ = self._sequences.popitem(last=False)
            self._drop_prefixes(oldest)

    def _drop_prefixes(self, holder: selection.EndpointKey) -> None:
        for item in list(self._held.get(holder, ())):
            self._remove(item, holder)

    def _add(
        self, item: int, holder: selection.EndpointKey, expires_ms: int
    ) -> None:
        known = self._prefixes.setdefault(item, {})
        self._prefixes.move_to_end(item)
        if holder not in known:
            self._held.setdefault(holder, set()).add(item)
            self.entries += 1
        known[holder] = expires_ms
        while self.entries > self._limit:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        item = next(iter(self._prefixes))
        for holder in list(self._prefixes[item]):
            self._remove(item, holder)

    def _remove(self, item: int, holder: selection.EndpointKey) -> None:
        known = self._prefixes.get(item)
        if known is None or holder not in known:
            return
        del known[holder]
        self.entries -= 1
        if not known:
            del self._prefixes[item]
        held = self._held[holder]
        held.discard(item)
        if not held:
            del self._held[holder]
