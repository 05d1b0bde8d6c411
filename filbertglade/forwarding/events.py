"""Splits event streams, so that only complete events are forwarded."""

import re

# Longest event, in bytes; it is kept in memory until it is complete.
MAX_EVENT_BYTES = 1_048_576
# Bytes of the longest end of an event, less one.
_END_OVERLAP = 3

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'(?:^|\n)id: ?([^\r\n]*)')


class EventTooLong(Exception):  # noqa: N818
    """More bytes of an event have arrived than may be kept."""


class EventSplitter:
    """Buffers the event that has not arrived completely.

    :ivar last_id: id of the last complete event; empty before the first.
    :ivar count: number of complete events so far.
    :ivar rest_bytes: bytes after the last complete event of a stream that has
        ended regularly.
    """

    def __init__(self) -> None:
        self.last_id = ''
        self.count = 0
        self.rest_bytes = 0
        self._partial = bytearray()

    @property
    def partial_bytes(self) -> int:
        """Bytes of the event that has not arrived completely."""
        return len(self._partial)

    def split(self, chunk: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        :param chunk: the next bytes of the stream.
        :raises EventTooLong: the event after them is too long.
        """
        start = max(0, len(self._partial) - _END_OVERLAP)
        self._partial += chunk
        end = 0
        for found in _END.finditer(self._partial, start):
            end = found.end()
            self.count += 1
        if len(self._partial) - end > MAX_EVENT_BYTES:
            raise EventTooLong(f'an event exceeds {MAX_EVENT_BYTES} bytes')
        if not end:
            return b''
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return complete

    @property
    def is_inside_event(self) -> bool:
        """Whether a part of an event has arrived, and not all of it."""
        return bool(self._partial.strip(b'\r\n'))

    def take_partial(self) -> bytes:
        """Return the bytes that have arrived after the last event's end."""
        partial = bytes(self._partial)
        self.rest_bytes = len(partial)
        self._partial.clear()
        return partial

    def discard_partial(self) -> None:
        """Discard an incomplete event after its stream broke."""
        self._partial.clear()
