"""Weighted fair queueing of requests by customer."""

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
    :param decision: future that receives the permit or the refusal.
    :param arrived_ms: local clock time when it arrived.
    :param latest_start_ms: local clock time by which it must start.
    """

    request: admission_requests.AdmissionRequest
    decision: asyncio.Future[permits.Permit | outcomes.Refusal]
    arrived_ms: int
    latest_start_ms: int

    def read_wait_ms(self) -> int:
        """Return how long the request has waited."""
        return clock.now_ms() - self.arrived_ms


class Flow:
    """One customer's waiting requests, in order of arrival."""

    __slots__ = ('customer', 'weight', 'start_tag', 'finish_tag', 'waiters')

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.weight = 1.0
        self.start_tag = 0.0
        self.finish_tag = 0.0
        self.waiters: collections.deque[Waiter] = collections.deque()


class FairQueue:
    """Start-time fair queueing: the flow with the lowest start tag is next.

    A customer that exceeds its share delays only its own requests. An idle
    customer earns no credit.
    """

    def __init__(self) -> None:
        self._flows: dict[str, Flow] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, waiter: Waiter) -> None:
        """Append a request to its customer's flow.

        :param waiter: the request.
        """
        flow = self._get_or_create_flow(waiter.request)
        if not flow.waiters:
            flow.start_tag = max(self._virtual_time, flow.finish_tag)
        flow.waiters.append(waiter)
        self._length += 1

    def pop(self, flows: list[Flow]) -> Waiter:
        """Remove and return the next request.

        :param flows: the eligible flows; at least one.
        :returns: the request.
        """
        flow = min(flows, key=lambda item: item.start_tag)
        waiter = flow.waiters.popleft()
        self._length -= 1
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        self._charge(flow, waiter.request)
        return waiter

    def charge(self, request: admission_requests.AdmissionRequest) -> None:
        """Charge its customer for a request that did not have to wait.

        :param request: the request.
        """
        flow = self._get_or_create_flow(request)
        flow.start_tag = max(self._virtual_time, flow.finish_tag)
        self._virtual_time = flow.start_tag
        self._charge(flow, request)

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request from any position of the queue.

        :param waiter: the request.
        :returns: whether it was in the queue.
        """
        flow = self._flows.get(waiter.request.customer.name)
        if flow is None or waiter not in flow.waiters:
            return False
        flow.waiters.remove(waiter)
        self._length -= 1
        return True

    def list_backlogged_flows(self) -> list[Flow]:
        """Return the flows that have waiting requests."""
        return [flow for flow in self._flows.values() if flow.waiters]

    def find_largest_backlog(self) -> Flow | None:
        """Return the flow with the most waiting requests per weight."""
        return max(
            self.list_backlogged_flows(),
            key=lambda flow: len(flow.waiters) / flow.weight,
            default=None,
        )

    def count_waiting(self, customer: str) -> int:
        """Return how many of a customer's requests wait.

        :param customer: its name.
        """
        flow = self._flows.get(customer)
        return len(flow.waiters) if flow is not None else 0

    def count_ahead(
        self, customer: str, weight: float, own_ahead: int
    ) -> float:
        """Estimate how many requests run before a customer's next one.

        :param customer: its name.
        :param weight: its weight.
        :param own_ahead: how many of the customer's own requests run before
            that one.
        """
        turns = (own_ahead + 1) / weight
        ahead = float(own_ahead)
        for flow in self._flows.values():
            if flow.waiters and flow.customer != customer:
                ahead += min(len(flow.waiters), turns * flow.weight)
        return ahead

    def forget_idle(self) -> None:
        """Drop flows without waiting requests or outstanding charges."""
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.waiters and flow.finish_tag <= self._virtual_time
        ]
        for name in idle:
            del self._flows[name]

    def __iter__(self) -> abc.Iterator[Waiter]:
        for flow in self._flows.values():
            yield from flow.waiters

    def _get_or_create_flow(
        self, request: admission_requests.AdmissionRequest
    ) -> Flow:
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
        flow.finish_tag = flow.start_tag + cost
        flow.start_tag = flow.finish_tag
