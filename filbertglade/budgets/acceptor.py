"""Accepts connections, each counted before the next one is accepted."""

import abc
import asyncio
import errno
import socket

from tornado import netutil

from filbertglade.budgets import connections
from filbertglade.budgets import receive_buffers
from filbertglade.inner import channels
from filbertglade.observability import logs
from filbertglade import tasks

log = logs.get_log(__name__)

# Connections accepted before other events of the loop are handled.
ACCEPT_BATCH = 16
# Time for which no connection is accepted once the system has no descriptors
# or memory for one, in s.
SHORTAGE_PAUSE_S = 1.0
SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class AdmittedProtocol(asyncio.BaseProtocol):
    """The protocol of a connection that was admitted."""

    @abc.abstractmethod
    def set_place(self, place: connections.Connection) -> None:
        """Set the connection's place, before the connection is made.

        :param place: its place among the connections of its listener; it can
            be closed as idle only once the protocol says that it is.
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection at once."""


class Listener(abc.ABC):
    """What an acceptor asks about its connections."""

    @abc.abstractmethod
    def build_protocol(self) -> AdmittedProtocol:
        """Return the protocol of a connection that was admitted."""

    @abc.abstractmethod
    def refuse(self, peer: str) -> bytes:
        """Return what is sent to a connection that wasn't admitted.

        :param peer: the client's address, without its port.
        """


class Acceptor(asyncio.AbstractServer):
    """Accepts the connections of one listener within its limit.

    The event loop's own servers accept several connections at a time, and
    each has a descriptor for three rounds of the loop before its protocol can
    count or refuse it. Here, at most one connection over the limit is open,
    while the idle one that it replaces is being closed.

    :param listener: builds protocols and refusals.
    :param limit: the listener's connections.
    """

    def __init__(
        self, listener: Listener, limit: connections.ConnectionLimit
    ) -> None:
        self._listener = listener
        self._limit = limit
        self._sockets: list[socket.socket] = []
        self._tasks = tasks.TaskGroup()
        self._timer: asyncio.TimerHandle | None = None
        self._is_reading = False

    def listen(
        self, address: str, backlog: int, receive_buffer_bytes: int
    ) -> None:
        """Accept connections.

        :param address: ``host:port``.
        :param backlog: connections that wait to be accepted.
        :param receive_buffer_bytes: the size of a connection's receive buffer.
        :raises OSError: the address can't be listened on.
        """
        host, port = channels.split_address(address)
        self._sockets = netutil.bind_sockets(port, host, backlog=backlog)
        for listening in self._sockets:
            receive_buffers.set_size(listening, receive_buffer_bytes)
        self._limit.on_closed = self._resume
        self._resume()

    def close(self) -> None:
        """Accept no more connections."""
        self._pause()
        if self._timer is not None:
            self._timer.cancel()
        for listening in self._sockets:
            listening.close()
        self._sockets = []

    async def wait_closed(self) -> None:
        """Return at once: nothing is left open."""

    def is_serving(self) -> bool:
        """Return whether connections are accepted."""
        return bool(self._sockets)

    def get_loop(self) -> asyncio.AbstractEventLoop:
        """Return the loop that connections are accepted on."""
        return asyncio.get_running_loop()

    async def start_serving(self) -> None:
        """Do nothing: :meth:`listen` has started it."""

    async def serve_forever(self) -> None:
        """Wait until the task is cancelled."""
        await asyncio.get_running_loop().create_future()

    def _resume(self) -> None:
        if self._is_reading or self._limit.is_closing_idle:
            return
        self._is_reading = True
        loop = asyncio.get_running_loop()
        for listening in self._sockets:
            loop.add_reader(listening, self._accept, listening)

    def _pause(self) -> None:
        self._is_reading = False
        loop = asyncio.get_running_loop()
        for listening in self._sockets:
            loop.remove_reader(listening)

    def _accept(self, listening: socket.socket) -> None:
        for _ in range(ACCEPT_BATCH):
            if self._limit.is_closing_idle:
                self._pause()
                return
            try:
                accepted, address = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in SHORTAGES:
                    raise
                log.error('accept.failed', error=error)
                self._pause()
                self._timer = asyncio.get_running_loop().call_later(
                    SHORTAGE_PAUSE_S, self._resume
                )
                return
            accepted.setblocking(False)
            self._admit(accepted, str(address[0]))

    def _admit(self, accepted: socket.socket, peer: str) -> None:
        place = self._limit.admit(peer, accepted.close)
        if place is None:
            refusal = self._listener.refuse(peer)
            with accepted:
                try:
                    accepted.send(refusal)
                except OSError:
                    # The client has disconnected.
                    pass
            return
        protocol = self._listener.build_protocol()
        place.close = protocol.abort
        place.begin()
        protocol.set_place(place)
        self._tasks.start(self._open(protocol, place, accepted))

    async def _open(
        self,
        protocol: AdmittedProtocol,
        place: connections.Connection,
        accepted: socket.socket,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: protocol, accepted)
        except OSError as error:
            log.change('accept.broken', peer=place.peer, error=error)
            accepted.close()
            self._limit.remove(place)
