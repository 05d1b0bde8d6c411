"""Settings objects of a gateway process.

A gateway routes plain HTTP requests to endpoints that register themselves.
Its control hosts find each other from a few addresses.
"""

import dataclasses
import pathlib
import typing

import annotated_types

from filbertglade import schema
from filbertglade.settings import files
from filbertglade.settings import model

Duration = model.Duration
Count = model.Count
Ratio = typing.Annotated[
    float, annotated_types.Ge(0.0), annotated_types.Le(10.0)
]


@dataclasses.dataclass(slots=True)
class GatewayListenSettings:
    """Addresses a gateway process listens on, by IP number.

    :param inner: for the system's own processes; its port is the same on
        all hosts.
    :param callers: for callers; only on entry hosts.
    :param health: for the balancer's health checks; only on entry hosts.
    :param control: for endpoints and operators; only on control hosts.
        Its port is the same on all control hosts.
    :param metrics: for whoever gathers metrics.
    """

    __pydantic_config__ = schema.STRICT

    inner: model.Address
    callers: model.Address | None = None
    health: model.Address | None = None
    control: model.Address | None = None
    metrics: model.Address | None = None


@dataclasses.dataclass(slots=True)
class GatewayControlSettings:
    """How the control hosts find each other and agree.

    :param seeds: addresses of some control hosts; their ports don't count.
    :param data_folder: where this host keeps agreed state; empty on an
        entry host.
    :param found_cluster: whether the seeds found a new cluster; ignored
        where the data folder isn't empty.
    :param tolerated_losses: control hosts that may be lost at once, with
        their disks.
    :param election_ms: least time without a leader before an election.
    :param heartbeat_ms: time between a leader's heartbeats.
    :param lease_ms: how long a quorum's answer lets a leader act.
    :param snapshot_entries: log records between two snapshots.
    """

    __pydantic_config__ = schema.STRICT

    seeds: list[model.Address]
    data_folder: str = ''
    found_cluster: bool = False
    tolerated_losses: typing.Annotated[
        int, annotated_types.Ge(0), annotated_types.Le(3)
    ] = 1
    election_ms: Duration = 700
    heartbeat_ms: Duration = 120
    lease_ms: Duration = 600
    snapshot_entries: Count = 1024


@dataclasses.dataclass(slots=True)
class EndpointSettings:
    """What holds for endpoints.

    :param announce_ms: time between two announcements of an endpoint.
    :param stall_ms: how long a group stands still once a member is lost.
    :param load_window_ms: window over which loads are counted.
    :param load_factor: how far loads may go over the store's rate in it.
    """

    __pydantic_config__ = schema.STRICT

    announce_ms: Duration = 1200
    stall_ms: Duration = 4000
    load_window_ms: Duration = 5000
    load_factor: Ratio = 1.0


@dataclasses.dataclass(slots=True)
class RetryQuotaSettings:
    """How many retries all nodes together may send.

    :param ratio: retries for each request of a service.
    :param slack: retries beyond those in any window.
    :param window_ms: length of a window.
    """

    __pydantic_config__ = schema.STRICT

    ratio: Ratio = 0.1
    slack: Count = 20
    window_ms: Duration = 10_000


@dataclasses.dataclass(slots=True)
class GatewaySettings:
    """All settings of a gateway process.

    :param name: the process's name.
    :param region: its region.
    :param data_centre: its data centre.
    :param listen: addresses it listens on.
    :param control: the control hosts.
    :param endpoints: what holds for endpoints.
    :param retries: the quota of retries.
    :param grace_ms: time between SIGTERM and the process's end.
    :param dialect: whose header names callers and endpoints use.
    """

    __pydantic_config__ = schema.STRICT

    name: model.Name
    region: model.Name
    data_centre: model.Name
    listen: GatewayListenSettings
    control: GatewayControlSettings
    endpoints: EndpointSettings = dataclasses.field(
        default_factory=EndpointSettings
    )
    retries: RetryQuotaSettings = dataclasses.field(
        default_factory=RetryQuotaSettings
    )
    grace_ms: Duration = 8000
    dialect: typing.Literal['own', 'platform'] = 'own'

    @property
    def is_control_host(self) -> bool:
        """Whether this host keeps agreed state."""
        return bool(self.control.data_folder)

    @property
    def inner_port(self) -> str:
        """The port of every host's inner listener."""
        return self.listen.inner.rpartition(':')[2]

    def list_seeds(self) -> list[str]:
        """Return the seeds' inner addresses."""
        return [
            f'{seed.rpartition(":")[0]}:{self.inner_port}'
            for seed in self.control.seeds
        ]


def load_gateway_settings(
    path: pathlib.Path,
) -> tuple[GatewaySettings | None, list[schema.Problem]]:
    """Read a gateway's settings file and check it whole.

    :param path: the TOML file.
    :returns: the settings, or None, and every problem found.
    """
    return files.load_file(path, GatewaySettings, _check)


def _check(settings: GatewaySettings) -> list[schema.Problem]:
    problems = []
    listen, control = settings.listen, settings.control
    if not control.seeds:
        problems.append(schema.Problem('control.seeds', 'names no host'))
    if settings.is_control_host and listen.control is None:
        problems.append(
            schema.Problem(
                'listen.control', 'a host with a data folder needs one'
            )
        )
    if not settings.is_control_host and listen.callers is None:
        problems.append(
            schema.Problem(
                'listen.callers', 'a host without a data folder needs one'
            )
        )
    if control.lease_ms >= control.election_ms:
        problems.append(
            schema.Problem(
                'control.lease_ms', 'must be less than control.election_ms'
            )
        )
    return problems
