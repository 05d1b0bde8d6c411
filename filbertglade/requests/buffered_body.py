"""Whole answers, held until they are known to be whole."""

import collections
import json

from filbertglade.requests import endpoint_response

HELD_ANSWER_BYTES = 4_194_304


class BufferedBody:
    """An answer's parts that have come and were not passed on.

    :ivar is_whole: whether nothing more is to come.
    """

    def __init__(self) -> None:
        self._parts: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self.is_whole = False

    def __bool__(self) -> bool:
        return bool(self._parts)

    @property
    def is_full(self) -> bool:
        """Whether no more is held."""
        return self._bytes > HELD_ANSWER_BYTES

    def clear(self) -> None:
        """Drop the parts of a try that failed."""
        self._parts.clear()
        self._bytes = 0
        self.is_whole = False

    def add(self, part: bytes) -> None:
        """Hold a part.

        :param part: the part.
        """
        self._parts.append(part)
        self._bytes += len(part)

    def take(self) -> bytes:
        """Return the next part."""
        return self._parts.popleft()

    def end(self, answer: endpoint_response.EndpointResponse) -> bool:
        """Note the end of an answer.

        :param answer: whose parts are held.
        :returns: whether it is whole, as far as that can be told.
        """
        self.is_whole = answer.is_framed or not self._is_cut_json(answer)
        return self.is_whole

    def _is_cut_json(self, answer: endpoint_response.EndpointResponse) -> bool:
        if 'json' not in answer.headers.get('Content-Type', ''):
            return False
        try:
            json.loads(b''.join(self._parts))
        except (ValueError, RecursionError):
            return True
        return False
