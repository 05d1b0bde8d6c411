"""Workers that name the requests a second that they take, as processes."""

import asyncio
import random
import time

import pytest

from tests.fleet import documents
from tests.platform import deployment

WORKERS = 4
# Rule LIMIT of the users' pages: from CONTACT_S after a worker first named its
# limit, in some WINDOW_S at most FACTOR times what it allows, and SLACK.
CONTACT_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
# Fraction of the allowed requests that are sent at least, if there are far
# more requests.
MIN_USED = 0.5
RUN_S = 12.0
INTERVAL_S = 0.03


class LimitingWorker(deployment.Worker):
    """A worker that may name a limit in its answers.

    :ivar limit: what it names; None for nothing.
    :ivar arrivals_s: when requests arrived.
    """

    def __init__(self, running_deployment, endpoint_id, **fields):
        super().__init__(running_deployment, endpoint_id, **fields)
        self.limit = None
        self.arrivals_s = []

    async def handle_request(self, writer, line, headers, body):
        self.arrivals_s.append(time.monotonic())
        await super().handle_request(writer, line, headers, body)

    def build_response(self, headers, text, status='200 OK', more=''):
        if self.limit is not None:
            more += f'Server-Limit: {self.limit}\r\n'
        return super().build_response(headers, text, status, more)

    def count_most(self, since_s):
        """Return the most arrivals in any window from a moment on."""
        times_s = [at_s for at_s in self.arrivals_s if at_s >= since_s]
        return max(
            (
                sum(at_s <= other_s < at_s + WINDOW_S for other_s in times_s)
                for at_s in times_s
            ),
            default=0,
        )


@pytest.fixture
async def limiting(empty_deployment):
    """A deployment of plain workers that may name limits."""
    running = empty_deployment
    await running.put_until_accepted(documents.PLAIN)
    for number in range(WORKERS):
        worker = LimitingWorker(running, f'i-{number}')
        await worker.start()
        running.workers.append(worker)
    for entry in (0, 1):
        await running.wait_until(
            lambda entry=entry: running.is_served('/read/x', entry=entry)
        )
    return running


async def _send_for(running, seconds, weights=(1, 1)):
    """Send requests at intervals; return the responses.

    :param weights: share of the requests of each entry host.
    """
    rng = random.Random(1)
    end_s = time.monotonic() + seconds
    sent = []
    while time.monotonic() < end_s:
        entry = rng.choices((0, 1), weights)[0]
        sent.append(
            asyncio.create_task(running.send_request('/read/x', entry))
        )
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*sent)


# Guards against requests beyond the limit that a worker has named.
@pytest.mark.parametrize('weights', [(1, 1), (9, 1)], ids=['even', 'uneven'])
async def test_limit_is_kept_and_used_while_others_take_the_rest(
    limiting, weights
):
    worker = limiting.workers[0]
    worker.limit = '1'
    start_s = time.monotonic()
    responses = await _send_for(limiting, RUN_S, weights)
    assert {response.status_code for response in responses} == {200}
    assert worker.count_most(start_s + CONTACT_S) <= FACTOR * WINDOW_S + SLACK
    used = sum(at_s > start_s + CONTACT_S for at_s in worker.arrivals_s)
    assert used >= MIN_USED * (RUN_S - CONTACT_S)


# Guards against requests beyond the limits of all workers, and against
# refusals that hold a request or don't say when to come back.
async def test_requests_beyond_all_limits_are_refused_at_once(limiting):
    for worker in limiting.workers:
        worker.limit = '2.5'
    start_s = time.monotonic()
    responses = await _send_for(limiting, RUN_S)
    for worker in limiting.workers:
        most = worker.count_most(start_s + CONTACT_S)
        assert most <= FACTOR * WINDOW_S * 2.5 + SLACK
        used = sum(at_s > start_s + CONTACT_S for at_s in worker.arrivals_s)
        assert used >= MIN_USED * 2.5 * (RUN_S - CONTACT_S)
    refused = [item for item in responses if item.status_code != 200]
    assert refused
    for response in refused:
        assert response.status_code == 503
        assert 0 < float(response.headers['Retry-After']) <= 2
        assert response.elapsed.total_seconds() < 0.5


# Guards against a limit that is kept after its worker no longer names it.
async def test_worker_that_names_no_limit_any_more_gets_its_part(limiting):
    worker = limiting.workers[0]
    worker.limit = '1'
    await _send_for(limiting, 5)
    worker.limit = None
    await _send_for(limiting, 4)
    ended_s = time.monotonic()
    await _send_for(limiting, 4)
    # Four workers share over 100 requests.
    assert worker.count_most(ended_s) > 11


@pytest.mark.parametrize('text', ['-1', 'soon', 'nan', 'inf', '1e400', ''])
async def test_value_that_is_no_limit_limits_nothing(limiting, text):
    for worker in limiting.workers:
        worker.limit = text
    responses = await _send_for(limiting, 2)
    assert {response.status_code for response in responses} == {200}
