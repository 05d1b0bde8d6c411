"""gRPC service that has the leader render reports for operators."""

from grpclib import server

from filbertglade.administration import control_client
from filbertglade.administration import rendering
from filbertglade.control import agreement
from filbertglade.control import state
from filbertglade.inner import administration_grpc
from filbertglade.inner import administration_pb2
from filbertglade.inner import channels
from filbertglade.membership import presence
from filbertglade.settings import model


class AdministrationServicer(administration_grpc.AdministrationBase):
    """Replies if this host leads; else forwards the request to the leader."""

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        presence_table: presence.PresenceTable,
        channel_factory: channels.ChannelFactory,
    ) -> None:
        self._settings = settings
        self._voters = voters
        self._renderer = rendering.Renderer(
            settings, agreed, voters, presence_table
        )
        self._channels = channel_factory

    async def Read(
        self,
        stream: server.Stream[
            administration_pb2.ReadRequest, administration_pb2.ReadReply
        ],
    ) -> None:
        """Reply to one request.

        :param stream: the request's stream.
        """
        request = await stream.recv_message()
        if request is None:
            return
        await stream.send_message(await self._build_reply(request))

    async def _build_reply(
        self, request: administration_pb2.ReadRequest
    ) -> administration_pb2.ReadReply:
        if self._voters.is_leader:
            return administration_pb2.ReadReply(
                text=self._renderer.render(request.subject)
            )
        if request.forwarded:
            return administration_pb2.ReadReply()
        for host in self._settings.control.hosts:
            if host.name == self._voters.leader:
                return await control_client.read_subject(
                    self._channels,
                    host.address,
                    request.subject,
                    self._settings.timings.connect_timeout_ms,
                    forwarded=True,
                )
        return administration_pb2.ReadReply()
