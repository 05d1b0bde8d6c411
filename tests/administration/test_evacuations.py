"""Evacuations by the administration API of the product's own nodes."""

import json

import pytest

from filbertglade.administration import control_client
from filbertglade.commands import client as commands_client
from filbertglade.commands import evacuate
from filbertglade.control import failures
from filbertglade.control import state
from filbertglade.inner import administration_pb2


@pytest.fixture
def agreed(commands, monkeypatch):
    """The agreed state that the API changes."""
    found = state.AgreedState()

    async def submit(command, timeout_ms):
        if commands.failures:
            return commands.failures.pop(0)
        return found.apply(found.applied_index + 1, command)

    monkeypatch.setattr(commands, 'submit', submit)
    return found


async def test_orders_are_committed(client, agreed, commands):
    path = '/v1/evacuations/s%C3%BCd%2Fb'
    lost = failures.SubmitFailure(failures.SubmitReason.LEADER_LOST, '', True)
    commands.failures = [lost]
    for _ in range(2):
        response = await client.post(f'{path}/start')
        assert response.status_code == 200
        assert set(agreed.evacuations.names) == {'süd/b'}
    assert (await client.post(f'{path}/end')).status_code == 200
    assert not agreed.evacuations.names


async def test_improper_orders_are_refused(client, agreed):
    for name in ('', 'x' * 201):
        response = await client.post(f'/v1/evacuations/{name}/start')
        assert response.status_code == 400
    for number in range(64):
        response = await client.post(f'/v1/evacuations/dc-{number}/start')
        assert response.status_code == 200
    response = await client.post('/v1/evacuations/one-too-many/start')
    assert response.status_code == 503


async def test_evacuations_are_listed(client, settings, monkeypatch):
    shown = [{'data_centre': 'north', 'since_index': 3, 'lasted_ms': 5}]

    async def read_subject(*arguments):
        text = json.dumps({'evacuations': shown, 'voters': []}).encode()
        return administration_pb2.ReadReply(text=text)

    monkeypatch.setattr(control_client, 'read_subject', read_subject)
    assert (await client.get('/v1/evacuations')).status_code == 503
    settings.control.hosts = [type('Host', (), {'address': 'x:1'})]
    response = await client.get('/v1/evacuations')
    assert response.json() == {'evacuations': shown}


# Guards against an order that is given up while a leader is elected.
def test_command_sends_again_until_it_is_acknowledged(monkeypatch, capsys):
    sent = []

    def fetch(url, method='GET', body=None):
        sent.append((method, url))
        code = 503 if len(sent) < 3 else 200
        return type('Response', (), {'code': code, 'body': b'{}'})

    monkeypatch.setattr(commands_client, 'fetch', fetch)
    monkeypatch.setattr(evacuate.config, 'RETRY_PAUSE_S', 0)
    assert evacuate.send_order('http://x', 'süd/b', 'start') == 0
    expected = ('POST', 'http://x/v1/evacuations/s%C3%BCd%2Fb/start')
    assert sent == [expected] * 3
    assert 'acknowledged' in capsys.readouterr().out
