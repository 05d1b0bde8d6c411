"""HTTP connections to endpoints, kept alive and cancelled by closing."""

import asyncio
import collections
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
BODY_BYTES = 1 << 40


class EndpointReason(enum.Enum):
    """Why an endpoint gave no whole answer."""

    # Nothing of the request was sent.
    UNREACHABLE = 'unreachable'
    # The connection broke after the request, or a part of it, was sent.
    BROKEN = 'broken'
    # Silence for too long.
    TIMED_OUT = 'timed-out'


@dataclasses.dataclass(slots=True)
class Call:
    """One request to an endpoint.

    :param method: the HTTP method.
    :param path: path and query.
    :param headers: headers, without those of the connection.
    :param body: the whole body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class _Receiver(httputil.HTTPMessageDelegate):
    """Passes an answer's parts to the reader through a bounded queue."""

    def __init__(self) -> None:
        self.head: asyncio.Future[
            tuple[httputil.ResponseStartLine, httputil.HTTPHeaders]
        ] = asyncio.get_running_loop().create_future()
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue(16)
        self.is_finished = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        if isinstance(start_line, httputil.ResponseStartLine):
            if not self.head.done():
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

    async def read(self) -> bytes | None | failures.Failure:
        """Return the next part of the body.

        :returns: bytes; None at its whole end; or the failure.
        """
        try:
            chunk = await asyncio.wait_for(
                self._receiver.chunks.get(), self._idle_s
            )
        except TimeoutError:
            return failures.Failure(EndpointReason.TIMED_OUT)
        if chunk is not None:
            return chunk
        if self._receiver.is_finished:
            return None
        return failures.Failure(EndpointReason.BROKEN)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another call."""
        return self._receiver.is_finished and not self._stream.closed()

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
        self, address: str, call: Call
    ) -> Answer | failures.Failure:
        """Send a call and wait for the head of its answer.

        :param address: the endpoint's address.
        :param call: the call.
        :returns: the answer, whose body is yet to be read, or the failure.
        """
        stream = await self._connect(address)
        if isinstance(stream, failures.Failure):
            return stream
        receiver = _Receiver()
        reading = asyncio.get_running_loop().create_task(
            self._exchange(address, stream, call, receiver)
        )
        timeout_s = self._settings.timings.first_byte_timeout_ms / 1000
        waited: set[asyncio.Future[typing.Any]] = {reading, receiver.head}
        try:
            done, _ = await asyncio.wait(
                waited,
                timeout=timeout_s,
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

    async def _connect(
        self, address: str
    ) -> iostream.IOStream | failures.Failure:
        idle = self._idle.get(address)
        while idle:
            stream = idle.pop()
            if not stream.closed():
                return stream
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
        call: Call,
        receiver: _Receiver,
    ) -> bool:
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
        try:
            connection.write_headers(start, headers, call.body)
            connection.finish()
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
        idle = self._idle.setdefault(
            address, collections.deque(maxlen=IDLE_CONNECTIONS)
        )
        if len(idle) == IDLE_CONNECTIONS:
            idle.popleft().close()
        idle.append(stream)
