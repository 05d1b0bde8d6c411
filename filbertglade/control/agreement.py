"""The replicated log: this voter's part in it, as the other parts see it."""

import asyncio
from collections import abc
import dataclasses
import random
import typing

import grpclib
from grpclib import const
from grpclib import server

from filbertglade import clock
from filbertglade.control import election
from filbertglade.control import failures
from filbertglade.control import following
from filbertglade.control import handover
from filbertglade.control import member
from filbertglade.control import snapshots
from filbertglade.control import state as agreed_state
from filbertglade.control import store
from filbertglade.control import submitter
from filbertglade import failures as base_failures
from filbertglade.inner import agreement_grpc
from filbertglade.inner import agreement_pb2
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.settings import model

log = logs.get_log(__name__)

Result = typing.TypeVar('Result')


@dataclasses.dataclass(frozen=True, slots=True)
class VoterStatus:
    """A voter as this one knows it.

    :param name: its name.
    :param incarnation: the life of its data folder that counts; empty if
        none does.
    :param match_index: index up to which its log is known to match; on a
        voter that doesn't lead, 0 for all others.
    """

    name: str
    incarnation: str
    match_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class AgreementStatus:
    """This voter at one moment.

    :param name: its name.
    :param role: leader, follower, candidate, learner or halted.
    :param term: newest term seen.
    :param leader: leader of this term; empty if unknown.
    :param committed_index: index up to which the log is committed.
    :param applied_index: index up to which it is applied.
    :param first_index: index of the first record held.
    :param last_index: index of the last record.
    :param snapshot_index: index of the snapshot's record.
    :param incarnation: the life of this voter's data folder.
    :param voters: every voter.
    """

    name: str
    role: str
    term: int
    leader: str
    committed_index: int
    applied_index: int
    first_index: int
    last_index: int
    snapshot_index: int
    incarnation: str
    voters: list[VoterStatus]


class Agreement(submitter.Submitter):
    """One voter of the replicated log.

    :param settings: the node's settings.
    :param state: the agreed state; the log fills it.
    :param store: the data folder.
    :param channel_factory: opens channels to the other voters.
    :param counters: the process's metrics.
    :param rng: the process's random numbers.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        state: agreed_state.AgreedState,
        store: store.Storage,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._state = state
        self._storage = store
        self._channel_factory = channel_factory
        self._counters = counters
        self._rng = rng
        self._member: member.Member | None = None
        self._listeners: list[abc.Callable[[bool], None]] = []
        self._servicer = AgreementServicer()

    @property
    def servicer(self) -> 'AgreementServicer':
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
        voter = member.Member(
            self._settings,
            self._state,
            self._storage,
            stored,
            self._channel_factory,
            self._counters,
            self._rng,
        )
        self._member = voter
        elector = election.Elector(voter, self._notify)
        snapshotter = snapshots.Snapshotter(voter)
        voter.tasks.start(elector.run())
        voter.tasks.start(voter.run_apply(snapshotter.check))
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
        voter = self._member
        if voter is None:
            return
        self._member = None
        self._servicer.close()
        voter.step_down('closing')
        await voter.tasks.close()
        await self._storage.close()

    # Leadership

    async def hand_over(self) -> None:
        """Let another voter lead, if this one does; call it before closing."""
        if self._member is not None:
            await handover.hand_over(self._member)

    @property
    def leader(self) -> str:
        """The leader's name; empty if unknown."""
        return '' if self._member is None else self._member.leader

    def leader_age_ms(self) -> int | None:
        """Return the time since the leader was heard.

        :returns: milliseconds; 0 while this voter acts as leader; None if
            no leader was heard since the start.
        """
        voter = self._member
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
        voter = self._member
        if voter is None or voter.leadership is None:
            return False
        return voter.leadership.is_acting

    def lease_remaining_ms(self) -> int:
        """Return how long this voter may act as leader yet.

        :returns: milliseconds by the clock; 0 if it may not.
        """
        voter = self._member
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
        voter = self._member
        if voter is None:
            return failures.SubmitFailure(failures.SubmitReason.CLOSING)
        if voter.leadership is None or not voter.leadership.is_acting:
            return failures.SubmitFailure(
                failures.SubmitReason.NO_LEADER, f'{voter.name} does not lead'
            )
        return await voter.leadership.submit(command, timeout_ms)

    def status(self) -> AgreementStatus:
        """Return this voter's status."""
        voter = self._member
        if voter is None:
            return AgreementStatus(
                self._settings.name, 'halted', 0, '', 0, 0, 0, 0, 0, '', []
            )
        return AgreementStatus(
            name=voter.name,
            role=voter.role.value,
            term=voter.term,
            leader=voter.leader,
            committed_index=voter.committed_index,
            applied_index=self._state.applied_index,
            first_index=voter.journal.first_index,
            last_index=voter.journal.last_index,
            snapshot_index=voter.snapshot.index,
            incarnation=voter.identity.incarnation,
            voters=_list_voters(voter),
        )


def _list_voters(voter: member.Member) -> list[VoterStatus]:
    matches = {voter.name: voter.journal.synced_index}
    if voter.leadership is not None:
        for replicator in voter.leadership.replicators:
            matches[replicator.name] = replicator.match_index
    table = voter.state.voters.incarnations
    names = [host.name for host in voter.settings.control.hosts]
    names += [name for name in table if name not in names]
    return [
        VoterStatus(name, table.get(name, ''), matches.get(name, 0))
        for name in names
    ]


class AgreementServicer(agreement_grpc.AgreementBase):
    """Serves the other voters."""

    def __init__(self) -> None:
        self._voter: member.Member | None = None
        self._elector: election.Elector | None = None
        self._follower: following.Follower | None = None

    def open(self, voter: member.Member, elector: election.Elector) -> None:
        """Begin to answer.

        :param voter: the voter.
        :param elector: its part in elections.
        """
        self._voter = voter
        self._elector = elector
        self._follower = following.Follower(voter)

    def close(self) -> None:
        """Answer no more."""
        self._voter = None

    def _check_voter(self) -> member.Member:
        if self._voter is None or self._voter.failure is not None:
            raise grpclib.GRPCError(
                const.Status.UNAVAILABLE, 'this voter takes no part'
            )
        return self._voter

    async def _finish(
        self, work: abc.Coroutine[typing.Any, typing.Any, Result]
    ) -> Result:
        """Do work that goes on when the peer's connection breaks."""
        try:
            voter = self._check_voter()
        except grpclib.GRPCError:
            work.close()
            raise
        result: Result = await asyncio.shield(voter.tasks.start(work))
        self._check_voter()
        return result

    async def Append(  # noqa: N802
        self,
        stream: 'server.Stream[agreement_pb2.AppendRequest, '
        'agreement_pb2.AppendReply]',
    ) -> None:
        """Take the leader's records and heartbeats.

        :param stream: lasts as long as the leader leads.
        """
        self._check_voter()
        assert self._follower is not None
        async for request in stream:
            reply = await self._finish(self._follower.append(request))
            await stream.send_message(reply)

    async def Vote(  # noqa: N802
        self,
        stream: 'server.Stream[agreement_pb2.VoteRequest, '
        'agreement_pb2.VoteReply]',
    ) -> None:
        """Answer a candidate.

        :param stream: one request and its reply.
        """
        self._check_voter()
        assert self._elector is not None
        request = await stream.recv_message()
        if request is not None:
            reply = await self._finish(self._elector.vote(request))
            await stream.send_message(reply)

    async def HandOver(  # noqa: N802
        self,
        stream: 'server.Stream[agreement_pb2.HandOverRequest, '
        'agreement_pb2.HandOverReply]',
    ) -> None:
        """Take over from a leader that resigns.

        :param stream: one request and its reply.
        """
        self._check_voter()
        assert self._elector is not None
        request = await stream.recv_message()
        if request is not None:
            won = await self._finish(self._elector.take_over(request))
            await stream.send_message(agreement_pb2.HandOverReply(won=won))

    async def InstallSnapshot(  # noqa: N802
        self,
        stream: 'server.Stream[agreement_pb2.SnapshotChunk, '
        'agreement_pb2.SnapshotReply]',
    ) -> None:
        """Take a snapshot.

        :param stream: its parts, and one reply.
        """
        self._check_voter()
        assert self._follower is not None
        reply = await self._follower.install(aiter(stream))
        self._check_voter()
        await stream.send_message(reply)
