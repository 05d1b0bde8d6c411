"""HTTP connections to endpoints, kept alive and cancelled by closing."""

import asyncio
import collections
from collections import abc
import dataclasses
import enum
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from filbertglade import failures
from filbertglade.inner import channels
from filbertglade.settings import model

IDLE_CONNECTIONS = 8
CHUNK_BYTES = 65_536
WAITING_CHUNKS = 4
BODY_BYTES = 1 << 40
POOLED_ADDRESSES = 1024
CONTINUE_LIMIT = 200
TRAILING_LIMIT_S = 1.0
BODILESS_STATUSES = (204, 304)


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


@dataclasses.dataclass(slots=True)
class Call:
    """One request to an endpoint.

    :param method: the HTTP method.
    :param path: path and query.
    :param headers: headers, without those of the connection.
    :param body: the whole body.
    :param is_fresh: whether it needs a connection of its own. On one that
        was kept alive, a broken connection tells nothing about the call.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    is_fresh: bool = False


def may_always_send() -> bool:
    """Allow a call at any time.

    :returns: True.
    """
    return True


class _Receiver(httputil.HTTPMessageDelegate):
    """Passes an answer's parts to the reader through a bounded queue."""

    def __init__(self) -> None:
        self.head: asyncio.Future[
            tuple[httputil.ResponseStartLine, httputil.HTTPHeaders]
        ] = asyncio.get_running_loop().create_future()
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue(
            WAITING_CHUNKS
        )
        self.is_finished = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        if isinstance(start_line, httputil.ResponseStartLine):
            if start_line.code >= CONTINUE_LIMIT and not self.head.done():
                self.head.set_result((start_line, headers))

    async def data_received(self, chunk: bytes) -> None:
        await self.chunks.put(chunk)

    def finish(self) -> None:
        self.is_finished = True

    def on_connection_close(self) -> None:
        pass


class Answer:
    """An endpoint's answer while it arrives."""

    def __init__(
        self,
        stream: iostream.IOStream,
        receiver: _Receiver,
        reading: asyncio.Task[bool],
        idle_timeout_ms: int,
    ) -> None:
        self._stream = stream
        self._receiver = receiver
        self._reading = reading
        self._idle_s = idle_timeout_ms / 1000
        start_line, headers = receiver.head.result()
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


class EndpointPool:
    """Connections to endpoints by address."""

    def __init__(self, settings: model.NodeSettings) -> None:
        self._settings = settings
        self._client = tcpclient.TCPClient()
        self._idle: dict[str, collections.deque[iostream.IOStream]] = {}

    def close(self) -> None:
        """Close all idle connections."""
        for streams in self._idle.values():
            for stream in streams:
                stream.close()
        self._idle.clear()
        self._client.close()

    async def start_call(
        self,
        address: str,
        call: Call,
        timeout_ms: int,
        may_send: abc.Callable[[], bool] = may_always_send,
    ) -> Answer | failures.Failure:
        """Send a call and wait for the head of its answer.

        :param address: the endpoint's address.
        :param call: the call.
        :param timeout_ms: longest wait for the head.
        :param may_send: asked once there is a connection; nothing is awaited
            between its answer and the call's first byte.
        :returns: the answer, whose body is yet to be read, or the failure.
        """
        stream = None if call.is_fresh else self._take_idle(address)
        is_reused = stream is not None
        if stream is None:
            opened = await self._connect(address)
            if isinstance(opened, failures.Failure):
                return opened
            stream = opened
        if not may_send():
            stream.close()
            return failures.Failure(EndpointReason.WITHDRAWN)
        answer = await self._send(address, stream, call, timeout_ms)
        if not (is_reused and isinstance(answer, failures.Failure)):
            return answer
        if answer.reason is not EndpointReason.BROKEN:
            return answer
        # The endpoint may just have closed an idle connection.
        call.is_fresh = True
        again = await self.start_call(address, call, timeout_ms, may_send)
        if isinstance(again, Answer):
            return again
        # Or it broke because the endpoint crashed while it ran the call.
        return failures.Failure(EndpointReason.BROKEN, again.detail)

    async def _send(
        self,
        address: str,
        stream: iostream.IOStream,
        call: Call,
        timeout_ms: int,
    ) -> Answer | failures.Failure:
        receiver = _Receiver()
        connection = _write_call(address, stream, call)
        reading = asyncio.get_running_loop().create_task(
            self._exchange(address, stream, connection, receiver)
        )
        waited: set[asyncio.Future[typing.Any]] = {reading, receiver.head}
        try:
            done, _ = await asyncio.wait(
                waited,
                timeout=max(timeout_ms, 0) / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        except asyncio.CancelledError:
            stream.close()
            reading.cancel()
            raise
        if receiver.head.done():
            return Answer(
                stream,
                receiver,
                reading,
                self._settings.timings.idle_timeout_ms,
            )
        stream.close()
        reading.cancel()
        reason = EndpointReason.BROKEN if done else EndpointReason.TIMED_OUT
        return failures.Failure(reason, address)

    async def is_reachable(self, address: str) -> bool:
        """Return whether an endpoint still takes connections.

        :param address: its address.
        """
        stream = await self._connect(address)
        if isinstance(stream, failures.Failure):
            return False
        stream.close()
        return True

    def _take_idle(self, address: str) -> iostream.IOStream | None:
        idle = self._idle.get(address)
        while idle:
            stream = idle.pop()
            if not stream.closed():
                return stream
        return None

    async def _connect(
        self, address: str
    ) -> iostream.IOStream | failures.Failure:
        host, port = channels.split_address(address)
        timeout_s = self._settings.timings.connect_timeout_ms / 1000
        try:
            stream = await self._client.connect(host, port, timeout=timeout_s)
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            detail = f'{address}: {error}'
            return failures.Failure(EndpointReason.UNREACHABLE, detail)
        stream.set_nodelay(True)
        return stream

    async def _exchange(
        self,
        address: str,
        stream: iostream.IOStream,
        connection: http1connection.HTTP1Connection,
        receiver: _Receiver,
    ) -> bool:
        try:
            whole = await connection.read_response(receiver)
        except (iostream.StreamClosedError, httputil.HTTPInputError, OSError):
            whole = False
        await receiver.chunks.put(None)
        if whole and receiver.is_finished and not stream.closed():
            connection.detach()
            self._keep(address, stream)
        else:
            stream.close()
        return whole

    def _keep(self, address: str, stream: iostream.IOStream) -> None:
        if len(self._idle) > POOLED_ADDRESSES:
            self._forget_closed()
        idle = self._idle.setdefault(
            address, collections.deque(maxlen=IDLE_CONNECTIONS)
        )
        if len(idle) == IDLE_CONNECTIONS:
            idle.popleft().close()
        idle.append(stream)

    def _forget_closed(self) -> None:
        self._idle = {
            address: streams
            for address, streams in self._idle.items()
            if any(not stream.closed() for stream in streams)
        }


def _write_call(
    address: str, stream: iostream.IOStream, call: Call
) -> http1connection.HTTP1Connection:
    parameters = http1connection.HTTP1ConnectionParameters(
        no_keep_alive=False,
        chunk_size=CHUNK_BYTES,
        max_body_size=BODY_BYTES,
    )
    connection = http1connection.HTTP1Connection(stream, True, parameters)
    headers = httputil.HTTPHeaders(call.headers)
    headers['Host'] = address
    headers['Content-Length'] = str(len(call.body))
    start = httputil.RequestStartLine(call.method, call.path, 'HTTP/1.1')
    written = connection.write_headers(start, headers, call.body)
    # A failed write shows again when the answer is read.
    written.add_done_callback(asyncio.Future.exception)
    connection.finish()
    return connection
