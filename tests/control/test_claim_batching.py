"""Claims of many senders in one command."""

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
    """Answers each change with its own attempt, once it is let."""

    def __init__(self):
        self.commands = []
        self.failure = None
        self.opened = asyncio.Event()

    async def submit(self, command, timeout_ms):
        self.commands.append(command)
        await self.opened.wait()
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


async def start(gatherer, *attempts, timeout_ms=TIMEOUT_MS):
    work = gatherer.submit(claim(*attempts), timeout_ms)
    task = asyncio.create_task(work)
    await asyncio.sleep(0)
    return task


@pytest.fixture
def run():
    """Run a scenario with a gatherer that sent one command already."""

    def run_scenario(scenario):
        async def main():
            target = Target()
            gatherer = claim_batching.ClaimBatcher(target)
            first = await start(gatherer, 'first')
            await asyncio.sleep(0.001)
            assert len(target.commands) == 1
            await scenario(target, gatherer, first)
            await gatherer.close()

        virtual_time.run(main())

    return run_scenario


def test_each_sender_gets_the_results_of_its_own_changes(run):
    async def scenario(target, gatherer, first):
        sent = [('a',), ('b', 'c'), (), ('d',)]
        tasks = [await start(gatherer, *names) for names in sent]
        target.opened.set()
        results = await asyncio.gather(first, *tasks)
        assert len(target.commands) == 2
        found = [tuple(attempts_of(result)) for result in results]
        assert found == [('first',), *sent]

    run(scenario)


def test_a_lost_leader_is_told_to_every_sender(run):
    async def scenario(target, gatherer, first):
        tasks = [await start(gatherer, name) for name in 'abc']
        target.failure = failures.SubmitFailure(
            Reason.LEADER_LOST, may_have_applied=True
        )
        target.opened.set()
        for result in await asyncio.gather(first, *tasks):
            assert result.reason is Reason.LEADER_LOST
            assert result.may_have_applied

    run(scenario)


def test_what_timed_out_or_left_before_it_went_never_goes(run):
    async def scenario(target, gatherer, first):
        late = await start(gatherer, 'late', timeout_ms=1)
        gone = await start(gatherer, 'gone')
        kept = await start(gatherer, 'kept')
        gone.cancel()
        result = await late
        assert result.reason is Reason.TIMED_OUT
        assert not result.may_have_applied
        target.opened.set()
        assert attempts_of(await kept) == ['kept']
        assert target.commands[1] == claim('kept')

    run(scenario)


def test_what_timed_out_on_its_way_may_have_been_applied(run):
    async def scenario(target, gatherer, first):
        slow = await start(gatherer, 'slow', timeout_ms=100)
        result = await slow
        assert result.reason is Reason.TIMED_OUT
        assert result.may_have_applied
        target.opened.set()
        assert attempts_of(await first) == ['first']

    run(scenario)


def test_closing_tells_what_was_sent(run):
    async def scenario(target, gatherer, first):
        waiting = await start(gatherer, 'waiting')
        await gatherer.close()
        assert (await first).may_have_applied
        result = await waiting
        assert result.reason is Reason.CLOSING
        assert not result.may_have_applied

    run(scenario)


def test_few_batches_are_in_flight_and_few_commands_wait(run, monkeypatch):
    monkeypatch.setattr(claim_batching, 'BATCHES_IN_FLIGHT', 2)
    monkeypatch.setattr(claim_batching, 'MAXIMUM_WAITING', 3)

    async def scenario(target, gatherer, first):
        tasks = [await start(gatherer, 'second')]
        await asyncio.sleep(0.1)
        tasks += [await start(gatherer, name) for name in 'abc']
        await asyncio.sleep(0.1)
        assert len(target.commands) == 2
        refused = await gatherer.submit(claim('d'), TIMEOUT_MS)
        assert refused.reason is Reason.OVERLOADED
        assert not refused.may_have_applied
        target.opened.set()
        await asyncio.gather(first, *tasks)
        assert len(target.commands) == 3

    run(scenario)


def test_other_commands_go_by_themselves(run):
    async def scenario(target, gatherer, first):
        command = commands_pb2.Command(no_operation=commands_pb2.NoOperation())
        target.opened.set()
        await gatherer.submit(command, TIMEOUT_MS)
        assert target.commands[1] == command

    run(scenario)
