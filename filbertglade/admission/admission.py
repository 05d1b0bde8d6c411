"""Admission of requests: limits, queues and deadlines."""

import dataclasses
import random

from filbertglade.admission import permits
from filbertglade.admission import tickets
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import outcomes
from filbertglade.settings import model


@dataclasses.dataclass(slots=True)
class Demand:
    """What a customer asks of this node.

    :param customer: its name.
    :param requests_per_s: requests that arrived, refused ones included.
    :param tokens_per_s: tokens that they were expected to cost.
    """

    customer: str
    requests_per_s: float
    tokens_per_s: float


class Admission:
    """Decides which requests run, and when."""

    def __init__(
        self,
        settings: model.NodeSettings,
        fleet: view.FleetView,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._counters = counters
        self._rng = rng

    async def start(self) -> None:
        """Begin to reconsider waiting requests from time to time."""

    async def close(self) -> None:
        """Stop, and refuse what still waits."""

    async def admit(
        self, ticket: tickets.Ticket
    ) -> permits.Permit | outcomes.Refusal:
        """Wait for the right to run a request.

        :param ticket: the request.
        :returns: a permit, which the caller must release; or a refusal,
            given as soon as it is known that the request won't run.
        """
        return permits.Permit(ticket, lambda permit: None)

    def demand(self) -> list[Demand]:
        """Return what each customer asks of this node.

        :returns: one entry a customer that called lately.
        """
        return []
