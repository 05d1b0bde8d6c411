"""The replicated log, as the other packages use it on a control host."""

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
    """This control host's voter in the replicated log, a Raft group.

    :param settings: the node's settings.
    :param state: the agreed state; committed entries are applied to it.
    :param store: storage in the data folder.
    :param channel_factory: opens channels to the other voters.
    :param counters: the process's metrics.
    :param rng: the process's random numbers.
    :param membership: the control hosts of the cluster; by default those
        listed in the settings.
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
        """The gRPC service that the inner server exposes to other voters."""
        return self._servicer

    async def start(self) -> base_failures.Failure | None:
        """Load the stored state and start this voter's tasks.

        :returns: None, or why this voter can't start.
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
        self._set_gauges()
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

    def _set_gauges(self) -> None:
        gauges: dict[str, abc.Callable[[], float]] = {
            'agreement_halted_ms': lambda: self.status().halted_ms or 0,
            'agreement_voters': lambda: len(self._state.voters.incarnations),
            'agreement_voters_replying': (
                lambda: self.status().replying_count or 0
            ),
        }
        for name, read in gauges.items():
            self._counters.set_gauge(name, read)

    async def close(self) -> None:
        """Step down, stop all tasks and release the data folder."""
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
        """Hand leadership to another voter before closing.

        Does nothing unless this voter leads.
        """
        if self._voter is not None:
            await leadership_transfer.transfer_leadership(self._voter)

    @property
    def leader(self) -> str:
        """The leader's name; empty if unknown."""
        return '' if self._voter is None else self._voter.leader

    def leader_age_ms(self) -> int | None:
        """Return the time since the last contact with the leader.

        :returns: milliseconds; 0 while this voter acts as leader; None if
            there was no contact with a leader since the start.
        """
        voter = self._voter
        if voter is None:
            return None
        if self.is_leader:
            return 0
        if voter.leader_contact_ms is None:
            return None
        return clock.now_ms() - voter.leader_contact_ms

    @property
    def is_leader(self) -> bool:
        """Whether this voter is leader and holds a valid lease now."""
        voter = self._voter
        if voter is None or voter.leadership is None:
            return False
        return voter.leadership.is_acting

    def lease_remaining_ms(self) -> int:
        """Return the time left of this voter's leader lease.

        :returns: milliseconds; 0 if it may not act as leader.
        """
        voter = self._voter
        if voter is None or voter.leadership is None:
            return 0
        return voter.leadership.lease_remaining_ms()

    def add_leadership_listener(
        self, listener: abc.Callable[[bool], None]
    ) -> None:
        """Call a function when this voter starts or stops acting as leader.

        :param listener: gets True at the start and False at the end. It is
            called on the event loop and must not block.
        """
        self._listeners.append(listener)

    def _notify(self, acting: bool) -> None:
        for listener in self._listeners:
            listener(acting)

    # Voters

    @property
    def has_required_voters(self) -> bool:
        """Whether the voter table has as many voters as is required.

        Fewer couldn't survive the losses that the settings tolerate.
        """
        table = self._state.voters.incarnations
        known = sum(1 for incarnation in table.values() if incarnation)
        return known >= self._membership.required_voter_count

    @property
    def term(self) -> int:
        """The newest term seen; 0 before the start."""
        return 0 if self._voter is None else self._voter.term

    def log_clock_ms(self) -> int:
        """Return the log clock in ms, which is continuous across leaders."""
        return 0 if self._voter is None else self._voter.log_clock_ms()

    @property
    def is_voter(self) -> bool:
        """Whether this control host counts towards majorities."""
        voter = self._voter
        return voter is not None and voter.role not in (
            voter_state.Role.LEARNER,
            voter_state.Role.HALTED,
        )

    @property
    def failure(self) -> base_failures.Failure | None:
        """Why this voter halted; None if it didn't."""
        return None if self._voter is None else self._voter.failure

    # Commands

    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> commands_pb2.CommandResult | failures.SubmitFailure:
        """Commit a command and return its result; fails unless leader.

        :param command: the command; its log clock is stamped here.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, after the commit; or the failure, which says
            whether the command may have been applied.
        """
        voter = self._voter
        if voter is None:
            return failures.SubmitFailure(failures.SubmitReason.CLOSING)
        if voter.leadership is None or not voter.leadership.is_acting:
            return failures.SubmitFailure(
                failures.SubmitReason.NO_LEADER,
                f'{voter.name} is not the leader',
            )
        return await voter.leadership.submit(command, timeout_ms)

    def status(self) -> voter_status.AgreementStatus:
        """Return this voter's status."""
        voter = self._voter
        if voter is None:
            return voter_status.build_halted_status(self._settings.name)
        return voter_status.build_status(voter)
