"""Selects the better of two targets that are drawn at random."""

import random

from filbertglade.costs import policy
from filbertglade.costs import speeds
from filbertglade.costs import work
from filbertglade.forwarding import admission
from filbertglade.forwarding import loads
from filbertglade.forwarding import targets

# Least free capacity that a target counts as having, as a fraction of its
# slots. Reports are out of date, and the comparison uses them already: where
# they also decide who is drawn, hosts with one report draw the same targets.
# In benchmarks/costs.py a fraction of 0.05 raised the p95 of the time to the
# first token by a fifth or more.
MIN_FREE_FRACTION = 0.75
# Part of the requests that are sent to the first target drawn. The worst of
# all targets loses each comparison, so that it would get no request and its
# speed would not be learned anew.
UNCOMPARED_PART = 0.05


class TwoChoicesPolicy(policy.SelectionPolicy):
    """Takes the better of two targets by the time to the first token.

    Hosts that see the same report don't choose the same target, since each
    draws its own two.

    :param data_centre: this node's data centre.
    :param load_tracker: counts of the requests in flight.
    :param target_speeds: the targets' speeds.
    :param rng: the process's random number generator.
    """

    def __init__(
        self,
        data_centre: str,
        load_tracker: loads.LoadTracker,
        target_speeds: speeds.TargetSpeeds,
        rng: random.Random,
    ) -> None:
        super().__init__(rng)
        self._data_centre = data_centre
        self._loads = load_tracker
        self._speeds = target_speeds

    def select(
        self, options: list[targets.Target], demand: admission.Demand
    ) -> targets.Target:
        """Select one of several targets.

        :param options: the targets; at least one.
        :param demand: what the request demands.
        """
        if len(options) == 1:
            return options[0]
        weights = [self._find_free(target) for target in options]
        drawn = []
        for _ in range(2):
            position = self._rng.choices(range(len(options)), weights)[0]
            weights[position] = 0.0
            drawn.append(options[position])
        if self._rng.random() < UNCOMPARED_PART:
            return drawn[0]
        return min(drawn, key=lambda target: self.rate(target, demand))

    def rate(self, target: targets.Target, demand: admission.Demand) -> float:
        """Estimate the time to a request's first token on a target, in ms.

        Without figures of an engine and a learned cost it is a multiple of an
        unknown time, which is the same for all targets.

        :param target: the target.
        :param demand: what the request demands.
        """
        load = self._loads.count_in_flight(target)
        slowness = target.slowness * self._speeds.get_factor(target)
        is_remote = target.data_centre != self._data_centre
        slots = max(1, target.slots)
        cost = demand.cost
        if demand.engine is None or not demand.model:
            # Part of the slots that are free may be in use by requests that
            # are not reported yet, so that their number counts, too.
            waiting = (load + 1) / slots
            if cost is not None and cost.slot_ms:
                own_ms = slowness * cost.slot_ms * waiting
                return own_ms + is_remote * policy.CROSS_DATA_CENTRE_MS
            remote = is_remote * policy.CROSS_DATA_CENTRE_REQUESTS / slots
            return slowness * waiting + remote
        first_ms = demand.estimate_first_token_ms(load, slowness)
        # A slot becomes free with each response that ends.
        waiting = max(0, load + 1 - slots) / slots
        first_ms += waiting * demand.estimate_usual_ms(slots, slowness)
        if cost is not None:
            times = work.EngineTimes(demand.engine, demand.model)
            first_ms += slowness * times.find_reread_ms(cost, load)
        return first_ms + is_remote * policy.CROSS_DATA_CENTRE_MS

    def _find_free(self, target: targets.Target) -> float:
        """Return a target's free capacity, in slots of normal speed."""
        load: float = self._loads.count_in_flight(target)
        if target.data_centre != self._data_centre:
            load += policy.CROSS_DATA_CENTRE_REQUESTS
        slots = max(1, target.slots)
        free = max(slots - load, MIN_FREE_FRACTION * slots)
        return free / (target.slowness * self._speeds.get_factor(target))
