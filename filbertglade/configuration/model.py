"""The configuration document: customers, deployments, services, limits."""

import dataclasses
import enum
import typing

import annotated_types
import pydantic

from filbertglade import schema
from filbertglade.settings import values

MAX_NUMBER = 2**53 - 1  # larger integers lose digits in some JSON parsers

Name = values.Name
Sha256 = values.Sha256
Count = values.Count
Duration = values.Duration
Weight = typing.Annotated[
    float, annotated_types.Gt(0), annotated_types.Le(1e9)
]
Priority = typing.Annotated[int, annotated_types.Ge(0), annotated_types.Le(9)]
Number = typing.Annotated[
    int, annotated_types.Ge(1), annotated_types.Le(MAX_NUMBER)
]
ChangeId = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^[!-~]{1,128}$')
]
OptionalName = typing.Annotated[
    str,
    pydantic.AfterValidator(lambda text: text and values.check_name(text)),
]
Method = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^(\*|[A-Z]{1,16})$')
]
PathPrefix = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^/', max_length=1024)
]


class Objective(enum.StrEnum):
    """What a deployment's repair policy minimises."""

    # Time in which a replica does not serve.
    DOWNTIME = 'downtime'
    # Healthy hosts that idle because their group is incomplete.
    STRANDED = 'stranded'


class Fencing(enum.StrEnum):
    """Whether hosts refuse orders with an outdated fencing number."""

    CHECKED = 'checked'
    IGNORED = 'ignored'


@dataclasses.dataclass(slots=True)
class Customer:
    """A company that sends requests to the system.

    :param name: its name.
    :param key_sha256: SHA-256 of its key, hexadecimal.
    :param weight: its share of contended capacity, relative to the weights
        of other customers.
    :param requests_per_s: limit of its request rate over all nodes.
    :param concurrent_requests: limit of its concurrent requests over all
        nodes.
    """

    __pydantic_config__ = schema.STRICT

    name: Name
    key_sha256: Sha256
    weight: Weight = 1.0
    requests_per_s: Weight = 100.0
    concurrent_requests: Count = 100


@dataclasses.dataclass(slots=True)
class Deployment:
    """A version of a model, with or without an adapter, and its replicas.

    :param name: the model name in callers' requests.
    :param model: the model that its hosts load.
    :param version: the model's version.
    :param adapter: the adapter loaded on top of the model, or empty.
    :param customers: names of the customers that may call it.
    :param fabric_domains: names of the domains that may run its groups.
    :param hosts_per_replica: hosts of one fabric domain in each group.
    :param replicas: target number of groups.
    :param priority: 0 to 9; a higher priority comes first for hosts, for
        loading weights and in queues.
    :param objective: what the repair policy minimises.
    :param spare_hosts: idle hosts kept in each fabric domain in use, for
        objective ``downtime``.
    """

    __pydantic_config__ = schema.STRICT

    name: Name
    model: Name
    version: Name
    customers: list[Name]
    fabric_domains: list[Name]
    hosts_per_replica: Count
    replicas: Count
    adapter: OptionalName = ''
    priority: Priority = 5
    objective: Objective = Objective.DOWNTIME
    spare_hosts: typing.Annotated[
        int, annotated_types.Ge(0), annotated_types.Le(1000)
    ] = 1


@dataclasses.dataclass(slots=True)
class CallRule:
    """Requests to a plain service that must not be retried.

    :param method: the HTTP method, in capitals, or ``*``.
    :param path_prefix: start of the path after the service's name.
    """

    __pydantic_config__ = schema.STRICT

    method: Method
    path_prefix: PathPrefix = '/'


@dataclasses.dataclass(slots=True)
class Service:
    """A plain HTTP service that runs next to the model engines.

    :param name: the path under ``/services/``.
    :param customers: names of the customers that may call it.
    :param not_repeatable: requests that must run at most once.
    """

    __pydantic_config__ = schema.STRICT

    name: Name
    customers: list[Name]
    not_repeatable: list[CallRule] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class FabricDomain:
    """Hosts that are connected by one fast network.

    :param name: its name, as hosts announce it.
    :param data_centre: its data centre.
    :param fencing: whether its hosts check fencing numbers.
    """

    __pydantic_config__ = schema.STRICT

    name: Name
    data_centre: Name
    fencing: Fencing = Fencing.IGNORED


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits of the entire system.

    :param loads_at_once: hosts that may load weights concurrently.
    :param claim_kept_ms: how long an idempotency key is kept.
    :param default_deadline_ms: deadline of a request that sets none.
    """

    __pydantic_config__ = schema.STRICT

    loads_at_once: Count = 8
    claim_kept_ms: Duration = 86_400_000
    default_deadline_ms: Duration = 120_000


@dataclasses.dataclass(slots=True)
class Document:
    """The complete configuration, and the only one that the system uses.

    :param number: the current document's number plus one.
    :param change_id: identifies the change; a retry sends the same one.
    """

    __pydantic_config__ = schema.STRICT

    number: Number
    change_id: ChangeId
    customers: list[Customer] = dataclasses.field(default_factory=list)
    deployments: list[Deployment] = dataclasses.field(default_factory=list)
    services: list[Service] = dataclasses.field(default_factory=list)
    fabric_domains: list[FabricDomain] = dataclasses.field(
        default_factory=list
    )
    limits: Limits = dataclasses.field(default_factory=Limits)
