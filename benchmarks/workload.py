"""The load that selection and admission are measured under.

Times of tokens are scaled up and rates down against real engines, so that 50
engines, their nodes and their callers fit one small machine.
"""

import dataclasses
import random

from filbertglade.routing import prefixes

CUSTOMERS = tuple(f'customer-{i}' for i in range(10))
# Sends ten times its share in the measurement of fairness.
GREEDY = 'greedy'
LARGE_CUSTOMERS = CUSTOMERS[:3]
GREEDY_FACTOR = 10
LARGE_FACTOR = 4
PREFIXES = 60
PREFIX_BLOCKS = 8
OWN_BLOCKS = 2


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """The stand-in engines that are measured.

    :param engines: how many there are.
    :param stragglers: how many of them are slow.
    :param slow_factor: how much slower those are.
    :param tokens: mean tokens of a request; it has a quarter to seven
        quarters of them.
    :param slots: requests that each runs at once.
    :param token_ms: time of one token.
    :param prefill_ms: time of one uncached block of a prompt.
    :param cache_blocks: blocks that each keeps cached.
    :param load_lag_ms: age of a load report.
    :param event_lag_ms: age of a cache event.
    :param event_loss: part of the cache events that is lost.
    """

    engines: int = 50
    stragglers: int = 5
    slow_factor: float = 4.0
    tokens: int = 64
    slots: int = 8
    token_ms: float = 80.0
    prefill_ms: float = 10.0
    cache_blocks: int = 160
    load_lag_ms: int = 1000
    event_lag_ms: int = 1000
    event_loss: float = 0.02

    @classmethod
    def build_short(cls) -> 'EngineLoad':
        """Return a load of requests about as short as a report is old."""
        return cls(tokens=32, slots=4, token_ms=40.0)

    def find_capacity(self) -> float:
        """Return requests a second, without stragglers and cached blocks."""
        blocks = PREFIX_BLOCKS + OWN_BLOCKS
        prefill_ms = self.slots * blocks * self.prefill_ms
        service_s = (self.tokens * self.token_ms + prefill_ms) / 1000
        return (self.engines - self.stragglers) * self.slots / service_s


@dataclasses.dataclass(slots=True)
class Request:
    """One request of the load.

    :param after_s: time since the request before it.
    :param customer: who sends it.
    :param prompt: its prompt.
    :param tokens: tokens wanted.
    :param node: position of the node that it is sent to.
    """

    after_s: float
    customer: str
    prompt: str
    tokens: int
    node: int


class Workload:
    """Requests at random moments, of customers of different sizes."""

    def __init__(
        self,
        engines: EngineLoad,
        load: float,
        nodes: int,
        seed: int,
        names: tuple[str, ...],
    ) -> None:
        self._engines = engines
        self._rng = random.Random(seed)
        self._rate = load * engines.find_capacity()
        self._nodes = nodes
        self._names = names
        self._weights = [find_weight(name) for name in names]
        self._marker = f'{names[0]} of {len(names)}'
        self._prefixes = [
            _fill(f'prefix {i} ', PREFIX_BLOCKS) for i in range(PREFIXES)
        ]
        # A few prefixes are in most of the prompts.
        self._popularity = [1 / (i + 1) for i in range(PREFIXES)]
        self._count = 0

    def draw(self) -> Request:
        """Return the next request."""
        rng = self._rng
        mean = self._engines.tokens
        self._count += 1
        prefix = rng.choices(self._prefixes, self._popularity)[0]
        return Request(
            after_s=rng.expovariate(self._rate),
            customer=rng.choices(self._names, self._weights)[0],
            prompt=prefix
            + _fill(f'request {self._count} of {self._marker} ', OWN_BLOCKS),
            tokens=rng.randint(mean // 4, mean * 7 // 4),
            node=rng.randrange(self._nodes),
        )


def find_weight(customer: str) -> float:
    """Return a customer's weight, which is also its part of the load.

    :param customer: its name.
    """
    return float(LARGE_FACTOR if customer in LARGE_CUSTOMERS else 1)


def find_greedy_load() -> float:
    """Return what the greedy customer sends, against capacity."""
    weights = sum(map(find_weight, (*CUSTOMERS, GREEDY)))
    return GREEDY_FACTOR * find_weight(GREEDY) / weights


def _fill(start: str, blocks: int) -> str:
    length = blocks * prefixes.BLOCK_BYTES
    repeats = length // len(start) + 1
    return (start * repeats)[:length]
