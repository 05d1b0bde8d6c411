"""Detects stalled replicas by the silence of this node's streams."""

import asyncio
import typing

from filbertglade import clock
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.forwarding import faults
from filbertglade.forwarding import targets
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Silence of all streams of a replica after which it is reported as suspect, as
# a multiple of the route's gap objective. An engine that processes long
# prompts pauses for most of that objective. The report lets the leader check
# the group's members before any stream fails over.
SUSPECT_GAP_FACTOR = 1.2
# The same limit for routes without a gap objective, in ms.
DEFAULT_SUSPECT_MS = 400
# The minimum of this limit in mean gaps between events, for slow engines.
SUSPECT_MEAN_GAPS = 4
# Silence after which streams fail over without a verdict of the leader, in ms:
# twice the time that the leader needs for a check, and longer than the longest
# passes of a saturated engine.
FAILOVER_SILENCE_MS = 1300
# Weight of the newest gap in the moving average.
GAP_WEIGHT = 0.1
# Time between two checks of all replicas, in ms.
CHECK_INTERVAL_MS = 50
# Delay of a check beyond which it is skipped, in ms: this process itself was
# blocked, so the silence doesn't show that a replica has stalled.
MAX_CHECK_DELAY_MS = 150


class Stream(typing.Protocol):
    """A stream that can fail over when its replica stalls.

    :ivar suspect_limit_ms: silence after which its replica is suspect, in ms.
    """

    suspect_limit_ms: float

    def fail_over(self) -> None:
        """Fail over to another replica if the request may be retried."""


class _ReplicaProgress:
    """Progress of a replica's streams on this node.

    ``started`` holds the streams that have received an event, ``waiting``
    those that have not.
    """

    __slots__ = (
        'started',
        'mean_gap_ms',
        'last_ms',
        'suspected_ms',
        'target',
        'waiting',
    )

    def __init__(self, target: targets.Target) -> None:
        self.target = target
        self.started: set[Stream] = set()
        self.waiting: set[Stream] = set()
        self.last_ms = clock.now_ms()
        self.suspected_ms = 0
        self.mean_gap_ms = 0.0

    @property
    def limit_ms(self) -> float:
        allowed_ms = min(stream.suspect_limit_ms for stream in self.started)
        return max(allowed_ms, SUSPECT_MEAN_GAPS * self.mean_gap_ms)


class StallDetector:
    """Detects replicas that stall, and fails over their streams.

    :param fault_tracker: where stalled replicas are recorded.
    :param leader: the stream on which suspicions are reported.
    :param fleet_view: the node's view.
    """

    def __init__(
        self,
        fault_tracker: faults.FaultTracker,
        leader: watcher.Watcher,
        fleet_view: view.FleetView,
    ) -> None:
        self._view = fleet_view
        fleet_view.add_listener(self.fail_over_unusable)
        self._faults = fault_tracker
        self._leader = leader
        self._progress: dict[tuple[str, int], _ReplicaProgress] = {}

    def add_stream(self, target: targets.Target, stream: Stream) -> None:
        """Add a stream that waits for its first event.

        :param target: the replica that serves it.
        :param stream: the stream.
        """
        replica_key = (target.group, target.epoch)
        progress = self._progress.get(replica_key)
        if progress is None:
            progress = _ReplicaProgress(target)
            self._progress[replica_key] = progress
        progress.waiting.add(stream)

    def record_event(self, target: targets.Target, stream: Stream) -> None:
        """Record that a part of a stream has arrived.

        :param target: the replica that serves it.
        :param stream: the stream.
        """
        progress = self._progress.get((target.group, target.epoch))
        if progress is None:
            return
        self._leader.record_answer(target.group, target.epoch)
        now_ms = clock.now_ms()
        if progress.started:
            gap_ms = now_ms - progress.last_ms
            progress.mean_gap_ms += GAP_WEIGHT * (
                gap_ms - progress.mean_gap_ms
            )
        progress.last_ms = now_ms
        progress.waiting.discard(stream)
        progress.started.add(stream)

    def remove_stream(self, target: targets.Target, stream: Stream) -> None:
        """Remove a stream that has ended.

        :param target: the replica that served it.
        :param stream: the stream.
        """
        replica_key = (target.group, target.epoch)
        progress = self._progress.get(replica_key)
        if progress is None:
            return
        progress.waiting.discard(stream)
        progress.started.discard(stream)
        if not progress.waiting and not progress.started:
            del self._progress[replica_key]

    async def run(self) -> typing.NoReturn:
        """Check all replicas every :data:`CHECK_INTERVAL_MS`."""
        checked_ms = clock.now_ms()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            now_ms = clock.now_ms()
            delay_ms = now_ms - checked_ms - CHECK_INTERVAL_MS
            checked_ms = now_ms
            if delay_ms > MAX_CHECK_DELAY_MS:
                for progress in self._progress.values():
                    progress.last_ms = now_ms
                continue
            self._check(now_ms)

    def fail_over_unusable(self) -> None:
        """Fail over the streams of replicas that the leader calls unusable."""
        for replica_key, progress in list(self._progress.items()):
            replica = self._view.replicas.get(replica_key[0])
            if (
                replica is not None
                and replica.epoch == replica_key[1]
                and replica.usable
            ):
                continue
            for stream in [*progress.started, *progress.waiting]:
                stream.fail_over()

    def _check(self, now_ms: int) -> None:
        for progress in list(self._progress.values()):
            silent_ms = now_ms - progress.last_ms
            if not progress.started or silent_ms <= progress.limit_ms:
                continue
            if progress.suspected_ms < progress.last_ms:
                progress.suspected_ms = now_ms
                self._leader.report_suspicion(
                    progress.target.group,
                    progress.target.epoch,
                    f'no event for {silent_ms} ms',
                )
            if silent_ms > FAILOVER_SILENCE_MS:
                self._fail_over(progress, silent_ms)

    def _fail_over(self, progress: _ReplicaProgress, silent_ms: int) -> None:
        self._faults.record(progress.target, f'no event for {silent_ms} ms')
        progress.last_ms = clock.now_ms()
        for stream in [*progress.started, *progress.waiting]:
            stream.fail_over()
