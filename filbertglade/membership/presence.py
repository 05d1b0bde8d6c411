"""The newest announcement of each host and report of each node.

Each has a proven age: an upper bound of its age that needs no synchronised
clocks. ``proven_ms`` is the local clock less that age, thus the earliest time
at which it can have been made.
"""

from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade.inner import membership_pb2

FORGET_MS = 60_000


@dataclasses.dataclass(slots=True)
class SeenHost:
    """A host's newest announcement.

    :param announcement: the announcement.
    :param proven_ms: local clock less its proven age.
    :param origin: the control host to which the node that received the
        announcement is attached.
    :param lost_ms: local clock when a failed connection to this run of the
        host was reported; None if none was.
    :param idle_since_ms: local clock since which every announcement has
        shown the host idle, with no group served and no request running or
        queued; None if the newest one doesn't.
    :param served_epoch: the last epoch in which this run of the host served.
    """

    announcement: membership_pb2.Announcement
    proven_ms: int
    origin: str = ''
    lost_ms: int | None = None
    idle_since_ms: int | None = None
    served_epoch: int = 0

    @property
    def is_loading(self) -> bool:
        """Whether it is loading a group's model and has not served it yet."""
        announcement = self.announcement
        has_served = announcement.epoch == self.served_epoch
        return (
            bool(announcement.group)
            and not announcement.ready
            and not has_served
        )

    @property
    def is_lost(self) -> bool:
        """Whether a connection failed and it is not proven alive since."""
        return self.lost_ms is not None and self.proven_ms <= self.lost_ms

    def is_proven(self, limit_ms: int) -> bool:
        """Return whether the host is proven to be present.

        :param limit_ms: maximum proven age.
        """
        age_ms = clock.now_ms() - self.proven_ms
        return age_ms <= limit_ms and not self.is_lost

    def serves(self, group: str, epoch: int) -> bool:
        """Return whether it announces that it serves in a group.

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

    :param report: the report.
    :param proven_ms: local clock less its proven age.
    :param origin: the control host it is attached to.
    """

    report: membership_pb2.NodeReport
    proven_ms: int
    origin: str = ''


class PresenceTable:
    """Newest announcements and reports; older ones never replace newer.

    :ivar silent_control_hosts: control hosts from which nothing arrives, so
        that reports of their nodes may be on the way through another one.
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
        """Record an announcement.

        :param announcement: the announcement, with its age when it was sent.
        :param transit_ms: upper bound of the time since it was sent.
        :param origin: the control host to which the node that received the
            announcement is attached.
        :returns: whether it was newer than the known one.
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
        """Record a node's report.

        :param report: the report, with its age when it was sent.
        :param transit_ms: upper bound of the time since it was sent.
        :param origin: the control host it is attached to.
        :returns: whether it was newer than the known one.
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
        """Mark a run of a host as lost until it is proven alive again.

        :param loss: which host and run.
        :returns: whether that run is the known one.
        """
        known = self.hosts.get(loss.host)
        if known is None or known.announcement.run != loss.run:
            return False
        known.lost_ms = clock.now_ms()
        return True

    def is_present(self, host: str, limit_ms: int) -> bool:
        """Return whether a host is proven to be present.

        :param host: its name.
        :param limit_ms: maximum proven age.
        """
        seen = self.hosts.get(host)
        return seen is not None and seen.is_proven(limit_ms)

    def list_nodes(self, limit_ms: int) -> list[SeenNode]:
        """Return the nodes that are proven to be present.

        :param limit_ms: maximum proven age.
        """
        oldest_ms = clock.now_ms() - limit_ms
        return [
            seen for seen in self.nodes.values() if seen.proven_ms >= oldest_ms
        ]

    def forget_old(self) -> list[str]:
        """Drop hosts and nodes whose proven age exceeds ``FORGET_MS``.

        :returns: the dropped hosts.
        """
        dropped = _list_old(self.hosts)
        for name in dropped:
            del self.hosts[name]
        for name in _list_old(self.nodes):
            del self.nodes[name]
        return dropped


def _list_old(table: abc.Mapping[str, SeenHost | SeenNode]) -> list[str]:
    oldest_ms = clock.now_ms() - FORGET_MS
    return [name for name, seen in table.items() if seen.proven_ms < oldest_ms]


def _replaces(seen: SeenHost, known: SeenHost) -> bool:
    new, old = seen.announcement, known.announcement
    if old.run == new.run:
        return new.sequence > old.sequence
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
