"""A short soak of real processes under randomized faults."""

from tests.platform import soak

SECONDS = 15
SEED = 1


async def test_faults_of_all_kinds_break_no_promise(tmp_path):
    """Longer ones: ``python -m tests.platform.soak 300 SEED``."""
    done = await soak.soak(tmp_path, SECONDS, SEED)
    assert done.wrong == [], done.faults
    assert len(done.faults) >= 3
    assert done.answers[200] > 100
