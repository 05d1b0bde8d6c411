"""A node that watches this host, and its stream as the leader sees it."""

import asyncio
import dataclasses
import enum

from filbertglade import clock
from filbertglade.fleet import cold_bound
from filbertglade.fleet import shared_frames
from filbertglade.inner import fleet_pb2


class LeaveReason(enum.StrEnum):
    """Why a watcher's stream ended."""

    REPORT_TIMEOUT = 'report time-out'
    SEND_TIMEOUT = 'send time-out'
    ENDED_BY_WATCHER = 'stream ended by the watcher'
    # The watcher gave up, its connection broke, or this process is stopping.
    RESET = 'stream reset or connection lost'
    STREAM_ERROR = 'stream error'
    NO_LONGER_LEADER = 'no longer leader'
    INTERNAL_ERROR = 'internal error'


@dataclasses.dataclass(slots=True)
class ConnectedWatcher:
    """A node that watches this host.

    :param report: its latest report.
    :param attached_ms: local clock at its first report.
    :param changed_event: set when it must be sent a frame at once.
    :param sent: the versions that it was sent.
    :param frames: number of frames sent.
    :param sent_bytes: bytes of these frames.
    :param sending_bytes: bytes of the frame that is being sent; 0 if none is.
    :param trial_answers: answers to its trial requests that wait to be sent.
    :param allowances: what it may send to endpoints with limits, and hasn't
        been told.
    :param permits: its permits for cold endpoints that wait to be sent, with
        the local clock when they were given.
    :param remaining_work: work that its requests have left, in ms by load key.
    :param leave_reason: why its stream ended; None while it runs.
    :param leave_error: type and text of the exception that ended it; empty if
        there was none.
    """

    report: fleet_pb2.WatchReport
    attached_ms: int
    changed_event: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    sent: shared_frames.Versions = shared_frames.Versions()
    frames: int = 0
    sent_bytes: int = 0
    sending_bytes: int = 0
    trial_answers: list[fleet_pb2.TrialAnswer] = dataclasses.field(
        default_factory=list
    )
    allowances: list[fleet_pb2.Allowance] = dataclasses.field(
        default_factory=list
    )
    permits: list[tuple[int, fleet_pb2.Allowance]] = dataclasses.field(
        default_factory=list
    )
    remaining_work: dict[str, int] = dataclasses.field(default_factory=dict)
    leave_reason: LeaveReason | None = None
    leave_error: str = ''

    @property
    def takes_callers(self) -> bool:
        """Whether it is an entry host."""
        return self.report.takes_callers

    def note_leaving(
        self, reason: LeaveReason, error: BaseException | None = None
    ) -> None:
        """Note why the stream ends; the first reason counts.

        :param reason: the reason.
        :param error: the exception that ended it, if any.
        """
        if self.leave_reason is None:
            self.leave_reason = reason
            # As text: an exception refers to the frame that was being sent.
            if error is not None:
                self.leave_error = f'{type(error).__name__}: {error}'

    def stamp(self, message: fleet_pb2.FleetFrame) -> fleet_pb2.FleetFrame:
        """Add what tells a watcher over a hop how old a message is at most.

        :param message: the message, directly before it is sent.
        :returns: the message itself for other watchers.
        """
        if not self.report.HasField('sent_ms'):
            return message
        stamped = fleet_pb2.FleetFrame()
        stamped.CopyFrom(message)
        stamped.report_sent_ms = self.report.sent_ms
        return stamped

    def take_personal(
        self, shared: shared_frames.SharedFrame
    ) -> shared_frames.SharedFrame:
        """Add what only this watcher is told to a frame for several.

        :param shared: the frame for several watchers.
        :returns: the frame itself if there is nothing to add.
        """
        permits = self._take_permits(shared)
        if not self.trial_answers and not self.allowances and not permits:
            return shared
        frame = fleet_pb2.FleetFrame()
        frame.CopyFrom(shared.frame)
        frame.trial_answers.extend(self.trial_answers)
        self.trial_answers.clear()
        frame.allowances.extend(self.allowances)
        self.allowances.clear()
        frame.allowances.extend(permits)
        return shared_frames.prepare_frame(frame)

    def _take_permits(
        self, shared: shared_frames.SharedFrame
    ) -> list[fleet_pb2.Allowance]:
        """Take the permits that can be sent in time.

        Those that waited, or would be sent with a large frame, may arrive too
        late; nobody gets them.
        """
        now_ms = clock.now_ms()
        taken, self.permits = self.permits, []
        if len(shared.messages) > 1:
            return []
        return [
            permit
            for given_ms, permit in taken
            if now_ms - given_ms <= cold_bound.MAX_HELD_MS
        ]
