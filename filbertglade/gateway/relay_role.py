"""A control host's part in relaying between the leader and others."""

import asyncio

import orjson

from filbertglade.control import agreement
from filbertglade.fleet import publisher
from filbertglade.fleet import relay_server
from filbertglade.fleet import watcher
from filbertglade.gateway import control_api
from filbertglade.gateway import control_context
from filbertglade.gateway import http_server
from filbertglade.inner import channels
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics

# Longest wait for the leader's answer to an endpoint, in ms: a departure is
# answered within 0.8 s.
ANSWER_TIMEOUT_MS = 1000
# Messages of endpoints that wait for the leader's answer at a time: more than
# the 54 endpoints of a data centre. Further ones are redirected to the leader.
MAX_MESSAGES = 64


class RelayRole(relay_server.RelaySource, control_context.LeaderCaller):
    """Relays to the leader, and answers what is relayed if this host leads.

    :param own: this host's inner address.
    :param context: what the parts of this host's API share.
    :param voters: this host's part in agreement.
    :param fleet_watcher: this host's stream to the leader.
    :param fleet_publisher: names the control hosts.
    :param channel_factory: opens channels to the leader.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        own: str,
        context: control_context.ControlContext,
        voters: agreement.Agreement,
        fleet_watcher: watcher.Watcher,
        fleet_publisher: publisher.Publisher,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
    ) -> None:
        self._own = own
        self._api = control_api.ControlApi(context)
        self._voters = voters
        self._watcher = fleet_watcher
        self._publisher = fleet_publisher
        self._channels = channel_factory
        self._counters = counters
        self._message_count = 0

    @property
    def is_leader(self) -> bool:
        """Whether this host leads."""
        return self._voters.is_leader

    def find_leader(self) -> str:
        """Return the leader that this host watches without a hop, or ''.

        One that this host's voter knows to be replaced is none.
        """
        watched = self._watcher.watched_leader
        if watched == self._own or self._voters.leader not in ('', watched):
            return ''
        return watched

    @property
    def has_recent_frame(self) -> bool:
        """Whether the latest frame is young enough to take new watchers."""
        return self._watcher.has_recent_frame

    def list_control_hosts(self) -> list[str]:
        """Return the inner addresses of control hosts."""
        return self._publisher.list_control_hosts()

    async def answer(
        self, message: fleet_pb2.EndpointMessage
    ) -> fleet_pb2.EndpointAnswer:
        """Answer what an endpoint has sent to a hop.

        :param message: what it has sent.
        :returns: the answer; 503 if this host doesn't lead.
        """
        answer = self._api.handle_relayed(
            http_server.Request('POST', message.target, message.body)
        )
        if isinstance(answer, http_server.Response):
            response = answer
        else:
            response = await answer
        return fleet_pb2.EndpointAnswer(
            status=response.status, body=response.body
        )

    @property
    def has_room(self) -> bool:
        """Whether one more request may wait for the leader's answer."""
        return self._message_count < MAX_MESSAGES

    async def call(
        self, leader: str, request: http_server.Request
    ) -> http_server.Response:
        """Send an endpoint's request to the leader; return its answer.

        :param leader: the leader's inner address.
        :param request: the request.
        :returns: the answer, or 503.
        """
        self._message_count += 1
        channel = self._channels.open_channel(leader)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1000):
                answer = await fleet_grpc.RelaysStub(channel).Announce(
                    fleet_pb2.EndpointMessage(
                        target=request.target, body=request.body
                    )
                )
        except channels.STREAM_ERRORS as error:
            outcome = type(error).__name__
            self._counters.count('relayed_messages', outcome=outcome)
            return _refuse('the leader has not answered')
        finally:
            channel.close()
            self._message_count -= 1
        self._counters.count('relayed_messages', outcome='answered')
        return http_server.Response(answer.status, answer.body)


def _refuse(reason: str) -> http_server.Response:
    return http_server.Response(503, orjson.dumps({'error': reason}))
