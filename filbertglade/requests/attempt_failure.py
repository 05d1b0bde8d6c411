"""Failure of one attempt to run a request on an endpoint."""

import dataclasses

from filbertglade.requests import outcomes


@dataclasses.dataclass(slots=True)
class AttemptFailure:
    """Why an attempt gave no complete response.

    :param reason: the reason code.
    :param detail: a message for the caller.
    :param may_resume: whether the endpoint may still hold the run, so that
        its stream can be resumed.
    :param is_final: whether the request must not be retried.
    :param is_unsent: whether nothing was sent, since the endpoint made a
        statement after it was chosen.
    :param retry_after_ms: after how many milliseconds the caller may retry.
    """

    reason: outcomes.RefusalReason
    detail: str = ''
    may_resume: bool = False
    is_final: bool = False
    is_unsent: bool = False
    retry_after_ms: int = outcomes.RETRY_AFTER_MS
