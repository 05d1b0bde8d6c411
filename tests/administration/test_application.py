"""The administration API: verdicts, retries and errors."""

import json

from filbertglade.administration import application
from filbertglade.configuration import validation
from filbertglade.control import failures
from tests.administration import conftest

Reason = failures.SubmitReason


def _document(number=1, change_id='a', **fields):
    return {'number': number, 'change_id': change_id, **fields}


async def test_verdicts(client):
    first = await client.put('/v1/config', json=_document())
    assert first.status_code == 200
    assert first.json()['verdict'] == 'accepted'
    raced = await client.put('/v1/config', json=_document(change_id='b'))
    assert raced.status_code == 409
    assert raced.json()['verdict'] == 'number-taken'
    assert raced.json()['change_id'] == 'a'
    assert raced.json()['error']['type'] == 'number-taken'
    ahead = await client.put('/v1/config', json=_document(3, 'c'))
    assert ahead.json()['verdict'] == 'number-out-of-order'
    assert ahead.json()['number'] == 1


async def test_retry_gets_the_first_response_after_later_changes(client):
    first = await client.put('/v1/config', json=_document())
    await client.put('/v1/config', json=_document(2, 'b'))
    text = json.dumps(_document(), indent=4)
    again = await client.put('/v1/config', content=text)
    assert (again.status_code, again.json()) == (200, first.json())
    other = await client.put(
        '/v1/config', json=_document(3, 'a', customers=[])
    )
    assert other.status_code == 409
    assert other.json()['verdict'] == 'change-id-reused'


async def test_lost_response_is_retried_and_applied_once(client, commands):
    lost = failures.SubmitFailure(Reason.LEADER_LOST, '', True)
    commands.failures = [lost, failures.SubmitFailure(Reason.NO_LEADER)]
    commands.loses_responses = True
    response = await client.put('/v1/config', json=_document())
    assert response.json()['verdict'] == 'accepted'
    assert [item.number for item in commands.table.history()] == [1]


async def test_failure_reports_whether_it_may_have_applied(
    client, commands, monkeypatch
):
    monkeypatch.setattr(application, 'COMMIT_LIMIT_MS', 300)
    none = failures.SubmitFailure(Reason.NO_LEADER, 'nobody leads')
    commands.failures = [none] * 100
    refused = await client.put('/v1/config', json=_document())
    assert refused.status_code == 503
    assert refused.json()['error']['type'] == 'no-leader'
    assert refused.headers['Retry-After'] == '1'
    lost = failures.SubmitFailure(Reason.LEADER_LOST, '', True)
    commands.failures = [lost] + [none] * 100
    unknown = await client.put('/v1/config', json=_document())
    assert unknown.status_code == 504
    assert unknown.json()['error']['type'] == 'outcome-unknown'


async def test_every_problem_of_a_document_is_returned(client):
    response = await client.put(
        '/v1/config', json=_document(0, customers=[{'name': 'x'}], extra=1)
    )
    assert response.status_code == 400
    error = response.json()['error']
    assert error['type'] == 'invalid-document'
    assert sorted(item['key'] for item in error['problems']) == [
        'customers[0].key_sha256',
        'extra',
        'number',
    ]


async def test_errors_are_json_with_type_and_message(client):
    large = b' ' * (validation.MAX_DOCUMENT_BYTES + 1)
    for method, path, body, status, kind in (
        ('GET', '/v1/config', None, 404, 'no-document'),
        ('GET', '/nothing', None, 404, 'no-such-path'),
        ('DELETE', '/v1/config', None, 405, 'http-error'),
        ('PUT', '/v1/config', b'{', 400, 'invalid-document'),
        ('PUT', '/v1/config', b'', 400, 'invalid-document'),
        ('PUT', '/v1/config', large, 413, 'document-too-large'),
        ('GET', '/v1/status', None, 503, 'no-leader'),
        ('GET', '/v1/config/history', None, 503, 'no-leader'),
    ):
        response = await client.request(method, path, content=body)
        assert response.status_code == status
        error = response.json()['error']
        assert error['type'] == kind
        assert error['message']


async def test_operators_key(guarded, client):
    for given in (None, 'Bearer', 'Bearer other', f'Basic {conftest.KEY}'):
        headers = {'Authorization': given} if given else {}
        for path in ('/v1/config', '/v1/status', '/nothing'):
            response = await client.get(path, headers=headers)
            assert response.status_code == (404 if 'no' in path else 401)
        response = await client.put(
            '/v1/config', json=_document(), headers=headers
        )
        assert response.status_code == 401
        assert response.json()['error']['type'] == 'unauthenticated'
    response = await client.put(
        '/v1/config',
        json=_document(),
        headers={'Authorization': f'Bearer {conftest.KEY}'},
    )
    assert response.status_code == 200
