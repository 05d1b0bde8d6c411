"""Header names and paths used by callers, gateways and endpoints."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """The names that one kind of deployment uses on the wire.

    :param request_id: id of the request; endpoints return it.
    :param deadline: time that the caller will wait, in ms.
    :param key: the caller's key; never forwarded.
    :param customer: name of the key's customer, sent to endpoints.
    :param target: id of the only endpoint that may run the request.
    :param not_run: in a response: the request was not run.
    :param signature: in a response: shows that an endpoint made it.
    :param load: in a response: running and waiting requests, and slots.
    :param limit: in a response: requests a second that the endpoint takes from
        all nodes together.
    :param leaving: in a response: the endpoint is leaving.
    :param faulty_endpoint: in a response: the endpoint at fault.
    :param model: the model that a request is for.
    :param token_counts: prompt tokens and maximum output tokens.
    :param prompt_parts: ids of the prompt's parts in order, each with its
        tokens, as in ``id:tokens,id:tokens``. Requests share all but the last.
    :param answer_hint: caller's estimate of the output tokens.
    :param cold: in a response: how much longer the endpoint is cold, in ms.
    :param engine_priority: urgency of a request to an engine, 0 to 9; 0 is
        the most urgent.
    :param resume_after: id of the last event received from a stream.
    :param order_path: path at which engines accept orders.
    :param report_path: path at which engines report their state.
    """

    request_id: str = 'Filbertglade-Request-Id'
    deadline: str = 'Filbertglade-Deadline-Ms'
    key: str = 'Filbertglade-Key'
    customer: str = 'Filbertglade-Customer'
    target: str = 'Filbertglade-Endpoint'
    not_run: str = 'Filbertglade-Not-Run'
    signature: str = 'Filbertglade-Signature'
    load: str = 'Filbertglade-Load'
    limit: str = 'Filbertglade-Limit'
    leaving: str = 'Filbertglade-Leaving'
    faulty_endpoint: str = 'Filbertglade-Faulty-Endpoint'
    model: str = 'Filbertglade-Model'
    token_counts: str = 'Filbertglade-Token-Counts'
    prompt_parts: str = 'Filbertglade-Prompt-Parts'
    answer_hint: str = 'Filbertglade-Answer-Hint'
    cold: str = 'Filbertglade-Cold-Ms'
    engine_priority: str = 'Filbertglade-Priority'
    resume_after: str = 'Last-Event-Id'
    order_path: str = '/order'
    report_path: str = '/report'


DEFAULT = Dialect()
