"""Orders to the hosts of a group and the client that sends them."""

import abc
import dataclasses
import enum
import json

from tornado import httpclient

from filbertglade.configuration import model as configuration_model
from filbertglade import failures
from filbertglade import http_statuses
from filbertglade.inner import commands_pb2

ORDER_PATH = '/v1/order'
MAX_PARALLEL_ORDERS = 64


class OrderAction(enum.StrEnum):
    """What a host is ordered to do."""

    # Load the model and serve in the group.
    LOAD = 'load'
    # Load the weights without joining a group.
    PRELOAD = 'preload'
    # Announce that it no longer serves, but complete further requests.
    DRAIN = 'drain'
    # Leave the group and unload the model.
    RELEASE = 'release'


class OrderReason(enum.Enum):
    """Why an order failed."""

    UNREACHABLE = 'unreachable'
    # The host has seen a higher fencing number.
    FENCED = 'fenced'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True)
class Order:
    """An order to one host; it is idempotent.

    :param action: what to do.
    :param fencing_number: a host that checks fencing numbers refuses a number
        lower than the highest it has seen.
    :param group: the group.
    :param epoch: its epoch.
    :param deployment: its deployment's name.
    :param model: the model to load.
    :param adapter: the adapter to load onto the model, or empty.
    :param version: the model's version.
    :param hosts: hosts of the group; the first receives the requests.
    """

    action: OrderAction
    fencing_number: int
    group: str
    epoch: int
    deployment: str = ''
    model: str = ''
    adapter: str = ''
    version: str = ''
    hosts: list[str] = dataclasses.field(default_factory=list)

    @property
    def weights(self) -> str:
        """The ``holds`` value of a host that has loaded these weights."""
        return _join_weights(self.model, self.adapter, self.version)


def name_weights(deployment: configuration_model.Deployment) -> str:
    """Return the ``holds`` value of hosts with a deployment's weights.

    :param deployment: the deployment.
    """
    return _join_weights(
        deployment.model, deployment.adapter, deployment.version
    )


def _join_weights(model: str, adapter: str, version: str) -> str:
    return f'{model}/{adapter}/{version}'


def build_preload(
    deployment: configuration_model.Deployment, fencing_number: int
) -> Order:
    """Return the order to load a deployment's weights without a group.

    :param deployment: the deployment.
    :param fencing_number: the fencing number.
    """
    return Order(
        action=OrderAction.PRELOAD,
        fencing_number=fencing_number,
        group='',
        epoch=0,
        deployment=deployment.name,
        model=deployment.model,
        adapter=deployment.adapter,
        version=deployment.version,
    )


def build_load(record: commands_pb2.GroupRecord) -> Order:
    """Return the order to load a group's model and serve in it.

    :param record: the group.
    """
    return Order(
        action=OrderAction.LOAD,
        fencing_number=record.fencing_number,
        group=record.group,
        epoch=record.epoch,
        deployment=record.deployment,
        model=record.model,
        adapter=record.adapter,
        version=record.version,
        hosts=list(record.hosts),
    )


class OrderClient(abc.ABC):
    """Sends orders to hosts."""

    @abc.abstractmethod
    async def send(
        self, address: str, order: Order
    ) -> None | failures.Failure:
        """Send one order.

        :param address: the host's order address.
        :param order: the order.
        :returns: None once the host accepted the order, or the failure.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections."""


class HttpOrderClient(OrderClient):
    """Sends orders over HTTP.

    :param timeout_ms: time-out of one order.
    """

    def __init__(self, timeout_ms: int) -> None:
        self._timeout_s = timeout_ms / 1000
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_PARALLEL_ORDERS
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def send(
        self, address: str, order: Order
    ) -> None | failures.Failure:
        """Send one order.

        :param address: the host's order address.
        :param order: the order.
        :returns: None once the host accepted the order, or the failure.
        """
        request = httpclient.HTTPRequest(
            f'http://{address}{ORDER_PATH}',
            method='POST',
            headers={'Content-Type': 'application/json'},
            body=json.dumps(dataclasses.asdict(order)),
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            # Time-outs and cut answers are raised, other than error statuses.
            return failures.Failure(OrderReason.UNREACHABLE, str(error))
        if response.code == 200:
            return None
        if response.code == 409:
            return failures.Failure(OrderReason.FENCED, address)
        if response.code == 599 or not http_statuses.is_final(response.code):
            return failures.Failure(OrderReason.UNREACHABLE, address)
        return failures.Failure(OrderReason.REFUSED, f'{response.code}')
