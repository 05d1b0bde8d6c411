"""The node process: starts and stops its components in order."""

import asyncio
import pathlib
import random
import signal
import uuid

from grpclib import server as grpc_server
from tornado import httpserver

from filbertglade.administration import application as administration
from filbertglade.administration import servicer
from filbertglade.control import agreement
from filbertglade.control import file_storage
from filbertglade.control import state
from filbertglade.control import submission
from filbertglade.control import submitter
from filbertglade.entry import application as entry
from filbertglade import failures
from filbertglade.groups import controller
from filbertglade.inner import channels
from filbertglade.membership import announcements
from filbertglade.membership import attachment
from filbertglade.membership import membership_server
from filbertglade.membership import view
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.requests import request_runner
from filbertglade.settings import model

log = logs.get_log(__name__)


class ControlRole:
    """The components that only control hosts run."""

    def __init__(
        self,
        settings: model.NodeSettings,
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        agreed = state.AgreedState()
        folder = pathlib.Path(settings.control.data_folder)
        self.voters = agreement.Agreement(
            settings,
            agreed,
            file_storage.FileStorage(folder),
            channel_factory,
            counters,
            rng,
        )
        self.membership_server = membership_server.MembershipServer(
            settings, agreed, self.voters, channel_factory, counters
        )
        self.groups = controller.GroupController(
            settings,
            agreed,
            self.voters,
            self.membership_server.presence,
            counters,
        )
        self.commands = submission.CommandsServicer(
            settings, self.voters, channel_factory, counters
        )
        self.administration_servicer = servicer.AdministrationServicer(
            settings,
            agreed,
            self.voters,
            self.membership_server.presence,
            channel_factory,
        )

    async def start(self) -> None | failures.Failure:
        """Start the components.

        :returns: None, or why the host cannot join the control hosts.
        """
        failure = await self.voters.start()
        if failure is not None:
            return failure
        await self.membership_server.start()
        await self.groups.start()
        return None

    async def close(self) -> None:
        """Stop the components; a leader transfers its leadership first."""
        await self.voters.transfer_leadership()
        await self.groups.close()
        await self.membership_server.close()
        await self.commands.close()
        await self.voters.close()


class Node:
    """A node of the system."""

    def __init__(
        self,
        settings: model.NodeSettings,
        channel_factory: channels.ChannelFactory,
    ) -> None:
        self._settings = settings
        self._run_id = uuid.uuid4().hex
        rng = random.Random(settings.seed)
        counters = metrics.Metrics()
        self._inbox = announcements.AnnouncementInbox(self._run_id)
        self._fleet = view.FleetView(settings)
        self._control: ControlRole | None = None
        if settings.is_control_host:
            self._control = ControlRole(
                settings, channel_factory, counters, rng
            )
        self._attachment = attachment.Attachment(
            settings,
            self._run_id,
            self._inbox,
            self._fleet,
            channel_factory,
            counters,
        )
        self._commands = submission.RemoteSubmitter(
            settings, channel_factory, counters
        )
        self._requests = request_runner.RequestRunner(
            settings,
            self._run_id,
            self._fleet,
            self._attachment,
            self._commands,
            channel_factory,
            counters,
            rng,
        )
        self._entry = entry.build_application(
            settings,
            self._fleet,
            self._inbox,
            self._attachment,
            self._requests,
            counters,
            self._find_obstacle,
        )
        commands: submitter.Submitter = self._commands
        self._administration = administration.build_application(
            settings, self._fleet, commands, channel_factory
        )
        self._http_servers: list[httpserver.HTTPServer] = []
        self._inner_server: grpc_server.Server | None = None
        self._stopping = asyncio.Event()

    def _find_obstacle(self) -> str:
        if self._stopping.is_set():
            return 'shutting down'
        if not self._fleet.is_confirmed or self._fleet.document is None:
            return 'no confirmed configuration yet'
        return ''

    async def start(self) -> None | failures.Failure:
        """Start all components.

        :returns: None, or why the node cannot start.
        :raises OSError: the node can't listen on an address.
        """
        services: list[object] = [self._requests.join_servicer]
        if self._control is not None:
            services += [
                self._control.voters.servicer,
                self._control.membership_server,
                self._control.commands,
                self._control.administration_servicer,
            ]
        self._inner_server = grpc_server.Server(
            services  # type: ignore[arg-type]
        )
        host, port = channels.split_address(self._settings.listen.inner)
        await self._inner_server.start(host, port)
        if self._control is not None:
            failure = await self._control.start()
            if failure is not None:
                return failure
        await self._commands.start()
        await self._attachment.start()
        await self._requests.start_background_tasks()
        listen = self._settings.listen
        for application, address in (
            (self._entry, listen.callers),
            (self._administration, listen.administration),
        ):
            self._http_servers.append(
                entry.listen(self._settings, application, address)
            )
        log.change('node.started', run=self._run_id)
        return None

    async def run_until_stopped(self) -> None:
        """Run until SIGTERM or SIGINT, then drain the requests in flight."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        await self._stopping.wait()
        await self._drain()

    async def _drain(self) -> None:
        """Let the requests in flight finish, up to the drain limit.

        The readiness check fails from now on. The delay before requests are
        refused gives the balancer time to stop sending them.
        """
        timings = self._settings.timings
        log.change('node.draining')
        self._attachment.is_draining = True
        await asyncio.sleep(timings.drain_delay_ms / 1000)
        self._requests.is_refusing = True
        try:
            async with asyncio.timeout(timings.drain_limit_ms / 1000):
                await self._requests.drain()
        except TimeoutError:
            log.change('node.drain_limit_reached')

    async def close(self) -> None:
        """Stop all components."""
        for server in self._http_servers:
            server.stop()
        await self._requests.close()
        await self._attachment.close()
        await self._commands.close()
        if self._control is not None:
            await self._control.close()
        if self._inner_server is not None:
            self._inner_server.close()
            await self._inner_server.wait_closed()
        log.change('node.stopped')
