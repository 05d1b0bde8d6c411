"""HTTP server for callers: enforces limits and starts a task per request."""

import asyncio
from collections import abc
import sys
import typing
import weakref

from tornado import httputil

from filbertglade.budgets import process
from filbertglade import clock
from filbertglade.fleet import document
from filbertglade.forwarding import caller_requests
from filbertglade.forwarding import caller_streams
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
        stream = getattr(request_conn, 'stream', None)
        if isinstance(stream, caller_streams.CallerStream):
            stream.begin_head(self.limits.max_header_bytes)
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
        self._stream: caller_streams.CallerStream | None = None
        stream = getattr(connection, 'stream', None)
        if isinstance(stream, caller_streams.CallerStream):
            self._stream = stream

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
            if self._stream is not None:
                self._stream.discard_rest()
            return
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
        budget = self._server.budgets.memory
        if not self._is_refused and budget.should_pause(account):
            return budget.wait_for_room()
        return None

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
            # Whatever still refers to the request, its account has ended.
            self._request.body = b''
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
        if status == 503:
            headers['Retry-After'] = caller_streams.RETRY_AFTER_S
        request.refuse_unread(status, headers)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
