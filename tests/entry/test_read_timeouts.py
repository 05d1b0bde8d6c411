"""Requests that arrive while the event loop is blocked get a response.

A read time-out that counts the blocked time would close the connection before
the loop has read what arrived meanwhile.
"""

import asyncio
import socket
import time

import pytest
from tornado import web

from filbertglade.entry import application
from filbertglade.settings import model
from tests import cluster as clusters
from tests import fakes

TIMEOUT_MS = 200
BLOCKED_S = 0.5
RESPONSE_TIMEOUT_S = 10
HEADERS = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n'
BODY = b'body'


class EchoHandler(web.RequestHandler):
    def post(self):
        self.finish(self.request.body)


async def exchange(before, while_blocked):
    """Return what a server sends after its event loop was blocked.

    :param before: what the client sends before the loop is blocked.
    :param while_blocked: what the client sends while it is blocked.
    """
    settings = fakes.build_settings()
    settings.timings = model.TimingSettings(header_timeout_ms=TIMEOUT_MS)
    address = f'127.0.0.1:{clusters.find_free_ports(1)[0]}'
    server = application.listen(
        settings, web.Application([(r'/', EchoHandler)]), address
    )
    host, port = address.split(':')
    client = socket.create_connection((host, int(port)))
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        # A first response shows that the connection was accepted.
        await loop.sock_sendall(client, HEADERS + BODY)
        received = await loop.sock_recv(client, 65536)
        assert received.endswith(BODY)
        await loop.sock_sendall(client, before)
        await asyncio.sleep(TIMEOUT_MS / 4000)
        client.sendall(while_blocked)
        time.sleep(BLOCKED_S)
        return await asyncio.wait_for(
            loop.sock_recv(client, 65536), RESPONSE_TIMEOUT_S
        )
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


@pytest.mark.parametrize(
    ('before', 'while_blocked'),
    [
        (b'', HEADERS + BODY),
        (HEADERS[:9], HEADERS[9:] + BODY),
        (HEADERS, BODY),
    ],
    ids=['complete-request', 'rest-of-headers', 'body'],
)
def test_request_received_while_blocked_gets_a_response(before, while_blocked):
    received = asyncio.run(exchange(before, while_blocked))
    assert received.startswith(b'HTTP/1.1 200 '), received
    assert received.endswith(BODY)


@pytest.mark.parametrize('before', [b'', HEADERS[:9]])
def test_connection_without_complete_headers_is_closed(before):
    assert asyncio.run(exchange(before, b'')) == b''
