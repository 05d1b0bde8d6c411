"""Endpoints' answers while they arrive."""

import abc
import asyncio
from collections import abc as collections_abc
import enum

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from filbertglade import failures
from filbertglade.requests import answers
from filbertglade.requests import chunked
from filbertglade.requests import silence

CONTINUE_LIMIT = 200
TRAILING_LIMIT_S = 1.0
BODILESS_STATUSES = (204, 304)
READ_BYTES = 65_536
WAITING_CHUNKS = 4

Head = tuple[httputil.ResponseStartLine, httputil.HTTPHeaders]


class EndpointReason(enum.Enum):
    """Why an endpoint gave no whole answer."""

    # Nothing of the request was sent.
    UNREACHABLE = 'unreachable'
    # The connection broke after the request, or a part of it, was sent.
    BROKEN = 'broken'
    # Silence for too long.
    TIMED_OUT = 'timed-out'
    # The caller of this layer withdrew the call before it was sent.
    WITHDRAWN = 'withdrawn'


class Receiver(httputil.HTTPMessageDelegate):
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
            and answers.is_event_stream(headers)
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


class Answer(abc.ABC):
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


class QueuedAnswer(Answer):
    """An answer whose connection is read ahead, a few parts at most."""

    def __init__(
        self,
        stream: iostream.IOStream,
        receiver: Receiver,
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
                chunk = await asyncio.wait_for(chunks.get(), idle_s)
            except TimeoutError:
                return failures.Failure(EndpointReason.TIMED_OUT)
        else:
            chunk = chunks.get_nowait()
        if chunk is not None:
            return chunk
        if self._receiver.is_finished:
            return None
        return failures.Failure(EndpointReason.BROKEN)

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


class StreamedAnswer(Answer):
    """An answer in chunks, read from its connection only when asked for.

    All that has arrived is read at once, whatever number of chunks it is.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        head: Head,
        idle_timeout_ms: int,
        keep: collections_abc.Callable[[iostream.IOStream], None],
    ) -> None:
        super().__init__(head)
        self._stream = stream
        self._idle_s = idle_timeout_ms / 1000
        self._keep = keep
        self._decoder = chunked.ChunkDecoder()
        self._watch = silence.SilenceWatch(stream.close)
        self._finishing: asyncio.Task[None] | None = None

    async def read(
        self, limit_s: float | None = None
    ) -> bytes | None | failures.Failure:
        """Return the next part of the body.

        :param limit_s: longest wait, in seconds, if less than the longest
            silence allowed.
        :returns: bytes; None at its whole end; or the failure.
        """
        idle_s = self._idle_s
        if limit_s is not None:
            idle_s = min(idle_s, max(limit_s, 0))
        self._watch.begin(idle_s)
        try:
            return await self._read_part()
        except iostream.StreamClosedError:
            if self._watch.has_expired:
                return failures.Failure(EndpointReason.TIMED_OUT)
            return failures.Failure(EndpointReason.BROKEN)
        finally:
            self._watch.end()

    async def _read_part(self) -> bytes | None | failures.Failure:
        decoder = self._decoder
        while not (decoder.is_done or decoder.is_broken):
            data = await self._stream.read_bytes(READ_BYTES, partial=True)
            part = decoder.feed(data)
            if part:
                return part
        if decoder.is_broken:
            return failures.Failure(EndpointReason.BROKEN)
        return None

    def release(self) -> None:
        """Let the end of an answer arrive that was read as far as needed."""
        if self._decoder.is_done or self._stream.closed():
            self._settle()
        else:
            loop = asyncio.get_running_loop()
            self._finishing = loop.create_task(self._finish())

    async def _finish(self) -> None:
        self._watch.begin(TRAILING_LIMIT_S)
        try:
            while isinstance(await self._read_part(), bytes):
                pass
        except iostream.StreamClosedError:
            pass
        self._settle()

    def _settle(self) -> None:
        """Keep the connection for further calls, or close it."""
        self._watch.end()
        self._watch.stop()
        decoder = self._decoder
        if decoder.is_done and not decoder.has_excess:
            self._keep(self._stream)
        else:
            self._stream.close()

    def cancel(self) -> None:
        """Close the connection, which cancels the call at the endpoint."""
        self._stream.close()
        self._watch.stop()
