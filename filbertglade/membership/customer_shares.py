"""Divides customers' limits among the nodes by the demand they report."""

import typing

from filbertglade.inner import membership_pb2

# Fraction of a limit that is divided evenly, so that a node that receives its
# first request of a customer need not wait for a share.
EVEN_FRACTION = 0.2
# A share is sent again when it has changed by more than this fraction of the
# value last sent.
MIN_CHANGE_FRACTION = 0.05


class ShareTable:
    """Demand by customer, of each node and in total."""

    def __init__(self) -> None:
        self._totals: dict[str, float] = {}
        self._demand: dict[str, dict[str, float]] = {}

    def refresh(
        self, reports: typing.Iterable[membership_pb2.NodeReport]
    ) -> None:
        """Replace the demand by the nodes' newest reports.

        :param reports: the newest report of each node.
        """
        self._totals = {}
        self._demand = {}
        for report in reports:
            own = self._demand.setdefault(report.node, {})
            for demand in report.demand:
                rate = max(0.0, demand.requests_per_s)
                own[demand.customer] = rate
                total = self._totals.get(demand.customer, 0.0)
                self._totals[demand.customer] = total + rate

    def divide(self, node: str) -> dict[str, float]:
        """Return a node's fraction of each customer's limits.

        :param node: the node's name.
        :returns: fractions by customer; over all nodes they add up to 1.
        """
        own = self._demand.get(node, {})
        even = 1 / max(1, len(self._demand))
        return {
            customer: _compute_fraction(own.get(customer, 0.0), total, even)
            for customer, total in self._totals.items()
        }


def _compute_fraction(own: float, total: float, even: float) -> float:
    if total <= 0:
        return even
    return EVEN_FRACTION * even + (1 - EVEN_FRACTION) * own / total


class ShareWriter:
    """Writes one node's changed shares into its frames.

    :param table: the demand.
    :param node: the node's name.
    """

    def __init__(self, table: ShareTable, node: str) -> None:
        self._table = table
        self._node = node
        self._sent: dict[str, float] = {}

    def write(self, frame: membership_pb2.ControlFrame) -> None:
        """Write changed shares into a frame.

        :param frame: the frame to fill.
        """
        fractions = self._table.divide(self._node)
        for customer, fraction in fractions.items():
            before = self._sent.get(customer, 0.0)
            if abs(fraction - before) > MIN_CHANGE_FRACTION * before:
                frame.shares.add(customer=customer, fraction=fraction)
                self._sent[customer] = fraction
        for customer in [name for name in self._sent if name not in fractions]:
            del self._sent[customer]
