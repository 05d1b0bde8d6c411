"""Passes the response of an endpoint on to the caller."""

import asyncio

from tornado import httputil
from tornado import iostream

from filbertglade import clock
from filbertglade.fleet import document
from filbertglade.forwarding import body_budget
from filbertglade.forwarding import choice
from filbertglade.forwarding import context
from filbertglade.forwarding import events
from filbertglade.forwarding import heads
from filbertglade.forwarding import request_record
from filbertglade.forwarding import server
from filbertglade.forwarding import stall_detection
from filbertglade.forwarding import upstream


class Delivery:
    """Passes one request's response on, over all attempts.

    :param shared: state that all requests share.
    :param request: the request.
    :param record: logs the decisions.
    :param stream: the stream whose events the stall detector gets.
    :ivar splitter: the events of the response so far.
    :ivar first_byte_ms: local clock at the first part of the response; None
        before.
    :ivar longest_pause_ms: longest pause between parts of a stream.
    :ivar is_passing_body: whether a body that is too long to be kept is being
        forwarded.
    """

    def __init__(
        self,
        shared: context.ForwardingContext,
        request: server.CallerRequest,
        record: request_record.RequestRecord,
        stream: stall_detection.Stream,
    ) -> None:
        self._context = shared
        self._request = request
        self._record = record
        self._stream = stream
        self.splitter = events.EventSplitter()
        self.first_byte_ms: int | None = None
        self.longest_pause_ms = 0
        self.is_passing_body = False
        self._last_byte_ms = 0

    async def forward(
        self,
        target: choice.Target,
        connection: upstream.Connection,
        head: upstream.ResponseHead,
    ) -> None:
        """Forward a response, the events of a stream as they arrive.

        :param target: the endpoint, or the replica, that responds.
        :param connection: the connection to it.
        :param head: the head of its response.
        :raises upstream.IncompleteResponse: the response broke off.
        :raises events.EventTooLong: an event is too long to be kept.
        """
        route = self._record.route
        assert route is not None
        if route.kind is document.RouteKind.STREAMING and head.is_success:
            await self._forward_stream(target, connection, head, route)
        else:
            await self._forward_body(connection, head)

    async def _forward_body(
        self, connection: upstream.Connection, head: upstream.ResponseHead
    ) -> None:
        """Forward a response once it is complete, or too long to be kept."""
        held = self._context.bodies.begin()
        try:
            async for chunk in connection.read_body(head):
                if self.is_passing_body:
                    await self._write(chunk)
                elif not held.add(chunk):
                    await self._begin_passing(head, held)
            if not self.is_passing_body:
                self.first_byte_ms = clock.now_ms()
                body = held.take()
                headers = heads.strip_headers(head.headers)
                if head.length is None or self._request.method != 'HEAD':
                    headers['Content-Length'] = str(len(body))
                await self._begin_response(head, headers)
                await self._write(body)
        finally:
            held.discard()
        self._request.finish()

    async def _begin_passing(
        self, head: upstream.ResponseHead, held: body_budget.HeldBody
    ) -> None:
        """Begin to forward a long body as it arrives."""
        self.is_passing_body = True
        self.first_byte_ms = clock.now_ms()
        self._record.write('body.passed_on', length=head.length)
        headers = heads.strip_headers(head.headers)
        if head.length is None:
            headers.pop('Content-Length', None)
        await self._begin_response(head, headers)
        await self._write(held.take())

    async def _forward_stream(
        self,
        target: choice.Target,
        connection: upstream.Connection,
        head: upstream.ResponseHead,
        route: document.Route,
    ) -> None:
        """Forward the complete events of a stream as they arrive."""
        if not self._request.is_response_started:
            headers = heads.strip_headers(head.headers)
            if route.resumable:
                # The stream may be resumed at another endpoint, so its length
                # is not known.
                headers.pop('Content-Length', None)
            await self._begin_response(head, headers)
        held = self._context.bodies.begin()
        try:
            async for chunk in connection.read_body(head):
                self._record_pause()
                self._context.stall_detector.record_event(target, self._stream)
                complete = self.splitter.split(chunk)
                if not held.set_size(self.splitter.partial_bytes):
                    raise events.EventTooLong('too many bytes are kept')
                if complete:
                    await self._write(complete)
        finally:
            held.discard()
        rest = self.splitter.finish()
        if rest:
            await self._write(rest)
        self._request.finish()

    def _record_pause(self) -> None:
        """Record the pause before a part of a stream."""
        now_ms = clock.now_ms()
        if self.first_byte_ms is None:
            self.first_byte_ms = now_ms
        else:
            pause_ms = now_ms - self._last_byte_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self._last_byte_ms = now_ms

    async def _begin_response(
        self, head: upstream.ResponseHead, headers: httputil.HTTPHeaders
    ) -> None:
        try:
            await self._request.begin_response(
                head.status, head.reason, headers
            )
        except iostream.StreamClosedError as error:
            raise asyncio.CancelledError from error

    async def _write(self, chunk: bytes) -> None:
        try:
            await self._request.write(chunk)
        except iostream.StreamClosedError as error:
            raise asyncio.CancelledError from error
