"""Bodies that have neither a length nor chunks, read by the endpoint pool."""

import asyncio
import contextlib
import types

import pytest

from filbertglade import failures
from filbertglade.requests import endpoint_pool
from tests.platform import deployment

BODY = b'text ' * 1000
TIMINGS = types.SimpleNamespace(idle_timeout_ms=2000, connect_timeout_ms=5000)


@pytest.fixture
async def read_all():
    """Returns a function that reads a body whose connection ends."""
    pool = endpoint_pool.EndpointPool(types.SimpleNamespace(timings=TIMINGS))
    servers = []

    async def read(content_type, end):
        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(
                    f'HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n\r\n'
                    ''.encode()
                )
                writer.write(BODY)
                await writer.drain()
                await asyncio.sleep(0.1)
                end(writer)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        call = endpoint_pool.Call('POST', '/', {}, b'')
        response = await pool.start_call(f'{host}:{port}', call, 5000)
        assert not isinstance(response, failures.Failure)
        assert not response.is_framed
        received = b''
        while isinstance(part := await response.read(), bytes):
            received += part
        return received, part

    yield read
    pool.close()
    for server in servers:
        server.close()


# Guards against a body or stream that was reset and counts as complete.
@pytest.mark.parametrize('content_type', ['text/plain', 'text/event-stream'])
async def test_body_that_is_reset_is_not_complete(read_all, content_type):
    _, end = await read_all(content_type, deployment.reset_connection)
    assert isinstance(end, failures.Failure)


# Guards against the loss of bodies that end with their connection.
@pytest.mark.parametrize('content_type', ['text/plain', 'text/event-stream'])
async def test_body_that_ends_in_order_is_received(read_all, content_type):
    received, end = await read_all(content_type, lambda writer: writer.close())
    assert received == BODY
    assert end is None
