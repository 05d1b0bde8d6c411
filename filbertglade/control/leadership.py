"""One term of leading: lease, commits and the care of the voters."""

import asyncio
import typing

from filbertglade import clock
from filbertglade.control import failures
from filbertglade.control import quorum
from filbertglade.control import replication
from filbertglade.control import voters
from filbertglade.inner import agreement_pb2
from filbertglade.inner import commands_pb2
from filbertglade.observability import logs

if typing.TYPE_CHECKING:
    from filbertglade.control import voter_state

MAXIMUM_PENDING = 4096
# How far behind the log's end a learner may be when it becomes a voter.
CAUGHT_UP_ENTRIES = 64
# How long a founding leader waits for all founders, in election time-outs.
FOUNDING_WAIT = 3

log = logs.get_log(__name__)

Result = commands_pb2.CommandResult | failures.SubmitFailure
Pending = asyncio.Future[Result]


class Leadership:
    """The leader's side of a term.

    :param voter: the voter that leads.
    :param listener: called when acting begins or ends.
    """

    def __init__(
        self,
        voter: 'voter_state.VoterState',
        listener: typing.Callable[[bool], None],
    ) -> None:
        self._voter = voter
        self._listener = listener
        self._term = voter.term
        self._started_ms = clock.now_ms()
        self._lease_end_ms = (
            self._started_ms + voter.settings.control.election_ms
        )
        self._has_lease = False
        self._settled = False
        self._stopped = False
        self._resigning = False
        self._first_index = 0
        self._pending: dict[int, Pending] = {}
        self._appended = asyncio.Event()
        self.replicators: list[replication.Replicator] = []
        self._replicating: dict[str, asyncio.Task[typing.Any]] = {}
        self._tasks: list[asyncio.Task[typing.Any]] = []

    @property
    def term(self) -> int:
        """The term of this leadership."""
        return self._term

    @property
    def is_acting(self) -> bool:
        """Whether the leader may act at this very moment."""
        return self._settled and self.lease_remaining_ms() > 0

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum still follows, or had no time to answer yet."""
        return clock.now_ms() < self._lease_end_ms

    def lease_remaining_ms(self) -> int:
        """Return how long the leader may act yet; 0 if it may not."""
        if self._stopped or not self._settled or not self._has_lease:
            return 0
        return max(0, self._lease_end_ms - clock.now_ms())

    def start(self) -> None:
        """Begin to lead."""
        voter = self._voter
        voter.leader = voter.name
        voter.counters.count('agreement_elections_won')
        log.change('leader.elected', term=self._term)
        entry = voter.journal.get(voter.journal.last_index)
        if entry is not None:
            last = commands_pb2.Command.FromString(entry.command)
            voter.raise_log_clock(last.stamped_ms)
        self._first_index = self._append_no_operation()
        self._refresh_replicators()
        self._tasks.append(voter.tasks.start(self._run_flush()))
        self._tasks.append(voter.tasks.start(self._run_watch()))
        self.note_reply()

    def stop(self, reason: str) -> None:
        """Stop leading; every command still open fails.

        :param reason: for the log.
        """
        self._stopped = True
        for task in [*self._tasks, *self._replicating.values()]:
            task.cancel()
        log.change('leader.stepped_down', term=self._term, reason=reason)
        self._fail_pending(failures.SubmitReason.LEADER_LOST, reason)
        if self._settled:
            self._listener(False)

    def _fail_pending(
        self, reason: failures.SubmitReason, detail: str
    ) -> None:
        pending, self._pending = self._pending, {}
        for future in pending.values():
            if not future.done():
                future.set_result(
                    failures.SubmitFailure(
                        reason, detail, may_have_applied=True
                    )
                )

    def _refresh_replicators(self) -> None:
        """Replicate to every control host there is now, and to no other."""
        voter = self._voter
        hosts = {host.name: host for host in voter.peers}
        for name in [name for name in self._replicating if name not in hosts]:
            self._replicating.pop(name).cancel()
        self.replicators = [
            item for item in self.replicators if item.name in hosts
        ]
        for name, host in hosts.items():
            if name in self._replicating:
                continue
            replicator = replication.Replicator(voter, self, host)
            self.replicators.append(replicator)
            self._replicating[name] = voter.tasks.start(replicator.run())

    # Commands

    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command and return what it did.

        :param command: the command; it is stamped here.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, or the failure.
        """
        if len(self._pending) >= MAXIMUM_PENDING:
            return failures.SubmitFailure(
                failures.SubmitReason.OVERLOADED, 'too many commands wait'
            )
        if self._resigning:
            return failures.SubmitFailure(
                failures.SubmitReason.NO_LEADER, 'the leader hands over'
            )
        started_ms = clock.now_ms()
        index = self._append(command)
        future: Pending = asyncio.get_running_loop().create_future()
        self._pending[index] = future
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                result = await future
        except TimeoutError:
            return failures.SubmitFailure(
                failures.SubmitReason.TIMED_OUT,
                'not committed in time',
                may_have_applied=True,
            )
        finally:
            self._pending.pop(index, None)
        waited_ms = clock.now_ms() - started_ms
        self._voter.counters.record_ms('agreement_commit', waited_ms)
        return result

    def set_resigning(self, resigning: bool) -> None:
        """Take no more commands, so that a follower can become level.

        :param resigning: False to take commands again.
        """
        self._resigning = resigning

    def list_successors(self) -> list[replication.Replicator]:
        """Return the voters that may take over now.

        :returns: those that are heard, count and hold the whole log; none
            while a command is open or the voters change.
        """
        voter = self._voter
        if self._pending or voter.has_unapplied_voter_change():
            return []
        counted = voter.quorum()
        return [
            replicator
            for replicator in self.replicators
            if replicator.is_fresh
            and replicator.match_index == voter.journal.last_index
            and counted.counts_in_last_table(
                replicator.name, replicator.answer(0)
            )
        ]

    def _append(
        self, command: commands_pb2.Command, changes_voters: bool = False
    ) -> int:
        voter = self._voter
        command.stamped_ms = voter.log_clock_ms()
        index = voter.journal.last_index + 1
        entry = agreement_pb2.LogEntry(
            index=index,
            term=self._term,
            command=command.SerializeToString(),
            changes_voters=changes_voters,
        )
        voter.journal.append([entry])
        self._appended.set()
        for replicator in self.replicators:
            replicator.wake()
        return index

    def _append_no_operation(self) -> int:
        command = commands_pb2.Command(no_operation=commands_pb2.NoOperation())
        return self._append(command)

    def settle(
        self,
        entry: agreement_pb2.LogEntry,
        result: commands_pb2.CommandResult,
    ) -> None:
        """Note that a record was applied.

        :param entry: the record.
        :param result: what it did.
        """
        future = self._pending.pop(entry.index, None)
        if future is not None and not future.done():
            future.set_result(result)
        if entry.changes_voters and not self._stopped:
            # Its record tells every voter durably that the change is
            # committed, so that a restart needs no majority of before.
            self._append_no_operation()
        self._settle_leadership()

    def _settle_leadership(self) -> None:
        """Begin to act once all earlier records are applied."""
        voter = self._voter
        if (
            self._settled
            or self._stopped
            or not self._has_lease
            or voter.state.applied_index < self._first_index
            or not voter.state.voters.incarnations
        ):
            return
        self._settled = True
        log.change('leader.acting', term=self._term)
        self._listener(True)

    # Quorum

    async def _run_flush(self) -> None:
        """Sync what was appended, all of it at once."""
        voter = self._voter
        while True:
            await self._appended.wait()
            self._appended.clear()
            failure = await voter.journal.flush(voter.committed_index)
            if failure is not None:
                voter.halt(failure)
                return
            self.note_progress()

    def note_progress(self) -> None:
        """Commit what a quorum has made durable."""
        voter = self._voter
        answers = {voter.name: voter.answer(voter.journal.synced_index)}
        for replicator in self.replicators:
            answers[replicator.name] = replicator.answer(
                replicator.match_index
            )
        reached = voter.quorum().find_quorum_value(answers)
        if (
            reached > voter.committed_index
            and voter.journal.term_at(reached) == self._term
        ):
            voter.commit(reached)

    def note_reply(self) -> None:
        """Renew the lease from the times at which a quorum was asked."""
        voter = self._voter
        answers = {voter.name: voter.answer(clock.now_ms())}
        for replicator in self.replicators:
            answers[replicator.name] = replicator.answer(
                replicator.answered_sent_ms
            )
        asked_ms = voter.quorum().find_quorum_value(answers)
        if asked_ms == quorum.NO_VALUE:
            return
        lease_end_ms = asked_ms + voter.settings.control.lease_ms
        if lease_end_ms > self._lease_end_ms or not self._has_lease:
            self._lease_end_ms = lease_end_ms
        self._has_lease = True
        voter.heard_ms = max(voter.heard_ms or 0, asked_ms)
        self._settle_leadership()

    async def _run_watch(self) -> None:
        """Step down without a quorum; look after the voters."""
        voter = self._voter
        interval_ms = voter.settings.control.heartbeat_ms
        while True:
            if not self.replicators:
                self.note_reply()
            if not self.has_quorum:
                voter.step_down('no quorum within the lease')
                return
            self._refresh_replicators()
            self._tend_voters()
            left_ms = self._lease_end_ms - clock.now_ms()
            wait_ms = min(interval_ms, max(1, left_ms))
            await asyncio.sleep(wait_ms / 1000)

    # Voters

    def _tend_voters(self) -> None:
        voter = self._voter
        if (
            self._resigning
            or voter.has_unapplied_voter_change()
            or voter.state.applied_index < self._first_index
        ):
            return
        if not voter.state.voters.incarnations:
            self._found_voters()
            return
        for replicator in self.replicators:
            if not self._is_exchange_due(replicator):
                continue
            change = self._find_change(replicator)
            if change is not None:
                self._exchange(replicator, change)
                return

    def _find_change(
        self, replicator: replication.Replicator
    ) -> voters.VoterChange | None:
        """Return how a host with another incarnation comes to count."""
        table = self._voter.state.voters.incarnations
        if replicator.name in table:
            return voters.VoterChange(replicator.name)
        now_ms = clock.now_ms()
        silences_ms = {
            item.name: now_ms - max(item.answered_sent_ms, self._started_ms)
            for item in self.replicators
            if item.name in table
        }
        return self._voter.membership.find_addition(
            replicator.name, table, silences_ms
        )

    def _found_voters(self) -> None:
        voter = self._voter
        founders = [
            commands_pb2.VoterIncarnation(
                voter=voter.name, incarnation=voter.identity.incarnation
            )
        ]
        for replicator in self.replicators:
            if replicator.name not in voter.membership.founders:
                continue
            founder = commands_pb2.VoterIncarnation(voter=replicator.name)
            if replicator.is_fresh and replicator.founding:
                founder.incarnation = replicator.incarnation
            founders.append(founder)
        waited_ms = clock.now_ms() - self._started_ms
        limit_ms = FOUNDING_WAIT * voter.settings.control.election_ms
        missing = [item.voter for item in founders if not item.incarnation]
        if missing and waited_ms < limit_ms:
            return
        log.change('voters.founded', missing=missing)
        founding = commands_pb2.VoterFounding(voters=founders)
        self._append(
            commands_pb2.Command(voter_founding=founding),
            changes_voters=True,
        )

    def _is_exchange_due(self, replicator: replication.Replicator) -> bool:
        voter = self._voter
        listed = voter.state.voters.incarnations.get(replicator.name)
        missing = voter.journal.last_index - replicator.match_index
        return (
            replicator.is_fresh
            and replicator.incarnation != listed
            and missing <= CAUGHT_UP_ENTRIES
        )

    def _exchange(
        self, replicator: replication.Replicator, wanted: voters.VoterChange
    ) -> None:
        table = self._voter.state.voters.incarnations
        change = commands_pb2.VoterExchange(
            voter=replicator.name,
            old_incarnation=table.get(replicator.name, ''),
            new_incarnation=replicator.incarnation,
            removed=wanted.removed,
        )
        log.change(
            'voters.exchanged',
            voter=change.voter,
            old_incarnation=change.old_incarnation,
            new_incarnation=change.new_incarnation,
            removed=change.removed,
        )
        self._append(
            commands_pb2.Command(voter_exchange=change), changes_voters=True
        )
