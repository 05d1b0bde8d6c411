"""Leadership transfer from a leader that shuts down."""

import asyncio

from filbertglade import clock
from filbertglade.control import leadership
from filbertglade.control import replication
from filbertglade.control import voter_state
from filbertglade.inner import agreement_grpc
from filbertglade.inner import agreement_pb2
from filbertglade.inner import channels
from filbertglade.observability import logs

CHECK_INTERVAL_MS = 5

log = logs.get_log(__name__)


async def transfer_leadership(voter: voter_state.VoterState) -> None:
    """Transfer leadership to a follower; do nothing unless leading.

    The lease is given up before the follower is asked to take over. The leader
    keeps its lease if no follower catches up within an election time-out.

    :param voter: the voter that shuts down.
    """
    leading = voter.leadership
    if leading is None or not leading.replicators:
        return
    leading.set_transferring(True)
    targets = await _wait_for_targets(voter, leading)
    leading.set_transferring(False)
    if not targets:
        return
    voter.step_down('leadership transfer')
    for target in targets:
        if await _request_takeover(voter, leading, target):
            return


async def _wait_for_targets(
    voter: voter_state.VoterState, leading: leadership.Leadership
) -> list[replication.Replicator]:
    """Wait up to an election time-out for a follower to catch up."""
    limit_ms = clock.now_ms() + voter.settings.control.election_ms
    while voter.leadership is leading and clock.now_ms() < limit_ms:
        targets = leading.list_transfer_targets()
        if targets:
            return targets
        await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
    return []


async def _request_takeover(
    voter: voter_state.VoterState,
    leading: leadership.Leadership,
    target: replication.Replicator,
) -> bool:
    """Ask a voter to start an election; return whether it replied."""
    request = agreement_pb2.HandOverRequest(
        term=leading.term, leader=voter.name
    )
    channel = voter.channel_factory.open_channel(target.address)
    try:
        async with asyncio.timeout(voter.settings.control.election_ms / 1000):
            stub = agreement_grpc.AgreementStub(channel)
            reply = await stub.HandOver(request)
    except channels.STREAM_ERRORS:
        return False
    finally:
        channel.close()
    log.change('leader.handed_over', to=target.name, won=reply.won)
    return True
