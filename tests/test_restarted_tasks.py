"""Processes whose long-running tasks each raise an exception once."""

import asyncio
import pathlib
import re

import httpx
import pytest

from filbertglade.commands import check
from filbertglade.commands import gateway as gateway_command
from filbertglade.control import identity
from filbertglade.gateway import process
from filbertglade.inner import channels
from filbertglade.node import node
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from filbertglade import tasks
from tests import cluster
from tests.fleet import documents
from tests.platform import deployment

# A bound for busy machines only: restarts take 0.1 s.
LIMIT_S = 30.0
# Folders whose tasks only the product's own nodes run.
NODE_FOLDERS = {'membership', 'groups', 'admission'}
# A node that is the only control host relays to none.
NOT_RUN = {'membership.relay'}


class OneTimeError(Exception):
    """Raised by the first run of each long-running task."""


@pytest.fixture
def failed_names(monkeypatch):
    """Let the first run of each task raise; return the tasks' names."""
    names = set()
    run_until_return = tasks._run_until_return

    def run_failing_once(name, run, counters):
        async def run_once_failing():
            if name not in names:
                names.add(name)
                raise OneTimeError
            await run()

        return run_until_return(name, run_once_failing, counters)

    monkeypatch.setattr(tasks, '_run_until_return', run_failing_once)
    return names


def list_task_names(is_node):
    """Return the names of the tasks that a kind of process keeps running."""
    root = pathlib.Path(tasks.__file__).parent
    return {
        name
        for path in root.glob('*/*.py')
        for name in re.findall(
            r"\.keep_running\(\s*'([a-z_.]+)'", path.read_text()
        )
        if path.parent.name == 'control'
        or (path.parent.name in NODE_FOLDERS) == is_node
    } - NOT_RUN


async def wait_for(check_once):
    """Wait until a check that may meet a closed port succeeds."""
    async with asyncio.timeout(LIMIT_S):
        while True:
            try:
                if await check_once():
                    return
            except httpx.HTTPError:
                pass
            await asyncio.sleep(0.05)


# Guards against a gateway process of which a task ends for good, unnoticed,
# because of one exception.
async def test_gateway_serves_after_each_task_has_raised(
    tmp_path, failed_names
):
    inner, control, callers, health = cluster.find_free_ports(4)
    written = deployment.Process(
        tmp_path,
        'one',
        f'inner = "127.0.0.1:{inner}"\ncontrol = "127.0.0.1:{control}"\n'
        f'callers = "127.0.0.1:{callers}"\nhealth = "127.0.0.1:{health}"',
        f'seeds = ["127.0.0.1:{control}"]\ntolerated_losses = 0\n'
        f'found_cluster = true\ndata_folder = "{tmp_path}/data"',
    )
    settings, _ = gateway.load_gateway_settings(written.path)
    counters = metrics.Metrics()
    running = process.GatewayProcess(
        written.path,
        settings,
        gateway_command.DIALECTS[settings.dialect],
        channels.SocketChannels(),
        counters,
    )
    expected = list_task_names(is_node=False)
    try:
        assert await running.start() is None
        async with httpx.AsyncClient() as client:

            async def is_accepted():
                put = await client.post(
                    f'http://127.0.0.1:{control}/v1/routing',
                    content=documents.write(documents.build(version=1)),
                )
                return put.status_code == 200

            async def is_ready():
                response = await client.get(
                    f'http://127.0.0.1:{health}/readyz'
                )
                return response.status_code == 200

            async def has_restarted_all():
                return expected <= failed_names

            for step in (is_accepted, is_ready, has_restarted_all):
                await wait_for(step)
    finally:
        await running.close()
    assert failed_names == expected
    for name in expected:
        assert counters.counter('tasks_failed', task=name) == 1


# The same for the product's own nodes.
async def test_node_is_ready_after_each_task_has_raised(
    tmp_path, failed_names
):
    callers, administration, inner = cluster.find_free_ports(3)
    path = tmp_path / 'node.toml'
    path.write_text(
        'name = "one"\nregion = "central"\ndata_centre = "north"\n'
        f'[listen]\ncallers = "127.0.0.1:{callers}"\n'
        f'administration = "127.0.0.1:{administration}"\n'
        f'inner = "127.0.0.1:{inner}"\n'
        f'[control]\ndata_folder = "{tmp_path}/data"\n'
        f'[[control.hosts]]\nname = "one"\naddress = "127.0.0.1:{inner}"\n'
        'data_centre = "north"\n'
    )
    settings = check.read_settings(path)
    assert identity.init_control(settings) is None
    running = node.Node(settings, channels.SocketChannels())
    expected = list_task_names(is_node=True)
    try:
        assert await running.start() is None

        async def has_restarted_all():
            return expected <= failed_names

        await wait_for(has_restarted_all)
        async with httpx.AsyncClient() as client:

            async def has_leader():
                response = await client.get(
                    f'http://127.0.0.1:{administration}/v1/status'
                )
                return response.status_code == 200

            await wait_for(has_leader)
    finally:
        await running.close()
    assert failed_names == expected
