"""The leader's loop that turns the document into groups of hosts."""

import asyncio

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.configuration import validation
from filbertglade.control import agreement
from filbertglade.control import state
from filbertglade.groups import orders
from filbertglade.inner import commands_pb2
from filbertglade.membership import presence
from filbertglade.observability import logs
from filbertglade.settings import model
from filbertglade import tasks

log = logs.get_log(__name__)

LOOP_MS = 200
COMMIT_TIMEOUT_MS = 2000


class GroupController:
    """Forms groups, orders their hosts and releases what is lost."""

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        seen: presence.PresenceTable,
    ) -> None:
        self._settings = settings
        self._agreed = agreed
        self._voters = voters
        self._seen = seen
        self._tasks = tasks.TaskGroup()
        self._orders = orders.OrderClient(settings.timings.order_timeout_ms)
        self._ordered_ms: dict[str, int] = {}
        self._document: configuration_model.Document | None = None

    async def start(self) -> None:
        """Begin the loop; it acts only while this host leads."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Stop the loop."""
        await self._tasks.close()
        self._orders.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOP_MS / 1000)
            if self._voters.is_leader:
                await self._step()

    async def _step(self) -> None:
        document = self._read_document()
        if document is None:
            return
        for record in list(self._agreed.groups.groups.values()):
            await self._tend(record)
        for deployment in document.deployments:
            await self._fill(deployment)
        self._order_strays()

    def _read_document(self) -> configuration_model.Document | None:
        current = self._agreed.configuration.current
        if not current.number:
            return None
        if self._document is None or self._document.number != current.number:
            self._document, _ = validation.parse_document(current.document)
        return self._document

    async def _tend(self, record: commands_pb2.GroupRecord) -> None:
        limit_ms = self._settings.timings.presence_limit_ms
        for host in record.hosts:
            if not self._seen.is_present(host, limit_ms):
                await self._move(record, commands_pb2.RELEASED, host)
                return
        waiting = [host for host in record.hosts if not self._follows(host)]
        for host in waiting:
            self._order(host, _load_order(record))
        if not waiting and record.phase == commands_pb2.FORMING:
            await self._move(record, commands_pb2.SERVING, '')

    def _follows(self, host: str) -> bool:
        groups = self._agreed.groups
        record = groups.groups[groups.group_of_host[host]]
        said = self._seen.hosts[host].announcement
        return (
            said.group == record.group
            and said.epoch == record.epoch
            and said.ready
        )

    async def _fill(self, deployment: configuration_model.Deployment) -> None:
        present = [
            record
            for record in self._agreed.groups.groups.values()
            if record.deployment == deployment.name
        ]
        if len(present) >= deployment.replicas:
            return
        for domain in deployment.fabric_domains:
            hosts = self._list_idle(domain)
            if len(hosts) >= deployment.hosts_per_replica:
                chosen = hosts[: deployment.hosts_per_replica]
                await self._form(deployment, domain, chosen)
                return

    def _list_idle(self, domain: str) -> list[str]:
        limit_ms = self._settings.timings.presence_limit_ms
        return [
            name
            for name, seen in sorted(self._seen.hosts.items())
            if seen.announcement.fabric_domain == domain
            and not seen.announcement.service
            and not seen.announcement.group
            and not seen.announcement.leaving
            and self._seen.is_present(name, limit_ms)
            and name not in self._agreed.groups.group_of_host
        ]

    async def _form(
        self,
        deployment: configuration_model.Deployment,
        domain: str,
        hosts: list[str],
    ) -> None:
        name = f'{deployment.name}-{self._agreed.applied_index + 1}'
        record = commands_pb2.GroupRecord(
            group=name,
            deployment=deployment.name,
            fabric_domain=domain,
            hosts=hosts,
            model=deployment.model,
            adapter=deployment.adapter,
            version=deployment.version,
        )
        change = commands_pb2.GroupChange(form=record)
        result = await self._voters.submit(
            commands_pb2.Command(group_change=change), COMMIT_TIMEOUT_MS
        )
        if result:
            log.change('group.formed', group=name, hosts=hosts)

    async def _move(
        self,
        record: commands_pb2.GroupRecord,
        phase: commands_pb2.GroupPhase,
        lost_host: str,
    ) -> None:
        move = commands_pb2.GroupMove(
            group=record.group, epoch=record.epoch, phase=phase
        )
        change = commands_pb2.GroupChange(move=move)
        result = await self._voters.submit(
            commands_pb2.Command(group_change=change), COMMIT_TIMEOUT_MS
        )
        if result:
            name = commands_pb2.GroupPhase.Name(phase).lower()
            log.change(
                f'group.{name}', group=record.group, lost_host=lost_host
            )

    def _order_strays(self) -> None:
        for name, seen in self._seen.hosts.items():
            said = seen.announcement
            if said.group and name not in self._agreed.groups.group_of_host:
                order = orders.Order(
                    action=orders.OrderAction.RELEASE,
                    fencing_number=self._agreed.applied_index,
                    group=said.group,
                    epoch=said.epoch,
                )
                self._order(name, order)

    def _order(self, host: str, order: orders.Order) -> None:
        now_ms = clock.now_ms()
        again_ms = self._settings.timings.order_timeout_ms
        if now_ms - self._ordered_ms.get(host, -again_ms) < again_ms:
            return
        self._ordered_ms[host] = now_ms
        address = self._seen.hosts[host].announcement.order_address
        self._tasks.start(self._orders.send(address, order))


def _load_order(record: commands_pb2.GroupRecord) -> orders.Order:
    return orders.Order(
        action=orders.OrderAction.LOAD,
        fencing_number=record.epoch,
        group=record.group,
        epoch=record.epoch,
        deployment=record.deployment,
        model=record.model,
        adapter=record.adapter,
        version=record.version,
        hosts=list(record.hosts),
    )
