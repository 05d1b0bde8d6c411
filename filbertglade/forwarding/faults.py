"""Remembers targets at which this node has seen faults."""

from filbertglade import clock
from filbertglade.forwarding import targets
from filbertglade.observability import logs

log = logs.get_log(__name__)

# How long a faulty target is excluded, in ms, unless its group is formed anew
# before. The loss of a member is detected and repaired within this time.
FAULT_EXCLUSION_MS = 2500


class FaultTracker:
    """Remembers targets at which this node has seen faults."""

    def __init__(self) -> None:
        self._faults_ms: dict[tuple[str, int], int] = {}

    def record(self, target: targets.Target, reason: str) -> None:
        """Exclude a target for :data:`FAULT_EXCLUSION_MS`.

        :param target: the target.
        :param reason: what went wrong, for the log.
        """
        fault_key = (target.load_key, target.epoch)
        if fault_key not in self._faults_ms:
            log.change(
                'target.at_fault',
                target=target.load_key,
                epoch=target.epoch,
                endpoint=target.key,
                reason=reason,
            )
        self._faults_ms[fault_key] = clock.now_ms()

    def clear(self, target: targets.Target) -> None:
        """Stop excluding a target that has responded.

        :param target: the target.
        """
        self._faults_ms.pop((target.load_key, target.epoch), None)

    def is_excluded(self, target: targets.Target) -> bool:
        """Return whether a target is excluded now.

        :param target: the target.
        """
        at_ms = self._faults_ms.get((target.load_key, target.epoch))
        return (
            at_ms is not None and clock.now_ms() - at_ms < FAULT_EXCLUSION_MS
        )
