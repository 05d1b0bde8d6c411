"""The cause that is named for each of eleven kinds of failed requests."""

import json

import pytest

from filbertglade.observability import explain
from filbertglade.observability import timeline


def log_line(at_s, name, node='entry-1', **fields):
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


def request_line(at_s, name, **fields):
    return log_line(at_s, name, request='r1', route='t', model='big', **fields)


def refused(status, reason, **fields):
    values = {'document': 7, 'view_age_ms': 90, **fields}
    return request_line(
        2, 'request.refused', status=status, reason=reason, **values
    )


FORMED = log_line(
    0,
    'group.formed',
    'control-1',
    group='g1',
    model='big',
    members=['i-1@5', 'i-2@5'],
)
SENT = request_line(1, 'request.sent', endpoint='i-1@5', group='g1', load=3)

CASES = {
    'expired belief': [refused(503, 'no endpoint', view_age_ms=4000)],
    'leader lost': [refused(503, 'no document yet')],
    'dead group member': [
        FORMED,
        log_line(
            0.5,
            'endpoint.silent',
            'control-1',
            endpoint='i-2@5',
            reason='no answer to a probe',
        ),
        log_line(0.6, 'replica.unusable', group='g1', model='big'),
        refused(503, 'no endpoint'),
    ],
    'quota spent': [
        SENT,
        request_line(1.5, 'answer.broken', endpoint='i-1@5', reason='reset'),
        request_line(1.5, 'try.failed', endpoint='i-1@5', outcome='broken'),
        refused(502, 'broken: quota of retries spent'),
    ],
    'configuration older': [
        log_line(1, 'document.accepted', 'control-1', version=9),
        refused(404, 'no such route'),
    ],
    'configuration not here yet: version 7 was in force, 9 announced': [
        request_line(1.8, 'request.held', reason='no such route'),
        refused(
            503,
            'configuration not here yet: no such route; a newer version was '
            'announced',
            announced_document=9,
        ),
    ],
    'full queue': [refused(503, '17 in flight')],
    'revoked key': [
        log_line(0.5, 'document.in_force', version=7),
        refused(401, 'unknown key'),
    ],
    'deadline': [
        SENT,
        request_line(1.9, 'try.failed', endpoint='i-1@5', outcome='timed-out'),
        refused(504, 'timed-out: tries used up'),
    ],
    'client left': [SENT, request_line(3, 'request.left', held_ms=2000)],
    'worker reset': [
        SENT,
        request_line(
            1.5, 'answer.broken', endpoint='i-1@5', reason='reset by peer'
        ),
        request_line(1.5, 'try.failed', endpoint='i-1@5', outcome='broken'),
        refused(502, 'broken: tries used up'),
    ],
}


@pytest.mark.parametrize('cause', CASES)
def test_cause_is_named(cause, tmp_path):
    path = tmp_path / 'all.log'
    other = log_line(
        1, 'request.sent', request='r2', model='big', endpoint='x'
    )
    path.write_text('\n'.join([*CASES[cause], other, 'no line']) + '\n')
    events = timeline.read_events([path])
    explanation = explain.explain_request('r1', events)
    assert cause in explanation.cause
    assert all(
        event.fields.get('request') != 'r2' for event in explanation.merge()
    )


def test_unknown_request_has_no_explanation():
    assert explain.explain_request('r9', []) is None


# Guards against operators who are told of an evacuation that has ended, that
# another process knew of, or of none.
def test_evacuations_in_force_are_named(tmp_path):
    def changed(at_s, node='entry-1', started=(), ended=()):
        return log_line(
            at_s,
            'evacuations.changed',
            node,
            started=list(started),
            ended=list(ended),
        )

    path = tmp_path / 'all.log'
    lines = [
        changed(-90, started=['north', 'west']),
        changed(-60, 'entry-2', started=['east']),
        changed(1, started=['south'], ended=['west']),
        refused(503, 'data centre evacuated'),
        changed(3, ended=['north', 'south']),
    ]
    path.write_text('\n'.join(lines) + '\n')
    events = timeline.read_events([path])
    explanation = explain.explain_request('r1', events)
    assert explanation.cause == (
        'evacuation: all endpoints are in evacuated data centres: north '
        '(evacuated 92.0 s before), south (evacuated 1.0 s before); an '
        'evacuation lasts until the operator ends it'
    )
    names = [event.name for event in explanation.state_changes]
    assert names == ['evacuations.changed']
