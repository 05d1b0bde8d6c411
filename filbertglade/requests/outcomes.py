"""The three outcomes of a request, and the reasons of refusals."""

import dataclasses
import enum

from filbertglade import failures
from filbertglade.fleet import evacuated

OUTCOME_HEADER = 'X-Outcome'
RETRY_AFTER_MS = 1000


class Outcome(enum.StrEnum):
    """The outcome of a request, as reported to its caller."""

    # The complete response was sent.
    COMPLETE = 'complete'
    # The request certainly did not run.
    NOT_RUN = 'not_run'
    # The request may have run.
    UNKNOWN = 'unknown'


class RefusalReason(enum.Enum):
    """Why a request got no complete response."""

    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    BAD_REQUEST = 'bad-request'
    TOO_LARGE = 'too-large'
    NO_SUCH_MODEL = 'no-such-model'
    NO_SUCH_SERVICE = 'no-such-service'
    LIMIT_REACHED = 'limit-reached'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    NO_ENDPOINT = 'no-endpoint'
    # All endpoints are in data centres that the operator has evacuated.
    EVACUATED = evacuated.REASON
    NOT_CONFIGURED = 'not-configured'
    NO_QUORUM = 'no-quorum'
    SHUTTING_DOWN = 'shutting-down'
    KEY_REUSED = 'key-reused'
    STRUCK = 'struck'
    ENDPOINT_FAILED = 'endpoint-failed'
    OWNER_GONE = 'owner-gone'


STATUS_BY_REASON = {
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.FORBIDDEN: 403,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.NO_SUCH_MODEL: 404,
    RefusalReason.NO_SUCH_SERVICE: 404,
    RefusalReason.LIMIT_REACHED: 429,
    RefusalReason.OVERLOADED: 503,
    RefusalReason.DEADLINE: 503,
    RefusalReason.NO_ENDPOINT: 503,
    RefusalReason.EVACUATED: 503,
    RefusalReason.NOT_CONFIGURED: 503,
    RefusalReason.NO_QUORUM: 503,
    RefusalReason.SHUTTING_DOWN: 503,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.STRUCK: 503,
    RefusalReason.ENDPOINT_FAILED: 504,
    RefusalReason.OWNER_GONE: 409,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal(failures.Failure):
    """Why a request got no complete response.

    :param outcome: whether it may have run.
    :param retry_after_ms: after how many milliseconds to retry; 0 if a retry
        would not help.
    """

    outcome: Outcome = Outcome.NOT_RUN
    retry_after_ms: int = 0


def refuse_unknown(detail: str) -> Refusal:
    """Return the refusal of a request whose outcome is unknown.

    :param detail: why the outcome is unknown.
    """
    return Refusal(
        RefusalReason.OWNER_GONE,
        detail,
        Outcome.UNKNOWN,
        retry_after_ms=RETRY_AFTER_MS,
    )
