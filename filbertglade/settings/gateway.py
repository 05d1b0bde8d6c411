"""Settings classes of a gateway process.

A gateway routes plain HTTP requests to endpoints that register themselves.
Its control hosts discover each other from a few seed addresses.
"""

import dataclasses
import math
import pathlib
import typing

import annotated_types
import pydantic

from filbertglade import schema
from filbertglade.settings import files
from filbertglade.settings import values

Duration = values.Duration
Count = values.Count
Ratio = typing.Annotated[
    float, annotated_types.Ge(0.0), annotated_types.Le(10.0)
]


def _drop_fraction(value: object) -> object:
    if isinstance(value, float) and math.isfinite(value):
        return int(value)
    return value


# Values that deployments may state as fractions, which are rounded down.
RoundedDuration = typing.Annotated[
    Duration, pydantic.BeforeValidator(_drop_fraction)
]
RoundedCount = typing.Annotated[
    Count, pydantic.BeforeValidator(_drop_fraction)
]
RoundedAmount = typing.Annotated[
    int,
    annotated_types.Ge(0),
    annotated_types.Le(values.COUNT_LIMIT),
    pydantic.BeforeValidator(_drop_fraction),
]


@dataclasses.dataclass(slots=True)
class GatewayListenSettings:
    """Addresses that a gateway process listens on, as IP numbers.

    :param inner: for the system's other processes; all hosts must use the
        same port.
    :param callers: for callers; only on entry hosts.
    :param health: for the balancer's health checks; only on entry hosts.
    :param control: for endpoints and operators; only on control hosts. All
        control hosts must use the same port.
    :param metrics: for a metrics collector.
    """

    __pydantic_config__ = schema.STRICT

    inner: values.Address
    callers: values.Address | None = None
    health: values.Address | None = None
    control: values.Address | None = None
    metrics: values.Address | None = None


@dataclasses.dataclass(slots=True)
class GatewayControlSettings:
    """How the control hosts discover each other and agree.

    :param seeds: addresses of some control hosts; their ports are ignored.
    :param data_folder: where this host stores the agreed state; empty on an
        entry host.
    :param found_cluster: whether the seeds form a new cluster; ignored if
        the data folder is not empty.
    :param tolerated_losses: number of control hosts that may be lost at the
        same time, with their disks.
    :param tolerated_data_centres: number of data centres that may be lost at
        the same time; 0 places groups without regard to data centres.
    :param election_ms: minimum time without a leader before an election.
    :param heartbeat_ms: interval between a leader's heartbeats.
    :param lease_ms: duration of the leader's lease, which the replies of a
        quorum renew.
    :param snapshot_entries: log records between two snapshots.
    """

    __pydantic_config__ = schema.STRICT

    seeds: list[values.Address]
    data_folder: str = ''
    found_cluster: bool = False
    tolerated_losses: typing.Annotated[
        int, annotated_types.Ge(0), annotated_types.Le(3)
    ] = 1
    tolerated_data_centres: typing.Annotated[
        int, annotated_types.Ge(0), annotated_types.Le(3)
    ] = 0
    election_ms: Duration = 700
    heartbeat_ms: Duration = 120
    lease_ms: Duration = 600
    snapshot_entries: Count = 1024


@dataclasses.dataclass(slots=True)
class EndpointSettings:
    """Intervals of endpoints, and the rates at which they are used.

    :param announce_ms: interval between an endpoint's announcements.
    :param stall_ms: how long a group stalls after the loss of a member.
    :param load_window_ms: sliding window in which model loads are counted.
    :param load_factor: model loads allowed per window, as a multiple of what
        the store's rate allows in it.
    :param cold_overage: requests that cold endpoints may get in a second, as
        a multiple of the rate that their service states.
    :param cold_slack: additional requests that they may get in a second.
    :param evacuation_ms: time after the acknowledgement of an evacuation from
        which on no request reaches the data centre.
    """

    __pydantic_config__ = schema.STRICT

    announce_ms: RoundedDuration = 1200
    stall_ms: RoundedDuration = 4000
    load_window_ms: RoundedDuration = 5000
    load_factor: Ratio = 1.0
    cold_overage: Ratio = 1.0
    cold_slack: RoundedAmount = 0
    evacuation_ms: RoundedDuration = 5000


@dataclasses.dataclass(slots=True)
class RetryQuotaSettings:
    """Quota of the retries that all nodes together may send.

    :param ratio: allowed retries per request to a service.
    :param slack: additional retries allowed in each window.
    :param window_ms: length of the sliding window.
    """

    __pydantic_config__ = schema.STRICT

    ratio: Ratio = 0.1
    slack: RoundedCount = 20
    window_ms: RoundedDuration = 10_000


@dataclasses.dataclass(slots=True)
class SchedulingSettings:
    """Policies that choose endpoints and admit requests.

    :param selection: ``load`` chooses by requests in flight, ``cost`` by the
        estimated work that endpoints have left, ``two_choices`` the better of
        two that are drawn at random, by the time to the first token.
    :param admission: ``slots`` admits while a replica has free slots,
        ``urgency`` also by priority, objective and expected room.
    """

    __pydantic_config__ = schema.STRICT

    selection: typing.Literal['load', 'cost', 'two_choices'] = 'load'
    admission: typing.Literal['slots', 'urgency'] = 'slots'


@dataclasses.dataclass(slots=True)
class LimitSettings:
    """Limits of the machine for this process.

    :param memory_mb: memory; 0 for 512 MB, or half of the machine's memory if
        that is less.
    :param max_descriptors: open descriptors; 0 for the limit that the system
        states.
    :param held_mb: memory for what clients send and don't read; 0 for a
        quarter of the memory.
    :param unread_mb: memory for what has arrived and wasn't read; 0 for 0.15
        of the memory.
    :param max_callers: callers' connections at a time; 0 for 0.45 of the
        descriptors, or 0.9 if these aren't set.
    :param min_body_rate: bytes a second below which the sender of a long body
        yields to other senders.
    """

    __pydantic_config__ = schema.STRICT

    memory_mb: RoundedAmount = 0
    max_descriptors: RoundedAmount = 0
    held_mb: RoundedAmount = 0
    unread_mb: RoundedAmount = 0
    max_callers: RoundedAmount = 0
    min_body_rate: RoundedAmount = 16_384


@dataclasses.dataclass(slots=True)
class GatewaySettings:
    """All settings of a gateway process.

    :param name: the process's name.
    :param region: its region.
    :param data_centre: its data centre.
    :param listen: addresses that it listens on.
    :param control: the control hosts.
    :param endpoints: intervals and load rate of endpoints.
    :param retries: the quota of retries.
    :param scheduling: which policies choose endpoints and admit requests.
    :param limits: limits of the machine for this process.
    :param data_centres: the region of each data centre; only needed where
        routes or customers name allowed regions.
    :param grace_ms: time between SIGTERM and the end of the process.
    :param dialect: which header names callers and endpoints use.
    """

    __pydantic_config__ = schema.STRICT

    name: values.Name
    region: values.Name
    data_centre: values.Name
    listen: GatewayListenSettings
    control: GatewayControlSettings
    endpoints: EndpointSettings = dataclasses.field(
        default_factory=EndpointSettings
    )
    retries: RetryQuotaSettings = dataclasses.field(
        default_factory=RetryQuotaSettings
    )
    scheduling: SchedulingSettings = dataclasses.field(
        default_factory=SchedulingSettings
    )
    limits: LimitSettings = dataclasses.field(default_factory=LimitSettings)
    data_centres: dict[str, str] = dataclasses.field(default_factory=dict)
    grace_ms: RoundedDuration = 8000
    dialect: typing.Literal['own', 'platform'] = 'own'

    @property
    def is_control_host(self) -> bool:
        """Whether this host stores the agreed state."""
        return bool(self.control.data_folder)

    @property
    def inner_port(self) -> str:
        """The port of the inner listener, the same on all hosts."""
        return self.listen.inner.rpartition(':')[2]

    def list_listeners(self) -> list[str]:
        """Return what clients' connections are limited for.

        :returns: the names of the listeners, and ``endpoints`` if callers'
            requests are forwarded to these.
        """
        names = ['control', 'inner'] if self.is_control_host else []
        if self.listen.callers is not None:
            names += ['callers', 'health', 'endpoints']
        return [*names, 'metrics']

    def list_seeds(self) -> list[str]:
        """Return the seeds' inner addresses."""
        return [
            f'{seed.rpartition(":")[0]}:{self.inner_port}'
            for seed in self.control.seeds
        ]


def load_gateway_settings(
    path: pathlib.Path,
) -> tuple[GatewaySettings | None, list[schema.Problem]]:
    """Read a gateway's settings file and run all checks.

    :param path: the TOML file.
    :returns: the settings, or None, and every problem found.
    """
    return files.load_file(path, GatewaySettings, _check)


def _check(settings: GatewaySettings) -> list[schema.Problem]:
    problems = []
    listen, control = settings.listen, settings.control
    if not control.seeds:
        problems.append(
            schema.Problem('control.seeds', 'must list at least one host')
        )
    if settings.is_control_host and listen.control is None:
        problems.append(
            schema.Problem(
                'listen.control', 'required on a host with a data folder'
            )
        )
    if not settings.is_control_host and listen.callers is None:
        problems.append(
            schema.Problem(
                'listen.callers', 'required on a host without a data folder'
            )
        )
    if control.lease_ms >= control.election_ms:
        problems.append(
            schema.Problem(
                'control.lease_ms', 'must be less than control.election_ms'
            )
        )
    return problems
