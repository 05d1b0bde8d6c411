"""Builds the heads of forwarded requests and responses."""

from tornado import httputil

from filbertglade.fleet import dialects
from filbertglade.fleet import header_text
from filbertglade.forwarding import server
from filbertglade.forwarding import upstream

# Methods whose requests get no Content-Length header if they have no body.
BODYLESS_METHODS = ('GET', 'HEAD', 'DELETE')


def build_request_head(
    request: server.CallerRequest,
    dialect: dialects.Dialect,
    customer: str,
    endpoint_id: str,
    remaining_ms: int,
    last_event_id: str,
    engine_priority: int | None = None,
) -> bytes:
    """Return the head of a request as sent to an endpoint.

    :param request: the caller's request.
    :param dialect: the header names in use.
    :param customer: name of the customer; empty if there is none.
    :param endpoint_id: id of the only endpoint that may run it.
    :param remaining_ms: time until its deadline.
    :param last_event_id: id of the event after which a stream is resumed;
        empty if it isn't resumed.
    :param engine_priority: urgency for the engine; None to send none of this
        host's own.
    """
    own = {
        dialect.key.lower(),
        dialect.customer.lower(),
        dialect.target.lower(),
        dialect.deadline.lower(),
        'content-length',
        'expect',
    }
    if last_event_id:
        own.add(dialect.resume_after.lower())
    if engine_priority is not None:
        own.add(dialect.engine_priority.lower())
    own |= _list_named(request.headers)
    lines = [f'{request.method} {request.target} HTTP/1.1']
    lines += [
        f'{name}: {value}'
        for name, value in request.headers.get_all()
        if name.lower() not in own
        and name.lower() not in upstream.CONNECTION_HEADERS
    ]
    lines.append(f'{dialect.deadline}: {remaining_ms}')
    lines.append(f'{dialect.target}: {header_text.encode(endpoint_id)}')
    if customer:
        lines.append(f'{dialect.customer}: {header_text.encode(customer)}')
    if last_event_id:
        lines.append(f'{dialect.resume_after}: {last_event_id}')
    if engine_priority is not None:
        lines.append(f'{dialect.engine_priority}: {engine_priority}')
    if request.body or request.method not in BODYLESS_METHODS:
        lines.append(f'Content-Length: {len(request.body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def strip_headers(headers: httputil.HTTPHeaders) -> httputil.HTTPHeaders:
    """Return a response's headers without the connection headers.

    :param headers: the headers.
    """
    named = _list_named(headers)
    kept = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        lower = name.lower()
        if lower not in upstream.CONNECTION_HEADERS and lower not in named:
            kept.add(name, value)
    return kept


def _list_named(headers: httputil.HTTPHeaders) -> set[str]:
    """Return the headers that the Connection header names."""
    return {
        name.strip().lower()
        for name in headers.get('Connection', '').split(',')
        if name.strip()
    }
