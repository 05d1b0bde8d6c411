"""Responses of endpoints while they are received."""

import abc
import asyncio
import enum

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from filbertglade import failures
from filbertglade import http_statuses
from filbertglade.requests import response_source

# Longest wait for the end of a response whose content is complete.
DRAIN_TIMEOUT_S = 1.0
MAX_QUEUED_CHUNKS = 4

Head = tuple[httputil.ResponseStartLine, httputil.HTTPHeaders]


class EndpointFailureReason(enum.Enum):
    """Why an endpoint gave no complete response."""

    # Nothing of the request was sent.
    UNREACHABLE = 'unreachable'
    # The same, as no process listens at the address.
    REFUSED = 'refused'
    # The connection broke after the request, or a part of it, was sent.
    BROKEN = 'broken'
    # A connection that had been kept broke before the head of the response:
    # the endpoint had closed it when idle, or it crashed under the call.
    KEPT_BROKEN = 'kept-broken'
    # Nothing was received within the time-out.
    TIMED_OUT = 'timed-out'
    # `may_send` refused the call before any of it was sent.
    WITHDRAWN = 'withdrawn'


class ResponseReceiver(httputil.HTTPMessageDelegate):
    """Receives a response's head, and its body unless it is an event stream.

    :ivar head: resolved with the start line and headers.
    :ivar chunks: bounded queue of body parts; None marks the end.
    :ivar is_finished: whether the complete body was received.
    :ivar is_detached: whether the connection was detached, so that the body
        has to be read from the stream directly.
    """

    def __init__(self) -> None:
        self.head: asyncio.Future[Head] = (
            asyncio.get_running_loop().create_future()
        )
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue(
            MAX_QUEUED_CHUNKS
        )
        self.is_finished = False
        self.is_detached = False
        self._connection: http1connection.HTTP1Connection | None = None
        self._written: asyncio.Future[None] | None = None

    @property
    def has_final_head(self) -> bool:
        """Whether the head of a response with a valid status has arrived."""
        if not self.head.done():
            return False
        start_line, _ = self.head.result()
        return http_statuses.is_final(start_line.code)

    def allow_detaching(
        self,
        connection: http1connection.HTTP1Connection,
        written: asyncio.Future[None],
    ) -> None:
        """Allow the stream to be detached from the connection after the head.

        :param connection: the connection that reads the response.
        :param written: done once the request has been written.
        """
        self._connection = connection
        self._written = written

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Handle the start line and headers.

        :param start_line: the start line.
        :param headers: the response headers.
        """
        if not isinstance(start_line, httputil.ResponseStartLine):
            return
        if self.head.done() or http_statuses.is_interim(
            start_line.code, headers
        ):
            return
        if self._may_detach(start_line, headers):
            assert self._connection is not None
            self._connection.detach()
            self.is_detached = True
        self.head.set_result((start_line, headers))

    def _may_detach(
        self,
        start_line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> bool:
        if self._written is None or not self._written.done():
            # The connection is still writing the request.
            return False
        coding = headers.get('Transfer-Encoding', '')
        return (
            coding.strip().lower() == 'chunked'
            and 'Content-Length' not in headers
            and start_line.code not in response_source.BODILESS_STATUSES
            and response_source.is_event_stream(headers)
        )

    async def data_received(self, chunk: bytes) -> None:
        """Queue a part of the body, waiting while the queue is full.

        :param chunk: the part.
        """
        await self.chunks.put(chunk)

    def finish(self) -> None:
        """Record that the complete body was received."""
        self.is_finished = True

    def on_connection_close(self) -> None:
        """Do nothing: the task that reads the connection handles the end."""


class EndpointResponse(abc.ABC):
    """An endpoint's response while it is received.

    :ivar status: the HTTP status code.
    :ivar headers: the response headers.
    """

    def __init__(self, head: Head) -> None:
        start_line, headers = head
        self.status = start_line.code
        self.headers = headers

    @property
    def is_framed(self) -> bool:
        """Whether a complete body can be told from a truncated one."""
        return response_source.is_framed(self.status, self.headers)

    @abc.abstractmethod
    async def read(
        self, timeout_s: float | None = None
    ) -> bytes | None | failures.Failure:
        """Return the next part of the body.

        :param timeout_s: longest wait, in seconds; the idle time-out applies
            if it is shorter.
        :returns: bytes; None after a complete body; or the failure.
        """

    @abc.abstractmethod
    def release(self) -> None:
        """Receive the remaining end, so that the connection can be reused."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Close the connection, which cancels the request at the endpoint."""


class QueuedResponse(EndpointResponse):
    """A response read ahead into a bounded queue by a background task."""

    def __init__(
        self,
        stream: iostream.IOStream,
        receiver: ResponseReceiver,
        read_task: asyncio.Task[bool],
        idle_timeout_ms: int,
    ) -> None:
        super().__init__(receiver.head.result())
        self._stream = stream
        self._receiver = receiver
        self._read_task = read_task
        self._idle_timeout_s = idle_timeout_ms / 1000

    async def read(
        self, timeout_s: float | None = None
    ) -> bytes | None | failures.Failure:
        """Return the next part of the body.

        :param timeout_s: longest wait, in seconds; the idle time-out applies
            if it is shorter.
        :returns: bytes; None after a complete body; or the failure.
        """
        chunks = self._receiver.chunks
        if chunks.empty():
            idle_timeout_s = self._idle_timeout_s
            if timeout_s is not None:
                idle_timeout_s = min(idle_timeout_s, max(timeout_s, 0))
            try:
                async with asyncio.timeout(idle_timeout_s):
                    chunk = await chunks.get()
            except TimeoutError:
                return failures.Failure(EndpointFailureReason.TIMED_OUT)
        else:
            chunk = chunks.get_nowait()
        if chunk is not None:
            return chunk
        if self._receiver.is_finished:
            return None
        return failures.Failure(EndpointFailureReason.BROKEN)

    def release(self) -> None:
        """Receive the remaining end, so that the connection can be reused."""
        if not self._read_task.done():
            loop = asyncio.get_running_loop()
            loop.call_later(DRAIN_TIMEOUT_S, self._cancel_unfinished)

    def _cancel_unfinished(self) -> None:
        if not self._read_task.done():
            self.cancel()

    def cancel(self) -> None:
        """Close the connection, which cancels the request at the endpoint."""
        self._stream.close()
        self._read_task.cancel()
