"""Claims: the agreed right to run a non-idempotent request."""

import asyncio
import contextlib
import dataclasses

from filbertglade import clock
from filbertglade.control import failures as control_failures
from filbertglade.control import submitter
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade import tasks

BATCH_CHANGES = 256
WAITING_CHANGES = 4096
# Long enough for a new leader to be elected.
SUBMIT_TIMEOUT_MS = 4000
# Longest that notes of final outcomes, which nobody waits for, are held back
# to go with other changes.
FINISH_DELAY_MS = 250

Action = commands_pb2.ClaimChange
Reason = control_failures.SubmitReason
Result = commands_pb2.ClaimResult | control_failures.SubmitFailure


@dataclasses.dataclass(slots=True)
class PendingChange:
    """A change that waits for its batch.

    :param change: the change.
    :param result: what it did, or why it has no result.
    """

    change: commands_pb2.ClaimChange
    result: asyncio.Future[Result]


class ClaimBatcher:
    """Commits many changes of claims in one command.

    One command is in flight; what comes meanwhile fills the next. Notes of
    final outcomes wait a while for others to go with.
    """

    def __init__(
        self, commands: submitter.Submitter, counters: metrics.Metrics
    ) -> None:
        self._commands = commands
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        self._waiting: list[PendingChange] = []
        self._sender: asyncio.Task[None] | None = None
        self._hurried = asyncio.Event()
        self._is_closed = False

    async def close(self) -> None:
        """Stop; what still waits fails."""
        self._is_closed = True
        await self._tasks.close()
        self._fail(self._waiting, _failure(Reason.CLOSING, False))
        self._waiting = []

    async def submit(
        self, change: commands_pb2.ClaimChange, timeout_ms: int
    ) -> Result:
        """Commit a change.

        :param change: the change.
        :param timeout_ms: longest wait for the commit.
        :returns: what it did, or why it has no result.
        """
        if self._is_closed:
            return _failure(Reason.CLOSING, False)
        if len(self._waiting) >= WAITING_CHANGES:
            return _failure(Reason.OVERLOADED, False)
        started_ms = clock.now_ms()
        loop = asyncio.get_running_loop()
        waiting = PendingChange(change, loop.create_future())
        self._waiting.append(waiting)
        if not _is_patient(change):
            self._hurried.set()
        if self._sender is None or self._sender.done():
            self._sender = self._tasks.start(self._send_batches())
        try:
            async with asyncio.timeout(max(timeout_ms, 0) / 1000):
                result = await asyncio.shield(waiting.result)
        except TimeoutError:
            return _failure(Reason.TIMED_OUT, not self._withdraw(waiting))
        except asyncio.CancelledError:
            self._withdraw(waiting)
            raise
        if not _is_patient(change):
            self._counters.record_ms('claim', clock.now_ms() - started_ms)
        return result

    def _withdraw(self, waiting: PendingChange) -> bool:
        if waiting not in self._waiting:
            return False
        self._waiting.remove(waiting)
        return True

    async def _send_batches(self) -> None:
        while self._waiting:
            await self._wait_for_company()
            batch = self._waiting[:BATCH_CHANGES]
            del self._waiting[:BATCH_CHANGES]
            if not batch:
                continue
            try:
                await self._send(batch)
            finally:
                self._fail(batch, _failure(Reason.CLOSING, True))

    async def _wait_for_company(self) -> None:
        if not all(_is_patient(waiting.change) for waiting in self._waiting):
            return
        self._hurried.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINISH_DELAY_MS / 1000):
                await self._hurried.wait()

    async def _send(self, batch: list[PendingChange]) -> None:
        command = commands_pb2.Command(
            claim_changes=commands_pb2.ClaimChanges(
                changes=[waiting.change for waiting in batch]
            )
        )
        result = await self._commands.submit(command, SUBMIT_TIMEOUT_MS)
        self._counters.count('claim_batches')
        self._counters.count('claim_changes', len(batch))
        if isinstance(result, control_failures.SubmitFailure):
            self._fail(batch, result)
            return
        for waiting, verdict in zip(batch, result.claims.results, strict=True):
            if not waiting.result.done():
                waiting.result.set_result(verdict)

    def _fail(
        self,
        batch: list[PendingChange],
        failure: control_failures.SubmitFailure,
    ) -> None:
        for waiting in batch:
            if not waiting.result.done():
                waiting.result.set_result(failure)


def _is_patient(change: commands_pb2.ClaimChange) -> bool:
    return change.action == Action.FINISH


def _failure(
    reason: control_failures.SubmitReason, may_have_applied: bool
) -> control_failures.SubmitFailure:
    return control_failures.SubmitFailure(
        reason,
        may_have_applied=may_have_applied,
    )
