"""What a process knows of hosts and nodes, each with its proven age."""

from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade.inner import membership_pb2

FORGET_MS = 60_000


@dataclasses.dataclass(slots=True)
class SeenHost:
    """A host's newest announcement.

    :param announcement: what it said.
    :param proven_ms: local clock before which it certainly didn't say it.
    :param origin: the control host that one of whose nodes heard it.
    :param lost_ms: local clock at which a failed connection to this run of
        it was learnt of; None if none was.
    :param idle_since_ms: local clock since which every announcement that
        arrived said that it serves no group and runs no request; None if
        the newest one doesn't say so.
    :param served_epoch: the last epoch at which this run of it served.
    """

    announcement: membership_pb2.Announcement
    proven_ms: int
    origin: str = ''
    lost_ms: int | None = None
    idle_since_ms: int | None = None
    served_epoch: int = 0

    @property
    def is_loading(self) -> bool:
        """Whether it loads the model of a group that it has yet to serve."""
        announcement = self.announcement
        has_served = announcement.epoch == self.served_epoch
        return (
            bool(announcement.group)
            and not announcement.ready
            and not has_served
        )

    @property
    def is_lost(self) -> bool:
        """Whether a connection failed and it proved itself never since."""
        return self.lost_ms is not None and self.proven_ms <= self.lost_ms

    def is_proven(self, limit_ms: int) -> bool:
        """Tell whether it is certainly there.

        :param limit_ms: oldest proven age that counts.
        """
        age_ms = clock.now_ms() - self.proven_ms
        return age_ms <= limit_ms and not self.is_lost

    def serves(self, group: str, epoch: int) -> bool:
        """Tell whether it says that it serves in a group.

        :param group: the group.
        :param epoch: the group's epoch.
        """
        announcement = self.announcement
        return (
            announcement.group == group
            and announcement.epoch == epoch
            and announcement.ready
            and not announcement.leaving
        )


@dataclasses.dataclass(slots=True)
class SeenNode:
    """A node's newest report.

    :param report: what it said.
    :param proven_ms: local clock less its proven age.
    :param origin: the control host it is attached to.
    """

    report: membership_pb2.NodeReport
    proven_ms: int
    origin: str = ''


class PresenceTable:
    """Newest announcements and reports; older ones never replace newer.

    :ivar silent_control_hosts: control hosts that are not heard, so that what
        their nodes say may be on its way by another control host.
    """

    def __init__(self) -> None:
        self.silent_control_hosts: frozenset[str] = frozenset()
        self.hosts: dict[str, SeenHost] = {}
        self.nodes: dict[str, SeenNode] = {}

    def note_host(
        self,
        announcement: membership_pb2.Announcement,
        transit_ms: int,
        origin: str = '',
    ) -> bool:
        """Take an announcement in.

        :param announcement: what arrived; its age is that at sending.
        :param transit_ms: upper bound of the time since it was sent.
        :param origin: the control host one of whose nodes heard it.
        :returns: whether it was newer than what was known.
        """
        proven_ms = clock.now_ms() - announcement.age_ms - transit_ms
        seen = SeenHost(announcement, proven_ms, origin)
        known = self.hosts.get(announcement.host)
        if known is not None:
            if not _replaces(seen, known):
                return False
            if known.announcement.run == announcement.run:
                seen.lost_ms = known.lost_ms
                seen.served_epoch = known.served_epoch
        if announcement.group and announcement.ready:
            seen.served_epoch = announcement.epoch
        seen.idle_since_ms = _find_idle_since(announcement, known)
        self.hosts[announcement.host] = seen
        return True

    def note_node(
        self,
        report: membership_pb2.NodeReport,
        transit_ms: int,
        origin: str = '',
    ) -> bool:
        """Take a node's report in.

        :param report: what arrived; its age is that at sending.
        :param transit_ms: upper bound of the time since it was sent.
        :param origin: the control host it is attached to.
        :returns: whether it was newer than what was known.
        """
        proven_ms = clock.now_ms() - report.age_ms - transit_ms
        known = self.nodes.get(report.node)
        if known is not None:
            same_run = known.report.run == report.run
            if same_run and known.report.sequence >= report.sequence:
                return False
            if not same_run and known.proven_ms >= proven_ms:
                return False
        self.nodes[report.node] = SeenNode(report, proven_ms, origin)
        return True

    def note_loss(self, loss: membership_pb2.HostLoss) -> bool:
        """Mark a run of a host as lost until it proves itself again.

        :param loss: which host and run.
        :returns: whether that run is known here.
        """
        known = self.hosts.get(loss.host)
        if known is None or known.announcement.run != loss.run:
            return False
        known.lost_ms = clock.now_ms()
        return True

    def is_present(self, host: str, limit_ms: int) -> bool:
        """Tell whether a host is proven to be there.

        :param host: its name.
        :param limit_ms: oldest proven age that counts.
        """
        seen = self.hosts.get(host)
        return seen is not None and seen.is_proven(limit_ms)

    def list_nodes(self, limit_ms: int) -> list[SeenNode]:
        """Return the nodes that are proven to be there.

        :param limit_ms: oldest proven age that counts.
        """
        oldest_ms = clock.now_ms() - limit_ms
        return [
            seen for seen in self.nodes.values() if seen.proven_ms >= oldest_ms
        ]

    def forget_old(self) -> list[str]:
        """Drop what has not been heard of for long.

        :returns: the hosts dropped.
        """
        gone = _list_old(self.hosts)
        for name in gone:
            del self.hosts[name]
        for name in _list_old(self.nodes):
            del self.nodes[name]
        return gone


def _list_old(table: abc.Mapping[str, SeenHost | SeenNode]) -> list[str]:
    oldest_ms = clock.now_ms() - FORGET_MS
    return [name for name, seen in table.items() if seen.proven_ms < oldest_ms]


def _replaces(seen: SeenHost, known: SeenHost) -> bool:
    announcement, before = seen.announcement, known.announcement
    if before.run == announcement.run:
        return announcement.sequence > before.sequence
    return seen.proven_ms > known.proven_ms


def _find_idle_since(
    announcement: membership_pb2.Announcement, known: SeenHost | None
) -> int | None:
    load = announcement.load
    is_serving = bool(announcement.group) and announcement.ready
    if is_serving or load.active or load.queued:
        return None
    if known is not None and known.idle_since_ms is not None:
        return known.idle_since_ms
    return clock.now_ms()
