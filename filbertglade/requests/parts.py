"""What all executions of a node share."""

import dataclasses

from filbertglade.membership import attachment
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import endpoints
from filbertglade.requests import gaps
from filbertglade.requests import retries
from filbertglade.requests import strikes
from filbertglade.routing import selection
from filbertglade.settings import model


@dataclasses.dataclass(slots=True)
class ExecutionParts:
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
    pool: endpoints.EndpointPool
    selector: selection.Selector
    budget: retries.RetryBudget
    strikes: strikes.StrikeBook
    gaps: gaps.EndpointGaps
    counters: metrics.Metrics
