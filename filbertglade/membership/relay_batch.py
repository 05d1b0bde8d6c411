"""Relay batches for one peer: what has changed since the last batch."""

import dataclasses

from filbertglade import clock
from filbertglade.inner import membership_pb2
from filbertglade.membership import presence
from filbertglade.membership import relay_peers
from filbertglade.membership import reported_state

EVENTS_PER_FRAME = 64
# Minimum time between two reports of a node whose state hasn't changed.
REPORT_INTERVAL_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class SentReport:
    """The report of a node that was last sent to a peer.

    :param run: the run of the node's process.
    :param number: the configuration in force on it.
    :param draining: whether it is shutting down.
    :param proven_ms: local clock less the report's proven age.
    :param sent_ms: local clock when it was sent.
    """

    run: str
    number: int
    draining: bool
    proven_ms: int
    sent_ms: int

    @classmethod
    def of(cls, seen: presence.SeenNode, now_ms: int) -> 'SentReport':
        """Return the entry for a report that is sent now.

        :param seen: the node.
        :param now_ms: local clock.
        """
        report = seen.report
        return cls(
            report.run,
            report.configuration_number,
            report.draining,
            seen.proven_ms,
            now_ms,
        )

    def is_due(self, last: 'SentReport | None') -> bool:
        """Return whether the report is to be sent to the peer.

        :param last: the last one that was sent; None for none.
        """
        if last is None or self._state() != last._state():
            return True
        age_ms = self.sent_ms - last.sent_ms
        return self.proven_ms != last.proven_ms and (
            age_ms >= REPORT_INTERVAL_MS
        )

    def _state(self) -> tuple[str, int, bool]:
        return (self.run, self.number, self.draining)


class RelayBatch:
    """Selects what has changed since the last batch for one peer.

    :param name: this control host.
    :param peer: the other control host.
    :param reported: what to relay.
    :param peers: knows which other reports the peer needs from here.
    """

    def __init__(
        self,
        name: str,
        peer: str,
        reported: reported_state.ReportedState,
        peers: relay_peers.RelayPeers,
    ) -> None:
        self._name = name
        self._peer = peer
        self._reported = reported
        self._peers = peers
        self._hosts: dict[str, int] = {}
        self._nodes: dict[str, SentReport] = {}
        self._strikes_read = 0
        self._losses_read = reported.losses.end
        self._cache_events_read = reported.cache_events.end

    def write(self, frame: membership_pb2.RelayFrame) -> None:
        """Write a batch.

        :param frame: the frame to fill.
        """
        self._write_presence(frame)
        self._write_events(frame)

    def _is_relayed(self, origin: str) -> bool:
        return origin == self._name or self._peers.needs_reports(
            self._peer, origin
        )

    def _write_presence(self, frame: membership_pb2.RelayFrame) -> None:
        now_ms = clock.now_ms()
        table = self._reported.presence
        for name in self._select_hosts():
            host = table.hosts[name]
            frame.announcements.append(host.announcement)
            frame.announcements[-1].age_ms = now_ms - host.proven_ms
        for name in self._select_nodes(now_ms):
            node = table.nodes[name]
            frame.reports.append(node.report)
            frame.reports[-1].age_ms = now_ms - node.proven_ms

    def _select_hosts(self) -> list[str]:
        """Return the hosts with new announcements, and mark them as sent."""
        table = self._reported.presence.hosts
        sent = self._hosts
        selected = []
        for name, seen in table.items():
            if sent.get(name) != seen.proven_ms and self._is_relayed(
                seen.origin
            ):
                sent[name] = seen.proven_ms
                selected.append(name)
        for name in [name for name in sent if name not in table]:
            del sent[name]
        return selected

    def _select_nodes(self, now_ms: int) -> list[str]:
        """Return the nodes whose reports are due, and mark them as sent."""
        table = self._reported.presence.nodes
        sent = self._nodes
        selected = []
        for name, seen in table.items():
            report = SentReport.of(seen, now_ms)
            if self._is_relayed(seen.origin) and report.is_due(sent.get(name)):
                sent[name] = report
                selected.append(name)
        for name in [name for name in sent if name not in table]:
            del sent[name]
        return selected

    def _write_events(self, frame: membership_pb2.RelayFrame) -> None:
        reported = self._reported
        for strike in reported.strikes.read_after(
            self._strikes_read, EVENTS_PER_FRAME
        ):
            self._strikes_read = strike.position
            if self._is_relayed(strike.origin):
                frame.strikes.append(strike.message)
                frame.strikes[-1].age_ms = strike.age_ms
        for loss in reported.losses.read_after(
            self._losses_read, EVENTS_PER_FRAME
        ):
            self._losses_read = loss.position
            if self._is_relayed(loss.origin):
                frame.losses.append(loss.message)
                frame.losses[-1].age_ms = loss.age_ms
        for event in reported.cache_events.read_after(
            self._cache_events_read, EVENTS_PER_FRAME
        ):
            self._cache_events_read = event.position
            if self._is_relayed(event.origin):
                frame.cache_events.append(event.message)
