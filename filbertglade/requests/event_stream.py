"""Streams of events: whole events only, and how far a stream has come."""

import json
import re
import typing

EVENT_END = b'\n\n'
DONE = b'data: [DONE]'
DATA = b'data:'
EVENT_BYTES = 1_048_576
UNREAD_BYTES = 4096
# A JSON string's bytes that stand for themselves.
PLAIN = re.compile(rb'[^"\\\x00-\x1f]*')
MARK = b'(the text of this event)'
FORMS = 3


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


class StreamProgress:
    """What a caller has been given of a stream.

    Events are kept as they came and read only once there are many, or once
    the stream has broken.
    """

    __slots__ = (
        '_form',
        '_forms',
        '_is_plain',
        '_texts',
        '_tokens',
        '_unread',
        '_unread_bytes',
    )

    def __init__(self) -> None:
        self._unread: list[bytes] = []
        self._unread_bytes = 0
        self._texts: list[str] = []
        self._is_plain = True
        self._tokens = 0
        self._form: _Form | None = None
        self._forms = 0

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
        return ''.join(self._texts) if self._is_plain else None

    def _read(self) -> None:
        if not self._unread:
            return
        events = b''.join(self._unread)
        self._unread.clear()
        self._unread_bytes = 0
        parts = []
        for line in events.split(b'\n'):
            if line.startswith(DATA):
                part = self._read_line(line)
                if part:
                    parts.append(part)
                    self._tokens += 1
        if self._is_plain:
            self._texts.append(''.join(parts))

    def _read_line(self, line: bytes) -> str:
        if self._form is not None:
            found = self._form.read(line)
            if found is not None:
                return found
        texts = _parse_texts(line)
        if None in texts:
            # Several choices or tool calls can't be continued.
            self._is_plain = False
            self._texts.clear()
            return ''.join(text or '' for text in texts) or ' '
        found = ''.join(text or '' for text in texts)
        if found and self._forms < FORMS:
            self._forms += 1
            self._form = _find_form(line, found)
        return found


class _Form:
    """What a stream's events have in common around their plain text."""

    __slots__ = ('_before', '_after')

    def __init__(self, before: bytes, after: bytes) -> None:
        self._before = before
        self._after = after

    def read(self, line: bytes) -> str | None:
        """Return an event's text; None if it has to be parsed."""
        before, after = self._before, self._after
        if not (line.startswith(before) and line.endswith(after)):
            return None
        raw = line[len(before) : -len(after)]
        if len(line) < len(before) + len(after) or not PLAIN.fullmatch(raw):
            return None
        try:
            return raw.decode('utf-8', 'surrogatepass')
        except UnicodeDecodeError:
            return None


def _find_form(line: bytes, text: str) -> _Form | None:
    """Return the form of an event whose text is a JSON string as it is."""
    raw = text.encode('utf-8', 'surrogatepass')
    before, quoted, after = line.rpartition(b'"' + raw + b'"')
    if not quoted or not PLAIN.fullmatch(raw) or MARK in line:
        return None
    before, after = before + b'"', b'"' + after
    if _parse_texts(before + MARK + after) != [MARK.decode()]:
        return None
    return _Form(before, after)


def _parse_texts(line: bytes) -> list[str | None]:
    """Return the texts of an event's choices."""
    try:
        event = json.loads(line[len(DATA) :])
        choices = event['choices']
    except (ValueError, KeyError, TypeError):
        return []
    return [_find_text(choice) for choice in choices]


def _find_text(choice: dict[str, typing.Any]) -> str | None:
    if choice.get('index', 0) != 0:
        return None
    if 'text' in choice:
        return str(choice['text'] or '')
    delta = choice.get('delta') or {}
    if any(delta.get(name) for name in ('tool_calls', 'function_call')):
        return None
    return str(delta.get('content') or '')
