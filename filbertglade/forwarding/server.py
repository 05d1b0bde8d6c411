"""HTTP server for callers: enforces limits and starts a task per request."""

import asyncio
from collections import abc
import re
import socket
import struct
import sys
import typing
import weakref

from tornado import httpserver
from tornado import httputil
from tornado import iostream

from filbertglade import clock
from filbertglade.fleet import document
from filbertglade.inner import channels
from filbertglade.observability import logs

log = logs.get_log(__name__)

# How much of an oversized body is read and discarded, so that its sender reads
# the refusal instead of a connection reset.
MAX_DISCARDED_BYTES = 16_777_216
# Time for a caller to read a response before its connection is closed.
CLOSE_DELAY_S = 0.5
# Upper limit on the size of headers; the document may set a lower one.
MAX_HEADER_BYTES = 1_048_576
# Limits in force until a document sets others.
DEFAULT_LIMITS = document.Limits()
# Values of SO_LINGER: a closed connection is reset, or ends in order once all
# was sent.
LINGER_RESET = struct.pack('ii', 1, 0)
LINGER_OFF = struct.pack('ii', 0, 0)

_LINE_BREAK = re.compile(r'[\r\n]')


class CallerRequest:
    """A request, and the connection for its response.

    :param connection: the caller's connection.
    :param start_line: its start line.
    :param headers: its headers.
    :param received_ms: local clock when its head had been read.
    :ivar body: its body; empty until all of it has been read.
    :ivar is_response_started: whether the head of a response was sent.
    :ivar closes_connection: whether the connection is closed after the
        response.
    :ivar is_aborted: whether the connection was closed without the end of a
        response.
    """

    def __init__(
        self,
        connection: httputil.HTTPConnection,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        received_ms: int,
    ) -> None:
        self._connection = connection
        self.method = start_line.method
        self.target = start_line.path
        self.headers = headers
        self.received_ms = received_ms
        self.body = b''
        self.is_response_started = False
        self.closes_connection = False
        self.is_aborted = False
        self._takes_chunks = start_line.version != 'HTTP/1.0'
        # Whether only the end of the connection ends the response.
        self._ends_with_connection = False

    @property
    def is_last(self) -> bool:
        """Whether its connection carries no further response."""
        return self.closes_connection or self.is_aborted

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition('?')[0]

    @property
    def hostname(self) -> str:
        """The host name that the caller addressed, without a port."""
        host = self.headers.get('Host', '')
        return host.rpartition(':')[0] if ':' in host else host

    @property
    def states_end(self) -> bool:
        """Whether the response that was begun has a length or chunks."""
        return not self._ends_with_connection

    async def begin_response(
        self,
        status: int,
        reason: str,
        headers: httputil.HTTPHeaders,
        states_end: bool = True,
    ) -> None:
        """Send the head of the response.

        :param status: the status.
        :param reason: the reason phrase.
        :param headers: the headers; without a length the body is sent with
            chunked transfer coding if the caller knows it.
        :param states_end: False to let the body end with the connection.
        :raises StreamClosedError: the caller has disconnected.
        """
        self.is_response_started = True
        if self.method != 'HEAD' and not (
            states_end and (self._takes_chunks or 'Content-Length' in headers)
        ):
            self._ends_with_connection = self.closes_connection = True
        if self.closes_connection:
            headers['Connection'] = 'close'
        if self._ends_with_connection:
            # Only finish() lets the connection end in order, so that it is
            # also reset when this process ends.
            self._set_linger(LINGER_RESET)
            # The connection would add chunks to a body without a length.
            await self._connection.write(_build_head(status, reason, headers))
            return
        line = httputil.ResponseStartLine('HTTP/1.1', status, reason)
        await self._connection.write_headers(line, headers)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body.

        :param chunk: the part.
        :raises StreamClosedError: the caller has disconnected.
        """
        await self._connection.write(chunk)

    def finish(self) -> None:
        """End the response, all of which has been written."""
        try:
            if self._ends_with_connection:
                self._set_linger(LINGER_OFF)
            self._connection.finish()
            if self._ends_with_connection:
                self._end_writing()
        except (OSError, httputil.HTTPOutputError) as error:
            log.change('answer.unfinished', error=error)
            self.abort()
            return
        if self.closes_connection:
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_DELAY_S, self.abort)

    def _end_writing(self) -> None:
        """End the connection for the caller, which has yet to read it."""
        stream = getattr(self._connection, 'stream', None)
        if stream is not None and not stream.closed():
            stream.socket.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """Close the connection, so that a cut response can't look complete."""
        self.is_aborted = True
        stream = getattr(self._connection, 'stream', None)
        if stream is not None:
            stream.close()

    def _set_linger(self, value: bytes) -> None:
        stream = getattr(self._connection, 'stream', None)
        if stream is not None and not stream.closed():
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, value
            )

    def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: abc.Mapping[str, str] | None = None,
    ) -> None:
        """Send a complete short response.

        :param status: the status.
        :param body: the body.
        :param headers: further headers.
        """
        all_headers = httputil.HTTPHeaders(
            {'Content-Length': str(len(body)), **(headers or {})}
        )
        if self.closes_connection:
            all_headers['Connection'] = 'close'
        self.is_response_started = True
        reason = httputil.responses.get(status, 'Unknown')
        line = httputil.ResponseStartLine('HTTP/1.1', status, reason)
        try:
            written = self._connection.write_headers(line, all_headers, body)
        except iostream.StreamClosedError:
            return
        asyncio.ensure_future(written).add_done_callback(_retrieve_exception)
        self.finish()


def _build_head(
    status: int, reason: str, headers: httputil.HTTPHeaders
) -> bytes:
    """Return the head of a response.

    :raises ValueError: a header contains a line break.
    """
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in headers.get_all()]
    if any(_LINE_BREAK.search(line) for line in lines):
        raise ValueError('a header of a response contains a line break')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def _retrieve_exception(future: 'asyncio.Future[typing.Any]') -> None:
    if not future.cancelled():
        future.exception()


RequestHandler = abc.Callable[
    [CallerRequest], abc.Coroutine[typing.Any, typing.Any, None]
]


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Reads callers' requests within limits and starts a task for each.

    :param serve: handles a request and sends its response.
    :param get_limits: returns the limits in force; None before a document
        arrives.
    :ivar in_flight: requests that are being read or handled.
    """

    def __init__(
        self,
        serve: RequestHandler,
        get_limits: abc.Callable[[], document.Limits | None],
    ) -> None:
        self.serve = serve
        self._get_limits = get_limits
        self.in_flight: set[_RequestReader] = set()
        self._last_requests: weakref.WeakKeyDictionary[
            object, CallerRequest
        ] = weakref.WeakKeyDictionary()
        self._server: httpserver.HTTPServer | None = None

    def listen(self, address: str) -> None:
        """Listen for connections.

        :param address: ``host:port``.
        :raises OSError: the address can't be listened on.
        """
        limits = self.limits
        self._server = httpserver.HTTPServer(
            self,  # type: ignore[arg-type]
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=sys.maxsize,
            idle_connection_timeout=limits.idle_timeout_ms / 1000 + 1,
        )
        host, port = channels.split_address(address)
        self._server.listen(port, host, backlog=1024)

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.stop()

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            await self._server.close_all_connections()

    @property
    def limits(self) -> document.Limits:
        """The limits in force."""
        return self._get_limits() or DEFAULT_LIMITS

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate that reads a request.

        :param server_conn: the connection.
        :param request_conn: the connection's interface for this request.
        :returns: the delegate.
        """
        return _RequestReader(self, server_conn, request_conn)

    def accept_request(
        self, server_conn: object, request: CallerRequest
    ) -> bool:
        """Return whether a request's connection can carry its response.

        :param server_conn: the connection.
        :param request: the request whose head has been read.
        """
        previous = self._last_requests.get(server_conn)
        if previous is not None and previous.is_last:
            return False
        self._last_requests[server_conn] = request
        return True

    def on_close(self, server_conn: object) -> None:
        """Ignore the end of a connection; each request has its own callback.

        :param server_conn: the connection.
        """


class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and owns the task that handles it."""

    def __init__(
        self,
        server: CallerServer,
        server_conn: object,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._server = server
        self._server_conn = server_conn
        self._connection = connection
        self._request: CallerRequest | None = None
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._is_refused = False
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check the head of a request.

        :param start_line: its start line.
        :param headers: its headers.
        """
        limits = self._server.limits
        request = CallerRequest(
            self._connection,
            typing.cast(httputil.RequestStartLine, start_line),
            headers,
            clock.now_ms(),
        )
        if not self._server.accept_request(self._server_conn, request):
            # It was sent before its caller read that the connection ends.
            log.change('request.ignored')
            self._is_refused = True
            return
        self._request = request
        self._server.in_flight.add(self)
        size = sum(
            len(name) + len(value) + 4 for name, value in headers.get_all()
        )
        if size + len(request.target) > limits.max_header_bytes:
            self._refuse(431)
            return
        if len(headers.get_list('Host')) != 1:
            self._refuse(400)
            return
        length = headers.get('Content-Length', '')
        if length.isdecimal() and int(length) > limits.max_body_bytes:
            self._refuse(413)
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            limits.header_timeout_ms / 1000, self._refuse, 408
        )

    def data_received(self, chunk: bytes) -> None:
        """Buffer a part of the body.

        :param chunk: the part.
        """
        self._body_bytes += len(chunk)
        if self._is_refused:
            if (
                self._body_bytes > MAX_DISCARDED_BYTES
                and self._request is not None
            ):
                self._request.abort()
            return
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._refuse(413)
            return
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Start the task for a request that has arrived completely."""
        self._stop_timer()
        if self._is_refused or self._request is None:
            self._server.in_flight.discard(self)
            return
        self._request.body = b''.join(self._chunks)
        self._chunks = []
        # Tornado reports the end of the connection only to this callback once
        # the request has been read.
        connection: typing.Any = self._connection
        connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.get_running_loop().create_task(
            self._server.serve(self._request)
        )
        self._task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: 'asyncio.Task[None]') -> None:
        self._server.in_flight.discard(self)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error('request.failed', error=error)
            if self._request is not None:
                self._request.abort()

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        self._stop_timer()
        self._server.in_flight.discard(self)
        if self._task is not None:
            self._task.cancel()

    def _refuse(self, status: int) -> None:
        self._stop_timer()
        self._is_refused = True
        assert self._request is not None
        log.change(
            'request.refused_unread', status=status, bytes=self._body_bytes
        )
        self._request.closes_connection = True
        self._request.respond(status)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
