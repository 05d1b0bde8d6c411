"""Heads of requests and answers as they are passed on."""

from tornado import httputil

from filbertglade.fleet import dialects
from filbertglade.forwarding import server
from filbertglade.forwarding import upstream

# Methods whose requests have no body unless they bring one.
BODYLESS_METHODS = ('GET', 'HEAD', 'DELETE')


def build_request_head(
    request: server.CallerRequest,
    dialect: dialects.Dialect,
    customer: str,
    endpoint_id: str,
    left_ms: int,
    last_event_id: str,
) -> bytes:
    """Return a request's head as an endpoint gets it.

    :param request: the caller's request.
    :param dialect: names of headers.
    :param customer: whose request it is; empty if nobody's.
    :param endpoint_id: the only endpoint that may run it.
    :param left_ms: time until its deadline.
    :param last_event_id: the event after which a stream goes on; empty if
        it doesn't go on.
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
    own |= _list_named(request.headers)
    lines = [f'{request.method} {request.target} HTTP/1.1']
    lines += [
        f'{name}: {value}'
        for name, value in request.headers.get_all()
        if name.lower() not in own
        and name.lower() not in upstream.CONNECTION_HEADERS
    ]
    lines.append(f'{dialect.deadline}: {left_ms}')
    lines.append(f'{dialect.target}: {endpoint_id}')
    if customer:
        lines.append(f'{dialect.customer}: {customer}')
    if last_event_id:
        lines.append(f'{dialect.resume_after}: {last_event_id}')
    if request.body or request.method not in BODYLESS_METHODS:
        lines.append(f'Content-Length: {len(request.body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def strip_headers(headers: httputil.HTTPHeaders) -> httputil.HTTPHeaders:
    """Return an answer's headers without those of the connection.

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
