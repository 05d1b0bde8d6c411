"""The leader's control loop that maintains the configured groups."""

import asyncio

from filbertglade.configuration import model as configuration_model
from filbertglade.configuration import validation
from filbertglade.control import agreement
from filbertglade.control import state
from filbertglade.groups import changes
from filbertglade.groups import dispatch
from filbertglade.groups import hosts
from filbertglade.groups import loads
from filbertglade.groups import orders
from filbertglade.groups import placement
from filbertglade.groups import reconciliation
from filbertglade.groups import repair
from filbertglade.groups import rollout
from filbertglade.groups import unserved
from filbertglade.groups import warming
from filbertglade.inner import commands_pb2
from filbertglade.membership import presence
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.replicas import unserved_models
from filbertglade.settings import model
from filbertglade import tasks

log = logs.get_log(__name__)

PASS_INTERVAL_MS = 200


class GroupController:
    """Forms, repairs and drains groups while this host leads.

    Each change is committed first; orders derive from the committed state.

    :param settings: the node's settings.
    :param agreed: the state applied from the replicated log.
    :param voters: this host's part in the replicated log.
    :param presence_table: the latest announcement of each host.
    :param counters: the process's metrics.
    :param client: sends orders; an HTTP client by default.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        presence_table: presence.PresenceTable,
        counters: metrics.Metrics,
        client: orders.OrderClient | None = None,
    ) -> None:
        self._agreed = agreed
        self._voters = voters
        self._counters = counters
        self._presence = presence_table
        self._unserved = unserved_models.UnservedNames(counters, 'deployments')
        self._tasks = tasks.TaskGroup()
        self._document: configuration_model.Document | None = None
        timeout_ms = settings.timings.order_timeout_ms
        self._dispatcher = dispatch.OrderDispatcher(
            settings, voters, client or orders.HttpOrderClient(timeout_ms)
        )
        self._load_tracker = loads.LoadTracker()
        self._writer = changes.GroupWriter(agreed, voters)
        self._monitor = hosts.HostMonitor(settings, agreed, presence_table)
        self._placer = placement.Placer(agreed, self._monitor)
        self._rollout = rollout.Rollout(
            settings, agreed, self._monitor, self._placer
        )
        self._repairer = repair.Repairer(
            settings,
            agreed,
            self._monitor,
            self._placer,
            self._load_tracker,
            self._writer,
        )
        self._reconciler = reconciliation.HostReconciler(
            settings,
            agreed,
            self._monitor,
            self._dispatcher,
            self._load_tracker,
        )
        self._warmer = warming.SpareWarmer(
            agreed,
            self._monitor,
            self._placer,
            self._dispatcher,
            self._load_tracker,
        )
        voters.add_leadership_listener(self._note_leadership)

    def _note_leadership(self, acting: bool) -> None:
        if acting:
            self._dispatcher.start_leading()
            self._load_tracker.start_leading()

    async def start(self) -> None:
        """Start the loop, which acts only while this host leads."""
        self._tasks.keep_running('groups.control', self._run, self._counters)

    async def close(self) -> None:
        """Stop the loop."""
        await self._tasks.close()
        await self._dispatcher.close()

    async def _run(self) -> None:
        while True:
            self._monitor.refresh()
            document = self._read_document()
            if self._voters.is_leader and document is not None:
                await self._run_pass(document)
            else:
                self._unserved.clear()
            await asyncio.sleep(PASS_INTERVAL_MS / 1000)

    def _read_document(self) -> configuration_model.Document | None:
        current = self._agreed.configuration.current
        if not current.number:
            return None
        if self._document is None or self._document.number != current.number:
            self._document, problems = validation.parse_document(
                current.document
            )
            if problems:
                log.error(
                    'configuration.unreadable',
                    number=current.number,
                    problems=[str(problem) for problem in problems],
                )
        return self._document

    async def _run_pass(self, document: configuration_model.Document) -> None:
        await self._mark_serving()
        await self._release_drained()
        for record, reason in self._rollout.list_drains(document):
            await self._writer.set_phase(record, commands_pb2.DRAINING, reason)
        await self._repairer.repair(document)
        await self._repairer.repair_evacuated(document)
        await self._form_missing(document)
        self._reconciler.reconcile(document)
        self._warmer.preload_spares(document)
        self._rollout.forget()
        self._find_unserved()

    def _find_unserved(self) -> None:
        evacuated = self._agreed.evacuations.names
        if evacuated or self._unserved.names:
            states = unserved.list_states(self._agreed, self._presence)
            self._unserved.update(states, evacuated)

    def _list_records(
        self, phase: commands_pb2.GroupPhase
    ) -> list[commands_pb2.GroupRecord]:
        return [
            record
            for record in self._agreed.groups.groups.values()
            if record.phase == phase
        ]

    async def _mark_serving(self) -> None:
        for record in self._list_records(commands_pb2.FORMING):
            if self._monitor.is_complete(record):
                await self._writer.set_phase(
                    record, commands_pb2.SERVING, 'every host serves'
                )

    async def _release_drained(self) -> None:
        for record in self._list_records(commands_pb2.DRAINING):
            if self._rollout.has_drained(record):
                await self._writer.set_phase(
                    record, commands_pb2.RELEASED, 'drained'
                )

    async def _form_missing(
        self, document: configuration_model.Document
    ) -> None:
        deployments = sorted(
            document.deployments, key=lambda item: -item.priority
        )
        for deployment in deployments:
            wanted = self._placer.count_wanted(deployment)
            present = len(self._placer.list_records(deployment.name))
            for _ in range(wanted - present):
                place = self._placer.find_place(deployment, document)
                if place is None:
                    break
                domain, chosen = place
                if not await self._writer.form(deployment, domain, chosen):
                    return
