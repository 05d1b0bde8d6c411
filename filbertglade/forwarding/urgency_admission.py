"""Admits by urgency and objective when capacity is short.

Engines start waiting requests in the order of their priority. So a replica
whose slots are all in use takes more requests than it has slots: fresh
requests start with the next free slot, and late ones when no fresh one waits.
Without a limit on the fresh ones that wait, all would become late. This host
therefore admits only such a fraction of the requests as fresh as are still in
time, and learns it from the first bytes that it sees itself. The others are
served late.
"""

from collections import abc
import random
import typing

from filbertglade import clock
from filbertglade.forwarding import admission
from filbertglade.forwarding import admission_policy
from filbertglade.forwarding import fair_shares
from filbertglade.forwarding import slot_admission
from filbertglade.forwarding import targets

# Fraction of the slots in use below which a request starts at once, even if
# some of the others' requests have not been reported yet.
FREE_FRACTION = 0.9
# Priorities beyond this one count as equal: engines know ten in all.
LOWEST_PRIORITY = 3
# Limits on the requests in flight of a replica, as a fraction of its slots, by
# priority. Engines queue as many requests as they have slots; what the less
# urgent leave of it is the reserve of the more urgent, and room for requests
# that have not been reported yet.
FRESH_LIMITS = (1.9, 1.75, 1.6, 1.5)
LATE_LIMITS = (1.7, 1.6, 1.45, 1.35)
STARTED_LIMIT = 2.0
# Priorities that engines are sent; 0 for streams that have started. The most
# urgent fresh request has the first of these, the most urgent late one the
# second.
FRESH_PRIORITY = 1
LATE_PRIORITY = 6
# Fraction of the late requests that get the priority of fresh ones of their
# class, so that late ones are served however long the fresh ones take all
# slots.
AGED_FRACTION = 0.125
# Remaining time at which a late request gets it too, as a multiple of the time
# that its response takes: later it could not be completed.
AGED_TIMES = 1.5
# Changes of the fraction that is admitted as fresh with a response that was
# late or in time: it rests where one in nine is late.
LATE_STEP = 0.08
IN_TIME_STEP = 0.01
# Least fraction that is admitted as fresh: some must be tried, to learn when
# they are in time again.
MIN_FRACTION = 0.2
# Increase of it in a second while a replica has free slots.
RECOVERY_PER_S = 0.3
# A customer or route over its share keeps at least this part of the fraction,
# so that none of them starves.
MIN_SHARE = 0.25


class _Pressure:
    """The fraction of a class's requests that can be in time."""

    def __init__(self) -> None:
        self.fraction = 1.0
        self.recovered_ms = clock.now_ms()
        self.customers = fair_shares.FairShares()
        self.routes = fair_shares.FairShares()

    def record(self, is_in_time: bool) -> None:
        """Record whether a fresh request was in time."""
        step = IN_TIME_STEP if is_in_time else -LATE_STEP
        self.fraction = min(1.0, max(MIN_FRACTION, self.fraction + step))

    def recover(self, has_free_slots: bool) -> None:
        """Let the fraction rise while there are free slots."""
        now_ms = clock.now_ms()
        passed_s = min(1000, now_ms - self.recovered_ms) / 1000
        self.recovered_ms = now_ms
        if has_free_slots:
            self.fraction = min(1.0, self.fraction + RECOVERY_PER_S * passed_s)

    def find_fraction(self, demand: admission.Demand) -> float:
        """Return the fraction for a customer's requests of a route."""
        total = self.fraction
        if total >= 1.0:
            return 1.0
        share = (
            self.customers.find_fraction(demand.customer, total)
            * self.routes.find_fraction(demand.route, total)
            / total
        )
        return min(1.0, max(MIN_SHARE * total, share))


class UrgencyAdmission(admission_policy.AdmissionPolicy):
    """Admits by urgency, and by whether the objective can still be met."""

    def __init__(self) -> None:
        # By service, model and priority.
        self._pressures: dict[tuple[str, str, int], _Pressure] = {}

    def draw_lot(self, rng: random.Random) -> float:
        """Return the lot of a new request; see the demand.

        :param rng: the process's random number generator.
        """
        return rng.random()

    def record_arrival(self, demand: admission.Demand) -> None:
        """Record a request before its first choice of a target.

        :param demand: what it demands.
        """
        pressure = self._get_pressure(demand)
        pressure.customers.record(demand.customer)
        pressure.routes.record(demand.route)

    def record_first_byte(
        self,
        demand: admission.Demand,
        engine_priority: int | None,
        taken_ms: float,
    ) -> None:
        """Record the time to the first byte of a response.

        :param demand: what the request demanded when it was sent.
        :param engine_priority: the priority that the engine was sent.
        :param taken_ms: the time since the request arrived.
        """
        if (
            demand.objective_ms
            and demand.admission_class is admission.AdmissionClass.FRESH
            and engine_priority is not None
            and engine_priority < LATE_PRIORITY
        ):
            pressure = self._get_pressure(demand)
            pressure.record(taken_ms <= demand.objective_ms)

    def find_room(
        self,
        demand: admission.Demand,
        loads: abc.Mapping[targets.Target, int],
    ) -> admission_policy.Room:
        """Return the replicas that a request may be sent to.

        :param demand: what the request demands.
        :param loads: requests in flight on each replica that can run it; at
            least one replica.
        """
        has_free_slots = any(
            load < target.slots * FREE_FRACTION
            for target, load in loads.items()
        )
        self._get_pressure(demand).recover(has_free_slots)
        admission_class = demand.admission_class
        if admission_class is admission.AdmissionClass.FRESH:
            in_time = self._list_in_time(demand, loads)
            if in_time:
                return admission_policy.Room(in_time)
        available = [
            target
            for target, load in loads.items()
            if self._may_wait(demand, load, target)
        ]
        if not available:
            return admission_policy.Room(
                [], f'{min(loads.values())} in flight'
            )
        if admission_class is not admission.AdmissionClass.STARTED:
            available = slot_admission.list_slowest(available)
        return admission_policy.Room(available)

    def _list_in_time(
        self,
        demand: admission.Demand,
        loads: abc.Mapping[targets.Target, int],
    ) -> list[targets.Target]:
        """Return the replicas where a fresh request can be in time."""
        able = [
            target
            for target, load in loads.items()
            if demand.is_in_time(
                demand.estimate_first_token_ms(
                    min(load, target.slots), target.slowness
                )
            )
        ]
        free = [
            target
            for target in able
            if loads[target] < target.slots * FREE_FRACTION
        ]
        if free or self._yields(demand):
            return free
        limit = FRESH_LIMITS[_limit_priority(demand)]
        return [
            target for target in able if loads[target] < target.slots * limit
        ]

    def _may_wait(
        self, demand: admission.Demand, load: int, target: targets.Target
    ) -> bool:
        """Return whether a replica may take a request that is not in time."""
        if demand.admission_class is admission.AdmissionClass.STARTED:
            return load < target.slots * STARTED_LIMIT
        limit = LATE_LIMITS[_limit_priority(demand)]
        if load >= target.slots * limit:
            return False
        expected_ms = demand.estimate_typical_ms(
            min(load, target.slots), target.slowness
        )
        # A slot becomes free with each response that ends.
        waiting = max(0, load + 1 - target.slots)
        expected_ms *= 1 + waiting / max(1, target.slots)
        return expected_ms <= demand.remaining_ms * admission.DEADLINE_FRACTION

    def _yields(self, demand: admission.Demand) -> bool:
        """Return whether a request is left to be late when slots are full."""
        fraction = self._get_pressure(demand).find_fraction(demand)
        return demand.lot >= fraction

    def find_engine_priority(
        self, demand: admission.Demand, load: int, slots: int, slowness: float
    ) -> int | None:
        """Return the priority that an engine is sent.

        Streams that have started come first, then fresh requests and then
        late ones, both by urgency.

        :param demand: what the request demands.
        :param load: requests in flight on the engine's replica.
        :param slots: requests that it runs concurrently.
        :param slowness: factor by which its times exceed normal ones.
        """
        if demand.admission_class is admission.AdmissionClass.STARTED:
            return 0
        priority = _limit_priority(demand)
        is_late = self._find_late_reason(demand, load, slots, slowness)
        if not is_late or self._is_aged(demand, load, slots, slowness):
            return FRESH_PRIORITY + priority
        return LATE_PRIORITY + priority

    def _find_late_reason(
        self, demand: admission.Demand, load: int, slots: int, slowness: float
    ) -> str:
        """Return why a request can't be in time; empty if it can."""
        if demand.admission_class is not admission.AdmissionClass.FRESH:
            return 'late on arrival'
        if not demand.is_in_time(
            demand.estimate_first_token_ms(min(load, slots), slowness)
        ):
            return 'objective out of reach'
        if load >= slots * FREE_FRACTION and self._yields(demand):
            return 'no slot in time'
        return ''

    def _is_aged(
        self, demand: admission.Demand, load: int, slots: int, slowness: float
    ) -> bool:
        """Return whether a late request no longer yields to fresh ones."""
        # The lot also decides who is late, which its later digits don't.
        if demand.lot * 1000 % 1 < AGED_FRACTION:
            return True
        needed_ms = demand.estimate_typical_ms(min(load, slots), slowness)
        return demand.remaining_ms < needed_ms * AGED_TIMES

    def describe(
        self, demand: admission.Demand, load: int, slots: int, slowness: float
    ) -> dict[str, typing.Any]:
        """Return the log fields of a request that is sent.

        :param demand: what the request demands.
        :param load: requests in flight on the replica.
        :param slots: requests that it runs concurrently.
        :param slowness: factor by which its times exceed normal ones.
        """
        fields: dict[str, typing.Any] = {
            'priority': demand.priority,
            'engine_priority': self.find_engine_priority(
                demand, load, slots, slowness
            ),
            'fresh_fraction': round(self._get_pressure(demand).fraction, 2),
        }
        if demand.admission_class is not admission.AdmissionClass.STARTED:
            reason = self._find_late_reason(demand, load, slots, slowness)
            if reason:
                fields['late_reason'] = reason
        return fields

    def _get_pressure(self, demand: admission.Demand) -> _Pressure:
        key = (demand.service, demand.model, _limit_priority(demand))
        pressure = self._pressures.get(key)
        if pressure is None:
            pressure = self._pressures[key] = _Pressure()
        return pressure


def _limit_priority(demand: admission.Demand) -> int:
    return min(demand.priority, LOWEST_PRIORITY)
