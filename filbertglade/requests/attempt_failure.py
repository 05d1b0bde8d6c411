"""What went wrong with one try of a request."""

import dataclasses

from filbertglade.requests import outcomes


@dataclasses.dataclass(slots=True)
class AttemptFailure:
    """A try that gave no whole answer.

    :param reason: why.
    :param detail: one sentence for the caller.
    :param may_resume: whether the endpoint may still have the run.
    :param is_final: whether no further try makes sense.
    :param retry_after_ms: when the caller may come back.
    """

    reason: outcomes.RefusalReason
    detail: str = ''
    may_resume: bool = False
    is_final: bool = False
    retry_after_ms: int = outcomes.RETRY_AFTER_MS
