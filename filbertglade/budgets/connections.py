"""Bounds the connections of each listener, and so a process's descriptors."""

from collections import abc
import resource

from filbertglade import clock

# Parts of a process's descriptors that the connections of each listener may
# take. A caller's request needs a connection to an endpoint as well. What is
# left is for connections to control hosts, and files.
LISTENER_SHARES = {
    'callers': 0.45,
    'control': 0.45,
    'inner': 0.25,
    'health': 0.05,
    'metrics': 0.03,
}
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

    :param limit: the most connections at a time.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._open: dict[Connection, None] = {}

    def __len__(self) -> int:
        return len(self._open)

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
            self.remove(idle)
            idle.close()
        connection = Connection(peer, close)
        self._open[connection] = None
        return connection

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended.

        :param connection: the connection.
        """
        self._open.pop(connection, None)

    def _find_idle(self, peer: str) -> Connection | None:
        by_peer: dict[str, int] = {peer: 1}
        for each in self._open:
            by_peer[each.peer] = by_peer.get(each.peer, 0) + 1
        idle = [each for each in self._open if each.is_idle]
        if not idle:
            return None
        return min(idle, key=lambda each: (-by_peer[each.peer], each.used_ms))


def find_descriptors(max_descriptors: int) -> int:
    """Return the descriptors that a process may open.

    :param max_descriptors: as set; 0 for the limit that the system states.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        soft = UNLIMITED_DESCRIPTORS
    return min(max_descriptors, soft) if max_descriptors else soft


def find_limit(listener: str, max_descriptors: int, set_limit: int = 0) -> int:
    """Return the most connections of a listener.

    :param listener: its name.
    :param max_descriptors: the descriptors of the process as set; 0 for the
        limit that the system states.
    :param set_limit: the limit as set; 0 if it follows from them.
    """
    if set_limit:
        return set_limit
    share = LISTENER_SHARES[listener] if max_descriptors else UNSET_SHARE
    return max(4, int(find_descriptors(max_descriptors) * share))
