from filbertglade.control import state
from filbertglade.control.tables import departures
from filbertglade.inner import commands_pb2

RETENTION_MS = departures.RETENTION_MS


def record(table, *keys, gone=True, at_ms=0):
    change = commands_pb2.Departures()
    for key in keys:
        change.departures.add(endpoint=key, gone=gone)
    table.apply(change, at_ms)


def test_departure_is_never_taken_back():
    table = departures.DepartureTable()
    record(table, 'i-1@1', gone=False)
    assert not table.find('i-1@1', 5).gone
    record(table, 'i-1@1')
    record(table, 'i-1@1', gone=False)
    assert table.find('i-1@1', 5).gone
    assert table.find('i-1@2', 5) is None


def test_departure_counts_from_when_the_endpoint_has_gone():
    table = departures.DepartureTable()
    record(table, 'i-1@1', gone=False)
    record(table, 'i-1@1', at_ms=RETENTION_MS)
    assert table.find('i-1@1', 2 * RETENTION_MS).gone


# Guards against an endpoint without a start time that can never come back.
def test_departure_is_forgotten_after_a_while():
    table = departures.DepartureTable()
    record(table, 'i-1@0')
    assert table.find('i-1@0', RETENTION_MS) is not None
    assert table.find('i-1@0', RETENTION_MS + 1) is None
    record(table, 'i-1@0', gone=False, at_ms=RETENTION_MS + 1)
    assert not table.find('i-1@0', RETENTION_MS + 1).gone


def test_departures_take_bounded_memory():
    table = departures.DepartureTable()
    for number in range(departures.MAX_DEPARTURES + 5):
        record(table, f'i-{number}@1')
    assert len(table) == departures.MAX_DEPARTURES
    assert table.find('i-4@1', 0) is None
    assert table.find('i-5@1', 0) is not None
    record(table, 'i-last@1', at_ms=RETENTION_MS + 1)
    assert len(table) == 1


def test_departures_survive_a_snapshot():
    agreed = state.AgreedState()
    for number in range(2 * departures.CHUNK_DEPARTURES + 1):
        change = commands_pb2.Departures()
        change.departures.add(endpoint=f'i-{number}@1', gone=number % 2)
        agreed.apply(
            number + 1,
            commands_pb2.Command(stamped_ms=number, departures=change),
        )
    loaded = state.AgreedState()
    for chunk in agreed.dump():
        loaded.load_chunk(chunk)
    other = state.AgreedState()
    other.adopt(loaded)
    assert len(other.departures) == number + 1
    for key in ('i-0@1', 'i-1@1', f'i-{number}@1'):
        assert other.departures.find(key, 0) == agreed.departures.find(key, 0)
