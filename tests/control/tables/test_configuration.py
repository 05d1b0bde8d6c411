"""Configuration documents: numbers, races, retries, snapshots, history."""

from hypothesis import stateful
from hypothesis import strategies

from filbertglade.control.tables import configuration
from filbertglade.inner import commands_pb2

Verdict = configuration.Verdict

CHANGE_IDS = strategies.sampled_from('abcdef')
BODIES = strategies.sampled_from(['x', 'y'])


def _change(number, change_id, body):
    return commands_pb2.PutConfiguration(
        number=number,
        change_id=change_id,
        document=body.encode(),
        digest=f'{number}/{change_id}/{body}',
    )


def _reload(table):
    fresh = configuration.ConfigurationTable()
    for chunk in table.dump():
        fresh.load_chunk(chunk)
    return fresh


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Compares the table with a list of the accepted changes."""

    def __init__(self):
        super().__init__()
        self.table = configuration.ConfigurationTable()
        self.accepted = []

    def _find(self, change_id):
        for change in self.accepted:
            if change.change_id == change_id:
                return change
        return None

    @stateful.rule(
        step=strategies.integers(-2, 2), change_id=CHANGE_IDS, body=BODIES
    )
    def put(self, step, change_id, body):
        current = len(self.accepted)
        change = _change(max(1, current + 1 + step), change_id, body)
        result = self.table.apply(change)
        earlier = self._find(change_id)
        if earlier is not None:
            is_same = earlier.digest == change.digest
            assert result.verdict == (
                Verdict.ACCEPTED if is_same else Verdict.CHANGE_ID_REUSED
            )
            assert result.number == earlier.number
        elif change.number == current + 1:
            assert result.verdict == Verdict.ACCEPTED
            self.accepted.append(change)
        elif change.number <= current:
            assert result.verdict == Verdict.NUMBER_TAKEN
            winner = self.accepted[change.number - 1]
            assert result.change_id == winner.change_id
        else:
            assert result.verdict == Verdict.NUMBER_OUT_OF_ORDER
            assert result.number == current

    @stateful.rule()
    def restart_from_snapshot(self):
        self.table = _reload(self.table)

    @stateful.invariant()
    def current_is_the_last_accepted(self):
        assert self.table.current.number == len(self.accepted)
        assert [item.change_id for item in self.table.history()] == [
            item.change_id for item in self.accepted
        ]
        if self.accepted:
            assert self.table.current == self.accepted[-1]


TestConfiguration = ConfigurationMachine.TestCase


def test_change_is_remembered_over_a_long_history_and_a_restart():
    table = configuration.ConfigurationTable()
    count = configuration.HISTORY_LENGTH + 10
    for number in range(1, count + 1):
        table.apply(_change(number, f'change-{number}', 'x'))
    table = _reload(table)
    oldest = count - configuration.HISTORY_LENGTH + 1
    again = table.apply(_change(oldest, f'change-{oldest}', 'x'))
    assert (again.verdict, again.number) == (Verdict.ACCEPTED, oldest)
    # A change that is no longer in the history is refused as out of order.
    older = table.apply(_change(oldest - 1, f'change-{oldest - 1}', 'x'))
    assert older.verdict == Verdict.NUMBER_OUT_OF_ORDER
    assert table.current.number == count
