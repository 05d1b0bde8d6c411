"""Calls of a stand-in engine: whole answers, streams, resumption."""

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
RUNS_KEPT = 1024
PRIORITY_HEADER = 'X-Priority'
KEY_HEADER = 'Idempotency-Key'


class Runs:
    """Names of the runs that can be resumed."""

    def __init__(self) -> None:
        self._names: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def keep(self, name: str) -> None:
        """Keep a run.

        :param name: its name.
        """
        self._names[name] = None
        if len(self._names) > RUNS_KEPT:
            self._names.popitem(last=False)

    def forget(self, name: str) -> None:
        """Forget a run.

        :param name: its name.
        """
        self._names.pop(name, None)


class CompletionHandler(web.RequestHandler):
    """Answers calls of the model."""

    def initialize(
        self,
        engine: standin_engine.Engine,
        faults: standin_faults.Faults,
        runs: Runs,
    ) -> None:
        """Take the host's parts.

        :param engine: the engine's part on this host.
        :param faults: what goes wrong on it.
        :param runs: the runs that can be resumed.
        """
        self._engine = engine
        self._faults = faults
        self._runs = runs
        self._task: asyncio.Task[None] | None = None
        self._run = ''
        self._given = 0

    def on_connection_close(self) -> None:
        """Cancel the call of a node that left."""
        if self._task is not None:
            self._task.cancel()

    async def post(self) -> None:
        """Answer one call, whole or as a stream of events."""
        headers = self.request.headers
        body = json.loads(self.request.body)
        self._run = headers.get(endpoint_calls.REQUEST_ID_HEADER, '')
        resumed = headers.get(endpoint_calls.RESUME_HEADER)
        if resumed is not None and self._run not in self._runs:
            self._refuse(NOT_FOUND)
            return
        if resumed is None and not self._is_addressed():
            self._record('refused', body)
            self._refuse(CONFLICT)
            return
        continued = body.get(endpoint_calls.CONTINUATION_FIELD) or {
            'tokens': 0
        }
        self._given = int(resumed or continued['tokens'])
        if self._is_wrong_text(body, continued.get('text', '')):
            self._refuse(BAD_REQUEST)
            return
        if resumed is None and self._is_unwanted(body):
            self._refuse(CONFLICT)
            return
        kind = 'request' if resumed is None else 'resumed'
        self._record(kind, body)
        self._runs.keep(self._run)
        if self._faults.takes_error():
            self.set_status(SERVER_ERROR)
            return
        await self._answer(body)

    def _is_addressed(self) -> bool:
        engine = self._engine
        headers = self.request.headers
        group = headers.get(endpoint_calls.GROUP_HEADER, engine.group)
        epoch = headers.get(endpoint_calls.EPOCH_HEADER, str(engine.epoch))
        same = (group, epoch) == (engine.group, str(engine.epoch))
        return engine.is_ready and same

    def _is_wrong_text(self, body: dict[str, typing.Any], text: str) -> bool:
        if not text:
            return False
        prompt = _read_prompt(body)
        given = standin_engine.expected_tokens(prompt, self._given)
        return ''.join(given) != text

    def _is_unwanted(self, body: dict[str, typing.Any]) -> bool:
        if self._given and self._faults.plan.refuses_continuations:
            self._record('not_continued', body)
            return True
        return self._faults.takes_not_run()

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
            given=self._given,
        )

    def _refuse(self, status: int) -> None:
        self.set_status(status)
        self.set_header('X-Outcome', 'not_run')
        self.finish({'error': {'message': 'not run'}})

    async def _answer(self, body: dict[str, typing.Any]) -> None:
        self._task = asyncio.current_task()
        engine = self._engine
        prompt = _read_prompt(body)
        count = int(body.get('max_tokens') or DEFAULT_TOKENS)
        priority = int(self.request.headers.get(PRIORITY_HEADER, '0'))
        tokens = engine.generate(prompt, count, priority, self._given)
        try:
            await self._faults.delay()
            if body.get('stream'):
                await self._write_stream(body['model'], tokens)
            else:
                await self._write_whole(body['model'], tokens)
            engine.record('answered', host=engine.host, run=self._run)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            self._runs.forget(self._run)
            engine.record('left', host=engine.host, run=self._run)
        except _FaultError:
            self._cut()
        finally:
            await tokens.aclose()

    def _cut(self) -> None:
        self._task = None
        if self._faults.plan.forgets:
            self._runs.forget(self._run)
        connection = typing.cast(typing.Any, self.request.connection)
        connection.stream.close()

    async def _meet_faults(self) -> None:
        if self._faults.holds(self._given):
            host = self._engine.host
            self._engine.record('held', host=host, run=self._run)
            await self._faults.wait_for_release()
        if self._faults.crashes(self.request.body, self._given):
            raise _FaultError
        if self._faults.cuts(self._given):
            raise _FaultError

    async def _write_whole(
        self, model: str, tokens: abc.AsyncIterator[str]
    ) -> None:
        parts = []
        await self._meet_faults()
        async for token in tokens:
            parts.append(token)
            self._given += 1
            await self._meet_faults()
        message = {'role': 'assistant', 'content': ''.join(parts)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        self.finish(_envelope(model, 'chat.completion', choice))

    async def _write_stream(
        self, model: str, tokens: abc.AsyncIterator[str]
    ) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        await self.flush()
        await self._meet_faults()
        async for token in tokens:
            delta = {'role': 'assistant', 'content': token}
            choice = {'index': 0, 'delta': delta, 'finish_reason': None}
            await self._write_event(model, choice)
            self._given += 1
            await self._meet_faults()
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


class _FaultError(Exception):
    """The answer ends here."""


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
