"""The operators' document: customers, deployments, services, limits."""

import dataclasses
import enum
import typing

import annotated_types
import pydantic

from filbertglade import schema
from filbertglade.settings import model as settings_model

HIGHEST_NUMBER = 2**53 - 1  # the largest that every JSON reader keeps

Name = settings_model.Name
Sha256 = settings_model.Sha256
Positive = settings_model.Count
Duration = settings_model.Duration
Weight = typing.Annotated[
    float, annotated_types.Gt(0), annotated_types.Le(1e9)
]
Priority = typing.Annotated[int, annotated_types.Ge(0), annotated_types.Le(9)]
Number = typing.Annotated[
    int, annotated_types.Ge(1), annotated_types.Le(HIGHEST_NUMBER)
]
ChangeId = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^[!-~]{1,128}$')
]
OptionalName = typing.Annotated[
    str,
    pydantic.AfterValidator(
        lambda text: text and settings_model.check_name(text)
    ),
]
Method = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^(\*|[A-Z]{1,16})$')
]
PathPrefix = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^/', max_length=1024)
]


class Objective(enum.StrEnum):
    """What a deployment's repair policy holds dearest."""

    DOWNTIME = 'downtime'
    STRANDED = 'stranded'


class Fencing(enum.StrEnum):
    """Whether hosts refuse an order with an old fencing number."""

    CHECKED = 'checked'
    IGNORED = 'ignored'


@dataclasses.dataclass(slots=True)
class Customer:
    """A firm that calls the system.

    :param name: its name.
    :param key_sha256: SHA-256 of its key, hexadecimal.
    :param weight: its share of contended capacity, against other weights.
    :param requests_per_s: its limit over all nodes.
    :param concurrent_requests: its requests at once over all nodes.
    """

    __pydantic_config__ = schema.STRICT

    name: Name
    key_sha256: Sha256
    weight: Weight = 1.0
    requests_per_s: Weight = 100.0
    concurrent_requests: Positive = 100


@dataclasses.dataclass(slots=True)
class Deployment:
    """A model, adapter and version that serves some customers.

    :param name: callers give it as the model's name.
    :param model: the model that its hosts load.
    :param version: the model's version.
    :param adapter: the adapter loaded over the model, or empty.
    :param customers: names of the customers that may call it.
    :param fabric_domains: where its groups may stand.
    :param hosts_per_replica: hosts of one fabric domain in each group.
    :param replicas: groups wanted.
    :param priority: 0 to 9; higher goes first for hosts, loads and queues.
    :param objective: the repair policy.
    :param spare_hosts: idle hosts kept in each fabric domain in use, for
        objective ``downtime``.
    """

    __pydantic_config__ = schema.STRICT

    name: Name
    model: Name
    version: Name
    customers: list[Name]
    fabric_domains: list[Name]
    hosts_per_replica: Positive
    replicas: Positive
    adapter: OptionalName = ''
    priority: Priority = 5
    objective: Objective = Objective.DOWNTIME
    spare_hosts: typing.Annotated[
        int, annotated_types.Ge(0), annotated_types.Le(1000)
    ] = 1


@dataclasses.dataclass(slots=True)
class CallRule:
    """Calls of a plain service that may not be repeated.

    :param method: the HTTP method, in capitals, or ``*``.
    :param path_prefix: start of the path behind the service's name.
    """

    __pydantic_config__ = schema.STRICT

    method: Method
    path_prefix: PathPrefix = '/'


@dataclasses.dataclass(slots=True)
class Service:
    """A plain service that stands beside the model engines.

    :param name: the path under ``/services/``.
    :param customers: names of the customers that may call it.
    :param not_repeatable: calls that must run at most once.
    """

    __pydantic_config__ = schema.STRICT

    name: Name
    customers: list[Name]
    not_repeatable: list[CallRule] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class FabricDomain:
    """Hosts that share a fast network.

    :param name: its name, as hosts announce it.
    :param data_centre: where it stands.
    :param fencing: whether its hosts check fencing numbers.
    """

    __pydantic_config__ = schema.STRICT

    name: Name
    data_centre: Name
    fencing: Fencing = Fencing.IGNORED


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits that hold over the whole system.

    :param loads_at_once: hosts that may load weights at a time.
    :param claim_kept_ms: how long an idempotency key is remembered.
    :param default_deadline_ms: deadline of a request that names none.
    """

    __pydantic_config__ = schema.STRICT

    loads_at_once: Positive = 8
    claim_kept_ms: Duration = 86_400_000
    default_deadline_ms: Duration = 120_000


@dataclasses.dataclass(slots=True)
class Document:
    """The whole document; the only thing that the system acts on.

    :param number: one more than the current document's.
    :param change_id: names the change; a resend carries it again.
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
