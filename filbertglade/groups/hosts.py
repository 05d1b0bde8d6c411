"""What the group controller needs to know of hosts, from their presence."""

import collections
import statistics

from filbertglade import clock
from filbertglade.control import state
from filbertglade.inner import commands_pb2
from filbertglade.membership import presence
from filbertglade.settings import model

# For how long a host whose connection failed may yet prove itself before it
# counts as gone.
LOSS_GRACE_MS = 2000
# Presence limits for which hosts are waited for that were heard through a
# control host that is not heard: their nodes attach to another one.
QUIET_ORIGIN_LIMITS = 4
KEPT_ABSENCES = 200
# Absences needed to judge by.
NEEDED_ABSENCES = 5


class AbsenceRecord:
    """How long hosts were away, to tell how soon one may be back."""

    def __init__(self) -> None:
        self._returned_ms: collections.deque[int] = collections.deque(
            maxlen=KEPT_ABSENCES
        )
        self._gone_ms: dict[str, int] = {}

    def note_absent(self, host: str, absent_ms: int) -> None:
        """Note that a host is still away.

        :param host: its name.
        :param absent_ms: for how long it has been.
        """
        self._gone_ms[host] = absent_ms

    def note_returned(self, host: str) -> None:
        """Note that a host is there.

        :param host: its name.
        """
        absent_ms = self._gone_ms.pop(host, None)
        if absent_ms is not None:
            self._returned_ms.append(absent_ms)

    def expect_return_ms(self, absent_ms: int) -> float | None:
        """Return for how much longer a host is likely to be away.

        :param absent_ms: for how long it has been.
        :returns: the median; None if too little is known, or if more than
            half are not back yet.
        """
        longer_ms = [taken for taken in self._returned_ms if taken > absent_ms]
        open_count = sum(
            1 for taken in self._gone_ms.values() if taken > absent_ms
        )
        if len(longer_ms) < NEEDED_ABSENCES or open_count > len(longer_ms):
            return None
        return statistics.median(longer_ms) - absent_ms


class HostWatch:
    """Watches hosts on behalf of the group controller.

    :param settings: the node's settings.
    :param agreed: the agreed state.
    :param seen: what is known of hosts.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        seen: presence.PresenceTable,
    ) -> None:
        timings = settings.timings
        self._limit_ms = timings.presence_limit_ms
        self._rest_ms = timings.presence_limit_ms + timings.presence_margin_ms
        self._agreed = agreed
        self._seen = seen
        self._present: frozenset[str] = frozenset()
        self._by_domain: dict[str, list[str]] = {}
        self._present_ms: dict[str, int] = {}
        self._watching_ms: int | None = None
        self.absences = AbsenceRecord()

    def refresh(self) -> None:
        """Note which hosts are there; called at every step."""
        now_ms = clock.now_ms()
        if self._watching_ms is None:
            self._watching_ms = now_ms
        self._present = frozenset(
            name
            for name in self._seen.hosts
            if self._seen.is_present(name, self._limit_ms)
        )
        self._sort_by_domain()
        for name in self._present:
            self._present_ms[name] = now_ms
            self.absences.note_returned(name)
        for name in list(self._present_ms):
            if self.is_gone(name):
                self.absences.note_absent(name, self.absent_ms(name))
            if name not in self._seen.hosts and not self.is_member(name):
                del self._present_ms[name]

    def _sort_by_domain(self) -> None:
        self._by_domain = {}
        for name in sorted(self._present):
            said = self._seen.hosts[name].announcement
            if not said.service:
                names = self._by_domain.setdefault(said.fabric_domain, [])
                names.append(name)

    def find(self, host: str) -> presence.SeenHost | None:
        """Return a host's newest announcement, however old.

        :param host: its name.
        """
        return self._seen.hosts.get(host)

    def list_names(self) -> list[str]:
        """Return the names of all hosts of model engines that are there."""
        return [name for names in self._by_domain.values() for name in names]

    def is_member(self, host: str) -> bool:
        """Tell whether a host belongs to a group.

        :param host: its name.
        """
        return host in self._agreed.groups.group_of_host

    def is_present(self, host: str) -> bool:
        """Tell whether a host is there.

        :param host: its name.
        """
        return host in self._present

    def absent_ms(self, host: str) -> int:
        """Return for how long a host has not been there.

        :param host: its name.
        """
        since_ms = self._present_ms.get(host, self._watching_ms)
        return 0 if since_ms is None else clock.now_ms() - since_ms

    def is_gone(self, host: str) -> bool:
        """Tell whether a group has to do without a host.

        :param host: its name.
        """
        seen = self._seen.hosts.get(host)
        if seen is not None and seen.announcement.leaving:
            return True
        if self.is_present(host):
            return False
        grace_ms = LOSS_GRACE_MS
        if host not in self._present_ms:
            # Never seen by this process, which may have just started.
            grace_ms = self._rest_ms + self._limit_ms
        if seen is not None and seen.origin in self._seen.quiet_origins:
            grace_ms = QUIET_ORIGIN_LIMITS * self._limit_ms
        return self.absent_ms(host) > grace_ms

    def is_rested(self, host: str) -> bool:
        """Tell whether no node can believe that a host still serves.

        :param host: its name.
        """
        seen = self._seen.hosts.get(host)
        if seen is None or seen.idle_since_ms is None:
            return False
        return clock.now_ms() - seen.idle_since_ms >= self._rest_ms

    def holds(self, host: str, weights: str) -> bool:
        """Tell whether a host holds a model's weights.

        :param host: its name.
        :param weights: model, adapter and version, joined by slashes.
        """
        seen = self._seen.hosts.get(host)
        return seen is not None and seen.announcement.holds == weights

    def follows(self, host: str, record: commands_pb2.GroupRecord) -> bool:
        """Tell whether a host serves as it was ordered to.

        :param host: its name.
        :param record: its group.
        """
        seen = self._seen.hosts.get(host)
        return (
            seen is not None
            and self.is_present(host)
            and seen.serves(record.group, record.epoch)
        )

    def is_whole(self, record: commands_pb2.GroupRecord) -> bool:
        """Tell whether every host of a group serves.

        :param record: the group.
        """
        return all(self.follows(host, record) for host in record.hosts)

    def list_gone(self, record: commands_pb2.GroupRecord) -> list[str]:
        """Return the hosts that a group has to do without.

        :param record: the group.
        """
        return [host for host in record.hosts if self.is_gone(host)]

    def _list_unbound(self, domain: str) -> list[str]:
        """Return the hosts of a domain that belong to no group."""
        return [
            name
            for name in self._by_domain.get(domain, ())
            if name in self._seen.hosts
            and not self._seen.hosts[name].announcement.leaving
            and not self.is_member(name)
        ]

    def count_unbound(self, domain: str) -> int:
        """Count the hosts that belong to no group, or will soon.

        :param domain: the fabric domain.
        """
        return len(self._list_unbound(domain))

    def has_resting(self, domain: str) -> bool:
        """Tell whether hosts that belong to no group have yet to rest.

        :param domain: the fabric domain.
        """
        return any(
            not self._is_free(name) for name in self._list_unbound(domain)
        )

    def list_free(self, domain: str) -> list[str]:
        """Return the hosts of a fabric domain that can join a group now.

        :param domain: the fabric domain.
        """
        return [
            name for name in self._list_unbound(domain) if self._is_free(name)
        ]

    def _is_free(self, host: str) -> bool:
        group = self._seen.hosts[host].announcement.group
        return not group and self.is_rested(host)
