"""Reads what a request demands from its headers and its route."""

from filbertglade import clock
from filbertglade.costs import tracking
from filbertglade.fleet import document
from filbertglade.forwarding import admission
from filbertglade.forwarding import allowed_regions
from filbertglade.forwarding import context
from filbertglade.forwarding import request_record
from filbertglade.forwarding import server

# Digits of the longest number that is read from a header: every time and count
# is shorter, and Python converts no number of more than 4300 digits.
MAX_NUMBER_DIGITS = 15
# Deadline until the route of a request is known, in ms.
DEFAULT_DEADLINE_MS = 60_000


class RequestDemand:
    """What one request demands.

    :param shared: state that all requests share.
    :param request: the request.
    :param record: holds its route, customer, model and deadline.
    :ivar prompt_tokens: length of its prompt; 0 if unknown.
    :ivar answer_tokens: length of its response as estimated by the caller;
        0 if unknown.
    """

    def __init__(
        self,
        shared: context.ForwardingContext,
        request: server.CallerRequest,
        record: request_record.RequestRecord,
    ) -> None:
        self._context = shared
        self._request = request
        self._record = record
        self._is_caller_retry = False
        self._lot = shared.admission.draw_lot(shared.rng)
        record.deadline_ms = request.received_ms + DEFAULT_DEADLINE_MS
        self.prompt_tokens = 0
        self.answer_tokens = 0

    @property
    def remaining_ms(self) -> int:
        """The time until the deadline."""
        return self._record.deadline_ms - clock.now_ms()

    def limit_deadline(self) -> None:
        """Apply the caller's deadline before the route is known."""
        caller_ms = self._read_caller_deadline()
        if caller_ms is not None:
            self._record.deadline_ms = self._request.received_ms + min(
                DEFAULT_DEADLINE_MS, caller_ms
            )

    def read_deadline(self, route: document.Route) -> None:
        """Read the deadline, which the route and the caller set.

        :param route: the request's route.
        """
        remaining_ms = route.timeout_ms
        caller_ms = self._read_caller_deadline()
        if caller_ms is not None:
            remaining_ms = min(remaining_ms, caller_ms)
            self._is_caller_retry = self._context.deadlines.is_short(
                route.name, caller_ms
            )
        self._record.deadline_ms = self._request.received_ms + int(
            remaining_ms
        )

    def _read_caller_deadline(self) -> int | None:
        """Return the deadline that the caller sent, in ms; None without."""
        text = self._request.headers.get(self._context.dialect.deadline, '')
        return _parse_number(text)

    def choose_service(
        self, index: document.RoutingIndex, route: document.Route
    ) -> bool:
        """Choose the service of the request, and read its model.

        :param index: the document in force.
        :param route: the request's route.
        :returns: whether there are such a service and model.
        """
        weights = [item.weight for item in route.weights]
        chosen = self._context.rng.choices(route.weights, weights)[0]
        service = index.services.get(chosen.service)
        if service is None:
            return False
        self._record.service = service.name
        if not service.models:
            return True
        names = [shape.name for shape in service.models]
        model = self._request.headers.get(self._context.dialect.model, '')
        if not model and len(names) == 1:
            model = names[0]
        self._record.model = model
        self._read_token_counts()
        return model in names

    def _read_token_counts(self) -> None:
        """Read the lengths of the prompt and of the response."""
        dialect = self._context.dialect
        headers = self._request.headers
        counts = headers.get(dialect.token_counts, '')
        prompt, _, max_tokens = counts.partition(',')
        self.prompt_tokens = _parse_count(prompt)
        self.answer_tokens = _parse_count(headers.get(dialect.answer_hint, ''))
        if self.answer_tokens and _parse_count(max_tokens):
            self.answer_tokens = min(
                self.answer_tokens, _parse_count(max_tokens)
            )

    def build(self, route: document.Route) -> admission.Demand:
        """Return what the request demands of a replica now.

        :param route: the request's route.
        """
        admission_class = admission.AdmissionClass.FRESH
        waited_ms = clock.now_ms() - self._request.received_ms
        if self._is_caller_retry or waited_ms > route.objective_ms / 2 > 0:
            admission_class = admission.AdmissionClass.LATE
        if self._request.is_response_started:
            admission_class = admission.AdmissionClass.STARTED
        index = self._context.view.index
        service = index.services.get(self._record.service) if index else None
        customer = self._record.customer
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        demand = admission.Demand(
            self._record.service,
            self._record.model,
            admission_class,
            route.objective_ms,
            self.remaining_ms,
            self.prompt_tokens,
            self.answer_tokens,
            service.engine if service is not None else None,
            allowed_regions.find_allowed(route, customer),
            priority=priority,
            route=route.name,
            customer=self._record.customer_name,
            lot=self._lot,
        )
        if self._context.costs is None:
            return demand
        return tracking.add_cost(
            demand,
            self._context.costs,
            self._context.dialect,
            self._request,
            self._record,
        )


def _parse_count(text: str) -> int:
    """Return a token count from a header; 0 if it holds none."""
    return _parse_number(text.strip()) or 0


def _parse_number(text: str) -> int | None:
    """Return a number from a header; None if it is none or absurdly long."""
    if len(text) > MAX_NUMBER_DIGITS:
        return None
    return int(text) if text.isascii() and text.isdecimal() else None
