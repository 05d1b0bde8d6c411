"""What endpoints send to a control host that relays to the leader."""

import asyncio
import json

from filbertglade.gateway import control_api
from filbertglade.gateway import http_messages
from filbertglade.gateway import relay_role
from tests.fleet import partitioned
from tests import virtual_time

ANNOUNCEMENT = {
    'service': 'api',
    'address': '10.0.0.1:80',
    'zone': 'north',
    'state': 'ready',
    'sequence': 1,
    'slots': 4,
    'born': 1000,
}


async def send(host, path, method='POST', **fields):
    """Send a request to a control host; return the response and its time."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    answer = control_api.ControlApi(host.context).handle(
        http_messages.Request(
            method, path, json.dumps(ANNOUNCEMENT | fields).encode()
        )
    )
    if asyncio.iscoroutine(answer):
        answer = await answer
    return answer, loop.time() - start_s


def announce(host, **fields):
    return send(host, '/v1/endpoints/i-1/announcement', **fields)


def play(scene):
    async def main():
        deployment = partitioned.Deployment()
        deployment.lead('c1')
        async with deployment.run():
            await scene(deployment, *deployment.hosts.values())

    virtual_time.run(main())


# Guards against endpoints that are redirected to a leader that they can't
# reach, and count as silent.
def test_announcement_is_answered_by_the_leader():
    async def scene(deployment, leader, hop, *others):
        response, took_s = await announce(hop)
        assert response.status == 200
        assert json.loads(response.body) == {'announce_to': '127.0.1.1:80'}
        assert 'i-1@1000' in leader.leading.registry.entries
        assert not hop.leading.registry.entries
        assert took_s <= 0.05 + 4 * 0.0005
        refused, _ = await announce(hop, sequence=2, state='unknown')
        direct, _ = await announce(leader, sequence=2, state='unknown')
        assert refused.status == direct.status == 400
        assert refused.body == direct.body

    play(scene)


# Guards against a message that is relayed twice, or around in a loop.
def test_announcement_takes_one_hop():
    async def scene(deployment, old, hop, new, *others):
        deployment.lead('c3', known_to=('c1', 'c3'))
        # The hop doesn't know yet that its leader was replaced.
        response, _ = await announce(hop)
        assert response.status == 503
        assert not new.leading.registry.entries
        assert not old.counters.counter('relayed_messages', outcome='answered')

    play(scene)


def test_lost_leader_is_not_waited_for_without_end():
    async def scene(deployment, leader, hop, *others):
        deployment.links.cut('c1', 'c2')
        response, took_s = await announce(hop)
        assert response.status == 503
        assert took_s <= relay_role.ANSWER_TIMEOUT_MS / 1000 + 0.3
        hop.voters.leader = ''
        response, took_s = await announce(hop)
        assert (response.status, took_s) == (503, 0)

    play(scene)


# Guards against operators' orders that are carried out after their sender has
# given them up.
def test_orders_are_redirected_as_before():
    async def scene(deployment, leader, hop, *others):
        for path in ('/v1/routing', '/v1/evacuations/north/start'):
            response, _ = await send(hop, path)
            assert response.status == 307
            location = response.headers['Location']
            assert location == f'http://127.0.1.1:80{path}'
        assert not hop.counters.counter('relayed_messages', outcome='answered')
        hop.voters.leader = ''
        response, _ = await send(hop, '/v1/routing')
        assert response.status == 503

    play(scene)


# Guards against endpoints that are refused at a busy control host although
# they reach the leader.
def test_endpoints_are_redirected_by_a_busy_hop():
    async def scene(deployment, leader, hop, *others):
        deployment.links.cut('c1', 'c2')
        waiting = [
            asyncio.create_task(announce(hop))
            for _ in range(relay_role.MAX_MESSAGES)
        ]
        await asyncio.sleep(0.1)
        response, _ = await announce(hop)
        assert response.status == 307
        answers = await asyncio.gather(*waiting)
        assert {response.status for response, _ in answers} == {503}
        assert hop.role.has_room

    play(scene)


def test_endpoints_are_redirected_without_the_setting():
    async def scene(deployment, leader, hop, *others):
        hop.context.leader_caller = None
        response, _ = await announce(hop)
        assert response.status == 307

    play(scene)
