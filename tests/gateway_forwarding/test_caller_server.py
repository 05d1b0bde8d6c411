"""The HTTP server for callers, on a loopback connection."""

import asyncio
import weakref

import pytest
from tornado import httputil

from filbertglade.budgets import process
from filbertglade.forwarding import caller_streams
from filbertglade.forwarding import server
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from tests import cluster

# Longer than the server waits before it closes a connection.
CLOSE_LIMIT_S = 4 * server.CLOSE_DELAY_S
# For the server to handle what it has received, on the same event loop.
SETTLE_S = 0.1
# For a closed connection to be freed.
FREED_LIMIT_S = 10
REQUEST = 'GET /{} HTTP/1.1\r\nHost: desk.example\r\n\r\n'


@pytest.fixture
async def serve_pipelined():
    """Send requests at once; return the bytes received until the close."""
    servers = []

    async def run(serve, paths):
        port = cluster.find_free_ports(1)[0]
        callers = server.CallerServer(serve, lambda: None)
        servers.append(callers)
        callers.listen(f'127.0.0.1:{port}')
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(''.join(REQUEST.format(path) for path in paths).encode())
        async with asyncio.timeout(CLOSE_LIMIT_S):
            received = await reader.read()
        # The server may still read what it has received.
        await asyncio.sleep(SETTLE_S)
        writer.close()
        return received

    yield run
    for callers in servers:
        callers.stop()
        await callers.close()


# Guards against LOST: a request that a caller had sent before it read
# "Connection: close" was passed on, and its connection closed 0.5 s later.
async def test_no_request_is_handled_after_the_last_of_its_connection(
    serve_pipelined,
):
    handled = []

    async def serve(request):
        handled.append(request.target)
        request.closes_connection = True
        if len(handled) > 1:
            await asyncio.sleep(CLOSE_LIMIT_S)
        request.respond(200, b'body')

    received = await serve_pipelined(serve, ['first', 'second'])
    assert handled == ['/first']
    assert received.count(b'HTTP/1.1 200') == 1


# Guards against LOST: a request behind a cut response was read from the closed
# connection's buffer and passed on.
async def test_no_request_is_handled_after_a_cut_response(serve_pipelined):
    handled = []

    async def serve(request):
        handled.append(request.target)
        headers = httputil.HTTPHeaders()
        await request.begin_response(200, 'OK', headers)
        await request.write(b'part')
        request.abort()

    await serve_pipelined(serve, ['first', 'second'])
    assert handled == ['/first']


# Guards against what was read of a connection and outlives its account.
@pytest.mark.parametrize(
    'text',
    [
        b'GET / HTTP/1.1\r\nHost: h\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\nx',
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\nx',
        b'GET / HT',
    ],
)
async def test_a_connection_that_has_ended_is_freed_at_once(
    text, monkeypatch, no_collection
):
    opened = []
    prepare = caller_streams.CallerStream.prepare

    def prepare_and_note(stream, *arguments):
        opened.append(weakref.ref(stream))
        prepare(stream, *arguments)

    async def serve(request):
        request.respond(200, b'body')

    monkeypatch.setattr(
        caller_streams.CallerStream, 'prepare', prepare_and_note
    )
    (port,) = cluster.find_free_ports(1)
    callers = server.CallerServer(serve, lambda: None)
    callers.listen(f'127.0.0.1:{port}')
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(text)
    await asyncio.sleep(SETTLE_S)
    writer.close()
    async with asyncio.timeout(FREED_LIMIT_S):
        alive = True
        while alive:
            await asyncio.sleep(SETTLE_S)
            alive = any(stream() is not None for stream in opened)
    assert opened
    callers.stop()
    await callers.close()


# Guards against bodies that are kept by what refers to their requests.
async def test_the_body_of_a_request_that_has_ended_is_dropped():
    served = []

    async def serve(request):
        served.append((request, request.body))
        request.respond(200, b'body')

    (port,) = cluster.find_free_ports(1)
    callers = server.CallerServer(serve, lambda: None)
    callers.listen(f'127.0.0.1:{port}')
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\ntext'
    )
    async with asyncio.timeout(CLOSE_LIMIT_S):
        await reader.readuntil(b'body')
    await asyncio.sleep(SETTLE_S)
    writer.close()
    ((request, body),) = served
    assert (body, request.body) == (b'text', b'')
    callers.stop()
    await callers.close()


# Guards against a length that ends the connection without an answer.
@pytest.mark.parametrize('digits', [19, 20, 5000])
async def test_a_length_of_many_digits_is_refused(digits):
    async def serve(request):
        request.respond(200)

    (port,) = cluster.find_free_ports(1)
    callers = server.CallerServer(serve, lambda: None)
    callers.listen(f'127.0.0.1:{port}')
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    length = b'9' * digits
    writer.write(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %s\r\n\r\n' % length
    )
    async with asyncio.timeout(CLOSE_LIMIT_S):
        line = await reader.readline()
    writer.close()
    assert line.startswith(b'HTTP/1.1 413')
    callers.stop()
    await callers.close()


# Guards against idle connections that are closed for others, and charged for
# ever.
async def test_a_connection_closed_for_another_holds_nothing():
    async def serve(request):
        request.respond(200)

    budgets = process.Budgets(
        gateway.LimitSettings(max_callers=4), metrics.Metrics()
    )
    (port,) = cluster.find_free_ports(1)
    callers = server.CallerServer(serve, lambda: None, budgets)
    callers.listen(f'127.0.0.1:{port}')
    writers = []
    for _ in range(12):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writers.append(writer)
        writer.write(REQUEST.format('x').encode())
        async with asyncio.timeout(CLOSE_LIMIT_S):
            await reader.readuntil(b'\r\n\r\n')
    await asyncio.sleep(SETTLE_S)
    held_bytes = budgets.memory.held_bytes
    for writer in writers:
        writer.close()
    callers.stop()
    await callers.close()
    assert held_bytes == 4 * caller_streams.CONNECTION_BYTES
