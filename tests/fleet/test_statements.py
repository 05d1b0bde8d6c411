"""What endpoints state in their answers, offline."""

import asyncio
import random

import pytest

from filbertglade.fleet import statements
from filbertglade.observability import metrics
from tests import virtual_time

KEY = 'i-1@1000'
OTHER = 'i-2@1000'


class Answers:
    """Answers of endpoints to one host.

    :ivar seen_leaving: what a listener was told.
    """

    def __init__(self, seed=1):
        self.counters = metrics.Metrics()
        self.stated = statements.EndpointStatements(
            'Leaving', self.counters, random.Random(seed)
        )
        self.seen_leaving = []
        self.stated.add_leaving_listener(self.seen_leaving.append)

    def read(self, key=KEY, status=503, **headers):
        self.stated.read(
            key,
            status,
            {name.replace('_', '-'): text for name, text in headers.items()},
        )

    def is_leaving(self, key=KEY):
        return self.stated.find_leaving_age_ms(key) is not None


def run(check):
    """Run a check under the virtual clock."""

    async def main():
        await check(Answers())

    virtual_time.run(main())


# Guards against a departure that one header of an answer states.
@pytest.mark.parametrize('status', [200, 404, 500, 503])
def test_answer_of_any_status_tells_of_a_departure(status):
    async def check(answers):
        answers.read(status=status, Leaving=' 1 ')
        answers.read(status=status, Leaving='1')
        assert answers.is_leaving()
        assert answers.seen_leaving == [KEY]
        assert not answers.is_leaving(OTHER)

    run(check)


# Guards against an endpoint that is left for what another one states.
def test_what_another_endpoint_at_the_address_states_counts_for_nothing():
    async def check(answers):
        answers.read(status=421, Leaving='1', Retry_After='5')
        assert not answers.is_leaving()

    run(check)


# Guards against an endpoint without a start time that left once, returns under
# the same id and is never used again.
def test_departure_is_forgotten_long_after():
    async def check(answers):
        answers.read(Leaving='1')
        await asyncio.sleep(statements.LEAVING_KEPT_MS / 1000 - 1)
        assert answers.is_leaving()
        await asyncio.sleep(1)
        assert not answers.is_leaving()
        answers.read(Leaving='1')
        assert answers.is_leaving()

    run(check)


# Guards against values that are no statement.
@pytest.mark.parametrize('text', ['0', '', 'yes', '11', '1' * 9000])
def test_other_value_is_no_departure(text):
    async def check(answers):
        answers.read(Leaving=text)
        assert not answers.is_leaving()

    run(check)


# Guards against a pause that ends early, and one that lasts longer than asked.
@pytest.mark.parametrize('text', ['2', '2.0', ' 2.00 '])
def test_pause_lasts_as_long_as_stated(text):
    async def check(answers):
        answers.read(Retry_After=text)
        assert answers.stated.find_pause_ms(KEY) == 2000
        await asyncio.sleep(1.9)
        assert 0 < answers.stated.find_pause_ms(KEY) <= 101
        await asyncio.sleep(0.11)
        assert not answers.stated.find_pause_ms(KEY)
        assert not answers.stated.find_pause_ms(OTHER)

    run(check)


def test_shorter_time_of_a_later_answer_takes_nothing_back():
    async def check(answers):
        answers.read(Retry_After='5')
        await asyncio.sleep(1)
        answers.read(Retry_After='1')
        assert answers.stated.find_pause_ms(KEY) == 4000
        answers.read(Retry_After='9')
        assert answers.stated.find_pause_ms(KEY) == 9000

    run(check)


@pytest.mark.parametrize('status', [200, 421, 429, 500])
def test_other_answers_pause_nothing(status):
    async def check(answers):
        answers.read(status=status, Retry_After='5')
        assert not answers.stated.find_pause_ms(KEY)

    run(check)


# Guards against values that stop a host, or an endpoint for ever.
@pytest.mark.parametrize(
    ('text', 'pause_s'),
    [
        ('0', 0.0),
        ('0.25', 0.25),
        ('.5', 0.5),
        ('99999999999', statements.MAX_PAUSE_S),
        ('-1', None),
        ('1e3', None),
        ('nan', None),
        ('inf', None),
        ('soon', None),
        ('', None),
        ('.', None),
        ('1, 2', None),
        ('٣', None),
        ('9' * 5000, None),
        ('Wed, 21 Oct 2026 07:28:00 GMT', None),
    ],
)
def test_text_of_a_pause(text, pause_s):
    assert statements.parse_pause_s(text) == pause_s

    async def check(answers):
        answers.read(Retry_After=text)
        pause_ms = int((pause_s or 0.0) * 1000)
        assert answers.stated.find_pause_ms(KEY) == pause_ms

    run(check)


# Guards against hosts that all come back in the same moment.
def test_hosts_return_spread_over_time():
    async def main():
        hosts = [Answers(seed) for seed in range(200)]
        for host in hosts:
            host.read(Retry_After='5')
        await asyncio.sleep(5.01)
        assert not any(host.stated.find_pause_ms(KEY) for host in hosts)
        returned = []
        for _ in range(12):
            returned.append(
                sum(not host.stated.is_returning(KEY) for host in hosts)
            )
            await asyncio.sleep(0.1)
        assert returned == sorted(returned)
        steps = [b - a for a, b in zip(returned, returned[1:], strict=False)]
        assert max(steps) <= 40
        assert returned[-1] == len(hosts)

    virtual_time.run(main())


# Guards against memory that grows with every endpoint that ever was.
def test_state_is_bounded():
    async def check(answers):
        for number in range(statements.MAX_ENDPOINTS + 100):
            key = f'i-{number}@1'
            answers.read(key, Leaving='1', Retry_After=str(number + 1))
            answers.read(key, Retry_After='soon')
        assert answers.is_leaving(key)
        for number in range(100):
            assert not answers.is_leaving(f'i-{number}@1')
        # The pauses that are over or end first are forgotten first.
        assert answers.stated.find_pause_ms(key)
        assert not answers.stated.find_pause_ms('i-0@1')

    run(check)
