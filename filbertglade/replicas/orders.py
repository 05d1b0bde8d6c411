"""Orders to engines, and what sends them."""

import abc
import dataclasses
import enum

from filbertglade.inner import fleet_pb2

# Time-out of an order, in ms. Engines respond at once; an order without a
# response may still be carried out later.
ORDER_TIMEOUT_MS = 500


class OrderAction(enum.StrEnum):
    """What an order tells an engine to do."""

    JOIN = 'join'
    OPEN = 'open'
    CLOSE = 'close'
    LEAVE = 'leave'
    STAGE = 'stage'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to an engine.

    :param action: what to do.
    :param group: the group that the order is about.
    :param epoch: the group's epoch.
    :param model: the model to join with or to stage.
    :param members: ids of the group's members, the head first.
    """

    action: OrderAction
    group: str = ''
    epoch: int = 0
    model: str = ''
    members: tuple[str, ...] = ()

    def build_body(self, fencing_token: int) -> dict[str, object]:
        """Return the request body, before it is encoded as JSON.

        :param fencing_token: higher with each leader; engines refuse orders
            with a lower one than they have seen.
        """
        body: dict[str, object] = {
            'action': self.action.value,
            'fencing_token': fencing_token,
        }
        if self.group:
            body['group'] = self.group
            body['epoch'] = self.epoch
        if self.model:
            body['model'] = self.model
        if self.members:
            body['members'] = list(self.members)
        return body


class OrderOutcome(enum.Enum):
    """Outcome of an order."""

    STARTED = 'begun'
    # The engine is in the ordered state already.
    ALREADY_DONE = 'holds'
    # The engine's present state doesn't allow the order.
    CONFLICT = 'unfit'
    # The engine has seen a newer epoch or fencing token.
    FENCED = 'fenced'
    # Another endpoint has taken over the address.
    MISDIRECTED = 'misdirected'
    REFUSED = 'refused'
    # No response: the order may still be carried out later.
    UNKNOWN = 'unknown'


OUTCOMES = {
    200: OrderOutcome.ALREADY_DONE,
    202: OrderOutcome.STARTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.MISDIRECTED,
}
"""Outcomes by the status of an engine's response; any other is refused."""


class EngineClient(abc.ABC):
    """Sends orders and probes to engines."""

    @abc.abstractmethod
    async def send(
        self, endpoint: fleet_pb2.Endpoint, order: Order, fencing_token: int
    ) -> OrderOutcome:
        """Send one order.

        :param endpoint: the engine.
        :param order: the order.
        :param fencing_token: higher with each leader.
        :returns: the outcome.
        """

    @abc.abstractmethod
    async def probe(self, endpoint: fleet_pb2.Endpoint) -> bool:
        """Check whether an engine responds.

        :param endpoint: the engine.
        :returns: whether it responded in time.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections."""
