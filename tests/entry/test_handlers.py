"""What a caller is told of failures that nobody foresaw."""

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
    """Runs nothing: an error of a lower layer leaves it."""

    def __init__(self, error):
        self.activity = self
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
async def test_error_of_a_lower_layer_is_answered_as_unknown(error):
    parts = {
        'settings': None,
        'fleet': None,
        'requests': FailingRunner(error),
        'counters': metrics.Metrics(),
    }
    sockets = netutil.bind_sockets(0, '127.0.0.1')
    server = httpserver.HTTPServer(web.Application([('/', AnyHandler, parts)]))
    server.add_sockets(sockets)
    client = httpclient.AsyncHTTPClient(force_instance=True)
    try:
        url = f'http://127.0.0.1:{sockets[0].getsockname()[1]}/'
        answer = await client.fetch(url, raise_error=False)
        assert answer.code == 500
        assert answer.headers['X-Outcome'] == 'unknown'
        assert b'"outcome": "unknown"' in answer.body
    finally:
        client.close()
        server.stop()
