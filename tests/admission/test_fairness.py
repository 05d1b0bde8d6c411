"""Regular customers beside a greedy one, in virtual time."""

import pytest

from benchmarks import policies
from benchmarks import workload

SECONDS = 40
SEED = 1
MAX_RATIO = 1.25


@pytest.fixture(scope='module', params=policies.FAIR_LOADS)
def measured(request):
    return policies.measure_fairness(
        workload.EngineLoad(), request.param, SECONDS, SEED
    )


def test_greedy_customer_takes_nothing_from_the_others(measured):
    alone, beside, greedy = measured
    assert alone.refused == beside.refused == 0
    assert beside.good >= 0.95 * alone.good
    assert greedy.refused > 0


def test_greedy_customer_does_not_slow_the_others_down(measured):
    alone, beside, _ = measured
    assert beside.first_ms(95) <= MAX_RATIO * alone.first_ms(95)
