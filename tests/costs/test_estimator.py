"""Estimates of costs before requests run, offline."""

import asyncio
import math
import random

import pytest

from filbertglade.costs import decayed
from filbertglade.costs import estimator
from filbertglade.costs import speeds
from filbertglade.costs import tracking
from filbertglade.costs import work
from filbertglade.fleet import document
from filbertglade.forwarding import targets
from tests import virtual_time

ENGINE = document.Engine(slots=8, usual={'prompt': 700.0, 'answer': 120.0})


def features(**fields):
    return work.Features('models', 'big', 'chat', **fields)


def run(check):
    async def work_on_loop():
        await check()

    virtual_time.run(work_on_loop())


# Guards against a host that estimates nothing, or a cost of zero, until it
# has forwarded its first answers.
def test_cold_start_uses_the_usual_cost_and_the_callers_estimate():
    async def check():
        costs = estimator.LearnedCosts()
        without = costs.estimate(features(), ENGINE)
        hinted = costs.estimate(features(hint_tokens=2000), ENGINE)
        assert without.source == 'usual'
        assert without.prompt_tokens == 700
        assert 120 <= without.answer_tokens <= 360
        assert hinted.source == 'caller'
        assert 500 < hinted.answer_tokens <= 3 * 2000

    run(check)


# Guards against estimates that ignore what a customer's, or a shared
# prompt's, earlier answers showed.
@pytest.mark.parametrize(
    'common', [{'customer': 'acme'}, {'parts': ('manual',)}]
)
def test_earlier_requests_correct_the_usual_cost(common):
    async def check():
        costs = estimator.LearnedCosts()
        for _ in range(60):
            costs.learn(features(**common), ENGINE, 1500)
            costs.learn(features(customer='other'), ENGINE, 20)
        learned = costs.estimate(features(**common), ENGINE).answer_tokens
        other = costs.estimate(features(customer='other'), ENGINE)
        assert learned > 10 * other.answer_tokens

    run(check)


# Guards against trust in callers whose estimates are far off.
def test_estimate_that_is_often_wrong_counts_little():
    async def check():
        costs = estimator.LearnedCosts()
        rng = random.Random(1)
        for _ in range(200):
            hint = round(100 * math.exp(rng.gauss(0, 3)))
            costs.learn(features(hint_tokens=max(1, hint)), ENGINE, 100)
        estimated = costs.estimate(features(hint_tokens=5000), ENGINE)
        assert estimated.source == 'history'
        assert estimated.answer_tokens < 500

    run(check)


# Guards against a single extreme answer that multiplies later estimates.
def test_one_extreme_answer_changes_little():
    async def check():
        costs = estimator.LearnedCosts()
        for _ in range(50):
            costs.learn(features(), ENGINE, 100)
        before = costs.estimate(features(), ENGINE).answer_tokens
        costs.learn(features(), ENGINE, 1e9)
        after = costs.estimate(features(), ENGINE).answer_tokens
        assert after < 2 * before

    run(check)


# Guards against memory that grows with the number of customers and prompts.
def test_memory_is_bounded(monkeypatch):
    monkeypatch.setattr(estimator, 'MAX_KEYS', 20)

    async def check():
        costs = estimator.LearnedCosts()
        for i in range(500):
            learned = work.Features(
                f's-{i}', 'big', f'r-{i}', f'c-{i}', (f'p-{i}', f'q-{i}'), 's'
            )
            costs.learn(learned, ENGINE, 100)
        assert costs.key_count <= 6 * 20

    run(check)


# Guards against a cost that was learned long ago and outlives its cause.
def test_what_was_learned_decays():
    async def check():
        costs = estimator.LearnedCosts()
        for _ in range(50):
            costs.learn(features(), ENGINE, 4000)
        fresh = costs.estimate(features(), ENGINE).answer_tokens
        await asyncio.sleep(20 * estimator.HALF_LIFE_MS / 1000)
        old = costs.estimate(features(), ENGINE).answer_tokens
        assert fresh > 3000
        assert old < 400

    run(check)


# Guards against a target that was slow once and is never tried again.
def test_slowness_decays_without_requests():
    async def check():
        known = speeds.TargetSpeeds()
        target = targets.Target('i-1', 'i-1', '', 'north', 4)
        for _ in range(20):
            known.record(target, 100, 400)
        assert known.get_factor(target) > 3
        await asyncio.sleep(12 * speeds.HALF_LIFE_MS / 1000)
        assert known.get_factor(target) < 1.1

    run(check)


# Guards against a key for each resource of a plain service, which would
# learn nothing.
def test_paths_that_differ_by_an_id_have_one_shape():
    first = tracking.describe_shape('GET', '/orders/17/lines', 0)
    second = tracking.describe_shape('GET', '/orders/9a3/lines', 0)
    assert first == second
    assert first != tracking.describe_shape('GET', '/orders/all/lines', 0)
    assert first != tracking.describe_shape('GET', '/orders/17/lines', 5000)


# Guards against a rate that is taken over the whole half-life from the first
# request on, and is far too low after a start.
def test_rate_is_right_soon_after_the_start():
    async def check():
        rates = decayed.DecayedRates(4000)
        for _ in range(10):
            rates.add('big', 50)
            await asyncio.sleep(0.1)
        assert rates.get_per_ms('big') == pytest.approx(0.5, rel=0.2)
        assert rates.get_per_ms('small') == 0

    run(check)
