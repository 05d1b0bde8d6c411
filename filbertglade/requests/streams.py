"""Streams of events: whole events only, and how far a stream has come."""

import json
import typing

EVENT_END = b'\n\n'
DONE = b'data: [DONE]'
DATA = b'data:'
EVENT_BYTES = 1_048_576
UNREAD_BYTES = 16_384


class EventSplitter:
    """Cuts a stream of bytes at the ends of its events.

    :ivar is_done: whether the stream's own last event has come.
    """

    def __init__(self) -> None:
        self._rest = b''
        self.is_done = False

    @property
    def is_overlong(self) -> bool:
        """Whether an event is longer than any may be."""
        return len(self._rest) > EVENT_BYTES

    def feed(self, chunk: bytes) -> bytes:
        """Take a part of the stream in.

        :param chunk: the part.
        :returns: the whole events that are complete now, without the
            stream's last one.
        """
        if b'\r' in chunk:
            chunk = chunk.replace(b'\r', b'')
        if self._rest:
            chunk = self._rest + chunk
        end = chunk.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._rest = chunk
            return b''
        self._rest = chunk[end:]
        events = chunk[:end]
        done = events.rfind(DONE)
        if done >= 0 and _starts_line(events, done):
            self.is_done = True
            events = events[:done]
        return events


def _starts_line(events: bytes, position: int) -> bool:
    return position == 0 or events[position - 1 : position] == b'\n'


class Progress:
    """What a caller has been given of a stream.

    Events are kept as they came and read only once there are many, or once
    the stream has broken.
    """

    __slots__ = ('_text', '_tokens', '_unread', '_unread_bytes')

    def __init__(self) -> None:
        self._unread: list[bytes] = []
        self._unread_bytes = 0
        self._text: str | None = ''
        self._tokens = 0

    def add(self, events: bytes) -> None:
        """Note whole events.

        :param events: what the caller is given.
        """
        self._unread.append(events)
        self._unread_bytes += len(events)
        if self._unread_bytes > UNREAD_BYTES:
            self._read()

    @property
    def tokens(self) -> int:
        """How many events carried a part of the answer."""
        self._read()
        return self._tokens

    @property
    def text(self) -> str | None:
        """The text so far; None if it is no single plain text."""
        self._read()
        return self._text

    def _read(self) -> None:
        if not self._unread:
            return
        events = b''.join(self._unread)
        self._unread.clear()
        self._unread_bytes = 0
        parts = [self._text or '']
        for line in events.split(b'\n'):
            if line.startswith(DATA):
                part = self._read_event(line[len(DATA) :])
                if part:
                    parts.append(part)
                    self._tokens += 1
        if self._text is not None:
            self._text = ''.join(parts)

    def _read_event(self, data: bytes) -> str:
        try:
            event = json.loads(data)
            choices = event['choices']
        except (ValueError, KeyError, TypeError):
            return ''
        text = ''
        for choice in choices:
            found = _find_text(choice)
            if found is None:
                # Several choices or tool calls can't be continued.
                self._text = None
                text = text or ' '
            else:
                text += found
        return text


def _find_text(choice: dict[str, typing.Any]) -> str | None:
    if choice.get('index', 0) != 0:
        return None
    if 'text' in choice:
        return str(choice['text'] or '')
    delta = choice.get('delta') or {}
    if any(delta.get(name) for name in ('tool_calls', 'function_call')):
        return None
    return str(delta.get('content') or '')
