"""Elections: standing for one, and voting in those of others."""

import asyncio
import typing

from filbertglade.control import leadership
from filbertglade.control import member
from filbertglade.control import quorum
from filbertglade.control import replication
from filbertglade.control import store
from filbertglade.inner import agreement_grpc
from filbertglade.inner import agreement_pb2
from filbertglade.observability import logs
from filbertglade.settings import model

GRANTED = 1

log = logs.get_log(__name__)


class Elector:
    """A voter's part in elections.

    :param voter: the voter.
    :param listener: called when its leadership begins or ends.
    """

    def __init__(
        self, voter: member.Member, listener: typing.Callable[[bool], None]
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
                await asyncio.sleep(wait_ms / 1000)
                continue
            voter.put_off_election()
            if self._may_stand():
                await self._stand()

    def _may_stand(self, handed_over: bool = False) -> bool:
        voter = self._voter
        return (
            voter.role is member.Role.FOLLOWER
            and (handed_over or not voter.heard_leader_lately())
            and voter.quorum().counts_at_last(voter.name, voter.answer(0))
        )

    async def _stand(self) -> None:
        term = self._voter.term + 1
        if await self._ask_voters(term, pre_vote=True):
            await self._campaign(term)

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

    async def _campaign(self, term: int, handed_over: bool = False) -> bool:
        """Ask for votes in a new term; return whether it was won."""
        voter = self._voter
        async with voter.mutex:
            if voter.term + 1 != term or not self._may_stand(handed_over):
                return False
            voter.leader = ''
            voter.set_candidate(True)
            if not await voter.save_vote(store.Vote(term, voter.name)):
                return False
        voter.counters.count('agreement_elections')
        log.change('election.started', term=term, handed_over=handed_over)
        won = await self._ask_voters(term, False, handed_over)
        async with voter.mutex:
            if voter.term != term or voter.role is not member.Role.CANDIDATE:
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
        self, term: int, pre_vote: bool, handed_over: bool = False
    ) -> bool:
        """Ask every voter at once, until a quorum has granted."""
        voter = self._voter
        request = agreement_pb2.VoteRequest(
            term=term,
            candidate=voter.name,
            incarnation=voter.identity.incarnation,
            last_index=voter.journal.last_index,
            last_term=voter.journal.last_term,
            pre_vote=pre_vote,
            handed_over=handed_over,
        )
        votes = {voter.name: voter.answer(GRANTED)}
        asked = {
            voter.tasks.start(self._ask(host, request, votes))
            for host in voter.peers
        }
        try:
            while voter.quorum().find_reached(votes) < GRANTED:
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
        votes: dict[str, quorum.Answer],
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
        if reply.granted:
            votes[host.name] = quorum.Answer(
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
        )

    def _find_refusal(self, request: agreement_pb2.VoteRequest) -> str:
        """Return why the candidate gets no vote; empty if it may."""
        voter = self._voter
        if voter.role in (member.Role.LEARNER, member.Role.HALTED):
            return voter.role.value
        leading = voter.leadership
        if leading is not None and leading.has_quorum:
            return 'leads'
        # A leader heard in an earlier term has resigned by the hand-over, or
        # lost its lease before the one that resigned was elected.
        needs_quiet = not (request.handed_over and request.term > voter.term)
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
