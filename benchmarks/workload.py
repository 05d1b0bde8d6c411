"""The load for benchmarks of selection and admission.

Compared with real engines, token times are longer and rates lower, so that 50
engines, their nodes and their callers fit on one small machine.
"""

import dataclasses
import random

from filbertglade.routing import prefixes

CUSTOMERS = tuple(f'customer-{i}' for i in range(10))
# Sends ten times its share of the capacity in benchmarks of fairness.
GREEDY_CUSTOMER = 'greedy'
LARGE_CUSTOMERS = CUSTOMERS[:3]
GREEDY_FACTOR = 10
LARGE_FACTOR = 4
PREFIXES = 60
PREFIX_BLOCKS = 8
UNIQUE_BLOCKS = 2


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """The stand-in engines, and the length of their requests.

    :param engines: number of engines.
    :param stragglers: number of slow engines among them.
    :param slow_factor: factor by which those are slower.
    :param tokens: mean tokens of a request; a request has between a quarter
        and seven quarters of them.
    :param slots: requests that each engine runs concurrently.
    :param token_ms: time of one token.
    :param prefill_ms: time to prefill one uncached block of a prompt.
    :param cache_blocks: prompt blocks that each engine caches.
    :param load_lag_ms: age of a load report.
    :param event_lag_ms: age of a cache event.
    :param event_loss: fraction of the cache events that is lost.
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
        """Return a load with requests about as long as a report is old."""
        return cls(tokens=32, slots=4, token_ms=40.0)

    def find_capacity(self) -> float:
        """Return the capacity in requests a second.

        Stragglers do not count, and no block is taken as cached.
        """
        blocks = PREFIX_BLOCKS + UNIQUE_BLOCKS
        prefill_ms = self.slots * blocks * self.prefill_ms
        service_s = (self.tokens * self.token_ms + prefill_ms) / 1000
        return (self.engines - self.stragglers) * self.slots / service_s


@dataclasses.dataclass(slots=True)
class Request:
    """One request of the load.

    :param interval_s: time since the previous request.
    :param customer: the customer that sends it.
    :param prompt: its prompt.
    :param tokens: tokens to generate.
    :param node: index of the node that it is sent to.
    """

    interval_s: float
    customer: str
    prompt: str
    tokens: int
    node: int


class Workload:
    """Draws requests at random intervals, of customers of different weights.

    :param engines: the engines, for their capacity and the requests' length.
    :param load: load as a fraction of capacity.
    :param nodes: number of nodes.
    :param seed: seed of all random choices.
    :param names: names of the customers.
    """

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
        self._load_label = f'{names[0]} of {len(names)}'
        self._prefixes = [
            _repeat(f'prefix {i} ', PREFIX_BLOCKS) for i in range(PREFIXES)
        ]
        # Most prompts begin with one of a few prefixes.
        self._popularity = [1 / (i + 1) for i in range(PREFIXES)]
        self._count = 0

    def draw_request(self) -> Request:
        """Return the next request."""
        rng = self._rng
        mean = self._engines.tokens
        self._count += 1
        prefix = rng.choices(self._prefixes, self._popularity)[0]
        return Request(
            interval_s=rng.expovariate(self._rate),
            customer=rng.choices(self._names, self._weights)[0],
            prompt=prefix
            + _repeat(
                f'request {self._count} of {self._load_label} ', UNIQUE_BLOCKS
            ),
            tokens=rng.randint(mean // 4, mean * 7 // 4),
            node=rng.randrange(self._nodes),
        )


def find_weight(customer: str) -> float:
    """Return a customer's weight, to which its load is proportional.

    :param customer: the customer's name.
    """
    return float(LARGE_FACTOR if customer in LARGE_CUSTOMERS else 1)


def find_greedy_load() -> float:
    """Return the greedy customer's load as a fraction of capacity."""
    weights = sum(map(find_weight, (*CUSTOMERS, GREEDY_CUSTOMER)))
    return GREEDY_FACTOR * find_weight(GREEDY_CUSTOMER) / weights


def _repeat(pattern: str, blocks: int) -> str:
    length = blocks * prefixes.BLOCK_BYTES
    repeats = length // len(pattern) + 1
    return (pattern * repeats)[:length]
