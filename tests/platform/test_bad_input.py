"""Bad input from operators, callers and workers.

It gets a clear error, loses no state, and no response reaches another request.
"""

import asyncio

import pytest

from tests.fleet import documents

REQUEST = (
    b'GET /read/x HTTP/1.1\r\nHost: desk.example\r\nX-Key: key-1\r\n'
    b'X-Request-Id: r1\r\nX-Time-Budget-Ms: 3000\r\n'
)


def find_worker(running, name):
    return next(item for item in running.workers if item.endpoint_id == name)


async def send_bytes(running, raw, limit_s=4.0):
    """Send bytes to an entry host; return what it sends within the limit."""
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', running.front_ports[0]
    )
    writer.write(raw)
    response = b''
    try:
        async with asyncio.timeout(limit_s):
            while chunk := await reader.read(65536):
                response += chunk
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    return response


async def test_refused_document_changes_nothing(running):
    bad = documents.build(version=50)
    bad['routes'][0]['service'] = 'nobody'
    response = await running.put(bad)
    assert response.status_code == 400
    assert 'routes[0]' in response.json()['errors'][0]
    text = documents.write(documents.build(version=51))
    assert (await running.put(text[:-20])).status_code == 400
    response = await running.client.get(f'{running.control_url}/v1/routing')
    assert response.json()['version'] == documents.PLAIN['version']


@pytest.mark.parametrize(
    ('raw', 'statuses'),
    [
        (
            REQUEST + b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n0\r\n\r\nGET /read/smuggled HTTP/1.1\r\n\r\n',
            (b'400',),
        ),
        (
            REQUEST + b'Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde',
            (b'400',),
        ),
        (REQUEST + b'Host: other.example\r\n\r\n', (b'400',)),
        (REQUEST + b'X-Big: ' + b'x' * 5000 + b'\r\n\r\n', (b'431',)),
        (
            REQUEST.replace(b'GET', b'POST')
            + b'Content-Length: 70000\r\n\r\n'
            + b'x' * 70000,
            (b'413',),
        ),
        (
            REQUEST.replace(b'GET', b'POST')
            + b'Content-Length: 10\r\n\r\nabc',
            (b'408',),
        ),
    ],
)
async def test_invalid_requests_never_reach_a_worker(running, raw, statuses):
    worker = find_worker(running, 'i-api')
    before = len(worker.requests)
    response = await send_bytes(running, raw)
    if response:
        assert response.split()[1] in statuses
    assert len(worker.requests) == before
    assert (await running.send_request('/read/x')).status_code == 200


@pytest.mark.parametrize(
    'headers',
    [
        {'X_Time_Budget_Ms': '9' * 5000},
        {
            'X_Token_Counts': f'{"9" * 5000},10',
            'X_Model': 'big',
            'path': '/tell/x',
            'method': 'POST',
        },
    ],
)
async def test_absurdly_long_number_is_ignored(running, headers):
    """Guards against a connection closed without a response.

    Python converts no number of more than 4300 digits.
    """
    changed = documents.build(version=9)
    changed['limits']['max_header_bytes'] = 16384
    await running.put_until_accepted(changed)

    async def is_served():
        return await running.is_served(**{'path': '/read/x', **headers})

    await running.wait_until(is_served, 10)


@pytest.mark.parametrize(
    'missing', ['service', 'address', 'sequence', 'state']
)
async def test_malformed_announcement_adds_no_worker(running, missing):
    announcement = {
        'service': 'api',
        'address': '127.0.0.1:1',
        'zone': 'north',
        'slots': 4,
        'state': 'ready',
        'sequence': 1,
    }
    del announcement[missing]
    response = await running.client.post(
        f'{running.control_url}/v1/endpoints/i-bad/announcement',
        json=announcement,
    )
    assert response.status_code == 400
    assert missing in response.json()['error']
    for _ in range(4):
        assert (await running.send_request('/read/x')).text == 'i-api ran it'


async def test_announcement_for_an_unknown_service_is_refused(
    running,
):
    worker = await running.add_worker(endpoint_id='i-odd', service='odd')
    assert (await worker.announce()).status_code == 400


async def test_truncated_response_never_looks_complete(running):
    worker = find_worker(running, 'i-api')

    async def truncate(writer, headers):
        complete = worker.build_response(headers, 'a longer answer')
        writer.write(complete[:-6])
        await writer.drain()
        writer.transport.abort()

    worker.respond = truncate
    response = await running.send_request('/write/x', method='POST')
    assert response.status_code == 502
    assert 'X-Server-Signature' not in response.headers
    # The request is unsafe, so it is not retried.
    ran = [line for line, _, _ in worker.requests if '/write/x' in line]
    assert len(ran) == 1


async def test_response_to_another_request_is_skipped(running):
    worker = find_worker(running, 'i-api')

    async def respond_to_another_first(writer, headers):
        other = {**headers, 'X-Request-Id': 'other'}
        writer.write(worker.build_response(other, 'not yours'))
        writer.write(worker.build_response(headers, 'yours'))
        await writer.drain()

    worker.respond = respond_to_another_first
    for _ in range(3):
        assert (await running.send_request('/read/x')).text == 'yours'


async def test_second_response_to_a_request_is_dropped(running):
    worker = find_worker(running, 'i-api')

    async def respond_twice(writer, headers):
        writer.write(worker.build_response(headers, headers['X-Request-Id']))
        await writer.drain()
        writer.write(worker.build_response(headers, 'once more'))
        await writer.drain()

    worker.respond = respond_twice
    for _ in range(5):
        response = await running.send_request('/read/x')
        assert response.text == response.request.headers['X-Request-Id']


async def test_request_that_the_worker_did_not_run_is_refused(
    running,
):
    worker = find_worker(running, 'i-api')

    async def refuse(writer, headers):
        writer.write(
            'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n'
            f'X-Request-Id: {headers["X-Request-Id"]}\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )

    worker.respond = refuse
    response = await running.send_request('/write/x', method='POST')
    assert response.status_code == 503
    assert float(response.headers['Retry-After']) > 0


async def test_worker_error_is_forwarded_unchanged(running):
    worker = find_worker(running, 'i-api')

    async def fail(writer, headers):
        writer.write(
            worker.build_response(
                headers, 'broke', '500 Internal Server Error'
            )
        )

    worker.respond = fail
    response = await running.send_request('/write/x', method='POST')
    assert (response.status_code, response.text) == (500, 'broke')
    assert response.headers['X-Server-Signature'] == 'i-api.sig'


async def test_slow_worker_is_given_up_at_the_routes_time_out(
    running,
):
    worker = find_worker(running, 'i-api')
    worker.pause_s = 30
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    response = await running.send_request('/write/x', method='POST')
    assert response.status_code == 504
    assert loop.time() - start_s < 2.5
