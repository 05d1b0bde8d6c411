"""Splits event streams, so that only complete events are forwarded."""

import re

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'(?:^|\n)id: ?([^\r\n]*)')


class EventSplitter:
    """Buffers the event that has not arrived completely.

    :ivar last_id: id of the last complete event; empty before the first.
    :ivar count: number of complete events so far.
    """

    def __init__(self) -> None:
        self.last_id = ''
        self.count = 0
        self._partial = b''

    def split(self, chunk: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        :param chunk: the next bytes of the stream.
        """
        data = self._partial + chunk
        end = 0
        for found in _END.finditer(data):
            end = found.end()
            self.count += 1
        complete, self._partial = data[:end], data[end:]
        ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return complete

    def finish(self) -> bytes:
        """Return the buffered bytes when the stream has ended regularly."""
        partial, self._partial = self._partial, b''
        return partial

    def discard_partial(self) -> None:
        """Discard an incomplete event after its stream broke."""
        self._partial = b''
