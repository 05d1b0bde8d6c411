"""HTTP/1.1 connections to endpoints, kept between requests.

Answers are read as they arrive. Whatever doesn't belong to the answer that
is waited for never reaches a caller: its connection is closed.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import enum
import socket
import typing

from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from filbertglade import clock
from filbertglade import failures
from filbertglade.inner import channels
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Longest wait for a connection, in ms: several round trips between data
# centres; an opening packet that was dropped comes again after seconds.
CONNECT_TIMEOUT_MS = 400
# Unacknowledged data after which the kernel ends a connection, in ms: an
# endpoint that was cut off answers nothing, not even with a reset.
USER_TIMEOUT_MS = 2500
# How long a connection is kept if the endpoint names no time, in ms.
IDLE_MS = 4000
# How much earlier than the endpoint a connection is given up, in ms.
IDLE_MARGIN_MS = 700
# Idle connections kept to one endpoint: more than a node's usual share of
# its places.
IDLE_CONNECTIONS = 16
HEAD_BYTES = 65_536
CHUNK_BYTES = 65_536
# Late answers to others that are passed over on one connection.
STRAY_ANSWERS = 2

# Headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class UpstreamReason(enum.Enum):
    """Why an endpoint gave no answer."""

    # Nothing was sent.
    UNREACHABLE = 'unreachable'
    # The request may have run.
    BROKEN = 'broken'
    MALFORMED = 'malformed'


class AnswerBroken(Exception):  # noqa: N818
    """An answer's body ended before its end."""


@dataclasses.dataclass(slots=True)
class AnswerHead:
    """The head of an answer.

    :param status: the status.
    :param reason: the reason phrase.
    :param headers: the headers.
    :param length: the body's length; None if it isn't told.
    :param is_chunked: whether the body comes in chunks.
    """

    status: int
    reason: str
    headers: httputil.HTTPHeaders
    length: int | None
    is_chunked: bool

    @property
    def is_success(self) -> bool:
        """Whether the request succeeded."""
        return 200 <= self.status < 300


class Connection:
    """One connection to an endpoint.

    :param key: the endpoint's life.
    :param stream: the connection.
    """

    def __init__(self, key: str, stream: iostream.IOStream) -> None:
        self.key = key
        self.stream = stream
        self.is_reused = False
        self.idle_since_ms = 0
        self.idle_limit_ms = IDLE_MS
        self._first: asyncio.Future[bytes] | None = None
        self._written: asyncio.Future[None] | None = None

    def watch(self) -> None:
        """Notice bytes and the end of the connection while it is idle."""
        if self._first is None:
            self._first = asyncio.ensure_future(self.stream.read_bytes(1))
            self._first.add_done_callback(_see_error)

    @property
    def is_clean(self) -> bool:
        """Whether it is open and nothing unasked has arrived."""
        if self.stream.closed():
            return False
        return self._first is None or not self._first.done()

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()

    def send(self, head: bytes, body: bytes) -> None:
        """Send a request; a failure shows when the answer is read.

        :param head: the request's head.
        :param body: its body.
        """
        self._written = asyncio.ensure_future(self.stream.write(head + body))
        self._written.add_done_callback(_see_error)

    @property
    def is_written(self) -> bool:
        """Whether the endpoint's kernel has the whole request."""
        return (
            self._written is not None
            and self._written.done()
            and not self._written.cancelled()
            and self._written.exception() is None
        )

    async def read_head(
        self, request_id_header: str, request_id: str, method: str
    ) -> AnswerHead | failures.Failure:
        """Read the head of the answer to a request.

        :param request_id_header: header that names a request.
        :param request_id: the request's id; an answer to another is passed
            over.
        :param method: the request's method.
        :returns: the head, or why there is none.
        """
        for _ in range(STRAY_ANSWERS + 1):
            head = await self._read_head(method)
            if isinstance(head, failures.Failure):
                return head
            named = head.headers.get(request_id_header)
            if named is None or named == request_id:
                return head
            log.change('answer.stray', endpoint=self.key, named=named)
            try:
                async for _chunk in self.read_body(head):
                    pass
            except AnswerBroken as error:
                return failures.Failure(UpstreamReason.BROKEN, str(error))
        return failures.Failure(UpstreamReason.MALFORMED, 'stray answers')

    async def _read_head(self, method: str) -> AnswerHead | failures.Failure:
        try:
            while True:
                self.watch()
                assert self._first is not None
                first, self._first = await self._first, None
                rest = await self.stream.read_until_regex(
                    b'\r?\n\r?\n', max_bytes=HEAD_BYTES
                )
                head = _parse_head(first + rest, method)
                if isinstance(head, failures.Failure) or head.status >= 200:
                    return head
        except (
            iostream.StreamClosedError,
            iostream.UnsatisfiableReadError,
        ) as error:
            detail = f'{type(error).__name__}: {error}'
            return failures.Failure(UpstreamReason.BROKEN, detail)

    async def read_body(self, head: AnswerHead) -> abc.AsyncIterator[bytes]:
        """Yield an answer's body as it arrives.

        :param head: the answer's head.
        :raises AnswerBroken: it ended before its end.
        """
        try:
            if head.is_chunked:
                async for chunk in self._read_chunks():
                    yield chunk
            elif head.length is not None:
                left = head.length
                while left:
                    chunk = await self.stream.read_bytes(
                        min(left, CHUNK_BYTES), partial=True
                    )
                    left -= len(chunk)
                    yield chunk
            else:
                async for chunk in self._read_to_end():
                    yield chunk
        except (
            iostream.StreamClosedError,
            iostream.UnsatisfiableReadError,
            ValueError,
        ) as error:
            raise AnswerBroken(f'{type(error).__name__}: {error}') from error

    async def _read_chunks(self) -> abc.AsyncIterator[bytes]:
        while True:
            line = await self.stream.read_until(b'\r\n', max_bytes=256)
            size = _parse_chunk_size(line)
            if not size:
                await self._skip_trailers()
                return
            while size:
                chunk = await self.stream.read_bytes(
                    min(size, CHUNK_BYTES), partial=True
                )
                size -= len(chunk)
                yield chunk
            if await self.stream.read_bytes(2) != b'\r\n':
                raise AnswerBroken('a chunk is longer than it says')

    async def _skip_trailers(self) -> None:
        while True:
            line = await self.stream.read_until(b'\r\n', max_bytes=HEAD_BYTES)
            if line == b'\r\n':
                return

    async def _read_to_end(self) -> abc.AsyncIterator[bytes]:
        while True:
            try:
                yield await self.stream.read_bytes(CHUNK_BYTES, partial=True)
            except iostream.StreamClosedError as error:
                if error.real_error is not None:
                    raise
                return

    def may_be_kept(self, head: AnswerHead) -> bool:
        """Tell whether the connection can carry another request.

        :param head: the head of the answer just read.
        """
        if self.stream.closed() or not self.is_written:
            return False
        if head.length is None and not head.is_chunked:
            return False
        if 'close' in head.headers.get('Connection', '').lower():
            return False
        self.idle_limit_ms = _read_idle_limit_ms(head.headers)
        return self.idle_limit_ms > 0


def _see_error(future: 'asyncio.Future[typing.Any]') -> None:
    if not future.cancelled():
        future.exception()


def _parse_chunk_size(line: bytes) -> int:
    text = line.split(b';', 1)[0].strip()
    if not text or text.strip(b'0123456789abcdefABCDEF'):
        raise AnswerBroken('a chunk has no size')
    return int(text, 16)


def _parse_head(raw: bytes, method: str) -> AnswerHead | failures.Failure:
    text = raw.decode('latin-1').lstrip('\r\n')
    line, _, rest = text.partition('\n')
    try:
        start = httputil.parse_response_start_line(line.rstrip('\r'))
        headers = httputil.HTTPHeaders.parse(rest)
        length = _parse_length(headers)
    except (httputil.HTTPInputError, ValueError) as error:
        return failures.Failure(UpstreamReason.MALFORMED, str(error))
    coding = headers.get('Transfer-Encoding', '').lower()
    if coding not in ('', 'chunked'):
        return failures.Failure(UpstreamReason.MALFORMED, coding)
    if method == 'HEAD' or start.code in (204, 304) or start.code < 200:
        length, coding = 0, ''
    return AnswerHead(
        start.code, start.reason, headers, length, coding == 'chunked'
    )


def _parse_length(headers: httputil.HTTPHeaders) -> int | None:
    lengths = set(headers.get_list('Content-Length'))
    if not lengths:
        return None
    if len(lengths) > 1:
        raise ValueError('several lengths')
    text = lengths.pop()
    if not (text.isascii() and text.isdecimal()):
        raise ValueError(f'length {text!r}')
    return int(text)


def _read_idle_limit_ms(headers: httputil.HTTPHeaders) -> int:
    for part in headers.get('Keep-Alive', '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdecimal():
            return int(value) * 1000 - IDLE_MARGIN_MS
    return IDLE_MS


class UpstreamPool:
    """Connections to endpoints by life.

    :param counters: the process's metrics.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._client = tcpclient.TCPClient()
        self._idle: dict[str, collections.deque[Connection]] = {}

    def close(self) -> None:
        """Close all idle connections."""
        for key in list(self._idle):
            self.drop(key)
        self._client.close()

    def drop(self, key: str) -> None:
        """Close the idle connections to an endpoint.

        :param key: its life.
        """
        for connection in self._idle.pop(key, ()):
            connection.close()

    def drop_others(self, keys: abc.Container[str]) -> None:
        """Close the idle connections to endpoints that are gone.

        :param keys: lives that stay.
        """
        for key in [key for key in self._idle if key not in keys]:
            self.drop(key)

    def take_idle(self, key: str, freshest_ms: int) -> Connection | None:
        """Return the idle connection to an endpoint that was used last.

        :param key: the endpoint's life.
        :param freshest_ms: longest time since its last use.
        :returns: the connection; None if there is none.
        """
        idle = self._idle.get(key)
        now_ms = clock.now_ms()
        while idle:
            connection = idle.pop()
            age_ms = now_ms - connection.idle_since_ms
            if connection.is_clean and age_ms < connection.idle_limit_ms:
                if age_ms > freshest_ms:
                    idle.append(connection)
                    return None
                connection.is_reused = True
                return connection
            connection.close()
        return None

    def keep(self, connection: Connection) -> None:
        """Keep a connection for another request.

        :param connection: one whose last answer was read whole.
        """
        idle = self._idle.setdefault(connection.key, collections.deque())
        connection.idle_since_ms = clock.now_ms()
        connection.watch()
        idle.append(connection)
        while len(idle) > IDLE_CONNECTIONS:
            idle.popleft().close()

    async def connect(
        self, key: str, address: str
    ) -> Connection | failures.Failure:
        """Open a connection to an endpoint.

        :param key: the endpoint's life.
        :param address: its address.
        :returns: the connection, or why there is none.
        """
        host, port = channels.split_address(address)
        self._counters.count('upstream_connections')
        try:
            stream = await self._client.connect(
                host, port, timeout=CONNECT_TIMEOUT_MS / 1000
            )
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            detail = f'{address}: {type(error).__name__}: {error}'
            return failures.Failure(UpstreamReason.UNREACHABLE, detail)
        stream.set_nodelay(True)
        stream.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        return Connection(key, stream)
