"""Soft state of a control host: the newest reports of hosts and nodes."""

from collections import abc

from filbertglade.inner import membership_pb2
from filbertglade.membership import event_buffer
from filbertglade.membership import presence
from filbertglade.membership import send_trigger
from filbertglade.membership import strikes
from filbertglade.observability import logs

log = logs.get_log(__name__)

KEPT_LOSSES = 1000
KEPT_LOSS_MS = 5_000
KEPT_STRIKES = 1000
KEPT_CACHE_EVENTS = 2000
KEPT_CACHE_EVENT_MS = 5_000


class ReportedState:
    """Hosts, nodes and events that were reported to this control host.

    :param name: this control host's name.
    :ivar send_trigger: fires for a strike, which is passed on before the next
        regular frame.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self.send_trigger = send_trigger.SendTrigger()
        self.presence = presence.PresenceTable()
        self.losses: event_buffer.EventBuffer[membership_pb2.HostLoss] = (
            event_buffer.EventBuffer(KEPT_LOSSES, KEPT_LOSS_MS)
        )
        self.strikes: event_buffer.EventBuffer[membership_pb2.Strike] = (
            event_buffer.EventBuffer(KEPT_STRIKES, strikes.KEPT_MS)
        )
        self.cache_events: event_buffer.EventBuffer[
            membership_pb2.CacheEvent
        ] = event_buffer.EventBuffer(KEPT_CACHE_EVENTS, KEPT_CACHE_EVENT_MS)

    def take_node_frame(
        self, frame: membership_pb2.NodeFrame, age_ms: int
    ) -> None:
        """Record a frame from an attached node.

        :param frame: the node's frame.
        :param age_ms: upper bound of its age.
        """
        self.presence.note_node(frame.report, age_ms, self._name)
        self._record_announcements(frame.announcements, age_ms, self._name)
        self._record_events(frame, age_ms, self._name)

    def take_relay_frame(
        self, frame: membership_pb2.RelayFrame, age_ms: int
    ) -> None:
        """Record a frame that another control host relayed.

        :param frame: the peer's frame.
        :param age_ms: upper bound of its age.
        """
        for report in frame.reports:
            self.presence.note_node(report, age_ms, frame.sender)
        self._record_announcements(frame.announcements, age_ms, frame.sender)
        self._record_events(frame, age_ms, frame.sender)

    def _record_announcements(
        self,
        announcements: abc.Iterable[membership_pb2.Announcement],
        age_ms: int,
        origin: str,
    ) -> None:
        for announcement in announcements:
            is_known = announcement.host in self.presence.hosts
            taken = self.presence.note_host(announcement, age_ms, origin)
            if taken and not is_known:
                log.change(
                    'host.seen',
                    host=announcement.host,
                    fabric_domain=announcement.fabric_domain,
                    service=announcement.service,
                )

    def _record_events(
        self,
        frame: membership_pb2.NodeFrame | membership_pb2.RelayFrame,
        age_ms: int,
        origin: str,
    ) -> None:
        for loss in frame.losses:
            if loss.age_ms + age_ms <= KEPT_LOSS_MS:
                self._record_loss(loss, age_ms, origin)
        for strike in frame.strikes:
            self.strikes.add(strike, strike.age_ms + age_ms, origin)
            self.send_trigger.fire()
        for event in frame.cache_events:
            self.cache_events.add(event, age_ms, origin)

    def _record_loss(
        self, loss: membership_pb2.HostLoss, age_ms: int, origin: str
    ) -> None:
        self.losses.add(loss, loss.age_ms + age_ms, origin)
        if self.presence.note_loss(loss):
            log.change('host.lost', host=loss.host, reported_by=loss.node)
