"""The call by which operators ask where a request would go."""

import dataclasses
from urllib import parse

import orjson
from tornado import httputil

from filbertglade import clock
from filbertglade.forwarding import context
from filbertglade.forwarding import where
from filbertglade.gateway import http_messages
from filbertglade.gateway import http_server
from filbertglade import schema

PATH = '/v1/where'
# Longest body of a call, in bytes.
MAX_BODY_BYTES = 16_384
# Least time between two answers, in ms. Each rates all targets of a service
# on the loop that forwards requests: 5 to 16 ms with 400 targets.
MIN_INTERVAL_MS = 1000


@dataclasses.dataclass(slots=True)
class Call:
    """A request as operators describe it.

    :param method: its method.
    :param url: its URL; a path alone needs a header ``Host``.
    :param headers: names and values of its headers.
    :param tokens: length of its prompt; 0 if the headers tell it.
    """

    __pydantic_config__ = schema.STRICT

    method: str
    url: str
    headers: list[list[str]] = dataclasses.field(default_factory=list)
    tokens: int = 0


class OperatorsServer(http_server.HttpServer):
    """Serves the metrics, whose requests have no bodies, and this call."""

    def find_body_limit(self, method: bytes, target: bytes) -> int:
        """Return the longest body of a kind of request, in bytes.

        :param method: the method.
        :param target: path and query.
        """
        is_call = target.partition(b'?')[0] == PATH.encode()
        return MAX_BODY_BYTES if is_call and method == b'POST' else 0


class WhereApi:
    """Serves the call, one at a time.

    :param shared: state that all requests share; None on a host that isn't an
        entry host.
    """

    def __init__(self, shared: context.ForwardingContext | None) -> None:
        self._context = shared
        self._answered_ms: int | None = None

    def handle(self, request: http_server.Request) -> http_server.Response:
        """Serve a call.

        :param request: a request for the path.
        """
        if request.method != 'POST':
            return http_messages.respond_json(
                405, {'error': 'only POST is possible'}
            )
        if self._context is None:
            return http_messages.respond_json(
                404, {'error': 'this host is not an entry host'}
            )
        now_ms = clock.now_ms()
        if (
            self._answered_ms is not None
            and now_ms - self._answered_ms < MIN_INTERVAL_MS
        ):
            return http_server.Response(
                503,
                orjson.dumps({'error': 'one question at a time'}),
                {'Retry-After': f'{MIN_INTERVAL_MS / 1000:g}'},
            )
        self._answered_ms = now_ms
        question = read_question(request.body, self._context)
        if isinstance(question, str):
            return http_messages.respond_json(400, {'error': question})
        found = where.explain(self._context, question)
        if isinstance(found, str):
            return http_messages.respond_json(404, {'error': found})
        return http_messages.respond_json(200, dataclasses.asdict(found))


def read_question(
    body: bytes, shared: context.ForwardingContext
) -> where.Question | str:
    """Return the request that a call describes, or what is wrong with it.

    :param body: the call's body.
    :param shared: names the headers in use.
    """
    call, problems = schema.decode_text(Call, body)
    if call is None:
        return '; '.join(map(str, problems))
    headers = httputil.HTTPHeaders()
    for pair in call.headers:
        if len(pair) != 2 or not _is_header(*pair):
            return 'headers: each is a name and a value'
        headers.add(*pair)
    try:
        url = parse.urlsplit(call.url)
    except ValueError as error:
        return f'url: {error}'
    if url.netloc:
        headers['Host'] = url.netloc.rpartition('@')[2]
    if 'Host' not in headers or not call.url.isprintable():
        return 'url: names no host'
    name = shared.dialect.token_counts
    if call.tokens and name not in headers:
        headers[name] = str(call.tokens)
    query = f'?{url.query}' if url.query else ''
    return where.Question(call.method, (url.path or '/') + query, headers)


def _is_header(name: str, value: str) -> bool:
    return bool(name) and name.isprintable() and value.isprintable()
