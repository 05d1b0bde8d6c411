"""Answers operators' questions from the leader's point of view."""

import json

from grpclib import server

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import state
from filbertglade.inner import administration_grpc
from filbertglade.inner import administration_pb2
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.membership import attachment
from filbertglade.membership import presence
from filbertglade.settings import model


class AdministrationServicer(administration_grpc.AdministrationBase):
    """Answers on the leader; elsewhere passes the question on to it."""

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        seen: presence.PresenceTable,
        channel_factory: channels.ChannelFactory,
    ) -> None:
        self._settings = settings
        self._agreed = agreed
        self._voters = voters
        self._seen = seen
        self._channels = channel_factory

    async def Read(
        self,
        stream: server.Stream[
            administration_pb2.ReadRequest, administration_pb2.ReadReply
        ],
    ) -> None:
        """Answer one question.

        :param stream: the question's stream.
        """
        request = await stream.recv_message()
        if request is None:
            return
        await stream.send_message(await self._answer(request))

    async def _answer(
        self, request: administration_pb2.ReadRequest
    ) -> administration_pb2.ReadReply:
        if self._voters.is_leader:
            return administration_pb2.ReadReply(
                text=self._render(request.subject)
            )
        if request.forwarded:
            return administration_pb2.ReadReply()
        for host in self._settings.control.hosts:
            if host.name == self._voters.leader:
                return await ask(
                    self._channels,
                    host.address,
                    request.subject,
                    self._settings.timings.connect_timeout_ms,
                    forwarded=True,
                )
        return administration_pb2.ReadReply()

    def _render(self, subject: administration_pb2.Subject) -> bytes:
        if subject == administration_pb2.CONFIGURATION_HISTORY:
            answer = self._render_history()
        elif subject == administration_pb2.CONFIGURATION_STATUS:
            answer = self._render_configuration()
        else:
            answer = self._render_cluster()
        return json.dumps(answer).encode()

    def _render_history(self) -> dict[str, object]:
        return {
            'changes': [
                {
                    'number': change.number,
                    'change_id': change.change_id,
                    'digest': change.digest,
                }
                for change in self._agreed.configuration.history()
            ]
        }

    def _render_configuration(self) -> dict[str, object]:
        current = self._agreed.configuration.current
        nodes = self._render_nodes()
        behind = [
            node['name']
            for node in nodes
            if node['configuration_number'] != current.number
        ]
        return {
            'number': current.number,
            'change_id': current.change_id,
            'digest': current.digest,
            'in_force_everywhere': bool(nodes) and not behind,
            'behind': behind,
            'nodes': nodes,
        }

    def _render_nodes(self) -> list[dict[str, object]]:
        limit_ms = self._settings.timings.presence_limit_ms
        now_ms = clock.now_ms()
        return [
            {
                'name': name,
                'region': seen.report.region,
                'data_centre': seen.report.data_centre,
                'configuration_number': seen.report.configuration_number,
                'draining': seen.report.draining,
                'age_ms': now_ms - seen.proven_ms,
            }
            for name, seen in sorted(self._seen.nodes.items())
            if now_ms - seen.proven_ms <= limit_ms
        ]

    def _render_cluster(self) -> dict[str, object]:
        status = self._voters.status()
        return {
            'leader': status.leader,
            'term': status.term,
            'committed_index': status.committed_index,
            'nodes': self._render_nodes(),
            'groups': [
                {
                    'name': record.group,
                    'epoch': record.epoch,
                    'deployment': record.deployment,
                    'fabric_domain': record.fabric_domain,
                    'phase': commands_pb2.GroupPhase.Name(
                        record.phase
                    ).lower(),
                    'hosts': list(record.hosts),
                }
                for record in self._agreed.groups.groups.values()
            ],
            'hosts': self._render_hosts(),
        }

    def _render_hosts(self) -> list[dict[str, object]]:
        limit_ms = self._settings.timings.presence_limit_ms
        return [
            {
                'name': name,
                'fabric_domain': seen.announcement.fabric_domain,
                'service': seen.announcement.service,
                'group': seen.announcement.group,
                'epoch': seen.announcement.epoch,
                'ready': seen.announcement.ready,
                'leaving': seen.announcement.leaving,
                'present': self._seen.is_present(name, limit_ms),
            }
            for name, seen in sorted(self._seen.hosts.items())
        ]


async def ask(
    channel_factory: channels.ChannelFactory,
    address: str,
    subject: administration_pb2.Subject,
    timeout_ms: int,
    forwarded: bool = False,
) -> administration_pb2.ReadReply:
    """Ask a control host a question.

    :param channel_factory: opens the channel.
    :param address: the control host's inner address.
    :param subject: what is asked.
    :param timeout_ms: how long to wait.
    :param forwarded: whether the question must not be passed on again.
    :returns: the answer; empty if it has none or can't be reached.
    """
    channel = channel_factory.open_channel(address)
    try:
        stub = administration_grpc.AdministrationStub(channel)
        request = administration_pb2.ReadRequest(
            subject=subject, forwarded=forwarded
        )
        return await stub.Read(request, timeout=timeout_ms / 1000)
    except attachment.LinkErrors:
        return administration_pb2.ReadReply()
    finally:
        channel.close()
