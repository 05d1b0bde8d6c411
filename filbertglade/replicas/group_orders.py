"""Orders endpoints into the agreed groups, and out of others."""

from filbertglade.control import state
from filbertglade.fleet import endpoints
from filbertglade.fleet import registry
from filbertglade.inner import commands_pb2
from filbertglade.replicas import group_cache
from filbertglade.replicas import observed_state
from filbertglade.replicas import order_dispatch
from filbertglade.replicas import orders

State = endpoints.MemberState


class GroupOrders:
    """Decides which orders are due.

    Only groups and endpoints are looked at that have changed, or whose orders
    haven't had their effect yet.

    :param agreed: the agreed state.
    :param endpoint_registry: the endpoints.
    :param observed: the state of groups as this leader observes it.
    :param dispatcher: sends the orders.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        endpoint_registry: registry.Registry,
        observed: observed_state.ObservedState,
        dispatcher: order_dispatch.OrderDispatcher,
    ) -> None:
        self._agreed = agreed
        self._registry = endpoint_registry
        self._observed = observed
        self._dispatcher = dispatcher
        # The record of each group that an order is due for, None for others.
        self._due = group_cache.GroupCache(
            agreed, endpoint_registry, self._find_due, with_spare_groups=True
        )
        # Endpoints in groups that they are no members of, and the versions
        # of the groups and of the endpoints at which they were looked for.
        self._strays: list[str] = []
        self._strays_versions = (-1, -1)

    def start(self) -> None:
        """Look at all groups and endpoints again, as a new leader."""
        self._due.clear()
        self._strays_versions = (-1, -1)

    def send(self, service: str) -> None:
        """Order a service's endpoints to join, open and leave groups.

        :param service: the service's name.
        """
        for record in self._due.refresh():
            if record is not None and record.service == service:
                self._order_to_join(record)
        for key in self._list_strays(service):
            if not self._needs_rest(key):
                self._order_to_leave(key)

    def list_rests(self, service: str) -> list[commands_pb2.RestingEndpoint]:
        """Return the rests of strays that may not be ordered to leave yet.

        A member that has left a group must not join another one while its
        head may serve. Its rest may have ended while the endpoint was unknown.

        :param service: the service's name.
        """
        strays = [
            key for key in self._list_strays(service) if self._needs_rest(key)
        ]
        if not strays:
            return []
        heads = self._find_last_heads()
        rests = []
        for key in strays:
            membership = self._registry.entries[key].endpoint.membership
            group, epoch = membership.group, membership.epoch
            rests.append(
                commands_pb2.RestingEndpoint(
                    endpoint=key,
                    group=group,
                    epoch=epoch,
                    head=heads.get((group, epoch), ''),
                )
            )
        return rests

    def _find_last_heads(self) -> dict[tuple[str, int], str]:
        """Return which endpoints lead a group, or led their last one."""
        return {
            (known.last_membership.group, known.last_membership.epoch): key
            for key, known in self._registry.entries.items()
            if known.last_membership is not None
            and not known.last_membership.rank
        }

    def _needs_rest(self, key: str) -> bool:
        table = self._agreed.replicas
        record = table.records.get(table.group_of_endpoint.get(key, ''))
        is_head = not self._registry.entries[key].endpoint.membership.rank
        return (
            (record is None or record.is_spare)
            and key not in table.resting
            and not is_head
        )

    def _find_due(
        self, record: commands_pb2.ReplicaRecord
    ) -> commands_pb2.ReplicaRecord | None:
        """Return a group's record if an order is due for one of its members.

        :param record: the record.
        """
        is_ready = True
        for key in record.endpoints:
            member_state = self._find_state(key, record)
            if member_state is None:
                return record
            is_ready = is_ready and member_state != State.JOINING
        head_state = self._find_state(record.endpoints[0], record)
        needs_open = is_ready and head_state == State.READY
        return record if needs_open and not record.is_spare else None

    def _find_state(
        self, key: str, record: commands_pb2.ReplicaRecord
    ) -> str | None:
        """Return an endpoint's state in a group; None if it isn't in it."""
        membership = self._observed.find_membership(key)
        if membership is None or (membership.group, membership.epoch) != (
            record.group,
            record.epoch,
        ):
            return None
        return membership.state

    def _order_to_join(self, record: commands_pb2.ReplicaRecord) -> None:
        """Order a group's members to join it, then its head to open it."""

        def is_wanted() -> bool:
            return self._agreed.replicas.records.get(record.group) is record

        ids = tuple(endpoints.get_id(key) for key in record.endpoints)
        is_ready = True
        for key in record.endpoints:
            member_state = self._find_state(key, record)
            if member_state is not None:
                is_ready = is_ready and member_state != State.JOINING
                continue
            is_ready = False
            known = self._registry.entries.get(key)
            if known is None or not known.is_usable:
                continue
            self._dispatcher.order(
                key,
                orders.Order(
                    orders.OrderAction.JOIN,
                    record.group,
                    record.epoch,
                    record.model,
                    ids,
                ),
                is_wanted,
            )
        head = record.endpoints[0]
        if record.is_spare or not is_ready:
            return
        if self._find_state(head, record) == State.READY:
            self._dispatcher.order(
                head,
                orders.Order(
                    orders.OrderAction.OPEN, record.group, record.epoch
                ),
                is_wanted,
            )

    def _list_strays(self, service: str) -> list[str]:
        """Return a service's endpoints that are to leave groups.

        :param service: the service's name.
        """
        versions = (self._agreed.replicas.version, self._registry.version)
        if versions != self._strays_versions:
            self._strays_versions = versions
            self._strays = self._find_strays()
        return [key for key in self._strays if self._may_leave(key, service)]

    def _find_strays(self) -> list[str]:
        """Return the endpoints in groups that they are no members of."""
        group_of_endpoint = self._agreed.replicas.group_of_endpoint
        strays = []
        for key, known in self._registry.entries.items():
            group = known.endpoint.membership.group
            if group and group_of_endpoint.get(key) != group:
                strays.append(key)
        return strays

    def _may_leave(self, key: str, service: str) -> bool:
        """Return whether a stray may be ordered to leave its group."""
        known = self._registry.entries.get(key)
        if (
            known is None
            or known.endpoint.service != service
            or not known.is_usable
        ):
            return False
        group = known.endpoint.membership.group
        return self._observed.is_settled or (
            group in self._agreed.replicas.records
        )

    def _order_to_leave(self, key: str) -> None:
        """Order an endpoint to leave a group that it is no member of."""
        membership = self._registry.entries[key].endpoint.membership
        self._dispatcher.order(
            key,
            orders.Order(
                orders.OrderAction.LEAVE, membership.group, membership.epoch
            ),
        )
