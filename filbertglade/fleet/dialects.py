"""Names of headers and paths between callers, gateways and endpoints."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """The names that one kind of deployment uses.

    :param request_id: names a request; endpoints send it back.
    :param deadline: milliseconds that the caller will wait.
    :param key: the caller's key; never sent on.
    :param customer: name of the key's customer, for endpoints.
    :param target: id of the only endpoint that may run the request.
    :param not_run: on an answer: the request was not run.
    :param load: on an answer: running and waiting requests, and slots.
    :param faulty_endpoint: on an answer: the endpoint that is at fault.
    :param model: the model that a request is for.
    :param token_counts: prompt tokens and the most output tokens.
    :param answer_hint: tokens of the answer as the caller estimates them.
    :param resume_after: the last event of a stream that was received.
    :param order_path: where engines take orders.
    :param report_path: where engines tell their state.
    """

    request_id: str = 'Filbertglade-Request-Id'
    deadline: str = 'Filbertglade-Deadline-Ms'
    key: str = 'Filbertglade-Key'
    customer: str = 'Filbertglade-Customer'
    target: str = 'Filbertglade-Endpoint'
    not_run: str = 'Filbertglade-Not-Run'
    load: str = 'Filbertglade-Load'
    faulty_endpoint: str = 'Filbertglade-Faulty-Endpoint'
    model: str = 'Filbertglade-Model'
    token_counts: str = 'Filbertglade-Token-Counts'
    answer_hint: str = 'Filbertglade-Answer-Hint'
    resume_after: str = 'Last-Event-Id'
    order_path: str = '/order'
    report_path: str = '/report'


DEFAULT = Dialect()
