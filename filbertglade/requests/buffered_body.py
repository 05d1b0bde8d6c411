"""Buffer for a response body until it is known to be complete."""

import collections
import json

from filbertglade.requests import endpoint_response

MAX_BUFFERED_BYTES = 4_194_304


class BufferedBody:
    """Received body parts that have not been passed on yet.

    :ivar is_complete: whether the complete body was received.
    """

    def __init__(self) -> None:
        self._parts: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self.is_complete = False

    def __bool__(self) -> bool:
        return bool(self._parts)

    @property
    def is_full(self) -> bool:
        """Whether the buffer limit is exceeded."""
        return self._bytes > MAX_BUFFERED_BYTES

    def clear(self) -> None:
        """Drop the parts of a failed attempt."""
        self._parts.clear()
        self._bytes = 0
        self.is_complete = False

    def add(self, part: bytes) -> None:
        """Append a part.

        :param part: the part.
        """
        self._parts.append(part)
        self._bytes += len(part)

    def pop(self) -> bytes:
        """Return the next part."""
        return self._parts.popleft()

    def finish(self, response: endpoint_response.EndpointResponse) -> bool:
        """Check the body at the end of the response.

        :param response: the response whose body is buffered.
        :returns: whether the body is complete, as far as that can be
            detected.
        """
        self.is_complete = response.is_framed or not self._is_truncated_json(
            response
        )
        return self.is_complete

    def _is_truncated_json(
        self, response: endpoint_response.EndpointResponse
    ) -> bool:
        if 'json' not in response.headers.get('Content-Type', ''):
            return False
        try:
            json.loads(b''.join(self._parts))
        except (ValueError, RecursionError):
            return True
        return False
