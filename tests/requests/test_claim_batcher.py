"""Batching of claim changes before they are submitted."""

import asyncio

from filbertglade.control import submitter
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade.requests import claim_batcher
from tests import virtual_time

Action = commands_pb2.ClaimChange
TIMEOUT_MS = 4000


class RecordingSubmitter(submitter.Submitter):
    """Records the attempts of each command, and its time in seconds."""

    def __init__(self):
        self.batches = []

    async def submit(self, command, timeout_ms):
        changes = command.claim_changes.changes
        at_s = asyncio.get_running_loop().time()
        names = [change.attempt for change in changes]
        self.batches.append((names, round(at_s, 3)))
        results = [commands_pb2.ClaimResult() for _ in changes]
        return commands_pb2.CommandResult(
            claims=commands_pb2.ClaimResults(results=results)
        )


def run(scenario):
    async def main():
        recording = RecordingSubmitter()
        batcher = claim_batcher.ClaimBatcher(recording, metrics.Metrics())

        def send(action, attempt, timeout_ms=TIMEOUT_MS):
            change = commands_pb2.ClaimChange(action=action, attempt=attempt)
            return asyncio.create_task(batcher.submit(change, timeout_ms))

        await scenario(recording, send)
        await batcher.close()

    virtual_time.run(main())


def test_finish_shares_the_batch_of_the_next_claim():
    async def scenario(recording, send):
        finish = send(Action.FINISH, 'done')
        await asyncio.sleep(0.1)
        assert not recording.batches
        await asyncio.gather(send(Action.TAKE, 'next'), finish)
        assert recording.batches == [(['done', 'next'], 0.1)]

    run(scenario)


def test_finish_without_other_changes_is_sent_after_the_delay():
    async def scenario(recording, send):
        await send(Action.FINISH, 'done')
        assert recording.batches == [
            (['done'], claim_batcher.FINISH_DELAY_MS / 1000)
        ]

    run(scenario)


def test_claims_and_releases_are_sent_at_once():
    async def scenario(recording, send):
        for action in (Action.TAKE, Action.TAKE_OVER, Action.RELEASE):
            await send(action, 'now')
        assert recording.batches == [(['now'], 0.0)] * 3

    run(scenario)


def test_nothing_is_sent_when_all_pending_changes_are_withdrawn():
    async def scenario(recording, send):
        await send(Action.FINISH, 'late', timeout_ms=10)
        await asyncio.sleep(1)
        assert not recording.batches

    run(scenario)
