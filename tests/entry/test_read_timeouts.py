"""Requests that arrived while the node's loop was held up are answered."""

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
HELD_UP_S = 0.5
ANSWER_LIMIT_S = 10
HEAD = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n'
BODY = b'body'


class EchoHandler(web.RequestHandler):
    def post(self):
        self.finish(self.request.body)


async def exchange(before, while_held_up):
    """Return what a server sends whose loop is held up in between."""
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
        # One answer shows that the connection was accepted.
        await loop.sock_sendall(client, HEAD + BODY)
        received = await loop.sock_recv(client, 65536)
        assert received.endswith(BODY)
        await loop.sock_sendall(client, before)
        await asyncio.sleep(TIMEOUT_MS / 4000)
        client.sendall(while_held_up)
        time.sleep(HELD_UP_S)
        return await asyncio.wait_for(
            loop.sock_recv(client, 65536), ANSWER_LIMIT_S
        )
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


@pytest.mark.parametrize(
    ('before', 'while_held_up'),
    [(b'', HEAD + BODY), (HEAD[:9], HEAD[9:] + BODY), (HEAD, BODY)],
    ids=['whole', 'rest-of-head', 'body'],
)
def test_what_came_while_held_up_is_answered(before, while_held_up):
    received = asyncio.run(exchange(before, while_held_up))
    assert received.startswith(b'HTTP/1.1 200 '), received
    assert received.endswith(BODY)


@pytest.mark.parametrize('before', [b'', HEAD[:9]])
def test_connection_without_a_whole_head_is_closed(before):
    assert asyncio.run(exchange(before, b'')) == b''
