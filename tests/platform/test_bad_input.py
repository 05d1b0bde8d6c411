"""Bad input from each side: a clear error, nothing lost, nothing mixed."""

import asyncio

import pytest

from tests.fleet import documents

REQUEST = (
    b'GET /read/x HTTP/1.1\r\nHost: desk.example\r\nX-Key: key-1\r\n'
    b'X-Request-Id: r1\r\nX-Time-Budget-Ms: 3000\r\n'
)


def find(deployed, name):
    return next(item for item in deployed.workers if item.endpoint_id == name)


async def speak(deployed, raw, limit_s=4.0):
    """Send bytes and return all that comes back within a time."""
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', deployed.front_ports[0]
    )
    writer.write(raw)
    answer = b''
    try:
        async with asyncio.timeout(limit_s):
            while chunk := await reader.read(65536):
                answer += chunk
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    return answer


async def test_a_refused_document_changes_nothing(served):
    bad = documents.build(version=50)
    bad['routes'][0]['service'] = 'nobody'
    response = await served.put(bad)
    assert response.status_code == 400
    assert 'routes[0]' in response.json()['errors'][0]
    text = documents.write(documents.build(version=51))
    assert (await served.put(text[:-20])).status_code == 400
    response = await served.client.get(f'{served.control_url}/v1/routing')
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
async def test_requests_out_of_bounds_never_reach_a_worker(
    served, raw, statuses
):
    worker = find(served, 'i-api')
    before = len(worker.requests)
    answer = await speak(served, raw)
    if answer:
        assert answer.split()[1] in statuses
    assert len(worker.requests) == before
    assert (await served.ask('/read/x')).status_code == 200


@pytest.mark.parametrize('drop', ['service', 'address', 'sequence', 'state'])
async def test_a_malformed_announcement_names_no_worker(served, drop):
    said = {
        'service': 'api',
        'address': '127.0.0.1:1',
        'zone': 'north',
        'slots': 4,
        'state': 'ready',
        'sequence': 1,
    }
    del said[drop]
    response = await served.client.post(
        f'{served.control_url}/v1/endpoints/i-bad/announcement', json=said
    )
    assert response.status_code == 400
    assert drop in response.json()['error']
    for _ in range(4):
        assert (await served.ask('/read/x')).text == 'i-api ran it'


async def test_an_unknown_service_names_no_worker(served):
    worker = await served.add_worker(endpoint_id='i-odd', service='odd')
    assert (await worker.announce()).status_code == 400


async def test_a_cut_answer_never_looks_whole(served):
    worker = find(served, 'i-api')

    async def cut(writer, headers):
        whole = worker.build_answer(headers, 'a longer answer')
        writer.write(whole[:-6])
        await writer.drain()
        writer.transport.abort()

    worker.answer = cut
    response = await served.ask('/write/x', method='POST')
    assert response.status_code == 502
    assert 'X-Server-Signature' not in response.headers
    # It may run once only.
    ran = [line for line, _, _ in worker.requests if '/write/x' in line]
    assert len(ran) == 1


async def test_an_answer_to_another_is_passed_over(served):
    worker = find(served, 'i-api')

    async def late(writer, headers):
        other = {**headers, 'X-Request-Id': 'other'}
        writer.write(worker.build_answer(other, 'not yours'))
        writer.write(worker.build_answer(headers, 'yours'))
        await writer.drain()

    worker.answer = late
    for _ in range(3):
        assert (await served.ask('/read/x')).text == 'yours'


async def test_a_second_answer_reaches_nobody(served):
    worker = find(served, 'i-api')

    async def twice(writer, headers):
        writer.write(worker.build_answer(headers, headers['X-Request-Id']))
        await writer.drain()
        writer.write(worker.build_answer(headers, 'once more'))
        await writer.drain()

    worker.answer = twice
    for _ in range(5):
        response = await served.ask('/read/x')
        assert response.text == response.request.headers['X-Request-Id']


async def test_a_worker_that_did_not_run_it_is_not_believed_to_have(served):
    worker = find(served, 'i-api')

    async def shed(writer, headers):
        writer.write(
            b'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n'
            b'Content-Length: 0\r\n\r\n'
        )

    worker.answer = shed
    response = await served.ask('/write/x', method='POST')
    assert response.status_code == 503
    assert float(response.headers['Retry-After']) > 0


async def test_a_failure_of_a_worker_is_passed_on_as_it_is(served):
    worker = find(served, 'i-api')

    async def fail(writer, headers):
        writer.write(
            worker.build_answer(headers, 'broke', '500 Internal Server Error')
        )

    worker.answer = fail
    response = await served.ask('/write/x', method='POST')
    assert (response.status_code, response.text) == (500, 'broke')
    assert response.headers['X-Server-Signature'] == 'i-api.sig'


async def test_a_slow_worker_is_given_up_at_the_routes_time(served):
    worker = find(served, 'i-api')
    worker.pause_s = 30
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    response = await served.ask('/write/x', method='POST')
    assert response.status_code == 504
    assert loop.time() - began_s < 2.5
