"""Event streams that are complete, late, cut or invalid."""

import asyncio
import contextlib
import types

import pytest

from filbertglade import failures
from filbertglade.requests import endpoint_pool
from filbertglade.requests import endpoint_response
from filbertglade.requests import streamed_response

HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
EVENT = b'data: {}\n\n'
CHUNK = b'a\r\n' + EVENT + b'\r\n'
LAST = b'0\r\n\r\n'
IDLE_MS = 300
TIMINGS = types.SimpleNamespace(
    idle_timeout_ms=IDLE_MS, connect_timeout_ms=5000
)


class Endpoint:
    """Server that hands out its writers and counts its connections."""

    def __init__(self):
        self.connections = 0
        self.writers = asyncio.Queue()

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                self.writers.put_nowait(writer)
        writer.close()


@pytest.fixture
async def endpoint():
    found = Endpoint()
    server = await asyncio.start_server(found.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    found.address = f'{host}:{port}'
    found.pool = endpoint_pool.EndpointPool(
        types.SimpleNamespace(timings=TIMINGS)
    )
    yield found
    found.pool.close()
    server.close()


async def start(endpoint, first):
    call = endpoint_pool.Call('POST', '/', {}, b'')
    starting = asyncio.ensure_future(
        endpoint.pool.start_call(endpoint.address, call, 5000)
    )
    writer = await endpoint.writers.get()
    writer.write(first)
    response = await starting
    assert isinstance(response, streamed_response.StreamedResponse)
    return response, writer


async def read_all(response):
    parts = []
    while isinstance(part := await response.read(), bytes):
        parts.append(part)
    return b''.join(parts), part


async def test_events_received_together_are_one_part(endpoint):
    response, _ = await start(endpoint, HEAD + 3 * CHUNK + LAST)
    assert await response.read() == 3 * EVENT
    assert await response.read() is None


async def test_connection_of_a_complete_stream_is_reused(endpoint):
    for _ in range(3):
        response, _ = await start(endpoint, HEAD + CHUNK + LAST)
        assert await read_all(response) == (EVENT, None)
        response.release()
    assert endpoint.connections == 1


async def test_connection_is_reused_after_a_late_end(endpoint):
    response, writer = await start(endpoint, HEAD + CHUNK)
    assert await response.read() == EVENT
    response.release()
    writer.write(LAST)
    await asyncio.wait_for(response.drain_task, 5)
    await start(endpoint, HEAD)
    assert endpoint.connections == 1


@pytest.mark.parametrize('beyond', [b'x', HEAD])
async def test_connection_with_more_than_the_body_is_closed(endpoint, beyond):
    response, _ = await start(endpoint, HEAD + CHUNK + LAST + beyond)
    assert await read_all(response) == (EVENT, None)
    response.release()
    await start(endpoint, HEAD)
    assert endpoint.connections == 2


@pytest.mark.parametrize('limit_s', [None, 0.05, -1.0])
async def test_inactivity_is_a_time_out(endpoint, limit_s):
    response, _ = await start(endpoint, HEAD + CHUNK)
    assert await response.read() == EVENT
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    found = await response.read(limit_s)
    assert found == failures.Failure(
        endpoint_response.EndpointFailureReason.TIMED_OUT
    )
    wanted_s = IDLE_MS / 1000 if limit_s is None else max(limit_s, 0)
    assert wanted_s <= loop.time() - began_s + 0.01


async def test_inactivity_between_reads_is_no_time_out(endpoint):
    response, writer = await start(endpoint, HEAD + CHUNK)
    assert await response.read(0.05) == EVENT
    waited = asyncio.Event()
    asyncio.get_running_loop().call_later(0.1, waited.set)
    await waited.wait()
    writer.write(CHUNK)
    assert await response.read() == EVENT


@pytest.mark.parametrize('rest', [b'', b'5\r\nda', b'zz\r\n', b'1\r\nabc'])
async def test_cut_or_invalid_stream_is_broken(endpoint, rest):
    response, writer = await start(endpoint, HEAD + CHUNK + rest)
    writer.close()
    body, end = await read_all(response)
    assert body.startswith(EVENT)
    assert end == failures.Failure(
        endpoint_response.EndpointFailureReason.BROKEN
    )
