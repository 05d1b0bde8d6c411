"""The leader's division of endpoints' limits among the hosts.

An endpoint in need names how many requests a second it takes from all hosts
together. The leader gives hosts single requests out of that, by their demand,
so hosts that hear nothing send less and not more.
"""

from collections import abc
import dataclasses
import random

from filbertglade import clock
from filbertglade.fleet import host_demand
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# How long a host may use what it is given, in ms: what hosts can have left
# bounds the requests that they may send at once. A few requests are no burst,
# so those of a low limit last longer, and hosts with few callers can use them.
ALLOWANCE_MS = 1500
FEW_REQUESTS = 3
MAX_ADDED_MS = 3500
# How much of a limit is kept while no host has demand, in ms; one request at
# least.
MAX_KEPT_MS = 250
# Time between two divisions, in ms: the least, what each demand of a host for
# an endpoint adds, so that divisions take a small part of the processor's
# time, and the most, after which hosts would send in bursts.
DIVISION_INTERVAL_MS = 100
INTERVAL_PER_DEMAND_MS = 0.01
MAX_DIVISION_INTERVAL_MS = 500
# An end of a limit counts this long after the endpoint last named it, in ms:
# answers of different hosts overtake each other.
END_DELAY_MS = 100
# How long the end of an ended endpoint's limit is told to new watchers, in ms.
ENDED_RETENTION_MS = 60_000


def find_lifetime_ms(requests_per_s: float) -> int:
    """Return how long a host may use what it is given, in ms.

    :param requests_per_s: the endpoint's limit.
    """
    few_ms = FEW_REQUESTS * 1000 / requests_per_s
    return ALLOWANCE_MS + int(min(MAX_ADDED_MS, few_ms))


@dataclasses.dataclass(slots=True)
class _Limited:
    """An endpoint that has named a limit.

    :param requests_per_s: the limit; 0 after its end.
    :param named_ms: local clock when it was last named, or ended.
    :param version: version of the latest change.
    :param left: requests that may be given now.
    :param divided_ms: local clock at the latest division.
    :param demand: recent requests of hosts, which decay with each division.
    """

    requests_per_s: float
    named_ms: int
    version: int
    left: float = 0.0
    divided_ms: int = 0
    demand: host_demand.HostDemand = dataclasses.field(
        default_factory=host_demand.HostDemand
    )


class EndpointLimits:
    """The limits of all endpoints, and what hosts may send.

    :param counters: the process's metrics.
    :param rng: the process's random number generator.
    :ivar version: incremented with each change of a limit.
    """

    def __init__(self, counters: metrics.Metrics, rng: random.Random) -> None:
        self._counters = counters
        self._rng = rng
        self._limited: dict[str, _Limited] = {}
        self._divided_ms = 0
        self._interval_ms: float = DIVISION_INTERVAL_MS
        self.version = 0
        counters.set_gauge(
            'limited_endpoints',
            lambda: sum(
                item.requests_per_s > 0 for item in self._limited.values()
            ),
        )

    def start_leading(
        self, known: abc.Mapping[str, tuple[int, float]]
    ) -> None:
        """Start from the limits that an earlier leader told its watchers.

        :param known: by endpoint, the local clock when the limit was learned,
            and the limit in requests a second.
        """
        self._limited.clear()
        for endpoint, (learned_ms, requests_per_s) in known.items():
            self._set(endpoint, requests_per_s, learned_ms)

    def record(self, limit: fleet_pb2.EndpointLimit, host: str) -> None:
        """Record what an endpoint's answer to a host named.

        :param limit: the limit, or its end.
        :param host: names the run of the host's process.
        """
        named_ms = clock.now_ms() - limit.age_ms
        known = self._limited.get(limit.endpoint)
        if known is not None and named_ms < known.named_ms:
            return
        if not limit.requests_per_s and (
            known is None or named_ms - known.named_ms < END_DELAY_MS
        ):
            return
        if known is not None and known.requests_per_s == limit.requests_per_s:
            known.named_ms = named_ms
            return
        self._set(limit.endpoint, limit.requests_per_s, named_ms)
        log.change(
            'endpoint.limit' if limit.requests_per_s else 'endpoint.unlimited',
            endpoint=limit.endpoint,
            requests_per_s=limit.requests_per_s,
            host=host,
            age_ms=limit.age_ms,
        )

    def _set(
        self, endpoint: str, requests_per_s: float, named_ms: int
    ) -> None:
        self.version += 1
        known = self._limited.get(endpoint)
        demand = known.demand if known else host_demand.HostDemand()
        left = known.left if known is not None else 0.0
        self._limited[endpoint] = _Limited(
            requests_per_s,
            named_ms,
            self.version,
            left,
            clock.now_ms(),
            demand,
        )

    def record_demand(self, demand: abc.Mapping[str, int], host: str) -> None:
        """Record the requests that endpoints with limits could have taken.

        :param demand: numbers of requests since the last report of the host,
            by endpoint.
        :param host: names the run of the host's process.
        """
        for endpoint, count in demand.items():
            limited = self._limited.get(endpoint)
            if limited is not None:
                limited.demand.record(host, count)

    def record_unused(self, unused: abc.Mapping[str, int]) -> None:
        """Record requests that hosts didn't send in time, to give them again.

        :param unused: numbers of requests, by endpoint.
        """
        for endpoint, count in unused.items():
            limited = self._limited.get(endpoint)
            if limited is not None:
                limited.left += count

    def end_absent(self, is_present: abc.Callable[[str], bool]) -> None:
        """End the limits of endpoints that have ended.

        :param is_present: tells whether an endpoint is known.
        """
        now_ms = clock.now_ms()
        for endpoint, limited in list(self._limited.items()):
            if is_present(endpoint):
                continue
            if limited.requests_per_s:
                self._set(endpoint, 0.0, now_ms)
            elif now_ms - limited.named_ms > ENDED_RETENTION_MS:
                del self._limited[endpoint]

    def divide(self) -> dict[str, list[fleet_pb2.Allowance]]:
        """Divide what endpoints take among the hosts with demand.

        :returns: what each host may send in addition, by host.
        """
        now_ms = clock.now_ms()
        allowances: dict[str, list[fleet_pb2.Allowance]] = {}
        if now_ms - self._divided_ms < self._interval_ms:
            return allowances
        self._divided_ms = now_ms
        demands = sum(len(item.demand) for item in self._limited.values())
        self._interval_ms = min(
            MAX_DIVISION_INTERVAL_MS,
            max(DIVISION_INTERVAL_MS, INTERVAL_PER_DEMAND_MS * demands),
        )
        for endpoint, limited in self._limited.items():
            if not limited.requests_per_s:
                continue
            for host, count in self._divide(limited, now_ms).items():
                allowances.setdefault(host, []).append(
                    fleet_pb2.Allowance(endpoint=endpoint, requests=count)
                )
                self._counters.count('limited_requests_allowed', count)
        return allowances

    def _divide(self, limited: _Limited, now_ms: int) -> abc.Mapping[str, int]:
        """Return how many requests each host gets of an endpoint now."""
        passed_ms = min(MAX_DIVISION_INTERVAL_MS, now_ms - limited.divided_ms)
        limited.divided_ms = now_ms
        new = limited.requests_per_s * passed_ms / 1000
        kept = max(1.0, limited.requests_per_s * MAX_KEPT_MS / 1000)
        limited.left = min(limited.left, kept) + new
        limited.demand.decay(passed_ms)
        count = int(limited.left)
        if not count or not limited.demand:
            return {}
        limited.left -= count
        return limited.demand.draw(count, self._rng)

    def write_changes(
        self, frame: fleet_pb2.FleetFrame, since_version: int
    ) -> None:
        """Write all limits that changed after a version to a frame.

        :param frame: the frame.
        :param since_version: the version; -1 for all limits.
        """
        if since_version == self.version:
            return
        for endpoint, limited in self._limited.items():
            if limited.version > since_version:
                frame.limits.append(
                    fleet_pb2.EndpointLimit(
                        endpoint=endpoint,
                        requests_per_s=limited.requests_per_s,
                    )
                )
