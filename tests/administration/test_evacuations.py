"""Evacuations by the administration API of the product's own nodes."""

import json
import types

import pytest

from filbertglade.administration import control_client
from filbertglade.administration import rendering
from filbertglade.commands import client as commands_client
from filbertglade.commands import evacuate
from filbertglade.commands import status as status_command
from filbertglade.control import failures
from filbertglade.control import state
from filbertglade.fleet import evacuation_log
from filbertglade.inner import administration_pb2
from filbertglade.inner import commands_pb2
from filbertglade.inner import membership_pb2
from filbertglade.membership import presence
from tests import virtual_time


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


# Guards against operators who don't notice what an evacuation takes away.
def test_status_shows_evacuations(settings, monkeypatch, capsys):
    agreed = state.AgreedState()
    hosts = presence.PresenceTable()

    async def render():
        for number, place in enumerate(('north', 'south', 'north'), 1):
            hosts.note_host(
                membership_pb2.Announcement(
                    host=f'h-{number}', data_centre=place, sequence=1
                ),
                0,
            )
            form = commands_pb2.GroupRecord(
                group=f'g-{number}',
                deployment='lost' if number == 3 else 'kept',
                hosts=[f'h-{number}'],
            )
            change = commands_pb2.GroupChange(form=form)
            agreed.groups.apply(change, number, 0)
        for record in agreed.groups.groups.values():
            record.phase = commands_pb2.SERVING
        change = commands_pb2.EvacuationChange(
            data_centre='north', active=True
        )
        agreed.apply(9, commands_pb2.Command(evacuation_change=change))
        voters = types.SimpleNamespace(
            log_clock_ms=lambda: 7,
            status=lambda: types.SimpleNamespace(
                leader='one',
                term=1,
                committed_index=9,
                losses_left=0,
                voters=[],
            ),
        )
        renderer = rendering.Renderer(settings, agreed, voters, hosts)
        return json.loads(renderer.render(administration_pb2.CLUSTER))

    rendered = virtual_time.run(render())
    assert rendered['evacuations'] == [
        {
            'data_centre': 'north',
            'since_index': 9,
            'lasted_ms': 7,
            'until': evacuation_log.END_RULE,
        }
    ]
    assert rendered['deployments_without_group'] == ['lost']
    (unserved,) = rendered['unserved']
    assert unserved['deployment'] == 'lost'
    assert unserved['evacuated'] == ['north']
    monkeypatch.setattr(commands_client, 'fetch_json', lambda url: rendered)
    assert status_command.show_status('http://x', False) == 0
    shown = capsys.readouterr().out
    assert 'evacuations (1)' in shown
    assert 'evacuated, without another group: lost' in shown
    # An operator may wait for the product to end it.
    assert shown.count(evacuation_log.END_RULE) == 2
    del rendered['unserved']
    assert status_command.show_status('http://x', False) == 0
