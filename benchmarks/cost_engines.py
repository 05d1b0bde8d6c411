"""Engines and requests in virtual time, for ``benchmarks/costs.py``."""

import asyncio
from collections import abc
import dataclasses
import math
import random

from filbertglade import clock
from filbertglade.costs import work
from filbertglade.fleet import document

SERVICE = 'models'
MODEL = 'big'
# Requests that look alike: their answers have between these many tokens.
FEWEST_TOKENS, MOST_TOKENS = 6, 600
ROUTES = 3
CUSTOMERS = 24
# Errors of callers' estimates, and the spread of costs that nothing tells, as
# standard deviations of the logarithm.
HINT_SPREAD = 0.9
COST_SPREAD = 1.0
# Part of the requests that carry an estimate.
HINT_PART = 0.9
HOT_PART = 0.15
HOT_KEY = 'hot'
HOT_PROMPT_TOKENS = 3000
PROMPT_TOKENS = 700


def build_engine() -> document.Engine:
    """Return the figures of the engines."""
    return document.Engine(
        slots=17,
        models=[document.ModelShape(MODEL)],
        stride=4,
        step_ms=8.0,
        per_seq_ms=0.5,
        read_per_s=20_000.0,
        usual={'prompt': 1000.0, 'answer': 100.0},
        context_per_k=0.05,
        pairs_per_m=2.0,
        chunk=2048,
        kv_capacity_tokens=60_000,
    )


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request as callers send it, and as an engine runs it.

    :param features: what is known of it before.
    :param answer_tokens: tokens of its answer.
    :ivar arrived_ms: local clock when it arrived.
    :ivar first_ms: local clock at its first token; 0 before.
    :ivar ended_ms: local clock at its end; 0 before.
    :ivar unread: prompt tokens to read.
    :ivar made: tokens generated.
    """

    features: work.Features
    answer_tokens: int
    arrived_ms: int = 0
    first_ms: int = 0
    ended_ms: int = 0
    unread: float = 0.0
    made: int = 0

    def count_events(self, stride: int) -> int:
        """Return how many events of it have arrived.

        :param stride: tokens of an event.
        """
        return math.ceil(self.made / stride)


class Requests:
    """Draws requests whose costs differ by a factor of 100.

    :param seed: seed of all random choices.
    :param hot_part: part of the requests that have the hot key.
    """

    def __init__(self, seed: int, hot_part: float = HOT_PART) -> None:
        self._rng = random.Random(seed)
        self._hot_part = hot_part
        # A route and a customer tell something of an answer's length.
        self._medians = {
            (route, customer): math.exp(self._rng.gauss(math.log(50), 0.7))
            for route in range(ROUTES)
            for customer in range(CUSTOMERS)
        }

    def draw(self) -> Request:
        """Return the next request."""
        rng = self._rng
        route, customer = rng.randrange(ROUTES), rng.randrange(CUSTOMERS)
        is_hot = rng.random() < self._hot_part
        median = self._medians[route, customer] * (2.0 if is_hot else 1.0)
        tokens = median * math.exp(rng.gauss(0, COST_SPREAD))
        answer = round(min(MOST_TOKENS, max(FEWEST_TOKENS, tokens)))
        hint = 0
        if rng.random() < HINT_PART:
            hint = max(1, round(answer * math.exp(rng.gauss(0, HINT_SPREAD))))
        mean = HOT_PROMPT_TOKENS if is_hot else PROMPT_TOKENS
        prompt = round(mean * math.exp(rng.gauss(0, 0.5)))
        part = HOT_KEY if is_hot else f'part-{rng.randrange(200)}'
        features = work.Features(
            SERVICE,
            MODEL,
            f'route-{route}',
            f'customer-{customer}',
            (part,),
            prompt_tokens=prompt,
            hint_tokens=hint,
        )
        return Request(features, answer, unread=prompt)

    def find_mean_work_ms(self, engine: document.Engine) -> float:
        """Return the mean work of a request on a full engine.

        :param engine: the engine's figures.
        """
        times = work.EngineTimes(engine, MODEL)
        source = Requests(2, self._hot_part)
        source._medians = self._medians
        drawn = [source.draw() for _ in range(4000)]
        total = sum(
            times.find_work_ms(
                work.Cost(item.features.prompt_tokens, item.answer_tokens)
            )
            for item in drawn
        )
        return total / len(drawn)


class Engine:
    """One group that runs requests.

    :param figures: the engine's figures.
    :param slowness: factor on its times.
    """

    def __init__(self, figures: document.Engine, slowness: float) -> None:
        self._figures = figures
        self.slowness = slowness
        self._waiting: list[Request] = []
        self._running: list[Request] = []
        self._is_busy = False
        self._end: dict[int, abc.Callable[[], None]] = {}

    def submit(self, request: Request, end: abc.Callable[[], None]) -> None:
        """Run a request.

        :param request: the request.
        :param end: called at its end.
        """
        self._end[id(request)] = end
        self._waiting.append(request)
        if not self._is_busy:
            self._begin_pass()

    def _begin_pass(self) -> None:
        figures = self._figures
        while self._waiting and len(self._running) < figures.slots:
            self._running.append(self._waiting.pop(0))
        self._is_busy = bool(self._running)
        if not self._is_busy:
            return
        self._evict()
        budget = figures.chunk * figures.stride
        read_ms = 0.0
        decoding = []
        for request in self._running:
            if not request.unread:
                decoding.append(request)
                continue
            tokens = min(budget, request.unread)
            if tokens <= 0:
                continue
            budget -= tokens
            total = request.features.prompt_tokens + request.made
            before = total - request.unread
            pairs = tokens * before + tokens * tokens / 2
            read_ms += tokens / figures.read_per_s * 1000
            read_ms += figures.pairs_per_m * pairs / 1e6
            request.unread -= tokens
            if not request.unread:
                decoding.append(request)
        context = sum(
            request.features.prompt_tokens + request.made
            for request in decoding
        )
        step_ms = figures.step_ms + figures.per_seq_ms * len(self._running)
        step_ms += figures.context_per_k * context / 1000
        # Slower when nearly full.
        crowding = 1.0
        if len(self._running) >= 0.9 * figures.slots:
            crowding = 1.15
        pass_ms = (
            self.slowness * crowding * (read_ms + figures.stride * step_ms)
        )
        asyncio.get_running_loop().call_later(
            pass_ms / 1000, self._finish_pass, decoding
        )

    def _evict(self) -> None:
        """Preempt the newest requests while the token memory is short."""
        while len(self._running) > 1:
            used = sum(
                request.features.prompt_tokens + request.made
                for request in self._running
            )
            if used <= self._figures.kv_capacity_tokens:
                return
            newest = self._running.pop()
            newest.unread = newest.features.prompt_tokens + newest.made
            self._waiting.insert(0, newest)

    def _finish_pass(self, decoding: list[Request]) -> None:
        now_ms = clock.now_ms()
        for request in decoding:
            request.first_ms = request.first_ms or now_ms
            request.made += self._figures.stride
            if request.made >= request.answer_tokens:
                request.ended_ms = now_ms
                self._running.remove(request)
                self._end.pop(id(request))()
        self._begin_pass()
