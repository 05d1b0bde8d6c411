"""Bounds the connections from this process to endpoints."""

import abc
import asyncio
import collections

# Longest wait for a connection to become free, in ms: as long as for one to be
# opened.
MAX_WAIT_MS = 400


class Holder(abc.ABC):
    """Holds the connections that are counted."""

    @abc.abstractmethod
    def count_open(self) -> int:
        """Return how many connections are open or being opened."""

    @abc.abstractmethod
    def close_idle(self) -> bool:
        """Close the connection that was idle for the longest time.

        :returns: whether there was one.
        """


class ConnectionSlots:
    """Lets connections be opened within a limit.

    At the limit idle connections are closed first. After that, requests wait
    in the order in which they came.

    :param limit: the most connections at a time; 0 for any number.
    :param holder: holds the connections.
    """

    def __init__(self, limit: int, holder: Holder) -> None:
        self.limit = limit
        self._holder = holder
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    def take(self) -> bool:
        """Return whether a connection may be opened now.

        An idle one is closed for it if necessary.
        """
        if not self.limit or self._holder.count_open() < self.limit:
            return True
        return self._holder.close_idle()

    async def wait(self, timeout_s: float) -> bool:
        """Wait until a connection may have become free.

        :param timeout_s: longest wait.
        :returns: whether one may have.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            await asyncio.wait((future,), timeout=timeout_s)
        except asyncio.CancelledError:
            if future.done():
                # Another request can use what this one was told of.
                self.notify()
            raise
        finally:
            if not future.done():
                self._waiting.remove(future)
        return future.done()

    def notify(self) -> None:
        """Tell the first request that waits of a free connection."""
        if self._waiting:
            self._waiting.popleft().set_result(None)
