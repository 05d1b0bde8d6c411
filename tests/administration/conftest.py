"""An administration API over a configuration table, without consensus."""

import hashlib

import httpx
import pytest

from filbertglade.administration import application
from filbertglade.control import submitter
from filbertglade.control.tables import configuration
from filbertglade.entry import application as entry
from filbertglade.inner import commands_pb2
from filbertglade.membership import view
from filbertglade.settings import loader
from tests import cluster as clusters

KEY = 'operators-key'


class TableSubmitter(submitter.Submitter):
    """Applies each command immediately, unless a failure is queued.

    :ivar failures: returned by the next calls, one each.
    :ivar loses_responses: whether a command that fails is applied all the
        same, as if only its response were lost.
    """

    def __init__(self):
        self.table = configuration.ConfigurationTable()
        self.failures = []
        self.loses_responses = False

    async def submit(self, command, timeout_ms):
        if self.failures and not self.loses_responses:
            return self.failures.pop(0)
        verdict = self.table.apply(command.put_configuration)
        if self.failures:
            return self.failures.pop(0)
        return commands_pb2.CommandResult(configuration=verdict)


@pytest.fixture
def commands():
    return TableSubmitter()


@pytest.fixture
def settings(settings_file):
    found, _ = loader.load_settings(settings_file)
    port = clusters.find_free_ports(1)[0]
    found.listen.administration = f'127.0.0.1:{port}'
    found.control.hosts = []
    return found


@pytest.fixture
def guarded(settings):
    hashed = hashlib.sha256(KEY.encode()).hexdigest()
    settings.administration.key_sha256 = hashed
    return settings


@pytest.fixture
async def client(settings, commands):
    built = application.build_application(
        settings, view.FleetView(settings), commands, None
    )
    address = settings.listen.administration
    server = entry.listen(settings, built, address)
    async with httpx.AsyncClient(base_url=f'http://{address}') as found:
        yield found
    server.stop()
    await server.close_all_connections()
