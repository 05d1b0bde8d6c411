"""Answers of endpoints that are cut, extra, unframed, early, late."""

import asyncio
import struct

import pytest

from filbertglade import failures
from filbertglade.forwarding import upstream
from filbertglade.observability import metrics

HEADER = 'Request-Id'
REQUEST = b'GET /a HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\n\r\n'
WHOLE = b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nhello'
STRAY = b'HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 4\r\n\r\nold!'


class Endpoint:
    """Answers each request on a connection with the next script."""

    def __init__(self, *answers, resets=False, closes=False, extra=b''):
        self.answers = list(answers)
        self.resets = resets
        self.closes = closes
        self.extra = extra
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while self.answers:
                await reader.readuntil(b'\r\n\r\n')
                for part in self.answers.pop(0):
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


async def ask(connection, request_id='r1', method='GET'):
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


async def test_a_whole_answer_lets_the_connection_be_kept(pool, listen):
    endpoint = Endpoint([WHOLE], [WHOLE])
    connection = await connect(pool, listen, endpoint)
    head, body = await ask(connection)
    assert (head.status, body) == (200, b'hello')
    assert connection.may_be_kept(head)
    pool.keep(connection)
    again = pool.take_idle('e', 1000)
    assert again is connection
    assert again.is_reused
    assert (await ask(again))[1] == b'hello'
    assert endpoint.connections == 1


async def test_chunks_come_as_they_arrive(pool, listen):
    parts = [
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'3\r\nabc\r\n',
        b'4;x=1\r\ndefg\r\n',
        b'0\r\nTrailer: 1\r\n\r\n',
    ]
    connection = await connect(pool, listen, Endpoint(parts))
    head, body = await ask(connection)
    assert body == b'abcdefg'
    assert connection.may_be_kept(head)


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
async def test_a_body_that_is_cut_is_never_whole(pool, listen, parts):
    connection = await connect(pool, listen, Endpoint(parts, closes=True))
    with pytest.raises(upstream.AnswerBroken):
        await ask(connection)


async def test_a_body_without_length_ends_with_its_connection(pool, listen):
    parts = [b'HTTP/1.1 200 OK\r\n\r\n', b'hello']
    connection = await connect(pool, listen, Endpoint(parts, closes=True))
    head, body = await ask(connection)
    assert body == b'hello'
    assert not connection.may_be_kept(head)


async def test_a_body_without_length_that_is_reset_is_cut(pool, listen):
    parts = [b'HTTP/1.1 200 OK\r\n\r\n', b'hello']
    connection = await connect(pool, listen, Endpoint(parts, resets=True))
    with pytest.raises(upstream.AnswerBroken):
        await ask(connection)


async def test_a_late_answer_to_another_is_passed_over(pool, listen):
    connection = await connect(pool, listen, Endpoint([STRAY + WHOLE]))
    head, body = await ask(connection)
    assert (head.headers[HEADER], body) == ('r1', b'hello')


async def test_bytes_after_an_answer_end_the_connection(pool, listen):
    connection = await connect(pool, listen, Endpoint([WHOLE], extra=STRAY))
    head, _ = await ask(connection)
    assert connection.may_be_kept(head)
    pool.keep(connection)
    await asyncio.sleep(0.05)
    assert pool.take_idle('e', 1000) is None


@pytest.mark.parametrize(
    'answer',
    [
        b'hello there\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n',
    ],
)
async def test_bytes_that_are_no_answer_are_malformed(pool, listen, answer):
    connection = await connect(pool, listen, Endpoint([answer]))
    failure, _ = await ask(connection)
    assert failure.reason is upstream.UpstreamReason.MALFORMED


async def test_an_answer_before_the_request_is_written_keeps_nothing(
    pool, listen
):
    connection = await connect(pool, listen, Endpoint([WHOLE]))
    connection.send(REQUEST, b'x' * 50_000_000)
    head = await connection.read_head(HEADER, 'r1', 'POST')
    assert head.status == 200
    assert not connection.may_be_kept(head)
    connection.close()


async def test_an_idle_connection_is_given_up_before_its_endpoint_does(
    pool, listen
):
    answer = WHOLE.replace(
        b'Content-Length', b'Keep-Alive: timeout=1\r\nContent-Length'
    )
    connection = await connect(pool, listen, Endpoint([answer]))
    head, _ = await ask(connection)
    assert connection.may_be_kept(head)
    pool.keep(connection)
    await asyncio.sleep(0.4)
    assert pool.take_idle('e', 10_000) is None


async def test_a_request_that_runs_once_wants_a_fresh_connection(pool, listen):
    connection = await connect(pool, listen, Endpoint([WHOLE]))
    await ask(connection)
    pool.keep(connection)
    await asyncio.sleep(0.1)
    assert pool.take_idle('e', 50) is None
    assert pool.take_idle('e', 10_000) is connection


async def test_an_address_without_a_listener_is_unreachable(pool):
    failure = await pool.connect('e', '127.0.0.1:9')
    assert failure.reason is upstream.UpstreamReason.UNREACHABLE
