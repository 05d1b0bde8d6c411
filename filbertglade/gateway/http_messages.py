"""Requests and responses of the small HTTP server."""

from collections import abc
import typing

import orjson

REASONS = {
    100: 'Continue',
    200: 'OK',
    307: 'Temporary Redirect',
    400: 'Bad Request',
    404: 'Not Found',
    405: 'Method Not Allowed',
    408: 'Request Timeout',
    413: 'Content Too Large',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


class Request:
    """A request whose body has been read.

    :param method: the method.
    :param target: path and query, as sent.
    :param body: the body.
    """

    __slots__ = ('method', 'target', 'body')

    def __init__(self, method: str, target: str, body: bytes) -> None:
        self.method = method
        self.target = target
        self.body = body

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


class Response:
    """A response.

    :param status: the status.
    :param body: the body.
    :param headers: headers beside the body's length and type.
    :param content_type: the body's type.
    """

    __slots__ = ('status', 'body', 'headers', 'content_type')

    def __init__(
        self,
        status: int,
        body: bytes = b'',
        headers: abc.Mapping[str, str] | None = None,
        content_type: str = 'application/json',
    ) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type
        self.headers = headers or {}

    def write(self, has_body: bool, keeps_connection: bool) -> bytes:
        """Return the response as it is sent.

        :param has_body: whether the body is sent, not only its length.
        :param keeps_connection: whether another one may follow.
        """
        reason = REASONS.get(self.status, 'Unknown')
        lines = [
            f'HTTP/1.1 {self.status} {reason}',
            f'Content-Length: {len(self.body)}',
            f'Content-Type: {self.content_type}',
        ]
        lines += [f'{name}: {value}' for name, value in self.headers.items()]
        if not keeps_connection:
            lines.append('Connection: close')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        return head + self.body if has_body else head


# Returns the response at once, or a coroutine that does.
Handler = abc.Callable[
    [Request],
    Response | abc.Coroutine[typing.Any, typing.Any, Response],
]


def respond_json(status: int, body: abc.Mapping[str, typing.Any]) -> Response:
    """Return a response with a JSON body.

    :param status: the status.
    :param body: what the body holds.
    """
    return Response(status, orjson.dumps(body))
