"""The replicated log, as the other packages use it on a control host."""

import asyncio
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
from filbertglade import tasks

log = logs.get_log(__name__)

# Interval between two attempts to start a voter whose disk refuses to read or
# write, in ms. It grows, as each reads the folder, and begins anew once a
# voter has run for longer than the longest interval.
MIN_RESTART_INTERVAL_MS = 500
MAX_RESTART_INTERVAL_MS = 4000


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
        # Why the last start failed; None if it didn't.
        self._start_failure: base_failures.Failure | None = None
        # Starts the voter again; None before the start and after the end.
        self._restarting: tasks.TaskGroup | None = None
        self._listeners: list[abc.Callable[[bool], None]] = []
        self._servicer = service.AgreementServicer()

    @property
    def servicer(self) -> service.AgreementServicer:
        """The gRPC service that the inner server exposes to other voters."""
        return self._servicer

    async def start(self) -> base_failures.Failure | None:
        """Load the stored state and start this voter's tasks.

        If the disk doesn't read or write now, the voter starts once it does.

        :returns: None, or why this voter can't start.
        """
        failure = await self._start_voter()
        if failure is not None and not _is_transient(failure):
            await self._storage.close()
            return failure
        self._set_gauges()
        self._restarting = tasks.TaskGroup()
        self._restarting.start(self._restart_repeatedly())
        return None

    async def _start_voter(self) -> base_failures.Failure | None:
        """Start a voter from what its folder holds.

        :returns: None, or why it can't start.
        """
        stored = await self._storage.open(self._settings.name)
        if isinstance(stored, failures.StorageFailure):
            return self._record_failed_start(stored)
        if stored.snapshot.index > self._state.applied_index:
            failure = await snapshots.load_snapshot(self._storage, self._state)
            if failure is not None:
                return self._record_failed_start(failure)
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
        self._start_failure = None
        elector = election.Elector(voter, self._notify)
        snapshotter = snapshots.Snapshotter(voter)
        voter.tasks.keep_running(
            'agreement.elect', elector.run, self._counters
        )
        voter.tasks.start(voter.run_apply(snapshotter.schedule_if_due))
        voter.tasks.keep_running(
            'agreement.take_snapshots', snapshotter.run, self._counters
        )
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

    def _record_failed_start(
        self, failure: base_failures.Failure
    ) -> base_failures.Failure:
        """Show in the status why there is no voter that takes part."""
        if str(failure) != str(self._start_failure):
            log.error('voter.not_started', reason=str(failure))
        self._start_failure = failure
        return failure

    async def _restart_repeatedly(self) -> None:
        """Start this voter again whenever its disk works after a failure.

        What is in memory but not on the disk is dropped with the old voter,
        as it would be with its process. It acknowledged none of it.
        """
        interval_ms = MIN_RESTART_INTERVAL_MS
        while True:
            started_ms = clock.now_ms()
            voter = self._voter
            if voter is not None:
                await voter.halted.wait()
                assert voter.failure is not None
                if not _is_transient(voter.failure):
                    return
                await voter.tasks.close()
            if clock.now_ms() - started_ms > MAX_RESTART_INTERVAL_MS:
                interval_ms = MIN_RESTART_INTERVAL_MS
            while True:
                await asyncio.sleep(interval_ms / 1000)
                interval_ms = min(2 * interval_ms, MAX_RESTART_INTERVAL_MS)
                failure = await self._start_voter()
                if failure is None:
                    break
                if not _is_transient(failure):
                    return

    def _set_gauges(self) -> None:
        gauges: dict[str, abc.Callable[[], float]] = {
            'agreement_halted_ms': lambda: self.status().halted_ms or 0,
            'agreement_removed': lambda: int(self.status().is_removed),
            'agreement_voters': lambda: len(self._state.voters.incarnations),
            'agreement_voters_replying': (
                lambda: self.status().replying_count or 0
            ),
        }
        for name, read in gauges.items():
            self._counters.set_gauge(name, read)

    async def close(self) -> None:
        """Step down, stop all tasks and release the data folder."""
        if self._restarting is None:
            return
        await self._restarting.close()
        self._restarting = None
        self._servicer.close()
        voter, self._voter = self._voter, None
        if voter is not None:
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

    @property
    def may_acknowledge(self) -> bool:
        """Whether this voter leads, and may acknowledge what it has applied.

        Right after a change of the voters it waits for the entry that states
        that the change is committed.
        """
        voter = self._voter
        if voter is None or voter.leadership is None or not self.is_leader:
            return False
        return voter.leadership.may_acknowledge

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
    def must_join(self) -> bool:
        """Whether this control host has to ask to become a voter.

        It also has to if it doesn't know a leader, which would tell it what
        has happened to it, or if another host has applied its removal.
        """
        voter = self._voter
        return (
            voter is None
            or not self.is_voter
            or not voter.leader
            or voter.is_removed
        )

    @property
    def voter_names(self) -> list[str]:
        """The voters in the table that this host has applied."""
        return list(self._state.voters.incarnations)

    @property
    def voters_index(self) -> int:
        """Index up to which these are known; 0 if there are none."""
        return self._state.voters_index

    def note_voters(
        self, voters_index: int, names: abc.Collection[str], source: str
    ) -> None:
        """Note the voter table that another control host has sent.

        :param voters_index: index up to which the other host has applied the
            log; 0 if it named no voters.
        :param names: the voters in its table.
        :param source: the other host, or the kind of contact.
        """
        if self._voter is not None:
            self._voter.note_voters(
                voters_index, self._settings.name in names, source
            )

    @property
    def failure(self) -> base_failures.Failure | None:
        """Why this voter halted; None if it didn't."""
        if self._start_failure is not None:
            return self._start_failure
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
            return voter_status.build_halted_status(
                self._settings.name, self._start_failure
            )
        return voter_status.build_status(voter, self._start_failure)


def _is_transient(failure: base_failures.Failure) -> bool:
    """Return whether the disk may work again by itself."""
    return failure.reason in failures.TRANSIENT_REASONS
