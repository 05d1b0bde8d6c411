"""Removal and change of deployments, by draining groups one at a time."""

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.control import state
from filbertglade.groups import changes
from filbertglade.groups import hosts
from filbertglade.groups import placement
from filbertglade.inner import commands_pb2
from filbertglade.settings import model


class Rollout:
    """Chooses groups to drain, and tells when they have drained.

    :param settings: the node's settings.
    :param agreed: the agreed state.
    :param watch: what hosts say.
    :param places: finds hosts for groups.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        watch: hosts.HostWatch,
        places: placement.Placement,
    ) -> None:
        self._limit_ms = settings.timings.drain_limit_ms
        self._agreed = agreed
        self._monitor = watch
        self._places = places
        self._since_ms: dict[tuple[str, int], int] = {}

    def list_drains(
        self, document: configuration_model.Document
    ) -> list[tuple[commands_pb2.GroupRecord, str]]:
        """Return the groups to drain now, each with the reason.

        :param document: the document in force.
        """
        wanted = {item.name for item in document.deployments}
        drains = [
            (record, 'deployment removed')
            for record in self._agreed.groups.groups.values()
            if record.deployment not in wanted
            and record.phase != commands_pb2.DRAINING
        ]
        for deployment in document.deployments:
            records = self._places.list_records(deployment.name)
            excess = self._find_excess(deployment, records)
            if excess is not None:
                drains.append((excess, 'more than wanted'))
                continue
            outdated = self._find_outdated(deployment, records, document)
            if outdated is not None:
                drains.append((outdated, 'deployment changed'))
        return drains

    def _find_excess(
        self,
        deployment: configuration_model.Deployment,
        records: list[commands_pb2.GroupRecord],
    ) -> commands_pb2.GroupRecord | None:
        current = [
            record
            for record in records
            if not changes.is_outdated(record, deployment)
        ]
        if len(current) <= deployment.replicas:
            return None
        return min(
            current,
            key=lambda record: (self._monitor.is_whole(record), -record.epoch),
        )

    def _find_outdated(
        self,
        deployment: configuration_model.Deployment,
        records: list[commands_pb2.GroupRecord],
        document: configuration_model.Document,
    ) -> commands_pb2.GroupRecord | None:
        outdated = [
            record
            for record in records
            if changes.is_outdated(record, deployment)
        ]
        if not outdated:
            return None
        outdated.sort(
            key=lambda record: (self._monitor.is_whole(record), record.epoch)
        )
        if not self._monitor.is_whole(outdated[0]):
            return outdated[0]
        whole_count = sum(
            1 for item in records if self._monitor.is_whole(item)
        )
        if whole_count > deployment.replicas:
            return outdated[0]
        if len(records) > whole_count:
            return None
        return None if self._can_add(deployment, document) else outdated[0]

    def _can_add(
        self,
        deployment: configuration_model.Deployment,
        document: configuration_model.Document,
    ) -> bool:
        """Tell whether a group more can be formed now, or once hosts rest."""
        if self._places.find_place(deployment, document) is not None:
            return True
        if any(
            record.deployment == deployment.name
            for record in self._agreed.groups.groups.values()
            if record.phase == commands_pb2.DRAINING
        ):
            return True
        return any(
            self._monitor.count_unbound(domain) >= deployment.hosts_per_replica
            for domain in deployment.fabric_domains
            if self._monitor.has_resting(domain)
        )

    def has_drained(self, record: commands_pb2.GroupRecord) -> bool:
        """Tell whether a draining group can be released.

        :param record: the group.
        :returns: whether its hosts are idle, and no node believes that they
            serve; or the longest time for that is over.
        """
        key = (record.group, record.epoch)
        since_ms = self._since_ms.setdefault(key, clock.now_ms())
        if clock.now_ms() - since_ms > self._limit_ms:
            return True
        return all(
            self._monitor.is_rested(host) or self._monitor.is_gone(host)
            for host in record.hosts
        )

    def forget(self) -> None:
        """Drop what was noted of groups that are gone."""
        groups = self._agreed.groups.groups
        for key in [key for key in self._since_ms if key[0] not in groups]:
            del self._since_ms[key]
