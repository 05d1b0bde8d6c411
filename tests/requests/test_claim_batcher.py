"""Changes of claims on their way from a node."""

import asyncio

from filbertglade.control import submitter
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade.requests import claim_batcher
from tests import virtual_time

Action = commands_pb2.ClaimChange
TIMEOUT_MS = 4000


class Log(submitter.Submitter):
    """Notes the attempts of each command, and when it came."""

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
        log = Log()
        batcher = claim_batcher.ClaimBatcher(log, metrics.Metrics())

        def send(action, attempt, timeout_ms=TIMEOUT_MS):
            change = commands_pb2.ClaimChange(action=action, attempt=attempt)
            return asyncio.create_task(batcher.submit(change, timeout_ms))

        await scenario(log, send)
        await batcher.close()

    virtual_time.run(main())


def test_a_final_outcome_goes_with_the_next_claim():
    async def scenario(log, send):
        finish = send(Action.FINISH, 'done')
        await asyncio.sleep(0.1)
        assert not log.batches
        await asyncio.gather(send(Action.TAKE, 'next'), finish)
        assert log.batches == [(['done', 'next'], 0.1)]

    run(scenario)


def test_a_final_outcome_without_company_goes_by_itself():
    async def scenario(log, send):
        await send(Action.FINISH, 'done')
        assert log.batches == [
            (['done'], claim_batcher.FINISH_DELAY_MS / 1000)
        ]

    run(scenario)


def test_claims_and_releases_go_at_once():
    async def scenario(log, send):
        for action in (Action.TAKE, Action.TAKE_OVER, Action.RELEASE):
            await send(action, 'now')
        assert log.batches == [(['now'], 0.0)] * 3

    run(scenario)


def test_nothing_goes_when_all_that_waited_is_withdrawn():
    async def scenario(log, send):
        await send(Action.FINISH, 'late', timeout_ms=10)
        await asyncio.sleep(1)
        assert not log.batches

    run(scenario)
