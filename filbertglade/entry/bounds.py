"""Bounds of callers' HTTP messages, answered with clear errors."""

import asyncio
from collections import abc
import json

from tornado import httputil
from tornado import iostream
from tornado import web

from filbertglade.entry import read_timeouts
from filbertglade.requests import outcomes
from filbertglade.settings import model

REQUEST_TIMEOUT = 408
PAYLOAD_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
# How much of an oversized body is read so that its sender sees the answer.
DROPPED_BYTES = 16_777_216
CLOSE_DELAY_S = 1.0


class BoundedServer(httputil.HTTPServerConnectionDelegate):
    """Passes messages within bounds on to an application."""

    def __init__(
        self, settings: model.NodeSettings, application: web.Application
    ) -> None:
        self._settings = settings
        self._application = application
        # The present message of each connection.
        self._messages: dict[object, _BoundedMessage] = {}

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Begin a message.

        :param server_conn: the connection.
        :param request_conn: the message's part of it.
        :returns: what takes the message.
        """
        inner = self._application.start_request(server_conn, request_conn)
        message = _BoundedMessage(self._settings, inner, request_conn)
        self._messages[server_conn] = message
        return message

    def on_close(self, server_conn: object) -> None:
        """Forget a connection.

        :param server_conn: the connection.
        """
        self._messages.pop(server_conn).stop_waiting()


class _BoundedMessage(httputil.HTTPMessageDelegate):
    def __init__(
        self,
        settings: model.NodeSettings,
        inner: httputil.HTTPMessageDelegate,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._settings = settings
        self._inner = inner
        self._connection = connection
        self._is_refused = False
        self._size = 0
        # The time-out of the headers, then that of the body.
        self._timeout = self._start_timeout(self._close)

    def stop_waiting(self) -> None:
        """Wait for nothing more of the message."""
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
        length = headers.get('Content-Length', '')
        if length.isdecimal() and int(length) > limits.body_bytes:
            self._refuse(PAYLOAD_TOO_LARGE, 'the body is too large')
            return None
        self._timeout = self._start_timeout(self._refuse_slow_body)
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> abc.Awaitable[None] | None:
        self._size += len(chunk)
        if self._is_refused:
            if self._size > DROPPED_BYTES:
                self._close()
            return None
        if self._size > self._settings.limits.body_bytes:
            self._refuse(PAYLOAD_TOO_LARGE, 'the body is too large')
            return None
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        self._timeout.stop()
        if not self._is_refused:
            self._inner.finish()

    def on_connection_close(self) -> None:
        self._timeout.stop()
        if not self._is_refused:
            self._inner.on_connection_close()

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
