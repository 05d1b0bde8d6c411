"""Shared dependencies of all executions of a node."""

import dataclasses

from filbertglade.membership import attachment
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import endpoint_pool
from filbertglade.requests import endpoint_wait
from filbertglade.requests import permitted_endpoints
from filbertglade.requests import retry_budget
from filbertglade.requests import strikes
from filbertglade.routing import selection
from filbertglade.settings import model


@dataclasses.dataclass(slots=True)
class ExecutionContext:
    """Shared dependencies of all executions of a node.

    :param settings: the node's settings.
    :param fleet: the node's view of the fleet.
    :param attached: the attachment to the control hosts, which reports losses.
    :param pool: connections to endpoints.
    :param selector: the policy that chooses endpoints.
    :param budget: the retry budget.
    :param strikes: the strikes of requests.
    :param permitted: which endpoints may be sent requests.
    :param wait_limits: until when requests wait for an endpoint.
    :param counters: the process's metrics.
    """

    settings: model.NodeSettings
    fleet: view.FleetView
    attached: attachment.Attachment
    pool: endpoint_pool.EndpointPool
    selector: selection.Selector
    budget: retry_budget.RetryBudget
    strikes: strikes.StrikeTracker
    permitted: permitted_endpoints.PermittedEndpoints
    wait_limits: endpoint_wait.EndpointWaitLimits
    counters: metrics.Metrics
