"""One voter of the replicated log: what its tasks share."""

import asyncio
from collections import abc
import enum
import random
import typing

from filbertglade import clock
from filbertglade.control import failures
from filbertglade.control import journal
from filbertglade.control import quorum
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

# Records applied before other tasks get their turn.
APPLY_SLICE = 64

log = logs.get_log(__name__)


class Role(enum.Enum):
    """A voter's part in its term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    # Its folder's incarnation isn't in the voter table: it only listens.
    LEARNER = 'learner'
    # Its storage failed: it answers nothing until it is restarted.
    HALTED = 'halted'


class VoterState:
    """A voter's memory, and the steps that its tasks have in common.

    :param settings: the node's settings.
    :param membership: which control hosts there are.
    :param agreed: the agreed state.
    :param storage: the data folder, opened.
    :param stored: what it held.
    :param channel_factory: opens channels to the other voters.
    :param counters: the process's metrics.
    :param rng: the process's random numbers.
    :ivar mutex: held over every change of term, vote or log that awaits.
    :ivar leader: the leader of this term; empty if unknown.
    :ivar heard_ms: when the leader was last heard; None if never.
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
        # Voters that were given the same seed must not draw the same
        # election time-outs: they would split every vote.
        self.rng = random.Random(f'{rng.getrandbits(64)} {settings.name}')
        self.mutex = asyncio.Lock()
        self.snapshot_lock = asyncio.Lock()
        self.leader = ''
        self.heard_ms: int | None = None
        self.committed_index = min(
            stored.committed_index, self.journal.last_index
        )
        self.leadership: leadership.Leadership | None = None
        self.failure: base_failures.Failure | None = None
        self.applied = asyncio.Event()
        self._candidate = False
        self._commit_moved = asyncio.Event()
        self._commit_moved.set()
        # A voter that just started may have heard a leader before.
        self._quiet_since_ms = clock.now_ms()
        self._deadline_ms = 0
        self._clock_base_ms = agreed.log_clock_ms
        self._clock_at_ms = clock.now_ms()
        self.put_off_election()

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
        """This voter's part."""
        if self.failure is not None:
            return Role.HALTED
        if self.leadership is not None:
            return Role.LEADER
        if self._candidate:
            return Role.CANDIDATE
        if not self.quorum().counts_in_any_table(self.name, self.answer(0)):
            return Role.LEARNER
        return Role.FOLLOWER

    def answer(self, value: int) -> quorum.VoterReply:
        """Return an answer of this voter itself.

        :param value: how far it got.
        """
        return quorum.VoterReply(
            self.identity.incarnation, self.identity.founding, value
        )

    def voter_tables(self) -> list[voter_table.VoterTable]:
        """Return the table applied, and that after each change to come."""
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
        """Return the majorities that a decision needs now."""
        tables = [table.incarnations for table in self.voter_tables()]
        return quorum.Quorum(self.membership.founders, tables)

    def has_unapplied_voter_change(self) -> bool:
        """Return whether the log holds a change of voters to come."""
        changes = self.journal.voter_changes
        return bool(changes) and changes[-1] > self.state.applied_index

    # Time

    def put_off_election(self) -> None:
        """Wait a fresh, random time before standing for election."""
        least_ms = self.settings.control.election_ms
        self._deadline_ms = (
            clock.now_ms() + least_ms + self.rng.randrange(least_ms)
        )

    def put_off_election_briefly(self) -> None:
        """Wait a short, random time after an election that nobody won."""
        control = self.settings.control
        self._deadline_ms = clock.now_ms() + self.rng.randrange(
            control.heartbeat_ms, control.election_ms // 2
        )

    def election_wait_ms(self) -> int:
        """Return the time until this voter may stand for election."""
        return self._deadline_ms - clock.now_ms()

    def heard_leader_lately(self) -> bool:
        """Return whether a leader may still hold a lease by this voter."""
        quiet_ms = clock.now_ms() - self._quiet_since_ms
        return quiet_ms < self.settings.control.election_ms

    @property
    def is_unled(self) -> bool:
        """Whether this process neither leads nor has ever heard a leader."""
        return self.heard_ms is None and self.leadership is None

    def hear_leader(self, leader: str, log_clock_ms: int) -> None:
        """Note that the leader of the present term was heard.

        :param leader: its name.
        :param log_clock_ms: its log clock.
        """
        now_ms = clock.now_ms()
        if self.leader != leader:
            log.change('leader.followed', leader=leader, term=self.term)
        self.leader = leader
        self.heard_ms = now_ms
        self._quiet_since_ms = now_ms
        self.raise_log_clock(log_clock_ms)
        self.put_off_election()

    def log_clock_ms(self) -> int:
        """Return the log clock as far as this voter knows it."""
        return self._clock_base_ms + clock.now_ms() - self._clock_at_ms

    def raise_log_clock(self, seen_ms: int) -> None:
        """Take a log clock that was seen, if it is ahead.

        :param seen_ms: the log clock seen.
        """
        self._clock_base_ms = max(self.log_clock_ms(), seen_ms)
        self._clock_at_ms = clock.now_ms()

    # Terms

    async def save_vote(self, vote: store.Vote) -> bool:
        """Make term and vote durable; call it with the mutex held.

        :param vote: the new ones.
        :returns: whether they are.
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
        """Move to a newer term; call it with the mutex held.

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
        """Move to a newer term that a peer's answer named.

        :param term: the term.
        """
        if term > self.term:
            # Stepping down cancels the task that saw the answer.
            self.tasks.start(self._observe_term(term))

    async def _observe_term(self, term: int) -> None:
        async with self.mutex:
            await self.adopt_term(term)

    def set_candidate(self, candidate: bool) -> None:
        """Note whether this voter stands for election.

        :param candidate: whether it does.
        """
        self._candidate = candidate

    def step_down(self, reason: str) -> None:
        """Stop leading or standing for election.

        :param reason: for the log.
        """
        self._candidate = False
        leading = self.leadership
        if leading is None:
            return
        self.leadership = None
        self.leader = ''
        self.put_off_election()
        leading.stop(reason)

    def halt(self, failure: base_failures.Failure) -> None:
        """Stop for good: nothing that isn't durable may be answered.

        :param failure: what went wrong.
        """
        if self.failure is not None:
            return
        self.failure = failure
        self.counters.count('agreement_halts')
        log.error('voter.halted', reason=str(failure))
        self.step_down('halted')

    # Commit

    def commit(self, index: int) -> None:
        """Note that the log is committed up to a record.

        :param index: the record's index; it must be held.
        """
        if index > self.committed_index:
            self.committed_index = index
            self._commit_moved.set()

    async def run_apply(
        self, snapshot_due: abc.Callable[[], None]
    ) -> typing.NoReturn:
        """Apply committed records, a slice at a time.

        :param snapshot_due: called after each slice.
        """
        while True:
            await self._commit_moved.wait()
            self._commit_moved.clear()
            while self._try_apply_slice():
                snapshot_due()
                await asyncio.sleep(0)

    def _try_apply_slice(self) -> bool:
        """Apply some records; halt rather than go on without one."""
        try:
            return self._apply_slice()
        except Exception as error:
            detail = f'{type(error).__name__}: {error}'
            self.halt(
                base_failures.Failure(
                    failures.VoterReason.COMMAND_FAILED, detail
                )
            )
            return False

    def _apply_slice(self) -> bool:
        """Apply some records; return whether there were any."""
        first = self.state.applied_index + 1
        last = min(self.committed_index, first + APPLY_SLICE - 1)
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
                self.leadership.settle(entry, result)
        self.applied.set()
        return last >= first
