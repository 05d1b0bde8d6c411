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
from filbertglade.requests import answers
from filbertglade.requests import caller
from filbertglade.requests import outcomes
from filbertglade.requests import runner
from filbertglade.settings import model

BUFFERED_BYTES = 4_194_304
DONE_EVENT = b'data: [DONE]\n\n'
# Headers of one connection, or of this node's own making.
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
    """The caller is gone, or has taken nothing for too long."""


class ForwardingHandler(responses.CallerHandler):
    """Runs a request and passes its answer on."""

    def initialize(
        self,
        settings: model.NodeSettings,
        fleet: view.FleetView,
        requests: runner.RequestRunner,
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
        self, request: caller.CallerRequest | outcomes.Refusal
    ) -> None:
        """Run a request that was read, or refuse it.

        :param request: the request, or why it can't be one.
        """
        if isinstance(request, outcomes.Refusal):
            self._refuse(request)
            return
        try:
            self._task = asyncio.current_task()
            with self._requests.activity.track():
                await self._answer(request)
        except (asyncio.CancelledError, CallerDisconnected):
            self._counters.count('callers_left')
            self._drop_connection()
        finally:
            self._task = None

    async def _answer(self, request: caller.CallerRequest) -> None:
        answer = await self._requests.start(request)
        if isinstance(answer, outcomes.Refusal):
            self._refuse(answer)
            return
        try:
            if not answer.is_events:
                await self._forward_buffered(answer)
            elif request.is_service:
                self._copy_status_and_headers(answer)
                await self._forward_stream(answer)
            else:
                await self._forward_events(answer)
        finally:
            answer.close()

    async def _forward_events(self, answer: answers.AnswerSource) -> None:
        self._copy_status_and_headers(answer)
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

    async def _forward_buffered(self, answer: answers.AnswerSource) -> None:
        parts: list[bytes] = []
        size = 0
        while size <= BUFFERED_BYTES:
            part = await answer.read()
            if isinstance(part, outcomes.Refusal):
                self._refuse(part)
                return
            if part is None:
                await self._finish_buffered(answer, b''.join(parts))
                return
            parts.append(part)
            size += len(part)
        self._copy_status_and_headers(answer)
        self.write(b''.join(parts))
        await self._flush()
        await self._forward_stream(answer)

    async def _finish_buffered(
        self, answer: answers.AnswerSource, body: bytes
    ) -> None:
        reported = answer.headers.get(outcomes.OUTCOME_HEADER, '')
        outcome = outcomes.Outcome.COMPLETE
        if reported == outcomes.Outcome.NOT_RUN.value:
            outcome = outcomes.Outcome.NOT_RUN
        self._copy_status_and_headers(answer)
        self.set_header(outcomes.OUTCOME_HEADER, outcome.value)
        self._count(outcome)
        length = answer.headers.get('Content-Length')
        if self.request.method == 'HEAD' and length:
            self.set_header('Content-Length', length)
            await self._flush()
            return
        if body:
            self.write(body)

    async def _forward_stream(self, answer: answers.AnswerSource) -> None:
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
        connection = self.request.connection
        stream = getattr(connection, 'stream', None)
        if stream is not None:
            stream.close()

    def _copy_status_and_headers(self, answer: answers.AnswerSource) -> None:
        self.set_status(answer.status)
        self.clear_header('Content-Type')
        for name, value in answer.headers.get_all():
            if name.lower() not in UNFORWARDED_HEADERS:
                self.add_header(name, value)

    def _refuse(self, refusal: outcomes.Refusal) -> None:
        self._count(refusal.outcome)
        self._counters.count('refusals', reason=refusal.reason.value)
        self.refuse(refusal)

    def _count(self, outcome: outcomes.Outcome) -> None:
        self._counters.count('requests', outcome=outcome.value)


class ModelHandler(ForwardingHandler):
    """Calls of models."""

    async def post(self) -> None:
        """Run a call of a model."""
        await self.run_request(
            parsing.read_model_call(self._fleet, self.request)
        )


class ServiceHandler(ForwardingHandler):
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
