"""Weighted fair queue by customer."""

import asyncio
import collections
from collections import abc
import dataclasses

from filbertglade.admission import admission_requests
from filbertglade.admission import permits
from filbertglade import clock
from filbertglade.requests import outcomes


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for its permit.

    :param request: the request.
    :param decided: gets the permit or the refusal.
    :param arrived_ms: local clock when it came.
    :param latest_ms: local clock by which it must start.
    """

    request: admission_requests.AdmissionRequest
    decided: asyncio.Future[permits.Permit | outcomes.Refusal]
    arrived_ms: int
    latest_ms: int

    def read_wait_ms(self) -> int:
        """Return how long it has waited."""
        return clock.now_ms() - self.arrived_ms


class Flow:
    """One customer's requests, in the order they came."""

    __slots__ = ('customer', 'weight', 'start', 'finish', 'waiters')

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.weight = 1.0
        self.start = 0.0
        self.finish = 0.0
        self.waiters: collections.deque[Waiter] = collections.deque()


class FairQueue:
    """Start-time fair queueing: the flow with the least start tag is next.

    A customer that asks for more than its share only makes its own requests
    wait; one that was idle gets no credit for it.
    """

    def __init__(self) -> None:
        self._flows: dict[str, Flow] = {}
        self._virtual = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, waiter: Waiter) -> None:
        """Put a request at its customer's end.

        :param waiter: the request.
        """
        flow = self._open(waiter.request)
        if not flow.waiters:
            flow.start = max(self._virtual, flow.finish)
        flow.waiters.append(waiter)
        self._length += 1

    def pop(self, flows: list[Flow]) -> Waiter:
        """Take the request that is next.

        :param flows: those that may be next; at least one.
        :returns: the request.
        """
        flow = min(flows, key=lambda item: item.start)
        waiter = flow.waiters.popleft()
        self._length -= 1
        self._virtual = max(self._virtual, flow.start)
        self._charge(flow, waiter.request)
        return waiter

    def charge(self, request: admission_requests.AdmissionRequest) -> None:
        """Charge a request that did not have to wait.

        :param request: the request.
        """
        flow = self._open(request)
        flow.start = max(self._virtual, flow.finish)
        self._virtual = flow.start
        self._charge(flow, request)

    def remove(self, waiter: Waiter) -> bool:
        """Take a request out, wherever it stands.

        :param waiter: the request.
        :returns: whether it was in the queue.
        """
        flow = self._flows.get(waiter.request.customer.name)
        if flow is None or waiter not in flow.waiters:
            return False
        flow.waiters.remove(waiter)
        self._length -= 1
        return True

    def list_flows(self) -> list[Flow]:
        """Return the flows of customers that wait."""
        return [flow for flow in self._flows.values() if flow.waiters]

    def find_longest(self) -> Flow | None:
        """Return the flow that holds most for its weight, if any."""
        return max(
            self.list_flows(),
            key=lambda flow: len(flow.waiters) / flow.weight,
            default=None,
        )

    def count_waiting(self, customer: str) -> int:
        """Return how many requests of a customer wait.

        :param customer: its name.
        """
        flow = self._flows.get(customer)
        return len(flow.waiters) if flow is not None else 0

    def count_ahead(self, customer: str, weight: float, own: int) -> float:
        """Return about how many requests go before a customer's next one.

        :param customer: its name.
        :param weight: its weight.
        :param own: how many of its own requests go before that one.
        """
        turns = (own + 1) / weight
        ahead = float(own)
        for flow in self._flows.values():
            if flow.waiters and flow.customer != customer:
                ahead += min(len(flow.waiters), turns * flow.weight)
        return ahead

    def forget_idle(self) -> None:
        """Drop customers that wait for nothing and owe nothing."""
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.waiters and flow.finish <= self._virtual
        ]
        for name in idle:
            del self._flows[name]

    def __iter__(self) -> abc.Iterator[Waiter]:
        for flow in self._flows.values():
            yield from flow.waiters

    def _open(self, request: admission_requests.AdmissionRequest) -> Flow:
        name = request.customer.name
        flow = self._flows.get(name)
        if flow is None:
            flow = self._flows[name] = Flow(name)
        flow.weight = request.customer.weight
        return flow

    def _charge(
        self, flow: Flow, request: admission_requests.AdmissionRequest
    ) -> None:
        cost = max(1, request.expected_tokens) / request.customer.weight
        flow.finish = flow.start + cost
        flow.start = flow.finish
