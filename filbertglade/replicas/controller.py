"""Forms, mends and ends groups while this control host leads."""

import asyncio
import collections
import dataclasses

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import failures as control_failures
from filbertglade.control import state
from filbertglade.fleet import document
from filbertglade.fleet import endpoints
from filbertglade.fleet import registry
from filbertglade.inner import commands_pb2
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.replicas import orders
from filbertglade.replicas import planning
from filbertglade.settings import gateway
from filbertglade import tasks

log = logs.get_log(__name__)

# Longest pause between two looks, in ms; a change wakes earlier.
STEP_MS = 100
# Pause between two orders of one kind to an endpoint, in ms: it tells a
# change at once, so that no word means that the order was lost.
ORDER_AGAIN_MS = 700
COMMIT_TIMEOUT_MS = 1000
# An unanswered order may be carried out this long after it was sent, in ms.
LATE_ORDER_MS = 13_000
# Margin over the stall of a group whose head is not heard, in ms.
STALL_MARGIN_MS = 1500
# How long a new leader waits for endpoints that it has never heard, in
# announcement intervals.
SETTLE_INTERVALS = 1.5
# Longest wait for all endpoints before the first layout, in intervals.
LAYOUT_LIMIT_INTERVALS = 4.0
# Suspicions of one group that are looked into at most, each this often.
PROBE_AGAIN_MS = 600
# Pause between two summaries in the log, in ms.
SUMMARY_MS = 1000

# Longest time that a load may take, in ms.
LOAD_LIMIT_MS = 40_000

State = endpoints.MemberState


@dataclasses.dataclass(slots=True)
class _Staging:
    """A load that was ordered.

    :param model: the model.
    :param ordered_ms: local clock at the order.
    """

    model: str
    ordered_ms: int


class ReplicaController:
    """The leader's care of groups.

    :param settings: the process's settings.
    :param agreed: the agreed state.
    :param voters: this control host's part in agreement.
    :param known: the endpoints.
    :param client: sends orders.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        known: registry.Registry,
        client: orders.EngineClient,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._agreed = agreed
        self._voters = voters
        self._registry = known
        self._client = client
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        self._woken = asyncio.Event()
        self._started_ms = 0
        self._ordered_ms: dict[tuple[str, str, str, int], int] = {}
        self._unanswered_ms: dict[str, int] = {}
        self._probed_ms: dict[str, int] = {}
        self._load_times_ms: collections.deque[int] = collections.deque()
        self._staging: dict[str, _Staging] = {}
        self._fenced: set[tuple[str, int]] = set()
        self._group_number = 0
        self._summarized_ms = 0
        self.index: document.RoutingIndex | None = None
        self.in_flight: dict[str, int] = {}
        self.has_traffic = False

    def start(self) -> None:
        """Begin to lead: nothing is known of orders under way."""
        self._started_ms = clock.now_ms()
        self._ordered_ms.clear()
        self._staging.clear()
        self._fenced.clear()
        # What an earlier leader may have had loaded lately counts in full.
        self._load_times_ms.clear()
        if self.has_traffic:
            self._load_times_ms.extend(
                [self._started_ms] * self._count_loads_allowed()
            )
        self._registry.add_listener(self.wake)
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Stop leading."""
        await self._tasks.close()

    def wake(self) -> None:
        """Look again soon."""
        self._woken.set()

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except Exception as error:
                log.error('replicas.step_failed', error=error)
            self._woken.clear()
            try:
                async with asyncio.timeout(STEP_MS / 1000):
                    await self._woken.wait()
                    # Announcements of one moment are looked at together.
                    await asyncio.sleep(STEP_MS / 10_000)
            except TimeoutError:
                continue

    async def _step(self) -> None:
        self._registry.sweep()
        if self.index is None or not self._voters.may_acknowledge:
            return
        if not self._agreed.replicas.records and not self._knows_all():
            return
        await self._end_rests()
        await self._drop_spares()
        for service in self.index.model_services:
            for action in self._plan(service):
                await self._carry_out(service, action)
            self._give_orders(service)
        self._summarize()

    def _summarize(self) -> None:
        """Log how the groups stand, now and then."""
        now_ms = clock.now_ms()
        if now_ms - self._summarized_ms < SUMMARY_MS:
            return
        self._summarized_ms = now_ms
        records = self._agreed.replicas.records.values()
        usable = collections.Counter(
            record.model
            for record in records
            if not record.is_spare and self._is_serving(record)
        )
        unusable = collections.Counter(
            record.model
            for record in records
            if not record.is_spare and not self._is_serving(record)
        )
        spares = collections.Counter(
            f'{record.fabric_domain}/{record.model}'
            for record in records
            if record.is_spare
        )
        log.change(
            'replicas.summary',
            usable=usable,
            unusable=unusable,
            spares=spares,
            resting=len(self._agreed.replicas.resting),
            staging=len(self._staging),
            silent=sum(
                known.endpoint.silent
                for known in self._registry.known.values()
            ),
            in_flight=sum(self.in_flight.values()),
        )

    # What is known

    @property
    def is_settled(self) -> bool:
        """Whether every endpoint has had time to be heard by this leader."""
        waited_ms = clock.now_ms() - self._started_ms
        settle_ms = self._settings.endpoints.announce_ms * SETTLE_INTERVALS
        return waited_ms > settle_ms

    def _knows_all(self) -> bool:
        """Tell whether the first layout can count on all endpoints.

        Each has been heard once no new one appears for an interval; those
        that come one by one are not waited for.
        """
        now_ms = clock.now_ms()
        interval_ms = self._settings.endpoints.announce_ms
        if now_ms - self._started_ms > LAYOUT_LIMIT_INTERVALS * interval_ms:
            return True
        quiet_ms = now_ms - self._registry.appeared_ms
        return self.is_settled and quiet_ms > interval_ms

    def _is_present(self, key: str) -> bool:
        known = self._registry.known.get(key)
        if known is None:
            return not self.is_settled
        return known.is_usable

    def _find_membership(self, key: str) -> fleet_pb2.Membership | None:
        known = self._registry.known.get(key)
        if known is None or not known.endpoint.membership.group:
            return None
        return known.endpoint.membership

    def list_replicas(self) -> list[fleet_pb2.Replica]:
        """Return every group as routing needs it."""
        return [
            self._build_replica(record)
            for record in self._agreed.replicas.records.values()
            if not record.is_spare
        ]

    def _build_replica(
        self, record: commands_pb2.ReplicaRecord
    ) -> fleet_pb2.Replica:
        replica = fleet_pb2.Replica(
            group=record.group,
            epoch=record.epoch,
            service=record.service,
            model=record.model,
            slowness=self._find_slowness(record),
        )
        known = self._registry.known.get(record.endpoints[0])
        if known is not None:
            head = known.endpoint
            replica.head_id = head.id
            replica.head_born_ms = head.born_ms
            replica.address = head.address
            replica.data_centre = head.data_centre
            replica.slots = head.slots
            replica.usable = self._is_serving(record)
        return replica

    def _find_slowness(self, record: commands_pb2.ReplicaRecord) -> float:
        """Return the factor of a group's times, by its members' domains."""
        domains = {
            known.endpoint.fabric_domain
            for key in record.endpoints
            if (known := self._registry.known.get(key)) is not None
        }
        if len(domains) < 2 or self.index is None:
            return 1.0
        service = self.index.services.get(record.service)
        if service is None or service.engine is None:
            return 1.0
        return service.engine.far_x

    def _is_serving(self, record: commands_pb2.ReplicaRecord) -> bool:
        """Tell whether a group is open and all of it is there."""
        if not all(self._is_present(key) for key in record.endpoints):
            return False
        for place, key in enumerate(record.endpoints):
            said = self._find_membership(key)
            if said is None:
                return False
            if (said.group, said.epoch) != (record.group, record.epoch):
                return False
            if place == 0 and said.state != State.OPEN:
                return False
            if said.state in (State.JOINING, State.BROKEN):
                return False
        return True

    # Planning

    def _plan(self, service: document.Service) -> list[planning.Action]:
        assert service.engine is not None
        table = self._agreed.replicas
        groups = [
            self._describe(record)
            for record in table.records.values()
            if record.service == service.name and not record.is_spare
        ]
        free = [
            self._describe_spare(key, known)
            for key, known in self._registry.known.items()
            if known.endpoint.service == service.name and self._is_free(key)
        ]
        if not free and not groups:
            return []
        return planning.Planner(
            planning.Situation(
                service.models,
                service.engine.slots,
                groups,
                free,
                self.has_traffic,
            )
        ).plan()

    def _describe_spare(
        self, key: str, known: registry.KnownEndpoint
    ) -> planning.Host:
        table = self._agreed.replicas
        record = table.records.get(table.group_of.get(key, ''))
        said = self._find_membership(key)
        return planning.Host(
            key,
            known.endpoint.fabric_domain,
            frozenset(known.endpoint.staged),
            self._find_staging(key),
            record.model if record is not None else '',
            record is not None
            and said is not None
            and (said.group, said.epoch) == (record.group, record.epoch)
            and said.state == State.READY,
        )

    def _describe(self, record: commands_pb2.ReplicaRecord) -> planning.Group:
        present = tuple(
            key for key in record.endpoints if self._is_present(key)
        )
        said = self._find_membership(record.endpoints[0])
        is_broken = (record.group, record.epoch) in self._fenced or (
            said is not None
            and (said.group, said.epoch) == (record.group, record.epoch)
            and said.state == State.BROKEN
        )
        return planning.Group(
            record.group,
            record.epoch,
            record.model,
            record.fabric_domain,
            tuple(record.endpoints),
            present,
            is_broken,
            self.in_flight.get(record.group, 0),
            frozenset(
                key
                for key in present
                if self._find_domain(key) not in ('', record.fabric_domain)
            ),
        )

    def _find_domain(self, key: str) -> str:
        known = self._registry.known.get(key)
        return known.endpoint.fabric_domain if known is not None else ''

    def _is_free(self, key: str) -> bool:
        table = self._agreed.replicas
        if not self._is_present(key) or key in table.resting:
            return False
        said = self._find_membership(key)
        record = table.records.get(table.group_of.get(key, ''))
        if record is None:
            return said is None
        return record.is_spare and (said is None or said.group == record.group)

    def _find_staging(self, key: str) -> str:
        """Return the model that an endpoint is loading; empty if none."""
        staging = self._staging.get(key)
        if staging is None:
            return ''
        known = self._registry.known.get(key)
        is_done = known is None or staging.model in known.endpoint.staged
        # A load in a crowd takes several times as long as one alone.
        if is_done or clock.now_ms() - staging.ordered_ms > LOAD_LIMIT_MS:
            del self._staging[key]
            return ''
        return staging.model

    # Rests

    async def _end_rests(self) -> None:
        """Let endpoints join again that surely obey no late order."""
        rested = [
            key
            for key, rest in self._agreed.replicas.resting.items()
            if self._is_rested(rest)
        ]
        if rested:
            change = commands_pb2.ReplicaChange(rested=rested)
            await self._submit(change)

    def _is_rested(self, rest: commands_pb2.RestingEndpoint) -> bool:
        age_ms = self._agreed_clock_ms() - rest.since_ms
        known = self._registry.known.get(rest.endpoint)
        if known is None:
            return age_ms > registry.FORGET_MS
        if self._find_membership(rest.endpoint) is not None:
            return False
        if known.highest_epoch < rest.epoch and age_ms < LATE_ORDER_MS:
            return False
        return self._is_head_done(rest, age_ms)

    def _is_head_done(
        self, rest: commands_pb2.RestingEndpoint, age_ms: int
    ) -> bool:
        """Tell whether the group that was left surely serves no more."""
        if rest.head == rest.endpoint:
            return True
        head = self._registry.known.get(rest.head)
        if head is None or head.endpoint.silent:
            stall_ms = self._settings.endpoints.stall_ms
            return age_ms > stall_ms + STALL_MARGIN_MS
        said = head.endpoint.membership
        return (
            said.group != rest.group
            or said.epoch != rest.epoch
            or said.state in (State.BROKEN, State.JOINING)
        )

    def _agreed_clock_ms(self) -> int:
        return self._voters.log_clock_ms()

    # Changes

    async def _carry_out(
        self, service: document.Service, action: planning.Action
    ) -> None:
        if isinstance(action, planning.StageModel):
            self._try_stage(service, action)
            return
        if isinstance(action, planning.WarmSpare):
            await self._warm(service, action)
            return
        if isinstance(action, planning.ReleaseGroup):
            record = commands_pb2.ReplicaRecord(
                group=action.group, epoch=action.epoch
            )
            change = commands_pb2.ReplicaChange(release=record)
            done = await self._submit(change)
            log.change(
                'group.released',
                group=action.group,
                epoch=action.epoch,
                reason=action.reason,
                done=done is not None,
            )
            return
        await self._form(service, action)

    async def _form(
        self, service: document.Service, action: planning.FormGroup
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
        done = await self._submit(commands_pb2.ReplicaChange(form=record))
        log.change(
            'group.formed',
            group=group,
            old_epoch=action.epoch,
            epoch=done.epoch if done else None,
            model=action.model,
            domain=action.domain,
            members=list(action.members),
            reason=action.reason,
            done=done is not None,
        )

    async def _warm(
        self, service: document.Service, action: planning.WarmSpare
    ) -> None:
        table = self._agreed.replicas
        present = table.records.get(table.group_of.get(action.key, ''))
        record = commands_pb2.ReplicaRecord(
            group=present.group if present else self._name_group(),
            epoch=present.epoch if present else 0,
            service=service.name,
            model=action.model,
            fabric_domain=action.domain,
            endpoints=[action.key],
            is_spare=True,
        )
        done = await self._submit(commands_pb2.ReplicaChange(form=record))
        log.change(
            'spare.warmed',
            endpoint=action.key,
            model=action.model,
            done=done is not None,
        )

    async def _drop_spares(self) -> None:
        """End the groups of spares that are gone."""
        for record in list(self._agreed.replicas.records.values()):
            if record.is_spare and not self._is_present(record.endpoints[0]):
                await self._submit(commands_pb2.ReplicaChange(release=record))

    def _name_group(self) -> str:
        """Return a name that no group has had."""
        self._group_number += 1
        return f'g{self._agreed.applied_index}-{self._group_number}'

    async def _submit(
        self, change: commands_pb2.ReplicaChange
    ) -> commands_pb2.ReplicaResult | None:
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

    # Orders

    def _give_orders(self, service: document.Service) -> None:
        assert service.engine is not None
        for record in self._agreed.replicas.records.values():
            if record.service == service.name:
                self._order_group(record)
        for key, known in self._registry.known.items():
            if known.endpoint.service == service.name and known.is_usable:
                self._order_stray(key, known)

    def _order_group(self, record: commands_pb2.ReplicaRecord) -> None:
        """Bring a group's members into it, then open it."""
        ids = tuple(endpoints.get_id(key) for key in record.endpoints)
        ready = True
        for key in record.endpoints:
            said = self._find_membership(key)
            if said is not None and (said.group, said.epoch) == (
                record.group,
                record.epoch,
            ):
                ready = ready and said.state != State.JOINING
                continue
            ready = False
            known = self._registry.known.get(key)
            if known is None or not known.is_usable:
                continue
            self._order(
                key,
                orders.Order(
                    orders.OrderAction.JOIN,
                    record.group,
                    record.epoch,
                    record.model,
                    ids,
                ),
            )
        if record.is_spare:
            return
        head = record.endpoints[0]
        said = self._find_membership(head)
        if ready and said is not None and said.state == State.READY:
            self._order(
                head,
                orders.Order(
                    orders.OrderAction.OPEN, record.group, record.epoch
                ),
            )

    def _order_stray(self, key: str, known: registry.KnownEndpoint) -> None:
        """Let an endpoint leave a group that it isn't in."""
        said = known.endpoint.membership
        if not said.group:
            return
        record = self._agreed.replicas.records.get(said.group)
        if record is not None and key in record.endpoints:
            return
        if not self.is_settled and record is None:
            return
        self._order(
            key,
            orders.Order(orders.OrderAction.LEAVE, said.group, said.epoch),
        )

    def _order(self, key: str, order: orders.Order) -> None:
        """Send an order unless the same was sent just now."""
        now_ms = clock.now_ms()
        name = (key, order.action.value, order.group, order.epoch)
        sent_ms = self._ordered_ms.get(name)
        if sent_ms is not None and now_ms - sent_ms < ORDER_AGAIN_MS:
            return
        self._ordered_ms[name] = now_ms
        if len(self._ordered_ms) > 4096:
            self._forget_orders(now_ms)
        self._tasks.start(self._send(key, order))

    def _forget_orders(self, now_ms: int) -> None:
        self._ordered_ms = {
            name: at_ms
            for name, at_ms in self._ordered_ms.items()
            if now_ms - at_ms < LATE_ORDER_MS
        }

    async def _send(self, key: str, order: orders.Order) -> None:
        known = self._registry.known.get(key)
        if known is None or not self._voters.is_leader:
            return
        outcome = await self._client.send(
            known.endpoint, order, self._voters.term
        )
        self._counters.count(
            'orders', action=order.action.value, outcome=outcome.value
        )
        log.change(
            'order.answered',
            endpoint=key,
            action=order.action.value,
            group=order.group,
            epoch=order.epoch,
            model=order.model,
            outcome=outcome.value,
        )
        if (
            outcome is orders.OrderOutcome.FENCED
            and order.action is orders.OrderAction.JOIN
        ):
            # Only a higher epoch can bring the endpoint in.
            self._fenced = {(order.group, order.epoch), *self._fenced}
        if outcome is orders.OrderOutcome.MISDIRECTED:
            self._registry.mark_silent(key, 'another has its address')
        if order.action is orders.OrderAction.STAGE and outcome not in (
            orders.OrderOutcome.BEGUN,
            orders.OrderOutcome.UNKNOWN,
        ):
            self._staging.pop(key, None)

    # Loads

    def _count_loads_allowed(self) -> int:
        """Return how many loads may begin within the store's window."""
        if self.index is None:
            return 1
        rates = [
            service.engine.loads_per_s
            for service in self.index.model_services
            if service.engine is not None
        ]
        window_s = self._settings.endpoints.load_window_ms / 1000
        return max(1, int(min(rates, default=1.0) * window_s))

    def _try_stage(
        self, service: document.Service, action: planning.StageModel
    ) -> None:
        assert service.engine is not None
        now_ms = clock.now_ms()
        window_ms = self._settings.endpoints.load_window_ms
        times = self._load_times_ms
        while times and now_ms - times[0] > window_ms:
            times.popleft()
        if self.has_traffic:
            if len(times) >= self._count_loads_allowed():
                return
            if len(self._staging) >= service.engine.loads_at_once:
                return
        times.append(now_ms)
        self._staging[action.key] = _Staging(action.model, now_ms)
        self._order(
            action.key,
            orders.Order(orders.OrderAction.STAGE, model=action.model),
        )

    # Suspicions

    def suspect(self, suspicion: fleet_pb2.Suspicion, node: str) -> None:
        """Look at a group's members that a node finds at fault.

        :param suspicion: which group.
        :param node: who reports it.
        """
        record = self._agreed.replicas.records.get(suspicion.group)
        if record is None or record.epoch != suspicion.epoch:
            return
        now_ms = clock.now_ms()
        probed_ms = self._probed_ms.get(suspicion.group)
        if probed_ms is not None and now_ms - probed_ms < PROBE_AGAIN_MS:
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
        known = self._registry.known.get(key)
        if known is None or known.endpoint.silent:
            return
        self._counters.count('probes')
        heard_ms = known.heard_ms
        there = await self._client.is_there(known.endpoint)
        again = self._registry.known.get(key)
        if there or again is None or again.heard_ms > heard_ms:
            return
        self._registry.mark_silent(key, 'no answer to a probe')
