from filbertglade.control import state
from filbertglade.control.tables import evacuations
from filbertglade.inner import commands_pb2


def order(agreed, index, name, active=True):
    change = commands_pb2.EvacuationChange(data_centre=name, active=active)
    command = commands_pb2.Command(
        evacuation_change=change, stamped_ms=index * 10
    )
    return agreed.apply(index, command).evacuation


def copy(agreed):
    loaded = state.AgreedState()
    for chunk in agreed.dump():
        loaded.load_chunk(chunk)
    other = state.AgreedState()
    other.adopt(loaded)
    return other


def test_resent_orders_are_done_and_change_nothing():
    agreed = state.AgreedState()
    assert order(agreed, 3, 'north', active=False).done
    assert agreed.evacuations.changed_index == 0
    assert order(agreed, 4, 'north').done
    assert order(agreed, 5, 'north').done
    assert agreed.evacuations.changed_index == 4
    (evacuation,) = agreed.evacuations.list_evacuations()
    assert (evacuation.since_index, evacuation.since_ms) == (4, 40)
    assert order(agreed, 6, 'north', active=False).done
    assert agreed.evacuations.changed_index == 6
    assert not agreed.evacuations.names


# Guards against a state that grows with each order.
def test_number_of_evacuations_is_bounded():
    agreed = state.AgreedState()
    for number in range(evacuations.MAX_EVACUATIONS):
        assert order(agreed, number + 1, f'dc-{number}').done
    assert not order(agreed, 100, 'one too many').done
    assert order(agreed, 101, 'dc-0').done
    assert order(agreed, 102, 'dc-0', active=False).done
    assert order(agreed, 103, 'one too many').done


# Guards against an index that falls after a snapshot: hosts would ignore all
# changes until it has risen again.
def test_snapshot_keeps_the_evacuations_and_their_index():
    agreed = state.AgreedState()
    order(agreed, 7, 'north')
    order(agreed, 8, 'süd/2')
    order(agreed, 9, 'north', active=False)
    loaded = copy(agreed)
    assert set(loaded.evacuations.names) == {'süd/2'}
    assert loaded.evacuations.changed_index == 9
    order(agreed, 10, 'süd/2', active=False)
    assert copy(agreed).evacuations.changed_index == 10


# Guards against a control host that can't start from a snapshot of the
# release before, or the other way round.
def test_snapshot_without_the_table_loads():
    agreed = state.AgreedState()
    agreed.apply(5, commands_pb2.Command(stamped_ms=70))
    position = len(agreed._tables()) - 1
    chunks = list(agreed.dump())
    assert all(chunk[0] != position for chunk in chunks)
    loaded = copy(agreed)
    assert loaded.applied_index == 5
    assert not loaded.evacuations.names
