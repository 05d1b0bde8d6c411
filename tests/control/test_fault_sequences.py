"""A few sequences of overlapping faults, and those that once broke a rule."""

import pytest

from tests.control import fault_sequences

SEEDS = range(4)
# Seeds that failed, by their cause.
KEPT = {
    24: 'a voter that was removed while it was cut off never asked to join',
    79: 'the same',
    2083: 'two hosts of the test that started together got one port',
}


# Guards against combinations of cuts, replacements, lost, full and hanging
# disks, losses of power and clock steps that lose or duplicate what was
# acknowledged, or leave the survivors of two lost disks without a leader.
@pytest.mark.parametrize('seed', [*SEEDS, *KEPT])
def test_overlapping_faults_lose_nothing(seed):
    sequence = fault_sequences.play(seed)
    assert not sequence.failures, '\n'.join(sequence.story)
