"""Pool of HTTP/1.1 connections to endpoints.

Responses are read as they arrive. Bytes that don't belong to the awaited
response never reach a caller: they are skipped, or their connection is closed.
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

from filbertglade.budgets import memory
from filbertglade.budgets import receive_buffers
from filbertglade import clock
from filbertglade import failures
from filbertglade.forwarding import connection_slots
from filbertglade import http_statuses
from filbertglade.inner import channels
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Connect time-out in ms: several round trips between data centres. A longer
# wait doesn't help: a lost SYN packet is only retransmitted after seconds.
CONNECT_TIMEOUT_MS = 400
# How long sent data may stay unacknowledged before the kernel closes the
# connection, in ms: a partitioned endpoint sends nothing, not even a reset.
USER_TIMEOUT_MS = 2500
# Idle time-out of connections if the endpoint sends no Keep-Alive time, in ms.
DEFAULT_IDLE_MS = 4000
# How long before the endpoint an idle connection is closed, in ms.
IDLE_MARGIN_MS = 700
# Idle connections kept to one endpoint: more than the number of its slots that
# a node usually uses.
MAX_IDLE_CONNECTIONS = 16
MAX_HEAD_BYTES = 65_536
CHUNK_BYTES = 65_536
# Most bytes of a body that nobody needs that are read so that its connection
# can be used again, and longest time for it, in ms: both are less than what a
# new connection costs.
MAX_SKIPPED_BYTES = 262_144
MAX_SKIP_MS = 100
# Reads after which other tasks run: a read that finds bytes doesn't wait.
READS_PER_TURN = 16
# Most interim responses before a response. Endpoints that need long send one
# every few seconds.
MAX_INTERIM_RESPONSES = 100
# Late responses to other requests that are skipped on one connection.
MAX_STRAY_RESPONSES = 2

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
    """Why an endpoint gave no response."""

    # Nothing was sent: no process listens at the address.
    REFUSED = 'refused'
    # Nothing was sent.
    UNREACHABLE = 'unreachable'
    # Nothing was sent: this process has as many connections as it may have.
    LIMIT = 'no connection is free'
    # The connection broke after sending; the request may have run.
    BROKEN = 'broken'
    MALFORMED = 'malformed'


class IncompleteResponse(Exception):  # noqa: N818
    """The body of a response was cut off or framed wrongly."""


class UnstatedEnd(Exception):  # noqa: N818
    """Nothing states that a resumed response is complete."""


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """The head of a response.

    :param status: the status.
    :param reason: the reason phrase.
    :param headers: the headers.
    :param length: the body's length in bytes; None if the head has none.
    :param is_chunked: whether the body uses chunked transfer coding.
    """

    status: int
    reason: str
    headers: httputil.HTTPHeaders
    length: int | None
    is_chunked: bool

    @property
    def is_success(self) -> bool:
        """Whether the status is a 2xx one."""
        return 200 <= self.status < 300

    @property
    def framing(self) -> str:
        """What ends the body: ``chunks``, ``length`` or ``connection``."""
        if self.is_chunked:
            return 'chunks'
        return 'connection' if self.length is None else 'length'

    @property
    def has_stated_end(self) -> bool:
        """Whether the endpoint states where the body ends.

        Without a length and chunks the body ends with its connection, and so
        does one that breaks off.
        """
        return self.is_chunked or self.length is not None


class Connection:
    """One connection to an endpoint.

    :param key: key of the endpoint's incarnation.
    :param stream: the connection's byte stream.
    :param on_close: called once this process has closed it.
    """

    def __init__(
        self,
        key: str,
        stream: iostream.IOStream,
        on_close: abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.key = key
        self._on_close = on_close
        self.stream = stream
        self.is_reused = False
        self.idle_since_ms = 0
        self.idle_limit_ms = DEFAULT_IDLE_MS
        self._first_byte: asyncio.Future[bytes] | None = None
        self._written: asyncio.Future[None] | None = None
        self._reads = 0
        self._head: ResponseHead | None = None
        # Whether a response on it has named its request.
        self._names_requests = False
        self._is_closed_here = False

    def watch(self) -> None:
        """Read the first byte of the next response, or the connection's end.

        On an idle connection either of them makes it unusable.
        """
        if self._first_byte is None:
            self._first_byte = asyncio.ensure_future(self.stream.read_bytes(1))
            self._first_byte.add_done_callback(_retrieve_exception)

    @property
    def is_clean(self) -> bool:
        """Whether it is open and no unexpected bytes have arrived."""
        if self.stream.closed():
            return False
        return self._first_byte is None or not self._first_byte.done()

    def close(self) -> None:
        """Close the connection."""
        self._is_closed_here = True
        self.stream.close()
        self._on_close()

    def send(self, head: bytes, body: bytes) -> None:
        """Send a request; a failure is reported when the response is read.

        :param head: the request's head.
        :param body: its body.
        """
        self._head = None
        if len(body) >= memory.LONG_BYTES:
            # Joined with the head, it would be held twice.
            self._start_writing(head)
            if not self.stream.closed():
                self._start_writing(body)
        else:
            self._start_writing(head + body)

    def _start_writing(self, data: bytes) -> None:
        self._written = asyncio.ensure_future(self.stream.write(data))
        self._written.add_done_callback(_retrieve_exception)

    @property
    def is_written(self) -> bool:
        """Whether all of the request was written without an error."""
        return (
            self._written is not None
            and self._written.done()
            and not self._written.cancelled()
            and self._written.exception() is None
        )

    async def read_head(
        self, request_id_header: str, request_id: str, method: str
    ) -> ResponseHead | failures.Failure:
        """Read the head of the response to a request.

        :param request_id_header: header with the id of a request.
        :param request_id: the request's id; responses to other requests are
            skipped.
        :param method: the request's method.
        :returns: the head, or why there is none.
        """
        for _ in range(MAX_STRAY_RESPONSES + 1):
            head = await self._read_head(method)
            if isinstance(head, failures.Failure):
                return head
            named = head.headers.get(request_id_header)
            if self._is_answer_to(request_id, named):
                self._head = head
                return head
            log.change('answer.stray', endpoint=self.key, named=named)
            if not await self.skip_body(head):
                return failures.Failure(
                    UpstreamReason.BROKEN,
                    'the body of a response to another request',
                )
        return failures.Failure(
            UpstreamReason.MALFORMED, 'too many responses to other requests'
        )

    def _is_answer_to(self, request_id: str, named: str | None) -> bool:
        """Return whether a response is that to the request in flight.

        An endpoint that names requests does so in every response. One that
        names none is left of an earlier request then, or belongs to none.

        :param request_id: the request's id; empty if the caller sent none.
        :param named: the id in the response; None if there is none.
        """
        if named is None:
            return not (request_id and self._names_requests)
        if named != request_id:
            return False
        self._names_requests = True
        return True

    def describe_end(self) -> dict[str, str]:
        """Return the log fields that show how a response ended."""
        ending = 'closed' if self.stream.closed() else 'open'
        if self.stream.error is not None:
            ending = type(self.stream.error).__name__
        framing = self._head.framing if self._head is not None else 'no head'
        return {'framing': framing, 'connection': ending}

    async def _let_others_run(self) -> None:
        """Let other tasks and timers run after some reads."""
        self._reads += 1
        if self._reads % READS_PER_TURN == 0:
            await asyncio.sleep(0)

    async def _read_head(self, method: str) -> ResponseHead | failures.Failure:
        try:
            for _ in range(MAX_INTERIM_RESPONSES + 1):
                await self._let_others_run()
                self.watch()
                assert self._first_byte is not None
                first, self._first_byte = await self._first_byte, None
                rest = await self.stream.read_until_regex(
                    b'\r?\n\r?\n', max_bytes=MAX_HEAD_BYTES
                )
                head = _parse_head(first + rest, method)
                if isinstance(
                    head, failures.Failure
                ) or http_statuses.is_final(head.status):
                    return head
            return failures.Failure(
                UpstreamReason.MALFORMED, 'too many interim responses'
            )
        except (
            iostream.StreamClosedError,
            iostream.UnsatisfiableReadError,
        ) as error:
            detail = f'{type(error).__name__}: {error}'
            return failures.Failure(UpstreamReason.BROKEN, detail)

    async def read_body(self, head: ResponseHead) -> abc.AsyncIterator[bytes]:
        """Yield a response's body as it arrives.

        :param head: the response's head.
        :raises IncompleteResponse: the body is cut off or framed wrongly.
        """
        try:
            if head.is_chunked:
                async for chunk in self._read_chunks():
                    yield chunk
            elif head.length is not None:
                remaining = head.length
                while remaining:
                    chunk = await self.stream.read_bytes(
                        min(remaining, CHUNK_BYTES), partial=True
                    )
                    remaining -= len(chunk)
                    yield chunk
                    await self._let_others_run()
            else:
                async for chunk in self._read_to_end():
                    yield chunk
        except (
            iostream.StreamClosedError,
            iostream.UnsatisfiableReadError,
            ValueError,
        ) as error:
            raise IncompleteResponse(
                f'{type(error).__name__}: {error}'
            ) from error

    async def skip_body(self, head: ResponseHead) -> bool:
        """Skip a body that nobody needs, or close the connection.

        :param head: the response's head.
        :returns: whether all of it was certainly read.
        """
        remaining = MAX_SKIPPED_BYTES
        if head.has_stated_end and (head.length or 0) <= remaining:
            try:
                async with asyncio.timeout(MAX_SKIP_MS / 1000):
                    async for chunk in self.read_body(head):
                        remaining -= len(chunk)
                        if remaining < 0:
                            break
                    else:
                        return True
            except (IncompleteResponse, TimeoutError):
                # Closed below, like one that is too long.
                pass
        log.change('answer.not_skipped', endpoint=self.key, status=head.status)
        self.close()
        return False

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
                await self._let_others_run()
            if await self.stream.read_bytes(2) != b'\r\n':
                raise IncompleteResponse(
                    'chunk is longer than its declared size'
                )

    async def _skip_trailers(self) -> None:
        remaining = MAX_HEAD_BYTES
        while True:
            line = await self.stream.read_until(b'\r\n', max_bytes=remaining)
            if line == b'\r\n':
                return
            remaining -= len(line)
            if remaining <= 0:
                raise IncompleteResponse('trailers are too long')
            await self._let_others_run()

    async def _read_to_end(self) -> abc.AsyncIterator[bytes]:
        while True:
            try:
                chunk = await self.stream.read_bytes(CHUNK_BYTES, partial=True)
            except iostream.StreamClosedError as error:
                if error.real_error is not None or self._is_closed_here:
                    raise
                return
            yield chunk
            await self._let_others_run()

    def is_reusable(self, head: ResponseHead) -> bool:
        """Return whether the connection can carry another request.

        Also sets its idle time-out to what the endpoint requests.

        :param head: the head of the response just read.
        """
        if self.stream.closed() or not self.is_written:
            return False
        if not head.has_stated_end:
            return False
        if 'close' in head.headers.get('Connection', '').lower():
            return False
        self.idle_limit_ms = _parse_idle_limit_ms(head.headers)
        return self.idle_limit_ms > 0


def _retrieve_exception(future: 'asyncio.Future[typing.Any]') -> None:
    if not future.cancelled():
        future.exception()


def _parse_chunk_size(line: bytes) -> int:
    text = line.split(b';', 1)[0].strip()
    if not text or text.strip(b'0123456789abcdefABCDEF'):
        raise IncompleteResponse('chunk has no valid size')
    return int(text, 16)


def _parse_head(raw: bytes, method: str) -> ResponseHead | failures.Failure:
    text = raw.decode('latin-1').lstrip('\r\n')
    line, _, rest = text.partition('\n')
    try:
        start = httputil.parse_response_start_line(line.rstrip('\r'))
        headers = httputil.HTTPHeaders.parse(rest)
        length = _parse_length(headers)
    except (httputil.HTTPInputError, ValueError) as error:
        return failures.Failure(UpstreamReason.MALFORMED, str(error))
    if not http_statuses.is_final(start.code) and not http_statuses.is_interim(
        start.code, headers
    ):
        return failures.Failure(
            UpstreamReason.MALFORMED, f'a response of status {start.code:03}'
        )
    coding = headers.get('Transfer-Encoding', '').lower()
    if coding not in ('', 'chunked'):
        return failures.Failure(UpstreamReason.MALFORMED, coding)
    if method == 'HEAD' or start.code in (204, 304) or start.code < 200:
        length, coding = 0, ''
    return ResponseHead(
        start.code, start.reason, headers, length, coding == 'chunked'
    )


def _parse_length(headers: httputil.HTTPHeaders) -> int | None:
    lengths = set(headers.get_list('Content-Length'))
    if not lengths:
        return None
    if len(lengths) > 1:
        raise ValueError('several different Content-Length values')
    text = lengths.pop()
    if not (text.isascii() and text.isdecimal()):
        raise ValueError(f'invalid Content-Length {text!r}')
    return int(text)


def _parse_idle_limit_ms(headers: httputil.HTTPHeaders) -> int:
    for part in headers.get('Keep-Alive', '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdecimal():
            return int(value) * 1000 - IDLE_MARGIN_MS
    return DEFAULT_IDLE_MS


class _BoundedClient(tcpclient.TCPClient):
    """Opens connections with receive buffers of one size.

    :param receive_buffer_bytes: the size, which is in force only if it is set
        before the connection is opened.
    """

    def __init__(self, receive_buffer_bytes: int) -> None:
        super().__init__()
        self._receive_buffer_bytes = receive_buffer_bytes

    def _create_stream(
        self,
        max_buffer_size: int | None,
        af: socket.AddressFamily,
        addr: tuple[typing.Any, ...],
        source_ip: str | None = None,
        source_port: int | None = None,
    ) -> tuple[iostream.IOStream, 'asyncio.Future[iostream.IOStream]']:
        # The library has no setting for options of the socket.
        opened = socket.socket(af)
        try:
            receive_buffers.set_size(opened, self._receive_buffer_bytes)
            stream = iostream.IOStream(opened, max_buffer_size=max_buffer_size)
        except BaseException:
            opened.close()
            raise
        return stream, stream.connect(addr)


class UpstreamPool(connection_slots.Holder):
    """Idle connections to endpoints, by incarnation.

    :param counters: the process's metrics.
    :param limit: the most connections at a time; 0 for any number.
    :param receive_buffer_bytes: the receive buffer of a connection: what an
        endpoint has sent waits there while its caller doesn't read.
    """

    def __init__(
        self,
        counters: metrics.Metrics,
        limit: int = 0,
        receive_buffer_bytes: int = receive_buffers.MAX_BYTES,
    ) -> None:
        self._counters = counters
        self._client = _BoundedClient(receive_buffer_bytes)
        self._idle: dict[str, collections.deque[Connection]] = {}
        self._open: set[Connection] = set()
        self._opening: set[asyncio.Task[iostream.IOStream]] = set()
        self._slots = connection_slots.ConnectionSlots(limit, self)
        counters.set_gauge('connections_endpoints', self.count_open)

    def count_open(self) -> int:
        """Return how many connections are open or being opened."""
        for connection in [
            each for each in self._open if each.stream.closed()
        ]:
            self._open.discard(connection)
        return len(self._open) + len(self._opening)

    def close_idle(self) -> bool:
        """Close the connection that was idle for the longest time.

        :returns: whether there was one.
        """
        queues = [idle for idle in self._idle.values() if idle]
        if not queues:
            return False
        oldest = min(queues, key=lambda idle: idle[0].idle_since_ms)
        self._counters.count('upstream_idle_closed')
        oldest.popleft().close()
        return True

    def close(self) -> None:
        """Close all idle connections."""
        for key in list(self._idle):
            self.drop(key)
        self._client.close()

    def drop(self, key: str) -> None:
        """Close the idle connections to an endpoint.

        :param key: key of the endpoint's incarnation.
        """
        for connection in self._idle.pop(key, ()):
            connection.close()

    def drop_others(self, keys: abc.Container[str]) -> None:
        """Close the idle connections to all endpoints but the given ones.

        :param keys: keys of the incarnations whose connections are kept.
        """
        for key in [key for key in self._idle if key not in keys]:
            self.drop(key)

    def take_idle(self, key: str, max_idle_ms: int) -> Connection | None:
        """Take the most recently used idle connection to an endpoint.

        :param key: key of the endpoint's incarnation.
        :param max_idle_ms: longest time since the connection's last use.
        :returns: the connection; None if there is none.
        """
        idle = self._idle.get(key)
        now_ms = clock.now_ms()
        while idle:
            connection = idle.pop()
            age_ms = now_ms - connection.idle_since_ms
            if connection.is_clean and age_ms < connection.idle_limit_ms:
                if age_ms > max_idle_ms:
                    idle.append(connection)
                    return None
                connection.is_reused = True
                return connection
            connection.close()
        return None

    def keep(self, connection: Connection) -> None:
        """Keep a connection for another request.

        :param connection: one whose last response was read completely.
        """
        idle = self._idle.setdefault(connection.key, collections.deque())
        connection.idle_since_ms = clock.now_ms()
        connection.watch()
        idle.append(connection)
        while len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().close()
        self._slots.notify()

    async def connect(
        self, key: str, address: str
    ) -> Connection | failures.Failure:
        """Open a connection to an endpoint.

        :param key: key of the endpoint's incarnation.
        :param address: the endpoint's address.
        :returns: the connection, or why there is none.
        """
        end_ms = clock.now_ms() + connection_slots.MAX_WAIT_MS
        while not self._slots.take():
            self._counters.count('upstream_waits')
            left_ms = end_ms - clock.now_ms()
            if left_ms <= 0 or not await self._slots.wait(left_ms / 1000):
                return failures.Failure(UpstreamReason.LIMIT, address)
            fresh = self.take_idle(key, connection_slots.MAX_WAIT_MS)
            if fresh is not None:
                return fresh
        host, port = channels.split_address(address)
        self._counters.count('upstream_connections')
        opening = asyncio.ensure_future(
            self._client.connect(host, port, timeout=CONNECT_TIMEOUT_MS / 1000)
        )
        self._opening.add(opening)
        opening.add_done_callback(self._end_failed)
        try:
            # The library goes on with a connection whose wait is cancelled.
            stream = await asyncio.shield(opening)
        except asyncio.CancelledError:
            opening.add_done_callback(self._close_unused)
            raise
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            detail = f'{address}: {type(error).__name__}: {error}'
            cause = getattr(error, 'real_error', error)
            reason = UpstreamReason.UNREACHABLE
            if isinstance(cause, ConnectionRefusedError):
                reason = UpstreamReason.REFUSED
            return failures.Failure(reason, detail)
        stream.set_nodelay(True)
        stream.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        connection = Connection(key, stream, self._slots.notify)
        self._open.add(connection)
        self._opening.discard(opening)
        return connection

    def _end_failed(self, opening: asyncio.Task[iostream.IOStream]) -> None:
        if opening.cancelled() or opening.exception() is not None:
            self._opening.discard(opening)
            self._slots.notify()

    def _close_unused(self, opening: asyncio.Task[iostream.IOStream]) -> None:
        if not opening.cancelled() and opening.exception() is None:
            opening.result().close()
            self._opening.discard(opening)
            self._slots.notify()
