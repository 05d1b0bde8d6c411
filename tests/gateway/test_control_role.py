"""A control host reads the documents that it has accepted."""

import asyncio
import contextlib
import random
import time

import httpx

from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.fleet import statements
from filbertglade.fleet import view
from filbertglade.gateway import control_role
from filbertglade.inner import channels
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from tests import cluster
from tests.fleet import documents

POLL_S = 0.01


class NoWatcher:
    """Stands for the stream to the leader, which this host itself is."""

    def list_control_hosts(self):
        return []


@contextlib.asynccontextmanager
async def run_control_host(folder, fleet_watcher=None):
    """Run the only control host of a cluster until it leads.

    :param fleet_watcher: its stream to the leader.
    :returns: the URL of its routing document, and its view.
    """
    inner, control = (
        f'127.0.0.1:{port}' for port in cluster.find_free_ports(2)
    )
    fleet_view = view.FleetView()
    counters, rng = metrics.Metrics(), random.Random(1)
    role = control_role.ControlRole(
        gateway.GatewaySettings(
            'one',
            'central',
            'north',
            gateway.GatewayListenSettings(inner, control=control),
            gateway.GatewayControlSettings(
                [inner],
                data_folder=str(folder / 'data'),
                found_cluster=True,
                tolerated_losses=0,
            ),
        ),
        dialects.DEFAULT,
        fleet_view,
        fleet_watcher or NoWatcher(),
        channels.SocketChannels(),
        statements.EndpointStatements(dialects.DEFAULT.leaving, counters, rng),
        counters,
        rng,
    )
    assert await role.start() is None
    async with asyncio.timeout(10):
        while not role.voters.is_leader:  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
    yield f'http://{control}/v1/routing', fleet_view
    await role.close()


# Guards against a leader that acknowledges documents and never puts them in
# force, because an error has ended the task that reads them.
async def test_documents_are_read_after_an_unexpected_error(
    tmp_path, monkeypatch
):
    read_index = document.read_index
    versions = []

    def fail_once(version, text):
        versions.append(version)
        if len(versions) == 1:
            raise MemoryError
        return read_index(version, text)

    monkeypatch.setattr(document, 'read_index', fail_once)
    async with run_control_host(tmp_path) as (url, fleet_view):
        async with httpx.AsyncClient(timeout=10) as client:
            text = documents.write(documents.build(version=7))
            response = await client.post(url, content=text)
        assert response.status_code == 200
        async with asyncio.timeout(10):
            while fleet_view.version != 7:  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)
    assert versions == [7, 7]


# Guards against a control host that exceeds its memory, because it reads
# several large documents at the same time.
async def test_documents_are_read_one_at_a_time(tmp_path, monkeypatch):
    read_document = document.read_document
    reading = []
    most = []

    def read_slowly(text):
        reading.append(1)
        most.append(len(reading))
        time.sleep(0.05)
        reading.pop()
        return read_document(text)

    monkeypatch.setattr(document, 'read_document', read_slowly)
    async with run_control_host(tmp_path) as (url, fleet_view):
        async with httpx.AsyncClient(timeout=10) as client:
            responses = await asyncio.gather(
                *(
                    client.post(
                        url, content=documents.write_routes(version, 100_000)
                    )
                    for version in (7, 8, 9)
                )
            )
        assert [item.status_code for item in responses] == [200] * 3
        async with asyncio.timeout(10):
            while fleet_view.version != 9:  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)
    assert len(most) > 3
    assert max(most) == 1


# Guards against a control host to which its stream to the leader doesn't tell
# that it was removed.
async def test_voters_named_to_the_watcher_reach_agreement(
    tmp_path, log_lines
):
    fleet_watcher = NoWatcher()
    async with run_control_host(tmp_path, fleet_watcher):
        fleet_watcher.note_voters(1000, ['other'], 'frame of other')
    (line,) = [
        line
        for line in log_lines
        if line['message_type'] == 'voter.removal_learned'
    ]
    assert line['source'] == 'frame of other'
