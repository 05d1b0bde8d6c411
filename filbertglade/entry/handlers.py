"""HTTP handlers towards callers."""

import asyncio

from tornado import iostream

from filbertglade.entry import parsing
from filbertglade.entry import responses
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import outcomes
from filbertglade.requests import runner


class RunHandler(responses.CallerHandler):
    """Runs a request and passes its answer on."""

    def initialize(
        self,
        fleet: view.FleetView,
        requests: runner.RequestRunner,
        counters: metrics.Metrics,
    ) -> None:
        """Take the node's parts.

        :param fleet: the node's view.
        :param requests: what runs requests.
        :param counters: the process's metrics.
        """
        self._fleet = fleet
        self._requests = requests
        self._counters = counters
        self._task: asyncio.Task[None] | None = None

    def on_connection_close(self) -> None:
        """Cancel the request of a caller who left."""
        if self._task is not None:
            self._task.cancel()

    async def run_request(
        self, request: runner.CallerRequest | outcomes.Refusal
    ) -> None:
        """Run a request that was read, or refuse it.

        :param request: the request, or why it can't be one.
        """
        if isinstance(request, outcomes.Refusal):
            self._count(request.outcome)
            self.refuse(request)
            return
        self._task = asyncio.current_task()
        answer = await self._requests.start(request)
        if isinstance(answer, outcomes.Refusal):
            self._count(answer.outcome)
            self.refuse(answer)
            return
        try:
            if request.is_stream:
                await self._pass_stream(answer)
            else:
                await self._pass_whole(answer)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            answer.close()
            self._counters.count('callers_left')

    async def _pass_stream(self, answer: runner.RunningAnswer) -> None:
        self._copy_head(answer)
        while True:
            chunk = await answer.read()
            if isinstance(chunk, outcomes.Refusal):
                text = responses.render_refusal(chunk)
                self.write(f'data: {text}\n\n')
                self._count(chunk.outcome)
                return
            if chunk is None:
                self._count(outcomes.Outcome.COMPLETE)
                return
            self.write(chunk)
            await self.flush()

    async def _pass_whole(self, answer: runner.RunningAnswer) -> None:
        parts = []
        while True:
            chunk = await answer.read()
            if isinstance(chunk, outcomes.Refusal):
                self._count(chunk.outcome)
                self.refuse(chunk)
                return
            if chunk is None:
                break
            parts.append(chunk)
        self._copy_head(answer)
        self.set_header(
            outcomes.OUTCOME_HEADER, outcomes.Outcome.COMPLETE.value
        )
        self._count(outcomes.Outcome.COMPLETE)
        self.finish(b''.join(parts))

    def _copy_head(self, answer: runner.RunningAnswer) -> None:
        self.set_status(answer.status)
        kind = answer.headers.get('Content-Type', 'application/json')
        self.set_header('Content-Type', kind)

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

    async def _run_service(self, name: str, path: str) -> None:
        if self.request.query:
            path = f'{path}?{self.request.query}'
        await self.run_request(
            parsing.read_service_call(self._fleet, self.request, name, path)
        )

    get = head = post = put = patch = delete = _run_service
