"""Commits changes of claims in batches.

A claim is the agreed right to run a non-idempotent request.
"""

import asyncio
import contextlib
import dataclasses

from filbertglade import clock
from filbertglade.control import failures as control_failures
from filbertglade.control import submitter
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade import tasks

MAX_BATCH_CHANGES = 256
MAX_PENDING_CHANGES = 4096
# Long enough for a new leader to be elected.
SUBMIT_TIMEOUT_MS = 4000
# Longest delay of FINISH changes, which nobody waits for, so that they share a
# batch with other changes.
FINISH_DELAY_MS = 250

Action = commands_pb2.ClaimChange
Reason = control_failures.SubmitReason
Result = commands_pb2.ClaimResult | control_failures.SubmitFailure


@dataclasses.dataclass(slots=True)
class PendingChange:
    """A change that waits for its batch.

    :param change: the change.
    :param result: its result, or why it has none.
    """

    change: commands_pb2.ClaimChange
    result: asyncio.Future[Result]


class ClaimBatcher:
    """Commits many changes of claims in one command.

    At most one command is in flight; changes submitted meanwhile go into the
    next one. FINISH changes wait up to `FINISH_DELAY_MS` for other changes.
    """

    def __init__(
        self, commands: submitter.Submitter, counters: metrics.Metrics
    ) -> None:
        self._submitter = commands
        self._counters = counters
        self._tasks = tasks.TaskGroup()
        self._pending: list[PendingChange] = []
        self._send_task: asyncio.Task[None] | None = None
        self._has_urgent = asyncio.Event()
        self._is_closed = False

    async def close(self) -> None:
        """Stop, and fail the pending changes."""
        self._is_closed = True
        await self._tasks.close()
        self._fail(self._pending, _failure(Reason.CLOSING, False))
        self._pending = []

    async def submit(
        self, change: commands_pb2.ClaimChange, timeout_ms: int
    ) -> Result:
        """Commit a change.

        :param change: the change.
        :param timeout_ms: longest wait for the commit.
        :returns: its result, or why it has none.
        """
        if self._is_closed:
            return _failure(Reason.CLOSING, False)
        if len(self._pending) >= MAX_PENDING_CHANGES:
            return _failure(Reason.OVERLOADED, False)
        started_ms = clock.now_ms()
        loop = asyncio.get_running_loop()
        pending = PendingChange(change, loop.create_future())
        self._pending.append(pending)
        if not _is_deferrable(change):
            self._has_urgent.set()
        if self._send_task is None or self._send_task.done():
            self._send_task = self._tasks.start(self._send_batches())
        try:
            async with asyncio.timeout(max(timeout_ms, 0) / 1000):
                result = await asyncio.shield(pending.result)
        except TimeoutError:
            return _failure(Reason.TIMED_OUT, not self._withdraw(pending))
        except asyncio.CancelledError:
            self._withdraw(pending)
            raise
        if not _is_deferrable(change):
            self._counters.record_ms('claim', clock.now_ms() - started_ms)
        return result

    def _withdraw(self, pending: PendingChange) -> bool:
        if pending not in self._pending:
            return False
        self._pending.remove(pending)
        return True

    async def _send_batches(self) -> None:
        while self._pending:
            await self._delay_deferrable()
            batch = self._pending[:MAX_BATCH_CHANGES]
            del self._pending[:MAX_BATCH_CHANGES]
            if not batch:
                continue
            try:
                await self._send(batch)
            finally:
                self._fail(batch, _failure(Reason.CLOSING, True))

    async def _delay_deferrable(self) -> None:
        if not all(
            _is_deferrable(pending.change) for pending in self._pending
        ):
            return
        self._has_urgent.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINISH_DELAY_MS / 1000):
                await self._has_urgent.wait()

    async def _send(self, batch: list[PendingChange]) -> None:
        command = commands_pb2.Command(
            claim_changes=commands_pb2.ClaimChanges(
                changes=[pending.change for pending in batch]
            )
        )
        result = await self._submitter.submit(command, SUBMIT_TIMEOUT_MS)
        self._counters.count('claim_batches')
        self._counters.count('claim_changes', len(batch))
        if isinstance(result, control_failures.SubmitFailure):
            self._fail(batch, result)
            return
        for pending, verdict in zip(batch, result.claims.results, strict=True):
            if not pending.result.done():
                pending.result.set_result(verdict)

    def _fail(
        self,
        batch: list[PendingChange],
        failure: control_failures.SubmitFailure,
    ) -> None:
        for pending in batch:
            if not pending.result.done():
                pending.result.set_result(failure)


def _is_deferrable(change: commands_pb2.ClaimChange) -> bool:
    return change.action == Action.FINISH


def _failure(
    reason: control_failures.SubmitReason, may_have_applied: bool
) -> control_failures.SubmitFailure:
    return control_failures.SubmitFailure(
        reason,
        may_have_applied=may_have_applied,
    )
