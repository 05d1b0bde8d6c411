"""Log lines and counts of one request."""

import typing

from filbertglade.fleet import document
from filbertglade.fleet import view
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)


class RequestRecord:
    """Logs and counts the decisions about one request.

    :param request_id: the request's id.
    :param fleet_view: the node's view.
    :param counters: the process's metrics.
    :ivar route: the request's route; None until it is known.
    :ivar customer: the caller's customer; None if there is none.
    :ivar service: name of the service that is to run it.
    :ivar deadline_ms: its deadline, by the local clock.
    :ivar model: name of the model; empty for a plain service.
    :ivar send_count: number of sends to endpoints.
    :ivar run_count: those that ran the request or may have run it; the others
        were rejected by endpoints that say that they did not run it.
    """

    __slots__ = (
        '_counters',
        '_view',
        'customer',
        'deadline_ms',
        'model',
        'request_id',
        'route',
        'run_count',
        'send_count',
        'service',
    )

    def __init__(
        self,
        request_id: str,
        fleet_view: view.FleetView,
        counters: metrics.Metrics,
    ) -> None:
        self.request_id = request_id
        self._view = fleet_view
        self._counters = counters
        self.route: document.Route | None = None
        self.customer: document.Customer | None = None
        self.deadline_ms = 0
        self.service = ''
        self.model = ''
        self.send_count = 0
        self.run_count = 0

    @property
    def route_name(self) -> str:
        """The route's name; empty until it is known."""
        return self.route.name if self.route is not None else ''

    @property
    def customer_name(self) -> str:
        """The customer's name; empty if there is none."""
        return self.customer.name if self.customer is not None else ''

    def describe_document(self) -> dict[str, int | None]:
        """Return the log fields that show how certain the document is."""
        return {
            'document': self._view.version,
            'announced_document': self._view.announced_version,
            'view_age_ms': self._view.age_ms(),
        }

    def count(self, name: str, outcome: str = '') -> None:
        """Count an event.

        :param name: name of the counter.
        :param outcome: how the request ended, if it did.
        """
        self._counters.count(
            name,
            route=self.route_name,
            service=self.service,
            customer=self.customer_name,
            outcome=outcome,
        )

    def write(self, event: str, **fields: typing.Any) -> None:
        """Write a log line.

        :param event: what happened.
        :param fields: further fields of the line.
        """
        log.request(
            event,
            self.request_id,
            route=self.route.name if self.route else None,
            model=self.model,
            **fields,
        )
