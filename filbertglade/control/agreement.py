"""The replicated log: this voter's part in it, as the other parts see it."""

from collections import abc
import random

from filbertglade import clock
from filbertglade.control import election
from filbertglade.control import failures
from filbertglade.control import leadership_transfer
from filbertglade.control import service
from filbertglade.control import snapshots
from filbertglade.control import state as agreed_state
from filbertglade.control import store
from filbertglade.control import submitter
from filbertglade.control import voter_state
from filbertglade.control import voter_status
from filbertglade.control import voters
from filbertglade import failures as base_failures
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.settings import model

log = logs.get_log(__name__)


class Agreement(submitter.Submitter):
    """One voter of the replicated log.

    :param settings: the node's settings.
    :param state: the agreed state; the log fills it.
    :param store: the data folder.
    :param channel_factory: opens channels to the other voters.
    :param counters: the process's metrics.
    :param rng: the process's random numbers.
    :param membership: which control hosts there are; those that the
        settings list by default.
    """

    def __init__(
        self,
        settings: model.VoterSettings,
        state: agreed_state.AgreedState,
        store: store.Storage,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
        rng: random.Random,
        membership: voters.Membership | None = None,
    ) -> None:
        self._settings = settings
        self._membership = membership or voters.FixedMembership(
            settings.control
        )
        self._state = state
        self._storage = store
        self._channel_factory = channel_factory
        self._counters = counters
        self._rng = rng
        self._voter: voter_state.VoterState | None = None
        self._listeners: list[abc.Callable[[bool], None]] = []
        self._servicer = service.AgreementServicer()

    @property
    def servicer(self) -> service.AgreementServicer:
        """The service for the inner server."""
        return self._servicer

    async def start(self) -> base_failures.Failure | None:
        """Open the data folder and take part.

        :returns: None, or why this voter can't take part.
        """
        stored = await self._storage.open(self._settings.name)
        if isinstance(stored, failures.StorageFailure):
            return stored
        failure = await snapshots.load_snapshot(self._storage, self._state)
        if failure is not None:
            await self._storage.close()
            return failure
        voter = voter_state.VoterState(
            self._settings,
            self._membership,
            self._state,
            self._storage,
            stored,
            self._channel_factory,
            self._counters,
            self._rng,
        )
        self._voter = voter
        elector = election.Elector(voter, self._notify)
        snapshotter = snapshots.Snapshotter(voter)
        voter.tasks.start(elector.run())
        voter.tasks.start(voter.run_apply(snapshotter.schedule_if_due))
        voter.tasks.start(snapshotter.run())
        self._servicer.open(voter, elector)
        log.change(
            'voter.started',
            term=voter.term,
            first_index=voter.journal.first_index,
            last_index=voter.journal.last_index,
            snapshot_index=voter.snapshot.index,
            incarnation=voter.identity.incarnation,
            founding=voter.identity.founding,
            cut_bytes=stored.cut_bytes,
        )
        return None

    async def close(self) -> None:
        """Stop taking part and release the data folder."""
        voter = self._voter
        if voter is None:
            return
        self._voter = None
        self._servicer.close()
        voter.step_down('closing')
        await voter.tasks.close()
        await self._storage.close()

    # Leadership

    async def transfer_leadership(self) -> None:
        """Let another voter lead, if this one does; call it before closing."""
        if self._voter is not None:
            await leadership_transfer.transfer_leadership(self._voter)

    @property
    def leader(self) -> str:
        """The leader's name; empty if unknown."""
        return '' if self._voter is None else self._voter.leader

    def leader_age_ms(self) -> int | None:
        """Return the time since the leader was heard.

        :returns: milliseconds; 0 while this voter acts as leader; None if
            no leader was heard since the start.
        """
        voter = self._voter
        if voter is None:
            return None
        if self.is_leader:
            return 0
        if voter.heard_ms is None:
            return None
        return clock.now_ms() - voter.heard_ms

    @property
    def is_leader(self) -> bool:
        """Whether this voter may act as leader at this very moment."""
        voter = self._voter
        if voter is None or voter.leadership is None:
            return False
        return voter.leadership.is_acting

    def lease_remaining_ms(self) -> int:
        """Return how long this voter may act as leader yet.

        :returns: milliseconds by the clock; 0 if it may not.
        """
        voter = self._voter
        if voter is None or voter.leadership is None:
            return 0
        return voter.leadership.lease_remaining_ms()

    def add_leadership_listener(
        self, listener: abc.Callable[[bool], None]
    ) -> None:
        """Call a function whenever this voter begins or ends to act.

        :param listener: called on the event loop; it must not block.
        """
        self._listeners.append(listener)

    def _notify(self, acting: bool) -> None:
        for listener in self._listeners:
            listener(acting)

    # Voters

    @property
    def has_required_voters(self) -> bool:
        """Whether enough voters are in for what the settings tolerate."""
        table = self._state.voters.incarnations
        known = sum(1 for incarnation in table.values() if incarnation)
        return known >= self._membership.required_voter_count

    @property
    def term(self) -> int:
        """The newest term seen; 0 before the start."""
        return 0 if self._voter is None else self._voter.term

    def log_clock_ms(self) -> int:
        """Return the log clock; it goes on across changes of the leader."""
        return 0 if self._voter is None else self._voter.log_clock_ms()

    @property
    def is_voter(self) -> bool:
        """Whether this control host's answers count."""
        voter = self._voter
        return voter is not None and voter.role not in (
            voter_state.Role.LEARNER,
            voter_state.Role.HALTED,
        )

    @property
    def failure(self) -> base_failures.Failure | None:
        """What ended this voter's part for good; None if nothing did."""
        return None if self._voter is None else self._voter.failure

    # Commands

    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> commands_pb2.CommandResult | failures.SubmitFailure:
        """Commit a command and return what it did; only a leader can.

        :param command: the command; it is stamped here.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, after the commit; or the failure, which says
            whether the command may have been applied.
        """
        voter = self._voter
        if voter is None:
            return failures.SubmitFailure(failures.SubmitReason.CLOSING)
        if voter.leadership is None or not voter.leadership.is_acting:
            return failures.SubmitFailure(
                failures.SubmitReason.NO_LEADER, f'{voter.name} does not lead'
            )
        return await voter.leadership.submit(command, timeout_ms)

    def status(self) -> voter_status.AgreementStatus:
        """Return this voter's status."""
        voter = self._voter
        if voter is None:
            return voter_status.build_halted_status(self._settings.name)
        return voter_status.build_status(voter)
