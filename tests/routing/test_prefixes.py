"""Prefix hashes and the prefix-cache index."""

import asyncio

import hypothesis
from hypothesis import strategies as st

from filbertglade.inner import membership_pb2
from filbertglade.routing import prefixes
from filbertglade.routing import selection
from tests import virtual_time

ONE = selection.EndpointKey('one', 1)
TWO = selection.EndpointKey('two', 1)


def build_event(holder, sequence, stored=(), evicted=()):
    return membership_pb2.CacheEvent(
        group=holder.name,
        epoch=holder.epoch,
        sequence=sequence,
        stored=stored,
        evicted=evicted,
    )


def run(scenario):
    async def work():
        return scenario()

    return virtual_time.run(work())


def test_hashes_are_shared_only_by_whole_prefixes():
    block = prefixes.BLOCK_BYTES
    first = prefixes.hash_prefixes('a' * 3 * block + 'end')
    second = prefixes.hash_prefixes('a' * 2 * block + 'b' * block)
    assert len(first) == len(second) == 3
    assert first[:2] == second[:2]
    assert first[2] != second[2]
    assert not set(prefixes.hash_prefixes('b' * block)) & set(second)
    assert prefixes.hash_prefixes('short') == []
    longest = 'a' * block * (prefixes.BLOCKS_LIMIT + 5)
    assert len(prefixes.hash_prefixes(longest)) == prefixes.BLOCKS_LIMIT


def test_events_store_and_evict():
    def scenario():
        index = prefixes.PrefixIndex(100)
        index.apply_event(build_event(ONE, 1, stored=[1, 2, 3]))
        index.apply_event(build_event(TWO, 1, stored=[1]))
        assert index.count_cached_blocks(ONE, [1, 2, 3, 4]) == 3
        assert index.find_holders([1, 2, 3, 4], 5) == [ONE]
        index.apply_event(build_event(ONE, 2, evicted=[2, 3]))
        assert index.count_cached_blocks(ONE, [1, 2, 3, 4]) == 1
        assert set(index.find_holders([1, 2, 3, 4], 5)) == {ONE, TWO}

    run(scenario)


def test_sequence_gap_drops_prefixes_of_that_group_only():
    def scenario():
        index = prefixes.PrefixIndex(100)
        index.apply_event(build_event(ONE, 1, stored=[1, 2]))
        index.apply_event(build_event(TWO, 1, stored=[1, 2]))
        index.apply_event(build_event(ONE, 3, stored=[5]))
        assert index.gaps == 1
        assert index.count_cached_blocks(ONE, [1, 2]) == 0
        assert index.count_cached_blocks(ONE, [5]) == 1
        assert index.count_cached_blocks(TWO, [1, 2]) == 2
        # A delayed older event has no effect.
        index.apply_event(build_event(ONE, 2, stored=[1, 2], evicted=[5]))
        assert index.count_cached_blocks(ONE, [5]) == 1
        assert index.count_cached_blocks(ONE, [1, 2]) == 0

    run(scenario)


def test_hint_of_a_sent_prompt_expires_unless_an_event_confirms_it():
    async def scenario():
        index = prefixes.PrefixIndex(100)
        index.note_sent(ONE, [1, 2])
        index.note_sent(TWO, [1, 2])
        index.apply_event(build_event(TWO, 1, stored=[1, 2]))
        assert index.count_cached_blocks(ONE, [1, 2]) == 2
        await asyncio.sleep(prefixes.HINT_EXPIRY_MS / 1000 + 1)
        assert index.count_cached_blocks(ONE, [1, 2]) == 0
        assert index.count_cached_blocks(TWO, [1, 2]) == 2
        assert index.find_holders([1, 2], 5) == [TWO]

    virtual_time.run(scenario())


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(1, 5),
            st.integers(1, 40),
            st.lists(st.integers(1, 50), max_size=10),
            st.lists(st.integers(1, 50), max_size=5),
            st.booleans(),
        ),
        max_size=40,
    )
)
def test_index_is_bounded_and_its_maps_agree(steps):
    def scenario():
        index = prefixes.PrefixIndex(30)
        for group, sequence, stored, evicted, is_send in steps:
            holder = selection.EndpointKey(f'group-{group}', 1)
            if is_send:
                index.note_sent(holder, stored)
            else:
                event = build_event(holder, sequence, stored, evicted)
                index.apply_event(event)
            pairs = {
                (item, key)
                for item, known in index._expiries_by_prefix.items()
                for key in known
            }
            held = {
                (item, key)
                for key, items in index._prefixes_by_holder.items()
                for item in items
            }
            assert pairs == held
            assert index.entries == len(pairs) <= 30

    run(scenario)
