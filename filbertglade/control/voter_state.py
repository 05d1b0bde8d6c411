"""The Raft state of one voter, which its tasks share."""

import asyncio
from collections import abc
import enum
import random
import typing

from filbertglade import clock
from filbertglade.control import failures
from filbertglade.control import journal
from filbertglade.control import log_formats
from filbertglade.control import quorum
from filbertglade.control import removal
from filbertglade.control import state
from filbertglade.control import store
from filbertglade.control.tables import voters as voter_table
from filbertglade.control import voters
from filbertglade import failures as base_failures
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.settings import model
from filbertglade import tasks

if typing.TYPE_CHECKING:
    from filbertglade.control import leadership

# Entries applied before other tasks may run.
APPLY_BATCH_ENTRIES = 64

log = logs.get_log(__name__)


class Role(enum.Enum):
    """A voter's role in its term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    # Its folder's incarnation isn't in the voter table: it receives the log,
    # but doesn't vote or count.
    LEARNER = 'learner'
    # It failed to store or to apply: it replies to nothing any more.
    HALTED = 'halted'


class VoterState:
    """A voter's state, and the operations on it that its tasks share.

    :param settings: the node's settings.
    :param membership: the control hosts of the cluster.
    :param agreed: the agreed state.
    :param storage: the data folder, opened.
    :param stored: the state loaded from it.
    :param channel_factory: opens channels to the other voters.
    :param counters: the process's metrics.
    :param rng: the process's random numbers.
    :ivar mutex: held during changes of term, vote or log that await.
    :ivar leader: the leader of this term; empty if unknown.
    :ivar removal: what other hosts say of this voter's removal.
    :ivar halted: set once this voter has halted.
    :ivar halted_since_ms: time at which this voter halted; None if it didn't.
    :ivar leader_contact_ms: time of the last contact with a leader, or, while
        this voter leads, of the quorum's; None if there was none.
    """

    def __init__(
        self,
        settings: model.VoterSettings,
        membership: voters.Membership,
        agreed: state.AgreedState,
        storage: store.Storage,
        stored: store.StoredState,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.state = agreed
        self.storage = storage
        self.identity = stored.identity
        self.vote = stored.vote
        self.tasks = tasks.TaskGroup()
        self.journal = journal.Journal(storage, stored, self.tasks)
        self.snapshot = stored.snapshot
        self.channel_factory = channel_factory
        self.counters = counters
        # Voters with the same seed must not draw the same election time-outs,
        # or every vote would be split.
        self.rng = random.Random(f'{rng.getrandbits(64)} {settings.name}')
        self.mutex = asyncio.Lock()
        self.snapshot_lock = asyncio.Lock()
        self.leader = ''
        self.leader_contact_ms: int | None = None
        self.committed_index = min(
            stored.committed_index, self.journal.last_index
        )
        self.leadership: leadership.Leadership | None = None
        self.failure: base_failures.Failure | None = None
        self.halted_since_ms: int | None = None
        self.halted = asyncio.Event()
        self.applied = asyncio.Event()
        self.removal = removal.LearnedRemoval()
        self._candidate = False
        self._commit_advanced = asyncio.Event()
        self._commit_advanced.set()
        # Before a restart this voter may have acknowledged a leader, whose
        # lease may still hold.
        self._leader_silent_since_ms = clock.now_ms()
        self._election_deadline_ms = 0
        self._log_clock_base_ms = agreed.log_clock_ms
        self._log_clock_updated_ms = clock.now_ms()
        self.reset_election_timer()

    @property
    def name(self) -> str:
        """The node's name."""
        return self.settings.name

    @property
    def term(self) -> int:
        """The newest term seen."""
        return self.vote.term

    @property
    def peers(self) -> list[model.ControlHostSettings]:
        """The other control hosts."""
        names = [
            name
            for table in self.voter_tables()
            for name in table.incarnations
        ]
        hosts = self.membership.list_hosts(names)
        return [host for host in hosts if host.name != self.name]

    @property
    def role(self) -> Role:
        """This voter's current role."""
        if self.failure is not None:
            return Role.HALTED
        if self.leadership is not None:
            return Role.LEADER
        if self._candidate:
            return Role.CANDIDATE
        if not self.quorum().counts_in_any_table(
            self.name, self.build_reply(0)
        ):
            return Role.LEARNER
        return Role.FOLLOWER

    def build_reply(self, value: int) -> quorum.VoterReply:
        """Return this voter's own reply for counting a quorum.

        :param value: the index or time that it has reached.
        """
        return quorum.VoterReply(
            self.identity.incarnation, self.identity.founding, value
        )

    def voter_tables(self) -> list[voter_table.VoterTable]:
        """Return the applied voter table, then one per unapplied change."""
        table = self.state.voters
        tables = [table]
        for index in self.journal.voter_changes:
            entry = self.journal.get(index)
            if entry is None or index <= self.state.applied_index:
                continue
            table = table.copy()
            table.apply(commands_pb2.Command.FromString(entry.command))
            tables.append(table)
        return tables

    def quorum(self) -> quorum.Quorum:
        """Return the quorum over the applied and the pending voter tables."""
        tables = [table.incarnations for table in self.voter_tables()]
        return quorum.Quorum(self.membership.founders, tables)

    def has_unapplied_voter_change(self) -> bool:
        """Return whether the log holds an unapplied voter change."""
        changes = self.journal.voter_changes
        return bool(changes) and changes[-1] > self.state.applied_index

    @property
    def is_removed(self) -> bool:
        """Whether another host has applied this voter's removal.

        It is decided by the log once this voter has applied as much of it. A
        learner isn't removed: it knows that it doesn't count.
        """
        return self.removal.is_removed(
            self.state.applied_index
        ) and self.quorum().counts_in_any_table(self.name, self.build_reply(0))

    def note_voters(
        self, voters_index: int, is_listed: bool, source: str
    ) -> None:
        """Note whether another host's voter table lists this voter.

        :param voters_index: index up to which the other host has applied the
            log; 0 if its table is empty.
        :param is_listed: whether its table lists this voter.
        :param source: the other host, or the kind of contact.
        """
        was_removed = self.is_removed
        self.removal.note(voters_index, is_listed)
        if self.is_removed and not was_removed:
            self.counters.count('agreement_removals_learned')
            log.change(
                'voter.removal_learned',
                source=source,
                voters_index=voters_index,
                applied_index=self.state.applied_index,
            )

    # Time

    def reset_election_timer(self) -> None:
        """Set the election timer to a new random time-out."""
        least_ms = self.settings.control.election_ms
        self._election_deadline_ms = (
            clock.now_ms() + least_ms + self.rng.randrange(least_ms)
        )

    def schedule_election_retry(self) -> None:
        """Set the election timer to a short random time.

        It is used after an election that nobody won.
        """
        control = self.settings.control
        self._election_deadline_ms = clock.now_ms() + self.rng.randrange(
            control.heartbeat_ms, control.election_ms // 2
        )

    def election_wait_ms(self) -> int:
        """Return the time in ms until the election timer runs out."""
        return self._election_deadline_ms - clock.now_ms()

    def heard_leader_lately(self) -> bool:
        """Return whether a leader's lease may still rest on this voter.

        That is so within an election time-out of the last contact or of the
        start.
        """
        quiet_ms = clock.now_ms() - self._leader_silent_since_ms
        return quiet_ms < self.settings.control.election_ms

    @property
    def has_seen_no_leader(self) -> bool:
        """Whether this process neither leads nor has seen a leader yet."""
        return self.leader_contact_ms is None and self.leadership is None

    def record_leader_contact(self, leader: str, log_clock_ms: int) -> None:
        """Record contact with the leader of the current term.

        :param leader: its name.
        :param log_clock_ms: its log clock.
        """
        now_ms = clock.now_ms()
        if self.leader != leader:
            log.change('leader.followed', leader=leader, term=self.term)
        self.leader = leader
        self.leader_contact_ms = now_ms
        self._leader_silent_since_ms = now_ms
        self.advance_log_clock(log_clock_ms)
        self.reset_election_timer()

    def log_clock_ms(self) -> int:
        """Return the log clock in ms, as last seen plus the time since."""
        return (
            self._log_clock_base_ms
            + clock.now_ms()
            - self._log_clock_updated_ms
        )

    def advance_log_clock(self, seen_ms: int) -> None:
        """Advance the log clock to a received one if that is ahead.

        :param seen_ms: the received log clock.
        """
        self._log_clock_base_ms = max(self.log_clock_ms(), seen_ms)
        self._log_clock_updated_ms = clock.now_ms()

    # Terms

    async def save_vote(self, vote: store.Vote) -> bool:
        """Make term and vote durable; the mutex must be held.

        :param vote: the new term and vote.
        :returns: whether they were stored.
        """
        if vote == self.vote:
            return True
        failure = await asyncio.shield(
            self.tasks.start(self.storage.save_vote(vote))
        )
        if failure is not None:
            self.halt(failure)
            return False
        self.vote = vote
        return True

    async def adopt_term(self, term: int) -> bool:
        """Move to a term if it is newer; the mutex must be held.

        :param term: the term.
        :returns: whether this voter is in that term now.
        """
        if term > self.term:
            self.step_down('newer term')
            self.leader = ''
            if not await self.save_vote(store.Vote(term)):
                return False
        return term == self.term

    def observe_term(self, term: int) -> None:
        """Move to a newer term found in a peer's reply.

        :param term: the term.
        """
        if term > self.term:
            # Stepping down cancels the task that received the reply.
            self.tasks.start(self._observe_term(term))

    async def _observe_term(self, term: int) -> None:
        async with self.mutex:
            await self.adopt_term(term)

    def set_candidate(self, candidate: bool) -> None:
        """Set whether this voter is a candidate.

        :param candidate: whether it is.
        """
        self._candidate = candidate

    def step_down(self, reason: str) -> None:
        """Stop leading or campaigning.

        :param reason: the reason for the log line.
        """
        self._candidate = False
        leading = self.leadership
        if leading is None:
            return
        self.leadership = None
        self.leader = ''
        self.reset_election_timer()
        leading.stop(reason)

    def halt(self, failure: base_failures.Failure) -> None:
        """Stop for good: no reply may cover state that isn't durable.

        Once the disk works again, another voter starts from what it holds.

        :param failure: what went wrong.
        """
        if self.failure is not None:
            return
        role = self.role
        self.failure = failure
        self.halted_since_ms = clock.now_ms()
        self.counters.count('agreement_halts')
        log.error(
            'voter.halted',
            reason=str(failure),
            role=role.value,
            term=self.term,
            last_index=self.journal.last_index,
            synced_index=self.journal.synced_index,
            committed_index=self.committed_index,
        )
        self.step_down('halted')
        self.halted.set()

    # Commit

    def commit(self, index: int) -> None:
        """Advance the commit index.

        :param index: index of a log entry that this voter holds.
        """
        if index > self.committed_index:
            self.committed_index = index
            self._commit_advanced.set()

    async def run_apply(
        self, on_batch_applied: abc.Callable[[], None]
    ) -> typing.NoReturn:
        """Apply committed entries in batches.

        :param on_batch_applied: called after each batch.
        """
        while True:
            await self._commit_advanced.wait()
            self._commit_advanced.clear()
            while self._try_apply_batch():
                on_batch_applied()
                await asyncio.sleep(0)

    def _try_apply_batch(self) -> bool:
        """Apply a batch of entries; halt if a command fails."""
        try:
            return self._apply_batch()
        except log_formats.UnknownFormatError as error:
            self.halt(
                base_failures.Failure(
                    failures.VoterReason.UNKNOWN_FORMAT, str(error)
                )
            )
            return False
        except Exception as error:
            detail = f'{type(error).__name__}: {error}'
            self.halt(
                base_failures.Failure(
                    failures.VoterReason.COMMAND_FAILED, detail
                )
            )
            return False

    def _apply_batch(self) -> bool:
        """Apply a batch of entries; return whether there were any."""
        first = self.state.applied_index + 1
        last = min(self.committed_index, first + APPLY_BATCH_ENTRIES - 1)
        for index in range(first, last + 1):
            entry = self.journal.get(index)
            if entry is None:
                return False
            command = commands_pb2.Command.FromString(entry.command)
            result = self.state.apply(index, command)
            if entry.changes_voters:
                log.change(
                    'voters.changed',
                    voters=str(self.state.voters.incarnations),
                )
            if self.leadership is not None:
                self.leadership.complete_entry(entry, result)
        self.applied.set()
        return last >= first
