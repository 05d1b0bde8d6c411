"""Recent demand of hosts for an endpoint, by which requests are divided."""

import collections
from collections import abc
import math
import random

# Time in which a host's demand falls to a third, in ms.
DECAY_MS = 1000
# Demand below which a host gets nothing, in requests.
MIN_DEMAND = 0.05


class HostDemand:
    """Recent requests by host, which decay.

    :ivar by_host: the requests by host.
    """

    __slots__ = ('by_host',)

    def __init__(self) -> None:
        self.by_host: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self.by_host)

    def record(self, host: str, count: int) -> None:
        """Record requests of a host.

        :param host: names the run of the host's process.
        :param count: number of requests.
        """
        self.by_host[host] = self.by_host.get(host, 0.0) + count

    def decay(self, passed_ms: int) -> None:
        """Reduce all demand.

        :param passed_ms: time since the last call, in ms.
        """
        factor = math.exp(-passed_ms / DECAY_MS)
        self.by_host = {
            host: demand * factor
            for host, demand in self.by_host.items()
            if demand * factor >= MIN_DEMAND
        }

    def draw(self, count: int, rng: random.Random) -> abc.Mapping[str, int]:
        """Divide requests among the hosts at random, by their demand.

        :param count: number of requests.
        :param rng: the process's random number generator.
        :returns: numbers of requests by host.
        """
        if not count or not self.by_host:
            return {}
        hosts = list(self.by_host)
        weights = list(self.by_host.values())
        return collections.Counter(rng.choices(hosts, weights, k=count))
