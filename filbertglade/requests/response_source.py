"""Interface of a response that is being passed to a caller."""

import abc

from tornado import httputil

from filbertglade.requests import outcomes

EVENT_STREAM_TYPE = 'text/event-stream'
BODILESS_STATUSES = (204, 304)


def is_event_stream(headers: httputil.HTTPHeaders) -> bool:
    """Return whether a response body is a stream of server-sent events.

    :param headers: the response headers.
    """
    media_type = headers.get('Content-Type', '')
    return media_type.partition(';')[0].strip().lower() == EVENT_STREAM_TYPE


def is_framed(status: int, headers: httputil.HTTPHeaders) -> bool:
    """Return whether a complete body can be told from a truncated one.

    :param status: the HTTP status code.
    :param headers: the response headers.
    """
    return (
        'Content-Length' in headers
        or 'Transfer-Encoding' in headers
        or status in BODILESS_STATUSES
    )


class ResponseSource(abc.ABC):
    """A response whose head has been received and whose body arrives in parts.

    :ivar status: the HTTP status code.
    :ivar headers: the response headers of the endpoint.
    """

    status: int
    headers: httputil.HTTPHeaders

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        return is_event_stream(self.headers)

    @property
    def is_framed(self) -> bool:
        """Whether a complete body can be told from a truncated one."""
        return is_framed(self.status, self.headers)

    @abc.abstractmethod
    async def read(self) -> bytes | None | outcomes.Refusal:
        """Return the next part of the body.

        :returns: bytes; None after a complete body; or the refusal that
            tells why the body is incomplete.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Stop reading, because the caller needs no more of the response."""
