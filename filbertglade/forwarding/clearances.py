"""Whether a request may be sent to an endpoint, and what it has shown."""

import enum

from filbertglade import failures
from filbertglade.forwarding import admission
from filbertglade.forwarding import send_conditions
from filbertglade.forwarding import stall_detection
from filbertglade.forwarding import suspicion
from filbertglade.forwarding import targets

# Retry-After times of refusals, in s. A group is repaired within one to two
# seconds; a slot becomes free within a fraction of a second.
REPAIR_RETRY_AFTER_S = 1.2
OVERLOAD_RETRY_AFTER_S = 1.0


class NoTargetReason(enum.Enum):
    """Why no target was chosen."""

    NO_ENDPOINT = 'no endpoint'
    FULL = 'full'
    # All endpoints have named limits, which are used up.
    LIMITED = 'limits used up'
    # All endpoints have said that they want no requests for some time.
    PAUSED = 'endpoints want no requests now'
    # All endpoints are cold, and this host has no permit.
    COLD = 'endpoints are cold'


class NoTarget(failures.Failure):
    """No target may be sent a request now.

    :ivar retry_s: when one may be, in s.
    """

    __slots__ = ('retry_s',)
    retry_s: float

    def __init__(
        self,
        reason: NoTargetReason | send_conditions.ForbiddenReason,
        retry_s: float = REPAIR_RETRY_AFTER_S,
        detail: str = '',
    ) -> None:
        super().__init__(reason, detail)
        object.__setattr__(self, 'retry_s', retry_s)


class WithdrawnReason(enum.Enum):
    """Why a target that was chosen may not be sent the request any more."""

    CHANGED = 'the endpoint may not be sent it any more'


class Sign(enum.Enum):
    """What an attempt has shown of its endpoint."""

    NOTHING = enum.auto()
    UNREACHABLE = enum.auto()
    # The connection broke while the request was in flight.
    BROKEN = enum.auto()
    # The same on a kept connection before any answer: the endpoint may have
    # closed it before the request arrived.
    BROKEN_KEPT = enum.auto()
    # A response that reports a failure broke off, or didn't state its end.
    BROKEN_FAILURE = enum.auto()
    # No complete response in time.
    SILENT = enum.auto()
    # A complete response, after which the endpoint is known to run.
    SURVIVED = enum.auto()
    # The same, and the response reports success.
    SERVED = enum.auto()


class Clearance:
    """One request that may be sent to one endpoint, and what it was given.

    :param demand: what the request demands.
    :param target: the endpoint, or the head of the replica.
    :param suspects: what may be to blame if the endpoint crashes.
    :param permissions: say whether the request is sent in a trial.
    :param is_last_resort: whether the endpoint leaves, and no other can be
        sent the request.
    :param allowance_ms: local clock at which the request that was taken of
        the endpoint's limit expires; None without a limit.
    :param permit_ms: local clock at which the permit expires that a cold
        endpoint needs; None for a warm one.
    :ivar has_begun: whether anything may have been sent.
    :ivar stream: told if the replica stalls; None without a replica.
    """

    __slots__ = (
        'allowance_ms',
        'demand',
        'has_begun',
        'is_last_resort',
        'permissions',
        'permit_ms',
        'stream',
        'suspects',
        'target',
    )

    def __init__(
        self,
        demand: admission.Demand,
        target: targets.Target,
        suspects: suspicion.Suspects,
        permissions: suspicion.Permissions,
        is_last_resort: bool,
        allowance_ms: int | None,
        permit_ms: int | None = None,
    ) -> None:
        self.demand = demand
        self.target = target
        self.suspects = suspects
        self.permissions = permissions
        self.is_last_resort = is_last_resort
        self.allowance_ms = allowance_ms
        self.permit_ms = permit_ms
        self.has_begun = False
        self.stream: stall_detection.Stream | None = None
