"""State of groups, members and spares, as the leader observes it."""

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
from filbertglade.replicas import evacuated_members
from filbertglade.replicas import group_cache
from filbertglade.replicas import order_dispatch
from filbertglade.replicas import plan_types
from filbertglade.settings import gateway

log = logs.get_log(__name__)

# Added to a group's stall time before a group that a member has left is taken
# to have stopped, in ms.
STALL_MARGIN_MS = 1500
# How long a new leader takes endpoints that have not announced themselves to
# it to be present, in announcement intervals.
SETTLE_INTERVALS = 1.5
# Longest wait for all endpoints before the first layout, in announcement
# intervals.
LAYOUT_LIMIT_INTERVALS = 4.0
# Least time between two summaries in the log, in ms.
SUMMARY_MS = 1000

State = endpoints.MemberState


class ObservedState:
    """Compares the agreed groups with what endpoints have announced.

    An endpoint is present if its announcements arrive and it is not leaving.
    A new leader takes endpoints that it hasn't seen yet to be present until
    it is settled, but for those that have told an earlier leader that they
    leave.

    A resting endpoint has left a group. It may not join another one yet: an
    old order may still reach it, or the head of the group that it left may
    still serve.

    :param settings: the process's settings.
    :param agreed: the agreed state.
    :param voters: this control host's part in agreement.
    :param endpoint_registry: the endpoints.
    :param dispatcher: orders and model loads that are pending.
    :ivar index: the document in force; None before the first.
    :ivar in_flight: requests in flight of all nodes, by group.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        endpoint_registry: registry.Registry,
        dispatcher: order_dispatch.OrderDispatcher,
    ) -> None:
        self._settings = settings
        self._agreed = agreed
        self._voters = voters
        self._registry = endpoint_registry
        self._dispatcher = dispatcher
        self._evacuations = evacuated_members.EvacuatedMembers(
            agreed, endpoint_registry
        )
        self._started_ms = 0
        self._summarized_ms = 0
        self._replicas = group_cache.GroupCache(
            agreed, endpoint_registry, self._build_replica
        )
        self._groups = group_cache.GroupCache(
            agreed, endpoint_registry, self._describe_group
        )
        self.index: document.RoutingIndex | None = None
        self.in_flight: dict[str, int] = {}

    def start(self) -> None:
        """Start the time in which a new leader settles."""
        self._started_ms = clock.now_ms()
        self._replicas.clear()
        self._groups.clear()

    @property
    def is_settled(self) -> bool:
        """Whether endpoints have had time to announce themselves."""
        waited_ms = clock.now_ms() - self._started_ms
        settle_ms = self._settings.endpoints.announce_ms * SETTLE_INTERVALS
        return waited_ms > settle_ms

    def _find_unseen_version(self) -> int | None:
        """Return the version of what tells which unseen endpoints are present.

        :returns: the version of the departures; None once settled, when no
            unseen endpoint does.
        """
        return None if self.is_settled else self._registry.recorded.version

    def has_seen_all(self) -> bool:
        """Return whether the first layout need not wait for endpoints.

        All are taken to be seen once no new one has appeared for an
        announcement interval. The wait is bounded, so that endpoints that
        start one after another don't delay the layout without end.
        """
        now_ms = clock.now_ms()
        interval_ms = self._settings.endpoints.announce_ms
        if now_ms - self._started_ms > LAYOUT_LIMIT_INTERVALS * interval_ms:
            return True
        unchanged_ms = now_ms - self._registry.last_appearance_ms
        return self.is_settled and unchanged_ms > interval_ms

    def is_present(self, key: str) -> bool:
        """Return whether an endpoint is alive and not leaving.

        :param key: its incarnation.
        """
        known = self._registry.entries.get(key)
        if known is None:
            return not (
                self.is_settled or self._registry.recorded.is_leaving(key)
            )
        return known.is_usable

    def find_membership(self, key: str) -> fleet_pb2.Membership | None:
        """Return the group membership that an endpoint reported last.

        :param key: its incarnation.
        :returns: the membership; None if it reported none.
        """
        known = self._registry.entries.get(key)
        if known is None or not known.endpoint.membership.group:
            return None
        return known.endpoint.membership

    def list_replicas(self) -> list[fleet_pb2.Replica]:
        """Return every group but spare groups, as routing needs it.

        A group of which nothing has changed since the last call is returned
        as the same object.
        """
        conditions = (
            self.index,
            self._find_unseen_version(),
            self._agreed.evacuations.changed_index,
        )
        return list(self._replicas.refresh(conditions))

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
            replica.evacuated = self._evacuations.may_affect(record)
        return replica

    def _find_head(
        self, record: commands_pb2.ReplicaRecord
    ) -> fleet_pb2.Endpoint | None:
        """Return a group's head, as it announced itself.

        For a head that a new leader hasn't seen yet, what the group's record
        says of it is returned.
        """
        key = record.endpoints[0]
        known = self._registry.entries.get(key)
        if known is not None:
            return known.endpoint
        if not record.head_address or self.is_settled:
            return None
        # Routing to a head that is only presumed present is safe: it runs
        # only requests for a group and epoch that it serves itself.
        endpoint_id, born_ms = endpoints.split_key(key)
        return fleet_pb2.Endpoint(
            id=endpoint_id,
            born_ms=born_ms,
            address=record.head_address,
            data_centre=record.head_data_centre,
            slots=record.slots,
        )

    def _find_slowness(self, record: commands_pb2.ReplicaRecord) -> float:
        """Return the factor by which a group is slower than in one domain."""
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
        """Return whether a group is open and complete.

        :param record: the group.
        :returns: whether it is, by the announcements that this leader has
            received.
        """
        if not all(self.is_present(key) for key in record.endpoints):
            return False
        for position, key in enumerate(record.endpoints):
            if key not in self._registry.entries:
                # A new leader presumes it present.
                continue
            membership = self.find_membership(key)
            if membership is None:
                return False
            if (membership.group, membership.epoch) != (
                record.group,
                record.epoch,
            ):
                return False
            if position == 0 and membership.state != State.OPEN:
                return False
            if membership.state in (State.JOINING, State.BROKEN):
                return False
        return True

    def describe_spare(
        self, key: str, known: registry.EndpointEntry
    ) -> plan_types.FreeEndpoint:
        """Return a free endpoint as input of the planner.

        :param key: its incarnation.
        :param known: its entry in the registry.
        """
        table = self._agreed.replicas
        record = table.records.get(table.group_of_endpoint.get(key, ''))
        membership = self.find_membership(key)
        return plan_types.FreeEndpoint(
            key,
            known.endpoint.fabric_domain,
            frozenset(known.endpoint.staged),
            self._dispatcher.find_loading_model(key),
            record.model if record is not None else '',
            record is not None
            and membership is not None
            and (membership.group, membership.epoch)
            == (record.group, record.epoch)
            and membership.state == State.READY,
            known.endpoint.data_centre in self._agreed.evacuations.names,
            self._registry.is_cold(key),
            known.endpoint.data_centre,
        )

    def list_groups(self, service: str) -> list[plan_types.Group]:
        """Return a service's groups as input of the planner.

        :param service: the service's name.
        """
        conditions = (
            self._find_unseen_version(),
            len(self._dispatcher.fenced),
            self._agreed.evacuations.changed_index,
        )
        groups = []
        for described_service, group in self._groups.refresh(conditions):
            if described_service == service:
                group.in_flight = self.in_flight.get(group.name, 0)
                groups.append(group)
        return groups

    def _describe_group(
        self, record: commands_pb2.ReplicaRecord
    ) -> tuple[str, plan_types.Group]:
        """Return a group's service, and the group without its requests."""
        present = tuple(
            key for key in record.endpoints if self.is_present(key)
        )
        membership = self.find_membership(record.endpoints[0])
        is_broken = (
            record.group,
            record.epoch,
        ) in self._dispatcher.fenced or (
            membership is not None
            and (membership.group, membership.epoch)
            == (record.group, record.epoch)
            and membership.state == State.BROKEN
        )
        domains = {key: self._find_domain(key) for key in present}
        cross_domain = {
            key: domain
            for key, domain in domains.items()
            if domain not in ('', record.fabric_domain)
        }
        return record.service, plan_types.Group(
            record.group,
            record.epoch,
            record.model,
            record.fabric_domain,
            tuple(record.endpoints),
            present,
            is_broken,
            cross_domain_members=frozenset(cross_domain),
            other_domains=tuple(cross_domain.values()),
            serves=self.is_serving(record),
            is_evacuated=self._evacuations.affects(record, present),
        )

    def _find_domain(self, key: str) -> str:
        known = self._registry.entries.get(key)
        return known.endpoint.fabric_domain if known is not None else ''

    def is_free(self, key: str) -> bool:
        """Return whether an endpoint may join any group now.

        :param key: its incarnation.
        """
        table = self._agreed.replicas
        record = table.records.get(table.group_of_endpoint.get(key, ''))
        # Most endpoints are members of a group.
        if record is not None and not record.is_spare:
            return False
        if not self.is_present(key) or key in table.resting:
            return False
        membership = self.find_membership(key)
        if record is None:
            return membership is None
        return membership is None or membership.group == record.group

    def may_end_rest(self, rest: commands_pb2.RestingEndpoint) -> bool:
        """Return whether a resting endpoint may join another group.

        It may once no old order can bring it back into the group that it
        left, and that group serves no more.

        :param rest: the endpoint and the group that it left.
        """
        age_ms = self._voters.log_clock_ms() - rest.since_ms
        known = self._registry.entries.get(rest.endpoint)
        if known is None:
            return age_ms > registry.FORGET_MS
        # A silent endpoint's membership may have changed.
        if known.endpoint.silent or known.outside_since_ms is None:
            return False
        if _is_in(known.last_membership, rest):
            if self._has_head_stopped(rest):
                return True
        elif age_ms < order_dispatch.ORDER_EXPIRY_MS:
            return False
        # Whichever group it left has stood still since then.
        outside_ms = clock.now_ms() - known.outside_since_ms
        stall_ms = self._settings.endpoints.stall_ms
        return outside_ms > stall_ms + STALL_MARGIN_MS

    def _has_head_stopped(self, rest: commands_pb2.RestingEndpoint) -> bool:
        """Return whether the head of the group that was left has stopped."""
        if rest.head == rest.endpoint:
            return True
        head = self._registry.entries.get(rest.head)
        # What it announced before it joined the group says nothing.
        if head is None or head.highest_epoch < rest.epoch:
            return False
        membership = head.endpoint.membership
        if not _is_in(membership, rest) or membership.state == State.BROKEN:
            return True
        # A silent head may have become ready and been opened.
        return membership.state == State.JOINING and not head.endpoint.silent

    def summarize(self) -> None:
        """Log the state of the groups, at most once per interval."""
        now_ms = clock.now_ms()
        if now_ms - self._summarized_ms < SUMMARY_MS:
            return
        self._summarized_ms = now_ms
        records = self._agreed.replicas.records.values()
        usable: collections.Counter[str] = collections.Counter()
        unusable: collections.Counter[str] = collections.Counter()
        for record in records:
            if not record.is_spare:
                counts = usable if self.is_serving(record) else unusable
                counts[record.model] += 1
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
            staging=self._dispatcher.count_loads(),
            silent=sum(
                known.endpoint.silent
                for known in self._registry.entries.values()
            ),
            in_flight=sum(self.in_flight.values()),
        )


def _is_in(
    membership: fleet_pb2.Membership | None,
    rest: commands_pb2.RestingEndpoint,
) -> bool:
    """Return whether a membership is in the group that was left."""
    return membership is not None and (membership.group, membership.epoch) == (
        rest.group,
        rest.epoch,
    )
