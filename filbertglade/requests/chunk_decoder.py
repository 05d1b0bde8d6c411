"""Bodies in HTTP's chunked coding, decoded as their bytes come."""

import re

LINE_END = b'\r\n'
LINE_BYTES = 64
SIZE = re.compile(rb'[0-9a-fA-F]+')


class ChunkDecoder:
    """Takes a body out of its chunks.

    :ivar is_done: whether the whole body has come.
    :ivar is_broken: whether what came is no chunked body; nothing further
        is decoded.
    """

    __slots__ = (
        '_is_end_due',
        '_is_last',
        '_left',
        '_rest',
        'is_broken',
        'is_done',
    )

    def __init__(self) -> None:
        self._rest = b''
        self._left = 0
        self._is_end_due = False
        self._is_last = False
        self.is_done = False
        self.is_broken = False

    @property
    def has_excess(self) -> bool:
        """Whether more than the body has come."""
        return self.is_done and bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Take bytes of the connection in.

        :param data: the next bytes.
        :returns: the part of the body that they hold; may be empty.
        """
        if self._rest:
            data = self._rest + data
        elif not (self._left or self._is_end_due):
            part = _read_single(data)
            if part:
                return part
        parts: list[bytes] = []
        position = 0
        while position < len(data) and not self.is_done:
            if self._left:
                part = data[position : position + self._left]
                self._take(part)
                parts.append(part)
                position += len(part)
                continue
            end = data.find(LINE_END, position, position + LINE_BYTES)
            if end < 0:
                break
            self._read_line(data[position:end])
            if self.is_broken:
                break
            position = end + len(LINE_END)
        self._rest = data[position:]
        if len(self._rest) >= LINE_BYTES and not self.is_done:
            self.is_broken = True
        return parts[0] if len(parts) == 1 else b''.join(parts)

    def _take(self, part: bytes) -> None:
        self._left -= len(part)
        self._is_end_due = not self._left

    def _read_line(self, line: bytes) -> None:
        if self._is_end_due:
            self.is_broken = bool(line)
            self._is_end_due = False
            self.is_done = self._is_last and not self.is_broken
        elif SIZE.fullmatch(line):
            self._left = int(line, 16)
            self._is_last = self._is_end_due = not self._left
        else:
            self.is_broken = True


def _read_single(data: bytes) -> bytes:
    """Return the body's part if the bytes are just one chunk of it."""
    begin = data.find(LINE_END, 0, LINE_BYTES) + len(LINE_END)
    line = data[: begin - len(LINE_END)]
    end = len(data) - len(LINE_END)
    if begin < len(LINE_END) or not SIZE.fullmatch(line):
        return b''
    if int(line, 16) != end - begin or not data.endswith(LINE_END):
        return b''
    return data[begin:end]
