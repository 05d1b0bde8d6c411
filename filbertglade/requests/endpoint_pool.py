"""HTTP connections to endpoints, kept alive and cancelled by closing."""

import asyncio
import collections
from collections import abc
import dataclasses
import functools
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from filbertglade import failures
from filbertglade.inner import channels
from filbertglade.requests import endpoint_response
from filbertglade.requests import streamed_response
from filbertglade.settings import model

IDLE_CONNECTIONS = 8
CHUNK_BYTES = 65_536
BODY_BYTES = 1 << 40
POOLED_ADDRESSES = 1024


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
    ) -> endpoint_response.EndpointResponse | failures.Failure:
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
            return failures.Failure(
                endpoint_response.EndpointFailureReason.WITHDRAWN
            )
        answer = await self._send(address, stream, call, timeout_ms)
        if not (is_reused and isinstance(answer, failures.Failure)):
            return answer
        if answer.reason is not endpoint_response.EndpointFailureReason.BROKEN:
            return answer
        # The endpoint may just have closed an idle connection.
        call.is_fresh = True
        again = await self.start_call(address, call, timeout_ms, may_send)
        if isinstance(again, endpoint_response.EndpointResponse):
            return again
        # Or it broke because the endpoint crashed while it ran the call.
        return failures.Failure(
            endpoint_response.EndpointFailureReason.BROKEN, again.detail
        )

    async def _send(
        self,
        address: str,
        stream: iostream.IOStream,
        call: Call,
        timeout_ms: int,
    ) -> endpoint_response.EndpointResponse | failures.Failure:
        receiver = endpoint_response.ResponseReceiver()
        connection = _write_call(address, stream, call, receiver)
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
            return self._build_answer(address, stream, receiver, reading)
        stream.close()
        reading.cancel()
        if done:
            return failures.Failure(
                endpoint_response.EndpointFailureReason.BROKEN, address
            )
        return failures.Failure(
            endpoint_response.EndpointFailureReason.TIMED_OUT, address
        )

    def _build_answer(
        self,
        address: str,
        stream: iostream.IOStream,
        receiver: endpoint_response.ResponseReceiver,
        reading: asyncio.Task[bool],
    ) -> endpoint_response.EndpointResponse:
        idle_ms = self._settings.timings.idle_timeout_ms
        if not receiver.is_detached:
            return endpoint_response.QueuedResponse(
                stream, receiver, reading, idle_ms
            )
        return streamed_response.StreamedResponse(
            stream,
            receiver.head.result(),
            idle_ms,
            functools.partial(self._keep, address),
        )

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
            return failures.Failure(
                endpoint_response.EndpointFailureReason.UNREACHABLE, detail
            )
        stream.set_nodelay(True)
        return stream

    async def _exchange(
        self,
        address: str,
        stream: iostream.IOStream,
        connection: http1connection.HTTP1Connection,
        receiver: endpoint_response.ResponseReceiver,
    ) -> bool:
        try:
            whole = await connection.read_response(receiver)
        except (iostream.StreamClosedError, httputil.HTTPInputError, OSError):
            whole = False
        if receiver.is_detached:
            return whole
        await receiver.chunks.put(None)
        if whole and receiver.is_finished and not stream.closed():
            connection.detach()
            self._keep(address, stream)
        else:
            stream.close()
        return whole

    def _keep(self, address: str, stream: iostream.IOStream) -> None:
        if stream.closed():
            return
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
    address: str,
    stream: iostream.IOStream,
    call: Call,
    receiver: endpoint_response.ResponseReceiver,
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
    if call.method != 'HEAD':
        receiver.allow_detaching(connection, written)
    return connection
