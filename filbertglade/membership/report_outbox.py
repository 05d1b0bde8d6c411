"""A bounded outbox of a node's reports, which its next frames carry."""

import collections
import typing

from filbertglade import clock
from filbertglade.inner import membership_pb2
from filbertglade.membership import send_trigger

MAX_QUEUED_EVENTS = 1000
EVENTS_PER_FRAME = 32
CACHE_HASHES_PER_FRAME = 64
REPORTED_CUSTOMERS = 1000

Message = typing.TypeVar('Message')


class ReportOutbox:
    """Losses, strikes, cache events and demand that one node reports.

    Each queue of events is bounded and drops its oldest event when it is
    full. Demand is reported for a bounded number of customers.

    :param node: the node's name.
    :ivar send_trigger: fires for a strike, which is reported before the next
        regular frame.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self.send_trigger = send_trigger.SendTrigger()
        self._losses: collections.deque[
            tuple[int, membership_pb2.HostLoss]
        ] = collections.deque(maxlen=MAX_QUEUED_EVENTS)
        self._strikes: collections.deque[tuple[int, membership_pb2.Strike]] = (
            collections.deque(maxlen=MAX_QUEUED_EVENTS)
        )
        self._cache_events: collections.deque[membership_pb2.CacheEvent] = (
            collections.deque(maxlen=MAX_QUEUED_EVENTS)
        )
        self._demand: dict[str, membership_pb2.CustomerDemand] = {}

    def add_loss(self, host: str, run: str) -> None:
        """Report a failed connection.

        :param host: the host.
        :param run: the run of the host's process that was lost.
        """
        loss = membership_pb2.HostLoss(host=host, run=run, node=self._node)
        self._losses.append((clock.now_ms(), loss))

    def add_strike(self, digest: bytes, group: str) -> membership_pb2.Strike:
        """Report that an endpoint crashed while it ran a request.

        :param digest: identifies the request.
        :param group: the group that ran it.
        :returns: the strike.
        """
        strike = membership_pb2.Strike(
            digest=digest, group=group, node=self._node
        )
        self._strikes.append((clock.now_ms(), strike))
        self.send_trigger.fire()
        return strike

    def add_cache_event(self, event: membership_pb2.CacheEvent) -> None:
        """Report an event of a group's prefix cache.

        :param event: the event.
        """
        self._cache_events.append(event)

    def set_demand(
        self, customer: str, requests_per_s: float, tokens_per_s: float
    ) -> None:
        """Set the demand to report for a customer.

        If both rates are 0, the customer is no longer reported.

        :param customer: its name.
        :param requests_per_s: requests a second.
        :param tokens_per_s: tokens a second.
        """
        if not requests_per_s and not tokens_per_s:
            self._demand.pop(customer, None)
        elif customer in self._demand or (
            len(self._demand) < REPORTED_CUSTOMERS
        ):
            self._demand[customer] = membership_pb2.CustomerDemand(
                customer=customer,
                requests_per_s=requests_per_s,
                tokens_per_s=tokens_per_s,
            )

    def write(self, frame: membership_pb2.NodeFrame) -> None:
        """Move as many reports into a frame as it may carry.

        :param frame: the frame to fill.
        """
        now_ms = clock.now_ms()
        frame.report.demand.extend(self._demand.values())
        for added_ms, loss in _take_batch(self._losses):
            loss.age_ms = now_ms - added_ms
            frame.losses.append(loss)
        for added_ms, strike in _take_batch(self._strikes):
            strike.age_ms = now_ms - added_ms
            frame.strikes.append(strike)
        self._write_cache_events(frame)

    def _write_cache_events(self, frame: membership_pb2.NodeFrame) -> None:
        hashes_left = CACHE_HASHES_PER_FRAME
        while self._cache_events and hashes_left > 0:
            event = self._cache_events.popleft()
            hashes_left -= len(event.stored) + len(event.evicted)
            frame.cache_events.append(event)


def _take_batch(waiting: collections.deque[Message]) -> list[Message]:
    count = min(EVENTS_PER_FRAME, len(waiting))
    return [waiting.popleft() for _ in range(count)]
