"""Short soaks of real processes under randomized faults."""

import pytest

from tests.platform import soak
from tests.platform import soak_record

SECONDS = 20


@pytest.mark.parametrize('seed', [1, 2])
async def test_random_faults_break_no_invariant(tmp_path, seed):
    """Check all of a soak's invariants.

    Longer soaks: ``python -m tests.platform.soak 300 SEED``.
    """
    result = await soak.soak(tmp_path, SECONDS, seed)
    record = result.record
    assert record.violations == [], (record.overloads, record.faults)
    # A soak on an overloaded machine proves nothing.
    assert record.overloads == []
    assert result.faults.count >= 3
    assert record.statuses[200] > 100
    assert len(record.versions_accepted) >= 10
    # Calm hosts were judged by the tightest bound.
    assert record.judged[soak_record.CONFIG_APPLY_S] > 0
    assert record.judged_drains > 0, record.faults
    # Answers of workers told hosts that these leave, or to pause.
    assert record.judged_leavings > 0, record.faults
    assert record.judged_pauses > 0, record.faults
    assert record.judged_announcements > 0
    # A request crashed workers, and was contained.
    assert record.killing_runs
    # The second data centre was evacuated and lost, and returned cold.
    assert result.places.judged_evacuations > 0, record.faults
    assert result.places.judged_cold > 0, record.faults
    assert result.places.losses > 0
    # Endless responses were sent through hosts, which stayed small.
    assert record.peak_bytes > 0
