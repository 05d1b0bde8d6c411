"""Reading of callers' requests, bounded and checked."""

import hashlib
import json

from tornado import httputil

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.membership import view
from filbertglade.requests import endpoints
from filbertglade.requests import outcomes
from filbertglade.requests import runner

KEY_HEADER = 'Idempotency-Key'
KEY_LENGTH = 255
IDEMPOTENT_HEADER = 'X-Idempotent'
DEADLINE_HEADER = 'X-Deadline-Ms'
BEARER = 'Bearer '

Reason = outcomes.RefusalReason


def find_customer(
    document: configuration_model.Document, headers: httputil.HTTPHeaders
) -> configuration_model.Customer | outcomes.Refusal:
    """Find the customer whose key a request carries.

    :param document: the document in force.
    :param headers: the request's headers.
    :returns: the customer, or a refusal.
    """
    given = headers.get('Authorization', '')
    if not given.startswith(BEARER):
        return outcomes.Refusal(
            Reason.UNAUTHENTICATED, 'a Bearer key is required'
        )
    secret = given[len(BEARER) :].strip()
    hashed = hashlib.sha256(secret.encode()).hexdigest()
    for customer in document.customers:
        if customer.key_sha256 == hashed:
            return customer
    return outcomes.Refusal(Reason.UNAUTHENTICATED, 'the key is unknown')


def read_model_call(
    fleet: view.FleetView, request: httputil.HTTPServerRequest
) -> runner.CallerRequest | outcomes.Refusal:
    """Read a call of a model.

    :param fleet: the node's view, with the document in force.
    :param request: the HTTP request with its whole body.
    :returns: the checked request, or a refusal.
    """
    document = _find_document(fleet)
    if isinstance(document, outcomes.Refusal):
        return document
    customer = find_customer(document, request.headers)
    if isinstance(customer, outcomes.Refusal):
        return customer
    body = _read_json_object(request.body)
    if isinstance(body, outcomes.Refusal):
        return body
    name = body.get('model')
    if not isinstance(name, str):
        return _bad("'model' must be a string")
    is_stream = body.get('stream', False)
    if not isinstance(is_stream, bool):
        return _bad("'stream' must be true or false")
    deployment = _find_deployment(document, customer, name)
    if deployment is None:
        return outcomes.Refusal(
            Reason.NO_SUCH_MODEL, f'no model {name!r} for this customer'
        )
    return _build_request(
        document, customer, request, name, False, is_stream, True
    )


def read_service_call(
    fleet: view.FleetView,
    request: httputil.HTTPServerRequest,
    name: str,
    path: str,
) -> runner.CallerRequest | outcomes.Refusal:
    """Read a call of a plain service.

    :param fleet: the node's view, with the document in force.
    :param request: the HTTP request with its whole body.
    :param name: the service's name.
    :param path: path behind the name, with the query.
    :returns: the checked request, or a refusal.
    """
    document = _find_document(fleet)
    if isinstance(document, outcomes.Refusal):
        return document
    customer = find_customer(document, request.headers)
    if isinstance(customer, outcomes.Refusal):
        return customer
    for service in document.services:
        if service.name == name and customer.name in service.customers:
            break
    else:
        return outcomes.Refusal(
            Reason.NO_SUCH_SERVICE, f'no service {name!r} for this customer'
        )
    is_repeatable = not any(
        rule.method in ('*', request.method)
        and path.startswith(rule.path_prefix)
        for rule in service.not_repeatable
    )
    built = _build_request(
        document, customer, request, name, True, False, is_repeatable
    )
    if isinstance(built, runner.CallerRequest):
        built.call.path = path
    return built


def _find_document(
    fleet: view.FleetView,
) -> configuration_model.Document | outcomes.Refusal:
    if fleet.document is None or not fleet.is_confirmed:
        return outcomes.Refusal(
            Reason.NOT_CONFIGURED,
            'this node has no confirmed configuration yet',
            retry_after_ms=runner.RETRY_AFTER_MS,
        )
    return fleet.document


def _find_deployment(
    document: configuration_model.Document,
    customer: configuration_model.Customer,
    name: str,
) -> configuration_model.Deployment | None:
    for deployment in document.deployments:
        if deployment.name == name and customer.name in deployment.customers:
            return deployment
    return None


def _read_json_object(
    body: bytes,
) -> dict[str, object] | outcomes.Refusal:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        return _bad('the body is not valid JSON')
    if not isinstance(data, dict):
        return _bad('the body must be a JSON object')
    return data


def _build_request(
    document: configuration_model.Document,
    customer: configuration_model.Customer,
    request: httputil.HTTPServerRequest,
    target: str,
    is_service: bool,
    is_stream: bool,
    is_repeatable: bool,
) -> runner.CallerRequest | outcomes.Refusal:
    key = request.headers.get(KEY_HEADER, '')
    if len(key) > KEY_LENGTH:
        return _bad(f'{KEY_HEADER} is longer than {KEY_LENGTH} characters')
    marked = request.headers.get(IDEMPOTENT_HEADER, 'true').lower()
    if marked not in ('true', 'false'):
        return _bad(f'{IDEMPOTENT_HEADER} must be true or false')
    deadline = request.headers.get(
        DEADLINE_HEADER, str(document.limits.default_deadline_ms)
    )
    if not deadline.isdecimal() or not int(deadline):
        return _bad(f'{DEADLINE_HEADER} must be a positive whole number')
    headers = {
        'Content-Type': request.headers.get(
            'Content-Type', 'application/json'
        ),
        'X-Customer': customer.name,
    }
    return runner.CallerRequest(
        customer=customer,
        target=target,
        is_service=is_service,
        call=endpoints.Call(
            request.method or 'GET', request.path, headers, request.body
        ),
        is_stream=is_stream,
        is_repeatable=is_repeatable and marked == 'true',
        key=key,
        deadline_ms=clock.now_ms() + int(deadline),
    )


def _bad(detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(Reason.BAD_REQUEST, detail)
