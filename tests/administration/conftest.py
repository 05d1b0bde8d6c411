"""An administration API over a table of the agreed state, without a log."""

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
    """Applies each command at once; failures wait in front of it."""

    def __init__(self):
        self.table = configuration.ConfigurationTable()
        self.failures = []
        self.loses_answers = False

    async def submit(self, command, timeout_ms):
        if self.failures and not self.loses_answers:
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
