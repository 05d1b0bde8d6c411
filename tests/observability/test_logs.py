"""Lines of the log name their process whatever their fields are."""

import eliot
import pytest

from filbertglade.observability import logs


@pytest.fixture
def lines(monkeypatch):
    written = []
    monkeypatch.setitem(logs._process, 'node', 'one')
    eliot.add_destinations(written.append)
    yield written
    eliot.remove_destination(written.append)


def test_field_does_not_stand_in_the_place_of_the_process(lines):
    logs.get_log('here').change('peer.silent', node='two', level=3, age_ms=7)
    assert lines[-1]['node'] == 'one'
    assert lines[-1]['level'] == 'change'
    assert lines[-1]['age_ms'] == 7
