"""Orders to engines, and the client that sends them."""

import abc
import dataclasses
import enum
import json

from tornado import httpclient

from filbertglade.fleet import dialects
from filbertglade.fleet import endpoints
from filbertglade.fleet import statements
from filbertglade.inner import fleet_pb2

# Time-out of an order, in ms. Engines respond at once; an order without a
# response may still be carried out later.
ORDER_TIMEOUT_MS = 500
# Time-out of a probe, in ms: several round trips between data centres.
PROBE_TIMEOUT_MS = 160
MAX_CONCURRENT_REQUESTS = 128
# Longest response to an order or a probe, in bytes: only its status counts.
# All concurrent ones together fit in a control host's memory.
MAX_RESPONSE_BYTES = 131_072


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


_OUTCOMES = {
    200: OrderOutcome.ALREADY_DONE,
    202: OrderOutcome.STARTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.MISDIRECTED,
}


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


class HttpEngineClient(EngineClient):
    """Sends orders and probes over HTTP.

    :param dialect: names of headers and paths.
    :param stated: what engines state in their answers.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        stated: statements.EndpointStatements,
    ) -> None:
        self._dialect = dialect
        self._stated = stated
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_REQUESTS,
            max_buffer_size=MAX_RESPONSE_BYTES,
            max_body_size=MAX_RESPONSE_BYTES,
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def send(
        self, endpoint: fleet_pb2.Endpoint, order: Order, fencing_token: int
    ) -> OrderOutcome:
        """Send one order.

        :param endpoint: the engine.
        :param order: the order.
        :param fencing_token: higher with each leader.
        :returns: the outcome.
        """
        if self._stated.find_pause_ms(endpoints.get_key(endpoint)):
            return OrderOutcome.REFUSED
        body = json.dumps(order.build_body(fencing_token))
        status = await self._fetch(
            endpoint,
            'POST',
            self._dialect.order_path,
            body,
            ORDER_TIMEOUT_MS,
        )
        if status is None:
            return OrderOutcome.UNKNOWN
        return _OUTCOMES.get(status, OrderOutcome.REFUSED)

    async def probe(self, endpoint: fleet_pb2.Endpoint) -> bool:
        """Check whether an engine responds.

        :param endpoint: the engine.
        :returns: whether it responded in time.
        """
        key = endpoints.get_key(endpoint)
        if self._stated.find_pause_ms(key):
            # It has just answered; its announcements tell if it ends.
            return True
        status = await self._fetch(
            endpoint,
            'GET',
            self._dialect.report_path,
            None,
            PROBE_TIMEOUT_MS,
        )
        return status == 200 or self._stated.find_pause_ms(key) > 0

    async def _fetch(
        self,
        endpoint: fleet_pb2.Endpoint,
        method: str,
        path: str,
        body: str | None,
        timeout_ms: int,
    ) -> int | None:
        """Return the response's status; None without a response."""
        request = httpclient.HTTPRequest(
            f'http://{endpoint.address}{path}',
            method=method,
            headers={
                'Content-Type': 'application/json',
                self._dialect.target: endpoint.id,
            },
            body=body,
            connect_timeout=timeout_ms / 1000,
            request_timeout=timeout_ms / 1000,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            # Time-outs are raised even where error statuses are not.
            return None
        if response.code == 599:
            return None
        status = int(response.code)
        self._stated.read(
            endpoints.get_key(endpoint), status, response.headers
        )
        return status
