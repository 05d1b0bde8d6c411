"""Parts of prompts on which endpoints have lately answered."""

import collections

from filbertglade import clock

# How long an answer shows that a part crashes no endpoint, in ms. Parts that
# many requests share are answered on all the time; a part that begins to
# crash endpoints is suspected this much later.
PROOF_MS = 2000
# Most parts that are remembered: the latest ones.
MAX_PARTS = 4096


class AnsweredParts:
    """The parts of requests that were answered completely and successfully."""

    __slots__ = ('_answered_ms',)

    def __init__(self) -> None:
        self._answered_ms: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def note(self, part: bytes) -> None:
        """Note that a request with a part was answered.

        :param part: the part's key.
        """
        self._answered_ms[part] = clock.now_ms()
        self._answered_ms.move_to_end(part)
        if len(self._answered_ms) > MAX_PARTS:
            self._answered_ms.popitem(last=False)

    def is_proven(self, part: bytes) -> bool:
        """Return whether a request with a part was answered lately.

        :param part: the part's key.
        """
        answered_ms = self._answered_ms.get(part)
        if answered_ms is None:
            return False
        return clock.now_ms() - answered_ms <= PROOF_MS
