"""The inner listener of control hosts, within the process's budgets."""

import asyncio
from collections import abc
import typing

from grpclib import const
from grpclib import exceptions
from grpclib import protocol
from grpclib import server

from filbertglade.budgets import acceptor
from filbertglade.budgets import connections
from filbertglade.budgets import memory
from filbertglade.budgets import process
from filbertglade.budgets import receive_buffers
from filbertglade.inner import channels

# Longest frame that the protocol's settings permit; the library buffers one
# of any announced length.
MAX_FRAME_BYTES = 16_384
PREFACE_BYTES = 24
FRAME_HEAD_BYTES = 9
# Bytes of a message that are read before they are charged.
SLICE_BYTES = 65_536
# What an open connection and a call take besides their messages.
CONNECTION_BYTES = 32_768
CALL_BYTES = 8192


class LimitedServer(server.Server, acceptor.Listener):
    """Serves the inner protocol.

    :param handlers: the services.
    :param budgets: what the process may hold.
    """

    def __init__(
        self, handlers: abc.Collection[typing.Any], budgets: process.Budgets
    ) -> None:
        super().__init__(handlers, config=channels.CHANNEL_CONFIGURATION)
        self.budgets = budgets
        self.limit = budgets.limit_connections('inner')

    async def listen(self, address: str) -> None:
        """Accept connections.

        :param address: ``host:port``.
        :raises OSError: the server can't listen on the address.
        """
        accepting = acceptor.Acceptor(self, self.limit)
        accepting.listen(
            address,
            self.budgets.find_backlog('inner'),
            self.budgets.receive_buffer_bytes,
        )
        # In place of the library's start(), which uses the loop's own server.
        self._server = accepting
        self._server_closed_fut = asyncio.get_running_loop().create_future()

    def build_protocol(self) -> acceptor.AdmittedProtocol:
        """Return the protocol of a connection that was admitted."""
        # The library has no setting for the class of its connections.
        made = self._protocol_factory()
        made.__class__ = _LimitedProtocol
        limited = typing.cast(_LimitedProtocol, made)
        limited.set_server(self)
        return limited

    def refuse(self, peer: str) -> bytes:
        """Return nothing: a connection over the limit is closed.

        :param peer: the client's address, without its port.
        """
        self.budgets.refusals.record('inner', 'connections', peer)
        return b''


class _LimitedProtocol(protocol.H2Protocol, acceptor.AdmittedProtocol):
    """One connection."""

    _server: LimitedServer
    _account: memory.Account | None = None
    _place: connections.Connection | None = None
    _transport: asyncio.Transport | None = None
    _peer = ''
    _is_wide = False
    # Bytes left of the preface or of the frame that is being read, and what
    # was read of the next one's head.
    _left_bytes = PREFACE_BYTES
    _frame_head = b''

    def set_server(self, limited: LimitedServer) -> None:
        """Set the server, before the connection is made.

        :param limited: the server.
        """
        self._server = limited
        self.handler = _LimitedHandler(self.handler, self)

    def set_place(self, place: connections.Connection) -> None:
        """Set the connection's place, before the connection is made.

        :param place: its place.
        """
        self._place = place

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection.

        :param transport: the connection.
        """
        self._transport = typing.cast(asyncio.Transport, transport)
        peername = transport.get_extra_info('peername') or ('',)
        self._peer = str(peername[0])
        super().connection_made(transport)
        if self._place is not None:
            self._place.end()
        self._account = self._server.budgets.memory.open_account(self._peer)
        self._account.begin(self._evict)
        self._account.resize(CONNECTION_BYTES)

    def data_received(self, data: bytes) -> None:
        """Read a part of the connection.

        :param data: the part.
        """
        if self._account is None or self._transport is None:
            return
        self._account.received_bytes += len(data)
        if not self._check_frames(data):
            self._record('frame too long')
            self._transport.abort()
            return
        super().data_received(data)

    def _check_frames(self, data: bytes) -> bool:
        """Return whether all frames that begin here may be as long."""
        position = 0
        while position < len(data):
            if self._left_bytes:
                taken = min(self._left_bytes, len(data) - position)
                self._left_bytes -= taken
                position += taken
                continue
            missing = FRAME_HEAD_BYTES - len(self._frame_head)
            self._frame_head += data[position : position + missing]
            position += missing
            if len(self._frame_head) == FRAME_HEAD_BYTES:
                self._left_bytes = int.from_bytes(self._frame_head[:3])
                self._frame_head = b''
                if self._left_bytes > MAX_FRAME_BYTES:
                    return False
        return True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection.

        :param exc: why it was lost.
        """
        if self._account is not None:
            self._account.close()
        if self._place is not None:
            self._server.limit.remove(self._place)
        super().connection_lost(exc)

    def begin_call(self, stream: protocol.Stream) -> None:
        """Charge a call and its messages.

        :param stream: the call.
        """
        if self._place is not None:
            # Connections that carry calls aren't closed for others.
            self._place.begin()
        if self._account is None:
            return
        self._account.add(CALL_BYTES)
        buffer, account = stream.buffer, self._account

        async def receive(size: int) -> bytes:
            return await self._receive(buffer, account, size)

        stream.recv_data = receive  # type: ignore[method-assign]

    def end_call(self) -> None:
        """Charge a call no more."""
        if self._account is not None:
            self._account.add(-CALL_BYTES)

    async def _receive(
        self, buffer: protocol.Buffer, account: memory.Account, size: int
    ) -> bytes:
        """Receive a part of a call, charged as it arrives."""
        if size <= SLICE_BYTES:
            return await buffer.read(size)
        parts = []
        held = 0
        account.begin(self._evict)
        self._widen(account)
        try:
            while held < size:
                part = await buffer.read(min(size - held, SLICE_BYTES))
                if not part:
                    break
                parts.append(part)
                held += len(part)
                if not account.add(len(part)):
                    self._record('memory')
                    raise exceptions.GRPCError(const.Status.RESOURCE_EXHAUSTED)
            return b''.join(parts)
        finally:
            account.add(-held)

    def _widen(self, account: memory.Account) -> None:
        """Let more arrive at a time, from the first long message on."""
        transport = self._transport
        if self._is_wide or transport is None or transport.is_closing():
            return
        self._is_wide = True
        connection = transport.get_extra_info('socket')
        receive_buffers.set_size(connection, receive_buffers.WIDE_BYTES)
        account.add(receive_buffers.WIDE_CHARGE_BYTES)

    def _evict(self) -> None:
        self._record('memory')
        if self._transport is not None:
            self._transport.abort()

    def _record(self, reason: str) -> None:
        self._server.budgets.refusals.record(
            'inner',
            reason,
            self._peer,
            held_bytes=self._account.held_bytes if self._account else 0,
        )


class _LimitedHandler(protocol.AbstractHandler):
    """Charges calls, and hands them to the library's handler.

    :param handler: the library's handler.
    :param connection: the connection.
    """

    def __init__(
        self, handler: protocol.AbstractHandler, connection: _LimitedProtocol
    ) -> None:
        self._handler = handler
        self._connection = connection

    def accept(
        self,
        stream: protocol.Stream,
        headers: typing.Any,
        release_stream: abc.Callable[[], typing.Any],
    ) -> None:
        """Take a call.

        :param stream: the call.
        :param headers: its headers.
        :param release_stream: ends it.
        """
        self._connection.begin_call(stream)

        def release() -> typing.Any:
            self._connection.end_call()
            return release_stream()

        self._handler.accept(stream, headers, release)

    def cancel(self, stream: protocol.Stream) -> None:
        """Cancel a call.

        :param stream: the call.
        """
        self._handler.cancel(stream)

    def close(self) -> None:
        """Cancel all calls."""
        self._handler.close()
