"""The soak's own checks, without processes."""

import asyncio
import contextlib
import random
import socket
import types

import pytest

from tests.platform import soak_callers
from tests.platform import soak_deployment
from tests.platform import soak_endings
from tests.platform import soak_places
from tests.platform import soak_record

EVENT_BYTES = len(soak_endings.build_event(1, 'i-1'))
EVENTS = ''.join(soak_endings.build_event(i, 'i-1') for i in (1, 2, 3))
CUT = EVENTS[:-10]
OTHER_RUN = EVENTS[:-EVENT_BYTES] + soak_endings.build_event(3, 'i-2')


def build_record(kind, ending, is_silent):
    record = soak_record.Record(3)
    request_id = record.register_request(kind, 'entry-0', ending=ending)
    record.requests[request_id].is_silent = is_silent
    return record, request_id


def build_response(text, more, is_complete=True):
    headers = {
        'X-Request-Id': 'r1',
        'X-Server-Signature': 'i-1.sig',
        **more,
    }
    return soak_callers.Response(200, headers, text, is_complete)


CHUNKED = {'Transfer-Encoding': 'chunked'}


@pytest.mark.parametrize(
    ('kind', 'text', 'more', 'is_complete', 'is_silent', 'is_right'),
    [
        ('tell', EVENTS, CHUNKED, True, False, True),
        ('tell', EVENTS[:EVENT_BYTES], CHUNKED, True, True, False),
        ('tell', EVENTS[:EVENT_BYTES], CHUNKED, False, False, True),
        ('tell', EVENTS[:EVENT_BYTES], {}, True, True, True),
        ('tell', EVENTS[:EVENT_BYTES], {}, True, False, False),
        ('tell', CUT, {}, True, True, False),
        ('tell', CUT, {}, False, True, True),
        ('tell', CUT[EVENT_BYTES:], {}, False, True, False),
        ('tell', EVENTS + EVENTS[-EVENT_BYTES:], CHUNKED, True, False, False),
        ('tell', OTHER_RUN, CHUNKED, True, False, True),
        ('chat', OTHER_RUN, CHUNKED, True, False, False),
    ],
)
def test_streams(kind, text, more, is_complete, is_silent, is_right):
    record, request_id = build_record(kind, 'bare close between', is_silent)
    response = build_response(text, more, is_complete)
    record.check_stream(request_id, response, 3)
    assert (record.violations == []) == is_right, record.violations


@pytest.mark.parametrize(
    ('bytes_read', 'more', 'is_silent', 'is_right'),
    [
        (soak_endings.BODY_BYTES, {}, False, True),
        (9000, {'Content-Length': '9000'}, True, False),
        (9000, {}, True, True),
        (9000, {}, False, False),
    ],
)
def test_bodies(bytes_read, more, is_silent, is_right):
    record, request_id = build_record('read', 'bare close body', is_silent)
    text = soak_endings.build_body('i-1', request_id, 'bare')[:bytes_read]
    record.record_response(request_id, build_response(text, more))
    assert (record.violations == []) == is_right, record.violations


def tell_and_send(arrivals, leaving_s=None, pauses=(), sent_before_s=0.0):
    """Return the record of a worker that told a host something.

    :param arrivals: when requests of that host reach the worker, in s.
    :param sent_before_s: how long before that their callers sent them.
    """
    record = soak_record.Record(3)
    told = soak_record.Told()
    told.leaving_s, told.pauses = leaving_s, list(pauses)
    worker = types.SimpleNamespace(
        endpoint_id='i-1',
        left_s=None,
        told={'entry-0': told},
        find_told=lambda host: told,
    )
    for at_s in arrivals:
        record.now_s = lambda at_s=at_s: at_s - sent_before_s
        request_id = record.register_request('read', 'entry-0')
        record.now_s = lambda at_s=at_s: at_s
        record.register_arrival(worker, request_id)
    record.now_s = lambda: 30.0
    return record, worker


def disrupt(record, host, start_s, end_s):
    disruption = record.begin_disruption(host)
    disruption.start_s, disruption.end_s = start_s, end_s


@pytest.mark.parametrize(
    ('arrivals', 'sent_before_s', 'disrupted', 'is_right'),
    [
        # The worker leaves from 10 s on.
        ([9.0, 11.9], 0.0, None, True),
        ([12.1], 0.0, None, False),
        ([12.1], 0.2, None, True),
        ([12.1], 0.0, ('entry-0', 10.5, 11.0), True),
        ([12.1], 0.0, ('entry-0', 12.0, None), True),
        ([12.1], 0.0, ('entry-0', 8.0, 9.9), False),
        ([12.1], 0.0, ('entry-0', 12.2, None), False),
        ([12.1], 0.0, ('entry-1', 10.5, 11.0), False),
        ([12.1], 0.0, ('control-0', 10.5, 11.0), False),
    ],
)
def test_requests_after_a_host_was_told_that_a_worker_leaves(
    arrivals, sent_before_s, disrupted, is_right
):
    record, worker = tell_and_send(
        arrivals, leaving_s=10.0, sent_before_s=sent_before_s
    )
    if disrupted:
        disrupt(record, *disrupted)
    record.check_told(worker)
    assert (record.violations == []) == is_right, record.violations


@pytest.mark.parametrize(
    ('arrivals', 'pauses', 'disrupted', 'lag', 'is_right'),
    [
        # What was on its way, and two more, may arrive.
        ([10.1, 10.2, 10.4, 11.0, 11.9], [(10.0, 2.0)], None, None, True),
        ([11.0, 11.1, 11.9], [(10.0, 2.0)], None, None, False),
        ([11.0, 11.1, 12.1], [(10.0, 2.0)], None, None, True),
        ([10.3, 10.35, 10.4], [(10.0, 0.45)], None, None, True),
        # A shorter pause doesn't shorten one that has begun.
        ([13.0] * 3, [(10.0, 4.0), (10.1, 0.7)], None, None, False),
        # Only the disruption of that host excuses, and what came after it.
        ([11.0] * 3, [(10.0, 2.0)], ('entry-0', 10.2, 10.3), None, True),
        ([11.0] * 3, [(10.0, 2.0)], ('entry-0', 8.0, 9.9), None, False),
        ([11.0] * 3, [(10.0, 2.0)], ('entry-0', 11.1, None), None, False),
        ([11.0] * 3, [(10.0, 2.0)], ('entry-1', 10.2, 10.3), None, False),
        ([11.0] * 3, [(10.0, 2.0)], ('control-0', 10.2, 10.3), None, False),
        # The soak itself may read requests late.
        ([10.7] * 3, [(10.0, 2.0)], None, (10.3, 0.35), True),
        ([11.7] * 3, [(10.0, 2.0)], None, (10.3, 0.35), False),
    ],
)
def test_requests_while_a_worker_wants_none(
    arrivals, pauses, disrupted, lag, is_right
):
    record, worker = tell_and_send(arrivals, pauses=pauses, sent_before_s=0.5)
    if disrupted:
        disrupt(record, *disrupted)
    if lag:
        record.lags.append(lag)
    record.check_told(worker)
    assert (record.violations == []) == is_right, record.violations


# Guards against checks that nothing could violate.
def test_told_hosts_are_counted_if_they_were_undisturbed():
    record, worker = tell_and_send(
        [], leaving_s=10.0, pauses=[(10.0, 2.0), (20.0, 0.4)]
    )
    record.check_told(worker)
    assert (record.judged_leavings, record.judged_pauses) == (1, 1)
    disrupt(record, 'entry-0', 11.0, 11.5)
    record.check_told(worker)
    assert (record.judged_leavings, record.judged_pauses) == (1, 1)


@pytest.fixture
async def stating_worker():
    """A worker of a soak, whose announcements nobody gets."""

    async def announce(*_):
        return False

    running = types.SimpleNamespace(
        announce=announce, workers=[], start_listeners=[]
    )
    worker = soak_deployment.SoakWorker(
        running, soak_record.Record(3), 'i-1', 'api'
    )
    await worker.start()
    yield worker
    await worker.stop()


async def send_to_worker(worker, host, target='i-1'):
    """Send a request as a host does; return its response."""
    request_id = worker.record.register_request('read', host)
    reader, writer = await asyncio.open_connection(*worker.address.split(':'))
    headers = {'X-Request-Id': request_id, 'X-Tenant': 'garden'}
    headers['X-Target-Instance'] = target
    lines = [f'{name}: {value}' for name, value in headers.items()]
    writer.write(
        '\r\n'.join(['GET /read/x HTTP/1.1', *lines, '', '']).encode()
    )
    response = await soak_callers.read_response(reader)
    writer.close()
    return response


async def test_worker_says_in_all_answers_that_it_leaves(stating_worker):
    worker = stating_worker
    assert (
        'Server-Leaving'
        not in (await send_to_worker(worker, 'entry-0')).headers
    )
    worker.leave(True)
    # An answer for another worker doesn't tell which one leaves.
    misdirected = await send_to_worker(worker, 'entry-1', target='i-2')
    assert misdirected.status == 421
    assert misdirected.headers['Server-Leaving'] == '1'
    for status in (200, 503):
        response = await send_to_worker(worker, 'entry-0')
        assert response.status == status
        assert response.headers['Server-Leaving'] == '1'
        worker.begin_turning_away(['entry-0'], random.Random(1))
    assert worker.told['entry-0'].leaving_s is not None
    assert 'entry-1' not in worker.told
    assert worker.record.violations == []


async def test_worker_turns_requests_of_one_host_away(stating_worker):
    worker = stating_worker
    worker.begin_turning_away(['entry-0'], random.Random(1))
    pauses = []
    for _ in range(3):
        response = await send_to_worker(worker, 'entry-0')
        assert (response.status, response.headers['X-Not-Executed']) == (
            503,
            '1',
        )
        pauses.append(float(response.headers['Retry-After']))
        assert (await send_to_worker(worker, 'entry-1')).status == 200
    assert len(set(pauses)) == 3
    assert [item for _, item in worker.told['entry-0'].pauses] == pauses
    assert worker.told['entry-1'].pauses == []
    assert worker.record.violations == []


@pytest.mark.parametrize(
    ('acknowledged', 'begun', 'busy_share', 'found'),
    [
        (20, 20, 1.0, []),
        (6, 6, 1.0, ['overload']),
        (6, 6, 0.5, ['violation']),
        (6, 20, 1.0, ['violation']),
    ],
)
def test_shortage_of_announcements(acknowledged, begun, busy_share, found):
    record = soak_record.Record(3)
    record.now_s = lambda: 9.8
    record.loads = [(5.0, busy_share)]
    worker = types.SimpleNamespace(
        endpoint_id='i-1',
        started_s=-1.0,
        acknowledged_s=[1.0] * acknowledged,
        announced_s=[1.0] * begun,
        announcing=types.SimpleNamespace(done=lambda: False),
    )
    record.check_announcements([worker], 0.0, True)
    assert found == ['overload'] * len(record.overloads) + ['violation'] * len(
        record.violations
    )


def send_to(endpoint_id, zone, arrivals, prepare):
    """Return the record and places after requests reached a worker.

    :param prepare: called with the places, the worker and the record first.
    """
    record, worker = tell_and_send(())
    running = types.SimpleNamespace(start_listeners=[])
    places = soak_places.Places(running, record, 1, None)
    worker.endpoint_id, worker.fields = endpoint_id, {'zone': zone}
    record.now_s = lambda: 10.0
    prepare(places, worker, record)
    for at_s in arrivals:
        record.now_s = lambda at_s=at_s: at_s
        request_id = record.register_request('read', 'entry-0')
        record.register_arrival(worker, request_id)
    places.check()
    return record, places


@pytest.mark.parametrize(
    ('zone', 'at_s', 'disrupted', 'end_s', 'is_right'),
    [
        # The evacuation is acknowledged at 10 s.
        (soak_places.PLACE, 14.9, None, None, True),
        (soak_places.PLACE, 15.1, None, None, False),
        ('north', 15.1, None, None, True),
        (soak_places.PLACE, 15.1, None, 15.0, True),
        (soak_places.PLACE, 20.9, 'control-1', None, True),
        (soak_places.PLACE, 21.1, 'control-1', None, False),
        (soak_places.PLACE, 15.1, 'entry-0', None, True),
        (soak_places.PLACE, 17.1, 'entry-0', None, False),
        (soak_places.PLACE, 15.1, 'entry-1', None, False),
    ],
)
def test_evacuated_data_centre(zone, at_s, disrupted, end_s, is_right):
    def prepare(places, worker, record):
        places._evacuation = soak_places.Evacuation(10.0)
        places._evacuation.end_s = end_s
        if disrupted:
            disrupt(record, disrupted, 12.0, 13.0)

    record, places = send_to('s-0', zone, [at_s], prepare)
    assert (record.violations == []) == is_right, record.violations
    assert places.judged_evacuations == (zone == 'north')


@pytest.mark.parametrize(
    ('name', 'pause_s', 'first_s', 'lag_s', 'is_right'),
    [
        # Cold from 10 s to 16 s; 4 requests are allowed in a second.
        ('i-0-crash1', 0.3, 11.0, 0.0, True),
        ('i-0-crash1', 0.2, 11.0, 0.0, False),
        ('i-0-crash1', 0.2, 16.0, 0.0, True),
        ('i-0-crash1', 0.2, 11.0, 0.5, True),
        ('i-0', 0.2, 11.0, 0.0, True),
    ],
)
def test_cold_worker(name, pause_s, first_s, lag_s, is_right):
    def prepare(places, worker, record):
        places._note_start(worker)
        if lag_s:
            record.lags.append((first_s, lag_s))

    arrivals = [first_s + pause_s * number for number in range(5)]
    record, _ = send_to(name, 'north', arrivals, prepare)
    assert (record.violations == []) == is_right, record.violations


# Guards against a connection that outlives its worker, so that a host takes
# the worker for running: the system closes all connections of a process.
@pytest.mark.parametrize('steps', range(6))
async def test_worker_that_stops_closes_connections_that_it_just_accepted(
    stating_worker, steps
):
    worker = stating_worker
    host, port = worker.address.split(':')
    with socket.create_connection((host, int(port))) as connection:
        connection.setblocking(False)
        for _ in range(steps):
            await asyncio.sleep(0)
        await worker.stop()
        with contextlib.suppress(ConnectionResetError):
            async with asyncio.timeout(1.0):
                loop = asyncio.get_running_loop()
                assert await loop.sock_recv(connection, 1) == b''
