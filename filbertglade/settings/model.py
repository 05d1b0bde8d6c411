"""Settings classes of a node.

They are read once, from one TOML file, and passed to the node's components.
"""

import dataclasses
import enum
import typing

import pydantic

from filbertglade import schema
from filbertglade.settings import values


@dataclasses.dataclass(slots=True)
class ListenSettings:
    """Addresses that a node listens on, as IP numbers.

    :param callers: for callers, endpoints, health checks and metrics.
    :param administration: for operators.
    :param inner: for the system's other processes.
    """

    __pydantic_config__ = schema.STRICT

    callers: values.Address
    administration: values.Address
    inner: values.Address


@dataclasses.dataclass(slots=True)
class AdministrationSettings:
    """Access to the administration API.

    :param key_sha256: SHA-256 of the operators' key, hexadecimal; if empty,
        the API needs no key.
    """

    __pydantic_config__ = schema.STRICT

    key_sha256: typing.Annotated[
        str, pydantic.StringConstraints(pattern=r'^([0-9a-f]{64})?$')
    ] = ''


@dataclasses.dataclass(slots=True)
class ControlHostSettings:
    """A control host; every node lists all of them.

    :param name: the node's name.
    :param address: its inner address.
    :param data_centre: its data centre.
    """

    __pydantic_config__ = schema.STRICT

    name: values.Name
    address: values.Address
    data_centre: values.Name


@dataclasses.dataclass(slots=True)
class ControlSettings:
    """The control hosts, and how they agree.

    :param hosts: 1, 3, 5 or 7 control hosts.
    :param data_folder: where this node stores the agreed state; empty on a
        node that is not a control host.
    :param election_ms: minimum time without a leader before an election.
    :param heartbeat_ms: interval between a leader's heartbeats.
    :param lease_ms: duration of the leader's lease, which the replies of a
        quorum renew.
    :param snapshot_entries: log records between two snapshots.
    """

    __pydantic_config__ = schema.STRICT

    hosts: list[ControlHostSettings]
    data_folder: str = ''
    election_ms: values.Duration = 1000
    heartbeat_ms: values.Duration = 150
    lease_ms: values.Duration = 900
    snapshot_entries: values.Count = 4096


@dataclasses.dataclass(slots=True)
class TimingSettings:
    """Intervals and time-outs of presence, orders and requests.

    :param announce_ms: interval between a host's announcements.
    :param presence_limit_ms: a host counts as absent if its newest
        announcement may be older than this.
    :param presence_margin_ms: a host is reused only after it has been idle
        for the presence limit and this margin.
    :param relay_ms: interval between batches on an attachment or relay.
    :param order_timeout_ms: time-out of an order to a host.
    :param connect_timeout_ms: time-out for connecting to a peer.
    :param first_byte_timeout_ms: time-out of the first byte of an endpoint's
        response.
    :param idle_timeout_ms: idle time-out within an endpoint's response.
    :param header_timeout_ms: time-out of a request's headers, and of its
        body.
    :param drain_delay_ms: time between failing the readiness check and
        refusing requests.
    :param drain_limit_ms: longest wait for requests in flight at shutdown.
    """

    __pydantic_config__ = schema.STRICT

    announce_ms: values.Duration = 500
    presence_limit_ms: values.Duration = 4000
    presence_margin_ms: values.Duration = 1000
    relay_ms: values.Duration = 250
    order_timeout_ms: values.Duration = 400
    connect_timeout_ms: values.Duration = 1000
    first_byte_timeout_ms: values.Duration = 60000
    idle_timeout_ms: values.Duration = 20000
    header_timeout_ms: values.Duration = 10000
    drain_delay_ms: values.Duration = 2000
    drain_limit_ms: values.Duration = 600000


@dataclasses.dataclass(slots=True)
class LimitSettings:
    """Limits of a node's memory and load.

    :param body_bytes: largest body of a request.
    :param header_bytes: largest headers of a request.
    :param requests_in_flight: concurrent requests on this node.
    :param queued_requests: requests in this node's queue.
    :param queue_wait_ms: longest expected wait of a request that is queued.
    :param kept_answer_bytes: memory for responses kept for retried requests.
    :param kept_answer_ms: how long such a response is kept.
    """

    __pydantic_config__ = schema.STRICT

    body_bytes: values.Count = 4_194_304
    header_bytes: values.Count = 65_536
    requests_in_flight: values.Count = 512
    queued_requests: values.Count = 1024
    queue_wait_ms: values.Duration = 10_000
    kept_answer_bytes: values.Count = 16_777_216
    kept_answer_ms: values.Duration = 600_000


class SelectionPolicy(enum.StrEnum):
    """How endpoints are chosen."""

    # By expected wait among a few candidates, with prefix affinity and fewer
    # requests to stragglers.
    EXPECTED_WAIT = 'expected-wait'
    LEAST_LOAD = 'least-load'
    RANDOM = 'random'
    ROUND_ROBIN = 'round-robin'


@dataclasses.dataclass(slots=True)
class RoutingSettings:
    """How requests are routed to endpoints.

    :param policy: how endpoints are chosen.
    :param report_lag_ms: age of a load value when an endpoint announces it.
    :param prefix_entries: size of the index of prompt prefixes and the
        endpoints that cache them.
    """

    __pydantic_config__ = schema.STRICT

    policy: SelectionPolicy = SelectionPolicy.EXPECTED_WAIT
    report_lag_ms: values.Duration = 1000
    prefix_entries: values.Count = 65_536


class VoterSettings(typing.Protocol):
    """The settings of a node that a voter uses."""

    name: str
    control: ControlSettings


@dataclasses.dataclass(slots=True)
class NodeSettings:
    """All settings of one node.

    :param name: the node's name, unique in the cluster.
    :param region: its region.
    :param data_centre: its data centre.
    :param listen: addresses that it listens on.
    :param control: the control hosts.
    :param administration: access to the administration API.
    :param timings: intervals and time-outs.
    :param limits: limits of memory and load.
    :param routing: how requests are routed to endpoints.
    :param log_file: path of the log file; standard error if empty.
    :param seed: seed of the process's random numbers; None for a random one.
    """

    __pydantic_config__ = schema.STRICT

    name: values.Name
    region: values.Name
    data_centre: values.Name
    listen: ListenSettings
    control: ControlSettings
    administration: AdministrationSettings = dataclasses.field(
        default_factory=AdministrationSettings
    )
    timings: TimingSettings = dataclasses.field(default_factory=TimingSettings)
    limits: LimitSettings = dataclasses.field(default_factory=LimitSettings)
    routing: RoutingSettings = dataclasses.field(
        default_factory=RoutingSettings
    )
    log_file: str = ''
    seed: int | None = None

    @property
    def is_control_host(self) -> bool:
        """Whether this node stores the agreed state."""
        return bool(self.control.data_folder)
