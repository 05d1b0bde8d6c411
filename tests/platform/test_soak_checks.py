"""The soak's own checks, without processes."""

import types

import pytest

from tests.platform import soak_callers
from tests.platform import soak_endings
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
