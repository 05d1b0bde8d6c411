"""The relay's links carry data at their rate, and share it fairly."""

import asyncio
import time

import pytest

from filbertglade.inner import channels
from tests import bounded_links

SERVER = '127.0.1.1'
CLIENTS = [f'127.0.2.{index}' for index in range(1, 11)]
SIZE_BYTES = 200_000
SERVER_BYTES_PER_S = 2_000_000
# Late timers and the connections' own buffers, on a busy machine.
TOLERANCE = 0.25


async def _send_all(reader, writer):
    writer.write(b'x' * SIZE_BYTES)
    writer.close()


async def _receive(links, host, address):
    """Open a connection from a host; return when all bytes had arrived."""
    reader, writer = await asyncio.open_connection(
        *channels.split_address(links.address)
    )
    writer.write(f'{host} {address}\n'.encode())
    assert await reader.readexactly(1) == b'+'
    assert len(await reader.read()) == SIZE_BYTES
    writer.close()
    return time.monotonic()


async def _receive_all(client_bytes_per_s):
    rates = dict.fromkeys(CLIENTS, client_bytes_per_s)
    links = bounded_links.Links({SERVER: SERVER_BYTES_PER_S, **rates})
    await links.start()
    server = await asyncio.start_server(_send_all, SERVER, 0)
    port = server.sockets[0].getsockname()[1]
    try:
        began_s = time.monotonic()
        ended_s = await asyncio.gather(
            *(_receive(links, host, f'{SERVER}:{port}') for host in CLIENTS)
        )
        counters = await links.read_counters()
    finally:
        server.close()
        await links.close()
    return [end_s - began_s for end_s in ended_s], counters


async def test_connections_share_their_hosts_link_fairly():
    times_s, counters = await _receive_all(SERVER_BYTES_PER_S)
    expected_s = len(CLIENTS) * SIZE_BYTES / SERVER_BYTES_PER_S
    assert min(times_s) >= expected_s * (1 - TOLERANCE)
    assert max(times_s) == pytest.approx(expected_s, rel=TOLERANCE)
    assert counters[SERVER].sent == len(CLIENTS) * SIZE_BYTES
    assert counters[CLIENTS[0]].received == SIZE_BYTES


async def test_the_slower_link_of_a_connection_bounds_it():
    client_bytes_per_s = SERVER_BYTES_PER_S / len(CLIENTS) / 2
    times_s, _ = await _receive_all(client_bytes_per_s)
    expected_s = SIZE_BYTES / client_bytes_per_s
    assert min(times_s) >= expected_s * (1 - TOLERANCE)
    assert max(times_s) == pytest.approx(expected_s, rel=TOLERANCE)
