"""What is urgent goes out before the next regular frame."""

import asyncio

from filbertglade.membership import alarms
from tests.membership import fakes

NODES = ('node-1', 'node-2', 'node-3')
SPREAD_LIMIT_S = 0.1
BURST = 500


def test_strikes_reach_every_node_out_of_turn():
    async def main():
        cluster = fakes.Cluster()
        await cluster.start(NODES)
        try:
            await asyncio.sleep(2)
            for number in range(5):
                digest = b'%d' % number
                striking = list(cluster.nodes.values())[number % len(NODES)]
                striking.attachment.report_strike(digest, 'writer-1')
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


def test_a_burst_rings_no_more_often_than_the_gap_allows():
    async def main():
        alarm = alarms.Alarm()
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        for _ in range(BURST):
            alarm.ring()
            await asyncio.sleep(0.001)
        most = (loop.time() - begun_s) / alarms.LEAST_GAP_S + 1
        assert 1 < alarm.count <= most

    fakes.run(main())


def test_an_alarm_during_the_last_frame_is_not_missed():
    async def main():
        alarm = alarms.Alarm()
        heard = alarm.count
        alarm.ring()
        await asyncio.sleep(alarms.LEAST_GAP_S)
        async with asyncio.timeout(1):
            await alarm.sleep(3600, heard)
        async with asyncio.timeout(1):
            await alarm.sleep(0.01, alarm.count)

    fakes.run(main())
