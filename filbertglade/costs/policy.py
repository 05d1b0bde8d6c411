"""Policies that select a target from those that may be sent a request."""

import abc
from collections import abc as collections_abc
import copy
import dataclasses
import random
import typing

from filbertglade.costs import backlog
from filbertglade.costs import speeds
from filbertglade.costs import work
from filbertglade.forwarding import admission
from filbertglade.forwarding import loads
from filbertglade.forwarding import targets

# Cost of a target in another data centre, in requests in flight.
CROSS_DATA_CENTRE_REQUESTS = 1.5
# The same in ms of waiting: a round trip takes 8 ms, and links are shared.
CROSS_DATA_CENTRE_MS = 15.0
# Factor by which more work than the unreported is distributed. It spreads
# requests further, since prompts that arrive together delay each other: in
# benchmarks/costs.py it lowers the p95 of the time to the first token.
SPREAD_FACTOR = 2.0


class SelectionPolicy(abc.ABC):
    """Selects targets by their load.

    :param rng: the process's random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def copy_with(self, rng: random.Random) -> typing.Self:
        """Return a copy that draws other random numbers.

        :param rng: its random number generator.
        """
        other = copy.copy(self)
        other._rng = rng
        return other

    @abc.abstractmethod
    def rate(self, target: targets.Target, demand: admission.Demand) -> float:
        """Return what is compared of targets; less is better.

        :param target: the target.
        :param demand: what the request demands.
        """

    def rate_speed(self, target: targets.Target) -> targets.Target:
        """Return a target with its slowness as this host sees it.

        :param target: the target, which serves a model.
        """
        return target

    @abc.abstractmethod
    def select(
        self, options: list[targets.Target], demand: admission.Demand
    ) -> targets.Target:
        """Select one of several targets.

        :param options: the targets; at least one.
        :param demand: what the request demands.
        """


class LoadPolicy(SelectionPolicy):
    """Selects by the requests in flight of all nodes.

    :param data_centre: this node's data centre.
    :param load_tracker: counts of the requests in flight.
    :param rng: the process's random number generator.
    """

    def __init__(
        self,
        data_centre: str,
        load_tracker: loads.LoadTracker,
        rng: random.Random,
    ) -> None:
        super().__init__(rng)
        self._data_centre = data_centre
        self._loads = load_tracker

    def select(
        self, options: list[targets.Target], demand: admission.Demand
    ) -> targets.Target:
        """Select one of several targets.

        :param options: the targets; at least one.
        :param demand: what the request demands.
        """
        costs = [(self.rate(target, demand), target) for target in options]
        unreported = self._loads.estimate_unreported(options[0].model)
        return select_by_filling(costs, unreported, self._rng)

    def rate(self, target: targets.Target, demand: admission.Demand) -> float:
        """Return what a request costs on a target, in requests in flight.

        :param target: the target.
        :param demand: what the request demands.
        """
        load = (self._loads.count_in_flight(target) + 1) * target.slowness
        is_remote = target.data_centre != self._data_centre
        return load + is_remote * CROSS_DATA_CENTRE_REQUESTS


class CostPolicy(SelectionPolicy):
    """Selects by the estimated work that targets have left.

    :param data_centre: this node's data centre.
    :param load_tracker: counts of the requests in flight.
    :param known_backlog: the targets' work.
    :param target_speeds: the targets' speeds.
    :param rng: the process's random number generator.
    """

    def __init__(
        self,
        data_centre: str,
        load_tracker: loads.LoadTracker,
        known_backlog: backlog.Backlog,
        target_speeds: speeds.TargetSpeeds,
        rng: random.Random,
    ) -> None:
        super().__init__(rng)
        self._data_centre = data_centre
        self._loads = load_tracker
        self._backlog = known_backlog
        self._speeds = target_speeds

    def rate_speed(self, target: targets.Target) -> targets.Target:
        """Return a target with its slowness as this host sees it.

        :param target: the target, which serves a model.
        """
        return dataclasses.replace(
            target, slowness=self._find_slowness(target)
        )

    def select(
        self, options: list[targets.Target], demand: admission.Demand
    ) -> targets.Target:
        """Select one of several targets.

        :param options: the targets; at least one.
        :param demand: what the request demands.
        """
        costs = [(self.rate(target, demand), target) for target in options]
        unreported_ms = max(
            SPREAD_FACTOR
            * self._backlog.estimate_unreported_ms(options[0].model),
            # Another node may choose at the same time.
            self._find_work_ms(options[0], demand) / 2,
        )
        return select_by_filling(costs, unreported_ms, self._rng)

    def rate(self, target: targets.Target, demand: admission.Demand) -> float:
        """Estimate what a request costs on a target, in ms of waiting.

        It is the time to the target's end of all work with this request, and
        what the request delays the others there.

        :param target: the target.
        :param demand: what the request demands.
        """
        own_ms = self._find_work_ms(target, demand)
        load = self._loads.count_in_flight(target)
        delay_ms = own_ms * load / max(1, target.slots)
        if demand.engine is not None and demand.cost is not None:
            times = work.EngineTimes(demand.engine, demand.model)
            delay_ms += times.find_reread_ms(demand.cost, load)
        waiting_ms = self._backlog.find_remaining_ms(target) + own_ms
        is_remote = target.data_centre != self._data_centre
        return (
            self._find_slowness(target) * (waiting_ms + delay_ms)
            + is_remote * CROSS_DATA_CENTRE_MS
        )

    def _find_slowness(self, target: targets.Target) -> float:
        return target.slowness * self._speeds.get_factor(target)

    def _find_work_ms(
        self, target: targets.Target, demand: admission.Demand
    ) -> float:
        """Return the work of a request on a target of normal speed."""
        cost = demand.cost
        if cost is None:
            return 1.0
        if demand.engine is None or not demand.model:
            return cost.slot_ms / max(1, target.slots)
        times = work.EngineTimes(demand.engine, demand.model)
        return times.find_work_ms(cost)


def select_by_filling(
    costs: collections_abc.Iterable[tuple[float, targets.Target]],
    unreported: float,
    rng: random.Random,
) -> targets.Target:
    """Select at random, weighted by the gap to a common load level.

    If every node chose the least loaded target, all requests would go to
    it until the next frame reports its new load. Instead, the estimated
    unreported requests are distributed over the targets by water-filling:
    they raise the least loaded targets to a common level. Each target is
    chosen with a probability proportional to what it receives.

    :param costs: the targets with their costs; at least one.
    :param unreported: the cost of all requests that are unreported.
    :param rng: the process's random number generator.
    """
    ordered = sorted(costs, key=lambda item: item[0])
    level, placed = ordered[0][0], 0.0
    for filled_count, (cost, _) in enumerate(ordered[1:], start=1):
        if placed + filled_count * (cost - level) >= unreported:
            break
        placed += filled_count * (cost - level)
        level = cost
    else:
        filled_count = len(ordered)
    level += (unreported - placed) / filled_count
    weights = [max(0.0, level - cost) for cost, _ in ordered]
    return rng.choices(ordered, weights)[0][1]
