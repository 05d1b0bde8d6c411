"""Presence, absence and availability of hosts, for the group controller."""

import collections
import statistics

from filbertglade import clock
from filbertglade.control import state
from filbertglade.inner import commands_pb2
from filbertglade.membership import presence
from filbertglade.settings import model

# For how long a host whose connection failed may announce again before it
# counts as lost.
LOSS_GRACE_MS = 2000
# Grace, in presence limits, for hosts whose announcements came through a
# control host that is itself silent: their nodes attach to another one.
QUIET_ORIGIN_GRACE_LIMITS = 4
MAX_ABSENCES = 200
# Fewest longer absences from which a return time is estimated.
MIN_ABSENCES = 5


class AbsenceHistory:
    """Past and ongoing absences, to estimate when a host returns."""

    def __init__(self) -> None:
        self._ended_ms: collections.deque[int] = collections.deque(
            maxlen=MAX_ABSENCES
        )
        self._ongoing_ms: dict[str, int] = {}

    def note_absent(self, host: str, absent_ms: int) -> None:
        """Record that a host is still absent.

        :param host: its name.
        :param absent_ms: its absence so far.
        """
        self._ongoing_ms[host] = absent_ms

    def note_returned(self, host: str) -> None:
        """Record that a host is present.

        :param host: its name.
        """
        absent_ms = self._ongoing_ms.pop(host, None)
        if absent_ms is not None:
            self._ended_ms.append(absent_ms)

    def estimate_remaining_ms(self, absent_ms: int) -> float | None:
        """Estimate the remaining absence of a host, in milliseconds.

        :param absent_ms: its absence so far.
        :returns: the median over longer absences, less ``absent_ms``; None if
            there are too few, or if more longer absences are ongoing than
            have ended.
        """
        longer_ms = [
            ended_ms for ended_ms in self._ended_ms if ended_ms > absent_ms
        ]
        ongoing_count = sum(
            1
            for so_far_ms in self._ongoing_ms.values()
            if so_far_ms > absent_ms
        )
        if len(longer_ms) < MIN_ABSENCES or ongoing_count > len(longer_ms):
            return None
        return statistics.median(longer_ms) - absent_ms


class HostMonitor:
    """Tracks the presence of hosts for the group controller.

    :param settings: the node's settings.
    :param agreed: the state applied from the replicated log.
    :param presence_table: the latest announcement of each host.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        presence_table: presence.PresenceTable,
    ) -> None:
        timings = settings.timings
        self._presence_limit_ms = timings.presence_limit_ms
        self._quiesce_ms = (
            timings.presence_limit_ms + timings.presence_margin_ms
        )
        self._agreed = agreed
        self._presence = presence_table
        self._present: frozenset[str] = frozenset()
        self._by_domain: dict[str, list[str]] = {}
        self._last_present_ms: dict[str, int] = {}
        self._first_refresh_ms: int | None = None
        self.absences = AbsenceHistory()

    def refresh(self) -> None:
        """Update the set of present hosts; called in every pass."""
        now_ms = clock.now_ms()
        if self._first_refresh_ms is None:
            self._first_refresh_ms = now_ms
        self._present = frozenset(
            name
            for name in self._presence.hosts
            if self._presence.is_present(name, self._presence_limit_ms)
        )
        self._sort_by_domain()
        for name in self._present:
            self._last_present_ms[name] = now_ms
            self.absences.note_returned(name)
        for name in list(self._last_present_ms):
            if self.is_lost(name):
                self.absences.note_absent(name, self.absent_ms(name))
            if name not in self._presence.hosts and not self.is_member(name):
                del self._last_present_ms[name]

    def _sort_by_domain(self) -> None:
        self._by_domain = {}
        for name in sorted(self._present):
            announcement = self._presence.hosts[name].announcement
            if not announcement.service:
                names = self._by_domain.setdefault(
                    announcement.fabric_domain, []
                )
                names.append(name)

    def find(self, host: str) -> presence.SeenHost | None:
        """Return a host's latest announcement, regardless of its age.

        :param host: its name.
        """
        return self._presence.hosts.get(host)

    def list_names(self) -> list[str]:
        """Return the names of all present hosts of model engines."""
        return [name for names in self._by_domain.values() for name in names]

    def is_member(self, host: str) -> bool:
        """Tell whether a host belongs to a group.

        :param host: its name.
        """
        return host in self._agreed.groups.group_of_host

    def is_present(self, host: str) -> bool:
        """Tell whether a host is present.

        :param host: its name.
        """
        return host in self._present

    def absent_ms(self, host: str) -> int:
        """Return for how long a host has been absent, in milliseconds.

        :param host: its name.
        """
        since_ms = self._last_present_ms.get(host, self._first_refresh_ms)
        return 0 if since_ms is None else clock.now_ms() - since_ms

    def is_lost(self, host: str) -> bool:
        """Tell whether a host counts as lost to its group.

        :param host: its name.
        """
        seen = self._presence.hosts.get(host)
        if seen is not None and seen.announcement.leaving:
            return True
        if self.is_present(host):
            return False
        grace_ms = LOSS_GRACE_MS
        if host not in self._last_present_ms:
            # This process has never seen the host; it may just have started.
            grace_ms = self._quiesce_ms + self._presence_limit_ms
        if (
            seen is not None
            and seen.origin in self._presence.silent_control_hosts
        ):
            grace_ms = QUIET_ORIGIN_GRACE_LIMITS * self._presence_limit_ms
        return self.absent_ms(host) > grace_ms

    def is_quiesced(self, host: str) -> bool:
        """Tell whether no node can still regard a host as serving.

        This is so once the host has been idle for the presence limit and its
        margin.

        :param host: its name.
        """
        seen = self._presence.hosts.get(host)
        if seen is None or seen.idle_since_ms is None:
            return False
        return clock.now_ms() - seen.idle_since_ms >= self._quiesce_ms

    def holds(self, host: str, weights: str) -> bool:
        """Tell whether a host holds a model's weights.

        :param host: its name.
        :param weights: model, adapter and version, joined by slashes.
        """
        seen = self._presence.hosts.get(host)
        return seen is not None and seen.announcement.holds == weights

    def serves_as_ordered(
        self, host: str, record: commands_pb2.GroupRecord
    ) -> bool:
        """Tell whether a host serves in its group at the committed epoch.

        :param host: its name.
        :param record: its group.
        """
        seen = self._presence.hosts.get(host)
        return (
            seen is not None
            and self.is_present(host)
            and seen.serves(record.group, record.epoch)
        )

    def is_complete(self, record: commands_pb2.GroupRecord) -> bool:
        """Tell whether every host of a group serves.

        :param record: the group.
        """
        return all(
            self.serves_as_ordered(host, record) for host in record.hosts
        )

    def list_lost(self, record: commands_pb2.GroupRecord) -> list[str]:
        """Return the lost hosts of a group.

        :param record: the group.
        """
        return [host for host in record.hosts if self.is_lost(host)]

    def is_evacuated(self, host: str) -> bool:
        """Tell whether a host is in an evacuated data centre.

        :param host: its name.
        :returns: whether it is; False for a host that is not known.
        """
        seen = self._presence.hosts.get(host)
        evacuated = self._agreed.evacuations.names
        return seen is not None and seen.announcement.data_centre in evacuated

    def has_evacuated(self, record: commands_pb2.GroupRecord) -> bool:
        """Tell whether a host of a group is in an evacuated data centre.

        :param record: the group.
        """
        return any(map(self.is_evacuated, record.hosts))

    def _list_unassigned(self, domain: str) -> list[str]:
        """Return a domain's hosts that are neither in a group nor leaving."""
        return [
            name
            for name in self._by_domain.get(domain, ())
            if name in self._presence.hosts
            and not self._presence.hosts[name].announcement.leaving
            and not self.is_member(name)
        ]

    def count_unassigned(self, domain: str) -> int:
        """Count the hosts that belong to no group, quiesced or not.

        :param domain: the fabric domain.
        """
        return len(self._list_unassigned(domain))

    def has_quiescing(self, domain: str) -> bool:
        """Tell whether a host that belongs to no group has yet to quiesce.

        :param domain: the fabric domain.
        """
        return any(
            not self._is_free(name) for name in self._list_unassigned(domain)
        )

    def list_free(self, domain: str) -> list[str]:
        """Return the hosts of a fabric domain that can join a group now.

        :param domain: the fabric domain.
        """
        return [
            name
            for name in self._list_unassigned(domain)
            if self._is_free(name)
        ]

    def _is_free(self, host: str) -> bool:
        group = self._presence.hosts[host].announcement.group
        return not group and self.is_quiesced(host)
