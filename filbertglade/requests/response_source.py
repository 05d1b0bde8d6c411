"""Answers on their way to a caller, wherever they come from."""

import abc

from tornado import httputil

from filbertglade.requests import outcomes

EVENTS_TYPE = 'text/event-stream'


def is_event_stream(headers: httputil.HTTPHeaders) -> bool:
    """Return whether a body is a stream of events.

    :param headers: the headers before it.
    """
    kind = headers.get('Content-Type', '')
    return kind.partition(';')[0].strip().lower() == EVENTS_TYPE


class ResponseSource(abc.ABC):
    """An answer whose head is known and whose body arrives in parts.

    :ivar status: the HTTP status.
    :ivar headers: the endpoint's headers.
    """

    status: int
    headers: httputil.HTTPHeaders

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of events."""
        return is_event_stream(self.headers)

    @abc.abstractmethod
    async def read(self) -> bytes | None | outcomes.Refusal:
        """Return the next part of the body.

        :returns: bytes; None at its whole end; or why it is not whole.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Tell that the caller wants no more of it."""
