"""What endpoints that leave are sent, and what their ends count for."""

import asyncio
import random
import types

import pytest
from tornado import httputil

from filbertglade import failures
from filbertglade.fleet import crash_reports
from filbertglade.fleet import dialects
from filbertglade.fleet import statements
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.forwarding import choice
from filbertglade.forwarding import evidence
from filbertglade.forwarding import suspicion
from filbertglade.forwarding import upstream
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from tests import virtual_time

DIALECT = dialects.DEFAULT
DEMAND = admission.Demand('api')
SUSPECTS = suspicion.Suspects(b'request')
KEY = 'i-1@1000'


class Pool:
    """Connections to an endpoint that has ended: all are refused."""

    def drop(self, key):
        """Do nothing."""

    async def connect(self, key, address):
        return failures.Failure(upstream.UpstreamReason.REFUSED, address)


class Stream:
    suspect_limit_ms = 150.0

    def fail_over(self):
        raise AssertionError('no replica stalls here')


class Host:
    """An entry host that knows one endpoint and has sent it a request."""

    def __init__(self):
        self.view = view.FleetView()
        leader = types.SimpleNamespace(
            in_flight={},
            limited_demand={},
            unused_allowances={},
            crashes=crash_reports.CrashReports(self.view.struck, lambda: None),
            report_leaving=lambda key: None,
            report_limit=lambda limit: None,
        )
        rng = random.Random(1)
        counters = metrics.Metrics()
        self.known = evidence.EndpointEvidence(
            DIALECT,
            self.view,
            leader,
            Pool(),
            statements.EndpointStatements(DIALECT.leaving, counters, rng),
            counters,
            rng,
        )
        self.chooser = choice.Chooser('north', self.view, self.known, rng)
        self.clearance = None

    def send_frame(self, **fields):
        self.view.apply_frame(
            fleet_pb2.FleetFrame(
                is_leader=True,
                endpoints=[
                    fleet_pb2.Endpoint(
                        id='i-1',
                        born_ms=1000,
                        service='api',
                        address='10.0.0.1:80',
                        slots=4,
                        **fields,
                    )
                ],
            )
        )

    def send_departure(self):
        self.view.apply_frame(
            fleet_pb2.FleetFrame(is_leader=True, gone_endpoints=[KEY])
        )

    def choose(self):
        return self.chooser.choose(DEMAND, ())

    async def begin(self):
        """Send a request."""
        self.clearance = await self.known.ask(
            DEMAND, self.choose(), SUSPECTS, 30_000
        )
        assert self.known.begin(self.clearance, Stream())

    def answer(self, **headers):
        """Read the head of its answer."""
        fields = httputil.HTTPHeaders(headers)
        head = upstream.ResponseHead(200, '', fields, 0, False)
        self.known.read_head(self.clearance, head)

    async def break_off(self, sign):
        """Let the connection break as the endpoint ends."""
        await self.known.record(self.clearance, sign, 'closed')
        self.known.end(self.clearance)
        await self.known.close()

    def count_strikes(self):
        return self.view.struck.count_strikes(SUSPECTS.request)


# Guards against requests to an endpoint that announced its departure long
# before the answer to a slow request says so too.
def test_late_answer_makes_no_announced_departure_recent():
    async def check():
        host = Host()
        host.send_frame()
        await host.begin()
        host.send_frame(leaving=True)
        assert not host.choose()
        await asyncio.sleep(5)
        assert not host.choose()
        host.answer(**{DIALECT.leaving: '1'})
        host.known.end(host.clearance)
        assert not host.choose()

    virtual_time.run(check())


# Guards against strikes for endpoints that ended as they had said.
@pytest.mark.parametrize('statement', ['answered', 'announced', 'departed'])
@pytest.mark.parametrize(
    'sign', [evidence.Sign.BROKEN, evidence.Sign.BROKEN_KEPT]
)
def test_end_of_an_endpoint_that_leaves_strikes_no_request(statement, sign):
    async def check():
        host = Host()
        host.send_frame()
        await host.begin()
        if statement == 'answered':
            host.answer(**{DIALECT.leaving: '1'})
        elif statement == 'announced':
            host.send_frame(leaving=True)
        else:
            host.send_departure()
        assert host.known.is_leaving(host.clearance.target)
        await host.break_off(sign)
        assert host.count_strikes() == 0

    virtual_time.run(check())
