"""Stand-in of a model engine: one part of it runs on each host."""

import asyncio
import collections
from collections import abc
import hashlib
import json
import random
import typing

from tornado import iostream
from tornado import web

from filbertglade import clock
from filbertglade.routing import prefixes
from filbertglade.standin import batching
from filbertglade.standin import caching
from filbertglade.standin import settings as standin_settings

CONFLICT = 409
DEFAULT_TOKENS = 16
LOADS_KEPT = 64
PRIORITY_HEADER = 'X-Priority'
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
        elif is_same:
            self.is_draining = False
        else:
            self._release()
            self.group = str(order['group'])
            self.epoch = int(order['epoch'])
            loop = asyncio.get_running_loop()
            self._loading = loop.create_task(self._load())
        return True

    def _release(self) -> None:
        if self._loading is not None:
            self._loading.cancel()
            self._loading = None
        self.group = ''
        self.epoch = 0
        self.is_ready = False
        self.is_draining = False

    async def _load(self) -> None:
        await asyncio.sleep(self.settings.load_ms / 1000)
        self.is_ready = True

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


class CompletionHandler(web.RequestHandler):
    """Answers calls of the model."""

    def initialize(self, engine: Engine) -> None:
        """Take the engine.

        :param engine: the engine's part on this host.
        """
        self._engine = engine
        self._task: asyncio.Task[None] | None = None

    def on_connection_close(self) -> None:
        """Cancel the call of a node that left."""
        if self._task is not None:
            self._task.cancel()

    async def post(self) -> None:
        """Answer one call, whole or as a stream of events."""
        body = json.loads(self.request.body)
        prompt = _read_prompt(body)
        count = int(body.get('max_tokens') or DEFAULT_TOKENS)
        engine = self._engine
        engine.record(
            'request',
            host=engine.host,
            group=engine.group,
            epoch=engine.epoch,
            prompt=prompt,
        )
        if not engine.is_ready:
            self.set_status(CONFLICT)
            self.set_header('X-Outcome', 'not_run')
            self.finish({'error': {'message': 'not serving'}})
            return
        self._task = asyncio.current_task()
        priority = int(self.request.headers.get(PRIORITY_HEADER, '0'))
        tokens = engine.generate(prompt, count, priority)
        try:
            if body.get('stream'):
                await self._write_stream(body['model'], tokens)
            else:
                await self._write_whole(body['model'], tokens)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            engine.record('left', host=engine.host, prompt=prompt)
        finally:
            await tokens.aclose()

    async def _write_whole(
        self, model: str, tokens: abc.AsyncIterator[str]
    ) -> None:
        text = ''.join([token async for token in tokens])
        message = {'role': 'assistant', 'content': text}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        self.finish(_envelope(model, 'chat.completion', choice))

    async def _write_stream(
        self, model: str, tokens: abc.AsyncIterator[str]
    ) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        async for token in tokens:
            delta = {'role': 'assistant', 'content': token}
            choice = {'index': 0, 'delta': delta, 'finish_reason': None}
            await self._write_event(model, choice)
        await self._write_event(
            model, {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
        )
        self.write('data: [DONE]\n\n')
        self.finish()

    async def _write_event(
        self, model: str, choice: dict[str, object]
    ) -> None:
        event = json.dumps(_envelope(model, 'chat.completion.chunk', choice))
        self.write(f'data: {event}\n\n')
        await self.flush()


def _envelope(
    model: str, kind: str, choice: dict[str, object]
) -> dict[str, object]:
    return {
        'id': 'chatcmpl-standin',
        'object': kind,
        'created': 0,
        'model': model,
        'choices': [choice],
    }


def _read_prompt(body: dict[str, typing.Any]) -> str:
    if 'prompt' in body:
        return str(body['prompt'])
    return '\n'.join(
        str(message.get('content', '')) for message in body['messages']
    )
