"""What a gateway process loads before it starts."""

import subprocess
import sys

import pytest

# Entry hosts are by far the most processes. After a loss of power all of them
# start at the same time, on a part of a core each.
START = """
import runpy
import sys
sys.argv[1:] = ['gateway', '--settings', 'missing.toml']
try:
    runpy.run_module('filbertglade', run_name='__main__')
except SystemExit as end:
    assert end.code == 2
print('\\n'.join(sys.modules))
"""


@pytest.fixture(scope='module')
def loaded_modules():
    """Return the modules that are loaded when an entry host starts."""
    started = subprocess.run(
        [sys.executable, '-c', START],
        check=True,
        capture_output=True,
        text=True,
    )
    return set(started.stdout.split())


@pytest.mark.parametrize(
    'module',
    [
        'filbertglade.control.agreement',
        'filbertglade.gateway.control_role',
        'filbertglade.replicas.planning',
        'filbertglade.configuration.model',
        'filbertglade.settings.model',
        'tornado.web',
        'typer',
    ],
)
def test_entry_host_loads_nothing_that_it_never_runs(loaded_modules, module):
    assert 'filbertglade.gateway.entry_role' in loaded_modules
    assert module not in loaded_modules
