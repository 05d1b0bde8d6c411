"""Operators, callers and workers of a deployment, mostly without faults."""

import asyncio
import signal

from tests.fleet import documents
from tests.platform import deployment

# The platform's bound until a change or departure is in force everywhere.
APPLY_S = 2.0

STREAM = {'method': 'POST', 'content': b'{"a": 1}', 'X_Model': 'big'}


def find_worker(running, name):
    return next(item for item in running.workers if item.endpoint_id == name)


async def test_request_reaches_its_worker_byte_for_byte(running):
    worker = find_worker(running, 'i-api')
    response = await running.send_request(
        '/write/a%20b?c=%2F',
        method='POST',
        content=b'\x00\xff body',
        X_Custom='kept',
    )
    assert response.status_code == 200
    assert response.headers['X-Server-Signature'] == 'i-api.sig'
    assert response.text == 'i-api ran it'
    line, headers, body = worker.requests[-1]
    assert line == 'POST /write/a%20b?c=%2F HTTP/1.1'
    assert body == b'\x00\xff body'
    assert headers['X-Custom'] == 'kept'
    assert headers['X-Tenant'] == 'garden'
    assert headers['X-Target-Instance'] == 'i-api'
    assert 0 < int(headers['X-Time-Budget-Ms']) <= 2000
    assert 'X-Key' not in headers


async def test_caller_cannot_set_its_customer_or_target(running):
    worker = find_worker(running, 'i-api')
    await running.send_request(
        '/read/x', X_Tenant='other', X_Target_Instance='i-9'
    )
    _, headers, _ = worker.requests[-1]
    assert headers['X-Tenant'] == 'garden'
    assert headers['X-Target-Instance'] == 'i-api'


async def test_stream_is_complete_and_run_by_rank_zero(running):
    response = await running.send_request('/tell/x', **STREAM)
    ids = [
        int(line[4:])
        for line in response.text.splitlines()
        if line.startswith('id: ')
    ]
    assert ids == [1, 2, 3, 4, 5, 6]
    ran = [item for item in running.workers if item.requests]
    heads = [item for item in ran if item.service == 'models']
    assert [item.group['rank'] for item in heads] == [0]


async def test_unknown_routes_and_keys_get_different_statuses(
    running,
):
    assert (await running.send_request('/nothing/x')).status_code == 404
    assert (
        await running.send_request('/read/x', X_Key='key-9')
    ).status_code == 401
    assert (await running.send_request('/read/x', X_Key='')).status_code == 401
    assert (
        await running.send_request('/read/open/x', X_Key='')
    ).status_code == 200


async def test_revoked_key_is_refused_on_open_connections(running):
    changed = documents.build(version=9)
    changed['customers'][0]['keys'] = ['key-2']
    assert (await running.put(changed)).status_code == 200
    await asyncio.sleep(APPLY_S)
    for entry in (0, 1):
        response = await running.send_request('/read/x', entry=entry)
        assert response.status_code == 401


async def test_versions_only_rise_and_repeats_are_acknowledged(
    running,
):
    newer = documents.build(version=12)
    for data in (newer, newer, documents.build(version=5)):
        assert (await running.put(data)).status_code == 200
    other = documents.build(version=12, routes=[])
    await running.put(other)
    response = await running.client.get(f'{running.control_url}/v1/routing')
    assert response.json() == newer


async def test_leaving_worker_gets_no_more_requests(running):
    worker = find_worker(running, 'i-api')
    await running.add_worker(endpoint_id='i-other')
    worker.state = 'leaving'
    assert (await worker.announce()).status_code == 200
    await asyncio.sleep(APPLY_S)
    before = len(worker.requests)
    for _ in range(5):
        response = await running.send_request('/read/x')
        assert response.text == 'i-other ran it'
    assert len(worker.requests) == before


async def test_restarted_worker_is_not_taken_for_its_old_incarnation(
    running,
):
    head = next(
        item
        for item in running.workers
        if item.group and item.group['rank'] == 0
    )
    head.start_time_ms += 5000
    head.sequence = 0
    head.group = None
    await asyncio.sleep(1.0)
    await running.wait_until(lambda: running.is_served('/tell/x', **STREAM))
    epochs = {item.group['epoch'] for item in running.workers if item.group}
    assert len(epochs) == 1


async def test_stopping_entry_host_finishes_its_responses(running):
    worker = find_worker(running, 'i-api')
    worker.pause_s = 1.0
    sending = asyncio.create_task(running.send_request('/read/x'))
    await asyncio.sleep(0.3)
    running.entries[0].process.send_signal(signal.SIGTERM)
    assert (await sending).status_code == 200
    assert await running.entries[0].process.wait() == 0
    stopped = [line['message_type'] for line in running.entries[0].read_log()]
    assert 'process.stopped' in stopped


async def test_document_survives_a_kill_of_the_control_host(
    running,
):
    assert (await running.put(documents.build(version=20))).status_code == 200
    await running.control.stop(signal.SIGKILL)
    assert (await running.send_request('/read/x')).status_code == 200
    await running.control.start()

    async def is_back():
        try:
            response = await running.client.get(
                f'{running.control_url}/v1/routing'
            )
        except Exception:
            return False
        return response.status_code == 200 and response.json()['version'] == 20

    await running.wait_until(is_back)
    await running.wait_until(lambda: running.is_served('/tell/x', **STREAM))


async def test_changed_settings_are_reloaded_without_a_signal(
    running,
):
    process = running.entries[0]
    text = process.path.read_text()
    process.path.write_text(
        text.replace('seeds = [', 'seeds = ["127.0.0.1:9", ')
    )

    async def is_reloaded():
        return any(
            line['message_type'] == 'settings.reloaded'
            for line in process.read_log()
        )

    await running.wait_until(is_reloaded, 5)
    process.path.write_text('name = 5')

    async def is_refused():
        return any(
            line['message_type'] == 'settings.refused'
            for line in process.read_log()
        )

    await running.wait_until(is_refused, 5)
    assert (await running.send_request('/read/x')).status_code == 200


async def test_broken_stream_resumes_at_another_group(running):
    for name in ('i-m3', 'i-m4', 'i-m5'):
        worker = await running.add_worker(endpoint_id=name, service='models')
        worker.respond = deployment.EventStreamer(worker)
    heads = []

    async def has_two_heads():
        heads[:] = [
            item
            for item in running.workers
            if item.group and item.group['state'] == 'open'
        ]
        return len(heads) == 2

    await running.wait_until(has_two_heads)
    await asyncio.sleep(0.5)
    for head in heads:
        head.respond.breaks_at = None
    heads[0].respond.breaks_at = 4
    heads[0].respond.events = heads[1].respond.events = 8
    before = len(heads[0].requests)
    responses = []
    # Idle groups are chosen at random: any few requests may all go to the
    # other one.
    while len(heads[0].requests) == before or len(responses) < 6:
        assert len(responses) < 60, 'no request reached the first group'
        responses.append(await running.send_request('/tell/x', **STREAM))
    broken = heads[0].requests[before:]
    for response in responses:
        ids = [
            int(line[4:])
            for line in response.text.splitlines()
            if line.startswith('id: ')
        ]
        assert ids == list(range(1, 9))
    resumed = [
        (headers['X-Request-Id'], headers['Last-Event-Id'])
        for _, headers, _ in heads[1].requests
        if 'Last-Event-Id' in headers
    ]
    assert resumed == [
        (headers['X-Request-Id'], '3') for _, headers, _ in broken
    ]


# Guards against LOST: streams were cut at once when the head of their group
# announced that it leaves and there was no other group.
async def test_streams_at_a_leaving_head_are_completed(running):
    heads = [item for item in running.workers if item.group]
    for head in heads:
        head.respond.events, head.respond.pause_s = 15, 0.1
    sending = asyncio.create_task(running.send_request('/tell/x', **STREAM))
    await asyncio.sleep(0.5)
    head = next(item for item in heads if item.requests)
    head.state = 'leaving'
    assert (await head.announce()).status_code == 200
    response = await sending
    ids = [
        int(line[4:])
        for line in response.text.splitlines()
        if line.startswith('id: ')
    ]
    assert ids == list(range(1, 16))


# Guards against LOST: streams that failed over at the same moment counted on
# the same last retry of the quota, and all but one were cut.
async def test_streams_without_a_retry_stay_at_a_leaving_head(running):
    await running.entries[0].restart('[retries]\nratio = 0.0\nslack = 4\n')
    for name in ('i-m3', 'i-m4'):
        worker = await running.add_worker(endpoint_id=name, service='models')
        worker.respond = deployment.EventStreamer(worker)
    workers = [item for item in running.workers if item.service == 'models']

    async def has_two_heads():
        states = [item.group['state'] for item in workers if item.group]
        return states.count('open') == 2

    await running.wait_until(has_two_heads)
    await running.wait_until(lambda: running.is_served('/tell/x', **STREAM))
    # Both groups are in use by then.
    await asyncio.sleep(0.5)
    for worker in workers:
        worker.requests.clear()
        worker.respond.events, worker.respond.pause_s = 15, 0.1
    sending = [
        asyncio.create_task(running.send_request('/tell/x', **STREAM))
        for _ in range(6)
    ]
    await asyncio.sleep(0.5)
    head = max(workers, key=lambda item: len(item.requests))
    assert len(head.requests) > 1
    head.state = 'leaving'
    assert (await head.announce()).status_code == 200
    for response in await asyncio.gather(*sending):
        ids = [
            int(line[4:])
            for line in response.text.splitlines()
            if line.startswith('id: ')
        ]
        assert ids == list(range(1, 16))


async def test_rejections_count_as_no_attempt(running):
    """Guards against rejections that use up the attempts of a request.

    In the load pattern scale-2, streams were cut and requests refused after
    two overloaded groups had responded that they had not run them.
    """
    for name in ('i-api2', 'i-api3'):
        await running.add_worker(endpoint_id=name)
    rejecting_workers = [
        item for item in running.workers if item.service == 'api'
    ][:2]

    async def refuse(writer, headers):
        writer.write(
            'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n'
            f'X-Request-Id: {headers["X-Request-Id"]}\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )

    async def have_all_run_one():
        await running.send_request('/write/x', method='POST')
        return all(
            item.requests for item in running.workers if item.service == 'api'
        )

    await running.wait_until(have_all_run_one)
    for worker in rejecting_workers:
        worker.respond = refuse
    # Few requests, since rejections count against the retry quota.
    for _ in range(3):
        response = await running.send_request('/write/x', method='POST')
        assert response.status_code == 200


# Guards against requests that a stopping host took and cut without an answer
# at the end of its grace time.
async def test_request_that_outlasts_the_grace_time_gets_an_answer(running):
    entry = running.entries[0]
    data = documents.build(version=documents.PLAIN['version'] + 1)
    for route in data['routes']:
        route['timeout_ms'] = 20_000
    await running.put_until_accepted(data)
    await asyncio.sleep(1)
    for worker in running.workers:
        worker.pause_s = 6
    entry.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(1)
    sent = [
        running.send_request(path, method=method, X_Time_Budget_Ms='9000')
        for path, method in (('/read/x', 'GET'), ('/write/x', 'POST'))
    ]
    for response in await asyncio.gather(*sent):
        # It may have run, so its caller isn't told that it hasn't.
        assert response.status_code == 504
        assert response.headers['Connection'] == 'close'
    await asyncio.wait_for(entry.process.wait(), 1)


async def test_stopping_node_refuses_requests_that_it_may_have_to_cut(
    running,
):
    """Guards against requests accepted too late in the grace time.

    A request accepted 6 s after SIGTERM was cut at 7.6 s.
    """
    entry = running.entries[0]
    text = entry.path.read_text()
    entry.path.write_text(text.replace('grace_ms = 4000', 'grace_ms = 9000'))
    await entry.restart()
    await running.wait_until(lambda: running.is_served('/read/x'))
    await running.wait_until(lambda: running.is_served('/tell/x', **STREAM))
    for worker in running.workers:
        if worker.respond is not None:
            # Keeps the node draining for longer than it accepts requests.
            worker.respond.events, worker.respond.pause_s = 22, 0.2
    long_stream = asyncio.create_task(
        running.send_request('/tell/x', X_Time_Budget_Ms='9000', **STREAM)
    )
    await asyncio.sleep(0.3)
    entry.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(1.0)
    assert await running.is_served('/read/x')
    await asyncio.sleep(2.2)
    response = await running.send_request('/read/x')
    assert response.status_code == 503
    assert response.headers['Connection'] == 'close'
    assert (await long_stream).status_code == 200
