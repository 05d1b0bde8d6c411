"""Lets one long body of each peer be read at a time."""

import abc
import asyncio
import collections

# Longest wait for a turn, in ms.
MAX_WAIT_MS = 10_000
# Interval between two looks at the body that others wait for, in ms.
CHECK_INTERVAL_MS = 1000


class Reader(abc.ABC):
    """Reads a long body."""

    @property
    @abc.abstractmethod
    def received_bytes(self) -> int:
        """What was received of the body so far."""

    @abc.abstractmethod
    def start_turn(self) -> None:
        """Begin, or go on, to read the body."""

    @abc.abstractmethod
    def refuse_wait(self) -> None:
        """Refuse the body: its turn has not come in time."""

    @abc.abstractmethod
    def refuse_slow(self) -> None:
        """Refuse the body: it is slow, and others wait for it."""


class _Queue:
    """The long bodies of one peer."""

    def __init__(self, holder: Reader) -> None:
        self.holder = holder
        self.seen_bytes = holder.received_bytes
        self.waiting: collections.deque[tuple[Reader, float]] = (
            collections.deque()
        )
        self.timer: asyncio.TimerHandle | None = None


class Turns:
    """The turns of all peers of a server.

    A body that others wait for has to arrive at a least rate: a sender that
    has gone must not delay its own resend.

    :param min_rate: that rate, in bytes a second.
    """

    def __init__(self, min_rate: int) -> None:
        self._min_rate = min_rate
        self._queues: dict[str, _Queue] = {}

    def take(self, peer: str, reader: Reader) -> bool:
        """Take a turn, or wait for it.

        :param peer: the sender's address, without its port.
        :param reader: reads the body; told later if it has to wait.
        :returns: whether the turn has come.
        """
        queue = self._queues.get(peer)
        if queue is None:
            self._queues[peer] = _Queue(reader)
            return True
        now_s = asyncio.get_running_loop().time()
        queue.waiting.append((reader, now_s))
        if queue.timer is None:
            queue.seen_bytes = queue.holder.received_bytes
            self._schedule(peer, queue)
        return False

    def leave(self, peer: str, reader: Reader) -> None:
        """End a turn, or the wait for one.

        :param peer: the sender's address, without its port.
        :param reader: as given to :meth:`take`.
        """
        queue = self._queues.get(peer)
        if queue is None:
            return
        if queue.holder is not reader:
            queue.waiting = collections.deque(
                item for item in queue.waiting if item[0] is not reader
            )
            return
        if not queue.waiting:
            if queue.timer is not None:
                queue.timer.cancel()
            del self._queues[peer]
            return
        queue.holder, _ = queue.waiting.popleft()
        queue.seen_bytes = queue.holder.received_bytes
        if queue.timer is not None:
            queue.timer.cancel()
        self._schedule(peer, queue)
        queue.holder.start_turn()

    def _schedule(self, peer: str, queue: _Queue) -> None:
        queue.timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_MS / 1000, self._check, peer, queue
        )

    def _check(self, peer: str, queue: _Queue) -> None:
        if self._queues.get(peer) is not queue:
            return
        loop = asyncio.get_running_loop()
        limit_s = loop.time() - MAX_WAIT_MS / 1000
        while queue.waiting and queue.waiting[0][1] < limit_s:
            reader, _ = queue.waiting.popleft()
            reader.refuse_wait()
        if not queue.waiting:
            queue.timer = None
            return
        received = queue.holder.received_bytes - queue.seen_bytes
        queue.seen_bytes = queue.holder.received_bytes
        self._schedule(peer, queue)
        if received * 1000 < self._min_rate * CHECK_INTERVAL_MS:
            queue.holder.refuse_slow()
