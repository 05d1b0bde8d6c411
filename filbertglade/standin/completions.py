"""Completion calls of a stand-in engine, which can be resumed."""

import asyncio
import collections
from collections import abc
import json
import typing

from tornado import iostream
from tornado import web

from filbertglade.requests import endpoint_calls
from filbertglade.standin import engine as standin_engine
from filbertglade.standin import faults as standin_faults

BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
SERVER_ERROR = 500
DEFAULT_TOKENS = 16
MAX_RESUMABLE_RUNS = 1024
PRIORITY_HEADER = 'X-Priority'
KEY_HEADER = 'Idempotency-Key'


class ResumableRuns:
    """Names of the newest runs, which can be resumed."""

    def __init__(self) -> None:
        self._names: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def add(self, name: str) -> None:
        """Add a run and drop the oldest one if there are too many.

        :param name: the run's name.
        """
        self._names[name] = None
        if len(self._names) > MAX_RESUMABLE_RUNS:
            self._names.popitem(last=False)

    def discard(self, name: str) -> None:
        """Remove a run, which can no longer be resumed.

        :param name: the run's name.
        """
        self._names.pop(name, None)


class CompletionHandler(web.RequestHandler):
    """Handles completion calls."""

    def initialize(
        self,
        engine: standin_engine.Engine,
        faults: standin_faults.Faults,
        runs: ResumableRuns,
    ) -> None:
        """Set the objects of the host.

        :param engine: the engine's part on this host.
        :param faults: the faults of this host.
        :param runs: the runs that can be resumed.
        """
        self._engine = engine
        self._faults = faults
        self._runs = runs
        self._task: asyncio.Task[None] | None = None
        self._run = ''
        self._tokens_sent = 0

    def on_connection_close(self) -> None:
        """Cancel the call of a node that closed the connection."""
        if self._task is not None:
            self._task.cancel()

    async def post(self) -> None:
        """Respond to one call, with one JSON object or a stream of events."""
        headers = self.request.headers
        body = json.loads(self.request.body)
        self._run = headers.get(endpoint_calls.REQUEST_ID_HEADER, '')
        resumed = headers.get(endpoint_calls.RESUME_HEADER)
        if resumed is not None and self._run not in self._runs:
            self._refuse(NOT_FOUND)
            return
        if resumed is None and not self._is_for_this_group():
            self._record('refused', body)
            self._refuse(CONFLICT)
            return
        continued = body.get(endpoint_calls.CONTINUATION_FIELD) or {
            'tokens': 0
        }
        self._tokens_sent = int(resumed or continued['tokens'])
        if self._has_wrong_continuation(body, continued.get('text', '')):
            self._refuse(BAD_REQUEST)
            return
        if resumed is None and self._is_rejected(body):
            self._refuse(CONFLICT)
            return
        kind = 'request' if resumed is None else 'resumed'
        self._record(kind, body)
        self._runs.add(self._run)
        if self._faults.consume_error():
            self.set_status(SERVER_ERROR)
            return
        await self._respond(body)

    def _is_for_this_group(self) -> bool:
        engine = self._engine
        headers = self.request.headers
        group = headers.get(endpoint_calls.GROUP_HEADER, engine.group)
        epoch = headers.get(endpoint_calls.EPOCH_HEADER, str(engine.epoch))
        is_same = (group, epoch) == (engine.group, str(engine.epoch))
        return engine.is_ready and is_same

    def _has_wrong_continuation(
        self, body: dict[str, typing.Any], text: str
    ) -> bool:
        if not text:
            return False
        prompt = _read_prompt(body)
        sent = standin_engine.expected_tokens(prompt, self._tokens_sent)
        return ''.join(sent) != text

    def _is_rejected(self, body: dict[str, typing.Any]) -> bool:
        if self._tokens_sent and self._faults.plan.refuses_continuations:
            self._record('not_continued', body)
            return True
        return self._faults.consume_refusal()

    def _record(self, kind: str, body: dict[str, typing.Any]) -> None:
        engine = self._engine
        headers = self.request.headers
        engine.record(
            kind,
            host=engine.host,
            group=engine.group,
            epoch=engine.epoch,
            prompt=_read_prompt(body),
            key=headers.get(KEY_HEADER, ''),
            run=self._run,
            given=self._tokens_sent,
        )

    def _refuse(self, status: int) -> None:
        self.set_status(status)
        self.set_header('X-Outcome', 'not_run')
        self.finish({'error': {'message': 'not run'}})

    async def _respond(self, body: dict[str, typing.Any]) -> None:
        self._task = asyncio.current_task()
        engine = self._engine
        prompt = _read_prompt(body)
        count = int(body.get('max_tokens') or DEFAULT_TOKENS)
        priority = int(self.request.headers.get(PRIORITY_HEADER, '0'))
        tokens = engine.generate(prompt, count, priority, self._tokens_sent)
        try:
            await self._faults.delay()
            if body.get('stream'):
                await self._write_stream(body['model'], tokens)
            else:
                await self._write_complete(body['model'], tokens)
            engine.record('answered', host=engine.host, run=self._run)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            self._runs.discard(self._run)
            engine.record('left', host=engine.host, run=self._run)
        except _InjectedFaultError:
            self._close_connection()
        finally:
            await tokens.aclose()

    def _close_connection(self) -> None:
        self._task = None
        if self._faults.plan.forgets:
            self._runs.discard(self._run)
        connection = typing.cast(typing.Any, self.request.connection)
        connection.stream.close()

    async def _apply_faults(self) -> None:
        if self._faults.should_hold(self._tokens_sent):
            host = self._engine.host
            self._engine.record('held', host=host, run=self._run)
            await self._faults.wait_for_release()
        if self._faults.crash_if_planned(self.request.body, self._tokens_sent):
            raise _InjectedFaultError
        if self._faults.consume_cut(self._tokens_sent):
            raise _InjectedFaultError

    async def _write_complete(
        self, model: str, tokens: abc.AsyncIterator[str]
    ) -> None:
        parts = []
        await self._apply_faults()
        async for token in tokens:
            parts.append(token)
            self._tokens_sent += 1
            await self._apply_faults()
        message = {'role': 'assistant', 'content': ''.join(parts)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        self.finish(_envelope(model, 'chat.completion', choice))

    async def _write_stream(
        self, model: str, tokens: abc.AsyncIterator[str]
    ) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        await self.flush()
        await self._apply_faults()
        async for token in tokens:
            delta = {'role': 'assistant', 'content': token}
            choice = {'index': 0, 'delta': delta, 'finish_reason': None}
            await self._write_event(model, choice)
            self._tokens_sent += 1
            await self._apply_faults()
        await self._write_event(
            model, {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
        )
        self.write('data: [DONE]\n\n')
        self.finish()

    async def _write_event(
        self, model: str, choice: dict[str, object]
    ) -> None:
        event = json.dumps(_envelope(model, 'chat.completion.chunk', choice))
        self.write(f'data: {event}\n\n')
        await self.flush()


class _InjectedFaultError(Exception):
    """Ends a response with an injected fault."""


def _envelope(
    model: str, kind: str, choice: dict[str, object]
) -> dict[str, object]:
    return {
        'id': 'chatcmpl-standin',
        'object': kind,
        'created': 0,
        'model': model,
        'choices': [choice],
    }


def _read_prompt(body: dict[str, typing.Any]) -> str:
    if 'prompt' in body:
        return str(body['prompt'])
    return '\n'.join(
        str(message.get('content', '')) for message in body['messages']
    )
