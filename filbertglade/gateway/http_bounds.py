"""What a connection of the small HTTP server may hold."""

import abc
import asyncio
import collections
import typing

import httptools

from filbertglade.budgets import acceptor
from filbertglade.budgets import connections
from filbertglade.budgets import memory
from filbertglade.budgets import process
from filbertglade.budgets import receive_buffers
from filbertglade.budgets import turns
from filbertglade import clock
from filbertglade.gateway import body_checks
from filbertglade.gateway import http_messages

# Longest body of requests that aren't known to have long ones, in bytes: they
# come from many senders, which may all send at the same time.
SHORT_BODY_BYTES = 65_536
# Bytes read at a time.
CHUNK_BYTES = 65_536
# What an open connection takes besides the bytes that it holds, and what a
# request that waits takes besides its body.
CONNECTION_BYTES = 6144
REQUEST_BYTES = 512
# How much of a refused connection is read and discarded, and for how long, so
# that its sender reads the refusal and not a reset.
MAX_DISCARDED_BYTES = 262_144
CLOSE_DELAY_S = 0.5
# The same for a sender that isn't at fault: many send their whole body before
# they look for an answer. All of it is discarded.
LONG_CLOSE_DELAY_S = 5.0
# Interval between two looks for room, in s.
ROOM_POLL_S = 0.1
# When a sender refused for lack of memory or descriptors may come back, in s.
RETRY_AFTER = {'Retry-After': '1'}
NOT_RUN = b'{"error":"not run, come back later"}'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Why a request is refused before it is read, by the status.
REASONS = {
    400: 'unreadable',
    405: 'method',
    413: 'body too long',
    431: 'head too long',
}


class ConnectionServer(abc.ABC):
    """What a connection needs of its server.

    :ivar listener: the server's name among the process's listeners.
    :ivar budgets: what the process may hold.
    :ivar limit: the server's connections.
    :ivar turns: the turns of long bodies.
    :ivar connections: the open connections.
    :ivar handle: serves a request.
    :ivar buffer: what is read next, shared by all connections.
    :ivar find_check: finds the check of a body that arrives; None if none is
        checked.
    """

    listener: str
    budgets: process.Budgets
    limit: connections.ConnectionLimit
    turns: turns.Turns
    connections: 'set[BoundedConnection]'
    handle: http_messages.Handler
    buffer: bytearray
    find_check: body_checks.FindCheck | None

    @abc.abstractmethod
    def find_body_limit(self, method: bytes, target: bytes) -> int:
        """Return the longest body of a kind of request, in bytes.

        :param method: the method.
        :param target: path and query.
        """


class BoundedConnection(
    asyncio.BufferedProtocol, acceptor.AdmittedProtocol, turns.Reader
):
    """One connection, and what is held for it.

    :param server: the server.
    """

    def __init__(self, server: ConnectionServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._peer = ''
        self._account: memory.Account | None = None
        self._place: connections.Connection | None = None
        # Local clock at the latest whole request, or when one was answered.
        self._used_ms = clock.now_ms()
        # Nothing is read while any request waits, so at most those that were
        # read at once do.
        self._waiting: collections.deque[
            tuple[http_messages.Request, bool]
        ] = collections.deque()
        self._waiting_bytes = 0
        self._serving: asyncio.Task[None] | None = None
        self._serving_bytes = 0
        # Whether the other side doesn't take what was sent to it.
        self._is_blocked = False
        # Whether a response was sent in this round of the event loop.
        self._is_yielding = False
        # Whether the next bytes belong to nothing that is still served.
        self._is_closing = False
        self._is_lost = False
        self._discarded_bytes = 0
        self._max_discarded_bytes = MAX_DISCARDED_BYTES
        # Whether the body waits for its turn, or for memory.
        self._has_turn = False
        # Whether its receive buffer is that of long bodies.
        self._is_wide = False
        self._waits_for_turn = False
        self._waits_for_room = False
        self._start_message()

    def _start_message(self) -> None:
        self._target = b''
        self._body = bytearray()
        self._check: body_checks.BodyCheck | None = None
        self._head_bytes = 0
        self._is_head_complete = False
        self._framing: list[bytes] = []
        self._expects_continue = False
        self._length = 0

    def is_idle_since(self, limit_ms: int) -> bool:
        """Return whether no request was read or is being served since a time.

        :param limit_ms: local clock.
        """
        return self._serving is None and self._used_ms < limit_ms

    def set_place(self, place: connections.Connection) -> None:
        """Set the connection's place, before the connection is made.

        :param place: its place.
        """
        self._place = place

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
        server = self._server
        peername = transport.get_extra_info('peername') or ('',)
        self._peer = str(peername[0])
        if self._place is not None:
            self._place.end()
        self._account = server.budgets.memory.open_account(self._peer)
        self._account.begin(self._evict)
        self._account.resize(CONNECTION_BYTES)
        server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the connection; what is being served goes on.

        :param error: why it was lost.
        """
        self._is_closing = self._is_lost = True
        self._waiting.clear()
        self._leave_turn()
        self._server.connections.discard(self)
        if self._account is not None and self._serving is None:
            self._account.close()
        elif self._account is not None:
            # The body of the request that runs is still held.
            self._account.evict = None
            self._account.resize(self._serving_bytes)
        if self._place is not None:
            self._server.limit.remove(self._place)
        # What was read of a request ends with its account. The parser refers
        # to this connection, so both would stay until a garbage collection.
        self._start_message()
        del self._parser

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return what the next bytes are read into.

        :param sizehint: ignored.
        """
        return self._server.buffer

    # Bounds

    @property
    def received_bytes(self) -> int:
        """What was received of the present message."""
        return self._account.received_bytes if self._account else 0

    def _charge(self) -> None:
        """Charge what is held now to the budget; refuse if it doesn't fit."""
        account, transport = self._account, self._transport
        if account is None or transport is None or transport.is_closing():
            return
        fits = account.resize(
            CONNECTION_BYTES
            + (0 if self._is_head_complete else self._head_bytes)
            + len(self._body)
            + self._waiting_bytes
            + self._serving_bytes
            + (receive_buffers.WIDE_CHARGE_BYTES if self._is_wide else 0)
            + transport.get_write_buffer_size()
        )
        if not fits and not self._is_closing:
            self._evict()

    def _evict(self) -> None:
        """Refuse what is read, or give up a client that doesn't read."""
        if self._is_blocked:
            self._record('memory', 0)
            self.abort()
            return
        self._refuse(503, 'memory')

    def _check_room(self) -> None:
        """Read a long body no further for a time if memory is low."""
        account = self._account
        if account is None or self._is_closing or self._waits_for_room:
            return
        if self._server.budgets.memory.should_pause(account):
            self._waits_for_room = True
            self._update_reading()
            self._poll_room(memory.PAUSE_MS / 1000)

    def _poll_room(self, left_s: float) -> None:
        if left_s <= 0 or not self._server.budgets.memory.is_low:
            self._waits_for_room = False
            self._update_reading()
            return
        asyncio.get_running_loop().call_later(
            ROOM_POLL_S, self._poll_room, left_s - ROOM_POLL_S
        )

    def _take_turn(self) -> None:
        """Read a long body only once no other one of its sender is read."""
        if self._has_turn or self._waits_for_turn:
            return
        self._has_turn = self._server.turns.take(self._peer, self)
        self._waits_for_turn = not self._has_turn
        if self._has_turn:
            self._widen()
        if self._waits_for_turn and self._transport is not None:
            self._transport.pause_reading()

    def _leave_turn(self) -> None:
        if self._has_turn or self._waits_for_turn:
            self._has_turn = self._waits_for_turn = False
            self._server.turns.leave(self._peer, self)

    def _widen(self) -> None:
        """Let more arrive at a time, from the first long body on."""
        transport = self._transport
        if self._is_wide or transport is None or transport.is_closing():
            return
        self._is_wide = True
        connection = transport.get_extra_info('socket')
        receive_buffers.set_size(connection, receive_buffers.WIDE_BYTES)

    def start_turn(self) -> None:
        """Go on to read the body."""
        self._has_turn = True
        self._waits_for_turn = False
        self._widen()
        if self._account is not None:
            self._account.begin(self._evict)
        self._send_continue()
        self._update_reading()

    def refuse_wait(self) -> None:
        """Refuse a body whose turn has not come in time."""
        self._refuse(503, 'one long body at a time')

    def refuse_slow(self) -> None:
        """Refuse a slow body that others wait for."""
        self._refuse(408, 'body too slow')

    def _update_reading(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        is_paused = not self._is_closing and (
            self._waiting or self._waits_for_turn or self._waits_for_room
        )
        if is_paused:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _record(self, reason: str, status: int) -> None:
        self._server.budgets.refusals.record(
            self._server.listener,
            reason,
            self._peer,
            status=status,
            held_bytes=self._account.held_bytes if self._account else 0,
        )

    def _refuse(
        self, status: int, reason: str = '', body: bytes = b''
    ) -> None:
        """Answer a request that can't be read, and close the connection.

        If others before it are still to be answered, it isn't answered. What
        still arrives is discarded.

        :param status: the status.
        :param reason: why, for the log; empty if the status says it.
        :param body: the answer's body; empty for that of the status.
        """
        if self._is_closing:
            return
        delay_s = CLOSE_DELAY_S
        if status == 503 and self._is_head_complete:
            delay_s = LONG_CLOSE_DELAY_S
            self._max_discarded_bytes = self._server.find_body_limit(
                self._parser.get_method(), self._target
            )
        self._record(reason or REASONS.get(status, 'unreadable'), status)
        self._is_closing = True
        self._leave_turn()
        self._body = bytearray()
        self._check = None
        self._head_bytes = 0
        if self._account is not None:
            self._account.evict = None
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._serving is None and not self._waiting:
            transport.write(build_refusal(status, body))
            if transport.can_write_eof():
                transport.write_eof()
            asyncio.get_running_loop().call_later(delay_s, transport.abort)
        self._update_reading()
        self._charge()

    def _send_continue(self) -> None:
        if self._expects_continue and self._transport is not None:
            self._expects_continue = False
            self._transport.write(CONTINUE)


def build_refusal(status: int, body: bytes = b'') -> bytes:
    """Return a response that refuses a request and ends its connection.

    :param status: the status.
    :param body: its body; empty for that of the status.
    """
    response = http_messages.Response(status, body)
    if status == 503:
        response = http_messages.Response(503, NOT_RUN, RETRY_AFTER)
    return response.write(True, False)
