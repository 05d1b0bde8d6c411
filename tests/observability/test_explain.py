"""Ten kinds of failed requests, and the cause that is named for each."""

import json

import pytest

from filbertglade.observability import explain
from filbertglade.observability import timeline


def line(at_s, name, node='entry-1', **fields):
    return json.dumps(
        {
            'timestamp': 1000 + at_s,
            'node': node,
            'data_centre': 'north',
            'process': '1',
            'message_type': name,
            'level': 'request' if 'request' in fields else 'change',
            **fields,
        }
    )


def step(at_s, name, **fields):
    return line(at_s, name, request='r1', route='t', model='big', **fields)


def refused(status, reason, **fields):
    values = {'document': 7, 'view_age_ms': 90, **fields}
    return step(2, 'request.refused', status=status, reason=reason, **values)


FORMED = line(
    0,
    'group.formed',
    'control-1',
    group='g1',
    model='big',
    members=['i-1@5', 'i-2@5'],
)
SENT = step(1, 'request.sent', endpoint='i-1@5', group='g1', load=3)

CASES = {
    'expired belief': [refused(503, 'no endpoint', view_age_ms=4000)],
    'leader lost': [refused(503, 'no document yet')],
    'dead group member': [
        FORMED,
        line(
            0.5,
            'endpoint.silent',
            'control-1',
            endpoint='i-2@5',
            reason='no answer to a probe',
        ),
        line(0.6, 'replica.unusable', group='g1', model='big'),
        refused(503, 'no endpoint'),
    ],
    'quota spent': [
        SENT,
        step(1.5, 'answer.broken', endpoint='i-1@5', reason='reset'),
        step(1.5, 'try.failed', endpoint='i-1@5', outcome='broken'),
        refused(502, 'broken: quota of retries spent'),
    ],
    'configuration older': [
        line(1, 'document.accepted', 'control-1', version=9),
        refused(404, 'no such route'),
    ],
    'full queue': [refused(503, '17 in flight')],
    'revoked key': [
        line(0.5, 'document.in_force', version=7),
        refused(401, 'unknown key'),
    ],
    'deadline': [
        SENT,
        step(1.9, 'try.failed', endpoint='i-1@5', outcome='timed-out'),
        refused(504, 'timed-out: tries used up'),
    ],
    'client left': [SENT, step(3, 'request.left', held_ms=2000)],
    'worker reset': [
        SENT,
        step(1.5, 'answer.broken', endpoint='i-1@5', reason='reset by peer'),
        step(1.5, 'try.failed', endpoint='i-1@5', outcome='broken'),
        refused(502, 'broken: tries used up'),
    ],
}


@pytest.mark.parametrize('cause', CASES)
def test_the_cause_is_named(cause, tmp_path):
    path = tmp_path / 'all.log'
    noise = line(1, 'request.sent', request='r2', model='big', endpoint='x')
    path.write_text('\n'.join([*CASES[cause], noise, 'no line']) + '\n')
    events = timeline.read_events([path])
    story = explain.explain_request('r1', events)
    assert cause in story.cause
    assert all(event.fields.get('request') != 'r2' for event in story.merge())


def test_a_request_that_no_log_names_has_no_story():
    assert explain.explain_request('r9', []) is None
