"""What a host suspects after crashes, by requests and parts, offline."""

import asyncio

from filbertglade.fleet import crash_reports
from filbertglade.fleet import struck_requests
from filbertglade.fleet import suspect_keys
from filbertglade.forwarding import answered_parts
from filbertglade.forwarding import containment
from filbertglade.forwarding import suspicion
from filbertglade.inner import fleet_pb2
from tests import virtual_time

SHARED = suspect_keys.make_part_key('models', 'system')
KILLING = suspect_keys.make_part_key('models', 'dead')
DEADLINE_MS = 5000
# Endpoints of a domain that crash at once, and requests that run on each.
CRASHES = 9
REQUESTS = 13


class Contained:
    """Contains single suspects; every trial is granted, all crashes count."""

    def __init__(self, struck, reports):
        self.struck = struck
        self.reports = reports
        self.asked = []

    async def admit(self, key, remaining_ms):
        self.asked.append(key)
        return containment.Permission(len(self.asked))

    def record_served(self, key, permission):
        permission.is_ended = True
        if self.struck.find(key) is not None:
            self.reports.report_served(key)

    async def record_broken(self, key, target, permission):
        permission.is_ended = True
        self.reports.report_strike(key, target, permission.trial)

    def end(self, key, permission, was_sent):
        if not permission.is_ended:
            self.reports.end_trial(permission.trial, key, was_sent)


class Host:
    """A host that sends requests with parts."""

    def __init__(self):
        self.struck = struck_requests.StruckRequests()
        self.reports = crash_reports.CrashReports(self.struck, lambda: None)
        self.contained = Contained(self.struck, self.reports)
        self.suspicion = suspicion.Suspicion(
            self.contained, self.struck, self.reports
        )

    async def send(self, name, *parts):
        """Return a request's suspects, and the permission to send it."""
        sent = suspicion.Suspects(name.encode(), parts)
        permissions = await self.suspicion.admit(sent, DEADLINE_MS)
        return sent, permissions

    async def serve(self, name, *parts):
        self.suspicion.record_served(*await self.send(name, *parts))

    async def crash(self, endpoint, name, *parts):
        sent, permissions = await self.send(name, *parts)
        await self.suspicion.record_broken(sent, endpoint, permissions)

    def list_reported(self):
        report = fleet_pb2.WatchReport()
        self.reports.write(report)
        self.reports.forget_sent(report)
        return report


def run(check):
    async def main():
        await check(Host())

    virtual_time.run(main())


# Guards against the refusal of nearly all requests after a crash of a whole
# domain, as they share the first part of their prompts.
def test_part_that_is_answered_all_the_time_is_never_suspected():
    """Load: 9 endpoints crash at once, each with 13 requests."""

    async def check(host):
        await host.serve('before', SHARED)
        for endpoint in range(CRASHES):
            for number in range(REQUESTS):
                name = f'{endpoint} {number}'
                await host.crash(f'i-{endpoint}', name, SHARED)
        assert host.struck.find(SHARED) is None
        await host.serve('after', SHARED)
        assert not host.contained.asked

    run(check)


# Guards against a part that other hosts suspect and that this host knows to be
# sound: they would send it in trials only.
def test_host_that_sees_answers_on_a_suspected_part_says_so():
    async def check(host):
        await host.serve('before', SHARED)
        for endpoint in range(CRASHES):
            host.struck.add_strike(SHARED, f'i-{endpoint}')
        await host.send('next', SHARED)
        assert not host.contained.asked
        assert list(host.list_reported().served) == [SHARED]

    run(check)


# Guards against a part that is trusted for good because it was sound once.
def test_part_is_suspected_some_time_after_its_last_answer():
    async def check(host):
        await host.serve('before', KILLING)
        await asyncio.sleep(answered_parts.PROOF_MS / 1000 + 0.1)
        for crash in range(struck_requests.PART_STRIKE_LIMIT):
            await host.crash(f'i-{crash}', f'{crash}', KILLING)
        assert host.struck.needs_trial(KILLING)
        await host.send('next', KILLING)
        assert host.contained.asked == [KILLING]

    run(check)


# Guards against a failure of an endpoint that clears a part on which no
# endpoint has answered.
def test_complete_failure_clears_no_part():
    async def check(host):
        for crash in range(struck_requests.PART_STRIKE_LIMIT):
            await host.crash(f'i-{crash}', f'{crash}', KILLING)
        host.suspicion.record_survived(*await host.send('next', KILLING))
        assert host.struck.needs_trial(KILLING)

    run(check)


# Guards against a request that is sent in the trial of one suspect while
# another one has used up its trials.
def test_request_with_two_suspects_needs_a_trial_of_each():
    async def check(host):
        for crash in range(struck_requests.PART_STRIKE_LIMIT):
            await host.crash(f'i-{crash}', f'{crash}', KILLING, SHARED)
        _, permissions = await host.send('next', SHARED, KILLING)
        assert set(permissions.by_key) == {KILLING, SHARED}
        assert len(set(permissions.trials)) == len(permissions.by_key)

    run(check)


# Guards against keys of parts that a crashing request could be taken for.
def test_parts_of_two_services_and_requests_have_keys_of_their_own():
    keys = [
        KILLING,
        suspect_keys.make_part_key('others', 'dead'),
        suspect_keys.make_request_key('models dead', b''),
    ]
    assert len(set(keys)) == len(keys)
    assert [suspect_keys.is_part(key) for key in keys] == [True, True, False]


# Guards against a table that grows with every part that is ever answered on.
def test_answered_parts_are_bounded():
    """Load: 50,000 parts a minute, each seen once."""

    async def check(host):
        answered = answered_parts.AnsweredParts()
        for number in range(50_000):
            answered.note(str(number).encode())
        assert len(answered._answered_ms) == answered_parts.MAX_PARTS
        assert answered.is_proven(b'49999')

    run(check)
