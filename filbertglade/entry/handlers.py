"""HTTP handlers for requests to models and plain services."""

import asyncio
from collections import abc
import functools
import json
import socket
import struct

from tornado import iostream

from filbertglade.entry import parsing
from filbertglade.entry import responses
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import caller_request
from filbertglade.requests import outcomes
from filbertglade.requests import request_runner
from filbertglade.requests import response_source
from filbertglade.settings import model

# Longer responses are streamed to the caller.
MAX_BUFFERED_BYTES = 4_194_304
DONE_EVENT = b'data: [DONE]\n\n'
# Hop-by-hop headers, and headers that this node sets itself.
UNFORWARDED_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'proxy-authenticate',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-outcome',
    )
)


class CallerDisconnected(Exception):
    """The caller has disconnected, or has read nothing for too long."""


class ForwardingHandler(responses.CallerHandler):
    """Runs a request and forwards the response to the caller."""

    def initialize(
        self,
        settings: model.NodeSettings,
        fleet: view.FleetView,
        requests: request_runner.RequestRunner,
        counters: metrics.Metrics,
    ) -> None:
        """Set the components that the handler uses.

        :param settings: the node's settings.
        :param fleet: the node's view of the fleet.
        :param requests: runs the requests.
        :param counters: the process's metrics.
        """
        self._settings = settings
        self._fleet = fleet
        self._requests = requests
        self._counters = counters
        self._task: asyncio.Task[None] | None = None
        # Whether the end of the connection is the end of the response.
        self._is_unframed = False

    def compute_etag(self) -> str | None:
        """Return no entity tag: only the endpoint may set one.

        :returns: None.
        """
        return None

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that disconnected."""
        if self._task is not None:
            self._task.cancel()

    def send_error(self, status_code: int = 500, **kwargs: object) -> None:
        """Respond to an unexpected error.

        If the response has begun, the connection is closed instead, so that
        the caller never takes the response for a complete one.

        :param status_code: the HTTP status.
        """
        if self._headers_written:
            self._drop_connection()
        else:
            super().send_error(status_code, **kwargs)

    async def run_request(
        self, request: caller_request.CallerRequest | outcomes.Refusal
    ) -> None:
        """Run a parsed request, or respond with its refusal.

        :param request: the request, or the refusal that parsing returned.
        """
        if isinstance(request, outcomes.Refusal):
            self._refuse(request)
            return
        try:
            self._task = asyncio.current_task()
            with self._requests.in_flight.track():
                await self._respond(request)
        except (asyncio.CancelledError, CallerDisconnected):
            self._counters.count('callers_left')
            self._drop_connection()
        finally:
            self._task = None

    async def _respond(self, request: caller_request.CallerRequest) -> None:
        response = await self._requests.start(request)
        if isinstance(response, outcomes.Refusal):
            self._refuse(response)
            return
        try:
            if not response.is_event_stream:
                await self._forward_buffered(response)
            elif request.is_service:
                self._copy_status_and_headers(response)
                await self._begin(response)
                await self._forward_stream(response)
            else:
                await self._forward_events(response)
        finally:
            response.close()

    async def _forward_events(
        self, response: response_source.ResponseSource
    ) -> None:
        self._copy_status_and_headers(response)
        self.set_header('Cache-Control', 'no-store')
        while True:
            part = await response.read()
            if isinstance(part, outcomes.Refusal):
                text = responses.render_refusal(part)
                self.write(f'data: {text}\n\n')
                self._count(part.outcome)
                return
            if part is None:
                self._count(outcomes.Outcome.COMPLETE)
                self.write(_build_last_event())
                self.write(DONE_EVENT)
                return
            await self._write_events(part)

    async def _forward_buffered(
        self, response: response_source.ResponseSource
    ) -> None:
        parts: list[bytes] = []
        size = 0
        while size <= MAX_BUFFERED_BYTES:
            part = await response.read()
            if isinstance(part, outcomes.Refusal):
                self._refuse(part)
                return
            if part is None:
                await self._finish_buffered(response, b''.join(parts))
                return
            parts.append(part)
            size += len(part)
        self._copy_status_and_headers(response)
        await self._begin(response)
        self.write(b''.join(parts))
        await self._flush()
        await self._forward_stream(response)

    async def _finish_buffered(
        self, response: response_source.ResponseSource, body: bytes
    ) -> None:
        reported = response.headers.get(outcomes.OUTCOME_HEADER, '')
        outcome = outcomes.Outcome.COMPLETE
        if reported == outcomes.Outcome.NOT_RUN.value:
            outcome = outcomes.Outcome.NOT_RUN
        self._copy_status_and_headers(response)
        self._count(outcome)
        if not response.is_framed:
            if outcome is not outcomes.Outcome.COMPLETE:
                self.set_header(outcomes.OUTCOME_HEADER, outcome.value)
            await self._begin(response)
            self.write(body)
            await self._flush()
            self._end_connection()
            return
        self.set_header(outcomes.OUTCOME_HEADER, outcome.value)
        length = response.headers.get('Content-Length')
        if self.request.method == 'HEAD' and length:
            self.set_header('Content-Length', length)
            await self._flush()
            return
        if body:
            self.write(body)

    async def _forward_stream(
        self, response: response_source.ResponseSource
    ) -> None:
        """Forward a body without buffering it.

        If the body breaks off, the connection is closed, so that the caller
        sees that the response is incomplete.
        """
        while True:
            part = await response.read()
            if isinstance(part, outcomes.Refusal):
                self._count(part.outcome)
                self._drop_connection()
                return
            if part is None:
                self._count(outcomes.Outcome.COMPLETE)
                if self._is_unframed:
                    self._end_connection()
                return
            self.write(part)
            await self._flush()

    async def _begin(self, response: response_source.ResponseSource) -> None:
        """Write the head of a response whose end its endpoint won't state.

        The HTTP library would add chunks. It writes no framing if its head
        is written as a part of the body.
        """
        if response.is_framed:
            return
        self._is_unframed = True
        self.set_header('Connection', 'close')
        lines = [f'HTTP/1.1 {self.get_status()} {self._reason}']
        for name, value in self._headers.get_all():
            lines.append(f'{name}: {value}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        self._headers_written = True
        connection = self.request.connection
        assert connection is not None
        await self._await_write(
            functools.partial(connection.write, head.encode('latin1'))
        )

    async def _write_events(self, part: bytes) -> None:
        if not self._headers_written:
            self.write(part)
            await self._flush()
            return
        # Once the headers are sent, a flush does nothing beyond this write.
        connection = self.request.connection
        assert connection is not None
        await self._await_write(functools.partial(connection.write, part))

    async def _flush(self) -> None:
        await self._await_write(self.flush)

    async def _await_write(
        self, write: abc.Callable[[], asyncio.Future[None]]
    ) -> None:
        idle_s = self._settings.timings.idle_timeout_ms / 1000
        try:
            written = write()
            if not written.done():
                async with asyncio.timeout(idle_s):
                    await written
        except (iostream.StreamClosedError, TimeoutError) as error:
            raise CallerDisconnected from error

    def _drop_connection(self) -> None:
        stream = getattr(self.request.connection, 'stream', None)
        if self._is_unframed and stream is not None and not stream.closed():
            # Only a reset differs from the end of the response.
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        self._end_connection()

    def _end_connection(self) -> None:
        stream = getattr(self.request.connection, 'stream', None)
        if stream is not None:
            stream.close()

    def _copy_status_and_headers(
        self, response: response_source.ResponseSource
    ) -> None:
        self.set_status(response.status)
        self.clear_header('Content-Type')
        for name, value in response.headers.get_all():
            if name.lower() not in UNFORWARDED_HEADERS:
                self.add_header(name, value)

    def _refuse(self, refusal: outcomes.Refusal) -> None:
        self._count(refusal.outcome)
        self._counters.count('refusals', reason=refusal.reason.value)
        self.refuse(refusal)

    def _count(self, outcome: outcomes.Outcome) -> None:
        self._counters.count('requests', outcome=outcome.value)


class ModelHandler(ForwardingHandler):
    """Handles requests for models."""

    async def post(self) -> None:
        """Run a request for a model."""
        await self.run_request(
            parsing.read_model_call(self._fleet, self.request)
        )


class ServiceHandler(ForwardingHandler):
    """Handles requests for plain services."""

    SUPPORTED_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')

    async def _run_service(self) -> None:
        await self.run_request(
            parsing.read_service_call(self._fleet, self.request)
        )

    get = head = post = put = patch = delete = _run_service


def _build_last_event() -> bytes:
    """Return an event that carries the outcome in a form clients accept."""
    event = {
        'id': '',
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': '',
        'choices': [],
        'outcome': outcomes.Outcome.COMPLETE.value,
    }
    return f'data: {json.dumps(event)}\n\n'.encode()
