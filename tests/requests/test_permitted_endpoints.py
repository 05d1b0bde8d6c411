"""Which endpoints a request may be sent to, by what they have stated."""

import asyncio
import random
import types

from tornado import httputil

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import dialects
from filbertglade.fleet import statements
from filbertglade.inner import membership_pb2
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import caller_request
from filbertglade.requests import dispatch
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
from filbertglade.routing import candidates
from tests import fakes
from tests.requests import listed_choice
from tests import virtual_time

LEAVING = {dialects.DEFAULT.leaving: '1'}
PAUSE_MS = 5000
PAUSE = {'Retry-After': str(PAUSE_MS // 1000)}


def build_choice(*names):
    return listed_choice.ListedChoice(
        [fakes.build_candidate(name) for name in names], 60_000
    )


def state(chooser, name, status, headers):
    """Let an endpoint state something in an answer."""
    (found,) = [item for item in chooser.endpoints if item.name == name]
    chooser.permitted.read(found, status, headers)


# Guards against requests to an endpoint that leaves while others stay.
def test_leaving_endpoint_is_chosen_no_more_while_another_stays():
    async def scenario():
        chooser = build_choice('one', 'two')
        assert chooser.choose().name == 'one'
        state(chooser, 'one', 200, LEAVING)
        assert chooser.choose().name == 'two'
        await asyncio.sleep(statements.LEAVING_KEPT_MS / 1000 - 1)
        assert chooser.choose().name == 'two'

    virtual_time.run(scenario())


# Guards against a new process that is taken for the one that left.
def test_next_incarnation_of_a_leaving_endpoint_is_chosen():
    async def scenario():
        chooser = build_choice('one')
        state(chooser, 'one', 200, LEAVING)
        await asyncio.sleep(statements.LAST_ENDPOINT_MS / 1000)
        assert chooser.choose().is_final
        chooser.endpoints[0].run = 'next'
        assert chooser.choose().run == 'next'

    virtual_time.run(scenario())


# Guards against a service that is refused although its only endpoint, which
# leaves, still takes requests; and against requests to it for good.
def test_last_endpoint_that_leaves_is_chosen_for_a_short_time():
    async def scenario():
        chooser = build_choice('one')
        state(chooser, 'one', 200, LEAVING)
        await asyncio.sleep(statements.LAST_ENDPOINT_MS / 1000 - 0.1)
        assert not chooser.is_withheld
        assert chooser.choose().name == 'one'
        await asyncio.sleep(0.1)
        refused = chooser.choose()
        assert refused.reason is outcomes.RefusalReason.NO_ENDPOINT
        assert refused.is_final
        assert refused.retry_after_ms >= outcomes.RETRY_AFTER_MS
        assert chooser.is_withheld
        assert not await measure_wait_ms(chooser)

    virtual_time.run(scenario())


async def measure_wait_ms(chooser):
    """Return for how long a request waits for an endpoint, without one."""
    started_ms = clock.now_ms()
    assert not await chooser.wait_for_endpoint()
    return clock.now_ms() - started_ms


# Guards against requests to an endpoint that wants nothing from this host.
def test_paused_endpoint_is_chosen_once_its_time_is_over():
    async def scenario():
        chooser = build_choice('one', 'two')
        state(chooser, 'one', 503, PAUSE)
        for _ in range(PAUSE_MS // 100):
            assert chooser.choose().name == 'two'
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        assert chooser.choose().name == 'one'

    virtual_time.run(scenario())


# Guards against a service of one endpoint that is refused for longer than the
# endpoint asked, or told to come back too early, or kept waiting.
def test_service_whose_endpoints_pause_is_refused_until_the_first_returns():
    async def scenario():
        chooser = build_choice('one', 'two')
        chooser.choose()
        state(chooser, 'one', 503, PAUSE)
        state(chooser, 'two', 503, {'Retry-After': '60'})
        assert not await measure_wait_ms(chooser)
        refused = chooser.choose()
        assert refused.reason is outcomes.RefusalReason.NO_ENDPOINT
        assert refused.is_final
        assert PAUSE_MS <= refused.retry_after_ms <= 1.25 * PAUSE_MS
        await asyncio.sleep(PAUSE_MS / 1000 - 0.001)
        assert chooser.choose().is_final
        await asyncio.sleep(0.001)
        assert chooser.choose().name == 'one'

    virtual_time.run(scenario())


# Guards against a short pause that hides a replacement which would come in
# time: only endpoints that all state something refuse at once.
def test_request_that_one_endpoint_failed_waits_beside_a_paused_one():
    async def scenario():
        chooser = build_choice('one', 'two')
        chooser.exclude(chooser.choose())
        state(chooser, 'two', 503, PAUSE)
        assert await measure_wait_ms(chooser)

    virtual_time.run(scenario())


# Guards against a first byte to an endpoint that stated something between its
# choice and the end of the connection attempt.
def test_statement_that_came_after_the_choice_is_obeyed():
    async def scenario():
        chooser = build_choice('one', 'two')
        chosen = chooser.choose()
        assert chooser.may_send(chosen, False)
        state(chooser, 'one', 200, LEAVING)
        assert not chooser.may_send(chosen, False)
        # A stream that runs there goes on.
        assert chooser.may_send(chosen, True)
        state(chooser, 'one', 503, PAUSE)
        assert not chooser.may_send(chosen, True)

    virtual_time.run(scenario())


class FakePool:
    """A pool in which an endpoint turns away while it is connected to."""

    def __init__(self, chooser):
        self._chooser = chooser
        self.sent = 0

    async def start_call(self, address, call, timeout_ms, may_send):
        state(self._chooser, 'one', 503, PAUSE)
        self.sent += may_send()
        return failures.Failure(
            endpoint_response.EndpointFailureReason.WITHDRAWN
        )


# Guards against a try that is counted and paid for although nothing was sent.
def test_call_that_a_statement_withdrew_is_not_sent_and_counts_as_no_try():
    async def scenario():
        chooser = build_choice('one', 'two')
        pool = FakePool(chooser)
        sending = dispatch.Dispatch(
            types.SimpleNamespace(settings=fakes.build_settings(), pool=pool),
            None,
            dispatch_permission.UnclaimedPermission(),
            chooser,
            None,
        )
        failure = await sending.send(chooser.choose(), None, 1000, False)
        assert not pool.sent
        assert not sending.was_sent
        assert failure.is_unsent
        assert not failure.is_final

    virtual_time.run(scenario())


class FakeResponse(endpoint_response.EndpointResponse):
    """A complete response without a body."""

    def __init__(self):
        super().__init__(
            (
                httputil.ResponseStartLine('HTTP/1.1', 200, 'OK'),
                httputil.HTTPHeaders({'Content-Length': '0'}),
            )
        )

    async def read(self, timeout_s=None):
        return None

    def release(self):
        """Do nothing."""

    def cancel(self):
        """Do nothing."""


class TurningPool:
    """A pool whose first endpoint turns away while it is connected to.

    :ivar addresses: addresses that calls were sent to.
    """

    def __init__(self):
        self.addresses = []
        self.context = None

    async def start_call(self, address, call, timeout_ms, may_send):
        if not self.addresses and self.context is not None:
            (chosen,) = [
                item
                for item in candidates.list_worker_candidates(
                    self.context.fleet, listed_choice.TARGET
                )
                if item.address == address
            ]
            self.context.permitted.read(chosen, 503, PAUSE)
            self.context = None
        if not may_send():
            return failures.Failure(
                endpoint_response.EndpointFailureReason.WITHDRAWN
            )
        self.addresses.append(address)
        return FakeResponse()


# Guards against requests that are refused, or that use up the retry budget,
# since their endpoint made a statement while they connected to it.
def test_request_that_a_statement_withdrew_goes_elsewhere_without_a_retry():
    async def scenario():
        settings = fakes.build_settings()
        counters = metrics.Metrics()
        rng = random.Random(1)
        fleet = view.FleetView(settings)
        for number in range(2):
            fleet.note_worker(
                membership_pb2.WorkerLine(
                    host=f'host-{number}',
                    run='run',
                    service=listed_choice.TARGET,
                    address=f'address-{number}',
                ),
                0,
            )
        pool = TurningPool()
        context = execution_context.ExecutionContext(
            settings=settings,
            fleet=fleet,
            attached=None,
            pool=pool,
            selector=baselines.RoundRobinSelector(rng),
            budget=retry_budget.RetryBudget(counters),
            strikes=strikes.StrikeTracker(fleet, None, counters),
            permitted=permitted_endpoints.PermittedEndpoints(
                statements.EndpointStatements(
                    dialects.DEFAULT.leaving, counters, rng
                ),
                rng,
            ),
            wait_limits=endpoint_wait.EndpointWaitLimits(settings),
            counters=counters,
        )
        pool.context = context
        request = caller_request.CallerRequest(
            customer=fakes.build_customer('one'),
            target=listed_choice.TARGET,
            is_service=True,
            call=endpoint_pool.Call('GET', '/', {}, b''),
            is_stream=False,
            is_repeatable=True,
            key='',
            is_first_send=False,
            deadline_ms=fakes.build_deadline(),
            claim_kept_ms=0,
        )
        run = execution.Execution(
            context, request, dispatch_permission.UnclaimedPermission()
        )
        assert await run.begin() is None
        assert await run.read() is None
        assert len(pool.addresses) == 1
        assert not counters.counter('retries')
        assert counters.counter('endpoint_pauses') == 1

    virtual_time.run(scenario())
