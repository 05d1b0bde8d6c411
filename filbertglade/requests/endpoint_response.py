"""Endpoints' answers while they arrive."""

import abc
import asyncio
import enum

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from filbertglade import failures
from filbertglade.requests import response_source

CONTINUE_LIMIT = 200
TRAILING_LIMIT_S = 1.0
BODILESS_STATUSES = (204, 304)
WAITING_CHUNKS = 4

Head = tuple[httputil.ResponseStartLine, httputil.HTTPHeaders]


class EndpointFailureReason(enum.Enum):
    """Why an endpoint gave no whole answer."""

    # Nothing of the request was sent.
    UNREACHABLE = 'unreachable'
    # The connection broke after the request, or a part of it, was sent.
    BROKEN = 'broken'
    # Silence for too long.
    TIMED_OUT = 'timed-out'
    # The caller of this layer withdrew the call before it was sent.
    WITHDRAWN = 'withdrawn'


class ResponseReceiver(httputil.HTTPMessageDelegate):
    """Takes an answer's head, and its body unless it is a stream of events.

    :ivar head: the head, once it is there.
    :ivar chunks: the parts of the body, a few at once; None at its end.
    :ivar is_finished: whether the whole body has come.
    :ivar is_detached: whether the body is yet to be read from the stream.
    """

    def __init__(self) -> None:
        self.head: asyncio.Future[Head] = (
            asyncio.get_running_loop().create_future()
        )
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue(
            WAITING_CHUNKS
        )
        self.is_finished = False
        self.is_detached = False
        self._connection: http1connection.HTTP1Connection | None = None
        self._written: asyncio.Future[None] | None = None

    def allow_detaching(
        self,
        connection: http1connection.HTTP1Connection,
        written: asyncio.Future[None],
    ) -> None:
        """Let the stream be taken from the connection after the head.

        :param connection: the connection that reads the answer.
        :param written: done once the call is written.
        """
        self._connection = connection
        self._written = written

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Take the head.

        :param start_line: its first line.
        :param headers: the headers.
        """
        if not isinstance(start_line, httputil.ResponseStartLine):
            return
        if start_line.code < CONTINUE_LIMIT or self.head.done():
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
            # The connection still has to see the end of the write.
            return False
        coding = headers.get('Transfer-Encoding', '')
        return (
            coding.strip().lower() == 'chunked'
            and 'Content-Length' not in headers
            and start_line.code not in BODILESS_STATUSES
            and response_source.is_event_stream(headers)
        )

    async def data_received(self, chunk: bytes) -> None:
        """Take a part of the body once there is room for it.

        :param chunk: the part.
        """
        await self.chunks.put(chunk)

    def finish(self) -> None:
        """Note that the whole body has come."""
        self.is_finished = True

    def on_connection_close(self) -> None:
        """Leave the end to whoever reads the connection."""


class EndpointResponse(abc.ABC):
    """An endpoint's answer while it arrives.

    :ivar status: the HTTP status.
    :ivar headers: the headers.
    """

    def __init__(self, head: Head) -> None:
        start_line, headers = head
        self.status = start_line.code
        self.headers = headers

    @property
    def is_framed(self) -> bool:
        """Whether the answer's end can be told from a cut."""
        return (
            'Content-Length' in self.headers
            or 'Transfer-Encoding' in self.headers
            or self.status in BODILESS_STATUSES
        )

    @abc.abstractmethod
    async def read(
        self, limit_s: float | None = None
    ) -> bytes | None | failures.Failure:
        """Return the next part of the body.

        :param limit_s: longest wait, in seconds, if less than the longest
            silence allowed.
        :returns: bytes; None at its whole end; or the failure.
        """

    @abc.abstractmethod
    def release(self) -> None:
        """Let the end of an answer arrive that was read as far as needed."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Close the connection, which cancels the call at the endpoint."""


class QueuedResponse(EndpointResponse):
    """An answer whose connection is read ahead, a few parts at most."""

    def __init__(
        self,
        stream: iostream.IOStream,
        receiver: ResponseReceiver,
        reading: asyncio.Task[bool],
        idle_timeout_ms: int,
    ) -> None:
        super().__init__(receiver.head.result())
        self._stream = stream
        self._receiver = receiver
        self._reading = reading
        self._idle_s = idle_timeout_ms / 1000

    async def read(
        self, limit_s: float | None = None
    ) -> bytes | None | failures.Failure:
        """Return the next part of the body.

        :param limit_s: longest wait, in seconds, if less than the longest
            silence allowed.
        :returns: bytes; None at its whole end; or the failure.
        """
        chunks = self._receiver.chunks
        if chunks.empty():
            idle_s = self._idle_s
            if limit_s is not None:
                idle_s = min(idle_s, max(limit_s, 0))
            try:
                async with asyncio.timeout(idle_s):
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
        """Let the end of an answer arrive that was read as far as needed."""
        if not self._reading.done():
            loop = asyncio.get_running_loop()
            loop.call_later(TRAILING_LIMIT_S, self._cancel_unfinished)

    def _cancel_unfinished(self) -> None:
        if not self._reading.done():
            self.cancel()

    def cancel(self) -> None:
        """Close the connection, which cancels the call at the endpoint."""
        self._stream.close()
        self._reading.cancel()
