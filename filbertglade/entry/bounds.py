"""Size and time limits of callers' requests, with clear error responses."""

import asyncio
from collections import abc
import json

from tornado import httputil
from tornado import iostream
from tornado import web

from filbertglade.entry import read_timeouts
from filbertglade import http_lengths
from filbertglade.requests import outcomes
from filbertglade.settings import model

REQUEST_TIMEOUT = 408
PAYLOAD_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
# A refused body is still read up to this size: if the connection closed while
# the caller sends, the caller would not see the error response.
MAX_DISCARDED_BYTES = 16_777_216
# Time for the caller to read the error response before the connection closes.
CLOSE_DELAY_S = 1.0


class BoundedServer(httputil.HTTPServerConnectionDelegate):
    """Passes requests on to an application if they are within the limits."""

    def __init__(
        self, settings: model.NodeSettings, application: web.Application
    ) -> None:
        self._settings = settings
        self._application = application
        # The current message of each connection.
        self._messages: dict[object, _BoundedMessage] = {}

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Start a request.

        :param server_conn: the connection.
        :param request_conn: writes the response to the connection.
        :returns: the delegate that receives the request.
        """
        delegate = self._application.start_request(server_conn, request_conn)
        message = _BoundedMessage(self._settings, delegate, request_conn)
        self._messages[server_conn] = message
        return message

    def on_close(self, server_conn: object) -> None:
        """Drop the state of a closed connection.

        :param server_conn: the connection.
        """
        self._messages.pop(server_conn).stop_timeout()


class _BoundedMessage(httputil.HTTPMessageDelegate):
    """Checks one request against the limits while it arrives."""

    def __init__(
        self,
        settings: model.NodeSettings,
        delegate: httputil.HTTPMessageDelegate,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._settings = settings
        self._delegate = delegate
        self._connection = connection
        self._is_refused = False
        self._size = 0
        # First the time-out of the headers, then that of the body.
        self._timeout = self._start_timeout(self._close)

    def stop_timeout(self) -> None:
        """Stop the time-out that is running."""
        self._timeout.stop()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> abc.Awaitable[None] | None:
        self._timeout.stop()
        limits = self._settings.limits
        size = sum(len(name) + len(value) for name, value in headers.get_all())
        if size > limits.header_bytes:
            self._refuse(HEADERS_TOO_LARGE, 'the headers are too large')
            return None
        length = http_lengths.read_length(headers.get('Content-Length', ''))
        if length > limits.body_bytes:
            self._refuse(PAYLOAD_TOO_LARGE, 'the body is too large')
            return None
        self._timeout = self._start_timeout(self._refuse_slow_body)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> abc.Awaitable[None] | None:
        self._size += len(chunk)
        if self._is_refused:
            if self._size > MAX_DISCARDED_BYTES:
                self._close()
            return None
        if self._size > self._settings.limits.body_bytes:
            self._refuse(PAYLOAD_TOO_LARGE, 'the body is too large')
            return None
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._timeout.stop()
        if not self._is_refused:
            self._delegate.finish()

    def on_connection_close(self) -> None:
        self._timeout.stop()
        if not self._is_refused:
            self._delegate.on_connection_close()

    def _refuse(self, status: int, detail: str) -> None:
        self._timeout.stop()
        self._is_refused = True
        error = {
            'message': detail,
            'type': outcomes.RefusalReason.BAD_REQUEST.value,
            'outcome': outcomes.Outcome.NOT_RUN.value,
        }
        body = json.dumps({'error': error}).encode()
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Content-Length': str(len(body)),
                'Connection': 'close',
                outcomes.OUTCOME_HEADER: outcomes.Outcome.NOT_RUN.value,
            }
        )
        reason = httputil.responses.get(status, 'Refused')
        line = httputil.ResponseStartLine('HTTP/1.1', status, reason)
        try:
            self._connection.write_headers(line, headers, body)
            self._connection.finish()
        except iostream.StreamClosedError:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSE_DELAY_S, self._close)

    def _close(self) -> None:
        stream = getattr(self._connection, 'stream', None)
        if stream is not None:
            stream.close()

    def _start_timeout(
        self, expire: abc.Callable[[], None]
    ) -> read_timeouts.ReadTimeout:
        timeout_ms = self._settings.timings.header_timeout_ms
        return read_timeouts.ReadTimeout(timeout_ms, expire)

    def _refuse_slow_body(self) -> None:
        self._refuse(REQUEST_TIMEOUT, 'the body is too slow')
