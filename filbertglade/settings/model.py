"""Settings objects of a node.

They are read once from one TOML file and passed whole to the parts.
"""

import dataclasses
import enum
import ipaddress
import re
import typing

import annotated_types
import pydantic

from filbertglade import schema

NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
NAME_RULE = (
    "must be 1 to 63 letters, digits, '.', '_' or '-', and begin with a "
    'letter or a digit'
)
ADDRESS_RULE = "must be an IP number and a port, as in '127.0.0.1:8080'"
PORT_LIMIT = 65_535
DURATION_LIMIT_MS = 30 * 86_400_000
COUNT_LIMIT = 2**40


def check_name(text: str) -> str:
    """Check a name.

    :param text: the name.
    :returns: the name.
    :raises ValueError: it breaks the rule for names.
    """
    if NAME_PATTERN.fullmatch(text) is None:
        raise ValueError(NAME_RULE)
    return text


def check_address(text: str) -> str:
    """Check an address.

    :param text: ``host:port``; an IPv6 host stands in brackets.
    :returns: the address.
    :raises ValueError: it breaks the rule for addresses.
    """
    host, _, port = text.rpartition(':')
    if host.startswith('[') and host.endswith(']'):
        ipaddress.IPv6Address(host[1:-1])
    elif not _is_ipv4(host):
        raise ValueError(ADDRESS_RULE)
    if not (port.isascii() and port.isdecimal()):
        raise ValueError(ADDRESS_RULE)
    if not 0 < int(port) <= PORT_LIMIT:
        raise ValueError('port is out of range')
    return text


def _is_ipv4(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


Name = typing.Annotated[str, pydantic.AfterValidator(check_name)]
Address = typing.Annotated[str, pydantic.AfterValidator(check_address)]
Duration = typing.Annotated[
    int, annotated_types.Ge(1), annotated_types.Le(DURATION_LIMIT_MS)
]
Count = typing.Annotated[
    int, annotated_types.Ge(1), annotated_types.Le(COUNT_LIMIT)
]
Sha256 = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^[0-9a-f]{64}$')
]


@dataclasses.dataclass(slots=True)
class ListenSettings:
    """Addresses a node listens on, by IP number.

    :param callers: for callers and endpoints.
    :param administration: for operators.
    :param inner: for the system's own processes.
    """

    __pydantic_config__ = schema.STRICT

    callers: Address
    administration: Address
    inner: Address


@dataclasses.dataclass(slots=True)
class AdministrationSettings:
    """Access to the administration API.

    :param key_sha256: SHA-256 of the operators' key, hexadecimal; empty if
        whoever reaches the listener may use it.
    """

    __pydantic_config__ = schema.STRICT

    key_sha256: typing.Annotated[
        str, pydantic.StringConstraints(pattern=r'^([0-9a-f]{64})?$')
    ] = ''


@dataclasses.dataclass(slots=True)
class ControlHostSettings:
    """A control host as every node knows it.

    :param name: the node's name.
    :param address: its inner address.
    :param data_centre: its data centre.
    """

    __pydantic_config__ = schema.STRICT

    name: Name
    address: Address
    data_centre: Name


@dataclasses.dataclass(slots=True)
class ControlSettings:
    """The control hosts, and this node's part among them.

    :param hosts: 1, 3, 5 or 7 control hosts.
    :param data_folder: where this node keeps agreed state; empty on a node
        that is no control host.
    :param election_ms: least time without a leader before an election.
    :param heartbeat_ms: time between a leader's heartbeats.
    :param lease_ms: how long a quorum's answer lets a leader act.
    :param snapshot_entries: log records between two snapshots.
    """

    __pydantic_config__ = schema.STRICT

    hosts: list[ControlHostSettings]
    data_folder: str = ''
    election_ms: Duration = 1000
    heartbeat_ms: Duration = 150
    lease_ms: Duration = 900
    snapshot_entries: Count = 4096


@dataclasses.dataclass(slots=True)
class TimingSettings:
    """Timings of presence, orders and requests.

    :param announce_ms: time between two announcements of a host.
    :param presence_limit_ms: proven age at which a host counts as absent.
    :param presence_margin_ms: rest beyond the limit before a host is reused.
    :param relay_ms: time between two batches on an attachment or relay.
    :param order_timeout_ms: time-out of one order to a host.
    :param connect_timeout_ms: time-out of a connection to any peer.
    :param first_byte_timeout_ms: longest wait for an endpoint's first byte.
    :param idle_timeout_ms: longest silence of an endpoint in an answer.
    :param header_timeout_ms: longest time for a caller's headers and body.
    :param drain_delay_ms: time between failing readiness and refusing work.
    :param drain_limit_ms: longest wait for requests in flight at shutdown.
    """

    __pydantic_config__ = schema.STRICT

    announce_ms: Duration = 500
    presence_limit_ms: Duration = 4000
    presence_margin_ms: Duration = 1000
    relay_ms: Duration = 250
    order_timeout_ms: Duration = 400
    connect_timeout_ms: Duration = 1000
    first_byte_timeout_ms: Duration = 60000
    idle_timeout_ms: Duration = 20000
    header_timeout_ms: Duration = 10000
    drain_delay_ms: Duration = 2000
    drain_limit_ms: Duration = 600000


@dataclasses.dataclass(slots=True)
class LimitSettings:
    """Bounds of a node's memory and work.

    :param body_bytes: largest body of a request.
    :param header_bytes: largest headers of a request.
    :param requests_in_flight: requests at once on this node.
    :param queued_requests: requests that wait on this node.
    :param queue_wait_ms: longest expected wait of a request.
    :param kept_answer_bytes: answers kept in memory for resent requests.
    :param kept_answer_ms: how long an answer is kept.
    """

    __pydantic_config__ = schema.STRICT

    body_bytes: Count = 4_194_304
    header_bytes: Count = 65_536
    requests_in_flight: Count = 512
    queued_requests: Count = 1024
    queue_wait_ms: Duration = 10_000
    kept_answer_bytes: Count = 16_777_216
    kept_answer_ms: Duration = 600_000


class SelectionPolicy(enum.StrEnum):
    """How endpoints are chosen."""

    # Few choices by expected wait, prefix affinity, stragglers held back.
    EXPECTED_WAIT = 'expected-wait'
    LEAST_LOAD = 'least-load'
    RANDOM = 'random'
    ROUND_ROBIN = 'round-robin'


@dataclasses.dataclass(slots=True)
class RoutingSettings:
    """Choice of endpoints.

    :param policy: how endpoints are chosen.
    :param report_lag_ms: age of a load when an endpoint announces it.
    :param prefix_entries: prompt blocks remembered by where they are cached.
    """

    __pydantic_config__ = schema.STRICT

    policy: SelectionPolicy = SelectionPolicy.EXPECTED_WAIT
    report_lag_ms: Duration = 1000
    prefix_entries: Count = 65_536


class VoterSettings(typing.Protocol):
    """What a voter needs to know of its node's settings."""

    name: str
    control: ControlSettings


@dataclasses.dataclass(slots=True)
class NodeSettings:
    """All settings of one node.

    :param name: the node's name, unique in the cluster.
    :param region: its region.
    :param data_centre: its data centre.
    :param listen: addresses it listens on.
    :param control: the control hosts.
    :param administration: access to the administration API.
    :param timings: time-outs and intervals.
    :param limits: bounds of memory and work.
    :param routing: choice of endpoints.
    :param log_file: where the log goes; standard error if empty.
    :param seed: seed of the process's random numbers; None for a fresh one.
    """

    __pydantic_config__ = schema.STRICT

    name: Name
    region: Name
    data_centre: Name
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
        """Whether this node keeps agreed state."""
        return bool(self.control.data_folder)
