"""Batching of many senders' claim changes into one command."""

import asyncio
import collections
from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade.control import failures
from filbertglade.control import submitter
from filbertglade.inner import commands_pb2
from filbertglade import tasks

# Least time between two batches.
BATCH_INTERVAL_MS = 10
BATCH_CHANGES = 512
MAXIMUM_BATCHES_IN_FLIGHT = 64
MAXIMUM_WAITING = 4096

Reason = failures.SubmitReason
Result = commands_pb2.CommandResult | failures.SubmitFailure


@dataclasses.dataclass(slots=True, eq=False)
class _PendingCommand:
    """A command of claim changes that waits for its result.

    :param command: the command.
    :param deadline_ms: when its sender stops waiting.
    :param future: its own result.
    :param sent: whether it was sent to the target.
    """

    command: commands_pb2.Command
    deadline_ms: int
    future: asyncio.Future[Result]
    sent: bool = False


class ClaimBatcher(submitter.Submitter):
    """Forwards commands, with claim changes combined into batches.

    The first command is sent at once; those that arrive within the batch
    interval are sent as one command. Each sender gets the results of its own
    changes. Other commands are forwarded one by one.

    :param target: receives the commands.
    """

    def __init__(self, target: submitter.Submitter) -> None:
        self._target = target
        self._tasks = tasks.TaskGroup()
        self._send_task: asyncio.Task[None] | None = None
        self._waiting: collections.deque[_PendingCommand] = collections.deque()
        self._in_flight: list[list[_PendingCommand]] = []
        self._last_sent_ms = -BATCH_INTERVAL_MS
        self._closed = False

    async def close(self) -> None:
        """Stop; pending commands fail."""
        self._closed = True
        await self._tasks.close()
        for batch in (*self._in_flight, self._waiting):
            _fail_all(batch)
        self._waiting.clear()

    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command and return its result.

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
                Reason.OVERLOADED, 'too many commands are pending'
            )
        future: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )
        deadline_ms = clock.now_ms() + timeout_ms
        pending = _PendingCommand(command, deadline_ms, future)
        self._waiting.append(pending)
        if self._send_task is None or self._send_task.done():
            self._send_task = self._tasks.start(self._send_waiting())
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await future
        except TimeoutError:
            return failures.SubmitFailure(
                Reason.TIMED_OUT,
                'not committed in time',
                may_have_applied=pending.sent,
            )
        finally:
            # A command that isn't sent yet is then left out of its batch.
            future.cancel()

    async def _send_waiting(self) -> None:
        while self._waiting:
            pause_ms = self._last_sent_ms + BATCH_INTERVAL_MS - clock.now_ms()
            if pause_ms > 0:
                await asyncio.sleep(pause_ms / 1000)
                continue
            self._last_sent_ms = clock.now_ms()
            if len(self._in_flight) >= MAXIMUM_BATCHES_IN_FLIGHT:
                continue
            batch = self._next_batch()
            if batch:
                self._in_flight.append(batch)
                self._tasks.start(self._send(batch))

    def _next_batch(self) -> list[_PendingCommand]:
        batch = []
        change_count = 0
        while self._waiting and change_count < BATCH_CHANGES:
            pending = self._waiting.popleft()
            if pending.future.done():
                continue
            pending.sent = True
            batch.append(pending)
            change_count += len(pending.command.claim_changes.changes)
        return batch

    async def _send(self, batch: list[_PendingCommand]) -> None:
        try:
            latest_ms = max(pending.deadline_ms for pending in batch)
            timeout_ms = max(1, latest_ms - clock.now_ms())
            result = await self._target.submit(_merge(batch), timeout_ms)
            _distribute(batch, result)
        finally:
            _fail_all(batch)
            self._in_flight.remove(batch)


def _merge(batch: list[_PendingCommand]) -> commands_pb2.Command:
    if len(batch) == 1:
        return batch[0].command
    joined = commands_pb2.Command()
    for pending in batch:
        joined.claim_changes.MergeFrom(pending.command.claim_changes)
    return joined


def _distribute(batch: list[_PendingCommand], result: Result) -> None:
    """Give each command its slice of the result, or the failure."""
    position = 0
    for pending in batch:
        count = len(pending.command.claim_changes.changes)
        if not pending.future.done():
            pending.future.set_result(_slice_result(result, position, count))
        position += count


def _slice_result(result: Result, first: int, count: int) -> Result:
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


def _fail_all(batch: abc.Iterable[_PendingCommand]) -> None:
    """Fail the commands that have no result, at shutdown."""
    for pending in batch:
        if not pending.future.done():
            pending.future.set_result(
                failures.SubmitFailure(
                    Reason.CLOSING, may_have_applied=pending.sent
                )
            )
