"""Crashes that are counted against requests, on real connections."""

import asyncio
import time

import pytest

from filbertglade.fleet import crash_reports
from filbertglade.fleet import view
from filbertglade.forwarding import containment
from filbertglade.forwarding import crash_check
from filbertglade.forwarding import faults
from filbertglade.forwarding import targets
from filbertglade.forwarding import upstream
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics

KEY = 'i-1@1'
DIGEST = b'request'
# Longest wait for a strike: a bound for busy machines only.
STRIKE_S = 10
# Most connections of the looks at an endpoint that closes each of them, two
# for each look.
MAX_CONNECTIONS = 2 * (1 + 3)


class Endpoint:
    """An endpoint that accepts connections, and what a host knows of it.

    :ivar connections: how many connections it has accepted.
    :ivar closes_after_s: when it closes each connection; None for never.
    :ivar view: the host's view.
    :ivar reports: what the host reports.
    """

    def __init__(self):
        self.connections = 0
        self.closes_after_s = None
        self._writers = set()
        self.view = view.FleetView()
        self.view.endpoints[KEY] = fleet_pb2.Endpoint(id='i-1', born_ms=1)
        self.reports = crash_reports.CrashReports(
            self.view.struck, lambda: None
        )

    async def start(self):
        self.server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.target = targets.Target(
            KEY, 'i-1', f'127.0.0.1:{port}', 'north', 4
        )

    async def _accept(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        if self.closes_after_s is not None:
            await asyncio.sleep(self.closes_after_s)
            writer.transport.abort()
        await reader.read()

    def end(self):
        """End as a process does."""
        self.server.close()
        for writer in self._writers:
            writer.transport.abort()

    def is_leaving(self, target):
        return self.view.endpoints[target.key].leaving

    def count_strikes(self):
        return self.view.struck.count_strikes(DIGEST)

    def list_reported(self):
        report = fleet_pb2.WatchReport()
        self.reports.write(report)
        return report


@pytest.fixture
async def endpoint():
    started = Endpoint()
    await started.start()
    yield started
    started.end()


@pytest.fixture
async def contained(endpoint):
    """A host that sends requests to the endpoint."""
    counters = metrics.Metrics()
    pool = upstream.UpstreamPool(counters)
    made = containment.Containment(
        endpoint.view,
        endpoint.reports,
        crash_check.CrashCheck(pool),
        faults.FaultTracker(),
        endpoint.is_leaving,
        counters,
    )
    yield made
    await made.close()
    pool.close()


async def wait_until(condition):
    end_s = time.monotonic() + STRIKE_S
    while not condition():
        assert time.monotonic() < end_s, 'condition not true in time'
        await asyncio.sleep(0.01)


async def break_off(contained, endpoint, trial=0):
    """Let a response break off whose endpoint still listens."""
    await contained.record_broken(
        DIGEST, endpoint.target, containment.Permission(trial)
    )
    await wait_until(lambda: endpoint.list_reported().broken_responses)
    assert endpoint.count_strikes() == 0


# Guards against repeats that crash other endpoints, as an endpoint that still
# listens when its response breaks off crashes a little later.
async def test_crash_after_the_look_is_counted_at_once(contained, endpoint):
    await break_off(contained, endpoint, trial=7)
    endpoint.end()
    await wait_until(endpoint.count_strikes)
    (strike,) = endpoint.list_reported().strikes
    assert (strike.endpoint, strike.trial) == (KEY, 7)


# Guards against a strike against a request that only ran on an endpoint that
# was leaving.
async def test_planned_end_after_the_look_is_no_strike(contained, endpoint):
    await break_off(contained, endpoint)
    endpoint.view.endpoints[KEY].leaving = True
    endpoint.end()
    await asyncio.sleep(crash_check.SETTLE_MS / 1000 + 0.3)
    assert endpoint.count_strikes() == 0
    assert not endpoint.list_reported().strikes


# Guards against a strike that outlives an answer that came after the response
# had broken off.
async def test_answer_before_the_late_crash_outweighs_it(contained, endpoint):
    await break_off(contained, endpoint)
    endpoint.view.struck.add_strike(DIGEST, 'i-2@1')
    contained.record_served(DIGEST, containment.Permission())
    endpoint.end()
    await asyncio.sleep(crash_check.SETTLE_MS / 1000 + 0.3)
    assert endpoint.count_strikes() == 0


# Guards against looks without end at an endpoint that closes its connections.
async def test_endpoint_that_closes_connections_is_looked_at_rarely(
    contained, endpoint
):
    endpoint.closes_after_s = crash_check.SETTLE_MS / 1000 + 0.05
    await break_off(contained, endpoint)
    await asyncio.sleep(1.5)
    assert endpoint.connections <= MAX_CONNECTIONS
    assert endpoint.count_strikes() == 0
