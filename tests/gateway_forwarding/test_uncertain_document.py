"""Requests that the document in force here doesn't allow, offline.

The loads: a new document is accepted while its copies take seconds to reach
all entry hosts; all hosts start again without any.
"""

import asyncio
import random

from tornado import httputil

from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.fleet import statements
from filbertglade.fleet import view
from filbertglade.forwarding import choice
from filbertglade.forwarding import context
from filbertglade.forwarding import evidence
from filbertglade.forwarding import exchange
from filbertglade.forwarding import quota
from filbertglade.forwarding import server
from filbertglade.forwarding import upstream
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from tests.fleet import documents
from tests import virtual_time

# Time after which a request that has not been answered yet is held, in s.
AT_ONCE_S = 0.01
# Longest time that a request may be held for a document, in s.
HELD_S = 0.3
# Longer than any view of a present leader, in s.
LOST_S = 2.0


class CallerConnection:
    """Records the response that a caller would receive, and its time."""

    def __init__(self):
        self.status = None
        self.responded_s = None
        self.headers = {}
        self.body = b''

    async def write_headers(self, line, headers, body=b''):
        self.responded_s = asyncio.get_running_loop().time()
        self.status = line.code
        self.headers = headers
        self.body += body

    async def write(self, chunk):
        self.body += chunk

    def finish(self):
        pass


class EndpointConnection:
    """Answers each request with status 200."""

    is_reused = True

    def send(self, head, body):
        pass

    async def read_head(self, header, request_id, method):
        return upstream.ResponseHead(
            200, 'OK', httputil.HTTPHeaders(), length=2, is_chunked=False
        )

    async def read_body(self, head):
        yield b'ok'

    def is_reusable(self, head):
        return True

    def describe_end(self):
        return {}


class Pool:
    def take_idle(self, key, max_idle_ms):
        return EndpointConnection()

    def keep(self, connection):
        pass


class Leader:
    requests = 0

    def __init__(self):
        self.in_flight = {}

    # No test here has a request under which an endpoint crashed.
    crashes = None


class Call:
    """A request at the host, and the task that handles it."""

    def __init__(self, shared, path, key, deadline_ms):
        self.loop = asyncio.get_running_loop()
        self.sent_s = self.loop.time()
        self.connection = CallerConnection()
        headers = httputil.HTTPHeaders({'Host': 'desk.example'})
        headers[shared.dialect.key] = key
        headers[shared.dialect.deadline] = str(deadline_ms)
        request = server.CallerRequest(
            self.connection,
            httputil.RequestStartLine('GET', path, 'HTTP/1.1'),
            headers,
            int(self.sent_s * 1000),
        )
        self.task = self.loop.create_task(
            exchange.Exchange(shared, request).run()
        )

    async def finish(self):
        """Return the status, and the time until the response in s."""
        await self.task
        # The response is written by a task of its own.
        await asyncio.sleep(0)
        held_s = self.connection.responded_s - self.sent_s
        return self.connection.status, round(held_s, 3)

    @property
    def retry_after_s(self):
        return float(self.connection.headers.get('Retry-After', 0))


class Host:
    """An entry host with version 3 of the document in force.

    Its endpoints answer each request with status 200.
    """

    def __init__(self):
        self.view = view.FleetView()
        rng = random.Random(1)
        counters = metrics.Metrics()
        pool = Pool()
        known = evidence.EndpointEvidence(
            dialects.DEFAULT,
            self.view,
            Leader(),
            pool,
            statements.EndpointStatements(
                dialects.DEFAULT.leaving, counters, rng
            ),
            counters,
            rng,
        )
        self.shared = context.ForwardingContext(
            dialects.DEFAULT,
            self.view,
            Leader(),
            choice.Chooser('north', self.view, known, rng),
            known,
            pool,
            quota.RetryQuota(gateway.RetryQuotaSettings()),
            counters,
            rng,
        )
        self.view.apply_frame(
            fleet_pb2.FleetFrame(
                is_leader=True,
                is_whole=True,
                endpoints=[
                    fleet_pb2.Endpoint(
                        id='i-1',
                        service='api',
                        address='10.0.0.1:80',
                        data_centre='north',
                        slots=100,
                    )
                ],
            )
        )
        self.deliver(documents.PLAIN)

    def lose_power(self):
        """Forget the document, and start again."""
        self.view.index = None
        self.shared.started_ms = int(asyncio.get_running_loop().time() * 1000)

    def announce(self, version):
        """Receive a frame."""
        self.view.apply_frame(
            fleet_pb2.FleetFrame(is_leader=True, document_version=version)
        )

    def deliver(self, data):
        """Receive a document, and a frame that announces it."""
        text = documents.write(data)
        index = document.read_index(data['version'], text)
        self.view.put_in_force(index)
        self.announce(data['version'])

    def send(self, path='/read/x', key='key-1', deadline_ms=4000):
        return Call(self.shared, path, key, deadline_ms)


def add_route(version=9):
    """Return a document with one more route, /new/."""
    data = documents.build(version=version)
    data['routes'].append({**data['routes'][0], 'path_prefix': '/new/'})
    data['routes'][-1]['name'] = 'new'
    return data


def add_key(version=9):
    """Return a document with one more key, key-new."""
    data = documents.build(version=version)
    data['customers'][0]['keys'].append('key-new')
    return data


def run(check):
    async def work():
        await check(Host())

    virtual_time.run(work())


def test_sure_host_refuses_unknown_routes_and_keys_at_once():
    async def check(host):
        assert await host.send('/new/x').finish() == (404, 0)
        assert await host.send(key='key-new').finish() == (401, 0)
        assert await host.send().finish() == (200, 0)

    run(check)


def test_route_of_an_announced_document_is_served_once_it_arrives():
    """Guards against 404 for a route whose document is on its way.

    477 proper requests were refused so while hosts had an older document.
    """

    async def check(host):
        host.announce(9)
        call = host.send('/new/x')
        await asyncio.sleep(0.1)
        assert call.connection.status is None
        host.deliver(add_route())
        status, held_s = await call.finish()
        assert status == 200
        assert 0.1 <= held_s < 0.11

    run(check)


def test_key_of_an_announced_document_is_served_once_it_arrives():
    """Guards against 401 for a key whose document is on its way."""

    async def check(host):
        host.announce(9)
        call = host.send(key='key-new')
        await asyncio.sleep(0.1)
        host.deliver(add_key())
        status, held_s = await call.finish()
        assert status == 200
        assert 0.1 <= held_s < 0.11

    run(check)


def test_request_is_refused_with_retry_after_if_no_document_comes():
    """Guards against a final 404 or 401 from a host that may be behind."""

    async def check(host):
        host.announce(9)
        for call in (host.send('/new/x'), host.send(key='key-new')):
            status, held_s = await call.finish()
            assert status == 503
            assert b'configuration not here yet' in call.connection.body
            assert 0 < call.retry_after_s <= 1
            assert AT_ONCE_S < held_s <= HELD_S

    run(check)


def test_host_without_a_leader_does_not_answer_as_if_sure():
    """Guards against 404 for a document that was never announced here.

    A host without frames can't know what a leader accepted meanwhile.
    """

    async def check(host):
        await asyncio.sleep(LOST_S)
        for call in (host.send('/new/x'), host.send(key='key-new')):
            status, _ = await call.finish()
            assert status == 503
            assert call.retry_after_s > 0
        call = host.send('/new/x')
        await asyncio.sleep(0.1)
        host.announce(3)
        status, held_s = await call.finish()
        assert status == 404
        assert 0.1 <= held_s < 0.11

    run(check)


def test_document_that_rules_a_request_out_ends_its_wait():
    """The wait ends with the newest document, not at its limit."""

    async def check(host):
        host.announce(9)
        call = host.send('/other/x')
        await asyncio.sleep(0.05)
        host.deliver(add_route())
        status, held_s = await call.finish()
        assert status == 404
        assert 0.05 <= held_s < 0.06

    run(check)


def test_document_that_is_not_the_newest_serves_what_it_knows():
    """A newer version is announced before the one that holds the route."""

    async def check(host):
        host.announce(12)
        call = host.send('/new/x')
        other = host.send('/other/x')
        await asyncio.sleep(0.05)
        host.deliver(add_route(version=9))
        assert (await call.finish())[0] == 200
        assert (await other.finish())[0] == 503

    run(check)


def test_known_routes_and_keys_are_not_held():
    """A host that is behind still serves what its document allows."""

    async def check(host):
        host.announce(9)
        assert await host.send().finish() == (200, 0)
        await asyncio.sleep(LOST_S)
        assert await host.send().finish() == (200, 0)

    run(check)


def test_wait_leaves_most_of_the_deadline():
    """Guards against holding a caller until it can't try another host."""

    async def check(host):
        host.announce(9)
        status, held_s = await host.send('/new/x', deadline_ms=400).finish()
        assert status == 503
        assert held_s <= 0.4 / 4
        status, held_s = await host.send('/new/x', deadline_ms=20).finish()
        assert (status, held_s) == (503, 0)

    run(check)


def test_wait_of_a_caller_that_disconnects_is_cancelled():
    async def check(host):
        host.announce(9)
        call = host.send('/new/x')
        await asyncio.sleep(AT_ONCE_S)
        call.task.cancel()
        await asyncio.wait([call.task])
        assert call.task.cancelled()
        assert call.connection.status is None

    run(check)


def test_number_of_held_requests_is_bounded():
    """Guards against a flood of unknown routes that fills the memory."""

    async def check(host):
        host.announce(9)
        calls = [host.send('/new/x') for _ in range(500)]
        await asyncio.sleep(AT_ONCE_S)
        refused = [call for call in calls if call.connection.status == 503]
        assert 400 <= len(refused) < 500
        assert all(call.retry_after_s > 0 for call in refused)
        host.deliver(add_route())
        statuses = [(await call.finish())[0] for call in calls]
        assert statuses.count(200) == 500 - len(refused)

    run(check)


def test_stopping_host_holds_no_request():
    async def check(host):
        host.announce(9)
        call = host.send('/new/x')
        await asyncio.sleep(AT_ONCE_S)
        host.shared.stopping_since_ms = int(call.loop.time() * 1000)
        assert await host.send('/new/x').finish() == (503, 0)
        status, held_s = await call.finish()
        assert status == 503
        assert held_s <= HELD_S

    run(check)


def test_callers_that_return_after_a_loss_of_power_get_the_first_document():
    """The load: all hosts start again at once, and all callers come back.

    138 requests were refused in the 0.5 s until a leader was elected.
    """

    async def check(host):
        host.lose_power()
        calls = []
        for _ in range(40):
            calls.append(host.send())
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        host.deliver(documents.PLAIN)
        for number, call in enumerate(calls):
            status, held_s = await call.finish()
            assert status == 200
            assert held_s <= 0.51 - number * 0.01

    run(check)


def test_request_is_refused_with_retry_after_if_no_first_document_comes():
    async def check(host):
        host.lose_power()
        for deadline_ms, limit_s in ((8000, 1.0), (400, 0.1)):
            call = host.send(deadline_ms=deadline_ms)
            status, held_s = await call.finish()
            assert status == 503
            assert AT_ONCE_S < held_s <= limit_s
            assert 0 < call.retry_after_s <= 1

    run(check)


def test_number_of_requests_that_wait_for_the_first_document_is_bounded():
    async def check(host):
        host.lose_power()
        calls = [host.send() for _ in range(500)]
        await asyncio.sleep(AT_ONCE_S)
        refused = [call for call in calls if call.connection.status == 503]
        assert 400 <= len(refused) < 500
        host.deliver(documents.PLAIN)
        statuses = [(await call.finish())[0] for call in calls]
        assert statuses.count(200) == 500 - len(refused)

    run(check)


def test_host_that_stays_without_a_document_refuses_at_once():
    async def check(host):
        host.lose_power()
        await asyncio.sleep(context.STARTUP_MS / 1000)
        call = host.send('/new/x')
        assert await call.finish() == (503, 0)
        assert call.retry_after_s > 0

    run(check)


def test_stopping_host_without_a_document_refuses_at_once():
    async def check(host):
        host.lose_power()
        host.shared.stopping_since_ms = host.shared.started_ms
        assert await host.send().finish() == (503, 0)

    run(check)
