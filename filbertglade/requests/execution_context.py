"""What all executions of a node share."""

import dataclasses

from filbertglade.membership import attachment
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import endpoint_pool
from filbertglade.requests import endpoint_wait
from filbertglade.requests import retry_budget
from filbertglade.requests import strike_tracker
from filbertglade.routing import selection
from filbertglade.settings import model


@dataclasses.dataclass(slots=True)
class ExecutionContext:
    """What all executions of a node share.

    :param settings: the node's settings.
    :param fleet: the node's view.
    :param attached: where losses are reported.
    :param pool: connections to endpoints.
    :param selector: the policy that chooses endpoints.
    :param budget: the budget of further tries.
    :param strikes: strikes against requests.
    :param gaps: until when requests wait for an endpoint to come.
    :param counters: the process's metrics.
    """

    settings: model.NodeSettings
    fleet: view.FleetView
    attached: attachment.Attachment
    pool: endpoint_pool.EndpointPool
    selector: selection.Selector
    budget: retry_budget.RetryBudget
    strikes: strike_tracker.StrikeTracker
    gaps: endpoint_wait.EndpointWaitLimits
    counters: metrics.Metrics
