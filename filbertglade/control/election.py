"""Elections: standing for one, and voting in those of others."""

import asyncio
import typing

from filbertglade.control import leadership
from filbertglade.control import quorum
from filbertglade.control import replication
from filbertglade.control import store
from filbertglade.control import voter_state
from filbertglade.inner import agreement_grpc
from filbertglade.inner import agreement_pb2
from filbertglade.observability import logs
from filbertglade.settings import model

GRANTED = 1
# Pauses between two looks whether every voter has just started, in ms: drawn
# at random, so that two voters seldom stand at once; the longest is a third
# of the shortest wait without it.
EARLY_LOOK_MS = (40, 200)

log = logs.get_log(__name__)


class Elector:
    """A voter's part in elections.

    :param voter: the voter.
    :param listener: called when its leadership begins or ends.
    """

    def __init__(
        self,
        voter: voter_state.VoterState,
        listener: typing.Callable[[bool], None],
    ) -> None:
        self._voter = voter
        self._listener = listener

    # Standing

    async def run(self) -> typing.NoReturn:
        """Stand for election whenever no leader is heard for too long."""
        voter = self._voter
        while True:
            wait_ms = voter.election_wait_ms()
            if wait_ms > 0:
                if voter.is_unled:
                    look_ms = voter.rng.randrange(*EARLY_LOOK_MS)
                    await asyncio.sleep(min(wait_ms, look_ms) / 1000)
                    await self._stand_early()
                else:
                    await asyncio.sleep(wait_ms / 1000)
                continue
            voter.put_off_election()
            if self._may_stand():
                await self._stand()

    def _may_stand(self, needs_quiet: bool = True) -> bool:
        voter = self._voter
        return (
            voter.role is voter_state.Role.FOLLOWER
            and not (needs_quiet and voter.heard_leader_lately())
            and voter.quorum().counts_in_last_table(
                voter.name, voter.answer(0)
            )
        )

    async def _stand(self) -> None:
        term = self._voter.term + 1
        if await self._ask_voters(term, pre_vote=True):
            await self._campaign(term)

    async def _stand_early(self) -> None:
        """Stand before leases run out, if all voters have just started.

        A lease is held by a process that leads. Once each voter's process
        says that it doesn't lead, none is left; one that is elected
        meanwhile needs the votes of a majority, and of those that have heard
        it none votes for a candidate that stands early.
        """
        if not self._may_stand(needs_quiet=False):
            return
        voter = self._voter
        term = voter.term + 1
        if await self._ask_voters(term, pre_vote=True, is_early=True):
            await self._campaign(term, is_early=True)

    async def take_over(self, request: agreement_pb2.HandOverRequest) -> bool:
        """Stand for election at once, since the leader has resigned.

        :param request: what the leader sent.
        :returns: whether this voter leads now.
        """
        voter = self._voter
        if (request.term, request.leader) != (voter.term, voter.leader):
            return False
        voter.counters.count('agreement_hand_overs')
        return await self._campaign(request.term + 1, handed_over=True)

    async def _campaign(
        self, term: int, handed_over: bool = False, is_early: bool = False
    ) -> bool:
        """Ask for votes in a new term; return whether it was won."""
        voter = self._voter
        async with voter.mutex:
            if is_early and not voter.is_unled:
                return False
            if voter.term + 1 != term or not self._may_stand(
                needs_quiet=not (handed_over or is_early)
            ):
                return False
            voter.leader = ''
            voter.set_candidate(True)
            if not await voter.save_vote(store.Vote(term, voter.name)):
                return False
        voter.counters.count('agreement_elections')
        log.change(
            'election.started',
            term=term,
            handed_over=handed_over,
            early=is_early,
        )
        won = await self._ask_voters(term, False, handed_over, is_early)
        async with voter.mutex:
            if (
                voter.term != term
                or voter.role is not voter_state.Role.CANDIDATE
            ):
                return False
            voter.set_candidate(False)
            if not won:
                voter.put_off_election_briefly()
                return False
            leading = leadership.Leadership(voter, self._listener)
            voter.leadership = leading
            leading.start()
            return True

    async def _ask_voters(
        self,
        term: int,
        pre_vote: bool,
        handed_over: bool = False,
        is_early: bool = False,
    ) -> bool:
        """Ask every voter at once, until a quorum has granted.

        An early candidate first needs a word of every voter.
        """
        voter = self._voter
        request = agreement_pb2.VoteRequest(
            term=term,
            candidate=voter.name,
            incarnation=voter.identity.incarnation,
            last_index=voter.journal.last_index,
            last_term=voter.journal.last_term,
            pre_vote=pre_vote,
            handed_over=handed_over,
            unled=is_early,
        )
        votes = {voter.name: voter.answer(GRANTED)}
        unled: set[str] = set()
        peers = voter.peers
        asked = {
            voter.tasks.start(self._ask(host, request, votes, unled))
            for host in peers
        }
        try:
            while voter.quorum().find_quorum_value(votes) < GRANTED or (
                is_early and pre_vote and len(unled) < len(peers)
            ):
                if not asked:
                    return False
                _, asked = await asyncio.wait(
                    asked, return_when=asyncio.FIRST_COMPLETED
                )
            return True
        finally:
            for task in asked:
                task.cancel()

    async def _ask(
        self,
        host: model.ControlHostSettings,
        request: agreement_pb2.VoteRequest,
        votes: dict[str, quorum.VoterReply],
        unled: set[str],
    ) -> None:
        voter = self._voter
        channel = voter.channel_factory.open_channel(host.address)
        stub = agreement_grpc.AgreementStub(channel)
        try:
            async with asyncio.timeout(
                voter.settings.control.election_ms / 1000
            ):
                reply = await stub.Vote(request)
        except replication.STREAM_ERRORS:
            return
        finally:
            channel.close()
        if reply.unled:
            unled.add(host.name)
        if reply.granted:
            votes[host.name] = quorum.VoterReply(
                reply.incarnation, reply.founding, GRANTED
            )
        else:
            voter.observe_term(reply.term)

    # Voting

    async def vote(
        self, request: agreement_pb2.VoteRequest
    ) -> agreement_pb2.VoteReply:
        """Answer a candidate.

        :param request: what it asks.
        :returns: the answer; a vote given is durable.
        """
        voter = self._voter
        async with voter.mutex:
            refusal = self._find_refusal(request)
            if not refusal and not request.pre_vote:
                refusal = await self._give_vote(request)
        return agreement_pb2.VoteReply(
            term=voter.term,
            granted=not refusal,
            incarnation=voter.identity.incarnation,
            founding=voter.identity.founding,
            reason=refusal,
            unled=voter.is_unled,
        )

    def _find_refusal(self, request: agreement_pb2.VoteRequest) -> str:
        """Return why the candidate gets no vote; empty if it may."""
        voter = self._voter
        if voter.role in (voter_state.Role.LEARNER, voter_state.Role.HALTED):
            return voter.role.value
        leading = voter.leadership
        if leading is not None and leading.has_quorum:
            return 'leads'
        # A leader heard in an earlier term has resigned by the hand-over, or
        # lost its lease before the one that resigned was elected.
        needs_quiet = not (
            (request.handed_over and request.term > voter.term)
            or (request.unled and voter.is_unled)
        )
        if leading is None and needs_quiet and voter.heard_leader_lately():
            return 'heard a leader lately'
        if request.term < voter.term:
            return 'old term'
        if request.term == voter.term and voter.vote.candidate not in (
            '',
            request.candidate,
        ):
            return 'voted for another'
        own = (voter.journal.last_term, voter.journal.last_index)
        if (request.last_term, request.last_index) < own:
            return 'log is behind'
        return ''

    async def _give_vote(self, request: agreement_pb2.VoteRequest) -> str:
        voter = self._voter
        if request.term > voter.term:
            voter.step_down('newer term')
            voter.leader = ''
        vote = store.Vote(request.term, request.candidate)
        if not await voter.save_vote(vote):
            return 'storage failed'
        voter.put_off_election()
        return ''
