"""Claims of many senders gathered into one command."""

import asyncio
import collections
from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade.control import failures
from filbertglade.control import submitter
from filbertglade.inner import commands_pb2
from filbertglade import tasks

# Least time between two commands that go out.
GATHERED_MS = 10
BATCH_CHANGES = 512
BATCHES_IN_FLIGHT = 64
MAXIMUM_WAITING = 4096

Reason = failures.SubmitReason
Result = commands_pb2.CommandResult | failures.SubmitFailure


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """A command of claims without an answer.

    :param command: the command.
    :param deadline_ms: when its sender stops to wait.
    :param future: its own answer.
    :param sent: whether it was passed on.
    """

    command: commands_pb2.Command
    deadline_ms: int
    future: asyncio.Future[Result]
    sent: bool = False


class ClaimBatcher(submitter.Submitter):
    """Passes commands on, those that change claims together.

    A command goes at once if none went just before; what comes soon after
    goes together. Each sender gets the results of its own changes.

    :param target: where the commands go.
    """

    def __init__(self, target: submitter.Submitter) -> None:
        self._target = target
        self._tasks = tasks.TaskGroup()
        self._sender: asyncio.Task[None] | None = None
        self._waiting: collections.deque[_Waiting] = collections.deque()
        self._in_flight: list[list[_Waiting]] = []
        self._sent_ms = -GATHERED_MS
        self._closed = False

    async def close(self) -> None:
        """Stop; commands without an answer fail."""
        self._closed = True
        await self._tasks.close()
        for batch in (*self._in_flight, self._waiting):
            _fail_all(batch)
        self._waiting.clear()

    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command and return what it did.

        :param command: the command.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, after the commit; or the failure, which says
            whether the command may have been applied.
        """
        if command.WhichOneof('kind') != 'claim_changes':
            return await self._target.submit(command, timeout_ms)
        if self._closed:
            return failures.SubmitFailure(Reason.CLOSING)
        if len(self._waiting) >= MAXIMUM_WAITING:
            return failures.SubmitFailure(
                Reason.OVERLOADED, 'too many commands wait'
            )
        future: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )
        deadline_ms = clock.now_ms() + timeout_ms
        waiting = _Waiting(command, deadline_ms, future)
        self._waiting.append(waiting)
        if self._sender is None or self._sender.done():
            self._sender = self._tasks.start(self._send_waiting())
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await future
        except TimeoutError:
            return failures.SubmitFailure(
                Reason.TIMED_OUT,
                'not committed in time',
                may_have_applied=waiting.sent,
            )
        finally:
            # Not yet sent, it is left out from now on.
            future.cancel()

    async def _send_waiting(self) -> None:
        while self._waiting:
            pause_ms = self._sent_ms + GATHERED_MS - clock.now_ms()
            if pause_ms > 0:
                await asyncio.sleep(pause_ms / 1000)
                continue
            self._sent_ms = clock.now_ms()
            if len(self._in_flight) >= BATCHES_IN_FLIGHT:
                continue
            batch = self._next_batch()
            if batch:
                self._in_flight.append(batch)
                self._tasks.start(self._send(batch))

    def _next_batch(self) -> list[_Waiting]:
        batch = []
        change_count = 0
        while self._waiting and change_count < BATCH_CHANGES:
            waiting = self._waiting.popleft()
            if waiting.future.done():
                continue
            waiting.sent = True
            batch.append(waiting)
            change_count += len(waiting.command.claim_changes.changes)
        return batch

    async def _send(self, batch: list[_Waiting]) -> None:
        try:
            latest_ms = max(waiting.deadline_ms for waiting in batch)
            timeout_ms = max(1, latest_ms - clock.now_ms())
            result = await self._target.submit(_join(batch), timeout_ms)
            _share(batch, result)
        finally:
            _fail_all(batch)
            self._in_flight.remove(batch)


def _join(batch: list[_Waiting]) -> commands_pb2.Command:
    if len(batch) == 1:
        return batch[0].command
    joined = commands_pb2.Command()
    for waiting in batch:
        joined.claim_changes.MergeFrom(waiting.command.claim_changes)
    return joined


def _share(batch: list[_Waiting], result: Result) -> None:
    """Give each command its own part of the result, or the failure."""
    position = 0
    for waiting in batch:
        count = len(waiting.command.claim_changes.changes)
        if not waiting.future.done():
            waiting.future.set_result(_cut(result, position, count))
        position += count


def _cut(result: Result, first: int, count: int) -> Result:
    if isinstance(result, failures.SubmitFailure):
        return result
    verdicts = result.claims.results
    if first == 0 and count == len(verdicts):
        return result
    return commands_pb2.CommandResult(
        index=result.index,
        claims=commands_pb2.ClaimResults(
            results=verdicts[first : first + count]
        ),
    )


def _fail_all(batch: abc.Iterable[_Waiting]) -> None:
    """Answer what has no answer yet: this process shuts down."""
    for waiting in batch:
        if not waiting.future.done():
            waiting.future.set_result(
                failures.SubmitFailure(
                    Reason.CLOSING, may_have_applied=waiting.sent
                )
            )
