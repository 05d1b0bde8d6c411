"""Turns at a shared resource, in the order of the requests."""

import asyncio
import collections
from collections import abc
import typing

from filbertglade import clock


class Turns:
    """Grants a number of turns at the same time, first come, first served.

    :param count: number of turns that may be taken at the same time.
    :param turn_ms: how long a turn may be kept while others wait, in ms.
    :param slow_send_ms: how long one send may take before the turn is lost, in
        ms.
    """

    def __init__(self, count: int, turn_ms: int, slow_send_ms: int) -> None:
        self._free_count = count
        self.turn_ms = turn_ms
        self.slow_send_ms = slow_send_ms
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @property
    def is_contended(self) -> bool:
        """Whether anyone waits for a turn."""
        return bool(self._waiting)

    def request(self) -> asyncio.Future[None]:
        """Queue for a turn.

        :returns: is done once the turn is granted; :meth:`release` must
            follow, or :meth:`withdraw` before that.
        """
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        if self._free_count:
            self._free_count -= 1
            future.set_result(None)
        else:
            self._waiting.append(future)
        return future

    def withdraw(self, future: asyncio.Future[None]) -> None:
        """Leave the queue, or give up the turn that was granted meanwhile.

        :param future: what :meth:`request` returned.
        """
        if future.done():
            self.release()
        else:
            self._waiting.remove(future)

    def release(self) -> None:
        """Give up a turn, which goes to the one that has waited longest."""
        if self._waiting:
            self._waiting.popleft().set_result(None)
        else:
            self._free_count += 1


class Turn:
    """One sender's turn, which it loses while its receiver is slow.

    :param turns: the turns that all senders share.
    :ivar is_held: whether the sender has the turn.
    """

    __slots__ = ('_requested', '_started_ms', '_turns', 'is_held')

    def __init__(self, turns: Turns) -> None:
        self._turns = turns
        self._started_ms = 0
        self._requested: asyncio.Future[None] | None = None
        self.is_held = False

    @property
    def is_over(self) -> bool:
        """Whether the sender has to wait for its next turn."""
        kept_ms = clock.now_ms() - self._started_ms
        return not self.is_held or (
            kept_ms > self._turns.turn_ms and self._turns.is_contended
        )

    async def take(self, timeout_ms: int) -> bool:
        """Wait for a turn after giving up the one that is held.

        After a time-out the place in the queue is kept for the next call.

        :param timeout_ms: longest wait.
        :returns: whether the turn was taken; :meth:`give_up` must follow in
            either case.
        """
        if self.is_held:
            self.give_up()
        if self._requested is None:
            self._requested = self._turns.request()
        await asyncio.wait([self._requested], timeout=timeout_ms / 1000)
        if not self._requested.done():
            return False
        self._requested = None
        self.is_held = True
        self._started_ms = clock.now_ms()
        return True

    def give_up(self) -> None:
        """Let the next sender have its turn, and leave the queue."""
        if self.is_held:
            self.is_held = False
            self._turns.release()
        if self._requested is not None:
            self._turns.withdraw(self._requested)
            self._requested = None

    async def run(
        self, work: abc.Coroutine[typing.Any, typing.Any, None], limit_ms: int
    ) -> None:
        """Run a send; a slow one ends the turn that is held.

        :param work: the send.
        :param limit_ms: longest duration.
        :raises TimeoutError: the send took longer.
        """
        if not self.is_held:
            async with asyncio.timeout(limit_ms / 1000):
                await work
            return
        sending = asyncio.get_running_loop().create_task(work)
        try:
            await asyncio.wait(
                [sending], timeout=self._turns.slow_send_ms / 1000
            )
            if not sending.done():
                self.give_up()
            async with asyncio.timeout(limit_ms / 1000):
                await sending
        finally:
            sending.cancel()
