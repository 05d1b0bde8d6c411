"""A leader's term: its lease, commit index and voter changes."""

import asyncio
import typing

from filbertglade import clock
from filbertglade.control import entry_parts
from filbertglade.control import failures
from filbertglade.control import format_gate
from filbertglade.control import quorum
from filbertglade.control import replication
from filbertglade.control import voters
from filbertglade.inner import agreement_pb2
from filbertglade.inner import commands_pb2
from filbertglade.observability import logs

if typing.TYPE_CHECKING:
    from filbertglade.control import voter_state

MAXIMUM_PENDING = 4096
# Largest lag behind the log's end at which a learner may become a voter.
CAUGHT_UP_LAG_ENTRIES = 64
# How long the first leader waits for all founders before it founds the voter
# table without the missing ones.
FOUNDING_WAIT_ELECTION_TIMEOUTS = 3

log = logs.get_log(__name__)

Result = commands_pb2.CommandResult | failures.SubmitFailure
Pending = asyncio.Future[Result]


class Leadership:
    """The leader's state and tasks for one term.

    A leader acts only while it holds a lease, and after it has applied the
    first entry of its term and the voter table is founded.

    :param voter: the voter that leads.
    :param listener: called with True when the leader starts to act, with False
        when it stops.
    :ivar commands: the commands that the replicators are sending.
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
        self._is_established = False
        self._stopped = False
        self._is_transferring = False
        self._first_index = 0
        self._pending: dict[int, Pending] = {}
        # Index of the entry that states that the latest voter change is
        # committed, and the commands completed before it is committed itself.
        self._statement_index = 0
        self._held: list[tuple[Pending, commands_pb2.CommandResult]] = []
        self._appended = asyncio.Event()
        self.commands = entry_parts.CommandCache()
        self._formats = format_gate.FormatGate(voter, self)
        self.replicators: list[replication.Replicator] = []
        self._replication_tasks: dict[str, asyncio.Task[typing.Any]] = {}
        self._tasks: list[asyncio.Task[typing.Any]] = []
        # Voters of the table that don't reply, as last logged.
        self._silent: set[str] = set()

    @property
    def term(self) -> int:
        """The term of this leadership."""
        return self._term

    @property
    def is_acting(self) -> bool:
        """Whether the leader may act now."""
        return self._is_established and self.lease_remaining_ms() > 0

    @property
    def has_quorum(self) -> bool:
        """Whether the lease, or the first wait for a quorum, is running."""
        return clock.now_ms() < self._lease_end_ms

    def lease_remaining_ms(self) -> int:
        """Return the time left of the lease in ms; 0 if it may not act."""
        if self._stopped or not self._is_established or not self._has_lease:
            return 0
        return max(0, self._lease_end_ms - clock.now_ms())

    def start(self) -> None:
        """Start the term: append its first entry and start replicating."""
        voter = self._voter
        voter.leader = voter.name
        voter.counters.count('agreement_elections_won')
        log.change('leader.elected', term=self._term)
        entry = voter.journal.get(voter.journal.last_index)
        if entry is not None:
            last = commands_pb2.Command.FromString(entry.command)
            voter.advance_log_clock(last.stamped_ms)
        self._first_index = self._append_no_operation()
        self._refresh_replicators()
        for name, work in (
            ('agreement.flush', self._run_flush()),
            ('agreement.check', self._run_checks()),
        ):
            task = voter.tasks.start_required(
                name,
                work,
                voter.counters,
                lambda: voter.step_down('a task failed'),
            )
            self._tasks.append(task)
        self.renew_lease()

    def stop(self, reason: str) -> None:
        """Stop leading; pending commands fail.

        :param reason: the reason for the log line.
        """
        self._stopped = True
        for task in [*self._tasks, *self._replication_tasks.values()]:
            task.cancel()
        log.change('leader.stepped_down', term=self._term, reason=reason)
        self._fail_pending(failures.SubmitReason.LEADER_LOST, reason)
        if self._is_established:
            self._listener(False)

    def _fail_pending(
        self, reason: failures.SubmitReason, detail: str
    ) -> None:
        futures = [*self._pending.values()]
        futures += [future for future, _ in self._held]
        self._pending.clear()
        self._held.clear()
        for future in futures:
            if not future.done():
                future.set_result(
                    failures.SubmitFailure(
                        reason, detail, may_have_applied=True
                    )
                )

    def _refresh_replicators(self) -> None:
        """Start and stop replication to match the current control hosts."""
        voter = self._voter
        hosts = {host.name: host for host in voter.peers}
        for name in [
            name for name in self._replication_tasks if name not in hosts
        ]:
            self._replication_tasks.pop(name).cancel()
        self.replicators = [
            item for item in self.replicators if item.name in hosts
        ]
        for name, host in hosts.items():
            if name in self._replication_tasks:
                continue
            replicator = replication.Replicator(voter, self, host)
            self.replicators.append(replicator)
            self._replication_tasks[name] = voter.tasks.start(replicator.run())

    # Commands

    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> Result:
        """Commit a command and return its result.

        :param command: the command; its log clock is stamped here.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, or the failure.
        """
        if len(self._pending) >= MAXIMUM_PENDING:
            return failures.SubmitFailure(
                failures.SubmitReason.OVERLOADED,
                'too many commands are pending',
            )
        if self._is_transferring:
            return failures.SubmitFailure(
                failures.SubmitReason.NO_LEADER,
                'the leader is transferring its leadership',
            )
        if not self._formats.may_append(command):
            return failures.SubmitFailure(
                failures.SubmitReason.UNSUPPORTED,
                'a voter has an earlier release, or has not reported its own',
            )
        if self._formats.must_state(command):
            self._append_no_operation()
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

    def set_transferring(self, transferring: bool) -> None:
        """Refuse new commands so that a follower can catch up.

        :param transferring: False to accept commands again.
        """
        self._is_transferring = transferring

    def list_transfer_targets(self) -> list[replication.Replicator]:
        """Return the voters to which leadership may be transferred now.

        :returns: voters that replied recently, count in the voter table and
            hold the complete log; none while a command is pending or a voter
            change isn't applied.
        """
        voter = self._voter
        if self._pending or self._held or voter.has_unapplied_voter_change():
            return []
        current_quorum = voter.quorum()
        return [
            replicator
            for replicator in self.replicators
            if replicator.replied_recently
            and replicator.match_index == voter.journal.last_index
            and current_quorum.counts_in_last_table(
                replicator.name, replicator.build_reply(0)
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
        stated = commands_pb2.NoOperation(
            log_format=self._formats.find_format()
        )
        return self._append(commands_pb2.Command(no_operation=stated))

    def complete_entry(
        self,
        entry: agreement_pb2.LogEntry,
        result: commands_pb2.CommandResult,
    ) -> None:
        """Complete the command of an entry that was applied.

        :param entry: the entry.
        :param result: the command's result.
        """
        future = self._pending.pop(entry.index, None)
        if future is not None:
            self._held.append((future, result))
        if entry.changes_voters and not self._stopped:
            # A later entry makes it durable on every voter that the change is
            # committed. After a restart they then need no majority of the
            # voter table before the change. Until a majority holds that
            # entry, lost disks could leave no voter that knows.
            self._statement_index = self._append_no_operation()
        if entry.index >= self._statement_index:
            self._release_results()
        self._begin_acting_if_ready()

    @property
    def may_acknowledge(self) -> bool:
        """Whether what is applied survives the losses that are tolerated."""
        return self._voter.state.applied_index >= self._statement_index

    def _release_results(self) -> None:
        held, self._held = self._held, []
        for future, result in held:
            if not future.done():
                future.set_result(result)

    def _begin_acting_if_ready(self) -> None:
        """Start to act once the conditions named at the class are met."""
        voter = self._voter
        if (
            self._is_established
            or self._stopped
            or not self._has_lease
            or voter.state.applied_index < self._first_index
            or not voter.state.voters.incarnations
        ):
            return
        self._is_established = True
        log.change('leader.acting', term=self._term)
        self._listener(True)

    # Quorum

    async def _run_flush(self) -> None:
        """Sync appended entries to disk; one flush covers all that wait."""
        voter = self._voter
        while True:
            await self._appended.wait()
            self._appended.clear()
            failure = await voter.journal.flush(voter.committed_index)
            if failure is not None:
                voter.halt(failure)
                return
            self.advance_commit_index()

    def advance_commit_index(self) -> None:
        """Commit entries of this term that a quorum has made durable."""
        voter = self._voter
        replies = {voter.name: voter.build_reply(voter.journal.synced_index)}
        for replicator in self.replicators:
            replies[replicator.name] = replicator.build_reply(
                replicator.match_index
            )
        quorum_index = voter.quorum().find_quorum_value(replies)
        if (
            quorum_index > voter.committed_index
            and voter.journal.term_at(quorum_index) == self._term
        ):
            voter.commit(quorum_index)

    def renew_lease(self) -> None:
        """Renew the lease.

        It counts from when the requests that a quorum has replied to were
        sent.
        """
        voter = self._voter
        replies = {voter.name: voter.build_reply(clock.now_ms())}
        for replicator in self.replicators:
            replies[replicator.name] = replicator.build_reply(
                replicator.acknowledged_sent_ms
            )
        quorum_sent_ms = voter.quorum().find_quorum_value(replies)
        if quorum_sent_ms == quorum.NO_VALUE:
            return
        lease_end_ms = quorum_sent_ms + voter.settings.control.lease_ms
        if lease_end_ms > self._lease_end_ms or not self._has_lease:
            self._lease_end_ms = lease_end_ms
        self._has_lease = True
        voter.leader_contact_ms = max(
            voter.leader_contact_ms or 0, quorum_sent_ms
        )
        self._begin_acting_if_ready()

    async def _run_checks(self) -> None:
        """Check repeatedly for loss of the quorum and for voter changes."""
        voter = self._voter
        interval_ms = voter.settings.control.heartbeat_ms
        while True:
            if not self.replicators:
                self.renew_lease()
            if not self.has_quorum:
                self._log_lost_quorum()
                voter.step_down('no quorum within the lease')
                return
            self._refresh_replicators()
            self._update_voters()
            self._log_silent_voters()
            left_ms = self._lease_end_ms - clock.now_ms()
            wait_ms = min(interval_ms, max(1, left_ms))
            await asyncio.sleep(wait_ms / 1000)

    def _list_replying(self) -> set[str]:
        """Return the voters that reply and count, this one included."""
        current_quorum = self._voter.quorum()
        replying = {
            replicator.name
            for replicator in self.replicators
            if replicator.replied_recently
            and current_quorum.counts_in_last_table(
                replicator.name, replicator.build_reply(0)
            )
        }
        if current_quorum.counts_in_last_table(
            self._voter.name, self._voter.build_reply(0)
        ):
            replying.add(self._voter.name)
        return replying

    def replying_count(self) -> int:
        """Return how many voters reply and count, this one included."""
        return len(self._list_replying())

    def losses_left(self) -> int:
        """Return how many of these may be lost without losing the quorum.

        It is negative if there is no quorum.
        """
        tables = self._voter.voter_tables()
        member_count = len(
            tables[-1].incarnations or self._voter.membership.founders
        )
        return self.replying_count() - (member_count // 2 + 1)

    def _log_silent_voters(self) -> None:
        """Log which voters have stopped or resumed replying."""
        voter = self._voter
        # After its election a leader has had no time to get replies yet.
        waited_ms = clock.now_ms() - self._started_ms
        if waited_ms < voter.settings.control.election_ms:
            return
        replying = self._list_replying()
        table = voter.state.voters.incarnations
        silent = {name for name in table if name not in replying}
        if silent == self._silent:
            return
        log.change(
            'voters.silent',
            silent=sorted(silent),
            newly_silent=sorted(silent - self._silent),
            replying_again=sorted(self._silent & replying),
            voter_count=len(table),
            losses_left=self.losses_left(),
        )
        self._silent = silent

    def _log_lost_quorum(self) -> None:
        log.change(
            'leader.quorum_lost',
            term=self._term,
            lease_overdue_ms=clock.now_ms() - self._lease_end_ms,
            voters={
                replicator.name: replicator.describe_traffic()
                for replicator in self.replicators
            },
        )

    # Voter changes

    def _update_voters(self) -> None:
        """Append at most one voter change, once the last one is applied."""
        voter = self._voter
        if (
            self._is_transferring
            or voter.has_unapplied_voter_change()
            or voter.state.applied_index < self._first_index
        ):
            return
        if not voter.state.voters.incarnations:
            self._append_founding()
            return
        for replicator in self.replicators:
            if not self._is_exchange_due(replicator):
                continue
            change = self._find_voter_change(replicator)
            if change is not None:
                self._append_exchange(replicator, change)
                return

    def _find_voter_change(
        self, replicator: replication.Replicator
    ) -> voters.VoterChange | None:
        """Return the change that makes a host's new incarnation count."""
        table = self._voter.state.voters.incarnations
        if replicator.name in table:
            return voters.VoterChange(replicator.name)
        now_ms = clock.now_ms()
        silences_ms = {
            item.name: now_ms
            - max(item.acknowledged_sent_ms, self._started_ms)
            for item in self.replicators
            if item.name in table
        }
        return self._voter.membership.find_addition(
            replicator.name, table, silences_ms
        )

    def _append_founding(self) -> None:
        """Found the voter table once all founders replied, or time is up."""
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
            if replicator.replied_recently and replicator.founding:
                founder.incarnation = replicator.incarnation
            founders.append(founder)
        waited_ms = clock.now_ms() - self._started_ms
        limit_ms = (
            FOUNDING_WAIT_ELECTION_TIMEOUTS
            * voter.settings.control.election_ms
        )
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
        """Return whether a caught-up host is missing in the voter table."""
        voter = self._voter
        listed = voter.state.voters.incarnations.get(replicator.name)
        missing = voter.journal.last_index - replicator.match_index
        return (
            replicator.replied_recently
            and replicator.log_format >= voter.state.log_format
            and replicator.incarnation != listed
            and missing <= CAUGHT_UP_LAG_ENTRIES
        )

    def _append_exchange(
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
