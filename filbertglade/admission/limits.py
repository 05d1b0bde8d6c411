"""Customers' limits, divided among the nodes."""

import dataclasses
import math

from filbertglade.admission import rates
from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.membership import view

BURST_MS = 1000
FORGET_MS = 60_000
# A node's fraction decays while the customer does not call it; the minimum
# keeps the first request after a pause from a long wait.
MIN_NODE_FRACTION = 0.01


@dataclasses.dataclass(slots=True)
class Demand:
    """A customer's demand on this node.

    :param customer: the customer's name.
    :param requests_per_s: rate of arriving requests, including refused ones.
    :param tokens_per_s: rate of the tokens that they are expected to cost.
    """

    customer: str
    requests_per_s: float
    tokens_per_s: float


class CustomerAccount:
    """A customer's use of its limits on this node."""

    __slots__ = (
        'in_flight',
        'requests',
        'tokens',
        'last_used_ms',
        '_allowance',
        '_refilled_ms',
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.requests = rates.DecayingRate()
        self.tokens = rates.DecayingRate()
        self.last_used_ms = clock.now_ms()
        self._allowance: float | None = None
        self._refilled_ms = self.last_used_ms

    def take_allowance(self, requests_per_s: float) -> int:
        """Take one request from the token bucket of the request rate.

        :param requests_per_s: refill rate; the bucket holds the requests of
            one second, at least one.
        :returns: 0 if it was taken, else milliseconds until the bucket holds
            one.
        """
        now_ms = clock.now_ms()
        bucket_size = max(1.0, requests_per_s * BURST_MS / 1000)
        if self._allowance is None:
            self._allowance = bucket_size
        filled = (now_ms - self._refilled_ms) * requests_per_s / 1000
        self._allowance = min(bucket_size, self._allowance + filled)
        self._refilled_ms = now_ms
        if self._allowance >= 1:
            self._allowance -= 1
            return 0
        return math.ceil((1 - self._allowance) * 1000 / requests_per_s)


class CustomerLimits:
    """Limits of all customers, as far as they apply to this node."""

    def __init__(self, fleet: view.FleetView) -> None:
        self._fleet = fleet
        self._accounts: dict[str, CustomerAccount] = {}

    def get_or_create(self, customer: str) -> CustomerAccount:
        """Return a customer's account; create it if there is none.

        :param customer: its name.
        """
        found = self._accounts.get(customer)
        if found is None:
            found = self._accounts[customer] = CustomerAccount()
        return found

    def read_node_fraction(self, customer: str) -> float:
        """Return this node's fraction of a customer's limits.

        :param customer: its name.
        :returns: from 0 to 1; 1 until a fraction has been received.
        """
        return self._fleet.shares.get(customer, 1.0)

    def note_arrival(self, customer: str, tokens: int) -> None:
        """Record the arrival of a request, admitted or not.

        :param customer: name of the customer that sent it.
        :param tokens: tokens that it is expected to cost.
        """
        account = self.get_or_create(customer)
        account.last_used_ms = clock.now_ms()
        account.requests.add()
        account.tokens.add(tokens)

    def try_acquire(self, customer: configuration_model.Customer) -> int:
        """Count a request as in flight if the customer's limits allow it.

        :param customer: the customer that sent it.
        :returns: 0 if it was counted, else milliseconds after which another
            attempt may succeed.
        """
        account = self.get_or_create(customer.name)
        node_fraction = self.read_node_fraction(customer.name)
        max_in_flight = max(
            1, math.ceil(customer.concurrent_requests * node_fraction)
        )
        if account.in_flight >= max_in_flight:
            return BURST_MS
        min_rate = customer.requests_per_s * MIN_NODE_FRACTION
        rate = max(customer.requests_per_s * node_fraction, min_rate)
        wait_ms = account.take_allowance(rate)
        if not wait_ms:
            account.in_flight += 1
        return wait_ms

    def release(self, customer: str) -> None:
        """Count a request as no longer in flight.

        :param customer: name of the customer that sent it.
        """
        self.get_or_create(customer).in_flight -= 1

    def demand(self) -> list[Demand]:
        """Return each customer's demand on this node."""
        return [
            Demand(name, account.requests.read(), account.tokens.read())
            for name, account in self._accounts.items()
        ]

    def forget_idle(self) -> list[str]:
        """Drop the accounts that have been idle for ``FORGET_MS``.

        :returns: the names of their customers.
        """
        oldest_ms = clock.now_ms() - FORGET_MS
        idle = [
            name
            for name, account in self._accounts.items()
            if not account.in_flight and account.last_used_ms < oldest_ms
        ]
        for name in idle:
            del self._accounts[name]
        return idle
