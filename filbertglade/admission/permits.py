"""Permits of requests that may run."""

from collections import abc
import dataclasses
import types

from filbertglade.admission import tickets
from filbertglade import clock


@dataclasses.dataclass(slots=True)
class Usage:
    """What a request turned out to use.

    :param first_token_ms: from its permit to its first token; None if there
        was none.
    :param tokens: tokens that it gave.
    """

    first_token_ms: float | None = None
    tokens: int = 0


class Permit:
    """The right to run one request; it must be released.

    :ivar granted_ms: local clock when it was given.
    :ivar is_within_share: whether its customer has no more than its share;
        endpoints that honour priorities are to prefer such a request.
    """

    __slots__ = (
        'ticket',
        'granted_ms',
        'is_within_share',
        'usage',
        '_on_release',
    )

    def __init__(
        self,
        ticket: tickets.Ticket,
        is_within_share: bool,
        on_release: abc.Callable[['Permit'], None],
    ) -> None:
        self.ticket = ticket
        self.granted_ms = clock.now_ms()
        self.is_within_share = is_within_share
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
        """Whether the permit was given back."""
        return self._on_release is None

    def note_first_token(self, first_token_ms: float) -> None:
        """Note the first token.

        :param first_token_ms: time since the permit was given.
        """
        self.usage.first_token_ms = first_token_ms

    def note_tokens(self, count: int) -> None:
        """Note tokens given.

        :param count: how many more.
        """
        self.usage.tokens += count

    def release(self) -> None:
        """Give the permit back; only the first call counts."""
        on_release = self._on_release
        if on_release is None:
            return
        self._on_release = None
        on_release(self)
