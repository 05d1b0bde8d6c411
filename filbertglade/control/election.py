"""Leader elections: campaigning with pre-vote, and granting votes."""

import asyncio
import typing

from filbertglade.control import leadership
from filbertglade.control import quorum
from filbertglade.control import store
from filbertglade.control import voter_state
from filbertglade.inner import agreement_grpc
from filbertglade.inner import agreement_pb2
from filbertglade.inner import channels
from filbertglade.observability import logs
from filbertglade.settings import model

GRANTED = 1
# Range of the interval between two checks whether an early election is
# possible, in ms. Each interval is random, so that two voters seldom campaign
# at the same time; the longest is a third of the shortest wait before a
# normal election.
EARLY_CHECK_INTERVAL_MS = (40, 200)

log = logs.get_log(__name__)


class Elector:
    """Campaigns when the leader is silent, and answers vote requests.

    :param voter: this voter.
    :param listener: called with True when this voter starts to act as leader,
        with False when it stops.
    """

    def __init__(
        self,
        voter: voter_state.VoterState,
        listener: typing.Callable[[bool], None],
    ) -> None:
        self._voter = voter
        self._listener = listener
        # Replies to the last campaign without a quorum, as logged.
        self._logged_replies: dict[str, str] = {}

    # Campaigning

    async def run(self) -> typing.NoReturn:
        """Start an election whenever the election timer runs out."""
        voter = self._voter
        if voter.role is voter_state.Role.CANDIDATE:
            # An exception ended the last election; its vote stays recorded.
            voter.set_candidate(False)
        while True:
            wait_ms = voter.election_wait_ms()
            if wait_ms > 0:
                if voter.has_seen_no_leader:
                    check_ms = voter.rng.randrange(*EARLY_CHECK_INTERVAL_MS)
                    await asyncio.sleep(min(wait_ms, check_ms) / 1000)
                    await self._run_early_election()
                else:
                    await asyncio.sleep(wait_ms / 1000)
                continue
            voter.reset_election_timer()
            if self._may_campaign():
                await self._run_election()

    def _may_campaign(self, requires_leader_silence: bool = True) -> bool:
        voter = self._voter
        return (
            voter.role is voter_state.Role.FOLLOWER
            and not (requires_leader_silence and voter.heard_leader_lately())
            and voter.quorum().counts_in_last_table(
                voter.name, voter.build_reply(0)
            )
        )

    async def _run_election(self) -> None:
        term = self._voter.term + 1
        if await self._collect_votes(term, pre_vote=True):
            await self._campaign(term)

    async def _run_early_election(self) -> None:
        """Start an election without waiting for leases, if all restarted.

        Only a process that leads holds a lease. Once every voter's process
        has reported that it doesn't lead and has seen no leader since its
        start, no lease is left. A leader elected in the meantime needs a
        majority, and voters that have seen it refuse an early candidate.
        """
        if not self._may_campaign(requires_leader_silence=False):
            return
        voter = self._voter
        term = voter.term + 1
        if await self._collect_votes(term, pre_vote=True, is_early=True):
            await self._campaign(term, is_early=True)

    async def take_over(self, request: agreement_pb2.HandOverRequest) -> bool:
        """Start an election at once, at the request of the old leader.

        The old leader has given up its lease, so neither the pre-vote nor the
        election time-out is needed.

        :param request: the request of the old leader.
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
        """Request votes in a new term; return whether this voter won."""
        voter = self._voter
        async with voter.mutex:
            if is_early and not voter.has_seen_no_leader:
                return False
            if voter.term + 1 != term or not self._may_campaign(
                requires_leader_silence=not (handed_over or is_early)
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
        won = await self._collect_votes(term, False, handed_over, is_early)
        async with voter.mutex:
            if (
                voter.term != term
                or voter.role is not voter_state.Role.CANDIDATE
            ):
                return False
            voter.set_candidate(False)
            if not won:
                voter.schedule_election_retry()
                return False
            leading = leadership.Leadership(voter, self._listener)
            voter.leadership = leading
            leading.start()
            return True

    async def _collect_votes(
        self,
        term: int,
        pre_vote: bool,
        handed_over: bool = False,
        is_early: bool = False,
    ) -> bool:
        """Request votes concurrently; return whether a quorum granted them.

        In an early pre-vote, every voter must also report that it has seen no
        leader.
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
        votes = {voter.name: voter.build_reply(GRANTED)}
        replies: dict[str, str] = {}
        without_leader: set[str] = set()
        peers = voter.peers
        pending = {
            voter.tasks.start(
                self._request_vote(
                    host, request, votes, replies, without_leader
                )
            )
            for host in peers
        }
        try:
            while voter.quorum().find_quorum_value(votes) < GRANTED or (
                is_early and pre_vote and len(without_leader) < len(peers)
            ):
                if not pending:
                    if not is_early:
                        self._log_no_quorum(term, pre_vote, replies)
                    return False
                _, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
            self._logged_replies = {}
            return True
        finally:
            for task in pending:
                task.cancel()

    def _log_no_quorum(
        self, term: int, pre_vote: bool, replies: dict[str, str]
    ) -> None:
        """Log who refused; repetitions of the same replies add no line."""
        self._voter.counters.count('agreement_elections_without_quorum')
        if replies == self._logged_replies:
            return
        self._logged_replies = replies
        tables = self._voter.voter_tables()
        log.change(
            'election.no_quorum',
            term=term,
            pre_vote=pre_vote,
            replies=dict(sorted(replies.items())),
            voter_counts=[len(table.incarnations) for table in tables],
        )

    async def _request_vote(
        self,
        host: model.ControlHostSettings,
        request: agreement_pb2.VoteRequest,
        votes: dict[str, quorum.VoterReply],
        replies: dict[str, str],
        without_leader: set[str],
    ) -> None:
        voter = self._voter
        channel = voter.channel_factory.open_channel(host.address)
        stub = agreement_grpc.AgreementStub(channel)
        try:
            async with asyncio.timeout(
                voter.settings.control.election_ms / 1000
            ):
                reply = await stub.Vote(request)
        except channels.STREAM_ERRORS as error:
            replies[host.name] = f'{type(error).__name__}: {error}'
            return
        finally:
            channel.close()
        replies[host.name] = reply.reason or 'granted'
        voter.note_voters(
            reply.voters_index, reply.lists_candidate, f'vote of {host.name}'
        )
        if reply.unled:
            without_leader.add(host.name)
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
        """Handle a vote or pre-vote request.

        :param request: the candidate's request.
        :returns: the reply; a granted vote is durable.
        """
        voter = self._voter
        async with voter.mutex:
            refusal = self._find_refusal(request)
            if not refusal and not request.pre_vote:
                refusal = await self._grant_vote(request)
        return agreement_pb2.VoteReply(
            term=voter.term,
            granted=not refusal,
            incarnation=voter.identity.incarnation,
            founding=voter.identity.founding,
            reason=refusal,
            unled=voter.has_seen_no_leader,
            voters_index=voter.state.voters_index,
            lists_candidate=voter.quorum().counts_in_any_table(
                request.candidate,
                quorum.VoterReply(request.incarnation, False, GRANTED),
            ),
        )

    def _find_refusal(self, request: agreement_pb2.VoteRequest) -> str:
        """Return why the vote is refused; empty if it is granted."""
        voter = self._voter
        if voter.role in (voter_state.Role.LEARNER, voter_state.Role.HALTED):
            return voter.role.value
        leading = voter.leadership
        if leading is not None and leading.has_quorum:
            return 'leads'
        # After a leadership transfer, no leader of an earlier term holds a
        # lease: the old leader gave its own up, and those before it lost
        # theirs before it was elected.
        requires_leader_silence = not (
            (request.handed_over and request.term > voter.term)
            or (request.unled and voter.has_seen_no_leader)
        )
        if (
            leading is None
            and requires_leader_silence
            and voter.heard_leader_lately()
        ):
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

    async def _grant_vote(self, request: agreement_pb2.VoteRequest) -> str:
        voter = self._voter
        if request.term > voter.term:
            voter.step_down('newer term')
            voter.leader = ''
        vote = store.Vote(request.term, request.candidate)
        if not await voter.save_vote(vote):
            return 'storage failed'
        voter.reset_election_timer()
        return ''
