"""A caller's request, and the connection for its response."""

import asyncio
from collections import abc
import contextlib
import re
import socket
import struct
import typing

from tornado import httputil
from tornado import iostream

from filbertglade.budgets import memory
from filbertglade.forwarding import caller_streams
from filbertglade.observability import logs

log = logs.get_log(__name__)

CLOSE_DELAY_S = caller_streams.CLOSE_DELAY_S
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
    :ivar account: what is held for its connection.
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
        self.account: memory.Account | None = None
        self._is_holding = False
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
            head = _build_head(status, reason, headers)
            with self.hold(len(head)):
                await self._connection.write(head)
            return
        line = httputil.ResponseStartLine('HTTP/1.1', status, reason)
        with self.hold(0):
            await self._connection.write_headers(line, headers)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body.

        :param chunk: the part.
        :raises StreamClosedError: the caller has disconnected.
        """
        with self.hold(len(chunk)):
            writing = self._connection.write(chunk)
            # The traceback of an error would keep it.
            del chunk
            await writing

    @contextlib.contextmanager
    def hold(self, size_bytes: int) -> abc.Iterator[None]:
        """Charge bytes to the connection until the caller has taken them.

        The connection may be closed meanwhile for lack of memory. Within
        another such block nothing is charged.

        :param size_bytes: their number.
        """
        account = self.account
        if account is None or self._is_holding:
            yield
            return
        self._is_holding = True
        account.begin(self._give_up)
        try:
            if not account.add(size_bytes) and not self.is_aborted:
                self._give_up()
            yield
        finally:
            self._is_holding = False
            account.evict = None
            account.add(-size_bytes)

    def _give_up(self) -> None:
        """Close the connection of a caller that doesn't read its answer."""
        stream = getattr(self._connection, 'stream', None)
        if isinstance(stream, caller_streams.CallerStream):
            stream.record_closing('answer not read')
        self.abort()

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

    def refuse_unread(
        self,
        status: int,
        headers: abc.Mapping[str, str],
        body_bytes: int = 0,
    ) -> None:
        """Refuse a request whose body hasn't been read, nor will be.

        :param status: the status.
        :param headers: further headers.
        :param body_bytes: the most that the body of a caller may have that
            isn't at fault; 0 for another.
        """
        self.closes_connection = True
        stream = getattr(self._connection, 'stream', None)
        if self.headers.get('Expect') or not isinstance(
            stream, caller_streams.CallerStream
        ):
            # The sender waits for an answer before it sends its body.
            self.respond(status, headers=headers)
            return
        self.is_response_started = True
        all_headers = httputil.HTTPHeaders(
            {'Content-Length': '0', 'Connection': 'close', **headers}
        )
        reason = httputil.responses.get(status, 'Unknown')
        line = httputil.ResponseStartLine('HTTP/1.1', status, reason)
        written = self._connection.write_headers(line, all_headers)
        asyncio.ensure_future(written).add_done_callback(_retrieve_exception)
        stream.discard_rest(body_bytes)


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
