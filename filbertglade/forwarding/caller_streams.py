"""Connections of callers, whose unread and unsent bytes are bounded."""

import asyncio
from collections import abc
import typing

from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil

from filbertglade.budgets import connections
from filbertglade.budgets import memory
from filbertglade.budgets import process
from filbertglade.budgets import receive_buffers
from filbertglade.budgets import refusals

# How much of a refused connection is read and discarded, so that a sender that
# looks for an answer while it sends reads the refusal and not a reset.
MAX_DISCARDED_BYTES = 262_144
# Time for a caller to read a response before its connection is closed.
CLOSE_DELAY_S = 0.5
# The same for a caller that isn't at fault: many send their whole body before
# they look for an answer. All of it is discarded.
LONG_CLOSE_DELAY_S = 5.0
# Bytes read at a time. Each connection buffers up to two of these besides what
# its account holds.
CHUNK_BYTES = 16_384
# What an open connection takes besides its buffers: 500 of them took 4 MB.
CONNECTION_BYTES = 8192
# When a caller refused for lack of memory or descriptors may come back, in s.
RETRY_AFTER_S = '1'


class CallerStream(iostream.IOStream):
    """A caller's connection.

    The server makes it from the stream that the library has opened.

    :ivar account: what is held for it.
    :ivar connection: its place among the server's connections.
    :ivar is_refused: whether what arrives is discarded.
    :ivar on_closed: called once it is closed, if it is set.
    """

    account: memory.Account
    connection: connections.Connection
    is_refused = False
    on_closed: abc.Callable[[], None] | None = None
    _limit: connections.ConnectionLimit
    _is_reading_head = False
    _head_bytes = 0
    _max_head_bytes = 0
    _discarded_bytes = 0
    _max_discarded_bytes = MAX_DISCARDED_BYTES
    _refusals: refusals.Refusals
    _is_wide = False
    # Stands for the request that is read or handled.
    _message: object = None

    def prepare(
        self,
        account: memory.Account,
        connection: connections.Connection,
        limit: connections.ConnectionLimit,
        recorder: refusals.Refusals,
    ) -> None:
        """Begin to count what is held.

        :param account: the connection's account.
        :param connection: its place among the server's connections.
        :param limit: the server's connections.
        :param recorder: counts and logs refusals.
        """
        self.account = account
        self.connection = connection
        self._limit = limit
        self._refusals = recorder
        account.resize(CONNECTION_BYTES)

    def begin_head(self, max_header_bytes: int) -> object:
        """Expect the head of a request.

        :param max_header_bytes: the most that headers may have.
        :returns: what stands for the request.
        """
        self._is_reading_head = True
        self._head_bytes = 0
        # The end of a head is looked for each time the buffer has doubled.
        self._max_head_bytes = 2 * (max_header_bytes + CHUNK_BYTES)
        self.account.resize(self._base_bytes)
        self.account.begin(self._evict_head)
        self.connection.end()
        self._message = object()
        return self._message

    def end_head(self, size_bytes: int) -> None:
        """Note that a head has been read.

        :param size_bytes: its size.
        """
        self._is_reading_head = False
        self.connection.begin()
        self.account.begin(None)
        self.account.resize(self._base_bytes + size_bytes)

    def end_message(self, message: object) -> None:
        """Note that a request has ended.

        :param message: what :meth:`begin_head` has returned for it.
        """
        if message is self._message:
            self.account.resize(self._base_bytes)

    def widen(self) -> None:
        """Let more arrive at a time, from the first long body on."""
        if not self.closed() and not self._is_wide:
            self._is_wide = True
            receive_buffers.set_size(self.socket, receive_buffers.WIDE_BYTES)
            self.account.add(receive_buffers.WIDE_CHARGE_BYTES)

    @property
    def _base_bytes(self) -> int:
        """What the open connection takes without a request."""
        wide_bytes = receive_buffers.WIDE_CHARGE_BYTES if self._is_wide else 0
        return CONNECTION_BYTES + wide_bytes

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read into a buffer; see the library.

        :param buf: the buffer.
        """
        if self._read_buffer_size and not self.reading():
            # Requests that follow are read once the present one is answered.
            return None
        count = super().read_from_fd(buf)
        if not count:
            return count
        if self.is_refused:
            self._discarded_bytes += count
            if self._discarded_bytes > self._max_discarded_bytes:
                self.close()
            return None
        if self._is_reading_head:
            self._head_bytes += count
            self.account.received_bytes += count
            if self._head_bytes > self._max_head_bytes:
                self.refuse_head(431, 'head too long')
                return None
            if not self.account.add(count) and not self.is_refused:
                self._evict_head()
            if self.is_refused:
                return None
        return count

    def refuse_head(self, status: int, reason: str) -> None:
        """Refuse a request whose head is incomplete.

        :param status: the status.
        :param reason: why, for the log.
        """
        self._record(reason, status)
        if not self.closed():
            self.write(build_refusal(status))
        self.discard_rest()

    def discard_rest(self, body_bytes: int = 0) -> None:
        """Discard what arrives, and close once the caller could read.

        :param body_bytes: the most that the body of a caller may have that
            isn't at fault; 0 for another.
        """
        self._max_discarded_bytes = max(body_bytes, MAX_DISCARDED_BYTES)
        delay_s = LONG_CLOSE_DELAY_S if body_bytes else CLOSE_DELAY_S
        self.is_refused = True
        self._is_reading_head = False
        self.account.evict = None
        self.account.resize(self._base_bytes)
        asyncio.get_running_loop().call_later(delay_s, self.close)

    def record_closing(self, reason: str) -> None:
        """Record that the connection is closed without an answer.

        :param reason: why, for the log.
        """
        self._record(reason, 0)

    def _record(self, reason: str, status: int) -> None:
        self._refusals.record(
            'callers',
            reason,
            self.account.peer,
            status=status,
            held_bytes=self.account.held_bytes,
        )

    def _evict_head(self) -> None:
        if self._head_bytes:
            self.refuse_head(503, 'memory')
        else:
            self._record('memory', 0)
            self.close()

    def close(self, exc_info: typing.Any = False) -> None:
        """Close the connection.

        :param exc_info: as the library's.
        """
        super().close(exc_info)
        self.account.close()
        self._limit.remove(self.connection)
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed()


def build_refusal(status: int) -> bytes:
    """Return a whole response that refuses a request and ends a connection.

    :param status: the status.
    """
    reason = httputil.responses.get(status, 'Unknown')
    retry = f'Retry-After: {RETRY_AFTER_S}\r\n' if status == 503 else ''
    return (
        f'HTTP/1.1 {status} {reason}\r\n{retry}'
        'Content-Length: 0\r\nConnection: close\r\n\r\n'
    ).encode()


class LimitedServer(httpserver.HTTPServer):
    """Admits connections within the process's budgets."""

    def set_budgets(self, budgets: process.Budgets) -> None:
        """Set the budgets, before the server listens.

        :param budgets: what the process may hold.
        """
        self._budgets = budgets
        self._limit = budgets.limit_connections('callers')

    def listen_within_budgets(self, port: int, host: str) -> None:
        """Accept connections.

        :param port: the port.
        :param host: the address.
        :raises OSError: the address can't be listened on.
        """
        budgets = self._budgets
        sockets = netutil.bind_sockets(
            port, host, backlog=budgets.find_backlog('callers')
        )
        for listening in sockets:
            receive_buffers.set_size(listening, budgets.receive_buffer_bytes)
        self.add_sockets(sockets)

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[typing.Any, ...]
    ) -> None:
        """Take a connection, or refuse it.

        :param stream: the connection.
        :param address: the caller's address.
        """
        peer = str(address[0])
        budgets = self._budgets
        connection = self._limit.admit(peer, stream.close)
        if connection is None:
            budgets.refusals.record('callers', 'connections', peer, status=503)
            stream.write(build_refusal(503))
            stream.close()
            return
        # The library has no setting for the class of its streams.
        stream.__class__ = CallerStream
        limited = typing.cast(CallerStream, stream)
        # The method of the new class gives back what the connection holds.
        connection.close = limited.close
        limited.prepare(
            budgets.memory.open_account(peer),
            connection,
            self._limit,
            budgets.refusals,
        )
        super().handle_stream(stream, address)
