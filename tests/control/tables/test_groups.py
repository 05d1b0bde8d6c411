"""Invariants of the group table under arbitrary commands."""

import hypothesis
from hypothesis import strategies

from filbertglade.control.tables import groups
from filbertglade.inner import commands_pb2

Verdict = commands_pb2.GroupResult

names = strategies.sampled_from(['writer-1', 'writer-2', 'writer-3'])
hosts = strategies.lists(
    strategies.sampled_from([f'host-{i}' for i in range(6)]),
    min_size=1,
    max_size=3,
)
# Index of the epoch that a command names, counted from the newest one.
ages = strategies.integers(0, 3)
forms = strategies.tuples(strategies.just('form'), names, hosts, ages)
moves = strategies.tuples(
    strategies.just('move'), names, strategies.sampled_from([1, 2, 3]), ages
)


def build_change(kind, name, value, epoch):
    if kind == 'form':
        form = commands_pb2.GroupRecord(group=name, hosts=value, epoch=epoch)
        return commands_pb2.GroupChange(form=form)
    move = commands_pb2.GroupMove(group=name, phase=value, epoch=epoch)
    return commands_pb2.GroupChange(move=move)


def apply_all(table, commands):
    """Apply commands; yield the index, change and result of each."""
    epochs = [0]
    for index, (kind, name, value, age) in enumerate(commands, 1):
        epoch = epochs[-1 - min(age, len(epochs) - 1)]
        if kind == 'form' and name not in table.groups:
            epoch = 0
        change = build_change(kind, name, value, epoch)
        result = table.apply(change, index, index * 10)
        if kind == 'form' and result.verdict == Verdict.DONE:
            epochs.append(result.epoch)
        yield index, change, result


@hypothesis.given(strategies.lists(forms | moves, max_size=40))
@hypothesis.settings(max_examples=300)
def test_no_host_is_in_two_groups_and_epochs_only_rise(commands):
    table = groups.GroupTable()
    newest = 0
    for index, change, result in apply_all(table, commands):
        members = [
            host for record in table.groups.values() for host in record.hosts
        ]
        assert len(members) == len(set(members))
        assert table.group_of_host == {
            host: record.group
            for record in table.groups.values()
            for host in record.hosts
        }
        if change.HasField('form') and result.verdict == Verdict.DONE:
            assert result.epoch == index > newest
            newest = index
            assert table.groups[change.form.group].fencing_number == index


@hypothesis.given(strategies.lists(forms | moves, max_size=40))
def test_a_stale_epoch_changes_nothing(commands):
    table = groups.GroupTable()
    for _ in apply_all(table, commands):
        pass
    for record in list(table.groups.values()):
        before = record.SerializeToString()
        stale = build_change('move', record.group, 3, record.epoch - 1)
        result = table.apply(stale, 1000, 0)
        assert result.verdict == Verdict.EPOCH_STALE
        stale = build_change('form', record.group, ['other'], record.epoch - 1)
        result = table.apply(stale, 1001, 0)
        assert result.verdict == Verdict.EPOCH_STALE
        assert table.groups[record.group].SerializeToString() == before


def test_a_move_raises_the_fencing_number_and_not_the_epoch():
    table = groups.GroupTable()
    table.apply(build_change('form', 'writer-1', ['host-1'], 0), 5, 0)
    table.apply(
        build_change('move', 'writer-1', commands_pb2.DRAINING, 5), 9, 0
    )
    record = table.find_group('host-1')
    assert (record.epoch, record.fencing_number) == (5, 9)
