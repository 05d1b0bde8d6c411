"""Parsing and validation of callers' requests."""

import dataclasses
import hashlib
import json
from urllib import parse

from tornado import httputil

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.membership import view
from filbertglade.requests import caller_request
from filbertglade.requests import endpoint_pool
from filbertglade.requests import outcomes
from filbertglade.routing import prefixes

KEY_HEADER = 'Idempotency-Key'
MAX_KEY_CHARACTERS = 255
IDEMPOTENT_HEADER = 'X-Idempotent'
FIRST_SEND_HEADER = 'X-First-Send'
DEADLINE_HEADER = 'X-Deadline-Ms'
MAX_DIGITS = 12
DEADLINE_LIMIT_MS = 3_600_000
MIN_CLAIM_KEPT_MS = 600_000
# For estimates of the work only.
PROMPT_BYTES_PER_TOKEN = 16
SERVICES_PATH = '/services/'
# Hop-by-hop headers, the caller's credentials, and headers that only the node
# itself may set for an endpoint.
UNFORWARDED_HEADERS = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-customer',
        'x-deadline-ms',
        'x-epoch',
        'x-group',
        'x-priority',
        'x-request-id',
        'x-resume-from',
    )
)
BEARER = 'Bearer '

Reason = outcomes.RefusalReason


def find_customer(
    document: configuration_model.Document, headers: httputil.HTTPHeaders
) -> configuration_model.Customer | outcomes.Refusal:
    """Return the customer whose key a request carries.

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


@dataclasses.dataclass(frozen=True, slots=True)
class AuthenticatedCaller:
    """An authenticated customer and the document that lists it.

    :param document: the document in force.
    :param customer: the customer whose key the request carries.
    """

    document: configuration_model.Document
    customer: configuration_model.Customer


def _authenticate(
    fleet: view.FleetView, headers: httputil.HTTPHeaders
) -> AuthenticatedCaller | outcomes.Refusal:
    document = _find_document(fleet, headers)
    if isinstance(document, outcomes.Refusal):
        return document
    customer = find_customer(document, headers)
    if isinstance(customer, outcomes.Refusal):
        return customer
    return AuthenticatedCaller(document, customer)


def read_model_call(
    fleet: view.FleetView, request: httputil.HTTPServerRequest
) -> caller_request.CallerRequest | outcomes.Refusal:
    """Parse and check a request for a model.

    :param fleet: the node's view of the fleet, with the document in force.
    :param request: the HTTP request with its complete body.
    :returns: the checked request, or a refusal.
    """
    known = _authenticate(fleet, request.headers)
    if isinstance(known, outcomes.Refusal):
        return known
    document = known.document
    customer = known.customer
    body = _read_json_object(request.body)
    if isinstance(body, outcomes.Refusal):
        return body
    name = body.get('model')
    if not isinstance(name, str):
        return _build_bad_request("'model' must be a string")
    is_stream = body.get('stream', False)
    if not isinstance(is_stream, bool):
        return _build_bad_request("'stream' must be true or false")
    deployment = _find_deployment(document, customer, name)
    if deployment is None:
        return outcomes.Refusal(
            Reason.NO_SUCH_MODEL, f'no model {name!r} for this customer'
        )
    built = _build_request(document, customer, request, name, True)
    if isinstance(built, caller_request.CallerRequest):
        built.is_stream = is_stream
        # The node parses the events, so they must not be compressed.
        built.call.headers.pop('Accept-Encoding', None)
        built.expected_tokens = _estimate_tokens(body, request.body)
        built.prefix_hashes = prefixes.hash_prefixes(_read_prompt(body))
    return built


def _read_prompt(body: dict[str, object]) -> str:
    """Return the text of the prompt, whose prefixes an engine caches."""
    prompt = body.get('prompt')
    if isinstance(prompt, str):
        return prompt
    messages = body.get('messages')
    if not isinstance(messages, list):
        return ''
    return '\n'.join(
        str(message.get('content', ''))
        for message in messages
        if isinstance(message, dict)
    )


def _estimate_tokens(body: dict[str, object], text: bytes) -> int:
    requested = body.get('max_tokens')
    tokens = requested if isinstance(requested, int) and requested > 0 else 1
    return tokens + len(text) // PROMPT_BYTES_PER_TOKEN


def read_service_call(
    fleet: view.FleetView, request: httputil.HTTPServerRequest
) -> caller_request.CallerRequest | outcomes.Refusal:
    """Parse and check a request for a plain service.

    :param fleet: the node's view of the fleet, with the document in force.
    :param request: the HTTP request with its complete body.
    :returns: the checked request, or a refusal.
    """
    known = _authenticate(fleet, request.headers)
    if isinstance(known, outcomes.Refusal):
        return known
    document = known.document
    customer = known.customer
    name, path = _split_service_path(request.path)
    service = _find_service(document, customer, name)
    if service is None:
        return outcomes.Refusal(
            Reason.NO_SUCH_SERVICE, f'no service {name!r} for this customer'
        )
    plain_path = parse.unquote(path)
    is_repeatable = not any(
        rule.method in ('*', request.method)
        and plain_path.startswith(rule.path_prefix)
        for rule in service.not_repeatable
    )
    built = _build_request(document, customer, request, name, is_repeatable)
    if isinstance(built, caller_request.CallerRequest):
        built.is_service = True
        built.call.path = f'{path}?{request.query}' if request.query else path
    return built


def _split_service_path(path: str) -> tuple[str, str]:
    name, _, rest = path.removeprefix(SERVICES_PATH).partition('/')
    return parse.unquote(name), f'/{rest}'


def _find_service(
    document: configuration_model.Document,
    customer: configuration_model.Customer,
    name: str,
) -> configuration_model.Service | None:
    for service in document.services:
        if service.name == name and customer.name in service.customers:
            return service
    return None


def _find_document(
    fleet: view.FleetView, headers: httputil.HTTPHeaders
) -> configuration_model.Document | outcomes.Refusal:
    if fleet.document is None or not fleet.is_confirmed:
        # An earlier attempt with this key may have run on another node.
        is_keyed = KEY_HEADER in headers and not _is_first_send(headers)
        return outcomes.Refusal(
            Reason.NOT_CONFIGURED,
            'this node has no confirmed configuration yet',
            outcome=(
                outcomes.Outcome.UNKNOWN
                if is_keyed
                else outcomes.Outcome.NOT_RUN
            ),
            retry_after_ms=outcomes.RETRY_AFTER_MS,
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
        return _build_bad_request('the body is not valid JSON')
    if not isinstance(data, dict):
        return _build_bad_request('the body must be a JSON object')
    return data


def _build_request(
    document: configuration_model.Document,
    customer: configuration_model.Customer,
    request: httputil.HTTPServerRequest,
    target: str,
    is_repeatable: bool,
) -> caller_request.CallerRequest | outcomes.Refusal:
    headers = request.headers
    key = headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_CHARACTERS:
        return _build_bad_request(
            f'{KEY_HEADER} is longer than {MAX_KEY_CHARACTERS} characters'
        )
    marked = headers.get(IDEMPOTENT_HEADER, 'true').lower()
    if marked not in ('true', 'false'):
        return _build_bad_request(f'{IDEMPOTENT_HEADER} must be true or false')
    deadline = headers.get(
        DEADLINE_HEADER, str(document.limits.default_deadline_ms)
    )
    deadline_ms = _read_positive(deadline)
    if deadline_ms is None:
        return _build_bad_request(
            f'{DEADLINE_HEADER} must be a positive whole number'
        )
    limits = document.limits
    return caller_request.CallerRequest(
        customer=customer,
        target=target,
        is_service=False,
        call=endpoint_pool.Call(
            request.method or 'GET',
            request.path,
            _select_headers(headers, customer),
            request.body,
        ),
        is_stream=False,
        is_repeatable=is_repeatable and marked == 'true',
        key=key,
        is_first_send=_is_first_send(headers),
        deadline_ms=clock.now_ms() + min(deadline_ms, DEADLINE_LIMIT_MS),
        claim_kept_ms=max(limits.claim_kept_ms, MIN_CLAIM_KEPT_MS),
    )


def _read_positive(text: str) -> int | None:
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS):
        return None
    return int(text) or None


def _is_first_send(headers: httputil.HTTPHeaders) -> bool:
    return headers.get(FIRST_SEND_HEADER, '').lower() == 'true'


def _select_headers(
    headers: httputil.HTTPHeaders, customer: configuration_model.Customer
) -> dict[str, str]:
    selected = {
        name: value
        for name, value in headers.items()
        if name.lower() not in UNFORWARDED_HEADERS
    }
    selected['X-Customer'] = customer.name
    return selected


def _build_bad_request(detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(Reason.BAD_REQUEST, detail)
