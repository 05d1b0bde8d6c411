"""Stand-in for a model engine, one part of which runs on each host."""

import asyncio
import collections
from collections import abc
import hashlib
import json
import random
import typing

from tornado import web

from filbertglade import clock
from filbertglade.routing import prefixes
from filbertglade.standin import batching
from filbertglade.standin import caching
from filbertglade.standin import settings as standin_settings

CONFLICT = 409
MAX_KEPT_LOADS = 64
VOCABULARY = ('bean', 'pea', 'leek', 'dill', 'kale', 'beet', 'rye', 'oat')


class Engine:
    """A model engine's part on one host."""

    def __init__(
        self,
        settings: standin_settings.StandinSettings,
        host: str,
        record: abc.Callable[..., None],
    ) -> None:
        self.settings = settings
        self.host = host
        self.record = record
        self.group = ''
        self.epoch = 0
        self.is_ready = False
        self.is_draining = False
        self.loaded_weights = ''
        self._highest_fencing = 0
        rng = random.Random(f'{settings.seed}/{host}')
        self.cache = caching.PrefixCache(settings, rng)
        self.batch = batching.Batch(settings, self.cache)
        self._loads: collections.deque[tuple[int, dict[str, int]]] = (
            collections.deque(maxlen=MAX_KEPT_LOADS)
        )
        self._loading: asyncio.Task[None] | None = None

    def read_load(self) -> dict[str, int]:
        """Return the load for an announcement, delayed by ``load_lag_ms``."""
        now_ms = clock.now_ms()
        load = {
            'slots': self.settings.slots,
            'active': self.batch.active,
            'queued': self.batch.queued,
            'first_token_ms': int(self.batch.first_token_ms),
            'between_tokens_us': int(self.batch.step_ms * 1000),
        }
        self._loads.append((now_ms, load))
        newest_ms = now_ms - self.settings.load_lag_ms
        while len(self._loads) > 1 and self._loads[1][0] <= newest_ms:
            self._loads.popleft()
        return self._loads[0][1]

    async def close(self) -> None:
        """Stop all work."""
        await self.batch.close()

    def apply_order(self, order: dict[str, typing.Any]) -> bool:
        """Apply an order from the leader.

        :param order: the order's fields.
        :returns: whether it was applied; False if its fencing number is too
            old.
        """
        number = int(order['fencing_number'])
        is_old = number < self._highest_fencing
        taken = not (self.settings.checks_fencing and is_old)
        self.record('order', host=self.host, taken=taken, **order)
        if not taken:
            return False
        self._highest_fencing = max(number, self._highest_fencing)
        is_same = (self.group, self.epoch) == (order['group'], order['epoch'])
        if order['action'] == 'drain':
            self.is_draining = self.is_draining or is_same
        elif order['action'] == 'release':
            self._release()
        elif order['action'] == 'preload':
            if not self.group and self._loading is None:
                self._start_loading(order)
        elif is_same:
            self.is_draining = False
        else:
            loaded_weights = self.loaded_weights
            self._release()
            self.loaded_weights = loaded_weights
            self.group = str(order['group'])
            self.epoch = int(order['epoch'])
            self._start_loading(order)
        return True

    def _start_loading(self, order: dict[str, typing.Any]) -> None:
        weights = f'{order["model"]}/{order["adapter"]}/{order["version"]}'
        loop = asyncio.get_running_loop()
        self._loading = loop.create_task(self._load(weights))

    def _release(self) -> None:
        if self._loading is not None:
            self._loading.cancel()
            self._loading = None
        self.group = ''
        self.epoch = 0
        self.is_ready = False
        self.is_draining = False
        self.loaded_weights = ''

    async def _load(self, weights: str) -> None:
        if self.loaded_weights != weights:
            await asyncio.sleep(self.settings.load_ms / 1000)
        self.loaded_weights = weights
        self.is_ready = bool(self.group)
        self._loading = None

    async def generate(
        self, prompt: str, count: int, priority: int = 0, offset: int = 0
    ) -> abc.AsyncGenerator[str, None]:
        """Generate a text that depends only on the prompt.

        Closing the generator frees its slot.

        :param prompt: the prompt.
        :param count: number of tokens of the complete text.
        :param priority: requests of a higher priority get a slot first.
        :param offset: number of tokens at the start to leave out.
        :returns: the tokens.
        """
        tokens = expected_tokens(prompt, count)[offset:]
        if not tokens:
            return
        hashes = prefixes.hash_prefixes(prompt)
        sequence = self.batch.enqueue(hashes, priority, len(tokens))
        try:
            for token in tokens:
                await sequence.take_token()
                yield token
        finally:
            self.batch.release(sequence)


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens that every stand-in generates for a prompt.

    :param prompt: the prompt.
    :param count: number of tokens.
    """
    digest = hashlib.sha256(prompt.encode()).digest()
    return [
        f'{VOCABULARY[digest[i % len(digest)] % len(VOCABULARY)]}-{i} '
        for i in range(count)
    ]


class OrderHandler(web.RequestHandler):
    """Receives orders from the leader."""

    def initialize(self, engine: Engine) -> None:
        """Set the engine.

        :param engine: the engine's part on this host.
        """
        self._engine = engine

    async def post(self) -> None:
        """Apply one order."""
        if not self._engine.apply_order(json.loads(self.request.body)):
            self.set_status(CONFLICT)
        self.finish({})
