"""Incremental decoder of HTTP chunked transfer coding."""

import re

LINE_END = b'\r\n'
MAX_LINE_BYTES = 64
SIZE_PATTERN = re.compile(rb'[0-9a-fA-F]+')


class ChunkDecoder:
    """Decodes a body in chunked coding; extensions and trailers are errors.

    :ivar is_done: whether the complete body was decoded.
    :ivar is_broken: whether the coding was invalid; nothing further is
        decoded.
    """

    __slots__ = (
        '_is_end_due',
        '_is_last',
        '_remaining',
        '_buffered',
        'is_broken',
        'is_done',
    )

    def __init__(self) -> None:
        self._buffered = b''
        self._remaining = 0
        self._is_end_due = False
        self._is_last = False
        self.is_done = False
        self.is_broken = False

    @property
    def has_excess(self) -> bool:
        """Whether bytes followed the end of the body."""
        return self.is_done and bool(self._buffered)

    def feed(self, data: bytes) -> bytes:
        """Decode the next bytes of the connection.

        :param data: the next bytes.
        :returns: the decoded part of the body; may be empty.
        """
        if self._buffered:
            data = self._buffered + data
        elif not (self._remaining or self._is_end_due):
            part = _read_single(data)
            if part:
                return part
        parts: list[bytes] = []
        position = 0
        while position < len(data) and not self.is_done:
            if self._remaining:
                part = data[position : position + self._remaining]
                self._consume(part)
                parts.append(part)
                position += len(part)
                continue
            end = data.find(LINE_END, position, position + MAX_LINE_BYTES)
            if end < 0:
                break
            self._read_line(data[position:end])
            if self.is_broken:
                break
            position = end + len(LINE_END)
        self._buffered = data[position:]
        if len(self._buffered) >= MAX_LINE_BYTES and not self.is_done:
            self.is_broken = True
        return parts[0] if len(parts) == 1 else b''.join(parts)

    def _consume(self, part: bytes) -> None:
        self._remaining -= len(part)
        self._is_end_due = not self._remaining

    def _read_line(self, line: bytes) -> None:
        if self._is_end_due:
            self.is_broken = bool(line)
            self._is_end_due = False
            self.is_done = self._is_last and not self.is_broken
        elif SIZE_PATTERN.fullmatch(line):
            self._remaining = int(line, 16)
            self._is_last = self._is_end_due = not self._remaining
        else:
            self.is_broken = True


def _read_single(data: bytes) -> bytes:
    """Return the content if the bytes are exactly one chunk, else b''."""
    begin = data.find(LINE_END, 0, MAX_LINE_BYTES) + len(LINE_END)
    line = data[: begin - len(LINE_END)]
    end = len(data) - len(LINE_END)
    if begin < len(LINE_END) or not SIZE_PATTERN.fullmatch(line):
        return b''
    if int(line, 16) != end - begin or not data.endswith(LINE_END):
        return b''
    return data[begin:end]
