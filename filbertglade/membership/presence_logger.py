"""Logs hosts and groups that are lost and that return."""

from filbertglade.control import state
from filbertglade.inner import commands_pb2
from filbertglade.membership import presence
from filbertglade.observability import logs

log = logs.get_log(__name__)


class PresenceLogger:
    """Logs what has changed in presence since the last check.

    :param agreed: the agreed state.
    :param seen: the newest announcements of hosts.
    :param limit_ms: maximum proven age of a present host.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        seen: presence.PresenceTable,
        limit_ms: int,
    ) -> None:
        self._agreed = agreed
        self._seen = seen
        self._limit_ms = limit_ms
        self._present: set[str] = set()
        self._absent: set[str] = set()
        # Epochs of serving groups that lack a host.
        self._incomplete: set[int] = set()

    def log_host_changes(self) -> None:
        """Log the hosts that have become absent or have returned."""
        present = {
            name
            for name in self._seen.hosts
            if self._seen.is_present(name, self._limit_ms)
        }
        for name in sorted(self._present - present):
            log.change('host.absent', host=name)
        for name in sorted(present & self._absent):
            log.change('host.returned', host=name)
        self._absent = (self._absent | self._present) - present
        self._absent &= set(self._seen.hosts)
        self._present = present

    def log_group_changes(self) -> None:
        """Log the serving groups that now lack hosts or are complete again."""
        incomplete = set()
        for record in self._agreed.groups.groups.values():
            if record.phase != commands_pb2.SERVING:
                continue
            missing = self._list_missing(record)
            if not missing:
                if record.epoch in self._incomplete:
                    log.change(
                        'group.whole', group=record.group, epoch=record.epoch
                    )
                continue
            incomplete.add(record.epoch)
            if record.epoch not in self._incomplete:
                log.change(
                    'group.lost',
                    group=record.group,
                    epoch=record.epoch,
                    missing=missing,
                )
        self._incomplete = incomplete

    def _list_missing(self, record: commands_pb2.GroupRecord) -> list[str]:
        return [
            name for name in record.hosts if not self._serves(name, record)
        ]

    def _serves(self, name: str, record: commands_pb2.GroupRecord) -> bool:
        if not self._seen.is_present(name, self._limit_ms):
            return False
        return self._seen.hosts[name].serves(record.group, record.epoch)
