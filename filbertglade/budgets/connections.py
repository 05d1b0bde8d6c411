"""Bounds the connections of each listener, and so a process's descriptors."""

import asyncio
from collections import abc
import resource

from filbertglade import clock

# Connections of each listener that may wait to be accepted: those of all
# endpoints at a time at the control listener. No more than it may have open,
# as those that wait have bytes in their receive buffers too.
BACKLOGS = {
    'callers': 1024,
    'control': 2048,
    'inner': 512,
    'health': 2048,
    'metrics': 2048,
    'endpoints': 0,
}
MIN_BACKLOG = 128
# Parts of a process's descriptors that the connections of each listener may
# take, and those to endpoints, which callers' requests cause. What is left is
# for connections to control hosts, and files.
LISTENER_SHARES = {
    'callers': 0.45,
    'control': 0.45,
    'inner': 0.25,
    'health': 0.05,
    'metrics': 0.03,
    'endpoints': 0.35,
}
# Part that all listeners of a process may take together. Those of a process
# that is a control host and an entry host would take more.
MAX_SHARE = 0.9
# The same for each listener if the settings state no limit.
UNSET_SHARE = 0.9
# Descriptors counted if the system states no limit.
UNLIMITED_DESCRIPTORS = 1_048_576


class Connection:
    """An open connection of a listener.

    :param peer: the client's address, without its port.
    :param close: closes the connection.
    :ivar used_ms: local clock when a request began or ended on it.
    :ivar is_idle: whether no request has begun since; it may be closed then.
    """

    __slots__ = ('peer', 'close', 'used_ms', 'is_idle')

    def __init__(self, peer: str, close: abc.Callable[[], None]) -> None:
        self.peer = peer
        self.close = close
        self.used_ms = clock.now_ms()
        self.is_idle = True

    def begin(self) -> None:
        """Note that a request has been received."""
        self.is_idle = False

    def end(self) -> None:
        """Note that a request has been answered."""
        self.is_idle = True
        self.used_ms = clock.now_ms()


class ConnectionLimit:
    """The connections of one listener.

    :param limit: the most connections at a time. While an idle one is being
        closed for a new one, there is one more.
    :ivar on_closed: called when an idle one has been closed for a new one.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.on_closed: abc.Callable[[], None] | None = None
        self._open: dict[Connection, None] = {}
        self._closing: set[Connection] = set()

    def __len__(self) -> int:
        return len(self._open)

    @property
    def is_closing_idle(self) -> bool:
        """Whether a connection that was closed for another is still open."""
        return bool(self._closing)

    def admit(
        self, peer: str, close: abc.Callable[[], None]
    ) -> Connection | None:
        """Admit a connection; close an idle one for it at the limit.

        The peer with the most connections loses the one that was idle for the
        longest time.

        :param peer: the client's address, without its port.
        :param close: closes the connection.
        :returns: the connection; None if there is no room.
        """
        if len(self._open) >= self.limit:
            idle = self._find_idle(peer)
            if idle is None:
                return None
            del self._open[idle]
            self._closing.add(idle)
            idle.close()
        connection = Connection(peer, close)
        self._open[connection] = None
        return connection

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended.

        :param connection: the connection.
        """
        self._open.pop(connection, None)
        # It refers to the connection's protocol, which refers to it.
        connection.close = _do_nothing
        if connection in self._closing:
            self._closing.discard(connection)
            if self.on_closed is not None:
                asyncio.get_running_loop().call_soon(self.on_closed)

    def _find_idle(self, peer: str) -> Connection | None:
        by_peer: dict[str, int] = {peer: 1}
        for each in self._open:
            by_peer[each.peer] = by_peer.get(each.peer, 0) + 1
        idle = [each for each in self._open if each.is_idle]
        if not idle:
            return None
        return min(idle, key=lambda each: (-by_peer[each.peer], each.used_ms))


def find_backlog(listener: str, limit: int) -> int:
    """Return how many connections may wait to be accepted.

    :param listener: the listener's name; ``endpoints`` for the connections to
        these, none of which wait.
    :param limit: its most open connections.
    """
    return min(BACKLOGS[listener], max(limit, MIN_BACKLOG))


def _do_nothing() -> None:
    pass


def find_descriptors(max_descriptors: int) -> int:
    """Return the descriptors that a process may open.

    :param max_descriptors: as set; 0 for the limit that the system states.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        soft = UNLIMITED_DESCRIPTORS
    return min(max_descriptors, soft) if max_descriptors else soft


def find_limit(
    listener: str,
    max_descriptors: int,
    set_limit: int = 0,
    listeners: abc.Collection[str] = (),
) -> int:
    """Return the most connections of a listener.

    :param listener: its name; ``endpoints`` for the connections to these.
    :param max_descriptors: the descriptors of the process as set; 0 for the
        limit that the system states.
    :param set_limit: the limit as set; 0 if it follows from them. It can't
        exceed the listener's part of the descriptors as set.
    :param listeners: the names of all listeners of the process.
    """
    if set_limit and not max_descriptors:
        return set_limit
    share = UNSET_SHARE
    if max_descriptors:
        total = sum(LISTENER_SHARES[each] for each in listeners)
        share = LISTENER_SHARES[listener] * min(1.0, MAX_SHARE / (total or 1))
    limit = max(4, int(find_descriptors(max_descriptors) * share))
    return min(limit, set_limit) if set_limit else limit
