"""The connections that a listener has open at a time, with real sockets."""

import asyncio
import contextlib
import pathlib
import socket

import pytest

from filbertglade.budgets import connections
from filbertglade.budgets import process
from filbertglade.gateway import http_server
from filbertglade.gateway import inner_server
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from tests import cluster

DESCRIPTORS = 64
CLIENTS = 100
ROUNDS = 60


def count_descriptors():
    return len(list(pathlib.Path('/proc/self/fd').iterdir()))


async def listen(listener, address):
    budgets = process.Budgets(
        gateway.LimitSettings(max_descriptors=DESCRIPTORS), metrics.Metrics()
    )
    if listener == 'inner':
        server = inner_server.LimitedServer([], budgets)
    else:
        server = http_server.HttpServer(
            lambda request: http_server.Response(200),
            0,
            budgets=budgets,
            listener=listener,
        )
    await server.listen(address)
    return server


# Guards against connections that have descriptors before they are counted, or
# after they aren't: with 16 accepted at a time, 48 above the limit.
@pytest.mark.parametrize('listener', ['control', 'inner', 'health'])
async def test_connections_over_the_limit_have_no_descriptors(listener):
    (port,) = cluster.find_free_ports(1)
    server = await listen(listener, f'127.0.0.1:{port}')
    with contextlib.ExitStack() as stack:
        for _ in range(CLIENTS):
            client = socket.create_connection(('127.0.0.1', port))
            stack.enter_context(contextlib.closing(client))
        before = count_descriptors()
        peak = 0
        for _ in range(ROUNDS):
            await asyncio.sleep(0)
            peak = max(peak, count_descriptors() - before)
        limit = connections.find_limit(listener, DESCRIPTORS)
        assert limit <= peak <= limit + 1
        assert len(server.limit) <= limit
    if listener == 'inner':
        server.close()
    else:
        server.stop()


# Guards against a process with both roles, whose listeners' parts exceed its
# descriptors.
def test_all_listeners_of_a_process_fit_into_its_descriptors():
    names = list(connections.LISTENER_SHARES)
    limits = [
        connections.find_limit(name, 1000, listeners=names) for name in names
    ]
    assert sum(limits) <= 1000 * connections.MAX_SHARE
    assert connections.find_limit('callers', 1000, 900, names) <= limits[0]
