"""Endpoint selection by each policy."""

import asyncio
import collections
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from filbertglade.inner import membership_pb2
from filbertglade.routing import expected_wait
from filbertglade.routing import policies
from filbertglade.routing import prefixes
from filbertglade.routing import selection
from filbertglade.settings import model
from tests import fakes
from tests import virtual_time

NORMAL_TOKEN_US = 20_000


def build_selector(policy='expected-wait'):
    settings = fakes.build_settings()
    settings.routing.policy = model.SelectionPolicy(policy)
    settings.routing.report_lag_ms = 1
    return policies.build_selector(
        settings, fakes.FakeFleet(), random.Random(1)
    )


def build_candidates(count, **fields):
    return [
        fakes.build_candidate(
            f'group-{i}', between_tokens_us=NORMAL_TOKEN_US, **fields
        )
        for i in range(count)
    ]


def build_features(prompt=''):
    return selection.RequestFeatures(
        'a', b'', prefixes.hash_prefixes(prompt), target='writer'
    )


def count_choices(selector, candidates, count, features=None, start=False):
    features = features or build_features()
    chosen = collections.Counter()
    for _ in range(count):
        found = selector.choose(candidates, features)
        chosen[found.name] += 1
        if start:
            selector.note_started(found, features)
    return chosen


async def finish_one(selector, candidate, first_ms, token_ms, tokens=10):
    """Complete one request with the given timings."""
    features = build_features()
    selector.note_started(candidate, features)
    await asyncio.sleep(first_ms / 1000)
    selector.note_first_token(candidate, first_ms)
    await asyncio.sleep(token_ms * (tokens - 1) / 1000)
    took_ms = first_ms + token_ms * (tokens - 1)
    selector.note_finished(candidate, features, tokens, took_ms)


@pytest.mark.parametrize(
    'policy', [item.value for item in model.SelectionPolicy]
)
def test_no_candidate_gives_no_choice_and_one_gives_that(policy):
    async def scenario():
        selector = build_selector(policy)
        assert selector.choose([], build_features()) is None
        (only,) = build_candidates(1)
        assert selector.choose([only], build_features()) is only

    virtual_time.run(scenario())


def test_round_robin_takes_turns_and_least_load_the_least():
    async def scenario():
        candidates = build_candidates(4)
        turns = count_choices(build_selector('round-robin'), candidates, 40)
        assert set(turns.values()) == {10}
        candidates[2].load.active = 0
        for position in (0, 1, 3):
            candidates[position].load.active = 3
        least = count_choices(build_selector('least-load'), candidates, 10)
        assert least == {'group-2': 10}

    virtual_time.run(scenario())


def test_own_requests_spread_while_reports_stay_the_same():
    async def scenario():
        candidates = build_candidates(10)
        chosen = count_choices(
            build_selector(), candidates, 100, build_features(), start=True
        )
        assert max(chosen.values()) <= 12
        assert min(chosen.values()) >= 7

    virtual_time.run(scenario())


def test_fresh_report_of_a_full_endpoint_diverts_requests():
    async def scenario():
        candidates = build_candidates(10)
        candidates[0].load.active = 8
        candidates[0].load.queued = 8
        chosen = count_choices(build_selector(), candidates, 200)
        assert chosen['group-0'] == 0

    virtual_time.run(scenario())


def test_old_report_is_ignored():
    async def scenario():
        candidates = build_candidates(10, age_ms=60_000)
        candidates[0].load.active = 8
        candidates[0].load.queued = 8
        chosen = count_choices(build_selector(), candidates, 200)
        assert chosen['group-0'] >= 5

    virtual_time.run(scenario())


def test_reported_straggler_gets_little_and_recovers():
    async def scenario():
        selector = build_selector()
        candidates = build_candidates(10)
        candidates[0].load.between_tokens_us = 5 * NORMAL_TOKEN_US
        slow = count_choices(selector, candidates, 500)
        assert slow['group-0'] <= 10
        candidates[0].load.between_tokens_us = NORMAL_TOKEN_US
        await asyncio.sleep(1)
        again = count_choices(selector, candidates, 500)
        assert again['group-0'] >= 25

    virtual_time.run(scenario())


def test_measured_straggler_gets_little_until_its_samples_expire():
    async def scenario():
        selector = build_selector()
        candidates = build_candidates(9)
        for position, candidate in enumerate(candidates):
            token_ms = 100 if position == 0 else 20
            for _ in range(4):
                await finish_one(selector, candidate, 30, token_ms)
        held = count_choices(selector, candidates, 300)
        assert held['group-0'] <= 10
        await asyncio.sleep(30)
        again = count_choices(selector, candidates, 300)
        assert again['group-0'] >= 15

    virtual_time.run(scenario())


def test_stalled_endpoint_gets_little():
    async def scenario():
        selector = build_selector()
        candidates = build_candidates(9)
        selector.note_started(candidates[0], build_features())
        await asyncio.sleep(10)
        chosen = count_choices(selector, candidates, 300)
        assert chosen['group-0'] <= 10

    virtual_time.run(scenario())


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    st.lists(st.integers(1, 100), min_size=1, max_size=30),
    st.integers(0, 1 << 20),
)
def test_at_most_a_third_counts_as_stragglers(times_ms, seed):
    async def scenario():
        candidates = build_candidates(len(times_ms))
        for candidate, time_ms in zip(candidates, times_ms, strict=True):
            candidate.load.between_tokens_us = time_ms * 1000
        selector = build_selector()
        selector.choose(candidates, build_features())
        ratios = selector._targets['writer'].peers.ratios
        assert len(ratios) <= len(candidates) // 3
        assert all(ratio >= 1.5 for ratio in ratios.values())
        if ratios:
            kept = [
                item.load.between_tokens_us
                for item in candidates
                if item.key not in ratios
            ]
            treated = [
                item.load.between_tokens_us
                for item in candidates
                if item.key in ratios
            ]
            assert min(treated) >= max(kept)

    virtual_time.run(scenario())


def test_cached_prefix_attracts_requests_until_its_holder_is_full():
    async def scenario():
        selector = build_selector()
        candidates = build_candidates(20)
        prompt = 'p' * prefixes.BLOCK_BYTES * 8
        features = build_features(prompt)
        event = membership_pb2.CacheEvent(
            group='group-7', epoch=1, sequence=1, stored=features.prefix_hashes
        )
        selector.apply_cache_event(event)
        chosen = count_choices(selector, candidates, 100, features)
        assert chosen == {'group-7': 100}
        await asyncio.sleep(1)
        candidates[7].load.active = 8
        candidates[7].load.queued = 20
        chosen = count_choices(selector, candidates, 100, features)
        assert chosen['group-7'] == 0

    virtual_time.run(scenario())


def test_history_of_endpoints_is_bounded():
    async def scenario():
        selector = build_selector()
        for i in range(300):
            candidate = fakes.build_candidate(f'group-{i}')
            await finish_one(selector, candidate, 500, 10)
        assert len(selector._history._endpoints) < 250
        for i in range(expected_wait.MAX_TARGETS + 10):
            selector._get_target(f'target-{i}')
        assert len(selector._targets) == expected_wait.MAX_TARGETS

    virtual_time.run(scenario())
