"""HTTP handlers towards callers."""

import asyncio
from collections import abc
import functools
import json

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

HELD_BYTES = 4_194_304
DONE_EVENT = b'data: [DONE]\n\n'
# Headers of one connection, or of this node's own making.
UNPASSED_HEADERS = frozenset(
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


class CallerLeft(Exception):
    """The caller is gone, or has taken nothing for too long."""


class RunHandler(responses.CallerHandler):
    """Runs a request and passes its answer on."""

    def initialize(
        self,
        settings: model.NodeSettings,
        fleet: view.FleetView,
        requests: request_runner.RequestRunner,
        counters: metrics.Metrics,
    ) -> None:
        """Take the node's parts.

        :param settings: the node's settings.
        :param fleet: the node's view.
        :param requests: what runs requests.
        :param counters: the process's metrics.
        """
        self._settings = settings
        self._fleet = fleet
        self._requests = requests
        self._counters = counters
        self._task: asyncio.Task[None] | None = None

    def compute_etag(self) -> str | None:
        """Give no entity tag of this node's own making.

        :returns: None.
        """
        return None

    def on_connection_close(self) -> None:
        """Cancel the request of a caller who left."""
        if self._task is not None:
            self._task.cancel()

    def send_error(self, status_code: int = 500, **kwargs: object) -> None:
        """Answer an error that no handler foresaw.

        An answer that has begun is cut, so that it never looks whole.

        :param status_code: the HTTP status.
        """
        if self._headers_written:
            self._drop_connection()
        else:
            super().send_error(status_code, **kwargs)

    async def run_request(
        self, request: caller_request.CallerRequest | outcomes.Refusal
    ) -> None:
        """Run a request that was read, or refuse it.

        :param request: the request, or why it can't be one.
        """
        if isinstance(request, outcomes.Refusal):
            self._refuse(request)
            return
        try:
            self._task = asyncio.current_task()
            with self._requests.in_flight.track():
                await self._answer(request)
        except (asyncio.CancelledError, CallerLeft):
            self._counters.count('callers_left')
            self._drop_connection()
        finally:
            self._task = None

    async def _answer(self, request: caller_request.CallerRequest) -> None:
        answer = await self._requests.start(request)
        if isinstance(answer, outcomes.Refusal):
            self._refuse(answer)
            return
        try:
            if not answer.is_event_stream:
                await self._pass_whole(answer)
            elif request.is_service:
                self._copy_head(answer)
                await self._pass_on(answer)
            else:
                await self._pass_events(answer)
        finally:
            answer.close()

    async def _pass_events(
        self, answer: response_source.ResponseSource
    ) -> None:
        self._copy_head(answer)
        self.set_header('Cache-Control', 'no-store')
        while True:
            part = await answer.read()
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

    async def _pass_whole(
        self, answer: response_source.ResponseSource
    ) -> None:
        parts: list[bytes] = []
        size = 0
        while size <= HELD_BYTES:
            part = await answer.read()
            if isinstance(part, outcomes.Refusal):
                self._refuse(part)
                return
            if part is None:
                await self._finish_whole(answer, b''.join(parts))
                return
            parts.append(part)
            size += len(part)
        self._copy_head(answer)
        self.write(b''.join(parts))
        await self._flush()
        await self._pass_on(answer)

    async def _finish_whole(
        self, answer: response_source.ResponseSource, body: bytes
    ) -> None:
        told = answer.headers.get(outcomes.OUTCOME_HEADER, '')
        outcome = outcomes.Outcome.COMPLETE
        if told == outcomes.Outcome.NOT_RUN.value:
            outcome = outcomes.Outcome.NOT_RUN
        self._copy_head(answer)
        self.set_header(outcomes.OUTCOME_HEADER, outcome.value)
        self._count(outcome)
        length = answer.headers.get('Content-Length')
        if self.request.method == 'HEAD' and length:
            self.set_header('Content-Length', length)
            await self._flush()
            return
        if body:
            self.write(body)

    async def _pass_on(self, answer: response_source.ResponseSource) -> None:
        """Pass on what is too long to hold; a cut shows as a cut."""
        while True:
            part = await answer.read()
            if isinstance(part, outcomes.Refusal):
                self._count(part.outcome)
                self._drop_connection()
                return
            if part is None:
                self._count(outcomes.Outcome.COMPLETE)
                return
            self.write(part)
            await self._flush()

    async def _write_events(self, part: bytes) -> None:
        if not self._headers_written:
            self.write(part)
            await self._flush()
            return
        # With the head out, nothing is left of a flush but this write.
        connection = self.request.connection
        assert connection is not None
        await self._wait_written(functools.partial(connection.write, part))

    async def _flush(self) -> None:
        await self._wait_written(self.flush)

    async def _wait_written(
        self, write: abc.Callable[[], asyncio.Future[None]]
    ) -> None:
        idle_s = self._settings.timings.idle_timeout_ms / 1000
        try:
            written = write()
            if not written.done():
                async with asyncio.timeout(idle_s):
                    await written
        except (iostream.StreamClosedError, TimeoutError) as error:
            raise CallerLeft from error

    def _drop_connection(self) -> None:
        connection = self.request.connection
        stream = getattr(connection, 'stream', None)
        if stream is not None:
            stream.close()

    def _copy_head(self, answer: response_source.ResponseSource) -> None:
        self.set_status(answer.status)
        self.clear_header('Content-Type')
        for name, value in answer.headers.get_all():
            if name.lower() not in UNPASSED_HEADERS:
                self.add_header(name, value)

    def _refuse(self, refusal: outcomes.Refusal) -> None:
        self._count(refusal.outcome)
        self._counters.count('refusals', reason=refusal.reason.value)
        self.refuse(refusal)

    def _count(self, outcome: outcomes.Outcome) -> None:
        self._counters.count('requests', outcome=outcome.value)


class ModelHandler(RunHandler):
    """Calls of models."""

    async def post(self) -> None:
        """Run a call of a model."""
        await self.run_request(
            parsing.read_model_call(self._fleet, self.request)
        )


class ServiceHandler(RunHandler):
    """Calls of plain services."""

    SUPPORTED_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')

    async def _run_service(self) -> None:
        await self.run_request(
            parsing.read_service_call(self._fleet, self.request)
        )

    get = head = post = put = patch = delete = _run_service


def _build_last_event() -> bytes:
    """Return an event that names the outcome in a form clients accept."""
    event = {
        'id': '',
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': '',
        'choices': [],
        'outcome': outcomes.Outcome.COMPLETE.value,
    }
    return f'data: {json.dumps(event)}\n\n'.encode()
