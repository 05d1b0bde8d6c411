"""The routing document: routes, services, customers and limits.

Operators send it whole, under a version; the highest version takes effect.
Keys that this program doesn't know are allowed in it.
"""

import dataclasses
import enum
import functools
import typing

import annotated_types
import orjson
import pydantic

from filbertglade import schema

# Set on the classes of a document: newer operators may send more keys.
LENIENT: pydantic.ConfigDict = {
    'extra': 'ignore',
    'strict': True,
    'allow_inf_nan': False,
}
# Largest body of a document, in bytes: 10,000 routes at 1 KB and more.
DOCUMENT_BYTES = 16_777_216

Text = typing.Annotated[str, annotated_types.MinLen(1)]
Positive = typing.Annotated[float, annotated_types.Gt(0)]
NotNegative = typing.Annotated[float, annotated_types.Ge(0)]
Whole = typing.Annotated[int, annotated_types.Ge(0)]
PositiveWhole = typing.Annotated[int, annotated_types.Ge(1)]


class RouteKind(enum.StrEnum):
    """What may be repeated of a route's requests."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


@dataclasses.dataclass(slots=True)
class WeightedService:
    """A service's part of a route.

    :param service: its name.
    :param weight: its part, against the other weights.
    """

    __pydantic_config__ = LENIENT

    service: Text
    weight: NotNegative = 1.0


@dataclasses.dataclass(slots=True)
class Route:
    """Where requests for a host name and path go.

    :param name: the route's name.
    :param hostname: the host name.
    :param path_prefix: what the path begins with; ends with a slash.
    :param kind: what may be repeated.
    :param timeout_ms: longest time that a caller is kept waiting.
    :param service: the service, unless several are named.
    :param weighted_services: services by weight.
    :param objective_ms: time within which an answer is on time.
    :param gap_objective_ms: longest pause of a stream that is on time.
    :param priority: rank; 0 is the highest.
    :param max_attempts: endpoints that a request may be sent to.
    :param public: whether no key is needed.
    :param resumable: whether a stream may go on at another endpoint.
    """

    __pydantic_config__ = LENIENT

    name: Text
    hostname: Text
    path_prefix: Text
    kind: RouteKind
    timeout_ms: Positive
    service: str | None = None
    weighted_services: list[WeightedService] = dataclasses.field(
        default_factory=list
    )
    objective_ms: NotNegative = 0.0
    gap_objective_ms: NotNegative = 0.0
    priority: Whole = 0
    max_attempts: PositiveWhole = 1
    public: bool = False
    resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAMING and self.resumable
        )

    @property
    def weights(self) -> list[WeightedService]:
        """Its services by weight."""
        if self.weighted_services:
            return self.weighted_services
        return [WeightedService(self.service)] if self.service else []


@dataclasses.dataclass(slots=True)
class ModelShape:
    """A model and the group that one replica of it needs.

    :param name: the model's name.
    :param size: endpoints of a group.
    :param share: its part of the work, as far as known before any came.
    :param pace: factor of the group's times.
    :param load_s: time to load it from the store.
    :param warm_s: time to join with the model staged on the host.
    """

    __pydantic_config__ = LENIENT

    name: Text
    size: PositiveWhole = 1
    share: NotNegative = 1.0
    pace: Positive = 1.0
    load_s: NotNegative = 10.0
    warm_s: NotNegative = 1.0


@dataclasses.dataclass(slots=True)
class Engine:
    """How the engines of a service work.

    :param slots: requests that a group runs at once.
    :param models: the models.
    :param stride: token steps in one pass, and tokens in one event.
    :param step_ms: time of a token step.
    :param per_seq_ms: what each running request adds to a step.
    :param read_per_s: prompt tokens read in a second.
    :param loads_per_s: loads that may begin in a second.
    :param loads_at_once: loads beyond which each takes longer.
    :param form_ms: time that a head needs to open its group.
    :param far_x: factor of a group's times whose members are far apart.
    :param usual: mean token counts of prompts and answers.
    """

    __pydantic_config__ = LENIENT

    slots: PositiveWhole
    models: list[ModelShape] = dataclasses.field(default_factory=list)
    stride: PositiveWhole = 1
    step_ms: NotNegative = 10.0
    per_seq_ms: NotNegative = 0.0
    read_per_s: Positive = 10_000.0
    loads_per_s: Positive = 1.0
    loads_at_once: PositiveWhole = 1
    form_ms: NotNegative = 0.0
    far_x: Positive = 1.0
    usual: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Service:
    """A service that endpoints register for.

    :param name: its name.
    :param max_connections: connections that an endpoint accepts from all.
    :param engine: how its engines work; None for a plain service.
    """

    __pydantic_config__ = LENIENT

    name: Text
    max_connections: PositiveWhole = 64
    engine: Engine | None = None

    @property
    def models(self) -> list[ModelShape]:
        """The models that it serves in groups."""
        return self.engine.models if self.engine is not None else []


@dataclasses.dataclass(slots=True)
class Limits:
    """Bounds of what a caller may send.

    :param max_header_bytes: largest headers.
    :param max_body_bytes: largest body.
    :param header_timeout_ms: longest time for the headers.
    :param idle_timeout_ms: how long a kept connection may be idle.
    """

    __pydantic_config__ = LENIENT

    max_header_bytes: PositiveWhole = 65_536
    max_body_bytes: PositiveWhole = 4_194_304
    header_timeout_ms: PositiveWhole = 10_000
    idle_timeout_ms: PositiveWhole = 15_000


@dataclasses.dataclass(slots=True)
class Customer:
    """Who may send requests.

    :param name: the customer's name.
    :param keys: the keys that its callers send.
    :param priority: rank that goes before the route's; None if it has none.
    """

    __pydantic_config__ = LENIENT

    name: Text
    keys: list[Text] = dataclasses.field(default_factory=list)
    priority: Whole | None = None


@dataclasses.dataclass(slots=True)
class RoutingDocument:
    """The whole document.

    :param version: its version.
    :param routes: the routes.
    :param services: the services.
    :param limits: bounds of what callers may send.
    :param customers: who may send requests; None if anybody may.
    """

    __pydantic_config__ = LENIENT

    version: Whole
    routes: list[Route]
    services: list[Service]
    limits: Limits = dataclasses.field(default_factory=Limits)
    customers: list[Customer] | None = None


def read_document(
    text: bytes,
) -> tuple[RoutingDocument | None, list[schema.Problem]]:
    """Read a document and check it whole.

    :param text: the JSON text.
    :returns: the document, or None, and every problem found.
    """
    if len(text) > DOCUMENT_BYTES:
        message = f'{len(text)} bytes; at most {DOCUMENT_BYTES} are allowed'
        return None, [schema.Problem(schema.WHOLE, message)]
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return None, [schema.Problem(schema.WHOLE, f'not JSON: {error}')]
    document, problems = schema.decode(RoutingDocument, data)
    if document is not None:
        problems = check_document(document)
    return (None if problems else document), problems


def check_document(document: RoutingDocument) -> list[schema.Problem]:
    """Check what spans several keys.

    :param document: a document of the right shape.
    :returns: every problem found.
    """
    services = [service.name for service in document.services]
    problems = schema.find_duplicates(services, 'services', 'name')
    places: set[tuple[str, str]] = set()
    for position, route in enumerate(document.routes):
        path = f'routes[{position}]'
        problems += _check_route(route, path, set(services))
        place = (route.hostname.lower(), route.path_prefix)
        if place in places:
            problems.append(
                schema.Problem(
                    f'{path}.path_prefix',
                    f'{place[0]}{place[1]} has another route',
                )
            )
        places.add(place)
    return problems + _check_keys(document.customers or [])


def _check_route(
    route: Route, path: str, services: set[str]
) -> list[schema.Problem]:
    problems = []
    for item in route.weights:
        if item.service not in services:
            problems.append(
                schema.Problem(
                    f'{path}.weighted_services',
                    f'{item.service!r} is no service',
                )
            )
    if sum(item.weight for item in route.weights) <= 0:
        problems.append(
            schema.Problem(
                f'{path}.weighted_services', 'the weights add up to 0'
            )
        )
    prefix = route.path_prefix
    if not (prefix.startswith('/') and prefix.endswith('/')):
        problems.append(
            schema.Problem(
                f'{path}.path_prefix', 'must begin and end with a slash'
            )
        )
    return problems


def _check_keys(customers: list[Customer]) -> list[schema.Problem]:
    problems = []
    owners: dict[str, str] = {}
    for position, customer in enumerate(customers):
        for key in customer.keys:
            owner = owners.setdefault(key, customer.name)
            if owner != customer.name:
                problems.append(
                    schema.Problem(
                        f'customers[{position}].keys',
                        f'{customer.name!r} shares a key with {owner!r}',
                    )
                )
    return problems


class RoutingIndex:
    """A document prepared for looking requests up.

    :param document: the document.
    """

    def __init__(self, document: RoutingDocument) -> None:
        self.document = document
        self.services = {item.name: item for item in document.services}
        self._routes: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            by_prefix = self._routes.setdefault(route.hostname.lower(), {})
            by_prefix[route.path_prefix] = route
        self._customers = {
            key: customer
            for customer in document.customers or []
            for key in customer.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests must carry a key unless their route is public."""
        return self.document.customers is not None

    @functools.cached_property
    def model_services(self) -> list[Service]:
        """The services whose models are served in groups."""
        return [item for item in self.document.services if item.models]

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param hostname: the host name, without a port.
        :param path: the path, without its query.
        :returns: the route, or None.
        """
        by_prefix = self._routes.get(hostname.lower())
        if by_prefix is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_customer(self, key: str) -> Customer | None:
        """Return who holds a key.

        :param key: the key.
        :returns: the customer, or None.
        """
        return self._customers.get(key)
