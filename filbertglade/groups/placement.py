"""Chooses the hosts of new groups and reserves spare hosts."""

from filbertglade.configuration import model as configuration_model
from filbertglade.control import state
from filbertglade.groups import changes
from filbertglade.groups import downtime
from filbertglade.groups import hosts
from filbertglade.groups import orders
from filbertglade.groups import policies
from filbertglade.groups import stranded
from filbertglade.inner import commands_pb2

POLICIES: dict[configuration_model.Objective, policies.RepairPolicy] = {
    configuration_model.Objective.DOWNTIME: downtime.MinimiseDowntime(),
    configuration_model.Objective.STRANDED: stranded.MinimiseStranded(),
}


class Placer:
    """Chooses hosts for groups.

    :param agreed: the state applied from the replicated log.
    :param monitor: the presence and announcements of hosts.
    """

    def __init__(
        self, agreed: state.AgreedState, monitor: hosts.HostMonitor
    ) -> None:
        self._agreed = agreed
        self._monitor = monitor

    def list_records(self, deployment: str) -> list[commands_pb2.GroupRecord]:
        """Return a deployment's groups that are not draining.

        Evacuated groups are left out: they stay formed, but count as no
        capacity.

        :param deployment: the deployment's name.
        """
        return [
            record
            for record in self._list_all_records(deployment)
            if not self._monitor.has_evacuated(record)
        ]

    def list_evacuated(
        self, deployment: str
    ) -> list[commands_pb2.GroupRecord]:
        """Return a deployment's groups in evacuated data centres.

        :param deployment: the deployment's name.
        """
        return [
            record
            for record in self._list_all_records(deployment)
            if self._monitor.has_evacuated(record)
        ]

    def _list_all_records(
        self, deployment: str
    ) -> list[commands_pb2.GroupRecord]:
        return [
            record
            for record in self._agreed.groups.groups.values()
            if record.deployment == deployment
            and record.phase != commands_pb2.DRAINING
        ]

    def list_available(
        self,
        deployment: configuration_model.Deployment,
        domain: str,
        document: configuration_model.Document,
    ) -> list[str]:
        """Return the free hosts that a deployment's groups may use.

        :param deployment: the deployment.
        :param domain: the fabric domain.
        :param document: the document in force.
        :returns: free hosts, those that hold the weights first, less the
            spares reserved for deployments of higher priority.
        """
        weights = orders.name_weights(deployment)
        free = [
            host
            for host in self._monitor.list_free(domain)
            if not self._monitor.is_evacuated(host)
        ]
        free.sort(key=lambda host: not self._monitor.holds(host, weights))
        reserved = sum(
            POLICIES[other.objective].count_spares(other)
            for other in document.deployments
            if other.priority > deployment.priority
            and self.has_group_in(other, domain)
        )
        return free[: max(0, len(free) - reserved)]

    def has_group_in(
        self, deployment: configuration_model.Deployment, domain: str
    ) -> bool:
        """Tell whether a deployment has a group in a fabric domain.

        :param deployment: the deployment.
        :param domain: the fabric domain.
        """
        return any(
            record.fabric_domain == domain
            for record in self.list_records(deployment.name)
        )

    def find_place(
        self,
        deployment: configuration_model.Deployment,
        document: configuration_model.Document,
        excluded_domain: str = '',
    ) -> tuple[str, list[str]] | None:
        """Choose the hosts of a new group, keeping the deployment's spares.

        :param deployment: the deployment.
        :param document: the document in force.
        :param excluded_domain: a fabric domain that is not considered.
        :returns: the fabric domain and the hosts; None if there are too few.
        """
        policy = POLICIES[deployment.objective]
        available = {
            domain: self.list_available(deployment, domain, document)
            for domain in deployment.fabric_domains
            if domain != excluded_domain
        }
        counts = {
            domain: len(found) - self._count_own_spares(deployment, domain)
            for domain, found in available.items()
        }
        needed = deployment.hosts_per_replica
        domain = policy.choose_domain(counts, needed)
        return None if domain is None else (domain, available[domain][:needed])

    def _count_own_spares(
        self, deployment: configuration_model.Deployment, domain: str
    ) -> int:
        """Count the spares that a new group must leave in a domain.

        The first group in a domain, and the additional group during a rolling
        change, may use them.
        """
        if self.has_outdated(deployment):
            return 0
        if not self.has_group_in(deployment, domain):
            return 0
        return POLICIES[deployment.objective].count_spares(deployment)

    def has_outdated(self, deployment: configuration_model.Deployment) -> bool:
        """Tell whether a deployment has outdated groups.

        :param deployment: the deployment.
        """
        return any(
            changes.is_outdated(record, deployment)
            for record in self.list_records(deployment.name)
        )

    def count_wanted(self, deployment: configuration_model.Deployment) -> int:
        """Return how many groups a deployment should have now.

        :param deployment: the deployment.
        :returns: its replicas; one more while it has outdated groups, so that
            the capacity does not drop during a rolling change.
        """
        return deployment.replicas + self.has_outdated(deployment)
