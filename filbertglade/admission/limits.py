"""Customers' limits, shared over the nodes."""

import dataclasses
import math

from filbertglade.admission import rates
from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.membership import view

BURST_MS = 1000
FORGET_MS = 60_000
# A share fades, but a first request after a pause must not wait for long.
LEAST_SHARE = 0.01


@dataclasses.dataclass(slots=True)
class Demand:
    """What a customer asks of this node.

    :param customer: its name.
    :param requests_per_s: requests that arrived, refused ones included.
    :param tokens_per_s: tokens that they were expected to cost.
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
        'used_ms',
        '_allowance',
        '_filled_ms',
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.requests = rates.Rate()
        self.tokens = rates.Rate()
        self.used_ms = clock.now_ms()
        self._allowance: float | None = None
        self._filled_ms = self.used_ms

    def take_allowance(self, requests_per_s: float) -> int:
        """Take the right to one request from a bucket that fills steadily.

        :param requests_per_s: how fast it fills; it holds a second's worth,
            at least one.
        :returns: 0 if it was taken, else milliseconds until there is one.
        """
        now_ms = clock.now_ms()
        most = max(1.0, requests_per_s * BURST_MS / 1000)
        if self._allowance is None:
            self._allowance = most
        filled = (now_ms - self._filled_ms) * requests_per_s / 1000
        self._allowance = min(most, self._allowance + filled)
        self._filled_ms = now_ms
        if self._allowance >= 1:
            self._allowance -= 1
            return 0
        return math.ceil((1 - self._allowance) * 1000 / requests_per_s)


class CustomerLimits:
    """Limits of all customers on this node."""

    def __init__(self, fleet: view.FleetView) -> None:
        self._fleet = fleet
        self._accounts: dict[str, CustomerAccount] = {}

    def open(self, customer: str) -> CustomerAccount:
        """Return a customer's account.

        :param customer: its name.
        """
        found = self._accounts.get(customer)
        if found is None:
            found = self._accounts[customer] = CustomerAccount()
        return found

    def read_share(self, customer: str) -> float:
        """Return this node's part of a customer's limits.

        :param customer: its name.
        :returns: from 0 to 1; 1 while no part has been told.
        """
        return self._fleet.shares.get(customer, 1.0)

    def note_arrival(self, customer: str, tokens: int) -> None:
        """Note a request, whatever becomes of it.

        :param customer: who sent it.
        :param tokens: what it is expected to cost.
        """
        account = self.open(customer)
        account.used_ms = clock.now_ms()
        account.requests.add()
        account.tokens.add(tokens)

    def enter(self, customer: configuration_model.Customer) -> int:
        """Count a request in if the customer's limits allow it.

        :param customer: who sent it.
        :returns: 0 if it was counted in, else milliseconds after which
            another try may succeed.
        """
        account = self.open(customer.name)
        share = self.read_share(customer.name)
        most = max(1, math.ceil(customer.concurrent_requests * share))
        if account.in_flight >= most:
            return BURST_MS
        least_rate = customer.requests_per_s * LEAST_SHARE
        rate = max(customer.requests_per_s * share, least_rate)
        wait_ms = account.take_allowance(rate)
        if not wait_ms:
            account.in_flight += 1
        return wait_ms

    def leave(self, customer: str) -> None:
        """Count a request out.

        :param customer: who sent it.
        """
        self.open(customer).in_flight -= 1

    def demand(self) -> list[Demand]:
        """Return what each customer asks of this node."""
        return [
            Demand(name, account.requests.read(), account.tokens.read())
            for name, account in self._accounts.items()
        ]

    def forget_idle(self) -> list[str]:
        """Drop the accounts of customers that have not called for long.

        :returns: their names.
        """
        oldest_ms = clock.now_ms() - FORGET_MS
        idle = [
            name
            for name, account in self._accounts.items()
            if not account.in_flight and account.used_ms < oldest_ms
        ]
        for name in idle:
            del self._accounts[name]
        return idle
