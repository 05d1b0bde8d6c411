"""A short soak of real processes under randomized faults."""

from tests.platform import soak

SECONDS = 15
SEED = 1


async def test_random_faults_break_no_invariant(tmp_path):
    """Check all of a soak's invariants.

    Longer soaks: ``python -m tests.platform.soak 300 SEED``.
    """
    result = await soak.soak(tmp_path, SECONDS, SEED)
    assert result.violations == [], result.faults
    assert len(result.faults) >= 3
    assert result.statuses[200] > 100
