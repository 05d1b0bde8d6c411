"""Deployments of gateway processes on loopback, and stand-ins for the rest.

Standard library only. The stand-ins of workers, requesters and the operator
follow ``PROTOCOL.md``, in the product's names that ``deploy/wire.toml`` sets.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
KEY = 'n2ctnfzs989anu6wsjnb'
SECOND_KEY = 'anfqasnmgkcuyj8pjbvk'
HOST = 'ficu95.example'
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be carried out."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(
            pathlib.Path(folder) / 'record.txt', 'w', encoding='utf-8'
        )
        self._start_s = time.monotonic()

    def now(self):
        return time.monotonic() - self._start_s

    def write(self, text):
        line = f'{self.now():8.3f} s  {text}'
        self._file.write(line + '\n')
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text)


def find_free_port(hosts):
    """Return a port that is free on all of these loopback addresses."""
    for port in range(20_000 + os.getpid() % 5000, 32_000):
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    probe = stack.enter_context(socket.socket())
                    probe.bind((host, port))
            except OSError:
                continue
            return port
    raise CannotRun('no free port')


class Process:
    """One process, started with the command of the deploy file."""

    def __init__(self, name, settings, folder, record):
        self.name = name
        self.path = folder / f'{name}.toml'
        self.path.write_text(settings, encoding='utf-8')
        self.log_path = folder / f'{name}.log'
        self._record = record
        self.process = None

    async def start(self):
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                *('-m', 'filbertglade', 'gateway'),
                *('--settings', str(self.path)),
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=env,
            )
        self._record.write(f'{self.name} is started')

    def signal(self, number):
        self._record.write(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def read_log(self):
        lines = []
        for line in self.log_path.read_text(errors='replace').splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                lines.append(json.loads(line))
        return lines


class Deployment:
    """Control and entry hosts with the settings of the deploy template."""

    def __init__(self, folder, record, control_count=3, entry_count=2, base=1):
        self.record = record
        self.folder = folder
        # Runs at the same time have addresses of their own.
        own = 1 + os.getpid() % 250
        self.control_ips = [
            f'127.{own}.{base}.{n + 1}' for n in range(control_count)
        ]
        self.entry_ips = [
            f'127.{own}.{base + 1}.{n + 1}' for n in range(entry_count)
        ]
        every = self.control_ips + self.entry_ips
        first = find_free_port(every)
        self.inner_port, self.port = first, None
        ports = itertools.count(first + 1)
        self.control_port = self._next_port(ports, every)
        self.front_port = self._next_port(ports, every)
        self.ready_port = self._next_port(ports, every)
        seeds = [f'{ip}:{self.control_port}' for ip in self.control_ips[:3]]
        self._losses = (control_count - 1) // 2
        self._seeds = seeds
        self.controls = [
            self._make('core', number, ip, True)
            for number, ip in enumerate(self.control_ips, 1)
        ]
        self.entries = [
            self._make('front', number, ip, False)
            for number, ip in enumerate(self.entry_ips, 1)
        ]

    @staticmethod
    def _next_port(ports, hosts):
        for port in ports:
            with contextlib.ExitStack() as stack:
                try:
                    for host in hosts:
                        probe = stack.enter_context(socket.socket())
                        probe.bind((host, port))
                except OSError:
                    continue
                return port
        raise CannotRun('no free port')

    def _make(self, role, number, ip, is_control):
        name = f'{role}-{number}'
        lines = [
            'dialect = "platform"',
            f'name = "{name}"',
            'region = "cz-stred"',
            'data_centre = "praha-a"',
            'grace_ms = 8e3',
            '[listen]',
            f'inner = "{ip}:{self.inner_port}"',
        ]
        if is_control:
            lines.append(f'control = "{ip}:{self.control_port}"')
        else:
            lines.append(f'callers = "{ip}:{self.front_port}"')
            lines.append(f'health = "{ip}:{self.ready_port}"')
        lines += [
            '[control]',
            f'seeds = {json.dumps(self._seeds)}',
            'found_cluster = true',
            f'tolerated_losses = {self._losses}',
        ]
        if is_control:
            lines.append(f'data_folder = "{self.folder}/{name}-data"')
        lines += [
            '[endpoints]',
            'announce_ms = 1200',
            'stall_ms = 4000',
            'load_window_ms = 5e3',
            'load_factor = 1.1',
            '[retries]',
            'ratio = 0.2',
            'slack = 136',
            'window_ms = 10e3',
        ]
        return Process(name, '\n'.join(lines) + '\n', self.folder, self.record)

    @property
    def processes(self):
        return [*self.controls, *self.entries]

    async def start(self):
        for process in self.processes:
            await process.start()

    async def close(self):
        for process in self.processes:
            await process.kill()

    async def call_control(self, index, method, path, body=b'', limit_s=1.0):
        """Call one control host; return status, headers, body, or None."""
        return await call(
            self.control_ips[index],
            self.control_port,
            method,
            path,
            body,
            limit_s=limit_s,
        )

    async def find_leader(self, limit_s=20.0):
        """Return the index of the control host that leads."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            for index in range(len(self.control_ips)):
                answer = await self.call_control(index, 'GET', '/v1/routing')
                if answer is not None and answer[0] in (200, 404):
                    return index
            await asyncio.sleep(0.1)
        raise CannotRun('no leader')

    async def put(self, document, limit_s=20.0):
        """Send a configuration as the operator does, until it is accepted."""
        body = json.dumps(document).encode()
        end_s = time.monotonic() + limit_s
        index = 0
        while time.monotonic() < end_s:
            answer = await self.call_control(
                index % len(self.control_ips), 'POST', '/v1/routing', body
            )
            for _ in range(2):
                if answer is None or answer[0] != 307:
                    break
                target = answer[1]['location'].split('//')[1].split('/')[0]
                ip = target.rpartition(':')[0]
                answer = await self.call_control(
                    self.control_ips.index(ip), 'POST', '/v1/routing', body
                )
            if answer is not None and answer[0] == 200:
                self.record.write(f'version {document["version"]} is acked')
                return
            index += 1
            await asyncio.sleep(0.2)
        raise CannotRun('no configuration was accepted')

    async def wait_ready(self, limit_s=30.0):
        """Wait until every entry host counts as ready."""
        end_s = time.monotonic() + limit_s
        for ip in self.entry_ips:
            while True:
                answer = await call(ip, self.ready_port, 'GET', '/readyz')
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > end_s:
                    raise CannotRun(f'{ip} is not ready')
                await asyncio.sleep(0.1)


async def read_message(reader, is_answer=False, is_head=False):
    """Read one HTTP/1.1 message; return first line, headers and body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head[:-4].split('\r\n')
    headers = {}
    for item in rest:
        name, _, value = item.partition(':')
        headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
            parts.append(part)
        return line, headers, b''.join(parts)
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
        return line, headers, body
    return line, headers, b'' if not is_answer else await reader.read()


async def call(host, port, method, path, body=b'', headers=None, limit_s=1.0):
    """Make a call on a new channel; return status, headers, body, or None."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f'{method} {path} HTTP/1.1']
            all_headers = {'Host': f'{host}:{port}', **(headers or {})}
            if body or method == 'POST':
                all_headers['Content-Length'] = str(len(body))
            lines += [
                f'{name}: {value}' for name, value in all_headers.items()
            ]
            head = '\r\n'.join(lines) + '\r\n\r\n'
            writer.write(head.encode('latin-1') + body)
            line, found, text = await read_message(reader, True)
            return int(line.split()[1]), found, text
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Worker:
    """A worker of a plain service.

    It answers 421 to what is addressed to another worker, and runs the rest.

    :ivar runs: monotonic time, id and method of each request that it ran.
    :ivar arrivals: the same of each that reached it, but those with 421.
    """

    def __init__(self, deployment, service, name, work_s=0.05, slots=8):
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.id = f'i-{name}-{os.urandom(3).hex()}'
        self.work_s = work_s
        self.slots = slots
        self.state = 'ready'
        self.sequence = 0
        self.arrivals = []
        self.ended = []
        self.cut = []
        self.more = {}
        self._server = None
        self._pinging = None
        self._connections = set()
        self._control = 0
        self.address = ''

    async def start(self, port=0, host='127.0.9.1'):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = '{}:{}'.format(
            *self._server.sockets[0].getsockname()[:2]
        )
        self.record.write(f'worker {self.id} starts at {self.address}')
        self._pinging = asyncio.create_task(self._ping_repeatedly())

    def stop_pinging(self):
        self._pinging.cancel()

    async def exit(self):
        """End: stop to listen and close what is open."""
        self._pinging.cancel()
        self._server.close()
        self.record.write(
            f'worker {self.id} exits, {len(self._connections)} channels open'
        )
        for task in list(self._connections):
            task.cancel()

    def build_ping(self):
        self.sequence += 1
        return json.dumps(
            {
                'service': self.service,
                'address': self.address,
                'zone': 'praha-a',
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'cold_remaining_ms': 0,
                'sequence': self.sequence,
                **self.more,
            }
        ).encode()

    async def _ping_repeatedly(self):
        while True:
            await self.ping()
            await asyncio.sleep(1.2)

    async def ping(self):
        return await self.tell('announcement', self.build_ping())

    async def deregister(self):
        """Send a deregistration; return whether it was acknowledged."""
        return await self.tell('departure', b'{}')

    async def tell(self, what, body):
        """Call control hosts until one acknowledges."""
        path = f'/v1/endpoints/{self.id}/{what}'
        count = len(self.deployment.control_ips)
        for _ in range(2 * count):
            index = self._control % count
            answer = await self.deployment.call_control(
                index, 'POST', path, body
            )
            for _ in range(2):
                if answer is None or answer[0] != 307:
                    break
                target = answer[1]['location'].split('//')[1].split('/')[0]
                index = self.deployment.control_ips.index(
                    target.rpartition(':')[0]
                )
                answer = await self.deployment.call_control(
                    index, 'POST', path, body
                )
            if answer is not None and 200 <= answer[0] < 300:
                self._control = index
                return True
            self._control += 1
        return False

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._connections.add(task)
        running = None
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(' ')
                request_id = headers.get('x-request-id', '')
                if headers.get('x-target-instance', self.id) != self.id:
                    self._answer(writer, '421 Misdirected Request', request_id)
                    continue
                running = (time.monotonic(), request_id, method)
                self.arrivals.append((*running, headers))
                await self.run(writer, request_id, method, path, headers, body)
                self.ended.append(request_id)
                running = None
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            if running is not None:
                self.cut.append(running)
        finally:
            self._connections.discard(task)
            writer.close()

    async def run(self, writer, request_id, method, path, headers, body):
        """Run one request; replaced by cases."""
        await asyncio.sleep(self.work_s)
        self._answer(writer, '200 OK', request_id, b'x' * 800)
        await writer.drain()

    def _answer(self, writer, status, request_id, body=b'', more=''):
        writer.write(
            (
                f'HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n'
                f'X-Server-Signature: {self.id}.{request_id}\r\n'
                f'X-Instance-Load: {len(self._connections)},0,{self.slots}\r\n'
                f'{more}Content-Length: {len(body)}\r\n\r\n'
            ).encode()
            + body
        )


def build_document(version, service='nymi9b', **fields):
    """Return a configuration with a safe and an unsafe route."""
    document = {
        'version': version,
        'routes': [
            {
                'name': 'r-unsafe',
                'hostname': HOST,
                'path_prefix': '/lohu930/',
                'kind': 'unsafe',
                'timeout_ms': 2000,
                'objective_ms': 300,
                'priority': 2,
                'service': service,
                'max_attempts': 1,
                'public': False,
                'sticky': False,
                'resumable': False,
            },
            {
                'name': 'r-safe',
                'hostname': HOST,
                'path_prefix': '/puxa403/',
                'kind': 'safe',
                'timeout_ms': 2000,
                'objective_ms': 300,
                'priority': 2,
                'service': service,
                'max_attempts': 2,
                'public': False,
                'sticky': False,
                'resumable': False,
            },
        ],
        'services': [
            {
                'name': service,
                'health_path': '/health',
                'max_connections': 110,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'customers': [
            {'name': 'hule930', 'keys': [KEY], 'priority': 1},
            {'name': 'puxa403', 'keys': [SECOND_KEY], 'priority': 1},
        ],
    }
    document.update(fields)
    return document


async def request(
    deployment,
    entry,
    path,
    method='POST',
    body=b'x' * 600,
    budget_ms=4000,
    key=KEY,
):
    """Send one request on a new channel; return id, answer and duration."""
    request_id = os.urandom(8).hex()
    headers = {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Time-Budget-Ms': str(budget_ms),
        'X-Key': key,
    }
    started_s = time.monotonic()
    answer = await call(
        deployment.entry_ips[entry],
        deployment.front_port,
        method,
        path,
        body if method == 'POST' else b'',
        headers,
        limit_s=budget_ms / 1000 + 1,
    )
    return request_id, answer, started_s


def run_case(folder, work):
    """Run a case and exit with its verdict."""
    record = Record(folder)

    async def main():
        with tempfile.TemporaryDirectory(prefix='review-') as temporary:
            path = pathlib.Path(temporary)
            try:
                async with asyncio.timeout(110):
                    return await work(path, record)
            except (CannotRun, TimeoutError) as error:
                record.say(f'the case could not run: {error!r}')
                return NOT_RUN

    sys.exit(asyncio.run(main()))
