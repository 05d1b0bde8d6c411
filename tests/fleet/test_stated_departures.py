"""Departures that were stated, and what follows their end."""

import asyncio
import random

from grpclib import server

from filbertglade.fleet import registry
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from tests.control import network
from tests.fleet import test_watcher
from tests import virtual_time

KEY = 'i-1@0'


def announce(endpoint_registry, sequence, **fields):
    """Apply an announcement without a start time."""
    endpoint = fleet_pb2.Endpoint(
        id='i-1',
        service='api',
        address='10.0.0.1:80',
        slots=4,
        sequence=sequence,
        **fields,
    )
    return endpoint_registry.apply(endpoint)


# Guards against requests that are blamed for the end of an endpoint that said
# that it leaves and ended without another call.
def test_silence_after_a_stated_departure_is_no_crash():
    async def check():
        endpoint_registry = registry.Registry(announce_ms=1200)
        announce(endpoint_registry, 1)
        announce(endpoint_registry, 2, leaving=True)
        await asyncio.sleep(3)
        endpoint_registry.sweep()
        assert endpoint_registry.entries[KEY].endpoint.silent
        assert not endpoint_registry.has_crashed(KEY)

    virtual_time.run(check())


async def list_departures_of_next_stream(after_s):
    """Return the departures that a host reports on a stream begun later."""
    links = network.Network()
    links.ports = {'leader': test_watcher.PORT, 'host': 0}
    leader = test_watcher.FakeLeader([test_watcher.FRAME], 0)
    fleet_server = server.Server([leader])
    await fleet_server.start('127.0.0.1', test_watcher.PORT)
    fleet_watcher = watcher.Watcher(
        'host',
        'run',
        [test_watcher.ADDRESS],
        True,
        view.FleetView(),
        network.Channels(links, 'host', {test_watcher.ADDRESS: 'leader'}),
        metrics.Metrics(),
        random.Random(1),
    )
    fleet_watcher.report_leaving(KEY)
    fleet_watcher.start()
    await asyncio.sleep(after_s)
    await fleet_watcher.close()
    fleet_server.close()
    await fleet_server.wait_closed()
    assert list(leader.reports[0].leaving) == [KEY]
    return list(leader.reports[-1].leaving)


# Guards against an endpoint without a start time that has returned under its
# id, and gets no requests any more as hosts report its earlier departure to
# their next leader.
def test_earlier_departure_marks_no_endpoint_that_has_returned():
    async def check():
        endpoint_registry = registry.Registry(announce_ms=1200)
        announce(endpoint_registry, 1)
        endpoint_registry.mark_leaving(KEY, 'host')
        endpoint_registry.deregister('i-1', 0)
        reported = await list_departures_of_next_stream(
            registry.ENDED_RETENTION_MS / 1000 + 30
        )
        endpoint_registry.sweep()
        assert announce(endpoint_registry, 1) is None
        assert endpoint_registry.entries[KEY].is_usable
        for key in reported:
            endpoint_registry.mark_leaving(key, 'host')
        assert endpoint_registry.entries[KEY].is_usable

    virtual_time.run(check())
