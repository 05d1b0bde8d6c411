"""Repair of groups that have lost hosts, as their policies decide."""

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
    """Finds broken groups and carries the policies' decisions out.

    :param settings: the node's settings.
    :param agreed: the agreed state.
    :param watch: what hosts say.
    :param places: finds hosts for groups.
    :param ledger: how long loads take.
    :param writer: commits the changes.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        watch: hosts.HostWatch,
        places: placement.Placement,
        ledger: loads.LoadLedger,
        writer: changes.GroupWriter,
    ) -> None:
        timings = settings.timings
        self._rest_ms = timings.presence_limit_ms + timings.presence_margin_ms
        self._agreed = agreed
        self._monitor = watch
        self._places = places
        self._ledger = ledger
        self._writer = writer

    async def repair(self, document: configuration_model.Document) -> None:
        """Decide about every broken group, the most urgent first.

        :param document: the document in force.
        """
        for group in self._list_broken(document):
            # What was committed for another one may have changed the scene.
            broken = self._list_broken(document)
            if any(item.record is group.record for item in broken):
                await self._repair(group, broken, document)

    def _list_broken(
        self, document: configuration_model.Document
    ) -> list[policies.BrokenGroup]:
        broken = []
        for deployment in document.deployments:
            for record in self._places.list_records(deployment.name):
                gone = self._monitor.list_gone(record)
                if gone and not changes.is_outdated(record, deployment):
                    absent_ms = min(map(self._monitor.absent_ms, gone))
                    broken.append(
                        policies.BrokenGroup(
                            record, deployment, gone, absent_ms
                        )
                    )
        broken.sort(
            key=lambda item: (-item.deployment.priority, len(item.gone))
        )
        return broken

    async def _repair(
        self,
        group: policies.BrokenGroup,
        broken: list[policies.BrokenGroup],
        document: configuration_model.Document,
    ) -> None:
        scene = self._build_scene(group, broken, document)
        policy = placement.POLICIES[group.deployment.objective]
        decision = policy.decide(group, scene)
        if isinstance(decision, policies.Replace):
            await self._writer.form_anew(
                group.deployment, group.record, decision.hosts
            )
        elif isinstance(decision, policies.Release):
            await self._writer.move(
                group.record, commands_pb2.RELEASED, decision.why
            )

    def _build_scene(
        self,
        group: policies.BrokenGroup,
        broken: list[policies.BrokenGroup],
        document: configuration_model.Document,
    ) -> policies.RepairScene:
        deployment = group.deployment
        domain = group.record.fabric_domain
        free = self._places.list_available(deployment, domain, document)
        place = self._places.find_place(deployment, document, without=domain)
        return policies.RepairScene(
            free=free,
            broken=[
                item for item in broken if item.record.fabric_domain == domain
            ],
            fits_elsewhere=place is not None,
            expected_return_ms=self._monitor.absences.expect_return_ms(
                group.absent_ms
            ),
            expected_load_ms=self._expect_load_ms(group, free),
        )

    def _expect_load_ms(
        self, group: policies.BrokenGroup, free: list[str]
    ) -> float:
        """Return how long a replacement is likely to take to serve."""
        weights = orders.name_weights(group.deployment)
        chosen = free[: len(group.gone)]
        if chosen and all(
            self._monitor.holds(host, weights) for host in chosen
        ):
            return self._rest_ms
        return self._rest_ms + self._ledger.expect_ms()
