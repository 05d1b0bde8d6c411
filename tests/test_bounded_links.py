"""The relay's links carry data at their rate, and share it fairly."""

import asyncio
import signal
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
# A sender's pause between two parts of its data.
PAUSE_S = 0.3
# A relay that the machine lets run for half of the time.
STALL_S = 0.025
RUN_S = 0.025


def _make_sender(size_bytes):
    async def send_all(reader, writer):
        writer.write(b'x' * size_bytes)
        writer.close()

    return send_all


async def _receive(links, host, address, size_bytes):
    """Open a connection from a host; return when all bytes had arrived."""
    reader, writer = await asyncio.open_connection(
        *channels.split_address(links.address)
    )
    writer.write(f'{host} {address}\n'.encode())
    assert await reader.readexactly(1) == b'+'
    assert len(await reader.read()) == size_bytes
    writer.close()
    return time.monotonic()


async def _stall(links):
    """Stop and continue the relay until cancelled."""
    try:
        while True:
            links.send_signal(signal.SIGSTOP)
            await asyncio.sleep(STALL_S)
            links.send_signal(signal.SIGCONT)
            await asyncio.sleep(RUN_S)
    finally:
        links.send_signal(signal.SIGCONT)


async def _receive_all(
    client_bytes_per_s, clients=CLIENTS, size_bytes=SIZE_BYTES, is_late=False
):
    rates = dict.fromkeys(clients, client_bytes_per_s)
    links = bounded_links.Links({SERVER: SERVER_BYTES_PER_S, **rates})
    await links.start()
    stalling = asyncio.create_task(_stall(links)) if is_late else None
    server = await asyncio.start_server(_make_sender(size_bytes), SERVER, 0)
    port = server.sockets[0].getsockname()[1]
    try:
        began_s = time.monotonic()
        ended_s = await asyncio.gather(
            *(
                _receive(links, host, f'{SERVER}:{port}', size_bytes)
                for host in clients
            )
        )
        counters = await links.read_counters()
    finally:
        if stalling is not None:
            stalling.cancel()
            await asyncio.wait([stalling])
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


# Guards against links that carry less than their rate on a busy machine, where
# a test would measure the machine.
async def test_a_relay_that_runs_late_carries_its_rate():
    clients = CLIENTS[:4]
    size_bytes = 3 * SIZE_BYTES
    times_s, _ = await _receive_all(
        SERVER_BYTES_PER_S, clients, size_bytes, is_late=True
    )
    expected_s = len(clients) * size_bytes / SERVER_BYTES_PER_S
    print(f'{max(times_s):.3f} s of {expected_s:.3f} s')
    assert max(times_s) == pytest.approx(expected_s, rel=TOLERANCE)


# Guards against links that make up for time in which there was nothing to
# carry: they would carry more than their rate.
async def test_a_link_does_not_make_up_for_its_senders_pause():
    sent_s = []

    async def send_twice(reader, writer):
        for _ in range(2):
            await asyncio.sleep(PAUSE_S)
            sent_s.append(time.monotonic())
            writer.write(b'x' * SIZE_BYTES)
        writer.close()

    links = bounded_links.Links(
        dict.fromkeys((SERVER, CLIENTS[0]), SERVER_BYTES_PER_S)
    )
    await links.start()
    server = await asyncio.start_server(send_twice, SERVER, 0)
    port = server.sockets[0].getsockname()[1]
    try:
        ended_s = await _receive(
            links, CLIENTS[0], f'{SERVER}:{port}', 2 * SIZE_BYTES
        )
    finally:
        server.close()
        await links.close()
    least_s = SIZE_BYTES / SERVER_BYTES_PER_S * (1 - TOLERANCE)
    assert ended_s - sent_s[1] >= least_s
