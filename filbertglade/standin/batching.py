"""Continuous batching of a stand-in engine.

One timer runs for each step of the batch, not for each request.
"""

import asyncio
import heapq
import itertools

from filbertglade import clock
from filbertglade.standin import caching
from filbertglade.standin import settings as standin_settings
from filbertglade import tasks

PREFILL_CHUNK_BLOCKS = 4
SMOOTHING_FACTOR = 0.1


class Sequence:
    """A request that runs in the batch or waits for a slot."""

    def __init__(
        self, hashes: list[int], priority: int, token_count: int
    ) -> None:
        self.hashes = hashes
        self.priority = priority
        self.tokens_left = token_count
        self.prefill_left = 0
        self.queued_ms = clock.now_ms()
        self.is_started = False
        self.is_released = False
        self._produced = 0
        self._consumed = 0
        self._waiter: asyncio.Future[None] | None = None

    def produce_token(self) -> None:
        """Make the next token available to the consumer."""
        self.tokens_left -= 1
        self._produced += 1
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def take_token(self) -> None:
        """Wait for the next token."""
        while self._consumed >= self._produced:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self._consumed += 1


class Batch:
    """Runs sequences concurrently, up to the number of slots."""

    def __init__(
        self,
        settings: standin_settings.StandinSettings,
        cache: caching.PrefixCache,
    ) -> None:
        self._settings = settings
        self._cache = cache
        self._tasks = tasks.TaskGroup()
        self._stepper: asyncio.Task[None] | None = None
        self._running: list[Sequence] = []
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._arrivals = itertools.count()
        self._not_stalled = asyncio.Event()
        self._not_stalled.set()
        self.queued = 0
        self.slow_factor = 1.0
        self.first_token_ms = settings.token_ms
        self.step_ms = settings.token_ms

    @property
    def active(self) -> int:
        """Number of sequences that hold a slot."""
        return len(self._running)

    def stall(self) -> None:
        """Produce no tokens until resumed."""
        self._not_stalled.clear()

    def resume(self) -> None:
        """End a stall."""
        self._not_stalled.set()

    def enqueue(
        self, hashes: list[int], priority: int, token_count: int
    ) -> Sequence:
        """Queue a request for a slot.

        :param hashes: the prompt's prefix hashes.
        :param priority: requests of a higher priority get a slot first.
        :param token_count: number of tokens to generate, at least one.
        :returns: its sequence, which yields the tokens.
        """
        sequence = Sequence(hashes, priority, token_count)
        entry = (-priority, next(self._arrivals), sequence)
        heapq.heappush(self._waiting, entry)
        self.queued += 1
        if self._stepper is None:
            self._stepper = self._tasks.start(self._run())
        return sequence

    def release(self, sequence: Sequence) -> None:
        """Free a sequence's slot, whether or not it is finished.

        :param sequence: the sequence.
        """
        if sequence.is_released:
            return
        sequence.is_released = True
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
                await self._not_stalled.wait()
                self._finish_step(step_ms)
        finally:
            self._stepper = None

    def _fill_slots(self) -> None:
        while self._waiting and len(self._running) < self._settings.slots:
            sequence = heapq.heappop(self._waiting)[2]
            if sequence.is_released:
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
        self.step_ms += SMOOTHING_FACTOR * (step_ms - self.step_ms)
        now_ms = clock.now_ms()
        for sequence in list(self._running):
            if sequence.prefill_left:
                continue
            if sequence.queued_ms >= 0:
                took_ms = now_ms - sequence.queued_ms
                self.first_token_ms += SMOOTHING_FACTOR * (
                    took_ms - self.first_token_ms
                )
                sequence.queued_ms = -1
            sequence.produce_token()
            if not sequence.tokens_left:
                self.release(sequence)
