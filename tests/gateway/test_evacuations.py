"""Operators' evacuations, by control hosts that are lost, in virtual time."""

import asyncio
from urllib import parse

import orjson
import pytest

from filbertglade.fleet import departure_log
from filbertglade.fleet import registry
from filbertglade.gateway import control_api
from filbertglade.gateway import control_context
from filbertglade.gateway import http_server
from filbertglade.inner import commands_pb2
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from tests.control import cluster

# Time after which an operator goes on to another control host.
ANSWER_S = 1.0
NAME = 'süd 2/b'


class _Observed:
    index = None

    def list_replicas(self):
        return [
            fleet_pb2.Replica(service='models', model='big', evacuated=True)
        ]


def open_api(node):
    counters = metrics.Metrics()
    recorder = departure_log.DepartureLog(node.state, node.agreement, counters)
    context = control_context.ControlContext(
        '127.0.0.1:7000',
        node.state,
        node.agreement,
        registry.Registry(1200, recorder),
        recorder,
        counters,
        _Observed(),
    )
    return control_api.ControlApi(context)


async def call(node, method, target):
    answer = open_api(node).handle(http_server.Request(method, target, b''))
    if not asyncio.iscoroutine(answer):
        return answer
    async with asyncio.timeout(ANSWER_S):
        return await answer


async def order(node, name=NAME, what='start'):
    quoted = parse.quote(name, safe='')
    answer = await call(node, 'POST', f'/v1/evacuations/{quoted}/{what}')
    return answer.status


async def list_names(group):
    leader = await group.leader()
    answer = await call(leader, 'GET', '/v1/evacuations')
    assert answer.status == 200
    listed = orjson.loads(answer.body)
    assert listed['models_without_group'] == ['models/big']
    return [item['data_centre'] for item in listed['evacuations']]


async def fill_log(leader):
    for _ in range(30):
        await cluster.submit(
            leader,
            commands_pb2.Command(no_operation=commands_pb2.NoOperation()),
        )


def test_orders_and_resends_are_acknowledged():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            assert await order(leader, what='end') == 200
            assert await order(leader) == 200
            index = leader.state.evacuations.changed_index
            assert await order(leader) == 200
            assert leader.state.evacuations.changed_index == index
            assert await list_names(group) == [NAME]
            assert await order(leader, what='end') == 200
            assert await list_names(group) == []

    cluster.run(scenario())


# Guards against a refusal that ends a proper order.
def test_only_improper_calls_are_refused():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            assert await order(leader, 'x' * 200) == 200
            assert await order(leader, 'x' * 201) == 400
            assert await order(leader, '') == 400
            path = '/v1/evacuations/'
            assert (await call(leader, 'POST', f'{path}%FF/end')).status == 400
            assert (await call(leader, 'GET', f'{path}a/end')).status == 405
            for number in range(63):
                assert await order(leader, f'dc-{number}') == 200
            assert await order(leader, 'one too many') == 503

    cluster.run(scenario())


def test_other_hosts_redirect_to_the_leader():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.pass_time(1.0)
            for node in group.up:
                if node is not leader:
                    target = '/v1/evacuations/s%C3%BCd/start'
                    answer = await call(node, 'POST', target)
                    assert answer.status == 307
                    assert answer.headers['Location'].endswith(target)
            group.network.isolate(leader.name, group.names)
            others = [node for node in group.up if node is not leader]
            await group.pass_time(0.5)
            assert await order(leader) == 503
            await group.wait_until(
                lambda: set(group.acting_leaders) & set(others)
            )
            assert await order(group.acting_leaders[-1]) == 200

    cluster.run(scenario())


# Guards against an acknowledged evacuation that a later leader doesn't know.
@pytest.mark.parametrize('what', ('start', 'end'))
@pytest.mark.parametrize('has_snapshot', (False, True))
@pytest.mark.parametrize('loss', ('leader', 'all', 'two disks'))
def test_acknowledged_order_survives(loss, has_snapshot, what):
    async def scenario():
        async with cluster.Cluster(5, snapshot_entries=20) as group:
            leader = await group.leader()
            await group.pass_time(2.0)
            if what == 'end':
                assert await order(leader) == 200
            if has_snapshot:
                await fill_log(leader)
            assert await order(leader, what=what) == 200
            index = leader.state.evacuations.changed_index
            if loss == 'leader':
                await leader.stop()
            else:
                nodes = list(group.up)
                for node in nodes:
                    await node.stop()
                if loss == 'two disks':
                    # The leader's own disk, and one more.
                    others = [node for node in nodes if node is not leader]
                    nodes = others[1:]
                for node in nodes:
                    assert await node.start() is None
            expected = [NAME] if what == 'start' else []
            assert await list_names(group) == expected
            following = await group.leader()
            assert following.state.evacuations.changed_index == index
            # A resend changes nothing.
            assert await order(following, what=what) == 200
            assert await list_names(group) == expected

    cluster.run(scenario())


# Guards against an acknowledgement before the commit, and against an earlier
# order that is carried out after a later one.
def test_order_without_a_majority_is_not_acknowledged():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            group.network.isolate(leader.name, group.names)
            assert await order(leader) == 503
            assert not leader.state.evacuations.names
            await group.wait_until(
                lambda: group.acting_leaders not in ([], [leader])
            )
            following = await group.leader()
            assert await order(following) == 200
            assert await order(following, what='end') == 200
            group.network.heal()
            await group.pass_time(5.0)
            for node in group.up:
                assert not node.state.evacuations.names

    cluster.run(scenario())


# Guards against an order that isn't answered in time to go on to another host.
def test_order_whose_commit_takes_too_long_gets_503():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            for node in group.up:
                node.disk.write_s = 1.5
            assert await order(leader) == 503
            assert not leader.state.evacuations.names

    cluster.run(scenario())
