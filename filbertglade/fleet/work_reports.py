"""Remaining work in reports: changes only, bounded."""

from collections import abc
import math

from filbertglade.fleet import load_totals

# Most targets with work of one node that the leader keeps.
MAX_TARGETS = 512
# Highest work that is taken from a report, in ms: an hour.
MAX_WORK_MS = 3_600_000


class ReportedWork:
    """Remembers what the leader was told, to tell it changes only.

    A stream loses and reorders nothing, so it starts with everything and
    goes on with changes.
    """

    def __init__(self) -> None:
        self._told: dict[str, int] = {}

    def start_stream(self) -> None:
        """Let the next report tell everything."""
        self._told = {}

    def take_changes(self, current: dict[str, int]) -> dict[str, int]:
        """Return what to report, and note it as told.

        :param current: work by load key, in ms.
        :returns: the values that differ; 0 where no work is left.
        """
        changes = {
            key: amount_ms
            for key, amount_ms in current.items()
            if amount_ms != self._told.get(key, 0)
        }
        for key, told_ms in self._told.items():
            if told_ms and key not in current:
                changes[key] = 0
        self._told = current
        return changes


def apply_changes(
    totals: load_totals.LoadTotals,
    known: dict[str, int],
    changes: abc.Mapping[str, float],
) -> None:
    """Apply the changes that a node reports to the sums of all nodes.

    :param totals: the sums.
    :param known: the node's work by load key, which is updated.
    :param changes: the changes.
    """
    before = {key: known.get(key, 0) for key in changes}
    for key, amount_ms in changes.items():
        known.pop(key, None)
        if (
            math.isfinite(amount_ms)
            and amount_ms >= 1
            and len(known) < MAX_TARGETS
        ):
            known[key] = int(min(MAX_WORK_MS, amount_ms))
    after = {key: known.get(key, 0) for key in changes}
    totals.replace(before, after)
