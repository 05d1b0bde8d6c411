"""Passes the response of an endpoint on to the caller."""

import asyncio
from collections import abc

from tornado import httputil
from tornado import iostream

from filbertglade import clock
from filbertglade.fleet import document
from filbertglade.forwarding import body_budget
from filbertglade.forwarding import context
from filbertglade.forwarding import crash_check
from filbertglade.forwarding import events
from filbertglade.forwarding import heads
from filbertglade.forwarding import request_record
from filbertglade.forwarding import server
from filbertglade.forwarding import stall_detection
from filbertglade.forwarding import targets
from filbertglade.forwarding import upstream


# Longest wait for what an endpoint's address shows after a response without a
# stated end, in ms: several round trips between data centres, and the time
# that a new connection has to stay open.
END_CHECK_MS = 150
# Time before a request's deadline that is left to send what has arrived, in
# ms.
END_MARGIN_MS = 50
EVENT_STREAM_TYPE = 'text/event-stream'


class Delivery:
    """Passes one request's response on, over all attempts.

    A response whose end its endpoint doesn't state is passed on without a
    stated end too.

    :param shared: state that all requests share.
    :param request: the request.
    :param record: logs the decisions.
    :param stream: the stream whose events the stall detector gets.
    :ivar splitter: the events of the response so far.
    :ivar first_byte_listener: called with the local clock at the first part
        of a stream; None without one.
    :ivar first_byte_ms: local clock at the first part of the response; None
        before.
    :ivar longest_pause_ms: longest pause between parts of a stream.
    :ivar is_survival_known: whether the endpoint is known to have survived the
        request that it responded to.
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
        self.first_byte_listener: abc.Callable[[int], None] | None = None
        self.longest_pause_ms = 0
        self.is_passing_body = False
        self.is_survival_known = False
        self._last_byte_ms = 0
        # Kind of the response that has been begun.
        self._kind = ('', False)

    async def forward(
        self,
        target: targets.Target,
        connection: upstream.Connection,
        head: upstream.ResponseHead,
    ) -> None:
        """Forward a response, the events of a stream as they arrive.

        :param target: the endpoint, or the replica, that responds.
        :param connection: the connection to it.
        :param head: the head of its response.
        :raises upstream.IncompleteResponse: the response broke off.
        :raises upstream.UnstatedEnd: nothing states that it is complete.
        :raises events.EventTooLong: an event is too long to be kept.
        """
        route = self._record.route
        assert route is not None
        if route.kind is document.RouteKind.STREAMING and head.is_success:
            await self._forward_stream(target, connection, head, route)
        else:
            await self._forward_body(target, connection, head)

    async def _forward_body(
        self,
        target: targets.Target,
        connection: upstream.Connection,
        head: upstream.ResponseHead,
    ) -> None:
        """Forward a response once it is complete, or too long to be kept."""
        held = self._context.bodies.begin()
        try:
            async for chunk in connection.read_body(head):
                if self.is_passing_body:
                    await self._write(chunk)
                elif not held.add(chunk):
                    await self._begin_passing(head, held)
            await self._check_end(target, head)
            if not self.is_passing_body:
                self.first_byte_ms = clock.now_ms()
                body = held.take()
                headers = heads.strip_headers(head.headers)
                if head.has_stated_end and self._request.method != 'HEAD':
                    headers['Content-Length'] = str(len(body))
                parts = [body]
                del body
                await self._begin_with(head, headers, parts)
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
        await self._begin_with(head, headers, [held.take()])

    async def _forward_stream(
        self,
        target: targets.Target,
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
                self._context.evidence.stall_detector.record_event(
                    target, self._stream
                )
                complete = self.splitter.split(chunk)
                if not held.set_size(self.splitter.partial_bytes):
                    raise events.EventTooLong('too many bytes are kept')
                if complete:
                    await self._write(complete)
        finally:
            held.discard()
        if self.splitter.is_inside_event and _is_event_stream(head):
            raise upstream.IncompleteResponse('ended inside an event')
        await self._check_end(target, head)
        if self._request.states_end and not head.has_stated_end:
            raise upstream.UnstatedEnd('a resumed part has no stated end')
        rest = self.splitter.take_partial()
        if rest:
            await self._write(rest)
        self._request.finish()

    def is_continuation(self, head: upstream.ResponseHead) -> bool:
        """Return whether a response can go on with the one that has begun.

        An endpoint may answer the attempt to resume a stream with something
        else, an error page for instance.

        :param head: its head.
        """
        return head.is_success and self._find_kind(head) == self._kind

    def _find_kind(self, head: upstream.ResponseHead) -> tuple[str, bool]:
        """Return a response's media type, and whether it is signed."""
        signature = self._context.dialect.signature
        return _find_media_type(head), signature in head.headers

    async def _check_end(
        self, target: targets.Target, head: upstream.ResponseHead
    ) -> None:
        """Check that a response without a stated end has not broken off.

        The connections of a crashed endpoint end like those of a complete
        response.

        :raises upstream.IncompleteResponse: the endpoint has crashed.
        :raises upstream.UnstatedEnd: it was leaving, and has ended before its
            response did or after it.
        """
        shared = self._context
        self.is_survival_known = head.has_stated_end
        if head.has_stated_end or 300 <= head.status < 500:
            # A refusal of this kind took no work that could crash anything.
            return
        left_ms = self._record.deadline_ms - clock.now_ms() - END_MARGIN_MS
        # If nothing tells, the response goes out within its deadline.
        sign = await shared.evidence.crash_check.look_within(
            target, min(END_CHECK_MS, left_ms)
        )
        is_leaving = shared.evidence.is_leaving(target)
        self._record.write(
            'answer.end_checked',
            endpoint=target.key,
            sign=sign.value,
            leaving=is_leaving,
        )
        self.is_survival_known = sign is crash_check.EndpointSign.LISTENING
        if sign is not crash_check.EndpointSign.ENDED:
            return
        if is_leaving:
            raise upstream.UnstatedEnd('its endpoint has left')
        raise upstream.IncompleteResponse('its endpoint has ended')

    def _record_pause(self) -> None:
        """Record the pause before a part of a stream."""
        now_ms = clock.now_ms()
        if self.first_byte_ms is None:
            self.first_byte_ms = now_ms
            if self.first_byte_listener is not None:
                self.first_byte_listener(now_ms)
        else:
            pause_ms = now_ms - self._last_byte_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self._last_byte_ms = now_ms

    async def _begin_response(
        self, head: upstream.ResponseHead, headers: httputil.HTTPHeaders
    ) -> None:
        self._kind = self._find_kind(head)
        try:
            await self._request.begin_response(
                head.status, head.reason, headers, head.has_stated_end
            )
        except iostream.StreamClosedError as error:
            raise asyncio.CancelledError from error

    async def _begin_with(
        self,
        head: upstream.ResponseHead,
        headers: httputil.HTTPHeaders,
        parts: list[bytes],
    ) -> None:
        """Begin the response with a part of its body.

        :param parts: the part alone; empty afterwards, since the traceback of
            an error would keep it otherwise.
        """
        try:
            with self._request.hold(len(parts[0])):
                await self._begin_response(head, headers)
                await self._write(parts.pop())
        finally:
            parts.clear()

    async def _write(self, chunk: bytes) -> None:
        writing = self._request.write(chunk)
        # The traceback of an error would keep it.
        del chunk
        try:
            await writing
        except iostream.StreamClosedError as error:
            raise asyncio.CancelledError from error


def _find_media_type(head: upstream.ResponseHead) -> str:
    """Return a response's media type; that of events if it has none."""
    media_type = head.headers.get('Content-Type', EVENT_STREAM_TYPE)
    return str(media_type).partition(';')[0].strip().lower()


def _is_event_stream(head: upstream.ResponseHead) -> bool:
    """Return whether a body consists of events; a streaming route's does."""
    return _find_media_type(head) == EVENT_STREAM_TYPE
