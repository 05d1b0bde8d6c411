"""One request to an engine on a connection of its own, and its response."""

import asyncio
from collections import abc
import typing

import httptools
from tornado import httputil

from filbertglade import http_statuses


class EngineResponse:
    """The head of a response that is complete.

    :param status: the status.
    :param headers: the headers.
    """

    __slots__ = ('status', 'headers')

    def __init__(self, status: int, headers: httputil.HTTPHeaders) -> None:
        self.status = status
        self.headers = headers


class EngineCall(asyncio.Protocol):
    """Sends a request and reads the response, whose body is dropped.

    :param request: the request as it is sent.
    :param may_send: whether it may still be sent, once there is a connection.
    :param max_bytes: longest response.
    :ivar response: is done with the response, or with None if there is none.
    """

    def __init__(
        self,
        request: bytes,
        may_send: abc.Callable[[], bool],
        max_bytes: int,
    ) -> None:
        self._request = request
        self._may_send = may_send
        self._left_bytes = max_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._headers = httputil.HTTPHeaders()
        self._is_head_complete = False
        self._transport: asyncio.Transport | None = None
        self.response: asyncio.Future[EngineResponse | None] = (
            asyncio.get_running_loop().create_future()
        )

    def finish(self, response: EngineResponse | None = None) -> None:
        """End the call unless it has ended, and close its connection.

        :param response: the response; None if there is none.
        """
        if not self.response.done():
            self.response.set_result(response)
        if self._transport is not None:
            self._transport.abort()

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request.

        :param transport: the connection.
        """
        self._transport = typing.cast(asyncio.Transport, transport)
        if self.response.done() or not self._may_send():
            self.finish()
        else:
            self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Read a part of the response.

        :param data: the part.
        """
        self._left_bytes -= len(data)
        if self._left_bytes < 0:
            self.finish()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.finish()

    def eof_received(self) -> None:
        """End a response that has neither a length nor chunks."""
        if self._is_head_complete and not self._states_end():
            self._finish_with_response()

    def connection_lost(self, error: Exception | None) -> None:
        """End the call without a response unless it has ended.

        :param error: why the connection was lost.
        """
        self.finish()

    def _states_end(self) -> bool:
        return (
            'Content-Length' in self._headers
            or 'Transfer-Encoding' in self._headers
        )

    def _finish_with_response(self) -> None:
        status = self._parser.get_status_code()
        self.finish(EngineResponse(status, self._headers))

    # Called by the parser

    def on_message_begin(self) -> None:
        """Forget the headers of an interim response."""
        self._headers = httputil.HTTPHeaders()
        self._is_head_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header.

        :param name: its name.
        :param value: its value.
        """
        self._headers.add(name.decode('latin-1'), value.decode('latin-1'))

    def on_headers_complete(self) -> None:
        """Note that the response's head is complete, or end the call."""
        status = self._parser.get_status_code()
        self._is_head_complete = http_statuses.is_final(status)
        if not (
            self._is_head_complete
            or http_statuses.is_interim(status, self._headers)
        ):
            self.finish()

    def on_message_complete(self) -> None:
        """End the call if this isn't an interim response."""
        if self._is_head_complete:
            self._finish_with_response()


def build_request(
    method: str,
    path: str,
    headers: abc.Mapping[str, str],
    body: bytes,
) -> bytes:
    """Return a request as it is sent, after which the connection ends.

    :param method: the method.
    :param path: the path.
    :param headers: the headers, whose values have no line breaks.
    :param body: the body.
    """
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', 'Connection: close', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body
