"""Construction of the selection policy that the settings name."""

import random

from filbertglade.membership import view
from filbertglade.routing import baselines
from filbertglade.routing import expected_wait
from filbertglade.routing import selection
from filbertglade.settings import model


def build_selector(
    settings: model.NodeSettings, fleet: view.FleetView, rng: random.Random
) -> selection.Selector:
    """Build the selector for the policy in the settings.

    :param settings: the node's settings.
    :param fleet: the node's view of the fleet, which passes cache events to
        listeners.
    :param rng: the process's random number generator.
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
    fleet.add_cache_listener(selector.apply_cache_event)
    return selector
