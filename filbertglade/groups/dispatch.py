"""Sends orders while this host leads and retries them until they apply."""

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.control import agreement
from filbertglade.groups import orders
from filbertglade.observability import logs
from filbertglade.settings import model
from filbertglade import tasks

log = logs.get_log(__name__)

# Delay until an order that a host accepted but did not apply is sent again.
RETRY_MS = 2000


class OrderDispatcher:
    """Sends orders under the leader's lease.

    A host that checks fencing numbers rejects orders of a former leader. To a
    host that ignores them, orders are sent only while the rest of the lease
    is at least the order time-out, and a new leader first waits until the
    former leader's lease and order time-out have expired.

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
        self._leading_since_ms: int | None = None
        # By host: the last order and the time from which it may be retried.
        self._last_orders: dict[str, tuple[orders.Order, int]] = {}
        # Hosts with an order in flight. The next order to a host waits, so
        # that orders arrive in the order in which they were sent.
        self._in_flight: set[str] = set()

    def start_leading(self) -> None:
        """Record that this host has become the acting leader."""
        self._leading_since_ms = clock.now_ms()
        self._last_orders.clear()

    async def close(self) -> None:
        """Stop sending."""
        await self._tasks.close()
        self._client.close()

    def may_send(self, fencing: configuration_model.Fencing) -> bool:
        """Tell whether an order may be sent now.

        :param fencing: whether the host checks fencing numbers.
        """
        if not self._voters.is_leader or self._leading_since_ms is None:
            return False
        if fencing is configuration_model.Fencing.CHECKED:
            return True
        leading_ms = clock.now_ms() - self._leading_since_ms
        if leading_ms < self._lease_ms + self._order_timeout_ms:
            return False
        return self._voters.lease_remaining_ms() >= self._order_timeout_ms

    def send(
        self,
        host: str,
        address: str,
        order: orders.Order,
        fencing: configuration_model.Fencing,
    ) -> bool:
        """Send an order, unless the same one was sent recently.

        :param host: the host's name.
        :param address: its order address.
        :param order: the order.
        :param fencing: whether the host checks fencing numbers.
        :returns: whether the order is sent now or was sent recently.
        """
        now_ms = clock.now_ms()
        last = self._last_orders.get(host)
        if last is not None and last[0] == order and now_ms < last[1]:
            return True
        if host in self._in_flight or not self.may_send(fencing):
            return False
        self._in_flight.add(host)
        self._last_orders[host] = (order, now_ms + RETRY_MS)
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
        retry_at_ms = clock.now_ms() + self._order_timeout_ms
        self._last_orders[host] = (order, retry_at_ms)
        if failure.reason is not orders.OrderReason.UNREACHABLE:
            log.change(
                'order.refused',
                host=host,
                action=order.action,
                fencing_number=order.fencing_number,
                failure=failure,
            )

    def forget(self, present: set[str]) -> None:
        """Drop the last orders to hosts that are absent.

        :param present: the hosts that are present.
        """
        for host in [
            host for host in self._last_orders if host not in present
        ]:
            del self._last_orders[host]
