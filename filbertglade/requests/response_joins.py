"""Joining a response of another node: client and server of the RPC."""

import abc
import asyncio
import enum

from grpclib import client
from grpclib import const
from grpclib import exceptions
from grpclib import server
from tornado import httputil

from filbertglade.inner import channels
from filbertglade.inner import requests_grpc
from filbertglade.inner import requests_pb2
from filbertglade.observability import metrics
from filbertglade.requests import attempts
from filbertglade.requests import in_flight_counter
from filbertglade.requests import outcomes
from filbertglade.requests import response_source
from filbertglade.requests import shared_response
from filbertglade.settings import model

KEEPALIVE_INTERVAL_S = 0.5
FRAME_TIMEOUT_S = 2.0

CONNECTION_ERRORS = (
    OSError,
    EOFError,
    TimeoutError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
)
JoinStream = client.Stream[requests_pb2.JoinRequest, requests_pb2.JoinFrame]


class JoinFailure(enum.Enum):
    """Why there is no response to join."""

    # The owner has abandoned the attempt and will never dispatch it.
    NEVER_DISPATCHED = 'never-dispatched'
    # The owner does not have the attempt, or can't be reached.
    UNKNOWN = 'unknown'


class Joiner(abc.ABC):
    """Joins responses of attempts that other nodes own."""

    @abc.abstractmethod
    async def join(
        self, address: str, request: requests_pb2.JoinRequest, timeout_ms: int
    ) -> response_source.ResponseSource | outcomes.Refusal | JoinFailure:
        """Join the response of an attempt.

        :param address: the owner's inner address.
        :param request: names the attempt.
        :param timeout_ms: longest wait for the response head, in milliseconds.
        :returns: the response, its refusal, or why there is none.
        """


class InnerJoiner(Joiner):
    """Joins responses over the inner protocol."""

    def __init__(self, channel_factory: channels.ChannelFactory) -> None:
        self._channels = channel_factory

    async def join(
        self, address: str, request: requests_pb2.JoinRequest, timeout_ms: int
    ) -> response_source.ResponseSource | outcomes.Refusal | JoinFailure:
        """Join the response of an attempt.

        :param address: the owner's inner address.
        :param request: names the attempt.
        :param timeout_ms: longest wait for the response head, in milliseconds.
        :returns: the response, its refusal, or why there is none.
        """
        remote = RemoteResponse(self._channels.open_channel(address))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                found = await remote.open(request)
        except CONNECTION_ERRORS:
            found = JoinFailure.UNKNOWN
        except asyncio.CancelledError:
            remote.close()
            raise
        if found is None:
            return remote
        remote.close()
        return found


class RemoteResponse(response_source.ResponseSource):
    """A response that is received from another node."""

    def __init__(self, channel: client.Channel) -> None:
        self._channel = channel
        self._stream: JoinStream | None = None
        self.status = 0
        self.headers = httputil.HTTPHeaders()

    async def open(
        self, request: requests_pb2.JoinRequest
    ) -> None | outcomes.Refusal | JoinFailure:
        """Request the response and wait for its head.

        :param request: names the attempt.
        :returns: None once the head is received; or why there is none.
        :raises OSError: the owner can't be reached; other connection errors
            are raised as well.
        """
        stub = requests_grpc.RequestsStub(self._channel)
        stream = stub.Join.open()
        async with asyncio.timeout(FRAME_TIMEOUT_S):
            self._stream = await stream.__aenter__()
            await self._stream.send_message(request, end=True)
        while True:
            frame = await self._receive()
            kind = frame.WhichOneof('kind')
            if kind == 'head':
                self.status = frame.head.status
                for header in frame.head.headers:
                    self.headers.add(header.name, header.value)
                return None
            if kind == 'never_dispatched':
                return JoinFailure.NEVER_DISPATCHED
            if kind == 'end':
                return _read_end(frame.end) or JoinFailure.UNKNOWN
            if kind != 'body':
                return JoinFailure.UNKNOWN

    async def read(self) -> bytes | None | outcomes.Refusal:
        """Return the next part of the body.

        :returns: bytes; None after a complete body; or the refusal that
            tells why the body is incomplete.
        """
        try:
            while True:
                frame = await self._receive()
                if frame.WhichOneof('kind') == 'end':
                    self.close()
                    return _read_end(frame.end)
                if frame.body:
                    return frame.body
        except CONNECTION_ERRORS:
            self.close()
            return outcomes.Refusal(
                outcomes.RefusalReason.OWNER_GONE,
                'the connection to the node that runs the request was lost',
                outcomes.Outcome.UNKNOWN,
                retry_after_ms=outcomes.RETRY_AFTER_MS,
            )

    def close(self) -> None:
        """Close the connection to the owner."""
        self._channel.close()

    async def _receive(self) -> requests_pb2.JoinFrame:
        assert self._stream is not None
        async with asyncio.timeout(FRAME_TIMEOUT_S):
            frame = await self._stream.recv_message()
        if frame is None:
            raise EOFError
        return frame


class JoinServicer(requests_grpc.RequestsBase):
    """Relays the responses of this node's attempts to other nodes."""

    def __init__(
        self,
        settings: model.NodeSettings,
        registry: attempts.AttemptRegistry,
        in_flight: in_flight_counter.InFlightCounter,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._in_flight = in_flight
        self._counters = counters

    async def Join(
        self,
        stream: server.Stream[
            requests_pb2.JoinRequest, requests_pb2.JoinFrame
        ],
    ) -> None:
        """Serve one join.

        :param stream: the RPC stream.
        """
        request = await stream.recv_message()
        if request is None:
            return
        limits = self._settings.limits
        if self._in_flight.count >= 2 * limits.requests_in_flight:
            raise exceptions.GRPCError(const.Status.RESOURCE_EXHAUSTED)
        self._counters.count('joins_served')
        try:
            with self._in_flight.track():
                await self._serve(stream, request)
        except CONNECTION_ERRORS:
            self._counters.count('joins_left')

    async def _serve(
        self,
        stream: server.Stream[
            requests_pb2.JoinRequest, requests_pb2.JoinFrame
        ],
        request: requests_pb2.JoinRequest,
    ) -> None:
        attempt = self._registry.find(request.attempt)
        reader = None
        if attempt and attempt.body_digest == request.body_digest:
            if attempt.state is attempts.AttemptState.ABANDONED:
                await self._send(stream, never_dispatched=True)
                return
            reader = attempt.response.open_reader()
        if attempt is None or reader is None:
            await self._send(stream, unknown_attempt=True)
            return
        try:
            await self._relay_response(stream, attempt, reader)
        finally:
            reader.close()

    async def _relay_response(
        self,
        stream: server.Stream[
            requests_pb2.JoinRequest, requests_pb2.JoinFrame
        ],
        attempt: attempts.Attempt,
        reader: shared_response.ResponseReader,
    ) -> None:
        refusal = await self._keep_alive(stream, reader.wait_head())
        if attempt.state is attempts.AttemptState.ABANDONED:
            await self._send(stream, never_dispatched=True)
            return
        if isinstance(refusal, outcomes.Refusal):
            await self._send(stream, end=_build_end(refusal))
            return
        head = requests_pb2.JoinHead(status=reader.status)
        for name, value in reader.headers.get_all():
            head.headers.add(name=name, value=value)
        await self._send(stream, head=head)
        while True:
            part = await self._keep_alive(stream, reader.read())
            if not isinstance(part, bytes):
                await self._send(stream, end=_build_end(part))
                return
            await self._send(stream, body=part)

    async def _keep_alive(self, stream, work):  # type: ignore[no-untyped-def]
        """Wait for work, sending empty frames so that the reader stays."""
        task = asyncio.ensure_future(work)
        try:
            while True:
                done, _ = await asyncio.wait(
                    {task}, timeout=KEEPALIVE_INTERVAL_S
                )
                if done:
                    return task.result()
                await self._send(stream, body=b'')
        finally:
            task.cancel()

    async def _send(self, stream, **fields):  # type: ignore[no-untyped-def]
        frame = requests_pb2.JoinFrame(**fields)
        idle_s = self._settings.timings.idle_timeout_ms / 1000
        async with asyncio.timeout(idle_s):
            await stream.send_message(frame)


def _build_end(refusal: outcomes.Refusal | None) -> requests_pb2.JoinEnd:
    if refusal is None:
        return requests_pb2.JoinEnd(outcome=outcomes.Outcome.COMPLETE.value)
    return requests_pb2.JoinEnd(
        outcome=refusal.outcome.value,
        detail=refusal.detail,
        reason=refusal.reason.value,
        retry_after_ms=refusal.retry_after_ms,
    )


def _read_end(end: requests_pb2.JoinEnd) -> outcomes.Refusal | None:
    if end.outcome == outcomes.Outcome.COMPLETE.value:
        return None
    try:
        reason = outcomes.RefusalReason(end.reason)
        outcome = outcomes.Outcome(end.outcome)
    except ValueError:
        reason = outcomes.RefusalReason.OWNER_GONE
        outcome = outcomes.Outcome.UNKNOWN
    return outcomes.Refusal(
        reason, end.detail, outcome, retry_after_ms=end.retry_after_ms
    )
