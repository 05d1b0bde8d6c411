"""Requests at one node while data centres are evacuated, offline."""

import random
import types

import pytest

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import dialects
from filbertglade.fleet import evacuated
from filbertglade.fleet import statements
from filbertglade.inner import membership_pb2
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import caller_request
from filbertglade.requests import dispatch_permission
from filbertglade.requests import endpoint_pool
from filbertglade.requests import endpoint_response
from filbertglade.requests import endpoint_wait
from filbertglade.requests import execution
from filbertglade.requests import execution_context
from filbertglade.requests import outcomes
from filbertglade.requests import permitted_endpoints
from filbertglade.requests import retry_budget
from filbertglade.requests import strikes
from filbertglade.routing import baselines
from tests import fakes
from tests.requests import test_permitted_endpoints
from tests import virtual_time

Reason = outcomes.RefusalReason
EndpointReason = endpoint_response.EndpointFailureReason
TARGET = 'writer'
RESUME = endpoint_pool.Call('POST', '/', {'X-Resume-From': '1'}, b'{}')


class Pool:
    """A pool whose calls fail as a test says before others are answered.

    :ivar failures: reasons for which the next sent calls fail.
    :ivar evacuates_at: number of the connection during which the data centre
        of its endpoint is evacuated; None for none.
    :ivar attempts: addresses of all connections.
    :ivar sent: addresses that calls were sent to.
    """

    def __init__(self):
        self.failures = []
        self.evacuates_at = None
        self.attempts = []
        self.sent = []
        self.node = None

    async def start_call(self, address, call, timeout_ms, may_send):
        self.attempts.append(address)
        if len(self.attempts) == self.evacuates_at:
            self.node.evacuate(self.node.places[address])
        if not may_send():
            return failures.Failure(EndpointReason.WITHDRAWN)
        self.sent.append(address)
        if self.failures:
            return failures.Failure(self.failures.pop(0))
        return test_permitted_endpoints.FakeResponse()

    async def look_at(self, address):
        return None


class Node:
    """A node that knows one group, or worker, in each of two places.

    The second host of each group is in a place of its own.
    """

    def __init__(self, is_service):
        self.places = {'north:1': 'north', 'south:1': 'south'}
        self.settings = fakes.build_settings()
        self.is_service = is_service
        self.pool = Pool()
        self.pool.node = self
        self.index = 0
        self.counters = metrics.Metrics()
        self.fleet = view.FleetView(self.settings)
        rng = random.Random(1)
        for place in ('north', 'south'):
            self.fleet.note_worker(
                membership_pb2.WorkerLine(
                    host=f'worker-{place}',
                    run='run',
                    service='files',
                    address=f'{place}:1',
                    data_centre=place,
                ),
                0,
            )
            self.fleet.note_group(
                membership_pb2.GroupLine(
                    group=f'group-{place}',
                    epoch=1,
                    deployment=TARGET,
                    hosts=[f'{place}-1', f'{place}-2'],
                    run='run',
                    address=f'{place}:1',
                    data_centre=place,
                    data_centres=[place, f'{place}-annex'],
                    complete=True,
                ),
                0,
            )
        self.context = execution_context.ExecutionContext(
            settings=self.settings,
            fleet=self.fleet,
            attached=types.SimpleNamespace(report_loss=lambda *_: None),
            pool=self.pool,
            selector=baselines.RoundRobinSelector(rng),
            budget=retry_budget.RetryBudget(self.counters),
            strikes=strikes.StrikeTracker(self.fleet, None, self.counters),
            permitted=permitted_endpoints.PermittedEndpoints(
                statements.EndpointStatements(
                    dialects.DEFAULT.leaving, self.counters, rng
                ),
                rng,
            ),
            wait_limits=endpoint_wait.EndpointWaitLimits(self.settings),
            counters=self.counters,
        )

    def evacuate(self, *names, index=None):
        self.index += 1
        self.fleet.evacuated.apply(
            membership_pb2.ControlFrame(
                evacuated_data_centres=names,
                evacuations_index=self.index if index is None else index,
            )
        )

    async def run(self, is_stream=False, is_repeatable=True):
        request = caller_request.CallerRequest(
            customer=fakes.build_customer('one'),
            target='files' if self.is_service else TARGET,
            is_service=self.is_service,
            call=endpoint_pool.Call('POST', '/', {}, b'{}'),
            is_stream=is_stream,
            is_repeatable=is_repeatable,
            key='',
            is_first_send=False,
            deadline_ms=fakes.build_deadline(),
            claim_kept_ms=0,
        )
        return await execution.Execution(
            self.context, request, dispatch_permission.UnclaimedPermission()
        ).begin()


@pytest.fixture(params=[False, True], ids=['groups', 'workers'])
def is_service(request):
    return request.param


# Guards against requests that reach an evacuated data centre although the
# order arrived while the node connected to its endpoint.
@pytest.mark.parametrize(
    'earlier',
    [[], [EndpointReason.REFUSED], [EndpointReason.TIMED_OUT]],
    ids=['first send', 'unsent', 'retry'],
)
def test_order_that_comes_while_connecting_is_obeyed(is_service, earlier):
    async def scenario():
        node = Node(is_service)
        node.pool.failures = list(earlier)
        node.pool.evacuates_at = len(earlier) + 1
        refusal = await node.run()
        evacuated_at = node.pool.attempts[len(earlier)]
        assert evacuated_at not in node.pool.sent[len(earlier) :]
        if not earlier:
            assert refusal is None
            assert len(node.pool.sent) == 1
            # It was not a try.
            assert not node.counters.counter('retries')

    virtual_time.run(scenario())


# Guards against streams that are resumed, and requests that are sent again
# after a crash, in an evacuated data centre.
@pytest.mark.parametrize('is_repeatable', [True, False])
def test_stream_is_not_resumed_in_an_evacuated_data_centre(is_repeatable):
    async def scenario():
        node = Node(False)
        node.pool.failures = [EndpointReason.BROKEN]
        node.pool.evacuates_at = 2
        refusal = await node.run(True, is_repeatable)
        first, second = node.pool.attempts[:2]
        # It was to be resumed at the endpoint that broke off.
        assert first == second
        assert node.pool.sent.count(first) == 1
        if is_repeatable:
            assert refusal is None
        else:
            assert refusal.outcome is outcomes.Outcome.UNKNOWN
            assert refusal.reason is Reason.ENDPOINT_FAILED
            assert evacuated.REASON in refusal.detail

    virtual_time.run(scenario())


# Guards against refusals that don't name the evacuation, or wait for an
# endpoint that can't come.
def test_refusal_names_the_evacuations_at_once(is_service):
    async def scenario():
        node = Node(is_service)
        # Requests that find no endpoint now would wait for one.
        assert await node.run() is None
        node.evacuate('north', 'south', 'other')
        start_ms = clock.now_ms()
        refusal = await node.run()
        assert clock.now_ms() == start_ms
        assert refusal.reason is Reason.EVACUATED
        assert outcomes.STATUS_BY_REASON[refusal.reason] == 503
        assert '(north, south)' in refusal.detail
        assert refusal.retry_after_ms == evacuated.RETRY_AFTER_MS
        assert refusal.outcome is outcomes.Outcome.NOT_RUN
        node.evacuate('north')
        assert await node.run() is None
        assert node.pool.sent[-1] == 'south:1'

    virtual_time.run(scenario())


# Guards against requests to a group whose head is elsewhere, and against a
# late frame, or one of a control host that lags, that ends an evacuation.
def test_any_member_counts_and_late_frames_change_nothing():
    async def scenario():
        node = Node(False)
        node.evacuate('north-annex', index=5)
        node.evacuate(index=4)
        for _ in range(4):
            assert await node.run() is None
        assert set(node.pool.sent) == {'south:1'}
        node.evacuate(index=6)
        for _ in range(4):
            assert await node.run() is None
        assert set(node.pool.sent) == {'north:1', 'south:1'}

    virtual_time.run(scenario())
