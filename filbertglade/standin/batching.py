"""Continuous batching of a stand-in engine.

One timer runs for each step of the whole batch, not one for each request.
"""

import asyncio
import heapq
import itertools

from filbertglade import clock
from filbertglade.standin import caching
from filbertglade.standin import settings as standin_settings
from filbertglade import tasks

PREFILL_CHUNK_BLOCKS = 4
SMOOTHING = 0.1


class Sequence:
    """One request in the batch, or waiting for a slot in it."""

    def __init__(self, hashes: list[int], priority: int, count: int) -> None:
        self.hashes = hashes
        self.priority = priority
        self.tokens_left = count
        self.prefill_left = 0
        self.joined_ms = clock.now_ms()
        self.is_started = False
        self.is_gone = False
        self._given = 0
        self._taken = 0
        self._waiter: asyncio.Future[None] | None = None

    def give_token(self) -> None:
        """Make the next token available."""
        self.tokens_left -= 1
        self._given += 1
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def take_token(self) -> None:
        """Wait for the next token."""
        while self._taken >= self._given:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self._taken += 1


class Batch:
    """Runs sequences together, as many at once as there are slots."""

    def __init__(
        self,
        settings: standin_settings.StandinSettings,
        cache: caching.PrefixCache,
    ) -> None:
        self._settings = settings
        self._cache = cache
        self._tasks = tasks.TaskGroup()
        self._stepping: asyncio.Task[None] | None = None
        self._running: list[Sequence] = []
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._order = itertools.count()
        self._unstalled = asyncio.Event()
        self._unstalled.set()
        self.queued = 0
        self.slow_factor = 1.0
        self.first_token_ms = settings.token_ms
        self.step_ms = settings.token_ms

    @property
    def active(self) -> int:
        """Number of sequences that hold a slot."""
        return len(self._running)

    def stall(self) -> None:
        """Give no token until told to go on."""
        self._unstalled.clear()

    def go_on(self) -> None:
        """End a stall."""
        self._unstalled.set()

    def join(self, hashes: list[int], priority: int, count: int) -> Sequence:
        """Queue a request for a slot.

        :param hashes: the prompt's prefix hashes.
        :param priority: a higher one gets a slot first.
        :param count: tokens to generate, at least one.
        :returns: its sequence, from which the tokens are taken.
        """
        sequence = Sequence(hashes, priority, count)
        entry = (-priority, next(self._order), sequence)
        heapq.heappush(self._waiting, entry)
        self.queued += 1
        if self._stepping is None:
            self._stepping = self._tasks.start(self._run())
        return sequence

    def leave(self, sequence: Sequence) -> None:
        """Give a sequence's slot back, whether or not it is finished.

        :param sequence: the sequence.
        """
        if sequence.is_gone:
            return
        sequence.is_gone = True
        if sequence.is_started:
            self._running.remove(sequence)
        else:
            self.queued -= 1

    async def close(self) -> None:
        """Stop all work."""
        await self._tasks.close()

    async def _run(self) -> None:
        try:
            while self.queued or self._running:
                self._fill_slots()
                step_ms = self._settings.token_ms + self._prefill()
                step_ms *= self.slow_factor
                await asyncio.sleep(step_ms / 1000)
                await self._unstalled.wait()
                self._finish_step(step_ms)
        finally:
            self._stepping = None

    def _fill_slots(self) -> None:
        while self._waiting and len(self._running) < self._settings.slots:
            sequence = heapq.heappop(self._waiting)[2]
            if sequence.is_gone:
                continue
            self.queued -= 1
            cached = self._cache.count_cached(sequence.hashes)
            sequence.prefill_left = len(sequence.hashes) - cached
            sequence.is_started = True
            self._running.append(sequence)

    def _prefill(self) -> float:
        budget = PREFILL_CHUNK_BLOCKS
        for sequence in self._running:
            blocks = min(budget, sequence.prefill_left)
            if not blocks:
                continue
            sequence.prefill_left -= blocks
            budget -= blocks
            if not sequence.prefill_left:
                self._cache.store(sequence.hashes)
        blocks_done = PREFILL_CHUNK_BLOCKS - budget
        return blocks_done * self._settings.prefill_ms

    def _finish_step(self, step_ms: float) -> None:
        self.step_ms += SMOOTHING * (step_ms - self.step_ms)
        now_ms = clock.now_ms()
        for sequence in list(self._running):
            if sequence.prefill_left:
                continue
            if sequence.joined_ms >= 0:
                took_ms = now_ms - sequence.joined_ms
                self.first_token_ms += SMOOTHING * (
                    took_ms - self.first_token_ms
                )
                sequence.joined_ms = -1
            sequence.give_token()
            if not sequence.tokens_left:
                self.leave(sequence)
