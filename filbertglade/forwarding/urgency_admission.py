"""Admits by urgency and objective when capacity is short.

Engines start waiting requests in the order of their priority. So a replica
whose slots are all in use takes more requests than it has slots: fresh
requests start with the next free slot, and late ones when no fresh one waits.
Without a limit on the fresh ones that wait, all would become late. This host
therefore admits no more of them than its part of what the replicas complete.
The others are served late.
"""

from collections import abc
import copy
import random
import typing

from filbertglade.fleet import unserved
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.forwarding import admission_policy
from filbertglade.forwarding import fresh_budget
from filbertglade.forwarding import room_forecast
from filbertglade.forwarding import slot_admission
from filbertglade.forwarding import targets

# Fraction of the slots in use below which a request starts at once, even if
# some of the others' requests have not been reported yet.
FREE_FRACTION = 0.9
# Fraction of all slots in use above which no replica counts as free. Beliefs
# of the others' requests are up to 0.8 s old, and some replicas have more than
# the mean: hosts that all filled those with free slots made most requests late
# before the slots of the others were in use.
FREE_TOTAL_FRACTION = 0.8
# Priorities beyond this one count as equal: engines know ten in all.
LOWEST_PRIORITY = 2
# Limits on the requests in flight of a replica, as a fraction of its slots, by
# priority. Engines queue as many requests as they have slots; what the less
# urgent leave of it is the reserve of the more urgent, and room for requests
# that have not been reported yet.
FRESH_LIMITS = (1.9, 1.8, 1.6)
LATE_LIMITS = (1.7, 1.6, 1.5)
# The same for requests that could come back later: they are left to be late,
# and nobody has refused them yet. Where late requests take all slots, a fresh
# one waits for a response to end, which is too long for short objectives. The
# limit applies to all replicas together, and is spread over a ramp: if each
# host compared single replicas with it, all would send to the few that were
# below it in their last frame.
YIELDING_LIMITS = (1.1, 0.9, 0.85)
YIELDING_RAMP = 0.2
STARTED_LIMIT = 2.0
# Priorities that engines are sent; 0 for streams that have started. Fresh
# requests have two for each priority of the document: the first if their
# objective allows no wait beyond the usual time to the first token.
FRESH_PRIORITY = 1
LATE_PRIORITY = 7
TIGHT_TIMES = 2.0
# Fraction of the late requests that get the priority of fresh ones of their
# class, so that late ones are served however long the fresh ones take all
# slots.
AGED_FRACTION = 0.05
# Remaining time at which a late request gets it too, as a multiple of the time
# that its response takes: later it could not be completed.
AGED_TIMES = 1.5
# Earliest return of a refused caller, in s, and the part of its remaining time
# within which it returns: the rest is for its response.
MIN_RETRY_S = 0.5
RETRY_FRACTION = 1 / 3
# Most of that time that is left to other requests that wait or were refused.
MAX_TAKEN_FRACTION = 0.5


class UrgencyAdmission(admission_policy.AdmissionPolicy):
    """Admits by urgency, and by whether the objective can still be met.

    :param fleet_view: the node's view.
    :param own_unserved: what this host reports that it could not serve.
    """

    def __init__(
        self,
        fleet_view: view.FleetView,
        own_unserved: unserved.UnservedDemand,
    ) -> None:
        self._view = fleet_view
        self._unserved = own_unserved
        # Capacity in requests a second, by model.
        self._capacities: dict[str, float] = {}
        # By service and model.
        self._budgets: dict[tuple[str, str], fresh_budget.FreshBudget] = {}
        self._forecast = room_forecast.RoomForecast()

    def copy_state(self) -> admission_policy.AdmissionPolicy:
        """Return a copy whose decisions change nothing here."""
        other = UrgencyAdmission(self._view, unserved.UnservedDemand())
        other._capacities = dict(self._capacities)
        other._budgets = copy.deepcopy(self._budgets)
        other._forecast = copy.deepcopy(self._forecast)
        return other

    def draw_lot(self, rng: random.Random) -> float:
        """Return the lot of a new request; see the demand.

        :param rng: the process's random number generator.
        """
        return rng.random()

    def record_arrival(self, demand: admission.Demand) -> None:
        """Record a request before its first choice of a target.

        :param demand: what it demands.
        """
        self._get_budget(demand).record_arrival(demand)
        self._forecast.record()

    def record_first_byte(
        self,
        demand: admission.Demand,
        admitted: admission_policy.Admitted,
        taken_ms: float,
    ) -> None:
        """Record the time to the first byte of a response.

        :param demand: what the request demanded when it was sent.
        :param admitted: how it was admitted.
        :param taken_ms: the time since the request arrived.
        """
        if demand.objective_ms and admitted.is_fresh:
            self._get_budget(demand).record_first_byte(
                taken_ms <= demand.objective_ms
            )

    def record_end(self, demand: admission.Demand, running_ms: float) -> None:
        """Record the end of a complete response.

        :param demand: what the request demanded when it was sent.
        :param running_ms: the time since its first byte.
        """
        usual_ms = demand.estimate_usual_ms(0, 1.0)
        if usual_ms:
            self._get_budget(demand).record_pace(running_ms / usual_ms)

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
        slots = sum(target.slots for target in loads)
        budget = self._get_budget(demand)
        budget.fill(demand, len(loads), slots, self._view.entry_nodes)
        budget.is_pressed = sum(loads.values()) >= slots * FREE_TOTAL_FRACTION
        usual_ms = demand.estimate_usual_ms(slots // len(loads), 1.0)
        if usual_ms:
            self._capacities[demand.model] = slots / usual_ms * 1000
        used_fraction = sum(loads.values()) / max(1, slots)
        admission_class = demand.admission_class
        if admission_class is admission.AdmissionClass.FRESH:
            in_time = self._list_in_time(demand, loads)
            if in_time:
                return admission_policy.Room(in_time)
        available = [
            target
            for target, load in loads.items()
            if self._may_wait(demand, load, target, used_fraction)
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
        budget = self._get_budget(demand)
        if free and not budget.is_pressed:
            return free
        if not budget.has_token(demand):
            return []
        if free:
            return free
        limit = FRESH_LIMITS[_limit_priority(demand)]
        return [
            target for target in able if loads[target] < target.slots * limit
        ]

    def _may_wait(
        self,
        demand: admission.Demand,
        load: int,
        target: targets.Target,
        used_fraction: float,
    ) -> bool:
        """Return whether a replica may take a request that is not in time."""
        if demand.admission_class is admission.AdmissionClass.STARTED:
            return load < target.slots * STARTED_LIMIT
        priority = _limit_priority(demand)
        if load >= target.slots * LATE_LIMITS[priority]:
            return False
        if demand.admission_class is admission.AdmissionClass.FRESH:
            # Digits of the lot that decide nothing else.
            limit = YIELDING_LIMITS[priority]
            limit -= demand.lot * 1e6 % 1 * YIELDING_RAMP
            if used_fraction >= limit:
                return False
        expected_ms = demand.estimate_typical_ms(
            min(load, target.slots), target.slowness
        )
        # A slot becomes free with each response that ends.
        waiting = max(0, load + 1 - target.slots)
        expected_ms *= 1 + waiting / max(1, target.slots)
        return expected_ms <= demand.remaining_ms * admission.DEADLINE_FRACTION

    def admit(
        self, demand: admission.Demand, target: targets.Target, load: int
    ) -> admission_policy.Admitted:
        """Admit a request that is sent now.

        Streams that have started come first, then fresh requests and then
        late ones, both by urgency.

        :param demand: what the request demands.
        :param target: the replica that it is sent to.
        :param load: requests in flight there, without it.
        """
        if demand.admission_class is admission.AdmissionClass.STARTED:
            return admission_policy.Admitted(0, False, {'engine_priority': 0})
        reason = self._find_late_reason(demand, target, load)
        is_aged = bool(reason) and self._is_aged(demand, target, load)
        priority = _limit_priority(demand)
        if reason and not is_aged:
            engine_priority = LATE_PRIORITY + priority
        else:
            is_loose = bool(reason) or not _is_tight(demand, target)
            engine_priority = FRESH_PRIORITY + 2 * priority + is_loose
        fields: dict[str, typing.Any] = {
            'priority': demand.priority,
            'engine_priority': engine_priority,
        }
        if reason:
            fields |= {'late_reason': reason, 'is_aged': is_aged}
        return admission_policy.Admitted(engine_priority, not reason, fields)

    def _find_late_reason(
        self, demand: admission.Demand, target: targets.Target, load: int
    ) -> str:
        """Return why a request can't be in time; empty if it can."""
        if demand.admission_class is not admission.AdmissionClass.FRESH:
            return 'late on arrival'
        if not demand.is_in_time(
            demand.estimate_first_token_ms(
                min(load, target.slots), target.slowness
            )
        ):
            return 'objective out of reach'
        budget = self._get_budget(demand)
        is_free = load < target.slots * FREE_FRACTION and not budget.is_pressed
        if not budget.take(demand, is_free):
            self._unserved.record(demand.priority, demand.model)
            return 'no slot in time'
        return ''

    def _is_aged(
        self, demand: admission.Demand, target: targets.Target, load: int
    ) -> bool:
        """Return whether a late request no longer yields to fresh ones."""
        # The lot's first digits also decide who may be fresh.
        if demand.lot * 1000 % 1 < AGED_FRACTION:
            return True
        needed_ms = demand.estimate_typical_ms(
            min(load, target.slots), target.slowness
        )
        return demand.remaining_ms < needed_ms * AGED_TIMES

    def record_refusal(self, demand: admission.Demand) -> None:
        """Record a request that was refused for lack of room.

        :param demand: what it demands.
        """
        self._unserved.record(demand.priority, demand.model)

    def choose_retry_s(
        self,
        demand: admission.Demand | None,
        retry_s: float,
        is_earliest: bool,
        rng: random.Random,
    ) -> float:
        """Return the Retry-After of a refusal, in s.

        :param demand: what the request demands if it is refused for lack of
            room; None if it is refused for another reason.
        :param retry_s: the usual time for the reason of the refusal.
        :param is_earliest: whether coming back sooner is of no use.
        :param rng: the process's random number generator.
        """
        if demand is None:
            return super().choose_retry_s(demand, retry_s, is_earliest, rng)
        left_s = max(0.0, demand.remaining_ms) / 1000
        most_s = left_s * RETRY_FRACTION
        least_s = min(MIN_RETRY_S, most_s)
        least_s += (most_s - least_s) * self._find_taken_fraction(demand)
        return self._forecast.choose_delay_s(least_s, most_s, rng)

    def _find_taken_fraction(self, demand: admission.Demand) -> float:
        """Return how much of the time to come others' requests will need.

        Callers that were refused before, and more urgent ones, return first.
        """
        capacity_per_s = self._capacities.get(demand.model, 0.0)
        if not capacity_per_s:
            return 0.0
        waiting_per_s = sum(
            self._view.unserved_per_s.get(
                unserved.make_key(priority, demand.model), 0.0
            )
            for priority in range(demand.priority + 1)
        )
        return min(MAX_TAKEN_FRACTION, waiting_per_s / capacity_per_s)

    def _get_budget(
        self, demand: admission.Demand
    ) -> fresh_budget.FreshBudget:
        key = (demand.service, demand.model)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = fresh_budget.FreshBudget()
        return budget


def _limit_priority(demand: admission.Demand) -> int:
    return min(demand.priority, LOWEST_PRIORITY)


def _is_tight(demand: admission.Demand, target: targets.Target) -> bool:
    usual_ms = demand.estimate_first_token_ms(target.slots, target.slowness)
    return not demand.is_in_time(TIGHT_TIMES * usual_ms)
