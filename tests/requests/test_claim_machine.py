"""Claims under lost replies, killed and frozen owners, and expiry."""

import asyncio
import dataclasses
import itertools
import random

import async_solipsism
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from tornado import httputil

from filbertglade.admission import admission_requests
from filbertglade.admission import permits
from filbertglade import clock
from filbertglade.control import failures
from filbertglade.control import submitter
from filbertglade.control.tables import claims as claim_table
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade.requests import attempts
from filbertglade.requests import caller_request
from filbertglade.requests import claim_batcher
from filbertglade.requests import claimed_runner
from filbertglade.requests import endpoint_pool
from filbertglade.requests import in_flight_counter
from filbertglade.requests import outcomes
from filbertglade.requests import response_joins
from filbertglade.requests import response_source
from tests import fakes

NODES = 3
KEPT_MS = 60_000
# A claim is kept from its commit on, which precedes the run by up to the
# dispatch window.
LEAST_BETWEEN_RUNS_MS = KEPT_MS - claimed_runner.DISPATCH_WINDOW_MS
KEYS = ('a', 'b')
Reason = failures.SubmitReason
Outcome = outcomes.Outcome


class FakeLog(submitter.Submitter):
    """Applies commands at once, late, or with the reply lost."""

    def __init__(self, rng):
        self.table = claim_table.ClaimTable()
        self.rng = rng
        self.late = []
        self.is_reachable = True

    def apply(self, command):
        changes = commands_pb2.ClaimChanges()
        changes.CopyFrom(command.claim_changes)
        results = self.table.apply(changes, clock.now_ms())
        return commands_pb2.CommandResult(claims=results)

    async def submit(self, command, timeout_ms):
        await asyncio.sleep(self.rng.choice((0.001, 0.02)))
        if not self.is_reachable:
            return failures.SubmitFailure(Reason.NO_LEADER)
        draw = self.rng.random()
        if draw < 0.1:
            return failures.SubmitFailure(Reason.LEADER_LOST)
        if draw < 0.25:
            self.apply(command)
            return _lose_reply()
        if draw < 0.35:
            self.late.append(command)
            return _lose_reply()
        return self.apply(command)


def _lose_reply():
    return failures.SubmitFailure(Reason.TIMED_OUT, may_have_applied=True)


class FakeExecution:
    """Runs a request on an endpoint that records its runs."""

    def __init__(self, cluster, node, request, permission):
        self.cluster = cluster
        self.node = node
        self.request = request
        self.permission = permission
        self.status = 200
        self.headers = httputil.HTTPHeaders()
        self.parts = [b'part-1', b'part-2']

    async def begin(self):
        rng = self.cluster.rng
        await self.node.pause()
        await asyncio.sleep(rng.choice((0, 0.01, 0.1)))
        await self.node.pause()
        if rng.random() < 0.15 or not self.permission.begin_dispatch():
            return outcomes.Refusal(outcomes.RefusalReason.NO_ENDPOINT)
        if rng.random() < 0.15:
            self.permission.undo_dispatch()
            return outcomes.Refusal(outcomes.RefusalReason.NO_ENDPOINT)
        self.cluster.runs.append((self.request.key, clock.now_ms()))
        if rng.random() < 0.15:
            return outcomes.Refusal(
                outcomes.RefusalReason.ENDPOINT_FAILED,
                outcome=Outcome.UNKNOWN,
            )
        return None

    async def read(self):
        await asyncio.sleep(0.01)
        return self.parts.pop(0) if self.parts else None

    def close(self):
        pass

    def report_usage(self, permit):
        pass


class FakeJoiner(response_joins.Joiner):
    """Joins responses of nodes in the same process."""

    def __init__(self, cluster):
        self.cluster = cluster

    async def join(self, address, request, limit_ms):
        node = self.cluster.find(address)
        if node is None or node.is_frozen:
            return response_joins.JoinFailure.UNKNOWN
        return await node.runner._join_local(request.attempt, limit_ms)


class FakeNode:
    """One process of a node; a restart makes another at the same address."""

    def __init__(self, cluster, number, run):
        settings = fakes.build_settings()
        settings = dataclasses.replace(
            settings,
            name=f'node-{number}',
            listen=dataclasses.replace(
                settings.listen, inner=f'127.0.0.1:{number}'
            ),
        )
        self.address = settings.listen.inner
        self.is_frozen = False
        self.thawed = asyncio.Event()
        counters = metrics.Metrics()
        self.batcher = claim_batcher.ClaimBatcher(cluster.log, counters)
        self.runner = claimed_runner.ClaimedRunner(
            settings,
            attempts.AttemptRegistry(settings, f'{number}-{run}'),
            self.batcher,
            FakeJoiner(cluster),
            lambda request, permission: FakeExecution(
                cluster, self, request, permission
            ),
            in_flight_counter.InFlightCounter(),
            counters,
        )

    async def pause(self):
        while self.is_frozen:
            await self.thawed.wait()

    async def thaw(self):
        self.is_frozen = False
        self.thawed.set()
        self.thawed = asyncio.Event()

    async def stop(self):
        """Stop at once: nothing more reaches the log."""
        await self.batcher.close()
        await self.runner.close()


class SimulatedCluster:
    """Three nodes, the log, the runs, and the outcomes reported."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.runs = []
        self.log = FakeLog(self.rng)
        self.restarts = 0
        self.nodes = [FakeNode(self, i, 0) for i in range(NODES)]
        self.reported = []

    async def restart(self, number):
        self.restarts += 1
        dead = self.nodes[number]
        self.nodes[number] = FakeNode(self, number, self.restarts)
        await dead.stop()

    def find(self, address):
        for node in self.nodes:
            if node.address == address:
                return node
        return None

    async def send(self, node, key, body):
        customer = fakes.build_customer('seminkovna')
        request = caller_request.CallerRequest(
            customer=customer,
            target='listings',
            is_service=True,
            call=endpoint_pool.Call('POST', '/orders', {}, body),
            is_stream=False,
            is_repeatable=False,
            key=key,
            is_first_send=False,
            deadline_ms=clock.now_ms() + 20_000,
            claim_kept_ms=KEPT_MS,
        )
        admission_request = admission_requests.AdmissionRequest(
            customer, 'listings', True, 0
        )
        permit = permits.Permit(admission_request, lambda _: None)
        response = await node.runner.start(request, permit)
        outcome = await self.read(response)
        self.reported.append((key, body, outcome))

    async def read(self, response):
        if not isinstance(response, response_source.ResponseSource):
            if response.reason is outcomes.RefusalReason.KEY_REUSED:
                return 'reused'
            return response.outcome
        body = b''
        while isinstance(part := await response.read(), bytes):
            body += part
        if part is not None:
            return part.outcome
        assert body == b'part-1part-2'
        return Outcome.COMPLETE


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Requests, retries and faults in any order."""

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def build(self, seed):
        self.runner = asyncio.Runner(loop_factory=async_solipsism.EventLoop)
        self.sends = set()
        self.run(self.begin(seed))

    async def begin(self, seed):
        self.cluster = SimulatedCluster(seed)

    def run(self, work):
        return self.runner.run(work)

    async def start(self, number, key, body):
        node = self.cluster.nodes[number]
        task = asyncio.create_task(self.cluster.send(node, key, body))
        self.sends.add(task)
        task.add_done_callback(self.sends.discard)
        await asyncio.sleep(self.cluster.rng.choice((0, 0.005, 0.05)))

    @stateful.rule(
        numbers=strategies.lists(
            strategies.integers(0, NODES - 1), min_size=1, max_size=4
        ),
        key=strategies.sampled_from(KEYS),
        body=strategies.sampled_from((b'one', b'one', b'one', b'two')),
    )
    def send(self, numbers, key, body):
        for number in numbers:
            self.run(self.start(number, key, body))

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.2, 3, 62)))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @stateful.rule(number=strategies.integers(0, NODES - 1))
    def kill(self, number):
        self.run(self.cluster.restart(number))

    @stateful.rule(
        number=strategies.integers(0, NODES - 1),
        key=strategies.sampled_from(KEYS),
        delay_s=strategies.sampled_from((0.01, 0.04, 0.3)),
        is_killed=strategies.booleans(),
        away_s=strategies.sampled_from((0, 5, 62)),
    )
    def lose_owner(self, number, key, delay_s, is_killed, away_s):
        """Send, lose the owner for a while, send to another node."""

        async def lose():
            cluster = self.cluster
            cluster.log.is_reachable = True
            await self.start(number, key, b'one')
            await asyncio.sleep(delay_s)
            if is_killed:
                await cluster.restart(number)
            else:
                cluster.nodes[number].is_frozen = True
            await asyncio.sleep(away_s)
            await self.start((number + 1) % NODES, key, b'one')
            await cluster.nodes[number].thaw()
            await asyncio.sleep(1)

        self.run(lose())

    @stateful.rule(number=strategies.integers(0, NODES - 1))
    def freeze(self, number):
        self.cluster.nodes[number].is_frozen = True

    @stateful.rule(number=strategies.integers(0, NODES - 1))
    def thaw(self, number):
        self.run(self.cluster.nodes[number].thaw())

    @stateful.rule()
    def leave(self):
        """Cancel all callers."""

        async def leave():
            for task in list(self.sends):
                task.cancel()

        self.run(leave())

    @stateful.rule()
    def cut_control(self):
        """Cut or restore the connection to the control hosts."""
        self.cluster.log.is_reachable = not self.cluster.log.is_reachable

    @stateful.rule()
    def apply_late(self):
        async def apply():
            late, self.cluster.log.late = self.cluster.log.late, []
            self.cluster.rng.shuffle(late)
            for command in late:
                self.cluster.log.apply(command)

        self.run(apply())

    @stateful.invariant()
    def runs_at_most_once_while_remembered(self):
        if not hasattr(self, 'cluster'):
            return
        for key in KEYS:
            times = self.run_times(key)
            for earlier, later in itertools.pairwise(times):
                assert later - earlier >= LEAST_BETWEEN_RUNS_MS

    def run_times(self, key):
        return [at_ms for named, at_ms in self.cluster.runs if named == key]

    def teardown(self):
        if not hasattr(self, 'cluster'):
            return
        self.run(self.settle())
        self.check_reported()
        self.runner.close()

    async def settle(self):
        for node in self.cluster.nodes:
            await node.thaw()
        await asyncio.sleep(30)
        assert not self.sends
        for node in self.cluster.nodes:
            await node.stop()

    def check_reported(self):
        for key in KEYS:
            reported = [
                (body, outcome)
                for named, body, outcome in self.cluster.reported
                if named == key
            ]
            runs = self.run_times(key)
            known = {outcome for _, outcome in reported}
            if Outcome.COMPLETE in known:
                assert runs
            if reported and known == {Outcome.NOT_RUN}:
                assert not runs


ClaimMachine.TestCase.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=30
)
test_claims = ClaimMachine.TestCase
