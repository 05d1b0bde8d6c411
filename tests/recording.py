"""Recordings of HTTP exchanges as text that is the same in each run."""

import json
import pathlib
import re

import httpx

GOLDEN = pathlib.Path(__file__).parent / 'golden'

# Response headers that are part of the interface; others are left out.
HEADERS = (
    'Content-Type',
    'Retry-After',
    'WWW-Authenticate',
    'X-Outcome',
    'X-Replayed',
)
# JSON fields whose values differ between runs, unless empty or 0.
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
ALWAYS_VARYING_FIELDS = frozenset(('reply_age_ms', 'requests_per_s'))
VARYING_PATTERNS = (
    (re.compile(r'127\.0\.0\.1:\d+'), '<address>'),
    (re.compile(r'\b(swap-writer)-\d+\b'), r'\1-<epoch>'),
    (re.compile(r'\b(listing)-\d\b'), r'\1-<n>'),
    (re.compile(r'\b[0-9a-f]{32}\b'), '<run>'),
)


def normalize_text(text: str) -> str:
    """Replace the parts of a text that differ between runs."""
    for pattern, replacement in VARYING_PATTERNS:
        text = pattern.sub(replacement, text)
    return text


def normalize_json(data: object) -> object:
    """Replace the values of fields that differ between runs."""
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
    """Records exchanges in the order in which they are made."""

    def __init__(self) -> None:
        self._entries: list[str] = []

    def record_exchange(
        self,
        title: str,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        **body: object,
    ) -> None:
        """Send a request, and record it with its response."""
        text = _send_and_format(method, url, headers or {}, body)
        self._entries.append(f'== {title}\n{text}\n')

    def record_exchange_with_all(
        self,
        title: str,
        method: str,
        urls: list[str],
        headers: dict[str, str] | None = None,
        **body: object,
    ) -> None:
        """Send a request to several nodes; record it once.

        The normalised responses must be equal.
        """
        texts = [
            _send_and_format(method, url, headers or {}, body) for url in urls
        ]
        assert [normalize_text(text) for text in texts] == [
            normalize_text(texts[0])
        ] * len(urls)
        self._entries.append(f'== {title}\n{texts[0]}\n')

    def record_command(self, title: str, output: str) -> None:
        """Record a command's output."""
        self._entries.append(f'== {title}\n{normalize_text(output)}\n')

    def render(self) -> str:
        """Return the recording as text."""
        return normalize_text(''.join(self._entries))


def _send_and_format(
    method: str, url: str, headers: dict[str, str], body: dict[str, object]
) -> str:
    response = httpx.request(method, url, headers=headers, timeout=30, **body)
    lines = [f'{method} {response.request.url.raw_path.decode()}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    sent = response.request.content.decode()
    if sent:
        lines.append(_shorten(sent))
    lines.append(f'-- {response.status_code}')
    lines += [
        f'{name}: {response.headers[name]}'
        for name in HEADERS
        if name in response.headers
    ]
    lines.append(render_body(response.text))
    return '\n'.join(lines) + '\n'


def render_body(text: str) -> str:
    """Return a body; JSON is normalised, with each value on its own line."""
    try:
        data = normalize_json(json.loads(text))
    except ValueError:
        return text.rstrip()
    return json.dumps(data, indent=1)


def _shorten(text: str) -> str:
    return text if len(text) <= 1000 else f'({len(text)} characters)'
