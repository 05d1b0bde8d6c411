"""Join requests of control hosts that don't count as voters."""

import asyncio
from collections import abc
import typing

from filbertglade.control import agreement
from filbertglade.control import state
from filbertglade.control import voters as control_voters
from filbertglade.inner import channels
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade import tasks

# Interval between two checks whether to ask to join, in ms. A host that has
# learned of its removal has to ask within 1 s of the contact.
JOIN_INTERVAL_MS = 400
JOIN_TIMEOUT_MS = 500


def list_control_hosts(
    agreed: state.AgreedState, membership: control_voters.SeededMembership
) -> list[str]:
    """Return the voters' inner addresses, or the seeds if there are none.

    :param agreed: the agreed state.
    :param membership: the control hosts.
    """
    return list(agreed.voters.incarnations) or membership.seeds


def answer(
    request: fleet_pb2.EnlistRequest,
    voters: agreement.Agreement,
    membership: control_voters.SeededMembership,
    agreed: state.AgreedState,
) -> fleet_pb2.EnlistReply:
    """Record a join request, and return the reply.

    :param request: the request of another control host.
    :param voters: this control host's part in agreement.
    :param membership: the control hosts.
    :param agreed: the agreed state.
    """
    membership.record_join_request(request.name)
    voters.note_voters(
        request.voters_index,
        request.control_hosts,
        f'join request of {request.name}',
    )
    return fleet_pb2.EnlistReply(
        leader=voters.leader,
        control_hosts=list_control_hosts(agreed, membership),
        voters_index=agreed.voters_index,
    )


class Joiner:
    """Asks the other control hosts to join while this host has to.

    :param name: inner address of this host.
    :param voters: its part in agreement.
    :param list_hosts: returns the control hosts to ask.
    :param channel_factory: opens channels to them.
    """

    def __init__(
        self,
        name: str,
        voters: agreement.Agreement,
        list_hosts: abc.Callable[[], abc.Iterable[str]],
        channel_factory: channels.ChannelFactory,
    ) -> None:
        self._name = name
        self._voters = voters
        self._list_hosts = list_hosts
        self._channels = channel_factory

    async def run(self) -> typing.NoReturn:
        """Ask repeatedly; cancelling this also ends pending requests."""
        requests = tasks.TaskGroup()
        try:
            while True:
                await asyncio.sleep(JOIN_INTERVAL_MS / 1000)
                if not self._voters.must_join:
                    continue
                for host in self._list_hosts():
                    if host != self._name:
                        requests.start(self._ask(host))
        finally:
            await requests.close()

    async def _ask(self, host: str) -> None:
        channel = self._channels.open_channel(host)
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_MS / 1000):
                reply = await fleet_grpc.FleetStub(channel).Enlist(
                    fleet_pb2.EnlistRequest(
                        name=self._name,
                        control_hosts=self._voters.voter_names,
                        voters_index=self._voters.voters_index,
                    )
                )
        except channels.STREAM_ERRORS:
            # The host is down or not yet started; the next request retries.
            return
        finally:
            channel.close()
        self._voters.note_voters(
            reply.voters_index, reply.control_hosts, f'join reply of {host}'
        )
