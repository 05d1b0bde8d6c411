"""Stand-in hosts in one process, each with its own listener."""

import asyncio
import json
import typing
import uuid

from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web

from filbertglade import clock
from filbertglade.standin import completions
from filbertglade.standin import engine
from filbertglade.standin import faults
from filbertglade.standin import service
from filbertglade.standin import settings as standin_settings
from filbertglade import tasks

ANNOUNCE_TIMEOUT_S = 2.0
INITIAL_INTERVAL_MS = 100


class Recorder:
    """Records the orders and requests of hosts, for tests to check."""

    def __init__(self, path: str) -> None:
        self._file = open(path, 'a', buffering=1) if path else None

    def write(self, kind: str, **fields: object) -> None:
        """Write one line.

        :param kind: kind of event, as in ``order`` or ``request``.
        :param fields: details of the event.
        """
        if self._file is not None:
            entry = {'kind': kind, 'at_ms': clock.now_ms(), **fields}
            self._file.write(json.dumps(entry) + '\n')

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


class StandinHost:
    """A host that announces itself and receives orders and requests."""

    def __init__(
        self,
        settings: standin_settings.StandinSettings,
        name: str,
        recorder: Recorder,
    ) -> None:
        self._settings = settings
        self.name = name
        self._incarnation = uuid.uuid4().hex
        self._sequence = 0
        self._closing: asyncio.Task[None] | None = None
        self._clock_token = ''
        self._clock_token_received_ms = 0
        self._recorder = recorder
        self._tasks = tasks.TaskGroup()
        self.engine = engine.Engine(settings, name, recorder.write)
        self.faults = faults.Faults(settings, name, self._crash)
        self._server: httpserver.HTTPServer | None = None
        self._client = httpclient.AsyncHTTPClient(force_instance=True)
        self._entry_index = 0
        self.address = ''
        self.is_leaving = False

    async def start(self) -> None:
        """Start to listen and to send announcements."""
        handlers: list[tuple[typing.Any, ...]]
        if self._settings.service:
            parts = {
                'settings': self._settings,
                'host': self.name,
                'record': self._recorder.write,
                'faults': self.faults,
            }
            handlers = [(r'/.*', service.ServiceHandler, parts)]
        else:
            handlers = [
                (
                    r'/v1/(?:chat/)?completions',
                    completions.CompletionHandler,
                    {
                        'engine': self.engine,
                        'faults': self.faults,
                        'runs': completions.ResumableRuns(),
                    },
                ),
                (r'/v1/order', engine.OrderHandler, {'engine': self.engine}),
            ]
        control = {'faults': self.faults, 'leave': self.leave}
        handlers.insert(
            0, (r'/standin/(faults|leaving)', faults.FaultsHandler, control)
        )
        application = web.Application(handlers, log_function=lambda _: None)
        sockets = netutil.bind_sockets(0, '127.0.0.1')
        self._server = httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        self.address = f'127.0.0.1:{sockets[0].getsockname()[1]}'
        self._recorder.write('listening', host=self.name, address=self.address)
        self._tasks.start(self._announce())

    def leave(self) -> None:
        """Announce from now on that the host accepts no new work."""
        self.is_leaving = True
        self._recorder.write('leaving', host=self.name)

    def _crash(self) -> None:
        """Stop listening at once, then close all connections."""
        self._recorder.write('died', host=self.name)
        if self._server is not None:
            self._server.stop()
        loop = asyncio.get_running_loop()
        self._closing = loop.create_task(self.close())

    async def close(self) -> None:
        """Stop at once, without finishing any work."""
        await self._tasks.close()
        await self.engine.close()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
        self._client.close()

    async def _announce(self) -> None:
        interval_ms = INITIAL_INTERVAL_MS
        while True:
            reply = await self._announce_once()
            if reply is not None:
                self._clock_token = str(reply['token'])
                self._clock_token_received_ms = clock.now_ms()
                if self._sequence > 1:
                    interval_ms = int(str(reply['interval_ms']))
            else:
                self._entry_index += 1
            await asyncio.sleep(interval_ms / 1000)

    async def _announce_once(self) -> dict[str, object] | None:
        entries = self._settings.entries
        url = entries[self._entry_index % len(entries)]
        self._sequence += 1
        request = httpclient.HTTPRequest(
            f'{url}/v1/announce',
            method='POST',
            headers={'Content-Type': 'application/json'},
            body=json.dumps(self._build_announcement()),
            request_timeout=ANNOUNCE_TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request)
        except (OSError, httpclient.HTTPClientError):
            return None
        found: dict[str, object] = json.loads(response.body)
        return found

    def _build_announcement(self) -> dict[str, object]:
        settings = self._settings
        announcement: dict[str, object] = {
            'host': self.name,
            'run': self._incarnation,
            'sequence': self._sequence,
            'region': settings.region,
            'data_centre': settings.data_centre,
            'address': self.address,
            'token': self._clock_token,
            'held_ms': clock.now_ms() - self._clock_token_received_ms
            if self._clock_token
            else 0,
            'leaving': self.is_leaving,
        }
        if settings.service:
            announcement['service'] = settings.service
            return announcement
        announcement.update(
            fabric_domain=settings.fabric_domain,
            order_address=self.address,
            group=self.engine.group,
            epoch=self.engine.epoch,
            holds=self.engine.loaded_weights,
            ready=self.engine.is_ready and not self.engine.is_draining,
            load=self.engine.read_load(),
            cache_events=self._list_cache_events(),
        )
        return announcement

    def _list_cache_events(self) -> list[dict[str, object]]:
        return [
            {
                'sequence': event.sequence,
                'stored': [f'{item:x}' for item in event.stored],
                'evicted': [f'{item:x}' for item in event.evicted],
            }
            for event in self.engine.cache.take_events()
        ]


class StandinFleet:
    """All stand-in hosts of the process."""

    def __init__(self, settings: standin_settings.StandinSettings) -> None:
        self._recorder = Recorder(settings.record_file)
        self.hosts = [
            StandinHost(settings, f'{settings.prefix}-{i + 1}', self._recorder)
            for i in range(settings.hosts)
        ]
        for host in self.hosts[: settings.slow_hosts]:
            host.engine.batch.slow_factor = settings.slow_factor

    async def start(self) -> None:
        """Start the hosts."""
        for host in self.hosts:
            await host.start()

    async def close(self) -> None:
        """Stop the hosts."""
        for host in self.hosts:
            await host.close()
        self._recorder.close()
