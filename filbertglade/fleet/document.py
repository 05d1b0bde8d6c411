"""The routing document: routes, services, customers and limits.

Operators send the complete document under a version; the highest version
takes effect. Unknown keys are allowed in it and ignored.
"""

import asyncio
from collections import abc
from concurrent import futures
import dataclasses
import enum
import functools
import time
import typing

import annotated_types
import orjson
import pydantic

from filbertglade.fleet import header_text
from filbertglade.observability import logs
from filbertglade import schema

log = logs.get_log(__name__)

# Set on the document's classes: newer operators' tools may send more keys.
LENIENT: pydantic.ConfigDict = {
    'extra': 'ignore',
    'strict': True,
    'allow_inf_nan': False,
}
# Largest document, in bytes: leaves room for 10,000 routes of over 1 KB.
MAX_DOCUMENT_BYTES = 16_777_216
# Items of a list that are decoded at a time: some milliseconds on a slow host.
ITEMS_PER_SLICE = 128

# Reads the process's documents: one at a time, as reading takes several
# times a document's size in memory.
_READER = futures.ThreadPoolExecutor(1, 'document')

Result = typing.TypeVar('Result')
NonEmptyText = typing.Annotated[str, annotated_types.MinLen(1)]
PositiveFloat = typing.Annotated[float, annotated_types.Gt(0)]
NonNegativeFloat = typing.Annotated[float, annotated_types.Ge(0)]
NonNegativeInt = typing.Annotated[int, annotated_types.Ge(0)]
PositiveInt = typing.Annotated[int, annotated_types.Ge(1)]


class RouteKind(enum.StrEnum):
    """Whether and how a route's requests may be retried."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


@dataclasses.dataclass(slots=True)
class WeightedService:
    """A service that receives a fraction of a route's requests.

    :param service: the service's name.
    :param weight: its weight relative to the route's other services.
    """

    __pydantic_config__ = LENIENT

    service: NonEmptyText
    weight: NonNegativeFloat = 1.0


@dataclasses.dataclass(slots=True)
class Route:
    """Where requests for a host name and path go.

    :param name: the route's name.
    :param hostname: the host name.
    :param path_prefix: prefix of the path; begins and ends with a slash.
    :param kind: whether and how requests may be retried.
    :param timeout_ms: longest time that a caller waits for its response.
    :param service: the service; not used if ``weighted_services`` is given.
    :param weighted_services: the services and their weights.
    :param objective_ms: target for the response time.
    :param gap_objective_ms: target for the longest gap between two events of
        a stream.
    :param priority: priority of its requests; 0 is the highest.
    :param max_attempts: most endpoints that a request may be sent to.
    :param public: whether requests need no key.
    :param resumable: whether another endpoint may resume a stream.
    :param allowed_regions: regions in which its requests may run; empty for
        all.
    """

    __pydantic_config__ = LENIENT

    name: NonEmptyText
    hostname: NonEmptyText
    path_prefix: NonEmptyText
    kind: RouteKind
    timeout_ms: PositiveFloat
    service: str | None = None
    weighted_services: list[WeightedService] = dataclasses.field(
        default_factory=list
    )
    objective_ms: NonNegativeFloat = 0.0
    gap_objective_ms: NonNegativeFloat = 0.0
    priority: NonNegativeInt = 0
    max_attempts: PositiveInt = 1
    public: bool = False
    resumable: bool = False
    allowed_regions: list[NonEmptyText] | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAMING and self.resumable
        )

    @property
    def weights(self) -> list[WeightedService]:
        """The route's services and their weights."""
        if self.weighted_services:
            return self.weighted_services
        return [WeightedService(self.service)] if self.service else []


@dataclasses.dataclass(slots=True)
class ModelShape:
    """A model and the group that one replica of it needs.

    :param name: the model's name.
    :param size: number of endpoints in a group.
    :param share: expected fraction of the work; the first groups are laid out
        by it, before any request has arrived.
    :param pace: factor on its processing times; above 1 is slower.
    :param load_s: time to load the model from the store.
    :param warm_s: time to join a group if the model is staged on the host.
    """

    __pydantic_config__ = LENIENT

    name: NonEmptyText
    size: PositiveInt = 1
    share: NonNegativeFloat = 1.0
    pace: PositiveFloat = 1.0
    load_s: NonNegativeFloat = 10.0
    warm_s: NonNegativeFloat = 1.0


@dataclasses.dataclass(slots=True)
class Engine:
    """Capacity and timing of a service's engines.

    :param slots: requests that a group runs concurrently.
    :param models: the models.
    :param stride: token steps in one pass, and tokens in one event.
    :param step_ms: time of a token step.
    :param per_seq_ms: time that each running request adds to a step.
    :param read_per_s: prompt tokens processed in a second.
    :param loads_per_s: model loads that may start in a second.
    :param loads_at_once: concurrent model loads beyond which each takes
        longer.
    :param form_ms: time that a head needs to open its group.
    :param far_x: factor on the processing times of a cross-domain group.
    :param usual: mean token counts of prompts and outputs.
    :param context_per_k: time that each running request adds to a step for
        every 1,000 tokens of its context, in ms.
    :param pairs_per_m: time to read a million pairs of a token and an earlier
        one, in ms.
    :param chunk: prompt tokens read in a step; 0 for any number.
    :param kv_capacity_tokens: token memory of a group; 0 if unknown.
    """

    __pydantic_config__ = LENIENT

    slots: PositiveInt
    models: list[ModelShape] = dataclasses.field(default_factory=list)
    stride: PositiveInt = 1
    step_ms: NonNegativeFloat = 10.0
    per_seq_ms: NonNegativeFloat = 0.0
    read_per_s: PositiveFloat = 10_000.0
    loads_per_s: PositiveFloat = 1.0
    loads_at_once: PositiveInt = 1
    form_ms: NonNegativeFloat = 0.0
    far_x: PositiveFloat = 1.0
    usual: dict[str, float] = dataclasses.field(default_factory=dict)
    context_per_k: NonNegativeFloat = 0.0
    pairs_per_m: NonNegativeFloat = 0.0
    chunk: NonNegativeFloat = 0.0
    kv_capacity_tokens: NonNegativeFloat = 0.0


@dataclasses.dataclass(slots=True)
class Service:
    """A service that endpoints register for.

    :param name: its name.
    :param max_connections: connections that an endpoint accepts in total.
    :param engine: capacity and timing of its engines; None for a service
        without models.
    :param cold_start_s: time that an endpoint is cold after its start.
    :param cold_per_s: requests a second that a cold endpoint takes; 0 if its
        endpoints are never cold.
    """

    __pydantic_config__ = LENIENT

    name: NonEmptyText
    max_connections: PositiveInt = 64
    engine: Engine | None = None
    cold_start_s: NonNegativeFloat = 0.0
    cold_per_s: NonNegativeFloat = 0.0

    @property
    def models(self) -> list[ModelShape]:
        """The models that it serves with groups."""
        return self.engine.models if self.engine is not None else []


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits for callers' requests and connections.

    :param max_header_bytes: largest headers.
    :param max_body_bytes: largest body.
    :param header_timeout_ms: longest time to receive the headers.
    :param idle_timeout_ms: longest idle time of a keep-alive connection.
    """

    __pydantic_config__ = LENIENT

    max_header_bytes: PositiveInt = 65_536
    max_body_bytes: PositiveInt = 4_194_304
    header_timeout_ms: PositiveInt = 10_000
    idle_timeout_ms: PositiveInt = 15_000


@dataclasses.dataclass(slots=True)
class Customer:
    """A customer that may send requests.

    :param name: the customer's name.
    :param keys: the keys that its callers send.
    :param priority: priority that overrides the route's; None to use the
        route's.
    :param allowed_regions: regions in which its requests may run; empty for
        all.
    """

    __pydantic_config__ = LENIENT

    name: NonEmptyText
    keys: list[NonEmptyText] = dataclasses.field(default_factory=list)
    priority: NonNegativeInt | None = None
    allowed_regions: list[NonEmptyText] | None = None


@dataclasses.dataclass(slots=True)
class RoutingDocument:
    """The complete document.

    :param version: its version.
    :param routes: the routes.
    :param services: the services.
    :param limits: limits for callers' requests and connections.
    :param customers: who may send requests; None if everyone may.
    """

    __pydantic_config__ = LENIENT

    version: NonNegativeInt
    routes: list[Route]
    services: list[Service]
    limits: Limits = dataclasses.field(default_factory=Limits)
    customers: list[Customer] | None = None


# The lists of a document that may be long, with their items' class.
_SLICED: dict[str, type] = {'routes': Route, 'customers': Customer}


async def read_in_turn(
    read: abc.Callable[..., Result], *arguments: typing.Any
) -> Result:
    """Read a document off the event loop, once those before it are read.

    :param read: the function that reads it.
    :param arguments: its arguments.
    :returns: its result.
    """
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(_READER, read, *arguments)


def read_document(
    text: bytes,
) -> tuple[RoutingDocument | None, list[schema.Problem]]:
    """Parse a document and check it.

    :param text: the JSON text.
    :returns: the document, or None, and every problem found.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        message = (
            f'{len(text)} bytes; at most {MAX_DOCUMENT_BYTES} are allowed'
        )
        return None, [schema.Problem(schema.ROOT_KEY, message)]
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return None, [schema.Problem(schema.ROOT_KEY, f'not JSON: {error}')]
    document, problems = _decode(data)
    if document is not None and not problems:
        problems = check_document(document)
    return (None if problems else document), problems


def read_version(text: bytes) -> tuple[int | None, list[schema.Problem]]:
    """Check a document, without keeping what was read.

    :param text: the JSON text.
    :returns: its version, or None, and every problem found.
    """
    parsed, problems = read_document(text)
    return (None if parsed is None else parsed.version), problems


def _decode(
    data: object,
) -> tuple[RoutingDocument | None, list[schema.Problem]]:
    """Decode a document, its long lists in slices.

    Decoding holds the interpreter's lock. Between two slices the other threads
    can run.
    """
    if not isinstance(data, dict):
        return schema.decode(RoutingDocument, data)
    lists = {
        key: data[key] for key in _SLICED if isinstance(data.get(key), list)
    }
    rest = {**data, **{key: [] for key in lists}}
    document, problems = schema.decode(RoutingDocument, rest)
    for key, items in lists.items():
        decoded: list[object] = []
        for start in range(0, len(items), ITEMS_PER_SLICE):
            found: list[object] | None
            found, more = schema.decode_list(
                _SLICED[key],
                items[start : start + ITEMS_PER_SLICE],
                key,
                start,
            )
            decoded += found or []
            problems += more
        if document is not None:
            setattr(document, key, decoded)
    return document, problems


def check_document(document: RoutingDocument) -> list[schema.Problem]:
    """Check the rules that involve several keys.

    :param document: a document that matches the schema.
    :returns: every problem found.
    """
    services = [service.name for service in document.services]
    problems = schema.find_duplicates(services, 'services', 'name')
    locations: set[tuple[str, str]] = set()
    for position, route in enumerate(document.routes):
        path = f'routes[{position}]'
        problems += _check_route(route, path, set(services))
        location = (route.hostname.lower(), route.path_prefix)
        if location in locations:
            problems.append(
                schema.Problem(
                    f'{path}.path_prefix',
                    f'{location[0]}{location[1]} already has another route',
                )
            )
        locations.add(location)
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
                    f'{item.service!r} is no service of the document',
                )
            )
    # The name isn't used beside weights, but an operator who left it there may
    # expect that it is.
    if route.weighted_services and route.service not in {None, *services}:
        problems.append(
            schema.Problem(
                f'{path}.service',
                f'{route.service!r} is no service of the document',
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
        if not header_text.is_sendable(customer.name):
            problems.append(
                schema.Problem(
                    f'customers[{position}].name',
                    'has a control character, or spaces at its ends',
                )
            )
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
    """A document indexed for request lookups.

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
        """The services whose models are served with groups."""
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
        """Return the customer that a key belongs to.

        :param key: the key.
        :returns: the customer, or None.
        """
        return self._customers.get(key)


def read_index(version: int, text: bytes) -> RoutingIndex | None:
    """Read an accepted document and index it.

    :param version: the document's version.
    :param text: the JSON text.
    :returns: the index; None, after a log line, if the document is invalid.
    """
    started_s = time.monotonic()
    parsed, problems = read_document(text)
    parsed_s = time.monotonic()
    if parsed is None:
        log.error(
            'document.unreadable',
            version=version,
            problems=[str(problem) for problem in problems[:4]],
        )
        return None
    index = RoutingIndex(parsed)
    log.change(
        'document.read',
        version=version,
        bytes=len(text),
        parse_ms=round(1000 * (parsed_s - started_s)),
        index_ms=round(1000 * (time.monotonic() - parsed_s)),
    )
    return index
