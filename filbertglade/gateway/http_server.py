"""A small HTTP/1.1 server for frequent short requests.

Endpoints announce themselves about once a second each, hundreds of them to
one process: a request that is answered at once starts no task and no timer.
"""

import asyncio
import collections
from collections import abc
import typing

import httptools

from filbertglade import clock
from filbertglade.inner import channels
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Longest head of a request, in bytes.
MAX_HEAD_BYTES = 65_536
# Longest body of requests that aren't known to have long ones, in bytes: they
# come from many senders, which may all send at the same time.
SHORT_BODY_BYTES = 65_536
# Time without a whole request after which a connection is closed, in ms, and
# the interval between two checks: hosts that lose power close nothing.
IDLE_TIMEOUT_MS = 120_000
IDLE_CHECK_INTERVAL_MS = 10_000
# Connections that wait to be accepted: those of all endpoints at a time.
BACKLOG = 2048

REASONS = {
    100: 'Continue',
    200: 'OK',
    307: 'Temporary Redirect',
    400: 'Bad Request',
    404: 'Not Found',
    405: 'Method Not Allowed',
    413: 'Content Too Large',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Headers that say how a body is sent.
FRAMING_HEADERS = (b'content-length', b'expect', b'transfer-encoding')


class Request:
    """A request whose body has been read.

    :param method: the method.
    :param target: path and query, as sent.
    :param body: the body.
    """

    __slots__ = ('method', 'target', 'body')

    def __init__(self, method: str, target: str, body: bytes) -> None:
        self.method = method
        self.target = target
        self.body = body

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


class Response:
    """A response.

    :param status: the status.
    :param body: the body.
    :param headers: headers beside the body's length and type.
    :param content_type: the body's type.
    """

    __slots__ = ('status', 'body', 'headers', 'content_type')

    def __init__(
        self,
        status: int,
        body: bytes = b'',
        headers: abc.Mapping[str, str] | None = None,
        content_type: str = 'application/json',
    ) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type
        self.headers = headers or {}

    def write(self, has_body: bool, keeps_connection: bool) -> bytes:
        """Return the response as it is sent.

        :param has_body: whether the body is sent, not only its length.
        :param keeps_connection: whether another one may follow.
        """
        reason = REASONS.get(self.status, 'Unknown')
        lines = [
            f'HTTP/1.1 {self.status} {reason}',
            f'Content-Length: {len(self.body)}',
            f'Content-Type: {self.content_type}',
        ]
        lines += [f'{name}: {value}' for name, value in self.headers.items()]
        if not keeps_connection:
            lines.append('Connection: close')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        return head + self.body if has_body else head


# Returns the response at once, or a coroutine that does.
Handler = abc.Callable[
    [Request],
    Response | abc.Coroutine[typing.Any, typing.Any, Response],
]


class HttpServer:
    """Serves one address.

    :param handle: serves a request.
    :param max_body_bytes: longest body of a request.
    :param long_body_path: the only path with bodies of that length, if there
        is one; others have :data:`SHORT_BODY_BYTES`.
    """

    def __init__(
        self, handle: Handler, max_body_bytes: int, long_body_path: str = ''
    ) -> None:
        self.handle = handle
        self._max_body_bytes = max_body_bytes
        self._long_body_path = long_body_path.encode()
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Accept connections.

        :param address: ``host:port``.
        :raises OSError: the server can't listen on the address.
        """
        host, port = channels.split_address(address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), host, port, backlog=BACKLOG
        )
        self._schedule_idle_check()

    def find_body_limit(self, target: bytes) -> int:
        """Return the longest body of requests for a target, in bytes.

        :param target: path and query.
        """
        path = target.partition(b'?')[0]
        if self._long_body_path and path != self._long_body_path:
            return min(SHORT_BODY_BYTES, self._max_body_bytes)
        return self._max_body_bytes

    def stop(self) -> None:
        """Accept no more connections; those that are open are served."""
        if self._server is not None:
            self._server.close()
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def close_all_connections(self) -> None:
        """Close all connections, whatever is being served."""
        for connection in list(self.connections):
            connection.abort()

    def _schedule_idle_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(
            IDLE_CHECK_INTERVAL_MS / 1000, self._close_idle
        )

    def _close_idle(self) -> None:
        limit_ms = clock.now_ms() - IDLE_TIMEOUT_MS
        for connection in list(self.connections):
            if connection.is_idle_since(limit_ms):
                connection.abort()
        self._schedule_idle_check()


class _Connection(asyncio.Protocol):
    """One connection, whose requests are served one after the other.

    :param server: the server.
    """

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        # Local clock at the latest whole request, or when one was answered.
        self._used_ms = clock.now_ms()
        # Nothing is read while any request waits, so at most those that were
        # read at once do.
        self._waiting: collections.deque[tuple[Request, bool]] = (
            collections.deque()
        )
        self._serving: asyncio.Task[None] | None = None
        # Whether the other side doesn't take what was sent to it.
        self._is_blocked = False
        # Whether the next bytes belong to nothing that is still served.
        self._is_closing = False
        self._start_message()

    def _start_message(self) -> None:
        self._target = b''
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._is_head_complete = False
        self._framing: list[bytes] = []
        self._expects_continue = False

    def is_idle_since(self, limit_ms: int) -> bool:
        """Return whether no request was read or is being served since a time.

        :param limit_ms: local clock.
        """
        return self._serving is None and self._used_ms < limit_ms

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection.

        :param transport: the connection.
        """
        self._transport = typing.cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the connection; what is being served goes on.

        :param error: why it was lost.
        """
        self._is_closing = True
        self._waiting.clear()
        self._server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Read a part of a request.

        :param data: the part.
        """
        if self._is_closing:
            return
        if not self._is_head_complete:
            self._head_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self._refuse(cause.status if isinstance(cause, _Refused) else 400)
            return
        except httptools.HttpParserError:
            self._refuse(400)
            return
        if not self._is_head_complete and self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(431)

    def pause_writing(self) -> None:
        """Prepare no more responses until the sent ones are taken."""
        self._is_blocked = True

    def resume_writing(self) -> None:
        """Serve what has waited meanwhile."""
        self._is_blocked = False
        self._used_ms = clock.now_ms()
        self._go_on()

    def _parse(self, data: bytes) -> None:
        """Read requests.

        One that offers another protocol, which is never taken, is read again
        without the offer: the parser skips its body.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                method = self._parser.get_method()
                if method == b'CONNECT':
                    self._refuse(405)
                    return
                head = [method + b' ' + self._target + b' HTTP/1.1']
                head += [*self._framing, b'', b'']
                data = b'\r\n'.join(head) + data[offer.args[0] :]
                self._parser = httptools.HttpRequestParser(self)

    def _refuse(self, status: int) -> None:
        """Answer a request that can't be read, and close the connection.

        If others before it are still to be answered, it isn't answered.
        """
        log.change('request.unreadable', status=status)
        self._is_closing = True
        if self._serving is None and not self._waiting:
            self._send(None, Response(status), False)

    # Called by the parser

    def on_message_begin(self) -> None:
        """Start a request."""
        head_bytes = self._head_bytes
        self._start_message()
        self._head_bytes = head_bytes

    def on_url(self, target: bytes) -> None:
        """Read a part of the target.

        :param target: the part.
        """
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read a header.

        :param name: its name.
        :param value: its value.
        """
        lower_name = name.lower()
        if lower_name in FRAMING_HEADERS:
            self._framing.append(name + b': ' + value)
        if lower_name == b'expect':
            self._expects_continue = value.lower() == b'100-continue'
        elif lower_name == b'content-length':
            # The parser refuses what is no number.
            if int(value) > self._server.find_body_limit(self._target):
                raise _Refused(413)

    def on_headers_complete(self) -> None:
        """Let the sender go on with the body if it waits for that."""
        self._is_head_complete = True
        if self._parser.should_upgrade():
            return
        if self._expects_continue and self._transport is not None:
            self._transport.write(CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Read a part of the body.

        :param data: the part.
        """
        self._body_bytes += len(data)
        if self._body_bytes > self._server.find_body_limit(self._target):
            raise _Refused(413)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Serve the request, after those before it."""
        if self._parser.should_upgrade():
            return
        request = Request(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            b''.join(self._body),
        )
        keeps_connection = self._parser.should_keep_alive()
        self._start_message()
        if self._is_closing:
            return
        self._used_ms = clock.now_ms()
        self._waiting.append((request, keeps_connection))
        self._go_on()

    # Serving

    def _go_on(self) -> None:
        """Serve what can be served now; read more unless requests wait."""
        self._serve_waiting()
        if self._transport is None or self._is_closing:
            return
        if self._waiting:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _serve_waiting(self) -> None:
        """Serve requests until one takes time, or its answers aren't taken."""
        while self._waiting and self._serving is None and not self._is_blocked:
            request, keeps_connection = self._waiting.popleft()
            try:
                response = self._server.handle(request)
            except Exception as error:
                log.error('request.failed', target=request.target, error=error)
                response = Response(500)
            if isinstance(response, Response):
                self._send(request, response, keeps_connection)
                continue
            self._serving = asyncio.get_running_loop().create_task(
                self._serve(request, response, keeps_connection)
            )

    async def _serve(
        self,
        request: Request,
        responding: abc.Coroutine[typing.Any, typing.Any, Response],
        keeps_connection: bool,
    ) -> None:
        try:
            response = await responding
        except Exception as error:
            log.error('request.failed', target=request.target, error=error)
            response = Response(500)
        self._serving = None
        self._used_ms = clock.now_ms()
        self._send(request, response, keeps_connection)
        self._go_on()

    def _send(
        self,
        request: Request | None,
        response: Response,
        keeps_connection: bool,
    ) -> None:
        """Send a response.

        :param request: what it answers; None if that couldn't be read.
        :param response: the response.
        :param keeps_connection: whether the connection stays open.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._is_closing and not self._waiting:
            keeps_connection = False
        has_body = request is None or request.method != 'HEAD'
        transport.write(response.write(has_body, keeps_connection))
        if not keeps_connection:
            self._is_closing = True
            self._waiting.clear()
            transport.close()


class _Refused(Exception):  # noqa: N818
    """A request that is too large.

    :param status: the status to answer with.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status
