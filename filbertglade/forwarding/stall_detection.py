"""Notices replicas that stand still, by the streams of this node."""

import asyncio
import typing

from filbertglade import clock
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.forwarding import choice
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Silence of all streams of a replica that makes it suspect, as a part of the
# longest pause with which a stream is on time. An engine that reads long
# prompts pauses for most of it, so that the leader looks at the members
# before any stream leaves.
SUSPECT_SHARE = 1.2
# The same where a route names no such pause, in ms.
SUSPECT_MS = 400
# The same in mean pauses between events, for slow engines.
SUSPECT_GAPS = 4
# Silence after which streams leave without a word of the leader, in ms: twice
# what the leader needs for a look, and a crowded engine's longest passes.
LEAVE_MS = 1300
# Weight of the newest pause in the mean.
GAP_WEIGHT = 0.1
# Pause between two looks, in ms. One that comes much later shows that this
# process was held up, and so can't judge others.
LOOK_MS = 50
HELD_UP_MS = 150


class Stream(typing.Protocol):
    """A stream that is told when its replica stands still.

    :ivar suspect_limit_ms: silence that makes its replica suspect.
    """

    suspect_limit_ms: float

    def stall(self) -> None:
        """Leave the replica, if that is allowed."""


class _Progress:
    """What a replica's streams on this node have shown."""

    __slots__ = (
        'begun',
        'gap_ms',
        'last_ms',
        'suspected_ms',
        'target',
        'waiting',
    )

    def __init__(self, target: choice.Target) -> None:
        self.target = target
        self.begun: set[Stream] = set()
        self.waiting: set[Stream] = set()
        self.last_ms = clock.now_ms()
        self.suspected_ms = 0
        self.gap_ms = 0.0

    @property
    def limit_ms(self) -> float:
        allowed_ms = min(stream.suspect_limit_ms for stream in self.begun)
        return max(allowed_ms, SUSPECT_GAPS * self.gap_ms)


class StallDetector:
    """Watches the progress of replicas.

    :param faults: where replicas that stand still are noted.
    :param leader: who is told.
    :param seen: the node's view.
    """

    def __init__(
        self,
        faults: choice.FaultTracker,
        leader: watcher.Watcher,
        seen: view.FleetView,
    ) -> None:
        self._view = seen
        seen.add_listener(self.leave_unusable)
        self._faults = faults
        self._leader = leader
        self._progress: dict[tuple[str, int], _Progress] = {}

    def begin(self, target: choice.Target, stream: Stream) -> None:
        """Note a stream that waits for its first event.

        :param target: where it was sent to.
        :param stream: the stream.
        """
        place = (target.group, target.epoch)
        progress = self._progress.get(place)
        if progress is None:
            progress = _Progress(target)
            self._progress[place] = progress
        progress.waiting.add(stream)

    def note_event(self, target: choice.Target, stream: Stream) -> None:
        """Note that something of a stream has arrived.

        :param target: where it comes from.
        :param stream: the stream.
        """
        progress = self._progress.get((target.group, target.epoch))
        if progress is None:
            return
        now_ms = clock.now_ms()
        if progress.begun:
            gap_ms = now_ms - progress.last_ms
            progress.gap_ms += GAP_WEIGHT * (gap_ms - progress.gap_ms)
        progress.last_ms = now_ms
        progress.waiting.discard(stream)
        progress.begun.add(stream)

    def end(self, target: choice.Target, stream: Stream) -> None:
        """Note that a stream is over.

        :param target: where it was sent to.
        :param stream: the stream.
        """
        place = (target.group, target.epoch)
        progress = self._progress.get(place)
        if progress is None:
            return
        progress.waiting.discard(stream)
        progress.begun.discard(stream)
        if not progress.waiting and not progress.begun:
            del self._progress[place]

    async def run(self) -> typing.NoReturn:
        """Look at all replicas again and again."""
        looked_ms = clock.now_ms()
        while True:
            await asyncio.sleep(LOOK_MS / 1000)
            now_ms = clock.now_ms()
            held_up_ms = now_ms - looked_ms - LOOK_MS
            looked_ms = now_ms
            if held_up_ms > HELD_UP_MS:
                for progress in self._progress.values():
                    progress.last_ms = now_ms
                continue
            self._look(now_ms)

    def leave_unusable(self) -> None:
        """Leave replicas that the leader finds unusable."""
        for place, progress in list(self._progress.items()):
            replica = self._view.replicas.get(place[0])
            if (
                replica is not None
                and replica.epoch == place[1]
                and replica.usable
            ):
                continue
            for stream in [*progress.begun, *progress.waiting]:
                stream.stall()

    def _look(self, now_ms: int) -> None:
        for progress in list(self._progress.values()):
            silent_ms = now_ms - progress.last_ms
            if not progress.begun or silent_ms <= progress.limit_ms:
                continue
            if progress.suspected_ms < progress.last_ms:
                progress.suspected_ms = now_ms
                self._leader.report_suspicion(
                    progress.target.group,
                    progress.target.epoch,
                    f'no event for {silent_ms} ms',
                )
            if silent_ms > LEAVE_MS:
                self._leave(progress, silent_ms)

    def _leave(self, progress: _Progress, silent_ms: int) -> None:
        self._faults.note(progress.target, f'no event for {silent_ms} ms')
        progress.last_ms = clock.now_ms()
        for stream in [*progress.begun, *progress.waiting]:
            stream.stall()
