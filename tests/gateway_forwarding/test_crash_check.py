"""What an endpoint's address shows, on real connections."""

import asyncio

import pytest

from filbertglade.forwarding import crash_check
from filbertglade.forwarding import targets
from filbertglade.forwarding import upstream
from filbertglade.observability import metrics
from tests import cluster


@pytest.fixture
async def pool():
    made = upstream.UpstreamPool(metrics.Metrics())
    yield made
    made.close()


async def look_at(pool, address):
    check = crash_check.CrashCheck(pool)
    target = targets.Target('i-1@1', 'i-1', address, 'north', 4)
    return await check.look_at(target)


async def test_address_without_a_process_shows_the_end(pool):
    (port,) = cluster.find_free_ports(1)
    sign = await look_at(pool, f'127.0.0.1:{port}')
    assert sign is crash_check.EndpointSign.ENDED


async def test_listening_endpoint_runs_and_its_connection_is_kept(pool):
    async def serve(reader, writer):
        await reader.read()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    sign = await look_at(pool, f'127.0.0.1:{port}')
    assert sign is crash_check.EndpointSign.LISTENING
    assert pool.take_idle('i-1@1', 1000) is not None
    server.close()


# Guards against a crash that isn't counted, since the kernel still accepts
# connections for the process that is ending.
async def test_process_that_closes_its_connections_first_has_ended(pool):
    async def serve(reader, writer):
        server.close()
        writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    sign = await look_at(pool, f'127.0.0.1:{port}')
    assert sign is crash_check.EndpointSign.ENDED
