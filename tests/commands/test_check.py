"""The output of the commands that check files."""

import json
import pathlib

import pytest
from typer import testing

from filbertglade import cli
from tests import recording

SETTINGS = """
name = "one"
region = "central"
data_centre = 7
colour = "red"

[listen]
callers = "127.0.0.1:8080"
administration = "127.0.0.1:8080"
inner = "localhost:8082"

[control]
data_folder = "/proc/data"
lease_ms = 2000

[[control.hosts]]
name = "two"
address = "127.0.0.1:8082"
data_centre = "north"

[[control.hosts]]
name = "two"
address = "127.0.0.1:8083"
data_centre = "north"
"""
DOCUMENT = {
    'number': 0,
    'customers': [
        {'name': 'a', 'key_sha256': '0' * 64},
        {'name': 'a', 'key_sha256': 'x', 'weight': -1},
    ],
    'services': [{'name': 's', 'customers': ['b']}],
}


class Terminal:
    """Runs commands and records their output."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._parts: list[str] = []

    def run(self, *arguments: str) -> int:
        result = testing.CliRunner().invoke(cli.app, list(arguments))
        shown = ' '.join(('filbertglade', *arguments))
        self._parts.append(
            f'$ {shown}\n{result.output}exit code {result.exit_code}\n\n'
        )
        return result.exit_code

    def render(self) -> str:
        text = ''.join(self._parts).replace(str(self._folder), '<folder>')
        return recording.normalize_text(text)


@pytest.fixture
def terminal(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    return Terminal(tmp_path)


def test_output_of_commands(
    terminal, tmp_path, settings_text, file_regression
):
    (tmp_path / 'bad.toml').write_text(SETTINGS)
    (tmp_path / 'broken.toml').write_text('name = ')
    (tmp_path / 'good.toml').write_text(settings_text)
    (tmp_path / 'bad.json').write_text(json.dumps(DOCUMENT))
    (tmp_path / 'broken.json').write_text('{"number": 1,')
    good = {'number': 1, 'change_id': 'a', 'customers': []}
    (tmp_path / 'good.json').write_text(json.dumps(good))
    assert terminal.run('check-settings', 'good.toml') == 0
    assert terminal.run('check-settings', 'bad.toml') == 2
    assert terminal.run('check-settings', 'broken.toml') == 2
    assert terminal.run('check-settings', 'none.toml') == 2
    assert terminal.run('node', '--settings', 'bad.toml') == 2
    assert terminal.run('init-control', '--settings', 'bad.toml') == 2
    assert terminal.run('init-control', '--settings', 'good.toml') == 0
    assert terminal.run('init-control', '--settings', 'good.toml') == 2
    assert terminal.run('check-config', 'good.json') == 0
    assert terminal.run('check-config', 'bad.json') == 2
    assert terminal.run('check-config', 'broken.json') == 2
    assert terminal.run('config', 'apply', 'bad.json') == 2
    assert terminal.run('timeline', 'none.log') == 2
    file_regression.check(
        terminal.render(), fullpath=recording.GOLDEN / 'commands.txt'
    )


def test_invalid_settings_start_nothing(terminal, tmp_path):
    (tmp_path / 'bad.toml').write_text('log_file = "node.log"\n' + SETTINGS)
    assert terminal.run('node', '--settings', 'bad.toml') == 2
    assert sorted(path.name for path in tmp_path.iterdir()) == ['bad.toml']
