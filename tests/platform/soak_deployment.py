"""The processes and workers of a soak, in the sizes that it wants."""

import asyncio
import contextlib
import dataclasses
import json
import os
import random
import resource
import shutil
import signal
import threading
import time

import httpx

from tests import cluster
from tests.fleet import documents
from tests.platform import deployment
from tests.platform import soak_endings
from tests.platform import soak_record

EVENTS = 6
# Paths of requests that crash their worker, and that are answered without
# end.
KILLING_PATH = '/read/killing'
ENDLESS_PATH = '/read/endless'
# How long a worker that crashed is away.
CRASHED_S = 1.5
# An endless response: some 60 MB a second, until its connection is closed.
ENDLESS_BLOCK = b'10000\r\n' + b'x' * 65_536 + b'\r\n'
ENDLESS_PAUSE_S = 0.001
MAX_ENDLESS_BLOCKS = 10_000
# A worker's wait for an acknowledgement: the users' page on the protocol.
ACK_TIMEOUT_S = 1.0
LEAVING_LINE = 'Server-Leaving: 1\r\n'
# Steps of the event loop in which an accepted connection reaches its handler:
# asyncio doesn't close one whose server is closed before.
ACCEPT_STEPS = 5
# Bounds of the time that a worker names when it turns a request away, in s.
RETRY_AFTER_S = (0.7, 4.0)
# Time-out of an operator's call: the bound of the product's own wait for a
# commit, and the transfer of a large document.
PUT_TIMEOUT_S = 4.0


@dataclasses.dataclass
class Sizes:
    """How many processes, workers and callers a soak has.

    :param callers: callers that choose a host for each request.
    :param kept_callers: callers that keep a connection to one host.
    """

    control_hosts: int = 3
    entry_hosts: int = 2
    api_workers: int = 6
    model_workers: int = 5
    callers: int = 6
    kept_callers: int = 8

    @property
    def tolerated_losses(self):
        return (self.control_hosts - 1) // 2


class ControlProcess(deployment.Process):
    """A control host, whose disk may refuse writes.

    A limit on the size of its files stands for that. So its log is written by
    the soak.
    """

    async def start(self, stdout=None):
        read_end, write_end = os.pipe()
        threading.Thread(
            target=self._copy_log, args=(read_end,), daemon=True
        ).start()
        with open(write_end, 'wb') as output:
            await super().start(output if stdout is None else stdout)

    def _copy_log(self, read_end):
        with (
            open(read_end, 'rb', buffering=0) as source,
            self.log.open('ab', buffering=0) as log,
        ):
            shutil.copyfileobj(source, log)

    def refuse_writes(self, is_refusing):
        """Let all writes to files fail, or let them succeed again."""
        if self.process.returncode is not None:
            return
        _, most = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
        limit = 0 if is_refusing else most
        # Python ignores SIGXFSZ, so a write beyond the limit fails.
        resource.prlimit(
            self.process.pid, resource.RLIMIT_FSIZE, (limit, most)
        )


class SoakDeployment(deployment.Deployment):
    """Control hosts, any of which may lead, and entry hosts.

    Each host has a loopback address of its own. Three control hosts are seeds,
    as in the users' deployments.
    """

    def __init__(self, folder, sizes):
        self.folder = folder
        self.sizes = sizes
        inner, control, front, health = cluster.find_free_ports(4)
        hosts = [f'127.0.1.{i}' for i in range(1, sizes.control_hosts + 1)]
        self.seeds = [f'{host}:{control}' for host in hosts[:3]]
        # Nothing listens there.
        self.unknown_seed = f'127.0.3.1:{control}'
        common = (
            f'seeds = {_write_seeds(self.seeds)}\n'
            f'tolerated_losses = {sizes.tolerated_losses}\n'
            'found_cluster = true'
        )
        self.control_urls = [f'http://{host}:{control}' for host in hosts]
        self.controls = [
            ControlProcess(
                folder,
                f'control-{index}',
                f'inner = "{host}:{inner}"\ncontrol = "{host}:{control}"',
                f'{common}\ndata_folder = "{folder}/data-{index}"',
            )
            for index, host in enumerate(hosts)
        ]
        self.entry_addresses = [
            (f'127.0.2.{i}', front) for i in range(1, sizes.entry_hosts + 1)
        ]
        self.front_urls = [
            f'http://{host}:{port}' for host, port in self.entry_addresses
        ]
        self.health_urls = [
            f'http://{host}:{health}/readyz'
            for host, _ in self.entry_addresses
        ]
        self.entries = [
            deployment.Process(
                folder,
                f'entry-{index}',
                f'inner = "{host}:{inner}"\ncallers = "{host}:{front}"\n'
                f'health = "{host}:{health}"',
                common,
            )
            for index, (host, _) in enumerate(self.entry_addresses)
        ]
        # Their settings end with the table of endpoints.
        for process in self.processes:
            text = process.path.read_text()
            process.path.write_text(text + soak_record.COLD_SETTINGS)
        self.client = httpx.AsyncClient(
            timeout=10, limits=httpx.Limits(max_connections=400)
        )
        self.workers = []
        # Called with each worker that starts or comes back.
        self.start_listeners = []

    @property
    def processes(self):
        return [*self.controls, *self.entries]

    async def start(self):
        for process in self.processes:
            await process.start()

    async def close(self):
        for worker in self.workers:
            await worker.close()
        await self.client.aclose()
        for process in self.processes:
            if process.process is None:
                continue
            if process.process.returncode is None:
                process.process.send_signal(signal.SIGCONT)
            await process.stop(signal.SIGKILL)

    def write_seeds(self, process, seeds):
        """Replace the seeds in a process's settings file."""
        lines = [
            f'seeds = {_write_seeds(seeds)}'
            if line.startswith('seeds = ')
            else line
            for line in process.path.read_text().splitlines()
        ]
        replacement = process.path.with_suffix('.new')
        replacement.write_text('\n'.join(lines) + '\n')
        replacement.replace(process.path)

    def end_founding(self, process):
        """Write settings as of a later start: the cluster exists."""
        text = process.path.read_text()
        process.path.write_text(
            text.replace('found_cluster = true', 'found_cluster = false')
        )

    def wipe(self, process):
        """Empty the data folder of a control host that isn't running."""
        index = self.controls.index(process)
        shutil.rmtree(self.folder / f'data-{index}')
        self.end_founding(process)

    async def announce(self, endpoint_id, announcement):
        """Send an announcement to the control hosts until one responds.

        :returns: whether one acknowledged it.
        """
        return await self._post_to_control(
            f'/v1/endpoints/{endpoint_id}/announcement', announcement
        )

    async def deregister(self, endpoint_id, born_ms):
        """Send a departure; return whether a host acknowledged it."""
        return await self._post_to_control(
            f'/v1/endpoints/{endpoint_id}/departure', {'born': born_ms}
        )

    async def _post_to_control(self, path, body):
        for url in random.sample(self.control_urls, len(self.control_urls)):
            try:
                response = await self.client.post(
                    url + path,
                    json=body,
                    follow_redirects=True,
                    timeout=ACK_TIMEOUT_S,
                )
            except httpx.TransportError:
                continue
            if response.status_code < 500:
                return response.status_code == 200
        return False

    async def put(self, data):
        """Send a document to the control hosts until one responds.

        :returns: the status; None if no host gave a clear response.
        """
        text = documents.write(data)
        for url in random.sample(self.control_urls, len(self.control_urls)):
            try:
                response = await self.client.post(
                    f'{url}/v1/routing',
                    content=text,
                    follow_redirects=True,
                    timeout=PUT_TIMEOUT_S,
                )
            except httpx.TransportError:
                continue
            if response.status_code < 500:
                return response.status_code
        return None

    async def read_versions(self):
        """Return the document version of each reachable control host."""
        return [data['version'] for data in await self.read_documents()]

    async def read_documents(self):
        """Return the document of each control host that responds."""
        found = []
        for url in self.control_urls:
            try:
                response = await self.client.get(
                    f'{url}/v1/routing', follow_redirects=True, timeout=2
                )
            except httpx.TransportError:
                continue
            if response.status_code == 200:
                found.append(response.json())
        return found


def _write_seeds(seeds):
    return '[' + ', '.join(f'"{seed}"' for seed in seeds) + ']'


def _is_same_group(one, other):
    return (
        one is not None
        and other is not None
        and (one['name'], one['epoch']) == (other['name'], other['epoch'])
    )


class SoakWorker(deployment.Worker):
    """A worker that records what it runs, and may leave and come back.

    :param record: the soak's record.
    :ivar started_s: when it started.
    :ivar announced_s: since then, when each announcement began.
    :ivar acknowledged_s: since then, when each acknowledgement came.
    :ivar left_s: when a control host acknowledged that it leaves; None before.
    :ivar limit_per_s: the limit that its answers name; None for none.
    :ivar limited_s: when it began to name that limit.
    :ivar arrivals: since then, when each request arrived, and from which host.
    :ivar told_s: since then, when each host first passed such an answer on.
    :ivar is_leaving: whether it leaves, announced or not.
    :ivar says_leaving: whether its answers say so.
    :ivar turned_hosts: the hosts whose requests it turns away.
    :ivar told: what it has told each host since its start.
    :ivar cold_until_s: until when it announces that it is cold.
    """

    def __init__(self, running_deployment, record, endpoint_id, service):
        super().__init__(running_deployment, endpoint_id, service)
        self.record = record
        self.limit_per_s = None
        self.limited_s = 0.0
        self.arrivals = []
        self.told_s = {}
        self.started_s = 0.0
        self.announced_s = []
        self.acknowledged_s = []
        self.left_s = None
        self.is_breaking = False
        self.broken_group = None
        self.is_leaving = False
        self.says_leaving = False
        self.turned_hosts = ()
        self.told = {}
        self.cold_until_s = 0.0
        self._turning_rng = None
        # The reader of each open connection, by its writer, and of each
        # running request, by its id.
        self._readers = {}
        self._running = {}
        self.is_crashed = False
        self._restarting = None
        if service == 'models':
            self.respond = self._stream

    async def start(self):
        self.started_s = self.record.now_s()
        self.announced_s, self.acknowledged_s = [], []
        for listener in self.deployment.start_listeners:
            listener(self)
        await super().start()

    async def announce(self):
        now_s = self.record.now_s()
        self.announced_s.append(now_s)
        if now_s < self.cold_until_s:
            cold_ms = int((self.cold_until_s - now_s) * 1000)
            self.fields['cold_remaining_ms'] = cold_ms
        else:
            self.fields.pop('cold_remaining_ms', None)
        is_acknowledged = await super().announce()
        if is_acknowledged:
            self.acknowledged_s.append(self.record.now_s())
        return is_acknowledged

    async def stop(self):
        """End the process that this worker stands for."""
        loop = asyncio.get_running_loop()
        for listener in self.server.sockets:
            loop.remove_reader(listener.fileno())
        for _ in range(ACCEPT_STEPS):
            await asyncio.sleep(0)
        await self.close()
        for request_id in self._running:
            self.note_end(request_id)
        for writer in list(self._readers):
            writer.close()
        self.end_life()

    def end_life(self):
        """Check what this life of the worker has told hosts."""
        self.record.check_told(self)
        self.told = {}

    def restart(self):
        """Start again under the same id, knowing nothing."""
        self.end_life()
        self.start_time_ms = int(time.time() * 1000)
        self.lose_group()
        self.sequence, self.staged = 0, []

    def note_end(self, request_id, is_silent=False):
        """Record that an answer breaks off.

        :param is_silent: whether nothing tells its receiver.
        """
        self._mark_broken(request_id)
        if request_id in self.record.requests:
            self.record.requests[request_id].is_silent |= is_silent

    def choose_way(self, way, request_id):
        """Return how an answer breaks off that should do so in a way.

        One worker of a service crashes at a time, and for the first run of a
        request only, as its service would be away otherwise.
        """
        if way != 'crash':
            return way
        if self.record.requests[request_id].run_count > 1:
            return 'whole'
        others = any(
            item.is_crashed and item.service == self.service
            for item in self.deployment.workers
        )
        return 'reset' if others or self.is_leaving else 'crash'

    def lose_group(self):
        """End this worker's part in its group, as a crash does.

        Whatever the group runs, and begins to run under the same epoch, may be
        broken off.
        """
        group, self.group = self.group, None
        if group is None:
            return
        for worker in self.deployment.workers:
            if _is_same_group(worker.group, group):
                worker.broken_group = group
                for request_id in worker._running:
                    worker._mark_broken(request_id)

    def _mark_broken(self, request_id):
        if request_id in self.record.requests:
            self.record.requests[request_id].is_broken = True

    async def come_back(self, endpoint_id, service):
        """Start again at the same address under another id."""
        self.endpoint_id, self.service = endpoint_id, service
        self.start_time_ms = int(time.time() * 1000)
        self.sequence, self.state, self.left_s = 0, 'ready', None
        self.group, self.staged = None, []
        self.end_limit()
        self.is_leaving = self.says_leaving = False
        self.turned_hosts = ()
        self.respond = self._stream if service == 'models' else None
        await self.start()

    async def handle_connection(self, reader, writer):
        self._readers[writer] = reader
        try:
            await super().handle_connection(reader, writer)
        finally:
            del self._readers[writer]

    async def handle_request(self, writer, line, headers, body):
        path = line.split()[1]
        is_target = (
            headers.get('X-Target-Instance', self.endpoint_id)
            == self.endpoint_id
        )
        if path in ('/order', '/report') or not is_target:
            self._answer_other(writer, path, body)
            return
        request_id = headers.get('X-Request-Id')
        self._running[request_id] = self._readers[writer]
        try:
            await self._handle_own(writer, line, headers, body)
        finally:
            self._running.pop(request_id, None)
            # The record has what the checks need.
            self.requests.clear()

    def _answer_other(self, writer, path, body):
        """Answer an order, a report, or a request for another worker."""
        status, text = '421 Misdirected', ''
        if path == '/order':
            self.apply_order(json.loads(body))
            status = '202 Accepted'
        elif path == '/report':
            status, text = '200 OK', '{}'
        more = LEAVING_LINE if self.says_leaving else ''
        writer.write(
            f'HTTP/1.1 {status}\r\n{more}Content-Length: {len(text)}\r\n\r\n'
            f'{text}'.encode()
        )

    async def _handle_own(self, writer, line, headers, body):
        path, request_id = line.split()[1], headers.get('X-Request-Id')
        self._note_arrival(headers)
        request = self.record.requests.get(request_id)
        if request is not None and request.host in self.turned_hosts:
            writer.write(self._build_rejection(headers, request.host))
            return
        self.record.register_run(self, headers, path)
        if path == KILLING_PATH:
            self._mark_broken(request_id)
            self.crash(writer)
            return
        if path == ENDLESS_PATH:
            await self._send_endlessly(writer, headers)
            return
        self.pause_s = int(headers.get('X-Work-Ms', 0)) / 1000
        if _is_same_group(self.group, self.broken_group):
            self._mark_broken(request_id)
        if soak_endings.HEADER in headers and self.service != 'models':
            await soak_endings.send_answer(self, writer, headers, None)
            return
        await super().handle_request(writer, line, headers, body)

    # Troubles

    def crash(self, writer):
        """End as a process that crashes; come back under another id.

        A worker that is leaving only breaks the connection.
        """
        if self.is_crashed or self.is_leaving:
            writer.transport.abort()
            return
        self.record.crash_count += 1
        self.is_crashed = True
        self._restarting = asyncio.create_task(self._crash_and_restart())

    async def _crash_and_restart(self):
        self.lose_group()
        await self.stop()
        await asyncio.sleep(CRASHED_S)
        name = self.endpoint_id.partition('-crash')[0]
        await self.come_back(
            f'{name}-crash{self.record.crash_count}', self.service
        )
        self.is_crashed = False

    async def _send_endlessly(self, writer, headers):
        self._mark_broken(headers['X-Request-Id'])
        more = 'Transfer-Encoding: chunked\r\n'
        writer.write(self.build_head(headers, more))
        with contextlib.suppress(ConnectionError):
            for _ in range(MAX_ENDLESS_BLOCKS):
                writer.write(ENDLESS_BLOCK)
                await writer.drain()
                # The soak's own tasks run too.
                await asyncio.sleep(ENDLESS_PAUSE_S)
        writer.transport.abort()

    def build_head(self, headers, more, is_read=True):
        """Return the head of an answer.

        :param is_read: whether its host surely reads it.
        """
        more += self._say_limit(headers, is_read)
        more += self._say_leaving(headers, is_read)
        return (
            'HTTP/1.1 200 OK\r\n'
            f'X-Request-Id: {headers["X-Request-Id"]}\r\n'
            f'X-Server-Signature: {self.endpoint_id}.sig\r\n{more}\r\n'
        ).encode()

    def leave(self, says_leaving):
        """Begin to leave.

        :param says_leaving: whether all answers say so from now on.
        """
        self.is_leaving, self.says_leaving = True, says_leaving

    def begin_turning_away(self, hosts, rng):
        """Turn the requests of some hosts away from now on.

        :param rng: source of the times for which the answers ask.
        """
        self.turned_hosts, self._turning_rng = hosts, rng

    def find_told(self, host):
        """Return what this worker has told a host since its start."""
        return self.told.setdefault(host, soak_record.Told())

    def has_arrivals(self, since_s):
        """Tell whether any host sent requests from a moment on."""
        return any(
            told.arrivals and told.arrivals[-1][0] >= since_s
            for told in self.told.values()
        )

    def has_told(self, until_s):
        """Tell whether any host had read by then that this worker leaves."""
        return any(
            told.leaving_s is not None and told.leaving_s < until_s
            for told in self.told.values()
        )

    def _is_read(self, request_id):
        """Tell whether a running request's sender waits for its answer."""
        reader = self._running.get(request_id)
        return (
            reader is not None
            and not reader.at_eof()
            and reader.exception() is None
        )

    def _say_leaving(self, headers, is_read=True):
        if not self.says_leaving:
            return ''
        request_id = headers['X-Request-Id']
        request = self.record.requests.get(request_id)
        if is_read and request is not None and self._is_read(request_id):
            told = self.find_told(request.host)
            if told.leaving_s is None:
                told.leaving_s = self.record.now_s()
        return LEAVING_LINE

    def _say_limit(self, headers, is_read=True):
        request = self.record.requests.get(headers['X-Request-Id'])
        if self.limit_per_s is None or request is None:
            return ''
        if is_read:
            self.told_s.setdefault(request.host, self.record.now_s())
        return f'Server-Limit: {self.limit_per_s}\r\n'

    def _build_rejection(self, headers, host):
        pause_s = round(
            self._turning_rng.uniform(*RETRY_AFTER_S),
            self._turning_rng.randint(1, 3),
        )
        if self._is_read(headers['X-Request-Id']):
            self.find_told(host).pauses.append((self.record.now_s(), pause_s))
        return (
            'HTTP/1.1 503 Service Unavailable\r\n'
            f'X-Request-Id: {headers["X-Request-Id"]}\r\n'
            f'X-Not-Executed: 1\r\nRetry-After: {pause_s}\r\n'
            f'{self._say_limit(headers)}{self._say_leaving(headers)}'
            'Content-Length: 0\r\n\r\n'
        ).encode()

    def begin_limit(self, limit_per_s):
        """Name a limit in all answers from now on."""
        self.limit_per_s = limit_per_s
        self.limited_s = self.record.now_s()
        self.arrivals, self.told_s = [], {}

    def end_limit(self):
        """Check the limit that was named, and name it no longer."""
        if self.limit_per_s is not None:
            self.record.check_limit(self)
        self.limit_per_s = None

    def _note_arrival(self, headers):
        self.record.register_arrival(self, headers.get('X-Request-Id'))
        request = self.record.requests.get(headers.get('X-Request-Id'))
        if self.limit_per_s is not None and request is not None:
            self.arrivals.append((self.record.now_s(), request.host))

    def build_response(self, headers, text, status='200 OK', more=''):
        more += self._say_limit(headers) + self._say_leaving(headers)
        text = f'{self.endpoint_id} ran {headers["X-Request-Id"]}'
        return super().build_response(headers, text, status, more)

    async def _stream(self, writer, headers):
        events = int(headers.get('X-Events', EVENTS))
        await soak_endings.send_answer(self, writer, headers, events)
