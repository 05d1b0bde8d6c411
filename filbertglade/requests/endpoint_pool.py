"""Pool of HTTP connections to endpoints.

Closing a connection cancels the request that runs on it.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import functools
import socket
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from filbertglade import failures
from filbertglade.inner import channels
from filbertglade.requests import endpoint_response
from filbertglade.requests import response_source
from filbertglade.requests import streamed_response
from filbertglade.settings import model

MAX_IDLE_CONNECTIONS = 8
CHUNK_BYTES = 65_536
MAX_BODY_BYTES = 1 << 40
MAX_POOLED_ADDRESSES = 1024


@dataclasses.dataclass(slots=True)
class Call:
    """One request to an endpoint.

    :param method: the HTTP method.
    :param path: path and query.
    :param headers: headers, without hop-by-hop headers.
    :param body: the complete body.
    :param needs_new_connection: whether no kept-alive connection may be used.
        If such a connection breaks, it is unknown whether the endpoint had
        read the request.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    needs_new_connection: bool = False


def may_always_send() -> bool:
    """Allow every call.

    :returns: True.
    """
    return True


class EndpointPool:
    """Sends calls to endpoints, and keeps idle connections by address."""

    def __init__(self, settings: model.NodeSettings) -> None:
        self._settings = settings
        self._client = tcpclient.TCPClient()
        self._idle: dict[str, collections.deque[iostream.IOStream]] = {}

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self._drop_idle(address)
        self._client.close()

    def _drop_idle(self, address: str) -> None:
        for stream in self._idle.pop(address, ()):
            stream.close()

    async def start_call(
        self,
        address: str,
        call: Call,
        timeout_ms: int,
        may_send: abc.Callable[[], bool] = may_always_send,
    ) -> endpoint_response.EndpointResponse | failures.Failure:
        """Send a call and wait for the head of the response.

        :param address: the endpoint's address.
        :param call: the call.
        :param timeout_ms: longest wait for the head, in milliseconds.
        :param may_send: called once a connection is open; nothing is awaited
            between its return and the first byte of the call.
        :returns: the response, whose body is not read yet, or the failure.
            A call is sent once: whether it may run again is the caller's to
            judge.
        """
        stream = (
            None if call.needs_new_connection else self._take_idle(address)
        )
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
        response = await self._send(address, stream, call, timeout_ms)
        if not (is_reused and isinstance(response, failures.Failure)):
            return response
        if (
            response.reason
            is not endpoint_response.EndpointFailureReason.BROKEN
        ):
            return response
        # The others have probably ended with it.
        self._drop_idle(address)
        return failures.Failure(
            endpoint_response.EndpointFailureReason.KEPT_BROKEN,
            response.detail,
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
        read_task = asyncio.get_running_loop().create_task(
            self._read_response(address, stream, connection, receiver)
        )
        waited: set[asyncio.Future[typing.Any]] = {read_task, receiver.head}
        try:
            done, _ = await asyncio.wait(
                waited,
                timeout=max(timeout_ms, 0) / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        except asyncio.CancelledError:
            stream.close()
            read_task.cancel()
            raise
        if receiver.has_final_head:
            return self._build_response(address, stream, receiver, read_task)
        stream.close()
        read_task.cancel()
        if done:
            return failures.Failure(
                endpoint_response.EndpointFailureReason.BROKEN, address
            )
        return failures.Failure(
            endpoint_response.EndpointFailureReason.TIMED_OUT, address
        )

    def _build_response(
        self,
        address: str,
        stream: iostream.IOStream,
        receiver: endpoint_response.ResponseReceiver,
        read_task: asyncio.Task[bool],
    ) -> endpoint_response.EndpointResponse:
        idle_ms = self._settings.timings.idle_timeout_ms
        if not receiver.is_detached:
            return endpoint_response.QueuedResponse(
                stream, receiver, read_task, idle_ms
            )
        return streamed_response.StreamedResponse(
            stream,
            receiver.head.result(),
            idle_ms,
            functools.partial(self._return_connection, address),
        )

    async def look_at(self, address: str) -> failures.Failure | None:
        """Find out whether an endpoint accepts connections.

        :param address: its address.
        :returns: None if it does, or why no connection could be made.
        """
        stream = await self._connect(address)
        if isinstance(stream, failures.Failure):
            return stream
        stream.close()
        return None

    def _take_idle(self, address: str) -> iostream.IOStream | None:
        idle = self._idle.get(address)
        while idle:
            stream = idle.pop()
            if _is_usable(stream):
                return stream
            stream.close()
        return None

    async def _connect(
        self, address: str
    ) -> iostream.IOStream | failures.Failure:
        host, port = channels.split_address(address)
        timeout_s = self._settings.timings.connect_timeout_ms / 1000
        try:
            stream = await self._client.connect(host, port, timeout=timeout_s)
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            reason = endpoint_response.EndpointFailureReason.UNREACHABLE
            if isinstance(
                getattr(error, 'real_error', None) or error,
                ConnectionRefusedError,
            ):
                reason = endpoint_response.EndpointFailureReason.REFUSED
            return failures.Failure(reason, f'{address}: {error}')
        stream.set_nodelay(True)
        return stream

    async def _read_response(
        self,
        address: str,
        stream: iostream.IOStream,
        connection: http1connection.HTTP1Connection,
        receiver: endpoint_response.ResponseReceiver,
    ) -> bool:
        try:
            is_complete = await connection.read_response(receiver)
        except (iostream.StreamClosedError, httputil.HTTPInputError, OSError):
            is_complete = False
        if receiver.is_detached:
            return is_complete
        if receiver.is_finished and stream.error is not None:
            # The library takes a reset for the end of a body without framing.
            start_line, headers = receiver.head.result()
            receiver.is_finished = response_source.is_framed(
                start_line.code, headers
            )
        await receiver.chunks.put(None)
        if is_complete and receiver.is_finished and not stream.closed():
            connection.detach()
            self._return_connection(address, stream)
        else:
            stream.close()
        return is_complete

    def _return_connection(
        self, address: str, stream: iostream.IOStream
    ) -> None:
        if stream.closed():
            return
        if len(self._idle) > MAX_POOLED_ADDRESSES:
            self._forget_closed()
        idle = self._idle.setdefault(
            address, collections.deque(maxlen=MAX_IDLE_CONNECTIONS)
        )
        if len(idle) == MAX_IDLE_CONNECTIONS:
            idle.popleft().close()
        idle.append(stream)

    def _forget_closed(self) -> None:
        self._idle = {
            address: streams
            for address, streams in self._idle.items()
            if any(not stream.closed() for stream in streams)
        }


def _is_usable(stream: iostream.IOStream) -> bool:
    """Return whether an idle connection is open and has no bytes to read.

    The stream itself doesn't notice its end while nobody reads from it.
    """
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _write_call(
    address: str,
    stream: iostream.IOStream,
    call: Call,
    receiver: endpoint_response.ResponseReceiver,
) -> http1connection.HTTP1Connection:
    parameters = http1connection.HTTP1ConnectionParameters(
        no_keep_alive=False,
        chunk_size=CHUNK_BYTES,
        max_body_size=MAX_BODY_BYTES,
    )
    connection = http1connection.HTTP1Connection(stream, True, parameters)
    headers = httputil.HTTPHeaders(call.headers)
    headers['Host'] = address
    headers['Content-Length'] = str(len(call.body))
    start = httputil.RequestStartLine(call.method, call.path, 'HTTP/1.1')
    written = connection.write_headers(start, headers, call.body)
    # A failed write is reported when the response is read.
    written.add_done_callback(asyncio.Future.exception)
    connection.finish()
    if call.method != 'HEAD':
        receiver.allow_detaching(connection, written)
    return connection
