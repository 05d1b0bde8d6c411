"""The command that reports how requests ended."""

import json

import pytest
from typer import testing

from filbertglade import cli


@pytest.fixture
def log(tmp_path):
    path = tmp_path / 'entry.log'
    values = {
        'timestamp': 1000.0,
        'node': 'entry-1',
        'data_centre': 'north',
        'process': '1',
        'message_type': 'request.answered',
        'level': 'request',
        'request': 'r1',
        'route': 'chat',
        'status': 200,
        'first_byte_ms': 300,
    }
    path.write_text(f'prefix {json.dumps(values)}\nnot an event\n')
    return str(path)


def run(*arguments):
    return testing.CliRunner().invoke(cli.app, ['report', *arguments])


def test_a_report_is_printed(log):
    result = run(log, '--objective', 'chat=250/200')
    assert result.exit_code == 0
    assert 'late: slower than expected' in result.output
    result = run(log, '--json')
    assert json.loads(result.output)['intervals'][0]['endings']['in time'] == 1


@pytest.mark.parametrize(
    ('arguments', 'message'),
    [
        (['--objective', 'chat'], 'is not ROUTE=MS'),
        (['--objective', 'chat=x'], 'is not ROUTE=MS'),
        (['--objective', 'chat=-1'], 'is not ROUTE=MS'),
        (['--objective', 'chat=nan'], 'is not ROUTE=MS'),
        (['--objective', 'chat=1/0'], 'is not ROUTE=MS'),
        (['--interval-s', '0'], '0.1'),
        (['--plot', 'plot.nonsense'], '--plot: '),
        (['missing.log'], 'missing.log: No such file'),
    ],
)
def test_wrong_options_are_named(log, arguments, message):
    result = run(log, *arguments)
    assert result.exit_code == 2
    assert message in result.output
