"""Orders to engines under way, and the loads that they begin."""

import collections
import dataclasses

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.fleet import document
from filbertglade.fleet import registry
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.replicas import orders
from filbertglade.replicas import plan_types
from filbertglade.settings import gateway
from filbertglade import tasks

log = logs.get_log(__name__)

# Pause between two orders of one kind to an endpoint, in ms: it tells a
# change at once, so that no word means that the order was lost.
ORDER_AGAIN_MS = 700
# An unanswered order may be carried out this long after it was sent, in ms.
LATE_ORDER_MS = 13_000
# Orders remembered before old ones are forgotten.
ORDERS_KEPT = 4096
# Longest time that a load may take, in ms: in a crowd several times as long
# as alone.
LOAD_LIMIT_MS = 40_000


@dataclasses.dataclass(slots=True)
class _Staging:
    """A load that was ordered.

    :param model: the model.
    :param ordered_ms: local clock at the order.
    """

    model: str
    ordered_ms: int


class OrderDispatcher:
    """Sends orders, each again only after a while, and bounds loads.

    :param settings: the process's settings.
    :param voters: this control host's part in agreement.
    :param known: the endpoints.
    :param client: sends orders.
    :param counters: the process's metrics.
    :ivar fenced: groups whose epoch an engine has refused.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        voters: agreement.Agreement,
        known: registry.Registry,
        client: orders.EngineClient,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._voters = voters
        self._registry = known
        self._client = client
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        self._ordered_ms: dict[tuple[str, str, str, int], int] = {}
        self._load_times_ms: collections.deque[int] = collections.deque()
        self._staging: dict[str, _Staging] = {}
        self.fenced: set[tuple[str, int]] = set()

    def start(
        self, index: document.RoutingIndex | None, has_traffic: bool
    ) -> None:
        """Begin to lead: nothing is known of orders under way.

        :param index: the document in force.
        :param has_traffic: whether loads count.
        """
        self._ordered_ms.clear()
        self._staging.clear()
        self.fenced.clear()
        # What an earlier leader may have had loaded lately counts in full.
        self._load_times_ms.clear()
        if has_traffic:
            now_ms = clock.now_ms()
            self._load_times_ms.extend([now_ms] * self._count_loads(index))

    async def close(self) -> None:
        """Stop sending."""
        await self._tasks.close()

    def order(self, key: str, order: orders.Order) -> None:
        """Send an order unless the same was sent just now.

        :param key: the endpoint's life.
        :param order: the order.
        """
        now_ms = clock.now_ms()
        name = (key, order.action.value, order.group, order.epoch)
        sent_ms = self._ordered_ms.get(name)
        if sent_ms is not None and now_ms - sent_ms < ORDER_AGAIN_MS:
            return
        self._ordered_ms[name] = now_ms
        if len(self._ordered_ms) > ORDERS_KEPT:
            self._forget_orders(now_ms)
        self._tasks.start(self._send(key, order))

    def _forget_orders(self, now_ms: int) -> None:
        self._ordered_ms = {
            name: at_ms
            for name, at_ms in self._ordered_ms.items()
            if now_ms - at_ms < LATE_ORDER_MS
        }

    async def _send(self, key: str, order: orders.Order) -> None:
        known = self._registry.entries.get(key)
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
            self.fenced.add((order.group, order.epoch))
        if outcome is orders.OrderOutcome.MISDIRECTED:
            self._registry.mark_silent(key, 'another has its address')
        if order.action is orders.OrderAction.STAGE and outcome not in (
            orders.OrderOutcome.BEGUN,
            orders.OrderOutcome.UNKNOWN,
        ):
            self._staging.pop(key, None)

    # Loads

    def find_staging(self, key: str) -> str:
        """Return the model that an endpoint is loading; empty if none.

        :param key: its life.
        """
        staging = self._staging.get(key)
        if staging is None:
            return ''
        known = self._registry.entries.get(key)
        is_done = known is None or staging.model in known.endpoint.staged
        # A load in a crowd takes several times as long as one alone.
        if is_done or clock.now_ms() - staging.ordered_ms > LOAD_LIMIT_MS:
            del self._staging[key]
            return ''
        return staging.model

    def count_staging(self) -> int:
        """Return how many loads are under way."""
        return len(self._staging)

    def _count_loads(self, index: document.RoutingIndex | None) -> int:
        """Return how many loads may begin within the store's window."""
        rates = [
            service.engine.loads_per_s
            for service in (index.model_services if index else ())
            if service.engine is not None
        ]
        window_s = self._settings.endpoints.load_window_ms / 1000
        factor = self._settings.endpoints.load_factor
        return max(1, int(min(rates, default=1.0) * window_s * factor))

    def try_stage(
        self,
        index: document.RoutingIndex,
        service: document.Service,
        action: plan_types.StageModel,
        has_traffic: bool,
    ) -> None:
        """Order a load, if the store takes one more.

        :param index: the document in force.
        :param service: the engine's service.
        :param action: which endpoint stages what.
        :param has_traffic: whether loads count.
        """
        assert service.engine is not None
        now_ms = clock.now_ms()
        window_ms = self._settings.endpoints.load_window_ms
        times = self._load_times_ms
        while times and now_ms - times[0] > window_ms:
            times.popleft()
        if has_traffic:
            if len(times) >= self._count_loads(index):
                return
            if len(self._staging) >= service.engine.loads_at_once:
                return
        times.append(now_ms)
        self._staging[action.key] = _Staging(action.model, now_ms)
        self.order(
            action.key,
            orders.Order(orders.OrderAction.STAGE, model=action.model),
        )
