"""Which endpoints may be sent what, by what they said and showed, offline."""

import asyncio
import random
import types

from tornado import httputil

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
DEADLINE_MS = 5000
DEMAND = admission.Demand('api')
SUSPECTS = suspicion.Suspects(b'request')
FIRST, SECOND = 'i-1@1000', 'i-2@1000'


class Pool:
    """Connections to endpoints; none is ever opened.

    :ivar dropped: keys whose idle connections were dropped.
    """

    def __init__(self):
        self.dropped = []

    def drop(self, key):
        self.dropped.append(key)


class Stream:
    suspect_limit_ms = 150.0

    def fail_over(self):
        raise AssertionError('no replica stalls here')


class Host:
    """An entry host that knows some endpoints of a service.

    :ivar reported: endpoints of whose departure the leader was told.
    """

    def __init__(self, *endpoint_ids):
        self.view = view.FleetView()
        self.reported = []
        leader = types.SimpleNamespace(
            in_flight={},
            limited_demand={},
            unused_allowances={},
            crashes=None,
            report_leaving=self.reported.append,
            report_limit=lambda limit: None,
        )
        self.pool = Pool()
        rng = random.Random(1)
        counters = metrics.Metrics()
        self.known = evidence.EndpointEvidence(
            DIALECT,
            self.view,
            leader,
            self.pool,
            statements.EndpointStatements(DIALECT.leaving, counters, rng),
            counters,
            rng,
        )
        self.chooser = choice.Chooser('north', self.view, self.known, rng)
        self.send_frame(*endpoint_ids, is_whole=True)

    def send_frame(self, *endpoint_ids, is_whole=False, **fields):
        self.view.apply_frame(
            fleet_pb2.FleetFrame(
                is_leader=True,
                is_whole=is_whole,
                endpoints=[
                    fleet_pb2.Endpoint(
                        id=endpoint_id,
                        born_ms=1000,
                        service='api',
                        address=f'10.0.0.{number}:80',
                        data_centre='north',
                        slots=4,
                        **fields,
                    )
                    for number, endpoint_id in enumerate(endpoint_ids)
                ],
            )
        )

    def choose(self, *tried):
        """Return the target of a request, or why there is none."""
        return self.chooser.choose(admission.Demand('api', ''), tried)

    def list_chosen(self, *tried):
        """Return the keys of the endpoints that are chosen now."""
        chosen = [self.choose(*tried) for _ in range(40)]
        return {target.key for target in chosen if target}

    async def send(self, target, status=200, **headers):
        """Send a request and read the head of its answer."""
        clearance = await self.known.ask(DEMAND, target, SUSPECTS, DEADLINE_MS)
        assert clearance
        assert self.known.begin(clearance, Stream())
        fields = httputil.HTTPHeaders(
            {name.replace('_', '-'): text for name, text in headers.items()}
        )
        head = upstream.ResponseHead(status, '', fields, 0, False)
        self.known.read_head(clearance, head)
        self.known.end(clearance)

    async def learn_leaving(self, key):
        """Read an answer of an endpoint that leaves."""
        for target in self.chooser.list_targets('api', ''):
            if target.key == key:
                await self.send(target, **{DIALECT.leaving: '1'})

    async def learn_pause(self, key, pause_s):
        """Read an answer of an endpoint that wants nothing for a time."""
        for target in self.chooser.list_targets('api', ''):
            if target.key == key:
                await self.send(
                    target,
                    503,
                    Retry_After=str(pause_s),
                    **{DIALECT.not_run: '1'},
                )


def run(check):
    virtual_time.run(check())


# Guards against requests to an endpoint whose answer says that it leaves.
def test_endpoint_that_says_it_leaves_gets_nothing_new():
    async def check():
        host = Host('i-1', 'i-2')
        await host.learn_leaving(FIRST)
        assert host.list_chosen() == {SECOND}
        assert host.reported == [FIRST]
        assert host.pool.dropped == [FIRST]
        # Neither time nor a frame of a leader that knows less changes that.
        await asyncio.sleep(30)
        host.send_frame('i-1', 'i-2', is_whole=True)
        assert host.list_chosen() == {SECOND}
        assert host.list_chosen(SECOND) == set()

    run(check)


# Guards against callers that are refused though the last endpoint still
# serves, and against requests to it after that.
def test_last_endpoint_gets_requests_for_a_short_time():
    async def check():
        host = Host('i-1')
        await host.learn_leaving(FIRST)
        assert host.list_chosen() == {FIRST}
        # The leader says so too now.
        host.send_frame('i-1', leaving=True)
        assert host.list_chosen() == {FIRST}
        await asyncio.sleep(statements.LAST_ENDPOINT_MS / 1000 + 0.01)
        failure = host.choose()
        assert failure.reason is evidence.NoTargetReason.NO_ENDPOINT
        assert 0 < failure.retry_s <= 2
        host.send_frame('i-2')
        assert host.list_chosen() == {SECOND}

    run(check)


# Guards against a new incarnation that is taken for the one that left.
def test_new_incarnation_is_used():
    async def check():
        host = Host('i-1')
        await host.learn_leaving(FIRST)
        await asyncio.sleep(5)
        host.view.apply_frame(
            fleet_pb2.FleetFrame(
                is_leader=True,
                gone_endpoints=[FIRST],
                endpoints=[
                    fleet_pb2.Endpoint(id='i-1', born_ms=9000, service='api')
                ],
            )
        )
        assert host.list_chosen() == {'i-1@9000'}

    run(check)


# Guards against requests to an endpoint that wants none for a time, and
# against one that gets none afterwards.
def test_paused_endpoint_gets_nothing_until_the_end():
    async def check():
        host = Host('i-1', 'i-2')
        await host.learn_pause(FIRST, 2.5)
        for _ in range(24):
            assert host.list_chosen() == {SECOND}
            await asyncio.sleep(0.1)
        assert host.list_chosen(SECOND) == set()
        await asyncio.sleep(0.11)
        assert host.list_chosen(SECOND) == {FIRST}
        await asyncio.sleep(0.5)
        assert host.list_chosen() == {FIRST, SECOND}

    run(check)


# Guards against refusals that tell a caller to come back too early, or later
# than an endpoint asked for.
def test_refusal_tells_when_the_next_endpoint_can_be_asked():
    async def check():
        host = Host('i-1', 'i-2')
        await host.learn_pause(FIRST, 2.5)
        await host.learn_pause(SECOND, 0.5)
        failure = host.choose()
        assert failure.reason is evidence.NoTargetReason.PAUSED
        assert failure.retry_s == 0.5
        # A request that was sent to the second one, too.
        failure = host.choose(SECOND)
        assert failure.retry_s == 0.5
        await asyncio.sleep(0.51)
        assert host.list_chosen() == {SECOND}

    run(check)


# Guards against a service of one endpoint that is refused for longer than it
# asked for.
def test_only_endpoint_is_asked_at_the_end_of_its_pause():
    async def check():
        host = Host('i-1')
        await host.learn_pause(FIRST, 1)
        assert not host.list_chosen()
        await asyncio.sleep(1.001)
        assert host.list_chosen() == {FIRST}

    run(check)


# Guards against requests that were on their way to an endpoint while it said
# that it leaves or wants nothing.
def test_request_is_withdrawn_before_its_first_byte():
    async def check():
        host = Host('i-1', 'i-2')
        targets = {
            target.key: target
            for target in host.chooser.list_targets('api', '')
        }
        leaving = await host.known.ask(
            DEMAND, targets[FIRST], SUSPECTS, DEADLINE_MS
        )
        paused = await host.known.ask(
            DEMAND, targets[SECOND], SUSPECTS, DEADLINE_MS
        )
        await host.learn_leaving(FIRST)
        await host.learn_pause(SECOND, 1)
        for clearance in (leaving, paused):
            assert not host.known.begin(clearance, Stream())
            host.known.end(clearance)
        refusal = await host.known.ask(
            DEMAND, targets[SECOND], SUSPECTS, DEADLINE_MS
        )
        assert refusal.reason is evidence.WithdrawnReason.CHANGED
        target = targets[FIRST]
        assert host.known.loads.count_in_flight(target) == 0

    run(check)


# Guards against a limit that ends by the answer of another endpoint, which has
# taken the address over.
def test_answer_of_another_endpoint_changes_no_limit():
    async def check():
        host = Host('i-1')
        host.view.set_limit(FIRST, 3.0)
        host.view.apply_frame(
            fleet_pb2.FleetFrame(
                is_leader=True,
                allowances=[fleet_pb2.Allowance(endpoint=FIRST, requests=1)],
            )
        )
        await host.send(host.choose(), status=421)
        assert host.view.find_limit(FIRST) == 3.0

    run(check)
