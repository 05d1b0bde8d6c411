"""Forms, repairs and releases groups while this control host leads."""

import asyncio

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import failures as control_failures
from filbertglade.control import state
from filbertglade.fleet import document
from filbertglade.fleet import registry
from filbertglade.inner import commands_pb2
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.replicas import answering_groups
from filbertglade.replicas import evacuated_groups
from filbertglade.replicas import group_orders
from filbertglade.replicas import observed_state
from filbertglade.replicas import order_dispatch
from filbertglade.replicas import orders
from filbertglade.replicas import plan_types
from filbertglade.replicas import unserved_models
from filbertglade.settings import gateway
from filbertglade import tasks

log = logs.get_log(__name__)

# Longest pause between two passes of the control loop, in ms; a change in the
# registry ends it early.
MAX_PASS_INTERVAL_MS = 100
# Pause after such a change, in ms: the minimum, and the time for each
# endpoint, which bounds the part of the event loop's time that passes take
# while endpoints change all the time.
MIN_PASS_INTERVAL_MS = 10
PASS_INTERVAL_PER_ENDPOINT_MS = 0.03
COMMIT_TIMEOUT_MS = 1000
# Least time between two probes of a suspected group, in ms.
PROBE_INTERVAL_MS = 600
# Probes of one endpoint, each sent after this pause unless an earlier one was
# answered: a link that loses packets leaves single ones unanswered.
PROBES = 3
PROBE_PAUSE_MS = 50


class ReplicaController:
    """Runs the leader's control loop over groups.

    Each pass plans what to change, submits changes of groups to agreement
    and orders endpoints into the groups that are agreed.

    :param settings: the process's settings.
    :param agreed: the agreed state.
    :param voters: this control host's part in agreement.
    :param endpoint_registry: the endpoints.
    :param client: sends orders.
    :param counters: the process's metrics.
    :ivar observed: the state of groups as this leader observes it.
    :ivar answering: groups whose events reach hosts.
    :ivar has_traffic: whether any request has arrived yet.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        endpoint_registry: registry.Registry,
        client: orders.EngineClient,
        counters: metrics.Metrics,
    ) -> None:
        self._agreed = agreed
        self._voters = voters
        self._registry = endpoint_registry
        self._client = client
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        self._spreads_groups = settings.control.tolerated_data_centres > 0
        self._woken = asyncio.Event()
        self._probed_ms: dict[str, int] = {}
        self._group_number = 0
        self._dispatcher = order_dispatch.OrderDispatcher(
            settings, voters, endpoint_registry, client, counters
        )
        self.observed = observed_state.ObservedState(
            settings, agreed, voters, endpoint_registry, self._dispatcher
        )
        self._orders = group_orders.GroupOrders(
            agreed, endpoint_registry, self.observed, self._dispatcher
        )
        self.answering = answering_groups.AnsweringGroups(
            agreed, endpoint_registry, settings.endpoints.announce_ms
        )
        self._unserved = unserved_models.UnservedNames(counters, 'models')
        self.has_traffic = False
        endpoint_registry.add_listener(self.wake)

    def start(self) -> None:
        """Start the control loop; called when this host becomes leader."""
        self.observed.start()
        self._dispatcher.start(self.observed.index, self.has_traffic)
        self._orders.start()
        self._probed_ms.clear()
        self.answering.clear()
        self._tasks.keep_running('replicas.control', self._run, self._counters)

    async def close(self) -> None:
        """Stop the control loop and pending orders."""
        await self._tasks.close()
        await self._dispatcher.close()
        self._unserved.update((), ())

    def wake(self) -> None:
        """Start the next pass of the control loop soon."""
        self._woken.set()

    async def _run(self) -> None:
        while True:
            try:
                await self._run_pass()
            except Exception as error:
                log.error('replicas.step_failed', error=error)
            self._woken.clear()
            try:
                async with asyncio.timeout(MAX_PASS_INTERVAL_MS / 1000):
                    await self._woken.wait()
            except TimeoutError:
                continue
            # One pass handles announcements that arrive together.
            interval_ms = max(
                MIN_PASS_INTERVAL_MS,
                PASS_INTERVAL_PER_ENDPOINT_MS * len(self._registry.entries),
            )
            await asyncio.sleep(interval_ms / 1000)

    async def _run_pass(self) -> None:
        self.answering.forget_released()
        self._registry.sweep(self.answering.is_taking_part)
        index = self.observed.index
        if index is None or not self._voters.has_required_voters:
            return
        if (
            not self._agreed.replicas.records
            and not self.observed.has_seen_all()
        ):
            return
        await self._end_rests()
        await self._release_lost_spares()
        self._dispatcher.repeat_unanswered_loads(
            self._agreed.evacuations.names
        )
        for service in index.model_services:
            with self._counters.measure_part('planning'):
                actions = self._plan(service)
            # Changes of groups enter the log in their order and are synced
            # together.
            await asyncio.gather(
                *(self._carry_out(service, action) for action in actions)
            )
            await self._rest_strays(service)
            with self._counters.measure_part('orders'):
                self._orders.send(service.name)
        self.observed.summarize()
        self._find_unserved_models()

    def _find_unserved_models(self) -> None:
        evacuated = self._agreed.evacuations.names
        if evacuated or self._unserved.names:
            states = unserved_models.list_states(self.observed.list_replicas())
            self._unserved.update(states, evacuated)

    def _plan(self, service: document.Service) -> list[plan_types.Action]:
        assert service.engine is not None
        groups = self.observed.list_groups(service.name)
        free = [
            self.observed.describe_spare(key, known)
            for key, known in self._registry.entries.items()
            if self.observed.is_free(key)
            and known.endpoint.service == service.name
        ]
        if not free and not groups:
            return []
        return evacuated_groups.plan(
            plan_types.PlannerInput(
                service.models,
                service.engine.slots,
                groups,
                free,
                self.has_traffic,
                service.engine.far_x,
                spreads_groups=self._spreads_groups,
            )
        )

    async def _end_rests(self) -> None:
        """End the rest of endpoints that may join another group."""
        rested = [
            key
            for key, rest in self._agreed.replicas.resting.items()
            if self.observed.may_end_rest(rest)
        ]
        if rested:
            change = commands_pb2.ReplicaChange(rested=rested)
            await self._submit(change)

    async def _rest_strays(self, service: document.Service) -> None:
        """Let strays rest, before they are ordered to leave."""
        strays = self._orders.list_rests(service.name)
        if strays:
            log.change(
                'endpoint.strayed',
                endpoints=[stray.endpoint for stray in strays[:8]],
                count=len(strays),
            )
            await self._submit(commands_pb2.ReplicaChange(strays=strays))

    async def _carry_out(
        self, service: document.Service, action: plan_types.Action
    ) -> None:
        if isinstance(action, plan_types.StageModel):
            assert self.observed.index is not None
            self._dispatcher.order_load(
                self.observed.index, service, action, self.has_traffic
            )
            return
        if isinstance(action, plan_types.WarmSpare):
            await self._warm_spare(service, action)
            return
        if isinstance(action, plan_types.ReleaseGroup):
            record = commands_pb2.ReplicaRecord(
                group=action.group, epoch=action.epoch
            )
            change = commands_pb2.ReplicaChange(release=record)
            result = await self._submit(change)
            log.change(
                'group.released',
                group=action.group,
                epoch=action.epoch,
                reason=action.reason,
                done=result is not None,
            )
            return
        await self._form(service, action)

    async def _form(
        self, service: document.Service, action: plan_types.FormGroup
    ) -> None:
        group = action.group or self._name_group()
        record = commands_pb2.ReplicaRecord(
            group=group,
            epoch=action.epoch,
            service=service.name,
            model=action.model,
            fabric_domain=action.domain,
            endpoints=action.members,
        )
        head = self._registry.entries.get(action.members[0])
        if head is not None:
            record.head_address = head.endpoint.address
            record.head_data_centre = head.endpoint.data_centre
            record.slots = head.endpoint.slots
        result = await self._submit(commands_pb2.ReplicaChange(form=record))
        log.change(
            'group.formed',
            group=group,
            old_epoch=action.epoch,
            epoch=result.epoch if result else None,
            model=action.model,
            domain=action.domain,
            members=list(action.members),
            reason=action.reason,
            done=result is not None,
        )

    async def _warm_spare(
        self, service: document.Service, action: plan_types.WarmSpare
    ) -> None:
        table = self._agreed.replicas
        present = table.records.get(
            table.group_of_endpoint.get(action.key, '')
        )
        record = commands_pb2.ReplicaRecord(
            group=present.group if present else self._name_group(),
            epoch=present.epoch if present else 0,
            service=service.name,
            model=action.model,
            fabric_domain=action.domain,
            endpoints=[action.key],
            is_spare=True,
        )
        result = await self._submit(commands_pb2.ReplicaChange(form=record))
        log.change(
            'spare.warmed',
            endpoint=action.key,
            model=action.model,
            done=result is not None,
        )

    async def _release_lost_spares(self) -> None:
        """Release the spare groups of endpoints that are not present."""
        lost = [
            record
            for record in self._agreed.replicas.records.values()
            if record.is_spare
            and not self.observed.is_present(record.endpoints[0])
        ]
        await asyncio.gather(
            *(
                self._submit(commands_pb2.ReplicaChange(release=record))
                for record in lost
            )
        )

    def _name_group(self) -> str:
        """Return a name that no group has had before."""
        self._group_number += 1
        return f'g{self._agreed.applied_index}-{self._group_number}'

    async def _submit(
        self, change: commands_pb2.ReplicaChange
    ) -> commands_pb2.ReplicaResult | None:
        """Submit a change of groups to agreement.

        :param change: the change.
        :returns: its result; None if it failed or was refused.
        """
        result = await self._voters.submit(
            commands_pb2.Command(replica_change=change), COMMIT_TIMEOUT_MS
        )
        if isinstance(result, control_failures.SubmitFailure):
            log.change('group.change_failed', reason=str(result))
            return None
        if not result.replica.done:
            log.change('group.change_refused', detail=result.replica.detail)
            return None
        return result.replica

    def handle_suspicion(
        self, suspicion: fleet_pb2.Suspicion, node: str
    ) -> None:
        """Probe the members of a group that a node suspects to be at fault.

        :param suspicion: the group, its epoch and the reason.
        :param node: the node that reports it.
        """
        record = self._agreed.replicas.records.get(suspicion.group)
        if record is None or record.epoch != suspicion.epoch:
            return
        now_ms = clock.now_ms()
        probed_ms = self._probed_ms.get(suspicion.group)
        if probed_ms is not None and now_ms - probed_ms < PROBE_INTERVAL_MS:
            return
        self._probed_ms[suspicion.group] = now_ms
        log.change(
            'group.suspected',
            group=record.group,
            epoch=record.epoch,
            by=node,
            reason=suspicion.reason,
        )
        for key in record.endpoints:
            self._tasks.start(self._probe(key))

    async def _probe(self, key: str) -> None:
        """Mark an endpoint silent unless something shows that it is alive."""
        known = self._registry.entries.get(key)
        if known is None or known.endpoint.silent:
            return
        heard_ms = known.last_announced_ms
        started_ms = clock.now_ms()
        is_alive = await self._is_answering(known.endpoint)
        current = self._registry.entries.get(key)
        if is_alive or current is None or current.last_announced_ms > heard_ms:
            return
        if self.answering.has_taken_part_since(key, started_ms):
            return
        self._registry.mark_silent(key, 'no answer to a probe')

    async def _is_answering(self, endpoint: fleet_pb2.Endpoint) -> bool:
        """Send an endpoint probes until one of them is answered."""
        probes = [
            asyncio.create_task(
                self._probe_after(endpoint, number * PROBE_PAUSE_MS)
            )
            for number in range(PROBES)
        ]
        try:
            for answer in asyncio.as_completed(probes):
                if await answer:
                    return True
            return False
        finally:
            for probe in probes:
                probe.cancel()

    async def _probe_after(
        self, endpoint: fleet_pb2.Endpoint, pause_ms: int
    ) -> bool:
        await asyncio.sleep(pause_ms / 1000)
        self._counters.count('probes')
        return await self._client.probe(endpoint)
