"""Explanations of where requests would go, offline."""

import asyncio
import collections
import functools
import random

import google.protobuf.message
import pytest
from tornado import httputil

from filbertglade.budgets import process
from filbertglade.fleet import cold_permits
from filbertglade.fleet import dialects
from filbertglade.fleet import statements
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.forwarding import where
from filbertglade.gateway import entry_role
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from tests.fleet import documents
from tests.gateway_forwarding import test_uncertain_document as offline
from tests import virtual_time

HEADERS = {'Host': 'desk.example', dialects.DEFAULT.key: 'key-1'}
POLICIES = [
    (selection, admission)
    for selection in ('load', 'cost', 'two_choices')
    for admission in ('slots', 'urgency')
]


class Pool:
    """Records what is sent."""

    def __init__(self):
        self.keys = []

    def take_idle(self, key, max_idle_ms):
        self.keys.append(key)
        return offline.EndpointConnection()

    def keep(self, connection):
        pass


def build_replica(number, **fields):
    return fleet_pb2.Replica(
        **{
            'group': f'g-{number}',
            'epoch': 1,
            'service': 'models',
            'model': 'big',
            'head_id': f'h-{number}',
            'head_born_ms': 1,
            'address': f'10.0.0.{number}:80',
            'data_centre': 'north',
            'slots': 4,
            'usable': True,
            **fields,
        }
    )


def build_endpoint(number, **fields):
    return fleet_pb2.Endpoint(
        id=f'w-{number}',
        service='api',
        address=f'10.0.1.{number}:80',
        data_centre='north',
        slots=4,
        **fields,
    )


class Host:
    """An entry host with a document, which is told of endpoints."""

    def __init__(self, selection='load', admission='slots', **frame):
        counters, rng = metrics.Metrics(), random.Random(1)
        fleet_view = view.FleetView()
        self.leader = watcher.Watcher(
            'e-1', 'run', [], True, fleet_view, None, counters, rng
        )
        settings = gateway.GatewaySettings(
            'e-1',
            'central',
            'north',
            gateway.GatewayListenSettings('127.0.0.1:0'),
            gateway.GatewayControlSettings([]),
            scheduling=gateway.SchedulingSettings(selection, admission),
        )
        self.stated = statements.EndpointStatements('Leaving', counters, rng)
        self.role = entry_role.EntryRole(
            settings,
            dialects.DEFAULT,
            fleet_view,
            self.leader,
            self.stated,
            counters,
            rng,
            process.build_default(),
        )
        self.shared = self.role.shared
        self.shared.pool = Pool()
        self.view = fleet_view
        # The stand-in for endpoints has no streams.
        data = documents.build()
        data['routes'][2].update(kind='safe', resumable=False)
        offline.Host.deliver(self, data)
        self.view.apply_frame(
            fleet_pb2.FleetFrame(is_leader=True, is_whole=True, **frame)
        )

    announce = offline.Host.announce
    send = offline.Host.send

    def explain(self, path, **headers):
        question = where.Question(
            'GET', path, httputil.HTTPHeaders({**HEADERS, **headers})
        )
        return where.explain(self.shared, question)


def run(check):
    virtual_time.run(check())


def freeze(value, seen):
    """Return all that can be reached from a value, for comparison."""
    if id(value) in seen or callable(value) or isinstance(value, type):
        return None
    if value is None or isinstance(value, str | bytes | int | float):
        return value
    seen[id(value)] = value
    go_on = functools.partial(freeze, seen=seen)
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, google.protobuf.message.Message):
        return value.SerializeToString(deterministic=True)
    if isinstance(value, dict):
        return [(repr(key), go_on(item)) for key, item in value.items()]
    if isinstance(value, list | tuple | collections.deque):
        return [go_on(item) for item in value]
    if isinstance(value, set | frozenset):
        return sorted(map(repr, value))
    if not type(value).__module__.startswith('filbertglade'):
        return None
    slots = [
        name
        for kind in type(value).__mro__
        for name in getattr(kind, '__slots__', ())
    ]
    fields = {name: getattr(value, name, None) for name in slots}
    fields.update(getattr(value, '__dict__', {}))
    return [(name, go_on(fields[name])) for name in sorted(fields)]


# Guards against explanations that use up permits, allowances or tokens, count
# requests, are learned from, draw random numbers or send something.
@pytest.mark.parametrize('selection, admission', POLICIES)
def test_explanation_changes_and_sends_nothing(selection, admission):
    async def check():
        permit = cold_permits.PERMIT_PREFIX
        host = Host(
            selection,
            admission,
            replicas=[build_replica(i) for i in range(6)],
            endpoints=[build_endpoint(i) for i in range(4)],
            in_flight={'g-0': 4, 'g-3': 2},
            cold_endpoints=[
                fleet_pb2.ColdEndpoint(
                    endpoint=key, requests_per_s=2, remaining_ms=remaining_ms
                )
                for key, remaining_ms in (
                    ('h-1@1', 60_000),
                    ('h-2@1', 10),
                    ('w-1', 900),
                )
            ],
            limits=[
                fleet_pb2.EndpointLimit(endpoint=key, requests_per_s=3)
                for key in ('h-3@1', 'w-2')
            ],
            allowances=[
                fleet_pb2.Allowance(endpoint=key, requests=1)
                for key in ('h-3@1', permit + 'h-1@1', permit + 'w-1')
            ],
        )
        for path in ('/read/x', '/tell/x'):
            await host.send(path).finish()
        shared, sent = host.shared, list(host.shared.pool.keys)
        assert len(sent) == 2
        # The second time limits, permits and what is cold have expired, and
        # the host has no leader.
        for _ in range(2):
            # It empties buffers of the metrics.
            text = shared.counters.render_text()
            before = freeze([shared, host.leader], {})
            for path in ('/read/x', '/tell/x', '/other/x'):
                host.explain(
                    path,
                    **{
                        dialects.DEFAULT.deadline: '1500',
                        dialects.DEFAULT.token_counts: '100,50',
                    },
                )
            assert freeze([shared, host.leader], {}) == before
            assert shared.counters.render_text() == text
            assert shared.pool.keys == sent
            await asyncio.sleep(3)
        await host.role.close()

    run(check)


# Guards against explanations that differ from what is done.
@pytest.mark.parametrize('selection, admission', POLICIES)
@pytest.mark.parametrize('path', ['/read/x', '/tell/x'])
def test_explanation_equals_the_next_choices(selection, admission, path):
    async def check():
        host = Host(
            selection,
            admission,
            replicas=[build_replica(i) for i in range(8)],
            endpoints=[build_endpoint(i) for i in range(8)],
            in_flight={'g-0': 2, 'g-3': 1},
        )
        foretold = []
        for _ in range(100):
            found = host.explain(path, **{dialects.DEFAULT.deadline: '4000'})
            [chosen] = [item for item in found.targets if item.is_chosen]
            foretold.append(chosen.endpoint)
            await host.send(path).finish()
        pairs = zip(foretold, host.shared.pool.keys, strict=False)
        assert sum(one == other for one, other in pairs) >= 95
        assert len(set(foretold)) > 2
        await host.role.close()

    run(check)


# Guards against explanations that leave out why a target is passed over, and
# against refusals that are explained by another reason than callers are told.
@pytest.mark.parametrize('selection', ['load', 'two_choices'])
def test_each_obstacle_is_named(selection):
    async def check():
        replicas = [
            build_replica(0, usable=False),
            build_replica(1, data_centre='south'),
            *(build_replica(i) for i in range(2, 5)),
            *(build_replica(i, slots=9) for i in range(5, 80)),
        ]
        host = Host(
            selection,
            replicas=replicas,
            in_flight={'g-2': 4},
            evacuated_data_centres=['south'],
            evacuations_index=1,
            cold_endpoints=[
                fleet_pb2.ColdEndpoint(
                    endpoint='h-3@1', requests_per_s=2, remaining_ms=900
                )
            ],
        )
        host.stated.read('h-4@1', 200, {'Leaving': '1'}, was_announced=True)
        host.stated.read('h-5@1', 503, {'Retry-After': '2'})
        found = host.explain('/tell/x')
        assert (found.route, found.customer) == ('tell', 'garden')
        assert (found.service, found.model) == ('models', 'big')
        assert found.is_sent
        assert found.target_count == 80
        assert len(found.targets) == where.MAX_TARGETS
        assert found.targets[0].is_chosen
        # No policy draws what is ruled out.
        for _ in range(100):
            await host.send('/tell/x').finish()
        assert not set(host.shared.pool.keys) & {f'h-{i}@1' for i in range(6)}

        host.view.apply_frame(
            fleet_pb2.FleetFrame(
                is_leader=True, is_whole=True, replicas=replicas[:6]
            )
        )
        host.view.in_flight['g-2'] = 4
        found = host.explain('/tell/x')
        ruled_out = {item.group: item.ruled_out for item in found.targets}
        assert ruled_out == {
            'g-0': 'no complete group',
            'g-1': 'data centre evacuated',
            'g-2': 'no capacity for this request',
            'g-3': 'cold, and this host has no permit',
            'g-4': 'leaving',
            'g-5': 'wants no requests for 2000 ms',
        }
        assert (found.is_sent, found.reason) == (False, 'full: 4 in flight')
        assert found.retry_after_s > 0
        call = host.send('/tell/x')
        assert (await call.finish())[0] == 503
        assert found.reason in call.connection.body.decode()
        await host.role.close()

    run(check)


# Guards against errors that don't tell a wrong host name from a wrong path.
def test_what_matches_nothing_is_named():
    async def check():
        host = Host()
        assert "unknown host name 'x.example'" in host.explain(
            '/read/x', Host='x.example:80'
        )
        assert 'matches the path' in host.explain('/other/x')
        assert host.explain('/read/x', **{dialects.DEFAULT.key: 'x'}) == (
            'unknown key'
        )
        await host.role.close()

    run(check)
