"""The gRPC service that a voter offers to the other voters."""

import asyncio
from collections import abc
import typing

import grpclib
from grpclib import const
from grpclib import server

from filbertglade.control import election
from filbertglade.control import entry_parts
from filbertglade.control import follower
from filbertglade.control import voter_state
from filbertglade.inner import agreement_grpc
from filbertglade.inner import agreement_pb2

Result = typing.TypeVar('Result')


class AgreementServicer(agreement_grpc.AgreementBase):
    """Passes requests of other voters to the elector and the follower."""

    def __init__(self) -> None:
        self._voter: voter_state.VoterState | None = None
        self._elector: election.Elector | None = None
        self._follower: follower.Follower | None = None

    def open(
        self, voter: voter_state.VoterState, elector: election.Elector
    ) -> None:
        """Start to accept requests.

        :param voter: this voter.
        :param elector: its elector.
        """
        self._voter = voter
        self._elector = elector
        self._follower = follower.Follower(voter)

    def close(self) -> None:
        """Refuse further requests."""
        self._voter = None

    def _check_voter(self) -> voter_state.VoterState:
        if self._voter is None or self._voter.failure is not None:
            raise grpclib.GRPCError(
                const.Status.UNAVAILABLE, 'this voter is closed or halted'
            )
        return self._voter

    async def _run_to_completion(
        self, work: abc.Coroutine[typing.Any, typing.Any, Result]
    ) -> Result:
        """Run work to its end even if the peer's connection breaks."""
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
        """Handle the leader's append entries requests and heartbeats.

        :param stream: open as long as the leader leads.
        """
        self._check_voter()
        assert self._follower is not None
        assembler = entry_parts.PartAssembler()
        try:
            async for request in stream:
                reply = await self._run_to_completion(
                    self._follower.append(request, assembler)
                )
                await stream.send_message(reply)
        finally:
            assembler.clear()

    async def Vote(  # noqa: N802
        self,
        stream: 'server.Stream[agreement_pb2.VoteRequest, '
        'agreement_pb2.VoteReply]',
    ) -> None:
        """Handle a vote request.

        :param stream: one request and its reply.
        """
        self._check_voter()
        assert self._elector is not None
        request = await stream.recv_message()
        if request is not None:
            reply = await self._run_to_completion(self._elector.vote(request))
            await stream.send_message(reply)

    async def HandOver(  # noqa: N802
        self,
        stream: 'server.Stream[agreement_pb2.HandOverRequest, '
        'agreement_pb2.HandOverReply]',
    ) -> None:
        """Handle a leadership transfer by starting an election.

        :param stream: one request and its reply.
        """
        self._check_voter()
        assert self._elector is not None
        request = await stream.recv_message()
        if request is not None:
            won = await self._run_to_completion(
                self._elector.take_over(request)
            )
            await stream.send_message(agreement_pb2.HandOverReply(won=won))

    async def InstallSnapshot(  # noqa: N802
        self,
        stream: 'server.Stream[agreement_pb2.SnapshotChunk, '
        'agreement_pb2.SnapshotReply]',
    ) -> None:
        """Install a snapshot.

        :param stream: its chunks, and a reply to each.
        """
        self._check_voter()
        assert self._follower is not None
        await self._follower.install_snapshot(
            aiter(stream), stream.send_message
        )
        self._check_voter()
