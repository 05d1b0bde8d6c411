"""The command that asks an entry host where a request would go."""

import asyncio
import json

import httpx
import pytest

from filbertglade.commands import where
from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.gateway import process
from filbertglade.gateway import where_api
from filbertglade.inner import channels
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from tests import cluster
from tests.fleet import documents

KEY = f'{dialects.DEFAULT.key}: key-1'


async def start(tmp_path, is_entry):
    """Start a host with a document; return it and its operators' URL."""
    inner, callers, collected = (
        f'127.0.0.1:{port}' for port in cluster.find_free_ports(3)
    )
    path = tmp_path / 'settings.toml'
    path.touch()
    host = process.GatewayProcess(
        path,
        gateway.GatewaySettings(
            'one',
            'central',
            'north',
            gateway.GatewayListenSettings(
                inner,
                callers=callers if is_entry else None,
                metrics=collected,
            ),
            gateway.GatewayControlSettings([inner]),
        ),
        dialects.DEFAULT,
        channels.SocketChannels(),
        metrics.Metrics(),
    )
    assert await host.start() is None
    return host, f'http://{collected}'


@pytest.fixture
def unbounded(monkeypatch):
    """Let questions follow each other at once."""
    monkeypatch.setattr(where_api, 'MIN_INTERVAL_MS', 0)


@pytest.fixture
async def entry(tmp_path):
    host, url = await start(tmp_path, is_entry=True)
    text = documents.write(documents.PLAIN)
    host._view.put_in_force(document.read_index(3, text))
    host._view.apply_frame(
        fleet_pb2.FleetFrame(
            is_leader=True,
            is_whole=True,
            endpoints=[
                fleet_pb2.Endpoint(
                    id=f'w-{number}',
                    service='api',
                    address='127.0.0.1:1',
                    data_centre='north',
                    slots=4,
                )
                for number in range(3)
            ],
        )
    )
    yield url
    await host.close()


async def ask(url, target, *headers, as_json=False):
    """Run the command; return its exit code."""
    # Its client has an event loop of its own.
    return await asyncio.to_thread(
        where.ask, url, 'GET', target, list(headers), 50, as_json
    )


# Guards against a command that the operators' listener doesn't understand.
async def test_answer_names_route_decision_and_targets(
    entry, capsys, unbounded
):
    target = 'http://desk.example/read/x?y=1'
    assert await ask(entry, target, KEY) == 0
    text = capsys.readouterr().out
    assert 'route read  customer garden  service api  model -' in text
    assert 'sent to w-' in text
    assert 'targets (3 of 3)' in text
    assert await ask(entry, target, KEY, as_json=True) == 0
    found = json.loads(capsys.readouterr().out)
    assert [item['is_chosen'] for item in found['targets']] == [
        True,
        False,
        False,
    ]


# Guards against errors without a cause, or with an exit status of success.
async def test_errors_say_what_is_wrong(entry, tmp_path, capsys, unbounded):
    other, other_url = await start(tmp_path, is_entry=False)
    for url, target, header, error in (
        (entry, 'http://x.example/read/x', KEY, 'unknown host name'),
        (entry, 'http://desk.example/new/x', KEY, 'matches the path'),
        (entry, 'http://desk.example/read/x', 'Accept: */*', 'unknown key'),
        (entry, 'http://desk.example/read/x', 'nothing', 'is no header'),
        (entry, '/read/x', KEY, 'names no host'),
        (other_url, 'http://desk.example/', KEY, 'is not an entry host'),
        (f'{entry}/none', 'http://desk.example/', KEY, '413'),
        ('http://127.0.0.1:1', 'http://desk.example/', KEY, 'no response'),
    ):
        assert await ask(url, target, header) == 1
        assert error in capsys.readouterr().err
    await other.close()


# Guards against operators' questions that take the time of requests, and
# against bodies on a listener whose other requests have none.
async def test_questions_are_bounded(entry):
    call = {'method': 'GET', 'url': 'http://desk.example/read/x'}
    async with httpx.AsyncClient(base_url=entry) as client:
        codes = [
            (await client.post(where_api.PATH, json=call)).status_code
            for _ in range(3)
        ]
        assert codes[0] == 404
        assert 503 in codes[1:]
        await asyncio.sleep(where_api.MIN_INTERVAL_MS / 1000)
        for path, body, status in (
            (where_api.PATH, b'x' * (where_api.MAX_BODY_BYTES + 1), 413),
            (where_api.PATH, b'{"method": 1}', 400),
            ('/metrics', b'x', 413),
        ):
            answer = await client.post(path, content=body)
            assert answer.status_code == status
        assert (await client.get(where_api.PATH)).status_code == 405
