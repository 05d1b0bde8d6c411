"""Reading the stand-ins' record while they write it."""

import json

import pytest

from tests.requests import request_cluster


def test_line_that_is_still_being_written_is_not_read(tmp_path):
    path = tmp_path / 'record'
    record = request_cluster.RequestCluster(None, path)
    path.write_text('{"kind": "died", "host": "h1"}\n{"kind": "died", "ho')
    assert [item['host'] for item in record.records('died')] == ['h1']
    path.write_text('{"kind": "died", "host": "h1"}\n')
    assert [item['host'] for item in record.records('died')] == ['h1']
    path.write_text('')
    assert record.records('died') == []


def test_damaged_line_that_ends_is_an_error(tmp_path):
    path = tmp_path / 'record'
    path.write_text('{"kind": "died", "ho\n')
    with pytest.raises(json.JSONDecodeError):
        request_cluster.RequestCluster(None, path).records('died')
