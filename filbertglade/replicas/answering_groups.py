"""Groups whose events reach hosts, as evidence that their members live.

A head stands still as soon as one of its members is lost. So an event of a
group shows that each member was alive, also one whose announcements and
answers to probes no longer reach the leader.
"""

from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade.control import state
from filbertglade.fleet import registry
from filbertglade.inner import fleet_pb2


@dataclasses.dataclass(slots=True)
class _LatestEvent:
    """The latest known event of a group.

    :param epoch: the group's epoch.
    :param arrived_ms: local clock when it reached a host.
    """

    epoch: int
    arrived_ms: int


class AnsweringGroups:
    """Remembers when each group last sent an event to any host.

    :param agreed: the agreed state.
    :param endpoint_registry: the endpoints.
    :param announce_ms: time between two announcements of an endpoint.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        endpoint_registry: registry.Registry,
        announce_ms: int,
    ) -> None:
        self._agreed = agreed
        self._registry = endpoint_registry
        # An endpoint that crashes right before an announcement is due is
        # called silent this much later. An event that is not older can't
        # have been sent before the crash.
        self._max_age_ms = (registry.SILENCE_INTERVALS - 1) * announce_ms
        self._latest: dict[str, _LatestEvent] = {}

    def clear(self) -> None:
        """Forget what was reported to an earlier leadership."""
        self._latest.clear()

    def note(
        self, answering: abc.Iterable[fleet_pb2.AnsweringReplica]
    ) -> None:
        """Note the groups that a host has received events of.

        :param answering: the groups and the ages of their latest events.
        """
        now_ms = clock.now_ms()
        for report in answering:
            record = self._agreed.replicas.records.get(report.group)
            if record is None or record.epoch != report.epoch:
                continue
            arrived_ms = now_ms - report.age_ms
            latest = self._latest.get(report.group)
            if (
                latest is None
                or latest.epoch != report.epoch
                or latest.arrived_ms < arrived_ms
            ):
                self._latest[report.group] = _LatestEvent(
                    report.epoch, arrived_ms
                )

    def forget_released(self) -> None:
        """Forget the events of groups that no longer exist."""
        records = self._agreed.replicas.records
        for group in self._latest.keys() - records.keys():
            del self._latest[group]

    def is_taking_part(self, key: str) -> bool:
        """Return whether an endpoint's group has sent an event lately.

        :param key: the endpoint's incarnation.
        """
        return self.has_taken_part_since(
            key, clock.now_ms() - self._max_age_ms
        )

    def has_taken_part_since(self, key: str, since_ms: float) -> bool:
        """Return whether an endpoint's group has sent an event since a time.

        :param key: the endpoint's incarnation, a member of that group by its
            latest announcement and by the group's record.
        :param since_ms: the time, by the local clock.
        """
        known = self._registry.entries.get(key)
        if known is None:
            return False
        membership = known.endpoint.membership
        record = self._agreed.replicas.records.get(membership.group)
        latest = self._latest.get(membership.group)
        return (
            record is not None
            and latest is not None
            and membership.epoch == record.epoch == latest.epoch
            and key in record.endpoints
            and latest.arrived_ms > since_ms
        )
