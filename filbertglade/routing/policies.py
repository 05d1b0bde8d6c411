"""The policy that the settings name."""

import random

from filbertglade.membership import view
from filbertglade.routing import baselines
from filbertglade.routing import expected_wait
from filbertglade.routing import selection
from filbertglade.settings import model


def build_selector(
    settings: model.NodeSettings, fleet: view.FleetView, rng: random.Random
) -> selection.Selector:
    """Build the selector that the settings name.

    :param settings: the node's settings.
    :param fleet: the node's view, which passes cache events on.
    :param rng: the process's random numbers.
    :returns: the selector.
    """
    policy = settings.routing.policy
    if policy is model.SelectionPolicy.RANDOM:
        return baselines.RandomSelector(rng)
    if policy is model.SelectionPolicy.ROUND_ROBIN:
        return baselines.RoundRobinSelector(rng)
    if policy is model.SelectionPolicy.LEAST_LOAD:
        return baselines.LeastLoadSelector(rng)
    selector = expected_wait.ExpectedWaitSelector(settings, rng)
    fleet.add_cache_listener(selector.take_cache_event)
    return selector
