"""Fixtures and collection rules for all tests."""

import gc
import os
import pathlib

import eliot
import hypothesis
import pytest

hypothesis.settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile('repeatable')

KNOWN_RED_PATH = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
# Starts the line of an entry that holds the test's node id.
TEST_FIELD = 'test: '


def pytest_collection_modifyitems(config, items):
    """Deselect the tests in KNOWN-RED.txt if PASS_OVER_KNOWN_RED is set."""
    if (
        not os.environ.get('PASS_OVER_KNOWN_RED')
        or not KNOWN_RED_PATH.exists()
    ):
        return
    known_red_ids = {
        line.removeprefix(TEST_FIELD).strip()
        for line in KNOWN_RED_PATH.read_text().splitlines()
        if line.startswith(TEST_FIELD)
    }
    deselected = [item for item in items if item.nodeid in known_red_ids]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known_red_ids]


@pytest.fixture
def settings_text() -> str:
    return """
name = "one"
region = "central"
data_centre = "north"

[listen]
callers = "127.0.0.1:8080"
administration = "127.0.0.1:8081"
inner = "127.0.0.1:8082"

[control]
data_folder = "data"

[[control.hosts]]
name = "one"
address = "127.0.0.1:8082"
data_centre = "north"
"""


@pytest.fixture
def settings_file(tmp_path: pathlib.Path, settings_text: str) -> pathlib.Path:
    path = tmp_path / 'node.toml'
    path.write_text(settings_text)
    return path


@pytest.fixture
def log_lines():
    """The log lines written during the test, as dictionaries."""
    lines = []
    eliot.add_destinations(lines.append)
    # eliot hands the lines from before the first destination to it.
    lines.clear()
    yield lines
    eliot.remove_destination(lines.append)


@pytest.fixture
def no_collection():
    """Only reference counts free memory during the test."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()
