"""Measures how long reading a large document stops the event loop.

Run as ``python -m tests.fleet.reading_pause``: it prints milliseconds. In a
process of its own, the garbage of other tests isn't collected meanwhile.
"""

import asyncio
import random
import time

from grpclib import server

from filbertglade.control import state
from filbertglade.fleet import document
from filbertglade.fleet import document_fetcher
from filbertglade.fleet import document_server
from filbertglade.fleet import view
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from filbertglade import packing
from tests import cluster
from tests.fleet import documents

ROUTES = 40_000
TICK_S = 0.005


def build_large(routes):
    rng = random.Random(1)
    route = documents.PLAIN['routes'][0]
    return documents.write(
        documents.build(
            routes=[
                {**route, 'path_prefix': f'/{rng.randbytes(64).hex()}/'}
                for _ in range(routes)
            ]
        )
    )


async def measure_longest_pause_ms(work):
    """Return the event loop's longest pause during some work, in ms."""
    longest_s = 0.0
    task = asyncio.ensure_future(work)
    last_s = time.monotonic()
    while not task.done():
        await asyncio.sleep(TICK_S)
        now_s = time.monotonic()
        longest_s = max(longest_s, now_s - last_s)
        last_s = now_s
    assert task.result() is not None
    return 1000 * longest_s


async def fetch(text):
    """Fetch a document from a control host over a real connection.

    :returns: the view in which it is in force.
    """
    agreed = state.AgreedState()
    put = commands_pb2.PutDocument(version=3, packed_text=packing.pack(text))
    agreed.apply(1, commands_pb2.Command(put_document=put))
    (port,) = cluster.find_free_ports(1)
    counters = metrics.Metrics()
    running = server.Server([document_server.DocumentServer(agreed, counters)])
    await running.start('127.0.0.1', port)
    fleet_view = view.FleetView()
    fetcher = document_fetcher.DocumentFetcher(
        fleet_view,
        lambda: [f'127.0.0.1:{port}'],
        lambda: '',
        channels.SocketChannels(),
        counters,
        random.Random(1),
    )
    fetcher.start()
    fleet_view.apply_frame(
        fleet_pb2.FleetFrame(is_leader=True, document_version=3)
    )
    while not fleet_view.version:  # noqa: ASYNC110
        await asyncio.sleep(TICK_S)
    await fetcher.close()
    running.close()
    await running.wait_closed()
    return fleet_view


def main():
    """Print the longest pause while the largest document is fetched."""
    text = build_large(ROUTES)
    assert len(text) > document.MAX_DOCUMENT_BYTES / 2
    print(asyncio.run(measure_longest_pause_ms(fetch(text))))


if __name__ == '__main__':
    main()
