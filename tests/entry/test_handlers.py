"""Responses to callers after unexpected errors."""

import contextlib

import pytest
from tornado import httpclient
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from filbertglade.entry import handlers
from filbertglade.observability import metrics


class FailingRunner:
    """Raises a lower layer's error instead of running the request."""

    def __init__(self, error):
        self.in_flight = self
        self._error = error

    def track(self):
        return contextlib.nullcontext()

    async def start(self, request):
        raise self._error


class AnyHandler(handlers.ForwardingHandler):
    async def get(self):
        await self.run_request(None)


@pytest.mark.parametrize(
    'error', [TimeoutError(), iostream.StreamClosedError(), ValueError('x')]
)
async def test_unexpected_error_is_reported_as_unknown(error):
    arguments = {
        'settings': None,
        'fleet': None,
        'requests': FailingRunner(error),
        'counters': metrics.Metrics(),
    }
    sockets = netutil.bind_sockets(0, '127.0.0.1')
    server = httpserver.HTTPServer(
        web.Application([('/', AnyHandler, arguments)])
    )
    server.add_sockets(sockets)
    client = httpclient.AsyncHTTPClient(force_instance=True)
    try:
        url = f'http://127.0.0.1:{sockets[0].getsockname()[1]}/'
        response = await client.fetch(url, raise_error=False)
        assert response.code == 500
        assert response.headers['X-Outcome'] == 'unknown'
        assert b'"outcome": "unknown"' in response.body
    finally:
        client.close()
        server.stop()
