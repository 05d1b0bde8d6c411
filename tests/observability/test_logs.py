"""Each log line names its writer, whatever the names of the event's fields."""

import json
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
ENVIRONMENT = os.environ | {'PYTHONPATH': str(ROOT)}
PROGRAM = """
from filbertglade.observability import logs
import pathlib

logs.open_log('one', 'north', pathlib.Path('one.log'))
log = logs.get_log('module')
log.change('a.b', node='two', level='high', hosts=('x', 'y'), error=OSError())
log.error('c.d', voters={'one': 1})
"""


def test_fields_of_an_event_do_not_hide_its_writer(tmp_path):
    subprocess.run(
        [sys.executable, '-c', PROGRAM],
        cwd=tmp_path,
        check=True,
        env=ENVIRONMENT,
    )
    first, second = (
        json.loads(line)
        for line in (tmp_path / 'one.log').read_text().splitlines()
    )
    assert first['message_type'] == 'a.b'
    assert (first['node'], first['event_node']) == ('one', 'two')
    assert (first['level'], first['event_level']) == ('change', 'high')
    assert first['hosts'] == ['x', 'y']
    assert first['error'] == 'OSError: '
    assert second['level'] == 'error'
    assert second['voters'] == {'one': 1}
