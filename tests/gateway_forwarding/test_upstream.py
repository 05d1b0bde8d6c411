"""Endpoint responses that are cut off, extra, unframed, early or late."""

import asyncio
import struct

import pytest

from filbertglade.budgets import memory
from filbertglade import failures
from filbertglade.forwarding import upstream
from filbertglade.observability import metrics

HEADER = 'Request-Id'
REQUEST = b'GET /a HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\n\r\n'
COMPLETE = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nhello'
)
STRAY = b'HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 4\r\n\r\nold!'


class Endpoint:
    """Sends the next of the given responses to each request.

    Each response is a list of parts, sent with a pause after each one.
    """

    def __init__(self, *responses, resets=False, closes=False, extra=b''):
        self.responses = list(responses)
        self.resets = resets
        self.closes = closes
        self.extra = extra
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while self.responses:
                await reader.readuntil(b'\r\n\r\n')
                for part in self.responses.pop(0):
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(0.01)
            if self.extra:
                writer.write(self.extra)
                await writer.drain()
            if self.resets:
                writer.get_extra_info('socket').setsockopt(
                    1, 13, struct.pack('ii', 1, 0)
                )
            if self.resets or self.closes:
                writer.close()
                return
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


@pytest.fixture
async def pool():
    made = upstream.UpstreamPool(metrics.Metrics())
    yield made
    made.close()


@pytest.fixture
async def listen():
    servers = []

    async def start(endpoint):
        server = await asyncio.start_server(endpoint.serve, '127.0.0.1', 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    yield start
    for server in servers:
        server.close()


async def request(connection, request_id='r1', method='GET'):
    connection.send(REQUEST.replace(b'r1', request_id.encode()), b'')
    head = await connection.read_head(HEADER, request_id, method)
    if isinstance(head, failures.Failure):
        return head, b''
    body = b''.join([chunk async for chunk in connection.read_body(head)])
    return head, body


async def connect(pool, listen, endpoint):
    address = await listen(endpoint)
    connection = await pool.connect('e', address)
    assert isinstance(connection, upstream.Connection)
    return connection


async def test_a_connection_is_reusable_after_a_complete_response(
    pool, listen
):
    endpoint = Endpoint([COMPLETE], [COMPLETE])
    connection = await connect(pool, listen, endpoint)
    head, body = await request(connection)
    assert (head.status, body) == (200, b'hello')
    assert connection.is_reusable(head)
    pool.keep(connection)
    again = pool.take_idle('e', 1000)
    assert again is connection
    assert again.is_reused
    assert (await request(again))[1] == b'hello'
    assert endpoint.connections == 1


async def test_chunked_bodies_are_decoded(pool, listen):
    parts = [
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'3\r\nabc\r\n',
        b'4;x=1\r\ndefg\r\n',
        b'0\r\nTrailer: 1\r\n\r\n',
    ]
    connection = await connect(pool, listen, Endpoint(parts))
    head, body = await request(connection)
    assert body == b'abcdefg'
    assert connection.is_reusable(head)


# Guards against a close of this host's that looks like the end of a response.
async def test_body_without_length_is_incomplete_once_its_reader_closes(
    pool, listen
):
    endpoint = Endpoint([b'HTTP/1.1 200 OK\r\n\r\n', b'hel'])
    connection = await connect(pool, listen, endpoint)
    connection.send(REQUEST, b'')
    head = await connection.read_head(HEADER, 'r1', 'GET')
    assert not head.has_stated_end
    body = b''
    with pytest.raises(upstream.IncompleteResponse):
        async for chunk in connection.read_body(head):
            body += chunk
            asyncio.get_running_loop().call_soon(connection.close)
    assert body == b'hel'


@pytest.mark.parametrize(
    'parts',
    [
        [b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello'],
        [
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'5\r\nhel',
        ],
        [
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'zz\r\nhello\r\n',
        ],
    ],
)
async def test_a_truncated_or_malformed_body_is_incomplete(
    pool, listen, parts
):
    connection = await connect(pool, listen, Endpoint(parts, closes=True))
    with pytest.raises(upstream.IncompleteResponse):
        await request(connection)


async def test_a_body_without_length_ends_with_its_connection(pool, listen):
    parts = [b'HTTP/1.1 200 OK\r\n\r\n', b'hello']
    connection = await connect(pool, listen, Endpoint(parts, closes=True))
    head, body = await request(connection)
    assert body == b'hello'
    assert not connection.is_reusable(head)


async def test_a_body_without_length_is_incomplete_after_a_reset(pool, listen):
    parts = [b'HTTP/1.1 200 OK\r\n\r\n', b'hello']
    connection = await connect(pool, listen, Endpoint(parts, resets=True))
    with pytest.raises(upstream.IncompleteResponse):
        await request(connection)


async def test_a_late_response_to_another_request_is_skipped(pool, listen):
    connection = await connect(pool, listen, Endpoint([STRAY + COMPLETE]))
    head, body = await request(connection)
    assert (head.headers[HEADER], body) == ('r1', b'hello')


async def test_bytes_after_a_response_make_the_connection_unusable(
    pool, listen
):
    connection = await connect(pool, listen, Endpoint([COMPLETE], extra=STRAY))
    head, _ = await request(connection)
    assert connection.is_reusable(head)
    pool.keep(connection)
    await asyncio.sleep(0.05)
    assert pool.take_idle('e', 1000) is None


@pytest.mark.parametrize(
    'response',
    [
        b'hello there\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n',
        # Statuses that are none.
        b'HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n',
        # Interim responses that have content, or change the protocol.
        b'HTTP/1.1 199 OK\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 199 OK\r\nContent-Length: 5\r\n\r\nhello',
        b'HTTP/1.1 100 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n',
    ],
)
async def test_invalid_response_heads_are_malformed(pool, listen, response):
    connection = await connect(pool, listen, Endpoint([response]))
    failure, _ = await request(connection)
    assert failure.reason is upstream.UpstreamReason.MALFORMED


@pytest.mark.parametrize('status', [b'100', b'102', b'103', b'199'])
async def test_interim_responses_precede_the_response(pool, listen, status):
    interim = b'HTTP/1.1 ' + status + b' Wait\r\n\r\n'
    endpoint = Endpoint([interim, interim, COMPLETE])
    connection = await connect(pool, listen, endpoint)
    head, body = await request(connection)
    assert (head.status, body) == (200, b'hello')


async def test_a_response_before_the_request_is_written_prevents_reuse(
    pool, listen
):
    connection = await connect(pool, listen, Endpoint([COMPLETE]))
    connection.send(REQUEST, b'x' * 50_000_000)
    head = await connection.read_head(HEADER, 'r1', 'POST')
    assert head.status == 200
    assert not connection.is_reusable(head)
    connection.close()


async def test_an_idle_connection_expires_before_its_endpoint_closes_it(
    pool, listen
):
    response = COMPLETE.replace(
        b'Content-Length', b'Keep-Alive: timeout=1\r\nContent-Length'
    )
    connection = await connect(pool, listen, Endpoint([response]))
    head, _ = await request(connection)
    assert connection.is_reusable(head)
    pool.keep(connection)
    await asyncio.sleep(0.4)
    assert pool.take_idle('e', 10_000) is None


async def test_idle_connections_over_the_age_limit_are_not_taken(pool, listen):
    connection = await connect(pool, listen, Endpoint([COMPLETE]))
    await request(connection)
    pool.keep(connection)
    await asyncio.sleep(0.1)
    assert pool.take_idle('e', 50) is None
    assert pool.take_idle('e', 10_000) is connection


async def test_an_address_without_a_listener_refuses(pool):
    failure = await pool.connect('e', '127.0.0.1:9')
    assert failure.reason is upstream.UpstreamReason.REFUSED


class RecordingStream:
    """Records what is written, which is done at once."""

    def __init__(self):
        self.written = []

    def closed(self):
        return False

    def write(self, data):
        self.written.append(data)
        future = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future


# Guards against long bodies that are held twice while they are sent.
@pytest.mark.parametrize('size', [0, 10, 4_194_304])
async def test_a_long_body_is_not_copied(size):
    stream = RecordingStream()
    body = b'x' * size
    connection = upstream.Connection('k', stream)
    connection.send(b'head', body)
    assert b''.join(stream.written) == b'head' + body
    assert connection.is_written
    assert size < memory.LONG_BYTES or stream.written[-1] is body
