"""Stand-in of a model engine: one part of it runs on each host."""

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
LOADS_KEPT = 64
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
        self.holds = ''
        self._highest_fencing = 0
        rng = random.Random(f'{settings.seed}/{host}')
        self.cache = caching.PrefixCache(settings, rng)
        self.batch = batching.Batch(settings, self.cache)
        self._loads: collections.deque[tuple[int, dict[str, int]]] = (
            collections.deque(maxlen=LOADS_KEPT)
        )
        self._loading: asyncio.Task[None] | None = None

    def read_load(self) -> dict[str, int]:
        """Return the load for an announcement, as old as settings say."""
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

    def take_order(self, order: dict[str, typing.Any]) -> bool:
        """Carry an order out.

        :param order: the order's fields.
        :returns: whether it was taken; False if its number is too old.
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
                self._begin_load(order)
        elif is_same:
            self.is_draining = False
        else:
            held = self.holds
            self._release()
            self.holds = held
            self.group = str(order['group'])
            self.epoch = int(order['epoch'])
            self._begin_load(order)
        return True

    def _begin_load(self, order: dict[str, typing.Any]) -> None:
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
        self.holds = ''

    async def _load(self, weights: str) -> None:
        if self.holds != weights:
            await asyncio.sleep(self.settings.load_ms / 1000)
        self.holds = weights
        self.is_ready = bool(self.group)
        self._loading = None

    async def generate(
        self, prompt: str, count: int, priority: int = 0, offset: int = 0
    ) -> abc.AsyncGenerator[str, None]:
        """Generate a text that depends on the prompt alone.

        Closing the generator gives its slot back.

        :param prompt: the prompt.
        :param count: tokens of the whole text.
        :param priority: a higher one gets a slot first.
        :param offset: tokens of the text that are not wanted again.
        :returns: the tokens.
        """
        tokens = expected_tokens(prompt, count)[offset:]
        if not tokens:
            return
        hashes = prefixes.hash_prefixes(prompt)
        sequence = self.batch.join(hashes, priority, len(tokens))
        try:
            for token in tokens:
                await sequence.take_token()
                yield token
        finally:
            self.batch.leave(sequence)


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the text that every stand-in gives for a prompt.

    :param prompt: the prompt.
    :param count: tokens wanted.
    """
    digest = hashlib.sha256(prompt.encode()).digest()
    return [
        f'{VOCABULARY[digest[i % len(digest)] % len(VOCABULARY)]}-{i} '
        for i in range(count)
    ]


class OrderHandler(web.RequestHandler):
    """Takes orders."""

    def initialize(self, engine: Engine) -> None:
        """Take the engine.

        :param engine: the engine's part on this host.
        """
        self._engine = engine

    async def post(self) -> None:
        """Take one order."""
        if not self._engine.take_order(json.loads(self.request.body)):
            self.set_status(CONFLICT)
        self.finish({})
