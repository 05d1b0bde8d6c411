"""A node's search for a better control host than the attached one."""

import asyncio
from collections import abc

from filbertglade.inner import channels
from filbertglade.inner import membership_grpc
from filbertglade.inner import membership_pb2
from filbertglade.membership import stream_errors
from filbertglade.settings import model
from filbertglade import tasks


SEARCH_INTERVAL_MS = 1000


class LeaderSearch:
    """Asks other control hosts for a leader while the attachment is kept.

    :param settings: the node's settings.
    :param channel_factory: opens channels to the control hosts.
    :param task_group: the task group that owns the search's task.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        channel_factory: channels.ChannelFactory,
        task_group: tasks.TaskGroup,
    ) -> None:
        self._settings = settings
        self._channels = channel_factory
        self._task_group = task_group
        self._task: asyncio.Task[model.ControlHostSettings | None] | None = (
            None
        )

    def poll(
        self, candidates: abc.Sequence[model.ControlHostSettings]
    ) -> model.ControlHostSettings | None:
        """Continue the search, or start one; does not wait.

        :param candidates: the control hosts that a new search asks.
        :returns: a control host that has a leader; None if none is found
            yet.
        """
        if self._task is None:
            self._task = self._task_group.start(self._query(candidates))
        if not self._task.done():
            return None
        task, self._task = self._task, None
        return task.result()

    def stop(self) -> None:
        """End the search."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _query(
        self, candidates: abc.Sequence[model.ControlHostSettings]
    ) -> model.ControlHostSettings | None:
        for host in candidates:
            if await self._has_leader(host):
                return host
        await asyncio.sleep(SEARCH_INTERVAL_MS / 1000)
        return None

    async def _has_leader(self, host: model.ControlHostSettings) -> bool:
        timings = self._settings.timings
        channel = self._channels.open_channel(host.address)
        try:
            stub = membership_grpc.MembershipStub(channel)
            async with asyncio.timeout(timings.connect_timeout_ms / 1000):
                reply = await stub.FindLeader(membership_pb2.LeaderRequest())
        except stream_errors.StreamErrors:
            return False
        finally:
            channel.close()
        return reply.known and reply.age_ms < timings.presence_limit_ms
