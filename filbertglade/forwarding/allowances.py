"""What this host may send to endpoints that name limits."""

import collections
import copy
import math
import random

from filbertglade import clock
from filbertglade.fleet import certainty
from filbertglade.fleet import endpoint_limits
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Least limit that is kept, in requests a second: an endpoint that takes none
# is asked now and then, since only its answers tell that the limit has ended.
MIN_LIMIT_PER_S = 0.1
# Highest limit that is kept, in requests a second: no endpoint gets as many.
MAX_LIMIT_PER_S = 10_000.0
# Most endpoints of which it is remembered that a line was logged.
MAX_UNREADABLE = 1000
# Longest text of a limit.
MAX_TEXT_LENGTH = 32


def parse_limit(text: str) -> float | None:
    """Return the limit that a header names.

    :param text: the header's value, a decimal number.
    :returns: requests a second; 0 for a number too high to limit anything,
        None if the text is no number or a negative one.
    """
    text = text.strip()
    digits = text.replace('.', '', 1)
    if len(text) > MAX_TEXT_LENGTH or not (
        digits.isascii() and digits.isdecimal()
    ):
        return None
    limit = float(text)
    return 0.0 if limit > MAX_LIMIT_PER_S else max(limit, MIN_LIMIT_PER_S)


class _Unled:
    """This host's part of a limit while no leader divides it.

    Each host may send one request in as many seconds as all hosts together
    may send theirs in. A random phase spreads them.

    :param limit: the limit, in requests a second.
    :param hosts: number of hosts that share it.
    :param rng: the process's random number generator.
    """

    __slots__ = ('_lifetime_ms', 'interval_ms', 'next_ms')

    def __init__(self, limit: float, hosts: int, rng: random.Random) -> None:
        interval_ms = 1000 * max(1, hosts) / limit
        self._lifetime_ms = endpoint_limits.find_lifetime_ms(limit)
        self.interval_ms = interval_ms
        self.next_ms = clock.now_ms() + interval_ms * rng.random()

    def take_due(self) -> list[int]:
        """Return when the requests that are due now expire."""
        now_ms = clock.now_ms()
        if now_ms < self.next_ms:
            return []
        missed = math.floor((now_ms - self.next_ms) / self.interval_ms)
        due_ms = self.next_ms + missed * self.interval_ms
        self.next_ms = due_ms + self.interval_ms
        return [int(due_ms) + self._lifetime_ms]


class Allowances:
    """Limits of endpoints, and what this host may send to them.

    :param fleet_view: the node's view, with the limits.
    :param leader: the stream on which limits and demand are reported.
    :param counters: the process's metrics.
    :param rng: the process's random number generator.
    """

    def __init__(
        self,
        fleet_view: view.FleetView,
        leader: watcher.Watcher,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._view = fleet_view
        self._leader = leader
        self._counters = counters
        self._rng = rng
        # When each request that may be sent expires, by endpoint.
        self._expiries_ms: dict[str, collections.deque[int]] = {}
        self._unled: dict[str, _Unled] = {}
        self._named_ms: dict[str, int] = {}
        # Endpoints whose unreadable limits were logged.
        self._unreadable: set[str] = set()
        fleet_view.add_listener(self._apply_frame)

    def copy_state(self, rng: random.Random) -> 'Allowances':
        """Return a copy that reports nothing and changes nothing here.

        :param rng: its random number generator.
        """
        other = copy.copy(self)
        other._leader = copy.copy(self._leader)
        other._leader.limited_demand = {}
        other._leader.unused_allowances = {}
        other._rng = rng
        other._expiries_ms = {
            endpoint: expiries_ms.copy()
            for endpoint, expiries_ms in self._expiries_ms.items()
        }
        other._unled = {
            endpoint: copy.copy(unled)
            for endpoint, unled in self._unled.items()
        }
        return other

    def _apply_frame(self) -> None:
        now_ms = clock.now_ms()
        for endpoint, count in self._view.take_allowances().items():
            limit = self._view.find_limit(endpoint)
            if limit is not None:
                expiry_ms = now_ms + endpoint_limits.find_lifetime_ms(limit)
                self._get_expiries(endpoint).extend([expiry_ms] * count)
        self._unled.clear()
        for endpoint in list(self._expiries_ms):
            if endpoint in self._view.limits:
                self._renew(endpoint)
            else:
                del self._expiries_ms[endpoint]

    def _get_expiries(self, endpoint: str) -> collections.deque[int]:
        return self._expiries_ms.setdefault(endpoint, collections.deque())

    def may_send(self, endpoint: str) -> bool:
        """Return whether a request may be sent to an endpoint now.

        :param endpoint: its incarnation key.
        """
        if endpoint not in self._view.limits:
            return True
        self._renew(endpoint)
        return bool(self._expiries_ms.get(endpoint))

    def _renew(self, endpoint: str) -> None:
        expiries_ms = self._get_expiries(endpoint)
        now_ms = clock.now_ms()
        unused = self._leader.unused_allowances
        while expiries_ms and expiries_ms[0] <= now_ms:
            expiries_ms.popleft()
            unused[endpoint] = unused.get(endpoint, 0) + 1
        age_ms = self._view.age_ms()
        if age_ms is not None and age_ms <= certainty.MAX_CONTACT_AGE_MS:
            return
        unled = self._unled.get(endpoint)
        if unled is None:
            limit = self._view.limits[endpoint][1]
            unled = _Unled(limit, self._view.entry_nodes, self._rng)
            self._unled[endpoint] = unled
        expiries_ms.extend(unled.take_due())

    def record_demand(self, endpoint: str) -> None:
        """Count a request that an endpoint could take.

        :param endpoint: its incarnation key.
        """
        if endpoint in self._view.limits:
            demand = self._leader.limited_demand
            demand[endpoint] = demand.get(endpoint, 0) + 1

    def take(self, endpoint: str) -> int | None:
        """Use up one request to an endpoint.

        :param endpoint: its incarnation key, for which :meth:`may_send` holds.
        :returns: what :meth:`give_back` takes; None without a limit.
        """
        if endpoint not in self._view.limits:
            return None
        return self._get_expiries(endpoint).popleft()

    def give_back(self, endpoint: str, expiry_ms: int | None) -> None:
        """Give a request back that was not sent.

        :param endpoint: its incarnation key.
        :param expiry_ms: what :meth:`take` returned.
        """
        if expiry_ms is not None and endpoint in self._view.limits:
            self._get_expiries(endpoint).appendleft(expiry_ms)

    def record_answer(self, endpoint: str, text: str | None) -> None:
        """Record the limit that an endpoint's answer names, or none.

        :param endpoint: its incarnation key.
        :param text: the header's value; None without the header.
        """
        known = self._view.find_limit(endpoint)
        if text is None and known is None:
            return
        limit = 0.0 if text is None else parse_limit(text)
        if limit is None:
            # Whether a limit that was named before holds isn't known.
            self._note_unreadable(endpoint, text or '')
            return
        now_ms = clock.now_ms()
        if limit:
            self._named_ms[endpoint] = now_ms
        elif now_ms - self._named_ms.get(endpoint, 0) < (
            endpoint_limits.END_DELAY_MS
        ):
            return
        if limit == (known or 0.0):
            return
        self._view.set_limit(endpoint, limit)
        if not limit:
            self._named_ms.pop(endpoint, None)
            self._expiries_ms.pop(endpoint, None)
        self._leader.report_limit(
            fleet_pb2.EndpointLimit(endpoint=endpoint, requests_per_s=limit)
        )

    def _note_unreadable(self, endpoint: str, text: str) -> None:
        self._counters.count('limits_unreadable')
        if endpoint in self._unreadable:
            return
        if len(self._unreadable) >= MAX_UNREADABLE:
            self._unreadable.clear()
        self._unreadable.add(endpoint)
        log.change(
            'limit.unreadable', endpoint=endpoint, text=text[:MAX_TEXT_LENGTH]
        )
