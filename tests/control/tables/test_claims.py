"""Compares the packed claim table with a simple reference model."""

import hypothesis
from hypothesis import strategies
import pytest

from filbertglade.control.tables import claims
from filbertglade.control.tables import records
from filbertglade.control.tables import sources
from filbertglade.inner import commands_pb2

Action = commands_pb2.ClaimChange
Verdict = commands_pb2.ClaimResult


class ReferenceTable:
    """Reference model of the claim table."""

    def __init__(self):
        self.claims = {}

    def apply_one(self, change, now_ms):
        claim = self.claims.get(change.key)
        if claim is not None and claim['until_ms'] <= now_ms:
            claim = None
        if claim is None:
            if change.action != Action.TAKE:
                return Verdict.NOT_HELD, ''
            self.claims[change.key] = {
                'until_ms': now_ms + change.kept_ms,
                'body': change.body_digest,
                'attempt': change.attempt,
                'finished': False,
            }
            return Verdict.DONE, change.attempt
        verdict = self.decide(claim, change)
        return verdict, claim['attempt']

    def decide(self, claim, change):
        held = Verdict.FINISHED if claim['finished'] else Verdict.HELD
        if change.action in (Action.TAKE, Action.TAKE_OVER):
            if claim['body'] != change.body_digest:
                return Verdict.BODY_DIFFERS
            if change.action == Action.TAKE:
                is_own = claim['attempt'] == change.attempt
                return Verdict.DONE if is_own else held
            expected = (change.expected_attempt, change.attempt)
            if claim['finished'] or claim['attempt'] not in expected:
                return held
            claim['attempt'] = change.attempt
            return Verdict.DONE
        if claim['attempt'] != change.attempt:
            return Verdict.NOT_HELD
        if change.action == Action.FINISH:
            claim['finished'] = True
        elif not claim['finished']:
            del self.claims[change.key]
        return Verdict.DONE


ATTEMPTS = ('run-1', 'run-2', 'other-1', 'run-01', '', '-', 'run-', 'x-y-7')
CHANGES = strategies.builds(
    commands_pb2.ClaimChange,
    action=strategies.sampled_from(Action.Action.values()),
    customer=strategies.just('c'),
    key=strategies.sampled_from([f'key-{n}' for n in range(6)]),
    body_digest=strategies.sampled_from((b'1' * 32, b'2' * 32)),
    attempt=strategies.sampled_from(ATTEMPTS),
    expected_attempt=strategies.sampled_from(ATTEMPTS),
    owner=strategies.sampled_from(('north', 'south')),
    kept_ms=strategies.sampled_from((1, 10, 1000)),
)
STEPS = strategies.lists(
    strategies.tuples(strategies.integers(0, 20), CHANGES), max_size=60
)


def apply(table, now_ms, *changes):
    batch = commands_pb2.ClaimChanges(changes=changes)
    return table.apply(batch, now_ms).results


def load(chunks):
    loaded = claims.ClaimTable()
    for chunk in chunks:
        loaded.load_chunk(chunk)
    return loaded


@hypothesis.given(steps=STEPS, reload_at=strategies.integers(0, 60))
@hypothesis.settings(max_examples=300)
def test_claim_table_matches_the_reference_model(steps, reload_at):
    reference = ReferenceTable()
    table = claims.ClaimTable()
    now_ms = 0
    for step_index, (passed_ms, change) in enumerate(steps):
        if step_index == reload_at:
            table = load(table.dump())
        now_ms += passed_ms
        (found,) = apply(table, now_ms, change)
        expected = reference.apply_one(change, now_ms)
        assert (found.verdict, found.attempt) == expected


def take(number, kept_ms):
    return commands_pb2.ClaimChange(
        customer='c',
        key=f'key-{number}',
        attempt=f'run-{number % 7}-{number}',
        owner='node',
        kept_ms=kept_ms,
    )


def test_expired_claims_are_removed_as_new_ones_arrive():
    table = claims.ClaimTable()
    apply(table, 0, *(take(number, 100) for number in range(5000)))
    assert len(table) == 5000
    full = table._records.shard_count
    for number in range(5000, 10_000):
        apply(table, 200 + number, take(number, 100))
    assert len(table) < 500
    assert table._records.shard_count < full
    held = sum(table._sources._claim_counts)
    assert held == len(table)


def test_sources_without_claims_are_removed():
    table = claims.ClaimTable()
    for number in range(1000):
        change = take(number, 1000)
        change.attempt = f'odd {number}'
        apply(table, 0, change)
        change.action = Action.RELEASE
        (result,) = apply(table, 0, change)
        assert result.attempt == change.attempt
    assert len(table._sources) == 0
    assert len(table._sources._sources) == 1


@pytest.mark.parametrize(
    'name', ['run-12', 'a-b-0', 'run-007', 'run-', '-5', '', f'r-{2**64}']
)
def test_attempt_names_survive_split_and_join(name):
    assert sources.join_name(*sources.split_name(name)) == name


def digest(number):
    return number.to_bytes(8).rjust(records.DIGEST_BYTES, b'\1')[::-1]


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 40), strategies.integers(0, 3)
        ),
        max_size=200,
    )
)
def test_records_are_kept_through_splits_and_merges(steps):
    table = records.RecordTable(records.DIGEST_BYTES + 2)
    kept = {}
    for number, tail in steps:
        # Eight digests per step, which share prefixes.
        for copy in range(8):
            key = digest(number * 8 + copy)
            record = key + bytes((tail, 1))
            if key not in kept:
                table.add(record)
                kept[key] = record
            elif tail:
                table.replace(record)
                kept[key] = record
            else:
                table.remove(key)
                del kept[key]
        assert len(table) == len(kept)
    copied = records.RecordTable(records.DIGEST_BYTES + 2)
    copied.clear()
    for chunk in table.dump():
        copied.load_chunk(chunk)
    for key, record in kept.items():
        assert table.get(key) == copied.get(key) == record
    assert table.get(digest(10_000)) is None
    assert len(copied) == len(kept)
