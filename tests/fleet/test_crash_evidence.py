"""Evidence of crashes at the leader, offline."""

import asyncio

import pytest

from filbertglade.fleet import crash_evidence
from filbertglade.fleet import registry
from filbertglade.fleet import struck_requests
from filbertglade.fleet import trials
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from tests import virtual_time

ANNOUNCE_MS = 1200
ENDPOINTS = 600
HOSTS = 380


class Leader:
    """A leader's registry and evidence.

    :ivar running: numbers of the endpoints that announce themselves.
    """

    def __init__(self, endpoints=3):
        self.registry = registry.Registry(ANNOUNCE_MS)
        self.struck = struck_requests.StruckRequests()
        counters = metrics.Metrics()
        self.arbiter = trials.TrialArbiter(self.struck, counters)
        self.evidence = crash_evidence.CrashEvidence(
            self.registry, self.struck, self.arbiter, counters
        )
        self.sequence = 0
        self.running = set(range(endpoints))
        self.announce_all()

    def announce(self, number, born_ms=1, leaving=False):
        self.sequence += 1
        self.registry.apply(
            fleet_pb2.Endpoint(
                id=f'i-{number}',
                born_ms=born_ms,
                service='api',
                address=f'10.0.0.1:{number}',
                sequence=self.sequence,
                leaving=leaving,
            )
        )

    def announce_all(self):
        for number in self.running:
            self.announce(number)

    def report(self, digest, number, members=None, trial=0, host='one'):
        broken = fleet_pb2.BrokenResponse(
            digest=digest, endpoint=f'i-{number}@1', trial=trial
        )
        self.evidence.add(broken, host, members or [broken.endpoint])

    async def run(self, seconds):
        """Let endpoints announce themselves and the leader judge."""
        for step in range(int(seconds * 10)):
            if step % 12 == 0:
                self.announce_all()
            await asyncio.sleep(0.1)
            self.registry.sweep()
            self.evidence.judge()


def run(check, endpoints=3):
    async def main():
        return await check(Leader(endpoints))

    return virtual_time.run(main())


# Guards against requests that are taken to crash endpoints because
# connections are reset.
def test_reset_connections_are_no_strikes():
    """Load: 380 hosts whose connections to 600 endpoints are reset."""

    async def check(leader):
        for host in range(HOSTS):
            for number in range(host, ENDPOINTS, 100):
                leader.report(b'common', number, host=f'host-{host}')
        await leader.run(8)
        assert leader.struck.count_strikes(b'common') == 0
        # Nothing is left to judge.
        assert not leader.evidence.judge()

    run(check, endpoints=ENDPOINTS)


def test_endpoint_that_starts_again_has_crashed():
    async def check(leader):
        leader.report(b'x', 1)
        leader.running.discard(1)
        await leader.run(1)
        assert leader.struck.count_strikes(b'x') == 0
        leader.announce(1, born_ms=2)
        await leader.run(0.3)
        assert leader.struck.count_strikes(b'x') == 1

    run(check)


def test_silent_endpoint_has_crashed():
    async def check(leader):
        leader.report(b'x', 1)
        leader.running.discard(1)
        await leader.run(3)
        assert leader.struck.count_strikes(b'x') == 1

    run(check)


def test_silent_member_of_the_group_has_crashed():
    async def check(leader):
        leader.report(b'x', 0, members=['i-0@1', 'i-1@1', 'i-2@1'])
        leader.running.discard(2)
        await leader.run(3)
        assert leader.struck.find(b'x').endpoints == {'i-2@1'}

    run(check)


@pytest.mark.parametrize('is_replaced', [False, True])
def test_endpoint_that_left_has_not_crashed(is_replaced):
    async def check(leader):
        leader.announce(1, leaving=True)
        leader.running.discard(1)
        leader.report(b'x', 1)
        if is_replaced:
            leader.announce(1, born_ms=2)
        else:
            leader.registry.deregister('i-1', 1)
        await leader.run(8)
        assert leader.struck.count_strikes(b'x') == 0

    run(check)


def test_trial_whose_endpoint_runs_on_is_inconclusive():
    async def check(leader):
        for number in (0, 1):
            leader.struck.add_strike(b'x', f'old-{number}')
        request = fleet_pb2.TrialRequest(trial=1, digest=b'x', lasts_ms=60_000)
        assert leader.arbiter.decide(request, 'one').is_granted
        leader.report(b'x', 1, trial=1)
        await leader.run(7)
        request.trial = 2
        answer = leader.arbiter.decide(request, 'two')
        assert 0 < answer.retry_after_ms <= trials.INCONCLUSIVE_PAUSE_MS

    run(check)


# Guards against strikes for an endpoint that misses the time-out of one probe
# and announces itself as ever.
def test_endpoint_that_misses_one_probe_has_not_crashed():
    async def check(leader):
        leader.report(b'x', 1)
        await asyncio.sleep(0.2)
        leader.registry.mark_silent('i-1@1', 'no answer to a probe')
        leader.evidence.judge()
        await leader.run(8)
        assert not leader.registry.has_crashed('i-1@1')
        assert leader.struck.count_strikes(b'x') == 0

    run(check)
