"""Sending of orders: only while this host leads, repeated until obeyed."""

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.control import agreement
from filbertglade.groups import orders
from filbertglade.observability import logs
from filbertglade.settings import model
from filbertglade import tasks

log = logs.get_log(__name__)

# Time until an order that was taken but not obeyed is given again.
REPEAT_MS = 2000


class OrderDispatcher:
    """Sends orders under the leader's lease.

    A host that checks fencing numbers is safe from an old leader's orders by
    itself. To one that ignores them, orders go out only while the lease
    outlasts their time-out, and a new leader lets the lease and the time-out
    of the one before run out first.

    :param settings: the node's settings.
    :param voters: this host's part in the replicated log.
    :param client: sends the orders.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        voters: agreement.Agreement,
        client: orders.OrderClient,
    ) -> None:
        self._order_timeout_ms = settings.timings.order_timeout_ms
        self._lease_ms = settings.control.lease_ms
        self._voters = voters
        self._client = client
        self._tasks = tasks.TaskGroup()
        self._acting_ms: int | None = None
        # By host: the order given last, and when it may be given again.
        self._given: dict[str, tuple[orders.Order, int]] = {}
        # Hosts to which an order is on its way; the next waits for it, so
        # that no two overtake each other.
        self._in_flight: set[str] = set()

    def begin(self) -> None:
        """Note that this host has begun to act as leader."""
        self._acting_ms = clock.now_ms()
        self._given.clear()

    async def close(self) -> None:
        """Stop sending."""
        await self._tasks.close()
        self._client.close()

    def may_order(self, fencing: configuration_model.Fencing) -> bool:
        """Tell whether an order may go out at this moment.

        :param fencing: whether the host checks fencing numbers.
        """
        if not self._voters.is_leader or self._acting_ms is None:
            return False
        if fencing is configuration_model.Fencing.CHECKED:
            return True
        acted_ms = clock.now_ms() - self._acting_ms
        if acted_ms < self._lease_ms + self._order_timeout_ms:
            return False
        return self._voters.lease_remaining_ms() >= self._order_timeout_ms

    def give(
        self,
        host: str,
        address: str,
        order: orders.Order,
        fencing: configuration_model.Fencing,
    ) -> bool:
        """Give an order, unless it was just given.

        :param host: the host's name.
        :param address: its order address.
        :param order: the order.
        :param fencing: whether the host checks fencing numbers.
        :returns: whether the order went out now or lately.
        """
        now_ms = clock.now_ms()
        given = self._given.get(host)
        if given is not None and given[0] == order and now_ms < given[1]:
            return True
        if host in self._in_flight or not self.may_order(fencing):
            return False
        self._in_flight.add(host)
        self._given[host] = (order, now_ms + REPEAT_MS)
        self._tasks.start(self._send(host, address, order))
        return True

    async def _send(
        self, host: str, address: str, order: orders.Order
    ) -> None:
        try:
            failure = await self._client.send(address, order)
        finally:
            self._in_flight.discard(host)
        if failure is None:
            return
        again_ms = clock.now_ms() + self._order_timeout_ms
        self._given[host] = (order, again_ms)
        if failure.reason is not orders.OrderReason.UNREACHABLE:
            log.change(
                'order.refused',
                host=host,
                action=order.action,
                fencing_number=order.fencing_number,
                failure=failure,
            )

    def forget(self, present: set[str]) -> None:
        """Drop what was given to hosts that are not there.

        :param present: the hosts that are.
        """
        for host in [host for host in self._given if host not in present]:
            del self._given[host]
