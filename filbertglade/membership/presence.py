"""What a process knows of hosts and nodes, each with its proven age."""

import dataclasses

from filbertglade import clock
from filbertglade.inner import membership_pb2

FORGET_MS = 60_000


@dataclasses.dataclass(slots=True)
class SeenHost:
    """A host's newest announcement.

    :param announcement: what it said.
    :param proven_ms: local clock at which it was certainly not yet older
        than its age.
    :param lost: whether a connection to this run of it failed since.
    """

    announcement: membership_pb2.Announcement
    proven_ms: int
    lost: bool = False


@dataclasses.dataclass(slots=True)
class SeenNode:
    """A node's newest report.

    :param report: what it said.
    :param proven_ms: local clock less its proven age.
    """

    report: membership_pb2.NodeReport
    proven_ms: int


class PresenceTable:
    """Newest announcements and reports; older ones never replace newer."""

    def __init__(self) -> None:
        self.hosts: dict[str, SeenHost] = {}
        self.nodes: dict[str, SeenNode] = {}
        self.changes = 0

    def note_host(
        self, announcement: membership_pb2.Announcement, hop_age_ms: int
    ) -> bool:
        """Take an announcement in.

        :param announcement: what arrived; its age is that at sending.
        :param hop_age_ms: upper bound of the time since it was sent.
        :returns: whether it was newer than what was known.
        """
        proven_ms = clock.now_ms() - announcement.age_ms - hop_age_ms
        known = self.hosts.get(announcement.host)
        if known is not None and not _replaces(announcement, proven_ms, known):
            return False
        lost = (
            known is not None
            and known.lost
            and known.announcement.run == announcement.run
            and known.announcement.sequence >= announcement.sequence
        )
        self.hosts[announcement.host] = SeenHost(announcement, proven_ms, lost)
        self.changes += 1
        return True

    def note_node(
        self, report: membership_pb2.NodeReport, hop_age_ms: int
    ) -> bool:
        """Take a node's report in.

        :param report: what arrived; its age is that at sending.
        :param hop_age_ms: upper bound of the time since it was sent.
        :returns: whether it was newer than what was known.
        """
        proven_ms = clock.now_ms() - report.age_ms - hop_age_ms
        known = self.nodes.get(report.node)
        if known is not None:
            same_run = known.report.run == report.run
            if same_run and known.report.sequence >= report.sequence:
                return False
            if not same_run and known.proven_ms >= proven_ms:
                return False
        self.nodes[report.node] = SeenNode(report, proven_ms)
        return True

    def note_loss(self, loss: membership_pb2.HostLoss) -> None:
        """Mark a run of a host as lost until it announces itself again.

        :param loss: which host and run.
        """
        known = self.hosts.get(loss.host)
        if known is not None and known.announcement.run == loss.run:
            known.lost = True
            self.changes += 1

    def is_present(self, host: str, limit_ms: int) -> bool:
        """Tell whether a host is proven to be there.

        :param host: its name.
        :param limit_ms: oldest proven age that counts.
        """
        seen = self.hosts.get(host)
        if seen is None or seen.lost:
            return False
        return clock.now_ms() - seen.proven_ms <= limit_ms

    def forget_old(self) -> None:
        """Drop what has not been heard of for long."""
        oldest_ms = clock.now_ms() - FORGET_MS
        for hosts in (self.hosts, self.nodes):
            gone = [
                name
                for name, seen in hosts.items()
                if seen.proven_ms < oldest_ms
            ]
            for name in gone:
                del hosts[name]


def _replaces(
    announcement: membership_pb2.Announcement, proven_ms: int, known: SeenHost
) -> bool:
    if known.announcement.run == announcement.run:
        return announcement.sequence > known.announcement.sequence
    return proven_ms > known.proven_ms
