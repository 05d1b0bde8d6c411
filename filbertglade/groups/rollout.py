"""Removes and updates deployments by draining one group at a time."""

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.control import state
from filbertglade.groups import changes
from filbertglade.groups import hosts
from filbertglade.groups import placement
from filbertglade.inner import commands_pb2
from filbertglade.settings import model


class Rollout:
    """Chooses the groups to drain and detects when they have drained.

    :param settings: the node's settings.
    :param agreed: the state applied from the replicated log.
    :param monitor: the presence and announcements of hosts.
    :param placer: chooses hosts for groups.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        monitor: hosts.HostMonitor,
        placer: placement.Placer,
    ) -> None:
        self._drain_limit_ms = settings.timings.drain_limit_ms
        self._agreed = agreed
        self._monitor = monitor
        self._placer = placer
        self._draining_since_ms: dict[tuple[str, int], int] = {}

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
            records = self._placer.list_records(deployment.name)
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
            key=lambda record: (
                self._monitor.is_complete(record),
                -record.epoch,
            ),
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
            key=lambda record: (
                self._monitor.is_complete(record),
                record.epoch,
            )
        )
        if not self._monitor.is_complete(outdated[0]):
            return outdated[0]
        complete_count = sum(
            1 for item in records if self._monitor.is_complete(item)
        )
        if complete_count > deployment.replicas:
            return outdated[0]
        if len(records) > complete_count:
            return None
        return (
            None if self._can_add_group(deployment, document) else outdated[0]
        )

    def _can_add_group(
        self,
        deployment: configuration_model.Deployment,
        document: configuration_model.Document,
    ) -> bool:
        """Tell whether one more group can be formed now or soon.

        It can be formed soon if a group of the deployment is draining, or if
        hosts have yet to quiesce.
        """
        if self._placer.find_place(deployment, document) is not None:
            return True
        if any(
            record.deployment == deployment.name
            for record in self._agreed.groups.groups.values()
            if record.phase == commands_pb2.DRAINING
        ):
            return True
        return any(
            self._monitor.count_unassigned(domain)
            >= deployment.hosts_per_replica
            for domain in deployment.fabric_domains
            if self._monitor.has_quiescing(domain)
        )

    def has_drained(self, record: commands_pb2.GroupRecord) -> bool:
        """Tell whether a draining group can be released.

        :param record: the group.
        :returns: whether all its hosts are quiesced or lost, or the drain
            limit has passed.
        """
        key = (record.group, record.epoch)
        draining_since_ms = self._draining_since_ms.setdefault(
            key, clock.now_ms()
        )
        if clock.now_ms() - draining_since_ms > self._drain_limit_ms:
            return True
        return all(
            self._monitor.is_quiesced(host) or self._monitor.is_lost(host)
            for host in record.hosts
        )

    def forget(self) -> None:
        """Drop the drain start times of groups that no longer exist."""
        groups = self._agreed.groups.groups
        for key in [
            key for key in self._draining_since_ms if key[0] not in groups
        ]:
            del self._draining_since_ms[key]
