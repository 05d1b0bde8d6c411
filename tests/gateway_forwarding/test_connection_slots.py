"""The number of connections to endpoints, with real sockets."""

import asyncio

import pytest

from filbertglade import failures
from filbertglade.forwarding import upstream
from filbertglade.observability import metrics
from tests.gateway_forwarding import test_uncertain_document as entry_host

LIMIT = 2


@pytest.fixture
async def address():
    async def serve(reader, writer):
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    server.close()


@pytest.fixture
async def pool():
    made = upstream.UpstreamPool(metrics.Metrics(), LIMIT)
    yield made
    made.close()


# Guards against callers' requests that take a process's last descriptors.
async def test_idle_connections_are_closed_first_at_the_limit(pool, address):
    first = await pool.connect('a', address)
    second = await pool.connect('b', address)
    pool.keep(first)
    third = await pool.connect('c', address)
    assert isinstance(third, upstream.Connection)
    assert first.stream.closed()
    assert not second.stream.closed()
    assert pool.count_open() == LIMIT


# Guards against requests that are refused while a connection becomes free.
@pytest.mark.parametrize('ends', ['closed', 'kept', 'broken'])
async def test_a_request_waits_for_a_connection(pool, address, ends):
    held = [await pool.connect('a', address) for _ in range(LIMIT)]
    waiting = asyncio.ensure_future(pool.connect('a', address))
    await asyncio.sleep(0.02)
    assert not waiting.done()
    if ends == 'kept':
        pool.keep(held[0])
    else:
        if ends == 'broken':
            held[0].stream.close()
        held[0].close()
    connection = await waiting
    assert isinstance(connection, upstream.Connection)
    assert (connection is held[0]) == (ends == 'kept')
    assert pool.count_open() == LIMIT


async def test_a_request_without_a_connection_is_told_so(pool, address):
    held = [await pool.connect('a', address) for _ in range(LIMIT)]
    failure = await pool.connect('b', address)
    assert failure.reason is upstream.UpstreamReason.LIMIT
    assert len(held) == pool.count_open()


# Guards against places that are lost with callers that leave.
async def test_cancelled_requests_keep_no_place(pool, address):
    held = [await pool.connect('a', address)]
    for _ in range(5):
        opening = asyncio.ensure_future(pool.connect('a', address))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        opening.cancel()
        await asyncio.gather(opening, return_exceptions=True)
    await asyncio.sleep(0.05)
    assert pool.count_open() == len(held)


# Guards against endpoints that are held to be down for the limit of a host.
def test_a_request_without_a_connection_is_refused():
    async def connect(key, address):
        return failures.Failure(upstream.UpstreamReason.LIMIT)

    async def check(host):
        pool = host.shared.pool
        pool.connect = connect
        pool.take_idle = lambda key, max_idle_ms: None
        refused = host.send()
        assert (await refused.finish())[0] == 503
        assert refused.retry_after_s > 0
        del pool.take_idle
        assert (await host.send().finish())[0] == 200

    entry_host.run(check)
