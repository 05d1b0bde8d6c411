"""Real control hosts that relay between hosts cut off from each other."""

import asyncio

import httpx

from tests.fleet import fleet_hosts

RATE = 1_250_000
# Longest waits, which are bounds for busy machines only: the times are checked
# in virtual time.
LIMIT_S = 15.0


# Guards against parts that work by themselves and aren't put together in the
# processes: the service, the search, and the announcements.
async def test_cut_off_hosts_are_served_over_a_hop(tmp_path):
    async with fleet_hosts.Fleet(
        tmp_path, 1, RATE, RATE, control_hosts=3, tolerated_data_centres=1
    ) as fleet:
        leader = await fleet.find_leader()
        (watching,) = fleet.watchers
        cut, hop = [item for item in fleet.controls if item is not leader]
        await fleet.links.cut(watching.host, leader.host)
        await fleet.links.cut(cut.host, leader.host)

        async def uses_hop():
            relayed = {
                line['watcher']
                for line in hop.read_log()
                if line.get('message_type') == 'relay.started'
            }
            return relayed == {watching.name, cut.name}

        assert await fleet.wait_until(uses_hop, LIMIT_S)
        urls = dict(zip(fleet.controls, fleet.control_urls, strict=True))
        async with httpx.AsyncClient(timeout=5) as client:
            path = f'{urls[cut]}/v1/routing'
            assert (await client.get(path)).status_code == 503
            path = f'{urls[hop]}/v1/routing'
            assert (await client.get(path)).status_code == 307
        fleet.control_urls = [urls[hop]]
        fleet.client.follow_redirects = False
        await fleet.announce('i-cut')

        async def is_told():
            return 'i-cut' in watching.endpoints

        assert await fleet.wait_until(is_told, LIMIT_S)
        await fleet.links.mend(watching.host, leader.host)
        await fleet.links.mend(cut.host, leader.host)

        async def is_back():
            await asyncio.sleep(0.1)
            ended = hop.count_events('relay.ended')
            is_over = ended == hop.count_events('relay.started')
            return is_over and watching._process._watcher.watched_leader

        assert await fleet.wait_until(is_back, LIMIT_S)
