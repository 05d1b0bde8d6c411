"""A cancellation that coincides with a result is never lost."""

import asyncio

import pytest

from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade.requests import claim_batcher
from filbertglade.requests import endpoint_response

STEPS = 6
LIMIT_MS = 60_000


class Commands:
    """Returns results of commands once they are released."""

    def __init__(self):
        self.released = asyncio.Event()

    async def submit(self, command, timeout_ms):
        await self.released.wait()
        results = [
            commands_pb2.ClaimResult() for _ in command.claim_changes.changes
        ]
        return commands_pb2.CommandResult(
            claims=commands_pb2.ClaimResults(results=results)
        )


def read_response():
    """Return a read of a response, and a function that releases its data."""
    receiver = endpoint_response.ResponseReceiver()
    receiver.head.set_result((type('Line', (), {'code': 200}), {}))
    response = endpoint_response.QueuedResponse(None, receiver, None, LIMIT_MS)
    return response.read(), lambda: receiver.chunks.put_nowait(b'part')


def submit_claim():
    """Return a submission of a claim, and a function that commits it."""
    commands = Commands()
    batcher = claim_batcher.ClaimBatcher(commands, metrics.Metrics())
    change = commands_pb2.ClaimChange(action=commands_pb2.ClaimChange.TAKE)
    return batcher.submit(change, LIMIT_MS), commands.released.set


@pytest.mark.parametrize('steps', range(STEPS))
@pytest.mark.parametrize('begin', [read_response, submit_claim])
def test_cancellation_together_with_a_result_ends_the_task(begin, steps):
    async def scenario():
        work, release_result = begin()
        task = asyncio.create_task(work)
        for _ in range(STEPS):
            await asyncio.sleep(0)
        release_result()
        for _ in range(steps):
            await asyncio.sleep(0)
        is_running = not task.done()
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled() == is_running

    asyncio.run(scenario())
