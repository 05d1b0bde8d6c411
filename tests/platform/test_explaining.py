"""Faults injected into real processes; explain names each from their logs."""

import asyncio

import httpx

from filbertglade.observability import explain
from filbertglade.observability import timeline
from tests.fleet import documents
from tests.platform import deployment


def find(deployed, name):
    return next(item for item in deployed.workers if item.endpoint_id == name)


async def tell(deployed, request):
    """Return the cause that the processes' logs give for a request."""
    paths = [item.log for item in (deployed.control, *deployed.entries)]
    for _ in range(20):
        story = explain.explain_request(request, timeline.read_events(paths))
        if story is not None and story.decisions[-1].name != 'request.sent':
            return story.cause
        await asyncio.sleep(0.1)
    raise AssertionError('no story')


async def test_a_revoked_key_is_named(served):
    changed = documents.build(version=9)
    changed['customers'][0]['keys'] = ['key-2']
    await served.put(changed)
    await asyncio.sleep(2.0)
    await served.ask('/read/x', X_Request_Id='q1')
    assert 'revoked key' in await tell(served, 'q1')


async def test_a_reset_worker_is_named(served):
    worker = find(served, 'i-api')

    async def reset(writer, headers):
        writer.transport.abort()

    worker.answer = reset
    await served.ask('/write/x', method='POST', X_Request_Id='q2')
    assert 'worker reset' in await tell(served, 'q2')


async def test_a_passed_deadline_is_named(served):
    find(served, 'i-api').pause_s = 5
    await served.ask(
        '/write/x', method='POST', X_Request_Id='q3', X_Time_Budget_Ms='500'
    )
    assert 'deadline' in await tell(served, 'q3')


async def test_a_caller_that_left_is_named(served):
    find(served, 'i-api').pause_s = 5
    try:
        async with asyncio.timeout(0.5):
            await served.ask('/write/x', method='POST', X_Request_Id='q4')
    except (TimeoutError, httpx.TransportError):
        pass
    assert 'client left' in await tell(served, 'q4')


async def test_a_full_worker_is_named(served):
    async def shed(writer, headers):
        writer.write(
            b'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n'
            b'X-Instance-Load: 4,9,4\r\nContent-Length: 0\r\n\r\n'
        )

    find(served, 'i-api').answer = shed
    await served.ask('/write/x', method='POST', X_Request_Id='q5')
    assert 'full queue' in await tell(served, 'q5')


async def test_a_lost_member_is_named(served):
    member = next(
        item
        for item in served.workers
        if item.group and item.group['rank'] == 1
    )
    await member.close()
    stream = {'method': 'POST', 'content': b'{}', 'X_Model': 'big'}

    async def is_refused():
        response = await served.ask('/tell/x', X_Request_Id='', **stream)
        return response.status_code == 503

    await served.until(is_refused)
    await served.ask('/tell/x', X_Request_Id='q6', **stream)
    assert 'dead group member' in await tell(served, 'q6')


async def test_a_lost_leader_is_named(served):
    for worker in served.workers:
        worker.state = 'leaving'
    await asyncio.sleep(1.0)
    await served.control.stop(deployment.signal.SIGKILL)
    await asyncio.sleep(1.6)
    await served.ask('/read/x', X_Request_Id='q7')
    assert 'leader lost' in await tell(served, 'q7')


async def test_a_spent_quota_is_named(served):
    entry = served.entries[0]
    await entry.restart('[retries]\nratio = 0.0\nslack = 1\n')
    await served.add_worker(endpoint_id='i-api2')
    await served.until(lambda: served.is_served('/read/x'))

    async def reset(writer, headers):
        writer.transport.abort()

    for name in ('i-api', 'i-api2'):
        find(served, name).answer = reset
    # The first may meet a connection that was closed while idle.
    await served.ask('/read/x', X_Request_Id='q8')
    await served.ask('/read/x', X_Request_Id='q9')
    assert 'quota spent' in await tell(served, 'q9')
