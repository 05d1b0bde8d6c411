"""Parsing of event streams, and the progress of a stream."""

import json
import re
import typing

EVENT_END = b'\n\n'
DONE = b'data: [DONE]'
DATA = b'data:'
# Bytes of the longest end of an event.
END_BYTES = 4
MAX_EVENT_BYTES = 1_048_576
MAX_UNPARSED_BYTES = 4096
# Bytes of a JSON string that need no unescaping.
UNESCAPED = re.compile(rb'[^"\\\x00-\x1f]*')
# Stands for the text in a template while the template is checked.
PLACEHOLDER = b'(the text of this event)'
# Templates built per stream; later events that match none are parsed.
MAX_TEMPLATES = 3


class EventSplitter:
    """Splits a byte stream into complete events.

    :ivar is_done: whether the [DONE] event was received.
    """

    def __init__(self) -> None:
        self._remainder = b''
        self.is_done = False

    @property
    def is_overlong(self) -> bool:
        """Whether an event exceeds the size limit."""
        return len(self._remainder) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> bytes:
        """Add a part of the stream.

        :param chunk: the part.
        :returns: the events that are complete now, without [DONE].
        """
        if b'\r' in chunk:
            chunk = chunk.replace(b'\r', b'')
        if self._remainder:
            chunk = self._remainder + chunk
        end = chunk.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._remainder = chunk
            return b''
        self._remainder = chunk[end:]
        events = chunk[:end]
        done = events.rfind(DONE)
        if done >= 0 and _starts_line(events, done):
            self.is_done = True
            events = events[:done]
        return events


class EventEnd:
    """Tells whether a stream that is passed on unsplit ends inside an event.

    Events end with an empty line; lines end with CR LF, LF or CR.
    """

    __slots__ = ('_tail',)

    def __init__(self) -> None:
        self._tail = EVENT_END

    def feed(self, chunk: bytes) -> None:
        """Add a part of the stream.

        :param chunk: the part.
        """
        self._tail = (self._tail + chunk[-END_BYTES:])[-END_BYTES:]

    @property
    def is_inside_event(self) -> bool:
        """Whether the parts so far end inside an event."""
        tail = self._tail.replace(b'\r\n', b'\n').replace(b'\r', b'\n')
        return not tail.endswith(EVENT_END)


def _starts_line(events: bytes, position: int) -> bool:
    return position == 0 or events[position - 1 : position] == b'\n'


class StreamProgress:
    """The part of a stream that was passed to the caller.

    Events are kept as received and parsed only when many have accumulated or
    when the stream has broken.
    """

    __slots__ = (
        '_template',
        '_template_count',
        '_is_single_text',
        '_texts',
        '_tokens',
        '_unparsed',
        '_unparsed_bytes',
    )

    def __init__(self) -> None:
        self._unparsed: list[bytes] = []
        self._unparsed_bytes = 0
        self._texts: list[str] = []
        self._is_single_text = True
        self._tokens = 0
        self._template: _EventTemplate | None = None
        self._template_count = 0

    def add(self, events: bytes) -> None:
        """Add complete events.

        :param events: the events passed to the caller.
        """
        self._unparsed.append(events)
        self._unparsed_bytes += len(events)
        if self._unparsed_bytes > MAX_UNPARSED_BYTES:
            self._parse_pending()

    @property
    def tokens(self) -> int:
        """The number of events that carried a part of the text."""
        self._parse_pending()
        return self._tokens

    @property
    def text(self) -> str | None:
        """The text so far; None if the stream is not a single plain text."""
        self._parse_pending()
        return ''.join(self._texts) if self._is_single_text else None

    def _parse_pending(self) -> None:
        if not self._unparsed:
            return
        events = b''.join(self._unparsed)
        self._unparsed.clear()
        self._unparsed_bytes = 0
        parts = []
        for line in events.split(b'\n'):
            if line.startswith(DATA):
                part = self._parse_line(line)
                if part:
                    parts.append(part)
                    self._tokens += 1
        if self._is_single_text:
            self._texts.append(''.join(parts))

    def _parse_line(self, line: bytes) -> str:
        if self._template is not None:
            found = self._template.read(line)
            if found is not None:
                return found
        texts = _parse_texts(line)
        if None in texts:
            # Several choices or tool calls can't be continued.
            self._is_single_text = False
            self._texts.clear()
            return ''.join(text or '' for text in texts) or ' '
        found = ''.join(text or '' for text in texts)
        if found and self._template_count < MAX_TEMPLATES:
            self._template_count += 1
            self._template = _build_template(line, found)
        return found


class _EventTemplate:
    """The bytes before and after the text that a stream's events share.

    Events that match it are read without parsing their JSON.
    """

    __slots__ = ('_before', '_after')

    def __init__(self, before: bytes, after: bytes) -> None:
        self._before = before
        self._after = after

    def read(self, line: bytes) -> str | None:
        """Return the text of an event; None if it has to be parsed."""
        before, after = self._before, self._after
        if not (line.startswith(before) and line.endswith(after)):
            return None
        raw = line[len(before) : -len(after)]
        if len(line) < len(before) + len(after) or not UNESCAPED.fullmatch(
            raw
        ):
            return None
        try:
            return raw.decode('utf-8', 'surrogatepass')
        except UnicodeDecodeError:
            return None


def _build_template(line: bytes, text: str) -> _EventTemplate | None:
    """Return the template of an event; None if its text is escaped."""
    raw = text.encode('utf-8', 'surrogatepass')
    before, quoted, after = line.rpartition(b'"' + raw + b'"')
    if not quoted or not UNESCAPED.fullmatch(raw) or PLACEHOLDER in line:
        return None
    before, after = before + b'"', b'"' + after
    if _parse_texts(before + PLACEHOLDER + after) != [PLACEHOLDER.decode()]:
        return None
    return _EventTemplate(before, after)


def _parse_texts(line: bytes) -> list[str | None]:
    """Return the texts of an event's choices, None for any other content."""
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
