"""Requests under which workers crash, as real processes."""

import asyncio
import time

import pytest

from tests.fleet import documents
from tests.platform import deployment

WORKERS = 6
# Rule BUDGET of the users' pages: three workers may crash under a request,
# and it may be sent three more times from CONTACT_S after the third crash on.
ALLOWED_CRASHES = 3
ALLOWED_REPEATS = 3
CONTACT_S = 3.0
SENDS = 10
SEND_INTERVAL_S = 0.7
# A crashed worker is back after this time.
RESTART_S = 0.8
# Within this time after its workers are back, a request that did nothing wrong
# is served again at every host.
SERVED_AGAIN_S = 3.0


class CrashingWorker(deployment.Worker):
    """A worker that crashes when it begins to run a certain path.

    It comes back at the same address under a new id.

    :ivar killing_path: the path.
    :ivar crash_times_s: when the worker crashed.
    :ivar is_silent: whether its connections stay open until it is back.
    :ivar closes: whether it closes each connection after its response.
    """

    def __init__(self, running_deployment, endpoint_id, **fields):
        super().__init__(running_deployment, endpoint_id, **fields)
        self.killing_path = '/read/killing'
        self.crash_times_s = []
        self.closes = False
        self.is_silent = False
        self._writers = set()

    async def handle_connection(self, reader, writer):
        self._writers.add(writer)
        try:
            await super().handle_connection(reader, writer)
        finally:
            self._writers.discard(writer)

    async def handle_request(self, writer, line, headers, body):
        if line.split()[1] == self.killing_path:
            self.crash()
            return
        await super().handle_request(writer, line, headers, body)

    def build_response(self, headers, text, status='200 OK', more=''):
        if self.closes:
            more += 'Connection: close\r\n'
        return super().build_response(headers, text, status, more)

    def crash(self):
        """End as a process does that crashes, and come back later."""
        self.crash_times_s.append(time.monotonic())
        self.announcing.cancel()
        self.server.close()
        if not self.is_silent:
            self.abort_connections()
        self.restarting = asyncio.create_task(self._come_back())

    def abort_connections(self):
        for writer in self._writers:
            writer.transport.abort()

    async def _come_back(self):
        await asyncio.sleep(RESTART_S)
        self.abort_connections()
        first_id = self.endpoint_id.partition('-again')[0]
        self.endpoint_id = f'{first_id}-again{len(self.crash_times_s)}'
        self.start_time_ms = int(time.time() * 1000)
        self.sequence = 0
        await self.start()


@pytest.fixture
async def crashing(empty_deployment):
    """A deployment of plain workers that crash under one path."""
    running = empty_deployment
    await running.put_until_accepted(documents.PLAIN)
    for number in range(WORKERS):
        worker = CrashingWorker(running, f'i-{number}')
        await worker.start()
        running.workers.append(worker)
    for entry in (0, 1):
        await running.wait_until(
            lambda entry=entry: running.is_served('/read/x', entry=entry)
        )
    await running.wait_until(lambda: _has_all_workers(running))
    return running


async def _has_all_workers(running):
    for entry in (0, 1):
        await asyncio.gather(
            *(running.send_request('/read/x', entry) for _ in range(10))
        )
    return all(worker.requests for worker in running.workers)


def _list_crashes(running):
    return sorted(
        at_s for worker in running.workers for at_s in worker.crash_times_s
    )


def _check_contained(crashes):
    assert len(crashes) <= ALLOWED_CRASHES + ALLOWED_REPEATS
    if len(crashes) > ALLOWED_CRASHES:
        third_s = crashes[ALLOWED_CRASHES - 1]
        late = [at_s for at_s in crashes if at_s > third_s + CONTACT_S]
        assert len(late) <= ALLOWED_REPEATS


async def _use_connections(running):
    """Send other requests, so that hosts keep connections to all workers."""
    for entry in (0, 1):
        await asyncio.gather(
            *(running.send_request('/read/x', entry) for _ in range(12))
        )


async def _close_connections(running):
    """Let no host keep a connection to a worker."""
    for worker in running.workers:
        worker.closes = True
    for _ in range(2):
        await _use_connections(running)


async def _send_killing(running, body, keeps_connections):
    """Send a killing request again and again, and check the crashes."""
    for number in range(SENDS):
        if keeps_connections:
            await _use_connections(running)
        await running.send_request(
            '/read/killing',
            number % 2,
            method='POST' if body else 'GET',
            content=body,
        )
        await asyncio.sleep(SEND_INTERVAL_S)
    assert len(_list_crashes(running)) >= 1
    _check_contained(_list_crashes(running))


# Guards against a request without a body that crashes worker after worker,
# since each repeat counts as another request.
@pytest.mark.parametrize('body', [b'', b'{"name": "x"}'], ids=['none', 'body'])
async def test_killing_request_on_new_connections_is_contained(crashing, body):
    await _close_connections(crashing)
    await _send_killing(crashing, body, keeps_connections=False)


# Guards against a request that crashes worker after worker, since the crash
# isn't counted on a connection that was used before.
@pytest.mark.parametrize('body', [b'', b'{"name": "x"}'], ids=['none', 'body'])
async def test_killing_request_on_kept_connections_is_contained(
    crashing, body
):
    await _send_killing(crashing, body, keeps_connections=True)


# Guards against a request that crashes worker after worker, since it ends by
# its deadline and not with a broken connection.
async def test_request_that_silences_workers_is_contained(crashing):
    for worker in crashing.workers:
        worker.is_silent = True
    for number in range(SENDS):
        await crashing.send_request(
            '/read/killing', number % 2, X_Time_Budget_Ms='400'
        )
        await asyncio.sleep(2 * SEND_INTERVAL_S)
    assert len(_list_crashes(crashing)) >= 1
    _check_contained(_list_crashes(crashing))


# Guards against the refusal of a request that ran beside the crash of its
# workers and didn't cause it.
@pytest.mark.parametrize('body', [b'', b'{"name": "x"}'], ids=['none', 'body'])
async def test_request_in_flight_at_other_crashes_is_served_again(
    crashing, body
):
    request = {'method': 'POST' if body else 'GET', 'content': body}
    await _close_connections(crashing)
    for worker in crashing.workers:
        worker.pause_s = 0.5
        worker.requests.clear()
    sent = [
        asyncio.create_task(
            crashing.send_request('/read/common', number % 2, **request)
        )
        for number in range(12)
    ]
    await asyncio.sleep(0.25)
    struck = [worker for worker in crashing.workers if worker.requests][:3]
    for worker in struck:
        worker.crash()
    await asyncio.gather(*sent)
    for worker in crashing.workers:
        worker.pause_s = 0.0
    await asyncio.sleep(RESTART_S)
    end_s = time.monotonic() + SERVED_AGAIN_S
    served = [False, False]
    while not all(served):
        assert time.monotonic() < end_s, served
        for entry in (0, 1):
            served[entry] = await crashing.is_served(
                '/read/common', entry=entry, **request
            )
        await asyncio.sleep(0.1)
    statuses = [
        (
            await crashing.send_request('/read/common', number % 2, **request)
        ).status_code
        for number in range(20)
    ]
    assert statuses == [200] * 20


# Guards against the refusal of requests whose connections are only reset.
async def test_request_on_reset_connections_is_sent_again(crashing):
    async def reset(writer, headers):
        writer.transport.abort()

    for worker in crashing.workers:
        worker.respond = reset
    for number in range(SENDS):
        response = await crashing.send_request('/read/common', number % 2)
        assert response.status_code == 502
    for worker in crashing.workers:
        worker.respond = None
    statuses = [
        (await crashing.send_request('/read/common', number % 2)).status_code
        for number in range(20)
    ]
    assert statuses == [200] * 20


# Guards against a 503, which promises that a request has not run, after a run
# that crashed its worker.
async def test_request_that_ran_is_not_answered_as_if_it_had_not(crashing):
    near, far = crashing.workers[:2]
    for worker in crashing.workers[2:]:
        worker.state = 'leaving'
        await worker.announce()
        worker.announcing.cancel()
    # The near one is chosen first. Nobody knows yet that the far one has
    # ended.
    far.fields['zone'] = 'south'
    await asyncio.sleep(0.5)
    far.server.close()
    far.abort_connections()
    response = await crashing.send_request(
        '/read/killing', method='POST', content=b'{}'
    )
    assert len(near.crash_times_s) == 1
    assert response.status_code == 502
