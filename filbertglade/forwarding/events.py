"""Splitting of event streams, so that only whole events are passed on."""

import re

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'(?:^|\n)id: ?([^\r\n]*)')


class EventSplitter:
    """Holds back the event that has not wholly arrived.

    :ivar last_id: id of the last whole event; empty before the first.
    :ivar count: whole events so far.
    """

    def __init__(self) -> None:
        self.last_id = ''
        self.count = 0
        self._rest = b''

    def split(self, chunk: bytes) -> bytes:
        """Take bytes in and return the events that are now whole.

        :param chunk: the next bytes of the stream.
        """
        data = self._rest + chunk
        end = 0
        for found in _END.finditer(data):
            end = found.end()
            self.count += 1
        whole, self._rest = data[:end], data[end:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return whole

    def finish(self) -> bytes:
        """Return what is left at the stream's proper end."""
        rest, self._rest = self._rest, b''
        return rest

    def drop_rest(self) -> None:
        """Forget half an event, since its stream broke."""
        self._rest = b''
