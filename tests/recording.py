"""Sessions written down as text, without what differs from run to run."""

import json
import pathlib
import re

import httpx

GOLDEN = pathlib.Path(__file__).parent / 'golden'

# Headers that are part of what is promised.
HEADERS = (
    'Content-Type',
    'Retry-After',
    'WWW-Authenticate',
    'X-Outcome',
    'X-Replayed',
)
# Fields of JSON whose values differ from run to run, unless empty.
VARYING_FIELDS = frozenset(
    (
        'age_ms',
        'committed_index',
        'epoch',
        'incarnation',
        'leader',
        'match_index',
        'retry_after_ms',
        'term',
    )
)
ALWAYS_VARYING_FIELDS = frozenset(('requests_per_s',))
VARYING_TEXTS = (
    (re.compile(r'127\.0\.0\.1:\d+'), '<address>'),
    (re.compile(r'\b(swap-writer)-\d+\b'), r'\1-<epoch>'),
    (re.compile(r'\b(listing)-\d\b'), r'\1-<n>'),
    (re.compile(r'\b[0-9a-f]{32}\b'), '<run>'),
)


def normalize_text(text: str) -> str:
    """Replace what differs from run to run."""
    for pattern, replacement in VARYING_TEXTS:
        text = pattern.sub(replacement, text)
    return text


def normalize_json(data: object) -> object:
    """Replace the values of fields that differ from run to run."""
    if isinstance(data, dict):
        return {
            key: f'<{key}>' if _varies(key, value) else normalize_json(value)
            for key, value in data.items()
        }
    if isinstance(data, list):
        return [normalize_json(item) for item in data]
    return data


def _varies(key: str, value: object) -> bool:
    if key in VARYING_FIELDS:
        return value not in ('', 0)
    return key in ALWAYS_VARYING_FIELDS


class Session:
    """Writes exchanges down, in the order in which they were made."""

    def __init__(self) -> None:
        self._parts: list[str] = []

    def exchange(
        self,
        title: str,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        **body: object,
    ) -> None:
        """Make a request, and write it down with its answer."""
        text = _exchange(method, url, headers or {}, body)
        self._parts.append(f'== {title}\n{text}\n')

    def exchange_with_all(
        self,
        title: str,
        method: str,
        urls: list[str],
        headers: dict[str, str] | None = None,
        **body: object,
    ) -> None:
        """Make a request of several nodes; all must answer alike."""
        texts = [_exchange(method, url, headers or {}, body) for url in urls]
        assert [normalize_text(text) for text in texts] == [
            normalize_text(texts[0])
        ] * len(urls)
        self._parts.append(f'== {title}\n{texts[0]}\n')

    def command(self, title: str, output: str) -> None:
        """Write a command's output down."""
        self._parts.append(f'== {title}\n{normalize_text(output)}\n')

    def render(self) -> str:
        """Return the whole session."""
        return normalize_text(''.join(self._parts))


def _exchange(
    method: str, url: str, headers: dict[str, str], body: dict[str, object]
) -> str:
    answer = httpx.request(method, url, headers=headers, timeout=30, **body)
    lines = [f'{method} {answer.request.url.raw_path.decode()}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    sent = answer.request.content.decode()
    if sent:
        lines.append(_shorten(sent))
    lines.append(f'-- {answer.status_code}')
    lines += [
        f'{name}: {answer.headers[name]}'
        for name in HEADERS
        if name in answer.headers
    ]
    lines.append(render_body(answer.text))
    return '\n'.join(lines) + '\n'


def render_body(text: str) -> str:
    """Return a body in a form that shows what changed."""
    try:
        data = normalize_json(json.loads(text))
    except ValueError:
        return text.rstrip()
    return json.dumps(data, indent=1)


def _shorten(text: str) -> str:
    return text if len(text) <= 1000 else f'({len(text)} characters)'
