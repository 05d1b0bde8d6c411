"""Sends orders to engines and limits the model loads that they start."""

import asyncio
import collections
from collections import abc
import contextlib
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

# Least time before the same order is sent to an endpoint again, in ms. An
# endpoint announces a change at once, so an order without one was lost.
ORDER_REPEAT_MS = 700
# Orders that wait for a response at the same time. The others wait until one
# has its response, which makes their pace that of the engines and of this
# process.
MAX_CONCURRENT_ORDERS = 128
# Longest time from sending an order that got no response to its execution, in
# ms.
ORDER_EXPIRY_MS = 13_000
# Sent orders that are remembered before old ones are removed.
MAX_REMEMBERED_ORDERS = 4096
# Longest time that a model load may take, in ms: with many concurrent loads
# each takes several times as long as alone.
LOAD_TIMEOUT_MS = 40_000


# The endpoint's incarnation, and the order's action, group, epoch and model.
_Identity = tuple[str, str, str, int, str]


@dataclasses.dataclass(slots=True)
class _Load:
    """A model load that was ordered.

    :param model: the model.
    :param ordered_ms: local clock when the load was ordered.
    :param is_unanswered: whether the latest order got no response, so that
        the load may not have begun.
    """

    model: str
    ordered_ms: int
    is_unanswered: bool = False


class OrderDispatcher:
    """Sends orders, repeats them at an interval, and limits model loads.

    :param settings: the process's settings.
    :param voters: this control host's part in agreement.
    :param endpoint_registry: the endpoints.
    :param client: sends orders.
    :param counters: the process's metrics.
    :ivar fenced: groups and epochs that an engine has refused to join.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        voters: agreement.Agreement,
        endpoint_registry: registry.Registry,
        client: orders.EngineClient,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._voters = voters
        self._registry = endpoint_registry
        self._client = client
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        self._sent_ms: dict[_Identity, int] = {}
        # Orders that wait to be sent, or for a response.
        self._pending: set[_Identity] = set()
        self._load_starts_ms: collections.deque[int] = collections.deque()
        self._loads: dict[str, _Load] = {}
        self.fenced: set[tuple[str, int]] = set()

    def start(
        self, index: document.RoutingIndex | None, has_traffic: bool
    ) -> None:
        """Forget the orders of an earlier time as leader.

        :param index: the document in force.
        :param has_traffic: whether model loads are limited.
        """
        self._sent_ms.clear()
        self._loads.clear()
        self.fenced.clear()
        # An earlier leader may just have ordered as many loads as the limit
        # allows, so the whole limit counts as used.
        self._load_starts_ms.clear()
        if has_traffic:
            now_ms = clock.now_ms()
            self._load_starts_ms.extend(
                [now_ms] * self._count_allowed_loads(index)
            )

    async def close(self) -> None:
        """Stop sending orders."""
        await self._tasks.close()
        self._pending.clear()

    def order(
        self,
        key: str,
        order: orders.Order,
        is_wanted: abc.Callable[[], bool] = lambda: True,
    ) -> bool:
        """Send an order unless the same waits or was sent just now.

        :param key: the endpoint's incarnation.
        :param order: the order.
        :param is_wanted: tells, when it is about to be sent, whether it still
            may be: endpoints rest from the release of their group only for
            orders that were sent before.
        :returns: whether it is sent.
        """
        now_ms = clock.now_ms()
        identity = (
            key,
            order.action.value,
            order.group,
            order.epoch,
            order.model,
        )
        if identity in self._pending:
            return False
        sent_ms = self._sent_ms.get(identity)
        if sent_ms is not None and now_ms - sent_ms < ORDER_REPEAT_MS:
            return False
        if len(self._sent_ms) > MAX_REMEMBERED_ORDERS:
            self._remove_old_orders(now_ms)
        self._pending.add(identity)
        self._tasks.start(self._send_in_turn(identity, order, is_wanted))
        return True

    def _remove_old_orders(self, now_ms: int) -> None:
        self._sent_ms = {
            identity: sent_ms
            for identity, sent_ms in self._sent_ms.items()
            if now_ms - sent_ms < ORDER_EXPIRY_MS
        }

    async def _send_in_turn(
        self,
        identity: _Identity,
        order: orders.Order,
        is_wanted: abc.Callable[[], bool],
    ) -> None:
        queued_ms = clock.now_ms()
        try:
            async with self._slots:
                if not is_wanted():
                    return
                sent_ms = clock.now_ms()
                self._counters.record_ms('order_wait', sent_ms - queued_ms)
                self._sent_ms[identity] = sent_ms
                await self._send(identity[0], order)
        finally:
            self._pending.discard(identity)

    async def _send(self, key: str, order: orders.Order) -> None:
        known = self._registry.entries.get(key)
        if known is None or not self._voters.is_leader:
            return
        sent_ms = clock.now_ms()
        outcome = await self._client.send(
            known.endpoint, order, self._voters.term
        )
        answer_ms = clock.now_ms() - sent_ms
        self._counters.record_ms('order_answer', answer_ms)
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
            answer_ms=answer_ms,
        )
        if (
            outcome is orders.OrderOutcome.FENCED
            and order.action is orders.OrderAction.JOIN
        ):
            # The endpoint can only join the group at a higher epoch.
            self.fenced.add((order.group, order.epoch))
        if outcome is orders.OrderOutcome.MISDIRECTED:
            self._registry.mark_silent(key, 'another endpoint has its address')
        if order.action is orders.OrderAction.STAGE:
            self._note_load_answer(key, order.model, outcome)

    # Model loads

    def _note_load_answer(
        self, key: str, model: str, outcome: orders.OrderOutcome
    ) -> None:
        """Note whether a load has begun, or that this isn't known.

        An engine that refuses a repeated order may be loading because of an
        earlier one that got no answer.
        """
        load = self._loads.get(key)
        if load is None or load.model != model:
            return
        may_have_begun = load.is_unanswered
        load.is_unanswered = outcome is orders.OrderOutcome.UNKNOWN
        if load.is_unanswered or may_have_begun:
            return
        if outcome is orders.OrderOutcome.STARTED:
            return
        del self._loads[key]
        # What began nothing leaves room for another load.
        with contextlib.suppress(ValueError):
            self._load_starts_ms.remove(load.ordered_ms)

    def repeat_unanswered_loads(
        self, evacuated: abc.Container[str] = ()
    ) -> None:
        """Send the orders again that may not have reached their engines.

        An engine that is loading the model, or holds it, begins nothing.

        :param evacuated: data centres in which nothing is loaded.
        """
        for key, load in list(self._loads.items()):
            if not load.is_unanswered or not self.find_loading_model(key):
                continue
            known = self._registry.entries[key]
            if known.endpoint.data_centre in evacuated:
                continue
            if known.is_usable:
                self._order_load(key, load.model)

    def _order_load(self, key: str, model: str) -> bool:
        return self.order(
            key,
            orders.Order(orders.OrderAction.STAGE, model=model),
            lambda: self.find_loading_model(key) == model,
        )

    def find_loading_model(self, key: str) -> str:
        """Return the model that an endpoint is loading; empty if none.

        :param key: its incarnation.
        """
        load = self._loads.get(key)
        if load is None:
            return ''
        known = self._registry.entries.get(key)
        is_done = known is None or load.model in known.endpoint.staged
        if is_done or clock.now_ms() - load.ordered_ms > LOAD_TIMEOUT_MS:
            del self._loads[key]
            return ''
        return load.model

    def count_loads(self) -> int:
        """Return how many model loads are in progress."""
        return len(self._loads)

    def _count_allowed_loads(self, index: document.RoutingIndex | None) -> int:
        """Return how many loads may start within the load window."""
        rates = [
            service.engine.loads_per_s
            for service in (index.model_services if index else ())
            if service.engine is not None
        ]
        window_s = self._settings.endpoints.load_window_ms / 1000
        factor = self._settings.endpoints.load_factor
        return max(1, int(min(rates, default=1.0) * window_s * factor))

    def order_load(
        self,
        index: document.RoutingIndex,
        service: document.Service,
        action: plan_types.StageModel,
        has_traffic: bool,
    ) -> None:
        """Order a model load, unless the store is at its limit of loads.

        :param index: the document in force.
        :param service: the engine's service.
        :param action: the endpoint and the model.
        :param has_traffic: whether model loads are limited.
        """
        assert service.engine is not None
        now_ms = clock.now_ms()
        window_ms = self._settings.endpoints.load_window_ms
        starts = self._load_starts_ms
        while starts and now_ms - starts[0] > window_ms:
            starts.popleft()
        if has_traffic:
            if len(starts) >= self._count_allowed_loads(index):
                return
            if len(self._loads) >= service.engine.loads_at_once:
                return
        if self._order_load(action.key, action.model):
            starts.append(now_ms)
            self._loads[action.key] = _Load(action.model, now_ms)
