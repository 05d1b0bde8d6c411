"""The server of control hosts, on real connections."""

import asyncio
import contextlib
import weakref

import pytest

from filbertglade.gateway import http_server
from tests import cluster

MAX_BODY_BYTES = 1000
LONG_BODY = b'x' * 1_000_000
WAIT_S = 10


class Served:
    """Answers with what it was asked; ``/slow`` only once it may.

    :ivar targets: the targets, in the order in which they were served.
    :ivar released: lets slow requests end.
    """

    def __init__(self):
        self.targets = []
        self.released = asyncio.Event()

    def handle(self, request):
        self.targets.append(request.target)
        if request.target.startswith('/slow'):
            return self._answer_slowly(request)
        if request.target == '/long':
            return http_server.Response(200, LONG_BODY)
        if request.target == '/fail':
            raise MemoryError
        return _answer(request)

    async def _answer_slowly(self, request):
        await self.released.wait()
        return _answer(request)


def _answer(request):
    text = f'{request.method} {request.target} {request.body.decode()}'
    return http_server.Response(200, text.encode())


@contextlib.asynccontextmanager
async def connect():
    """Run a server and connect to it.

    :returns: the server's handler, and the connection.
    """
    (port,) = cluster.find_free_ports(1)
    served = Served()
    server = http_server.HttpServer(served.handle, MAX_BODY_BYTES)
    served.server = server
    await server.listen(f'127.0.0.1:{port}')
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        yield served, reader, writer
    finally:
        writer.close()
        server.stop()
        server.close_all_connections()


async def wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        done = False
        while not done:
            await asyncio.sleep(0.01)
            done = condition()


async def read_response(reader):
    """Return the status, the head's lines and the body of a response."""
    async with asyncio.timeout(WAIT_S):
        head = (await reader.readuntil(b'\r\n\r\n')).decode().splitlines()
        lengths = [
            int(line.partition(': ')[2])
            for line in head
            if line.startswith('Content-Length')
        ]
        body = await reader.readexactly(lengths[0]) if lengths else b''
    return int(head[0].split()[1]), head, body.decode()


def build_post(target, body, *headers):
    head = '\r\n'.join(
        [
            f'POST {target} HTTP/1.1',
            'Host: h',
            f'Content-Length: {len(body)}',
            *headers,
        ]
    )
    return f'{head}\r\n\r\n{body}'.encode()


async def test_requests_of_a_connection_are_answered_in_order():
    async with connect() as (served, reader, writer):
        writer.write(
            build_post('/a', '1')
            + build_post('/slow', '2')
            + build_post('/b', '3')
        )
        assert (await read_response(reader))[2] == 'POST /a 1'
        await asyncio.sleep(0.05)
        assert served.targets == ['/a', '/slow']
        served.released.set()
        assert (await read_response(reader))[2] == 'POST /slow 2'
        assert (await read_response(reader))[2] == 'POST /b 3'


async def test_many_requests_behind_a_slow_one_are_answered():
    async with connect() as (served, reader, writer):
        writer.write(build_post('/slow', ''))
        count = 64
        for number in range(count):
            writer.write(build_post(f'/{number}', ''))
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        assert served.targets == ['/slow']
        served.released.set()
        await read_response(reader)
        for number in range(count):
            body = (await read_response(reader))[2]
            assert body == f'POST /{number} '


async def test_a_request_in_small_pieces_and_chunks_is_read():
    text = (
        b'POST /a?b=c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked'
        b'\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    )
    async with connect() as (_, reader, writer):
        for position in range(len(text)):
            writer.write(text[position : position + 1])
            await writer.drain()
        assert (await read_response(reader))[2] == 'POST /a?b=c abcde'


async def test_a_sender_that_asks_first_is_told_to_go_on():
    request = build_post('/a', 'body', 'Expect: 100-continue')
    async with connect() as (_, reader, writer):
        writer.write(request.removesuffix(b'body'))
        assert (await read_response(reader))[0] == 100
        writer.write(b'body')
        assert (await read_response(reader))[2] == 'POST /a body'


# Guards against a sender that takes a connection that ends for one that stays.
@pytest.mark.parametrize(
    'request_text',
    [
        b'GET /a HTTP/1.0\r\n\r\n',
        b'GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
    ],
)
async def test_a_connection_ends_after_its_last_response(request_text):
    async with connect() as (_, reader, writer):
        writer.write(request_text)
        status, head, body = await read_response(reader)
        assert (status, body) == (200, 'GET /a ')
        assert 'Connection: close' in head
        async with asyncio.timeout(WAIT_S):
            assert await reader.read() == b''


# Guards against bytes without end that fill a control host's memory.
@pytest.mark.parametrize(
    ('text', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (b'GET /a HTTP/1.1\r\nContent-Length: x\r\n\r\n', 400),
        (build_post('/a', 'x' * (MAX_BODY_BYTES + 1)), 413),
        (
            b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3e9\r\n' + b'x' * 1001,
            413,
        ),
        (
            b'GET /a HTTP/1.1\r\nX: ' + b'x' * 2 * http_server.MAX_HEAD_BYTES,
            431,
        ),
    ],
)
async def test_a_request_that_cannot_be_read_is_refused(text, status):
    async with connect() as (served, reader, writer):
        writer.write(text)
        found, head, _ = await read_response(reader)
        assert found == status
        assert 'Connection: close' in head
        assert served.targets == []


async def test_a_failure_answers_its_own_request_only():
    async with connect() as (_, reader, writer):
        writer.write(build_post('/fail', '') + build_post('/a', ''))
        assert (await read_response(reader))[0] == 500
        assert (await read_response(reader))[2] == 'POST /a '


# Guards against descriptors that run out, as hosts that lose power close no
# connection.
async def test_an_idle_connection_is_closed(monkeypatch):
    monkeypatch.setattr(http_server, 'IDLE_TIMEOUT_MS', 200)
    monkeypatch.setattr(http_server, 'IDLE_CHECK_INTERVAL_MS', 20)
    async with connect() as (served, reader, writer):
        for _ in range(5):
            writer.write(build_post('/a', ''))
            await read_response(reader)
            await asyncio.sleep(0.08)
        writer.write(build_post('/slow', ''))
        await asyncio.sleep(0.5)
        served.released.set()
        assert (await read_response(reader))[0] == 200
        async with asyncio.timeout(WAIT_S):
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b''


# Guards against a body that is taken for the beginning of the next response.
async def test_a_response_to_head_has_no_body():
    async with connect() as (_, reader, writer):
        writer.write(b'HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n')
        async with asyncio.timeout(WAIT_S):
            head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200 ')
        writer.write(build_post('/b', ''))
        assert (await read_response(reader))[2] == 'POST /b '


# Guards against two responses to one request, the second of which is taken
# for that of the next one.
@pytest.mark.parametrize('target', ['/a', '/slow'])
async def test_a_request_that_offers_another_protocol_is_answered_once(target):
    offer = build_post(
        target,
        '1',
        'Connection: Upgrade, HTTP2-Settings',
        'Upgrade: h2c',
        'HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA',
    )
    async with connect() as (served, reader, writer):
        served.released.set()
        writer.write(offer)
        assert (await read_response(reader))[2] == f'POST {target} 1'
        writer.write(offer + build_post('/b', '2'))
        assert (await read_response(reader))[2] == f'POST {target} 1'
        assert (await read_response(reader))[2] == 'POST /b 2'


# Guards against a refusal that is taken for the response to a request before.
async def test_requests_before_an_unreadable_one_are_answered():
    async with connect() as (served, reader, writer):
        writer.write(
            build_post('/slow', '1') + build_post('/a', '2') + b'nonsense\r\n'
        )
        await asyncio.sleep(0.05)
        served.released.set()
        assert (await read_response(reader))[2] == 'POST /slow 1'
        assert (await read_response(reader))[2] == 'POST /a 2'
        async with asyncio.timeout(WAIT_S):
            assert await reader.read() == b''


# Guards against responses without end in a control host's memory.
async def test_responses_that_nobody_reads_are_not_prepared():
    count = 200
    async with connect() as (served, reader, writer):
        for _ in range(count):
            writer.write(build_post('/long', ''))
        await asyncio.sleep(0.3)
        # Besides the reader's own buffer, the kernel's take a few.
        assert len(served.targets) < 20
        for _ in range(count):
            assert len((await read_response(reader))[2]) == len(LONG_BODY)
        assert len(served.targets) == count


async def test_requests_are_not_read_while_many_wait():
    rounds = 20
    async with connect() as (served, reader, writer):
        writer.transport.set_write_buffer_limits(0)
        text = build_post('/slow', 'x' * 900)
        count = 0
        # Each answer makes room for one request, not for all that come.
        for _ in range(rounds):
            for _ in range(1000):
                writer.write(text)
                count += 1
            served.released.set()
            await read_response(reader)
            served.released.clear()
        await asyncio.sleep(0.3)
        (connection,) = served.server.connections
        waiting_bytes = sum(
            len(request.body) for request, _ in connection._waiting
        )
        assert waiting_bytes < 1_000_000
        served.released.set()
        for _ in range(count - rounds):
            await read_response(reader)


# Guards against stalled senders that send a byte now and then for ever.
async def test_a_request_that_never_ends_is_given_up(monkeypatch):
    monkeypatch.setattr(http_server, 'IDLE_TIMEOUT_MS', 200)
    monkeypatch.setattr(http_server, 'IDLE_CHECK_INTERVAL_MS', 20)
    async with connect() as (_, reader, writer):
        writer.write(build_post('/a', 'x' * 500)[:-500])
        ended = asyncio.create_task(reader.read())
        for _ in range(100):
            writer.write(b'x')
            await asyncio.sleep(0.02)
            if ended.done():
                break
        assert ended.done()
        with contextlib.suppress(ConnectionResetError):
            assert await ended == b''


# Guards against a client that keeps a process from all other work by sending
# many requests at once.
async def test_requests_sent_at_once_are_served_in_rounds_of_the_loop():
    count = 200
    async with connect() as (served, reader, writer):
        writer.write(count * b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
        largest = seen = 0
        async with asyncio.timeout(WAIT_S):
            while len(served.targets) < count:
                await asyncio.sleep(0)
                largest = max(largest, len(served.targets) - seen)
                seen = len(served.targets)
            for _ in range(count):
                head = await reader.readuntil(b'\r\n\r\n')
                assert head.startswith(b'HTTP/1.1 200 ')
                await reader.readexactly(len('GET /x '))
        assert largest <= 2


# Guards against bodies that outlive their accounts until the next garbage
# collection.
@pytest.mark.parametrize(
    'text',
    [
        build_post('/a', 'x' * MAX_BODY_BYTES)[:-1],
        build_post('/a', 'x' * (MAX_BODY_BYTES + 1)),
        build_post('/a', 'x', 'Expect: 100-continue'),
        b'nonsense\r\n\r\n',
        b'POST /a HTTP/1.1\r\nContent-Le',
    ],
)
async def test_a_connection_that_has_ended_is_freed_at_once(
    text, no_collection
):
    async with connect() as (served, _, writer):
        await wait_until(lambda: served.server.connections)
        ended = weakref.ref(next(iter(served.server.connections)))
        writer.write(text)
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.close()
        await wait_until(lambda: ended() is None)


# Guards against clients that disconnect while their bodies are still held.
async def test_the_body_of_a_request_that_runs_is_charged_until_it_ends():
    async with connect() as (served, _, writer):
        budget = served.server.budgets.memory
        writer.write(build_post('/slow', 'x' * MAX_BODY_BYTES))
        await wait_until(lambda: served.targets)
        writer.close()
        await wait_until(lambda: not served.server.connections)
        assert budget.held_bytes >= MAX_BODY_BYTES
        served.released.set()
        await wait_until(lambda: not budget.held_bytes)
