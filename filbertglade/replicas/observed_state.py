"""What the leader believes of groups, their members and spares."""

import collections

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import state
from filbertglade.fleet import document
from filbertglade.fleet import endpoints
from filbertglade.fleet import registry
from filbertglade.inner import commands_pb2
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.replicas import order_dispatch
from filbertglade.replicas import plan_types
from filbertglade.settings import gateway

log = logs.get_log(__name__)

# Margin over the stall of a group whose head is not heard, in ms.
STALL_MARGIN_MS = 1500
# How long a new leader waits for endpoints that it has never heard, in
# announcement intervals.
SETTLE_INTERVALS = 1.5
# Longest wait for all endpoints before the first layout, in intervals.
LAYOUT_LIMIT_INTERVALS = 4.0
# Pause between two summaries in the log, in ms.
SUMMARY_MS = 1000

State = endpoints.MemberState


class ObservedState:
    """Reads the registry and the agreed groups together.

    :param settings: the process's settings.
    :param agreed: the agreed state.
    :param voters: this control host's part in agreement.
    :param known: the endpoints.
    :param dispatcher: orders under way.
    :ivar index: the document in force; None before the first.
    :ivar in_flight: requests in flight of all nodes, by group.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        known: registry.Registry,
        dispatcher: order_dispatch.OrderDispatcher,
    ) -> None:
        self._settings = settings
        self._agreed = agreed
        self._voters = voters
        self._registry = known
        self._dispatcher = dispatcher
        self._started_ms = 0
        self._summarized_ms = 0
        self.index: document.RoutingIndex | None = None
        self.in_flight: dict[str, int] = {}

    def start(self) -> None:
        """Begin to lead."""
        self._started_ms = clock.now_ms()

    @property
    def is_settled(self) -> bool:
        """Whether every endpoint has had time to be heard by this leader."""
        waited_ms = clock.now_ms() - self._started_ms
        settle_ms = self._settings.endpoints.announce_ms * SETTLE_INTERVALS
        return waited_ms > settle_ms

    def knows_all(self) -> bool:
        """Tell whether the first layout can count on all endpoints.

        Each has been heard once no new one appears for an interval; those
        that come one by one are not waited for.
        """
        now_ms = clock.now_ms()
        interval_ms = self._settings.endpoints.announce_ms
        if now_ms - self._started_ms > LAYOUT_LIMIT_INTERVALS * interval_ms:
            return True
        quiet_ms = now_ms - self._registry.last_appearance_ms
        return self.is_settled and quiet_ms > interval_ms

    def is_present(self, key: str) -> bool:
        """Tell whether an endpoint is there and stays.

        :param key: its life.
        """
        known = self._registry.entries.get(key)
        if known is None:
            return not self.is_settled
        return known.is_usable

    def find_membership(self, key: str) -> fleet_pb2.Membership | None:
        """Return the group that an endpoint says it is in.

        :param key: its life.
        """
        known = self._registry.entries.get(key)
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
        head = self._find_head(record)
        if head is not None:
            replica.head_id = head.id
            replica.head_born_ms = head.born_ms
            replica.address = head.address
            replica.data_centre = head.data_centre
            replica.slots = head.slots
            replica.usable = self.is_serving(record)
        return replica

    def _find_head(
        self, record: commands_pb2.ReplicaRecord
    ) -> fleet_pb2.Endpoint | None:
        """Return where a group's head is, as it said or as it was formed."""
        key = record.endpoints[0]
        known = self._registry.entries.get(key)
        if known is not None:
            return known.endpoint
        if not record.head_address or self.is_settled:
            return None
        # Heads answer for themselves: one that doesn't serve the group with
        # this epoch runs nothing.
        endpoint_id, born_ms = endpoints.split_key(key)
        return fleet_pb2.Endpoint(
            id=endpoint_id,
            born_ms=born_ms,
            address=record.head_address,
            data_centre=record.head_data_centre,
            slots=record.slots,
        )

    def _find_slowness(self, record: commands_pb2.ReplicaRecord) -> float:
        """Return the factor of a group's times, by its members' domains."""
        domains = {
            known.endpoint.fabric_domain
            for key in record.endpoints
            if (known := self._registry.entries.get(key)) is not None
        }
        if len(domains) < 2 or self.index is None:
            return 1.0
        service = self.index.services.get(record.service)
        if service is None or service.engine is None:
            return 1.0
        return service.engine.far_x

    def is_serving(self, record: commands_pb2.ReplicaRecord) -> bool:
        """Tell whether a group is open and all of it is there.

        :param record: the group.
        :returns: whether it is, as far as this leader has heard.
        """
        if not all(self.is_present(key) for key in record.endpoints):
            return False
        for place, key in enumerate(record.endpoints):
            if key not in self._registry.entries:
                # Not yet heard by a new leader.
                continue
            said = self.find_membership(key)
            if said is None:
                return False
            if (said.group, said.epoch) != (record.group, record.epoch):
                return False
            if place == 0 and said.state != State.OPEN:
                return False
            if said.state in (State.JOINING, State.BROKEN):
                return False
        return True

    def describe_spare(
        self, key: str, known: registry.EndpointEntry
    ) -> plan_types.FreeEndpoint:
        """Return a spare as planning needs it.

        :param key: its life.
        :param known: what is known of it.
        """
        table = self._agreed.replicas
        record = table.records.get(table.group_of_endpoint.get(key, ''))
        said = self.find_membership(key)
        return plan_types.FreeEndpoint(
            key,
            known.endpoint.fabric_domain,
            frozenset(known.endpoint.staged),
            self._dispatcher.find_staging(key),
            record.model if record is not None else '',
            record is not None
            and said is not None
            and (said.group, said.epoch) == (record.group, record.epoch)
            and said.state == State.READY,
        )

    def describe_group(
        self, record: commands_pb2.ReplicaRecord
    ) -> plan_types.Group:
        """Return a group as planning needs it.

        :param record: the group.
        """
        present = tuple(
            key for key in record.endpoints if self.is_present(key)
        )
        said = self.find_membership(record.endpoints[0])
        is_broken = (
            record.group,
            record.epoch,
        ) in self._dispatcher.fenced or (
            said is not None
            and (said.group, said.epoch) == (record.group, record.epoch)
            and said.state == State.BROKEN
        )
        domains = {key: self._find_domain(key) for key in present}
        far = {
            key: domain
            for key, domain in domains.items()
            if domain not in ('', record.fabric_domain)
        }
        return plan_types.Group(
            record.group,
            record.epoch,
            record.model,
            record.fabric_domain,
            tuple(record.endpoints),
            present,
            is_broken,
            self.in_flight.get(record.group, 0),
            frozenset(far),
            tuple(far.values()),
            self.is_serving(record),
        )

    def _find_domain(self, key: str) -> str:
        known = self._registry.entries.get(key)
        return known.endpoint.fabric_domain if known is not None else ''

    def is_free(self, key: str) -> bool:
        """Tell whether an endpoint may join any group now.

        :param key: its life.
        """
        table = self._agreed.replicas
        if not self.is_present(key) or key in table.resting:
            return False
        said = self.find_membership(key)
        record = table.records.get(table.group_of_endpoint.get(key, ''))
        if record is None:
            return said is None
        return record.is_spare and (said is None or said.group == record.group)

    def is_rested(self, rest: commands_pb2.RestingEndpoint) -> bool:
        """Tell whether an endpoint surely obeys no late order.

        :param rest: the endpoint and the group that it left.
        """
        age_ms = self._voters.log_clock_ms() - rest.since_ms
        known = self._registry.entries.get(rest.endpoint)
        if known is None:
            return age_ms > registry.FORGET_MS
        if self.find_membership(rest.endpoint) is not None:
            return False
        if (
            known.highest_epoch < rest.epoch
            and age_ms < order_dispatch.LATE_ORDER_MS
        ):
            return False
        return self._is_head_done(rest, age_ms)

    def _is_head_done(
        self, rest: commands_pb2.RestingEndpoint, age_ms: int
    ) -> bool:
        """Tell whether the group that was left surely serves no more."""
        if rest.head == rest.endpoint:
            return True
        head = self._registry.entries.get(rest.head)
        if head is None or head.endpoint.silent:
            stall_ms = self._settings.endpoints.stall_ms
            return age_ms > stall_ms + STALL_MARGIN_MS
        said = head.endpoint.membership
        return (
            said.group != rest.group
            or said.epoch != rest.epoch
            or said.state in (State.BROKEN, State.JOINING)
        )

    def summarize(self) -> None:
        """Log how the groups stand, now and then."""
        now_ms = clock.now_ms()
        if now_ms - self._summarized_ms < SUMMARY_MS:
            return
        self._summarized_ms = now_ms
        records = self._agreed.replicas.records.values()
        usable: collections.Counter[str] = collections.Counter()
        unusable: collections.Counter[str] = collections.Counter()
        for record in records:
            if not record.is_spare:
                found = usable if self.is_serving(record) else unusable
                found[record.model] += 1
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
            staging=self._dispatcher.count_staging(),
            silent=sum(
                known.endpoint.silent
                for known in self._registry.entries.values()
            ),
            in_flight=sum(self.in_flight.values()),
        )
