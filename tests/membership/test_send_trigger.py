"""Urgent events are sent before the next regular frame."""

import asyncio

from filbertglade.membership import send_trigger
from tests.membership import fakes

NODES = ('node-1', 'node-2', 'node-3')
SPREAD_LIMIT_S = 0.1
BURST = 500


def test_strikes_reach_every_node_before_the_next_regular_frame():
    async def main():
        cluster = fakes.Cluster()
        await cluster.start(NODES)
        try:
            await asyncio.sleep(2)
            for number in range(5):
                digest = b'%d' % number
                reporting = list(cluster.nodes.values())[number % len(NODES)]
                reporting.attachment.report_strike(digest, 'writer-1')
                await fakes.wait_until(
                    lambda digest=digest: all(
                        node.fleet.strikes.find(digest)
                        for node in cluster.nodes.values()
                    ),
                    SPREAD_LIMIT_S,
                )
        finally:
            await cluster.close()

    fakes.run(main())


def test_a_burst_fires_no_more_often_than_the_minimum_interval_allows():
    async def main():
        trigger = send_trigger.SendTrigger()
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for _ in range(BURST):
            trigger.fire()
            await asyncio.sleep(0.001)
        most = (loop.time() - start_s) / send_trigger.MIN_INTERVAL_S + 1
        assert 1 < trigger.count <= most

    fakes.run(main())


def test_firing_during_the_last_frame_is_not_missed():
    async def main():
        trigger = send_trigger.SendTrigger()
        seen_count = trigger.count
        trigger.fire()
        await asyncio.sleep(send_trigger.MIN_INTERVAL_S)
        async with asyncio.timeout(1):
            await trigger.wait(3600, seen_count)
        async with asyncio.timeout(1):
            await trigger.wait(0.01, trigger.count)

    fakes.run(main())
