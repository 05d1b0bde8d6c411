"""Fixtures that all tests share."""

import pathlib

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
