"""Trials of struck requests, as the leader decides about them, offline."""

import asyncio

import pytest

from filbertglade.fleet import struck_requests
from filbertglade.fleet import trials
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from tests import virtual_time

# The size that is planned for, see docs/CAPACITY.md.
HOSTS = 380
# contact_ms of the users' deployments.
CONTACT_S = 3.0
ASK_INTERVAL_S = 0.7
RUN_S = 0.1


class Fleet:
    """Hosts that ask the leader about one request.

    :ivar crashes: when an endpoint crashed under the request.
    :ivar sends: when a host sent it.
    """

    def __init__(self, strikes=2):
        self.struck = struck_requests.StruckRequests()
        self.arbiter = trials.TrialArbiter(self.struck, metrics.Metrics())
        self.crashes = []
        self.sends = []
        self.number = 0
        for _ in range(strikes):
            self.crash()

    def now_s(self):
        return asyncio.get_running_loop().time()

    def crash(self, trial=0, host=''):
        self.crashes.append(self.now_s())
        self.struck.add_strike(
            b'x', f'i-{len(self.crashes)}', is_trial=bool(trial)
        )
        self.arbiter.record_crash(b'x', trial, host)

    def ask(self, host, lasts_ms=1000):
        self.number += 1
        answer = self.arbiter.decide(
            fleet_pb2.TrialRequest(
                trial=self.number, digest=b'x', lasts_ms=lasts_ms
            ),
            host,
        )
        if answer.is_granted:
            self.sends.append(self.now_s())
        return answer

    def serve(self):
        self.arbiter.record_served(b'x')
        self.struck.clear(b'x')


def run(check, strikes=2):
    async def main():
        return await check(Fleet(strikes))

    return virtual_time.run(main())


# Guards against a request that crashes endpoint after endpoint because many
# hosts send it.
@pytest.mark.parametrize('strikes', [2, 3, 5])
def test_killing_request_is_sent_three_times_after_the_third_crash(strikes):
    """Load: 380 hosts, each of which gets the request every 0.7 s."""

    async def check(fleet):
        for _ in range(400):
            for host in range(HOSTS):
                answer = fleet.ask(f'host-{host}')
                if answer.is_granted:
                    await asyncio.sleep(RUN_S)
                    fleet.crash(answer.trial, f'host-{host}')
            await asyncio.sleep(ASK_INTERVAL_S)
        third_s = fleet.crashes[2]
        late = [at_s for at_s in fleet.sends if at_s > third_s + CONTACT_S]
        assert 1 <= len(late) <= trials.MAX_LATE_TRIALS
        assert len(fleet.crashes) <= strikes + 4

    run(check, strikes)


# Guards against the refusal of a common request that ran beside the crashes of
# several endpoints.
def test_common_request_passes_its_first_trial_and_is_free_again():
    """Load: 380 hosts, each with this request in flight at five crashes."""

    async def check(fleet):
        answers = [fleet.ask(f'host-{host}') for host in range(HOSTS)]
        assert sum(answer.is_granted for answer in answers) == 1
        assert answers[0].is_granted
        assert max(answer.retry_after_ms for answer in answers) <= 200
        await asyncio.sleep(RUN_S)
        fleet.serve()
        answers = [fleet.ask(f'host-{host}') for host in range(HOSTS)]
        assert all(answer.is_cleared for answer in answers)

    run(check, strikes=5)


def test_strikes_that_arrive_after_the_clearing_and_are_older_do_not_count():
    async def check(fleet):
        await asyncio.sleep(1)
        fleet.serve()
        await asyncio.sleep(1)
        assert not fleet.struck.add_strike(b'x', 'i-9', age_ms=1500)
        assert fleet.struck.add_strike(b'x', 'i-9', age_ms=500)

    run(check)


def test_trial_of_a_lost_host_ends_with_its_time():
    async def check(fleet):
        assert fleet.ask('one', lasts_ms=1000).is_granted
        await asyncio.sleep(1.5)
        assert not fleet.ask('two').is_granted
        await asyncio.sleep(0.6 + trials.INCONCLUSIVE_PAUSE_MS / 1000)
        assert not fleet.ask('two').is_granted
        await asyncio.sleep(trials.INCONCLUSIVE_PAUSE_MS / 1000)
        assert fleet.ask('two').is_granted

    run(check)


def test_trial_that_was_not_sent_costs_no_pause():
    async def check(fleet):
        granted = fleet.ask('one')
        fleet.arbiter.record_end(
            fleet_pb2.TrialEnd(trial=granted.trial, digest=b'x'), 'one'
        )
        assert fleet.ask('two').is_granted

    run(check)


def test_new_leader_waits_for_the_trials_that_hosts_run():
    async def check(fleet):
        fleet.arbiter.start_leading()
        assert not fleet.ask('two').is_granted
        fleet.arbiter.decide(
            fleet_pb2.TrialRequest(
                trial=7, digest=b'x', lasts_ms=3000, is_running=True
            ),
            'one',
        )
        await asyncio.sleep(1.5)
        assert not fleet.ask('two').is_granted

    run(check)


# Guards against a killing request that is forgotten because other crashes
# strike many requests.
def test_full_table_keeps_the_requests_that_need_a_trial():
    """Load: twice as many requests struck once as the table holds."""

    async def check(fleet):
        for number in range(2 * struck_requests.MAX_REQUESTS):
            fleet.struck.add_strike(str(number).encode(), 'i-1')
        assert fleet.struck.needs_trial(b'x')

    run(check)
