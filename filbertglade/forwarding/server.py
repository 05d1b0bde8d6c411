"""HTTP server for callers: enforces limits and starts a task per request."""

import asyncio
from collections import abc
import sys
import typing
import weakref

from tornado import httputil

from filbertglade.budgets import long_bodies
from filbertglade.budgets import memory
from filbertglade.budgets import process
from filbertglade.budgets import turns
from filbertglade import clock
from filbertglade.fleet import document
from filbertglade.forwarding import caller_requests
from filbertglade.forwarding import caller_streams
from filbertglade import http_lengths
from filbertglade.inner import channels
from filbertglade.observability import logs

log = logs.get_log(__name__)

CLOSE_DELAY_S = caller_streams.CLOSE_DELAY_S
# Upper limit on the size of headers; the document may set a lower one.
MAX_HEADER_BYTES = 1_048_576
# Why a request is refused before it is read, by the status.
UNREAD_REASONS = {
    408: 'body too slow',
    413: 'body too long',
    431: 'headers too long',
}
# Limits in force until a document sets others.
DEFAULT_LIMITS = document.Limits()
CallerRequest = caller_requests.CallerRequest
RequestHandler = abc.Callable[
    [CallerRequest], abc.Coroutine[typing.Any, typing.Any, None]
]


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Reads callers' requests within limits and starts a task for each.

    :param serve: handles a request and sends its response.
    :param get_limits: returns the limits in force; None before a document
        arrives.
    :param budgets: what the process may hold; None for the defaults.
    :param find_customer: returns the customer that a request's headers name.
    :ivar in_flight: requests that are being read or handled.
    :ivar long_bodies: which long bodies are read.
    """

    def __init__(
        self,
        serve: RequestHandler,
        get_limits: abc.Callable[[], document.Limits | None],
        budgets: process.Budgets | None = None,
        find_customer: abc.Callable[
            [httputil.HTTPHeaders], str
        ] = lambda headers: '',
    ) -> None:
        self.serve = serve
        self._get_limits = get_limits
        self.budgets = budgets or process.build_default()
        self.long_bodies = self.budgets.build_long_bodies()
        self.find_customer = find_customer
        self.in_flight: set[_RequestReader] = set()
        self._last_requests: weakref.WeakKeyDictionary[
            object, CallerRequest
        ] = weakref.WeakKeyDictionary()
        self._server: caller_streams.LimitedServer | None = None

    def listen(self, address: str) -> None:
        """Listen for connections.

        :param address: ``host:port``.
        :raises OSError: the address can't be listened on.
        """
        limits = self.limits
        self._server = caller_streams.LimitedServer(
            self,  # type: ignore[arg-type]
            chunk_size=caller_streams.CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=sys.maxsize,
            idle_connection_timeout=limits.idle_timeout_ms / 1000 + 1,
        )
        host, port = channels.split_address(address)
        self._server.set_budgets(self.budgets)
        self._server.listen_within_budgets(port, host)

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


class _RequestReader(httputil.HTTPMessageDelegate, turns.Reader):
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
        self._place: long_bodies.Place | None = None
        # Done once the body may be read on, or was refused.
        self._turn: asyncio.Future[None] | None = None
        self._stream: caller_streams.CallerStream | None = None
        stream = getattr(connection, 'stream', None)
        self._message: object = None
        if isinstance(stream, caller_streams.CallerStream):
            self._stream = stream
            self._message = stream.begin_head(server.limits.max_header_bytes)

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> abc.Awaitable[None] | None:
        """Check the head of a request.

        :param start_line: its start line.
        :param headers: its headers.
        :returns: what the body waits for; None to read it at once.
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
            if self._stream is not None:
                self._stream.discard_rest()
            return None
        self._request = request
        self._server.in_flight.add(self)
        size = sum(
            len(name) + len(value) + 4 for name, value in headers.get_all()
        )
        if self._stream is not None:
            self._stream.end_head(size + len(request.target))
            request.account = self._stream.account
            request.account.begin(self._evict)
        if size + len(request.target) > limits.max_header_bytes:
            self._refuse(431)
            return None
        if len(headers.get_list('Host')) != 1:
            self._refuse(400)
            return None
        size_bytes = http_lengths.read_length(
            headers.get('Content-Length', '')
        )
        if size_bytes > limits.max_body_bytes:
            self._refuse(413)
            return None
        self._start_timer()
        if size_bytes >= memory.LONG_BYTES:
            return self._take_place(size_bytes)
        return None

    def data_received(self, chunk: bytes) -> abc.Awaitable[None] | None:
        """Buffer a part of the body.

        :param chunk: the part.
        :returns: what the next part waits for; None to read it at once.
        """
        if self._is_refused:
            return None
        self._body_bytes += len(chunk)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._refuse(413)
            return None
        self._chunks.append(chunk)
        if self._stream is None:
            return None
        account = self._stream.account
        account.received_bytes += len(chunk)
        if not account.add(len(chunk)) and not self._is_refused:
            self._evict()
        if (
            self._place is None
            and not self._is_refused
            and self._body_bytes >= memory.LONG_BYTES
        ):
            return self._take_place(self._server.limits.max_body_bytes)
        return None

    def _take_place(self, size_bytes: int) -> abc.Awaitable[None] | None:
        """Take a place among the long bodies.

        :param size_bytes: the most that the body may have.
        :returns: what the body waits for; None if it is read at once.
        """
        stream = self._stream
        if stream is None:
            return None
        self._place = self._server.long_bodies.take(
            stream.account.peer, self, size_bytes
        )
        if self._place.is_granted:
            stream.widen()
            return None
        # Its sender isn't slow while it isn't read.
        self._stop_timer()
        stream.on_closed = self._leave_place
        self._turn = asyncio.get_running_loop().create_future()
        return self._turn

    @property
    def received_bytes(self) -> int:
        """What was received of the body so far."""
        return self._body_bytes

    def start_turn(self) -> None:
        """Go on to read the body."""
        self._start_timer()
        if self._stream is not None:
            self._stream.widen()
        self._end_wait()

    def refuse_wait(self) -> None:
        """Refuse a body that has waited for too long; it hasn't run."""
        self._refuse(503, 'long bodies')

    def refuse_slow(self) -> None:
        """Refuse a slow body that others wait for."""
        self._refuse(408)

    def _end_wait(self) -> None:
        if self._stream is not None:
            self._stream.on_closed = None
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)

    def _leave_place(self) -> None:
        # The place refers to this reader.
        place, self._place = self._place, None
        if place is not None:
            self._server.long_bodies.leave(place)
        self._end_wait()

    def finish(self) -> None:
        """Start the task for a request that has arrived completely."""
        self._stop_timer()
        if self._is_refused or self._request is None:
            self._server.in_flight.discard(self)
            return
        if self._stream is not None:
            # A request that runs is not refused any more.
            self._stream.account.evict = None
        self._request.body = b''.join(self._chunks)
        self._chunks = []
        if self._place is not None:
            self._server.long_bodies.end_reading(self._place, self._body_bytes)
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
        # The task's error keeps its frames, and they the response's body.
        self._task = None
        if self._request is not None:
            # Other objects of the request may refer to it for longer.
            self._request.body = b''
        if self._stream is not None:
            self._stream.end_message(self._message)
        self._leave_place()
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
        self._chunks = []
        self._server.in_flight.discard(self)
        if self._task is not None:
            self._task.cancel()
        else:
            self._leave_place()

    def _evict(self) -> None:
        """Refuse a request for lack of memory; it hasn't run."""
        self._refuse(503, 'memory')

    def _refuse(self, status: int, reason: str = '') -> None:
        self._stop_timer()
        self._is_refused = True
        self._chunks = []
        request = self._request
        assert request is not None
        account = request.account
        self._server.budgets.refusals.record(
            'callers',
            reason or UNREAD_REASONS.get(status, 'unreadable'),
            account.peer if account is not None else '',
            self._server.find_customer(request.headers),
            status,
            account.held_bytes if account is not None else 0,
        )
        if account is not None:
            account.evict = None
        headers = {}
        body_bytes = 0
        if status == 503:
            headers['Retry-After'] = caller_streams.RETRY_AFTER_S
            body_bytes = self._server.limits.max_body_bytes
        request.refuse_unread(status, headers, body_bytes)
        self._leave_place()

    def _start_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            self._server.limits.header_timeout_ms / 1000, self._refuse, 408
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
