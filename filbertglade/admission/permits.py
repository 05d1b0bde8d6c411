"""Permits to run admitted requests."""

from collections import abc
import dataclasses
import types

from filbertglade.admission import admission_requests
from filbertglade import clock


@dataclasses.dataclass(slots=True)
class Usage:
    """What a request has used.

    :param first_token_ms: time from its permit to its first token; None if
        there was none.
    :param tokens: tokens that it generated.
    """

    first_token_ms: float | None = None
    tokens: int = 0


class Permit:
    """Permission to run one request; it must be released.

    :ivar granted_ms: local clock time when it was granted.
    :ivar priority: the request's priority at its endpoint, where higher
        priorities run first; it is lower while the customer demands far more
        than its share.
    """

    __slots__ = (
        'request',
        'granted_ms',
        'priority',
        'usage',
        '_on_release',
    )

    def __init__(
        self,
        request: admission_requests.AdmissionRequest,
        priority: int,
        on_release: abc.Callable[['Permit'], None],
    ) -> None:
        self.request = request
        self.granted_ms = clock.now_ms()
        self.priority = priority
        self.usage = Usage()
        self._on_release: abc.Callable[[Permit], None] | None = on_release

    def __enter__(self) -> 'Permit':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.release()

    @property
    def is_released(self) -> bool:
        """Whether the permit has been released."""
        return self._on_release is None

    def note_first_token(self, first_token_ms: float) -> None:
        """Record the first token.

        :param first_token_ms: time since the permit was granted.
        """
        self.usage.first_token_ms = first_token_ms

    def note_tokens(self, count: int) -> None:
        """Record generated tokens.

        :param count: how many were added.
        """
        self.usage.tokens += count

    def release(self) -> None:
        """Release the permit; only the first call has an effect."""
        on_release = self._on_release
        if on_release is None:
            return
        self._on_release = None
        on_release(self)
