"""The leader's permits to send requests to cold endpoints.

Unlike the requests of limited endpoints, permits that weren't used are not
given again: which of them belong to an earlier leader isn't known.
"""

import collections
from collections import abc
import dataclasses
import random

from filbertglade import clock
from filbertglade.fleet import cold_bound
from filbertglade.fleet import cold_endpoints
from filbertglade.fleet import host_demand
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics

# Least time between two divisions, in ms.
DIVISION_INTERVAL_MS = 100
# Distinguishes permits from the requests that limited endpoints take: an
# endpoint may be cold and have a limit.
PERMIT_PREFIX = 'cold:'


@dataclasses.dataclass(slots=True)
class _Given:
    """The permits for one endpoint.

    :param divided_ms: local clock at the latest division.
    :param left: permits that may be given now.
    :param recent: local clock and number of those given in
        :data:`cold_bound.WINDOW_MS`.
    :param demand: recent requests of hosts.
    """

    divided_ms: int
    left: float = 0.0
    recent: collections.deque[tuple[int, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    demand: host_demand.HostDemand = dataclasses.field(
        default_factory=host_demand.HostDemand
    )


class ColdPermits:
    """Gives permits for cold endpoints to hosts by their demand.

    :param cold: the cold endpoints.
    :param bound: how many requests they may get.
    :param counters: the process's metrics.
    :param rng: the process's random number generator.
    """

    def __init__(
        self,
        cold: cold_endpoints.ColdEndpoints,
        bound: cold_bound.ColdBound,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._cold = cold
        self._bound = bound
        self._counters = counters
        self._rng = rng
        self._given: dict[str, _Given] = {}
        self._quiet_until_ms: int | None = None
        self._divided_ms = 0

    def start_leading(self) -> None:
        """Give nothing until all permits of earlier leaders have expired."""
        self._given.clear()
        self._quiet_until_ms = clock.now_ms() + cold_bound.QUIET_MS

    def record_demand(self, demand: abc.Mapping[str, int], host: str) -> None:
        """Record the requests that cold endpoints could have taken.

        :param demand: numbers of requests since the last report of the host,
            by endpoint.
        :param host: names the run of the host's process.
        """
        for endpoint, count in demand.items():
            if self._cold.find(endpoint) is None:
                continue
            given = self._given.get(endpoint)
            if given is None:
                given = self._given[endpoint] = _Given(clock.now_ms())
            given.demand.record(host, count)

    def count_per_s(self, endpoint: str) -> float:
        """Return how many permits an endpoint's hosts were given a second.

        :param endpoint: its incarnation key.
        :returns: the mean over :data:`cold_bound.WINDOW_MS`.
        """
        given = self._given.get(endpoint)
        if given is None:
            return 0.0
        _forget_old(given, clock.now_ms())
        count = sum(count for _, count in given.recent)
        return count * 1000 / cold_bound.WINDOW_MS

    def divide(self) -> dict[str, list[fleet_pb2.Allowance]]:
        """Give the permits that are due.

        :returns: the new permits of each host.
        """
        permits: dict[str, list[fleet_pb2.Allowance]] = {}
        now_ms = clock.now_ms()
        if now_ms - self._divided_ms < DIVISION_INTERVAL_MS:
            return permits
        self._divided_ms = now_ms
        is_quiet = (
            self._quiet_until_ms is None or now_ms < self._quiet_until_ms
        )
        for endpoint, given in list(self._given.items()):
            state = self._cold.find(endpoint)
            _forget_old(given, now_ms)
            if state is None:
                # It may turn cold again while its permits can be used.
                if not given.recent:
                    del self._given[endpoint]
                continue
            counts = self._divide(given, state.per_s, now_ms, is_quiet)
            for host, count in counts.items():
                permits.setdefault(host, []).append(
                    fleet_pb2.Allowance(
                        endpoint=PERMIT_PREFIX + endpoint, requests=count
                    )
                )
                self._counters.count('cold_permits_given', count)
        return permits

    def _divide(
        self, given: _Given, per_s: float, now_ms: int, is_quiet: bool
    ) -> abc.Mapping[str, int]:
        passed_ms = now_ms - given.divided_ms
        given.divided_ms = now_ms
        given.demand.decay(passed_ms)
        if is_quiet:
            return {}
        rate_per_ms = self._bound.find_rate_per_s(per_s) / 1000
        kept = max(1.0, rate_per_ms * cold_bound.MAX_KEPT_MS)
        given.left = min(kept, given.left + rate_per_ms * passed_ms)
        unexpired = sum(count for _, count in given.recent)
        count = min(int(given.left), self._bound.count(per_s) - unexpired)
        if count <= 0 or not given.demand:
            return {}
        given.left -= count
        given.recent.append((now_ms, count))
        return given.demand.draw(count, self._rng)


def _forget_old(given: _Given, now_ms: int) -> None:
    while given.recent and (
        now_ms - given.recent[0][0] > cold_bound.WINDOW_MS
    ):
        given.recent.popleft()
