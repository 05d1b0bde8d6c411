"""What this host may send to cold endpoints.

A host that gets no frames sends them nothing once its permits have expired.
Each host's equal share of the bound is below one request a second where hosts
are many, and hosts without a leader can't agree on who sends it.
"""

import collections
import copy

from filbertglade import clock
from filbertglade.fleet import cold_bound
from filbertglade.fleet import cold_endpoints
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)


class Permits:
    """Cold endpoints, and what this host may send to them.

    :param fleet_view: the node's view, with the cold endpoints.
    :param leader: the stream on which cold endpoints and demand are reported.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        fleet_view: view.FleetView,
        leader: watcher.Watcher,
        counters: metrics.Metrics,
    ) -> None:
        self._view = fleet_view
        self._leader = leader
        self._counters = counters
        # When each permit expires, by endpoint.
        self._expiries_ms: dict[str, collections.deque[int]] = {}
        fleet_view.add_listener(self._apply_frame)

    def copy_state(self, fleet_view: view.FleetView) -> 'Permits':
        """Return a copy that reports nothing and changes nothing here.

        :param fleet_view: a copy of the node's view.
        """
        other = copy.copy(self)
        other._view = fleet_view
        other._leader = copy.copy(self._leader)
        other._leader.limited_demand = {}
        other._counters = metrics.Metrics()
        other._expiries_ms = {
            endpoint: expiries_ms.copy()
            for endpoint, expiries_ms in self._expiries_ms.items()
        }
        return other

    def _apply_frame(self) -> None:
        permits = self._view.cold.take_permits()
        if not permits and not self._expiries_ms:
            return
        expiry_ms = clock.now_ms() + cold_bound.LIFETIME_MS
        for endpoint, count in permits.items():
            expiries_ms = self._expiries_ms.setdefault(
                endpoint, collections.deque()
            )
            expiries_ms.extend([expiry_ms] * count)
        for endpoint in list(self._expiries_ms):
            if not self._drop_expired(endpoint):
                del self._expiries_ms[endpoint]

    def _drop_expired(self, endpoint: str) -> bool:
        """Drop expired permits; return whether any is left."""
        expiries_ms = self._expiries_ms.get(endpoint)
        if not expiries_ms:
            return False
        now_ms = clock.now_ms()
        while expiries_ms and expiries_ms[0] <= now_ms:
            expiries_ms.popleft()
            self._counters.count('cold_permits_expired')
        return bool(expiries_ms)

    def is_cold(self, endpoint: str) -> bool:
        """Return whether requests to an endpoint need permits.

        :param endpoint: its incarnation key.
        """
        return self._view.cold.find_remaining_ms(endpoint) > 0

    def may_send(self, endpoint: str) -> bool:
        """Return whether a request may be sent to an endpoint now.

        :param endpoint: its incarnation key.
        """
        return not self.is_cold(endpoint) or self._drop_expired(endpoint)

    def record_demand(self, endpoint: str) -> None:
        """Count a request that an endpoint could take.

        :param endpoint: its incarnation key.
        """
        # A limited endpoint's demand is counted with its limit.
        if self.is_cold(endpoint) and endpoint not in self._view.limits:
            demand = self._leader.limited_demand
            demand[endpoint] = demand.get(endpoint, 0) + 1

    def take(self, endpoint: str) -> int | None:
        """Use up one permit.

        :param endpoint: its incarnation key, for which :meth:`may_send` holds.
        :returns: local clock when the permit expires; None if none is needed.
        """
        if not self.is_cold(endpoint):
            return None
        return self._expiries_ms[endpoint].popleft()

    def may_begin(self, endpoint: str, expiry_ms: int | None) -> bool:
        """Return whether a request may still be sent, directly before it is.

        :param endpoint: its incarnation key.
        :param expiry_ms: what :meth:`take` returned.
        """
        if not self.is_cold(endpoint):
            return True
        if expiry_ms is None or expiry_ms <= clock.now_ms():
            return False
        self._counters.count('cold_permits_used')
        return True

    def give_back(self, endpoint: str, expiry_ms: int | None) -> None:
        """Give a permit back for a request that was not sent.

        :param endpoint: its incarnation key.
        :param expiry_ms: what :meth:`take` returned.
        """
        if expiry_ms is not None:
            self._expiries_ms.setdefault(
                endpoint, collections.deque()
            ).appendleft(expiry_ms)

    def record_answer(
        self, endpoint: str, group: str, text: str | None
    ) -> None:
        """Record what an endpoint's answer says of its cold state.

        :param endpoint: its incarnation key.
        :param group: the group that it leads; empty if none.
        :param text: the header's value; None without the header.
        """
        remaining_ms = cold_endpoints.parse_remaining_ms(text)
        per_s = self._find_per_s(endpoint, group) if remaining_ms else 0.0
        if not per_s:
            return
        known_ms = self._view.cold.find_remaining_ms(endpoint)
        if remaining_ms <= known_ms:
            return
        remaining_ms += cold_endpoints.END_MARGIN_MS
        if not known_ms:
            log.change(
                'endpoint.cold',
                endpoint=endpoint,
                remaining_ms=remaining_ms,
                requests_per_s=per_s,
                source='answer',
            )
        self._view.cold.extend(endpoint, remaining_ms, per_s)
        self._leader.cold.add(
            fleet_pb2.ColdEndpoint(
                endpoint=endpoint,
                requests_per_s=per_s,
                remaining_ms=remaining_ms,
            )
        )

    def _find_per_s(self, endpoint: str, group: str) -> float:
        index = self._view.index
        known = (
            self._view.replicas.get(group)
            if group
            else self._view.endpoints.get(endpoint)
        )
        if index is None or known is None:
            return 0.0
        service = index.services.get(known.service)
        return service.cold_per_s if service is not None else 0.0
