"""Explain names the cause of each injected fault from the processes' logs."""

import asyncio

import httpx

from filbertglade.observability import explain
from filbertglade.observability import timeline
from tests.fleet import documents
from tests.platform import deployment


def find_worker(running, name):
    return next(item for item in running.workers if item.endpoint_id == name)


FINAL_DECISIONS = (
    'request.answered',
    'request.cut',
    'request.left',
    'request.refused',
)


async def find_cause(running, request):
    """Return the cause of a request's failure that explain finds in the logs.

    Polls until the logs hold the decision that ended the request: a process
    writes its log after the response.
    """
    paths = [item.log for item in (running.control, *running.entries)]
    for _ in range(20):
        explanation = explain.explain_request(
            request, timeline.read_events(paths)
        )
        if (
            explanation is not None
            and explanation.decisions[-1].name in FINAL_DECISIONS
        ):
            return explanation.cause
        await asyncio.sleep(0.1)
    raise AssertionError('no explanation')


async def test_revoked_key_is_named(running):
    changed = documents.build(version=9)
    changed['customers'][0]['keys'] = ['key-2']
    await running.put(changed)
    await asyncio.sleep(2.0)
    await running.send_request('/read/x', X_Request_Id='q1')
    assert 'revoked key' in await find_cause(running, 'q1')


async def test_worker_that_reset_is_named(running):
    worker = find_worker(running, 'i-api')

    async def reset(writer, headers):
        writer.transport.abort()

    worker.respond = reset
    await running.send_request('/write/x', method='POST', X_Request_Id='q2')
    assert 'worker reset' in await find_cause(running, 'q2')


async def test_passed_deadline_is_named(running):
    find_worker(running, 'i-api').pause_s = 5
    await running.send_request(
        '/write/x', method='POST', X_Request_Id='q3', X_Time_Budget_Ms='500'
    )
    assert 'deadline' in await find_cause(running, 'q3')


async def test_disconnected_caller_is_named(running):
    find_worker(running, 'i-api').pause_s = 5
    try:
        async with asyncio.timeout(0.5):
            await running.send_request(
                '/write/x', method='POST', X_Request_Id='q4'
            )
    except (TimeoutError, httpx.TransportError):
        pass
    assert 'client left' in await find_cause(running, 'q4')


async def test_full_worker_is_named(running):
    async def refuse(writer, headers):
        writer.write(
            'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n'
            f'X-Request-Id: {headers["X-Request-Id"]}\r\n'
            'X-Instance-Load: 4,9,4\r\nContent-Length: 0\r\n\r\n'.encode()
        )

    find_worker(running, 'i-api').respond = refuse
    await running.send_request('/write/x', method='POST', X_Request_Id='q5')
    assert 'full queue' in await find_cause(running, 'q5')


async def test_lost_group_member_is_named(running):
    member = next(
        item
        for item in running.workers
        if item.group and item.group['rank'] == 1
    )
    await member.close()
    stream = {'method': 'POST', 'content': b'{}', 'X_Model': 'big'}

    async def is_refused():
        response = await running.send_request(
            '/tell/x', X_Request_Id='', **stream
        )
        return response.status_code == 503

    await running.wait_until(is_refused)
    await running.send_request('/tell/x', X_Request_Id='q6', **stream)
    assert 'dead group member' in await find_cause(running, 'q6')


async def test_lost_leader_is_named(running):
    for worker in running.workers:
        worker.state = 'leaving'
    await asyncio.sleep(1.0)
    await running.control.stop(deployment.signal.SIGKILL)
    await asyncio.sleep(1.6)
    await running.send_request('/read/x', X_Request_Id='q7')
    assert 'leader lost' in await find_cause(running, 'q7')


async def test_host_that_may_lack_a_document_is_named(running):
    running.control.process.send_signal(deployment.signal.SIGSTOP)
    await asyncio.sleep(1.6)
    await running.send_request('/nothing/x', X_Request_Id='q10')
    cause = await find_cause(running, 'q10')
    assert 'configuration not here yet' in cause
    assert 'no contact with the leader' in cause


async def test_spent_retry_quota_is_named(running):
    entry = running.entries[0]
    await entry.restart('[retries]\nratio = 0.0\nslack = 1\n')
    await running.add_worker(endpoint_id='i-api2')
    await running.wait_until(lambda: running.is_served('/read/x'))

    async def reset(writer, headers):
        writer.transport.abort()

    for name in ('i-api', 'i-api2'):
        find_worker(running, name).respond = reset
    # The first request may use a connection that was closed while idle.
    await running.send_request('/read/x', X_Request_Id='q8')
    await running.send_request('/read/x', X_Request_Id='q9')
    assert 'quota spent' in await find_cause(running, 'q9')


async def test_a_document_is_logged_with_size_and_time(running):
    text = documents.write(documents.build(version=9))
    await running.put(documents.build(version=9))
    processes = [running.control, *running.entries]

    def list_events():
        events = timeline.read_events([item.log for item in processes])
        return [
            event
            for event in events
            if event.name.startswith('document.')
            and event.fields.get('version') == 9
        ]

    async def is_everywhere():
        names = [event.name for event in list_events()]
        return (
            names.count('document.read')
            == names.count('document.in_force')
            == len(processes)
        )

    await running.wait_until(is_everywhere)
    events = {event.name: event.fields for event in list_events()}
    for name, durations in (
        ('document.accepted', ('parse_ms', 'commit_ms')),
        ('document.read', ('parse_ms', 'index_ms')),
    ):
        assert events[name]['bytes'] == len(text)
        assert all(events[name][field] >= 0 for field in durations)
