"""Repairs groups that have lost hosts, as their policies decide."""

from filbertglade.configuration import model as configuration_model
from filbertglade.control import state
from filbertglade.groups import changes
from filbertglade.groups import hosts
from filbertglade.groups import loads
from filbertglade.groups import orders
from filbertglade.groups import placement
from filbertglade.groups import policies
from filbertglade.inner import commands_pb2
from filbertglade.settings import model


class Repairer:
    """Finds broken groups and executes the policies' decisions.

    :param settings: the node's settings.
    :param agreed: the state applied from the replicated log.
    :param monitor: the presence and announcements of hosts.
    :param placer: chooses hosts for groups.
    :param load_tracker: estimates the duration of loads.
    :param writer: commits the changes.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        monitor: hosts.HostMonitor,
        placer: placement.Placer,
        load_tracker: loads.LoadTracker,
        writer: changes.GroupWriter,
    ) -> None:
        timings = settings.timings
        self._quiesce_ms = (
            timings.presence_limit_ms + timings.presence_margin_ms
        )
        self._agreed = agreed
        self._monitor = monitor
        self._placer = placer
        self._load_tracker = load_tracker
        self._writer = writer

    async def repair(self, document: configuration_model.Document) -> None:
        """Handle broken groups by priority, then by fewest lost hosts.

        :param document: the document in force.
        """
        for group in self._list_broken(document):
            # A change committed for another group may have affected this one.
            broken = self._list_broken(document)
            if any(item.record is group.record for item in broken):
                await self._repair(group, broken, document)

    async def repair_evacuated(
        self, document: configuration_model.Document
    ) -> None:
        """Repair evacuated groups from free hosts that need no load.

        :param document: the document in force.
        """
        for deployment in document.deployments:
            weights = orders.name_weights(deployment)
            for record in self._placer.list_evacuated(deployment.name):
                lost = self._monitor.list_lost(record)
                if not lost or changes.is_outdated(record, deployment):
                    continue
                fitting = [
                    host
                    for host in self._monitor.list_free(record.fabric_domain)
                    if self._monitor.is_evacuated(host)
                    and self._monitor.holds(host, weights)
                ]
                if len(fitting) >= len(lost):
                    replacements = dict(zip(lost, fitting, strict=False))
                    await self._writer.replace_hosts(
                        deployment,
                        record,
                        [
                            replacements.get(host, host)
                            for host in record.hosts
                        ],
                    )

    def _list_broken(
        self, document: configuration_model.Document
    ) -> list[policies.BrokenGroup]:
        broken = []
        for deployment in document.deployments:
            for record in self._placer.list_records(deployment.name):
                lost = self._monitor.list_lost(record)
                if lost and not changes.is_outdated(record, deployment):
                    absent_ms = min(map(self._monitor.absent_ms, lost))
                    broken.append(
                        policies.BrokenGroup(
                            record, deployment, lost, absent_ms
                        )
                    )
        broken.sort(
            key=lambda item: (-item.deployment.priority, len(item.lost))
        )
        return broken

    async def _repair(
        self,
        group: policies.BrokenGroup,
        broken: list[policies.BrokenGroup],
        document: configuration_model.Document,
    ) -> None:
        context = self._build_context(group, broken, document)
        policy = placement.POLICIES[group.deployment.objective]
        decision = policy.decide(group, context)
        if isinstance(decision, policies.Replace):
            await self._writer.replace_hosts(
                group.deployment, group.record, decision.hosts
            )
        elif isinstance(decision, policies.Release):
            await self._writer.set_phase(
                group.record, commands_pb2.RELEASED, decision.reason
            )

    def _build_context(
        self,
        group: policies.BrokenGroup,
        broken: list[policies.BrokenGroup],
        document: configuration_model.Document,
    ) -> policies.RepairContext:
        deployment = group.deployment
        domain = group.record.fabric_domain
        free = self._placer.list_available(deployment, domain, document)
        place = self._placer.find_place(
            deployment, document, excluded_domain=domain
        )
        return policies.RepairContext(
            free=free,
            broken=[
                item for item in broken if item.record.fabric_domain == domain
            ],
            fits_other_domain=place is not None,
            expected_return_ms=self._monitor.absences.estimate_remaining_ms(
                group.absent_ms
            ),
            expected_load_ms=self._expect_load_ms(group, free),
        )

    def _expect_load_ms(
        self, group: policies.BrokenGroup, free: list[str]
    ) -> float:
        """Return the expected time until a replacement serves."""
        weights = orders.name_weights(group.deployment)
        chosen = free[: len(group.lost)]
        if chosen and all(
            self._monitor.holds(host, weights) for host in chosen
        ):
            return self._quiesce_ms
        return self._quiesce_ms + self._load_tracker.estimate_ms()
