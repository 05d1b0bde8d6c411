"""Batching of claim changes from many senders."""

import asyncio

import pytest

from filbertglade.control import claim_batching
from filbertglade.control import failures
from filbertglade.control import submitter
from filbertglade.inner import commands_pb2
from tests import virtual_time

Reason = failures.SubmitReason
TIMEOUT_MS = 4000


class Target(submitter.Submitter):
    """Replies to each change with its attempt, once allowed."""

    def __init__(self):
        self.commands = []
        self.failure = None
        self.may_reply = asyncio.Event()

    async def submit(self, command, timeout_ms):
        self.commands.append(command)
        await self.may_reply.wait()
        if self.failure is not None:
            return self.failure
        return commands_pb2.CommandResult(
            claims=commands_pb2.ClaimResults(
                results=[
                    commands_pb2.ClaimResult(attempt=change.attempt)
                    for change in command.claim_changes.changes
                ]
            )
        )


def claim(*attempts):
    changes = [commands_pb2.ClaimChange(attempt=name) for name in attempts]
    return commands_pb2.Command(
        claim_changes=commands_pb2.ClaimChanges(changes=changes)
    )


def attempts_of(result):
    return [item.attempt for item in result.claims.results]


async def start(batcher, *attempts, timeout_ms=TIMEOUT_MS):
    work = batcher.submit(claim(*attempts), timeout_ms)
    task = asyncio.create_task(work)
    await asyncio.sleep(0)
    return task


@pytest.fixture
def run():
    """Run a scenario with a batcher that has sent one command."""

    def run_scenario(scenario):
        async def main():
            target = Target()
            batcher = claim_batching.ClaimBatcher(target)
            first = await start(batcher, 'first')
            await asyncio.sleep(0.001)
            assert len(target.commands) == 1
            await scenario(target, batcher, first)
            await batcher.close()

        virtual_time.run(main())

    return run_scenario


def test_each_sender_gets_the_results_of_its_own_changes(run):
    async def scenario(target, batcher, first):
        sent = [('a',), ('b', 'c'), (), ('d',)]
        tasks = [await start(batcher, *names) for names in sent]
        target.may_reply.set()
        results = await asyncio.gather(first, *tasks)
        assert len(target.commands) == 2
        found = [tuple(attempts_of(result)) for result in results]
        assert found == [('first',), *sent]

    run(scenario)


def test_a_lost_leader_is_reported_to_every_sender(run):
    async def scenario(target, batcher, first):
        tasks = [await start(batcher, name) for name in 'abc']
        target.failure = failures.SubmitFailure(
            Reason.LEADER_LOST, may_have_applied=True
        )
        target.may_reply.set()
        for result in await asyncio.gather(first, *tasks):
            assert result.reason is Reason.LEADER_LOST
            assert result.may_have_applied

    run(scenario)


def test_commands_that_ended_before_sending_are_never_sent(run):
    async def scenario(target, batcher, first):
        late = await start(batcher, 'late', timeout_ms=1)
        gone = await start(batcher, 'gone')
        kept = await start(batcher, 'kept')
        gone.cancel()
        result = await late
        assert result.reason is Reason.TIMED_OUT
        assert not result.may_have_applied
        target.may_reply.set()
        assert attempts_of(await kept) == ['kept']
        assert target.commands[1] == claim('kept')

    run(scenario)


def test_a_command_timed_out_after_sending_may_have_been_applied(run):
    async def scenario(target, batcher, first):
        slow = await start(batcher, 'slow', timeout_ms=100)
        result = await slow
        assert result.reason is Reason.TIMED_OUT
        assert result.may_have_applied
        target.may_reply.set()
        assert attempts_of(await first) == ['first']

    run(scenario)


def test_closing_reports_which_commands_were_sent(run):
    async def scenario(target, batcher, first):
        waiting = await start(batcher, 'waiting')
        await batcher.close()
        assert (await first).may_have_applied
        result = await waiting
        assert result.reason is Reason.CLOSING
        assert not result.may_have_applied

    run(scenario)


def test_batches_in_flight_and_waiting_commands_are_bounded(run, monkeypatch):
    monkeypatch.setattr(claim_batching, 'MAXIMUM_BATCHES_IN_FLIGHT', 2)
    monkeypatch.setattr(claim_batching, 'MAXIMUM_WAITING', 3)

    async def scenario(target, batcher, first):
        tasks = [await start(batcher, 'second')]
        await asyncio.sleep(0.1)
        tasks += [await start(batcher, name) for name in 'abc']
        await asyncio.sleep(0.1)
        assert len(target.commands) == 2
        refused = await batcher.submit(claim('d'), TIMEOUT_MS)
        assert refused.reason is Reason.OVERLOADED
        assert not refused.may_have_applied
        target.may_reply.set()
        await asyncio.gather(first, *tasks)
        assert len(target.commands) == 3

    run(scenario)


def test_other_commands_are_not_batched(run):
    async def scenario(target, batcher, first):
        command = commands_pb2.Command(no_operation=commands_pb2.NoOperation())
        target.may_reply.set()
        await batcher.submit(command, TIMEOUT_MS)
        assert target.commands[1] == command

    run(scenario)
