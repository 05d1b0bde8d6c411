"""A cancellation that comes together with a result is never lost."""

import asyncio

import pytest

from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade.requests import claim_batcher
from filbertglade.requests import endpoint_response

STEPS = 6
LIMIT_MS = 60_000


class Commands:
    """Answers each command once it is let."""

    def __init__(self):
        self.opened = asyncio.Event()

    async def submit(self, command, timeout_ms):
        await self.opened.wait()
        results = [
            commands_pb2.ClaimResult() for _ in command.claim_changes.changes
        ]
        return commands_pb2.CommandResult(
            claims=commands_pb2.ClaimResults(results=results)
        )


def read_answer():
    """Return the read of an answer's next part, and what lets it come."""
    receiver = endpoint_response.ResponseReceiver()
    receiver.head.set_result((type('Line', (), {'code': 200}), {}))
    answer = endpoint_response.QueuedResponse(None, receiver, None, LIMIT_MS)
    return answer.read(), lambda: receiver.chunks.put_nowait(b'part')


def submit_claim():
    """Return the submission of a claim, and what lets it be committed."""
    commands = Commands()
    batcher = claim_batcher.ClaimBatcher(commands, metrics.Metrics())
    change = commands_pb2.ClaimChange(action=commands_pb2.ClaimChange.TAKE)
    return batcher.submit(change, LIMIT_MS), commands.opened.set


@pytest.mark.parametrize('steps', range(STEPS))
@pytest.mark.parametrize('begin', [read_answer, submit_claim])
def test_cancellation_beside_a_result_ends_the_task(begin, steps):
    async def scenario():
        work, let_it_come = begin()
        task = asyncio.create_task(work)
        for _ in range(STEPS):
            await asyncio.sleep(0)
        let_it_come()
        for _ in range(steps):
            await asyncio.sleep(0)
        still_runs = not task.done()
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled() == still_runs

    asyncio.run(scenario())
