"""The platform's settings, as the template writes them for a process."""

import json
import pathlib
import re

import pytest

from filbertglade.settings import gateway

TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy' / 'node.toml.template'
FIELDS = {
    'node_name': 'core-1',
    'region': 'r',
    'zone': 'north',
    'ip': '10.1.0.40',
    'internal_ports.0': 7340,
    'listen.control': '10.1.0.40:8229',
    'seeds': ['10.1.0.43:8229'],
    'bootstrap': True,
    'fault_tolerance.machines': 2,
    'data_dir': '/data',
    'heartbeat_ms': 1200,
    'bounds.grace_s': 8,
    'bounds.stall_ms': 4000,
    'bounds.ceiling_window_s': 5,
    'bounds.load_ceiling_factor': 1.1,
    'bounds.retry_budget_ratio': 0.2,
    'bounds.retry_slack': 130,
    'bounds.budget_window_s': 10,
}


def load(path, **changes):
    """Fill in the template and read the settings."""
    fields = FIELDS | changes
    text = TEMPLATE.read_text()
    for name in re.findall(r'\{\{#([^}]+)\}\}', text):
        section = re.compile(
            rf'\{{\{{#{re.escape(name)}\}}\}}(.*?)'
            rf'\{{\{{/{re.escape(name)}\}}\}}',
            re.DOTALL,
        )
        text = section.sub(r'\1' if name in fields else '', text)
    for name, value in fields.items():
        text = text.replace(f'{{{{{name}|json}}}}', json.dumps(value))
        plain = value if isinstance(value, str) else json.dumps(value)
        text = text.replace(f'{{{{{name}}}}}', plain)
    path.write_text(text)
    settings, problems = gateway.load_gateway_settings(path)
    assert not problems
    return settings


def test_whole_numbers_are_taken_as_they_are(tmp_path):
    settings = load(tmp_path / 'node.toml')
    assert settings.grace_ms == 8000
    assert settings.endpoints.load_window_ms == 5000
    assert settings.retries.window_ms == 10_000
    assert settings.retries.slack == 130


# Guards against processes that don't start because a bound is a fraction, as
# the platform's pages allow.
@pytest.mark.parametrize(
    ('bound', 'value', 'find', 'expected'),
    [
        ('retry_slack', 41.33, lambda it: it.retries.slack, 41),
        ('budget_window_s', 2.5, lambda it: it.retries.window_ms, 2500),
        ('grace_s', 4.25, lambda it: it.grace_ms, 4250),
        ('grace_s', 8.0, lambda it: it.grace_ms, 8000),
        ('stall_ms', 4000.5, lambda it: it.endpoints.stall_ms, 4000),
        (
            'ceiling_window_s',
            1.5,
            lambda it: it.endpoints.load_window_ms,
            1500,
        ),
    ],
)
def test_fractions_are_rounded_down(tmp_path, bound, value, find, expected):
    settings = load(tmp_path / 'node.toml', **{f'bounds.{bound}': value})
    assert find(settings) == expected
