"""Batches of log entries that are sent in parts."""

import weakref

import hypothesis
from hypothesis import strategies

from filbertglade.control import entry_parts
from filbertglade.inner import agreement_pb2
from tests.control import cluster

COMMANDS = strategies.lists(
    strategies.binary(max_size=200), min_size=1, max_size=8
)


def make_entries(commands, first=1):
    return [
        agreement_pb2.LogEntry(
            index=index, term=2, command=data, changes_voters=not index % 3
        )
        for index, data in enumerate(commands, start=first)
    ]


def make_parts(entries, limit_bytes, term=2):
    batch = entry_parts.SplitBatch(2, entries, entry_parts.CommandCache())
    parts = []
    while not batch.is_complete:
        parts.append(
            agreement_pb2.AppendRequest(
                term=term,
                leader='one',
                previous_index=entries[0].index - 1,
                part_number=batch.part_count,
                pieces=batch.take(limit_bytes),
                completes_batch=batch.is_complete,
            )
        )
    return parts


@hypothesis.given(COMMANDS, strategies.integers(1, 300))
def test_parts_are_bounded_and_make_up_the_batch(commands, limit_bytes):
    entries = make_entries(commands)
    assembler = entry_parts.PartAssembler()
    for part in make_parts(entries, limit_bytes):
        assert part.pieces
        size_bytes = sum(len(piece.command) for piece in part.pieces)
        assert size_bytes <= limit_bytes
        assert assembler.add(part)
    assert assembler.take() == entries


@hypothesis.given(
    COMMANDS,
    strategies.integers(1, 300),
    strategies.lists(strategies.integers(0, 30), min_size=1, max_size=60),
)
def test_only_the_complete_sequence_of_parts_is_taken(
    commands, limit_bytes, order
):
    """Parts that arrive in another order never make up other entries."""
    entries = make_entries(commands)
    parts = make_parts(entries, limit_bytes)
    assembler = entry_parts.PartAssembler()
    for place in order:
        part = parts[place % len(parts)]
        if assembler.add(part) and part.completes_batch:
            assert assembler.take() == entries


def test_parts_of_another_term_or_batch_do_not_continue_a_batch():
    commands = [b'x' * 100, b'y' * 100]
    first, second, *_ = make_parts(make_entries(commands), 64)
    for other in (
        make_parts(make_entries(commands), 64, term=3)[1],
        make_parts(make_entries(commands, first=5), 64)[1],
    ):
        assembler = entry_parts.PartAssembler()
        assert assembler.add(first)
        assert not assembler.add(other)
        assert not assembler.add(second)


def test_receivers_share_a_command_while_they_need_it():
    entries = make_entries([b'x' * 1000])
    commands = entry_parts.CommandCache()
    unused = weakref.ref(commands.find(entries[0]))
    assert unused() is None
    held = commands.find(entries[0])
    assert commands.find(entries[0]) is held


def test_a_part_counts_as_contact_but_not_as_stored():
    """A part must not be acknowledged as an entry that is on disk."""

    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            voter = (await group.followers())[0]
            before = voter.agreement.status()
            follower = voter.agreement.servicer._follower
            group.network.cut(leader.name, voter.name)
            await group.pass_time(0.5)
            first = before.last_index + 1
            entries = make_entries([b'x' * 100], first)
            parts = make_parts(entries, 40, before.term)
            for part in parts:
                part.previous_term = before.term
                part.leader = leader.name
                part.committed_index = first
            assembler = entry_parts.PartAssembler()
            for part in parts[:-1]:
                reply = await follower.append(part, assembler)
                assert reply.accepted
                assert reply.match_index == before.last_index
                assert voter.agreement.leader_age_ms() == 0
            after = voter.agreement.status()
            assert after.last_index == before.last_index
            assert after.committed_index == before.last_index
            # A newer stream of the leader takes the place of this one.
            await follower.append(
                agreement_pb2.AppendRequest(
                    term=before.term,
                    leader=leader.name,
                    previous_index=before.last_index,
                    previous_term=before.term,
                ),
                entry_parts.PartAssembler(),
            )
            reply = await follower.append(parts[-1], assembler)
            assert not reply.accepted
            assert reply.retry_index == first
            assert voter.agreement.status().last_index == before.last_index

    cluster.run(scenario())


def test_a_part_of_an_old_leader_is_no_contact():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            voter = (await group.followers())[0]
            status = voter.agreement.status()
            follower = voter.agreement.servicer._follower
            group.network.cut(leader.name, voter.name)
            await group.pass_time(0.5)
            part = make_parts(
                make_entries([b'x' * 100], status.last_index + 1),
                40,
                status.term - 1,
            )[0]
            reply = await follower.append(part, entry_parts.PartAssembler())
            assert not reply.accepted
            assert reply.term == status.term
            assert voter.agreement.leader_age_ms() >= 500

    cluster.run(scenario())
