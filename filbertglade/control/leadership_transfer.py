"""A leader's planned end: it hands its part to a voter that is level."""

import asyncio

from filbertglade import clock
from filbertglade.control import leadership
from filbertglade.control import replication
from filbertglade.control import voter_state
from filbertglade.inner import agreement_grpc
from filbertglade.inner import agreement_pb2
from filbertglade.observability import logs

CHECK_INTERVAL_MS = 5

log = logs.get_log(__name__)


async def transfer_leadership(voter: voter_state.VoterState) -> None:
    """Resign and let a follower lead at once; do nothing unless leading.

    The lease is given up before the follower is told. Without a follower
    that becomes level within an election time-out nothing is given up.

    :param voter: the voter that is to end.
    """
    leading = voter.leadership
    if leading is None or not leading.replicators:
        return
    leading.set_resigning(True)
    successors = await _await_successors(voter, leading)
    leading.set_resigning(False)
    if not successors:
        return
    voter.step_down('hands over')
    for successor in successors:
        if await _tell(voter, leading, successor):
            return


async def _await_successors(
    voter: voter_state.VoterState, leading: leadership.Leadership
) -> list[replication.Replicator]:
    """Wait for a follower that is level, within an election time-out."""
    limit_ms = clock.now_ms() + voter.settings.control.election_ms
    while voter.leadership is leading and clock.now_ms() < limit_ms:
        successors = leading.list_successors()
        if successors:
            return successors
        await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
    return []


async def _tell(
    voter: voter_state.VoterState,
    leading: leadership.Leadership,
    successor: replication.Replicator,
) -> bool:
    """Ask a voter to stand for election; return whether it answered."""
    request = agreement_pb2.HandOverRequest(
        term=leading.term, leader=voter.name
    )
    channel = voter.channel_factory.open_channel(successor.address)
    try:
        async with asyncio.timeout(voter.settings.control.election_ms / 1000):
            stub = agreement_grpc.AgreementStub(channel)
            reply = await stub.HandOver(request)
    except replication.STREAM_ERRORS:
        return False
    finally:
        channel.close()
    log.change('leader.handed_over', to=successor.name, won=reply.won)
    return True
