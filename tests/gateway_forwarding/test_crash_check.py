"""What an endpoint's address shows, on real connections."""

import asyncio
import time

import pytest

from filbertglade import failures
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


class BusyPool:
    """Connects while other work keeps the process busy.

    :param busy_s: how long it is busy at a time, three times in all; None if
        the address never answers.
    """

    def __init__(self, busy_s):
        self.busy_s = busy_s

    async def connect(self, key, address):
        if self.busy_s is None:
            await asyncio.sleep(10)
        for _ in range(3):
            time.sleep(self.busy_s)
            await asyncio.sleep(0)
        return failures.Failure(upstream.UpstreamReason.REFUSED, address)


# Guards against an answer of a crashed endpoint that is taken for complete, as
# the host was too busy to see in time that the address refuses.
@pytest.mark.parametrize(
    ('busy_s', 'sign'),
    [
        (0.08, crash_check.EndpointSign.ENDED),
        (None, crash_check.EndpointSign.UNKNOWN),
    ],
)
async def test_bounded_look_at_an_address(busy_s, sign):
    check = crash_check.CrashCheck(BusyPool(busy_s))
    target = targets.Target('i-1@1', 'i-1', '127.0.0.1:1', 'north', 4)
    start_s = time.monotonic()
    assert await check.look_within(target, 150) is sign
    assert time.monotonic() - start_s < 1.0


class CrashingPool:
    """Connects to an endpoint that crashes after the first connection."""

    def __init__(self):
        self.connects = 0

    async def connect(self, key, address):
        self.connects += 1
        if self.connects > 1:
            return failures.Failure(upstream.UpstreamReason.REFUSED, address)
        await asyncio.sleep(0.05)
        return failures.Failure(upstream.UpstreamReason.UNREACHABLE, address)


# Guards against a broken answer that is taken for complete: a look that had
# begun before the endpoint crashed found it listening.
async def test_answer_that_breaks_during_a_look_waits_for_the_next():
    pool = CrashingPool()
    check = crash_check.CrashCheck(pool)
    target = targets.Target('i-1@1', 'i-1', '127.0.0.1:1', 'north', 4)
    first = asyncio.create_task(check.look_at(target))
    await asyncio.sleep(0.01)
    later = [asyncio.create_task(check.look_at(target)) for _ in range(5)]
    assert await first is crash_check.EndpointSign.UNKNOWN
    for look in later:
        assert await look is crash_check.EndpointSign.ENDED
    # One look for all of them, and nothing is left over.
    assert pool.connects == 2
    assert await check.look_at(target) is crash_check.EndpointSign.ENDED
    assert pool.connects == 3
