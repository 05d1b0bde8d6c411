"""The leader's part in cold endpoints, as it serves its watchers."""

from collections import abc
import random

from filbertglade import clock
from filbertglade.fleet import cold_bound
from filbertglade.fleet import cold_endpoints
from filbertglade.fleet import cold_permits
from filbertglade.fleet import connected_watcher
from filbertglade.fleet import document
from filbertglade.fleet import endpoints
from filbertglade.fleet import registry
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics


class ColdLeading:
    """Learns which endpoints are cold, and gives watchers permits for them.

    :param endpoint_registry: the endpoints.
    :param get_index: returns the document in force; None before the first.
    :param bound: how many requests cold endpoints may get.
    :param counters: the process's metrics.
    :param notify_change: called when watchers must be told of a change.
    :ivar states: the cold endpoints.
    """

    def __init__(
        self,
        endpoint_registry: registry.Registry,
        get_index: abc.Callable[[], document.RoutingIndex | None],
        bound: cold_bound.ColdBound,
        counters: metrics.Metrics,
        notify_change: abc.Callable[[], None],
    ) -> None:
        self._registry = endpoint_registry
        self._notify_change = notify_change
        self.states = cold_endpoints.ColdEndpoints(counters, get_index)
        self._permits = cold_permits.ColdPermits(
            self.states, bound, counters, random.Random()
        )
        endpoint_registry.read_cold = self._read_announcement
        endpoint_registry.is_cold = lambda key: bool(self.states.find(key))

    def start_leading(
        self, known: abc.Mapping[str, tuple[int, float]]
    ) -> None:
        """Start from what an earlier leader told its watchers.

        :param known: by endpoint, the local clock when it is no longer cold,
            and the requests a second that it takes.
        """
        self.states.start_leading(known)
        self._permits.start_leading()

    def _read_announcement(self, endpoint: fleet_pb2.Endpoint) -> None:
        version = self.states.version
        self.states.read_announcement(endpoint)
        if self.states.version != version:
            self._notify_change()

    def read_health(self, endpoint: fleet_pb2.Endpoint, text: str) -> None:
        """Read what an endpoint's health response says of its cold state.

        :param endpoint: the endpoint.
        :param text: how much longer it is cold, in ms.
        """
        version = self.states.version
        cold = fleet_pb2.ColdEndpoint(
            endpoint=endpoints.get_key(endpoint),
            remaining_ms=cold_endpoints.parse_remaining_ms(text),
        )
        self.states.read_report(cold, endpoint.service, 'health response')
        if self.states.version != version:
            self._notify_change()

    def read_report(self, report: fleet_pb2.WatchReport) -> None:
        """Read what a watcher reports of cold endpoints.

        :param report: the report.
        """
        for cold in report.cold_endpoints:
            entry = self._registry.entries.get(cold.endpoint)
            service = entry.endpoint.service if entry is not None else ''
            self.states.read_report(cold, service, report.node)
        self._permits.record_demand(report.limited_demand, report.run)

    def describe(
        self, groups: abc.Container[str]
    ) -> list[dict[str, str | int | float]]:
        """Return the cold endpoints as operators are shown them.

        :param groups: names of groups, which need no permits.
        """
        now_ms = clock.now_ms()
        return [
            {
                'id': name,
                'remaining_ms': state.end_ms - now_ms,
                'permits_per_s': round(self._permits.count_per_s(name), 1),
            }
            for name in sorted(self.states.states)
            if name not in groups
            and (state := self.states.find(name)) is not None
        ]

    def give_permits(
        self, watchers: abc.Iterable[connected_watcher.ConnectedWatcher]
    ) -> None:
        """Give permits, which expire soon and are sent at once.

        :param watchers: the entry hosts that watch this host.
        """
        permits = self._permits.divide()
        if not permits:
            return
        now_ms = clock.now_ms()
        for watcher in watchers:
            given = permits.get(watcher.report.run)
            if given:
                watcher.permits += [(now_ms, permit) for permit in given]
                watcher.changed_event.set()
