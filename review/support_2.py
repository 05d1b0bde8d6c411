"""Processes, stand-ins and checks that the cases of the second review share.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
from collections import abc
import contextlib
import json
import os
import pathlib
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS_PATH = '/etc/filbertglade/node.toml'
HEARTBEAT_MS = 1200
STALL_MS = 4000
PASS, BROKEN, NOT_RUN = 0, 1, 2
REASONS = {
    200: 'OK',
    202: 'Accepted',
    404: 'Not Found',
    409: 'Conflict',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}


class CannotRun(Exception):  # noqa: N818
    """The case could not run; nothing is said about the rule."""


def now_ms() -> float:
    """Return the steady clock in ms."""
    return time.monotonic() * 1000


class Record:
    """Writes ``record.txt`` of a case.

    :param folder: the case's folder.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')
        self._start_ms = now_ms()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        elapsed_ms = now_ms() - self._start_ms
        print(f'{elapsed_ms / 1000:9.3f} {text}', file=self._file, flush=True)

    def note(self, text: str) -> None:
        """Write a line here and to standard output."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# Settings, as the platform writes them from a template


def _look_up(scopes: list[typing.Any], path: str) -> typing.Any:
    if path == '.':
        return scopes[-1]
    first, *rest = path.split('.')
    for scope in reversed(scopes):
        if isinstance(scope, dict) and first in scope:
            value = scope[first]
            for part in rest:
                if isinstance(value, list):
                    index = int(part)
                    value = value[index] if index < len(value) else None
                else:
                    value = (value or {}).get(part)
            return value
    return None


_TAG = re.compile(r'\{\{([#^/]?)([^{}]+)\}\}')


def render(
    text: str, scopes: list[typing.Any], key: str = '', comma: str = ''
) -> str:
    """Fill in a template of the deploy file.

    :param text: the template.
    :param scopes: where names are looked up, the innermost last.
    :param key: key of the present entry.
    :param comma: what stands for a comma after the entry.
    """
    out: list[str] = []
    position = 0
    while found := _TAG.search(text, position):
        out.append(text[position : found.start()])
        position = found.end()
        kind, name = found.groups()
        if kind in ('#', '^'):
            close = '{{/' + name + '}}'
            end = text.index(close, position)
            inner = text[position:end]
            position = end + len(close)
            value = _look_up(scopes, name)
            if kind == '^':
                if value in (None, False):
                    out.append(render(inner, scopes, key, comma))
                continue
            if isinstance(value, (dict, list)):
                entries = (
                    list(value.items())
                    if isinstance(value, dict)
                    else [(str(i), item) for i, item in enumerate(value)]
                )
                for number, (entry_key, item) in enumerate(entries):
                    last = number == len(entries) - 1
                    out.append(
                        render(
                            inner,
                            [*scopes, item],
                            entry_key,
                            '' if last else ',',
                        )
                    )
            elif value not in (None, False, ''):
                out.append(render(inner, [*scopes, value], key, comma))
            continue
        path, _, form = name.partition('|')
        if path == '@':
            out.append(key)
        elif path == ',':
            out.append(comma)
        else:
            value = _look_up(scopes, path)
            if form == 'json':
                out.append(json.dumps(value))
            elif value is not None:
                if isinstance(value, bool):
                    value = str(value).lower()
                out.append(str(value))
    out.append(text[position:])
    return ''.join(out)


class Machine:
    """One machine of the system, with one process.

    :param name: its name.
    :param role: its role in the deploy file.
    :param ip: its loopback address.
    :param zone: its zone.
    """

    def __init__(self, name: str, role: str, ip: str, zone: str) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0


class System:
    """The system's own processes, with the settings of a small deployment.

    :param record: the case's record.
    :param zones: the zones.
    :param entries: the number of entry machines.
    :param cores: the number of control machines.
    :param bounds: changes of the bounds in the settings.
    """

    def __init__(
        self,
        record: Record,
        zones: abc.Sequence[str] = ('praha-a', 'praha-b', 'kladno'),
        entries: int = 1,
        cores: int = 5,
        bounds: abc.Mapping[str, typing.Any] | None = None,
        contracts: abc.Sequence[str] = (),
    ) -> None:
        self.record = record
        self.zones = list(zones)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-2-'))
        # Another run at the same time uses other loopback addresses.
        net = f'127.{random.randrange(16, 240)}.{random.randrange(1, 250)}'
        self.net = net
        self.ports = _find_ports(f'{net}.1', 6)
        self.bounds = {
            'contact_ms': 3000,
            'drain_ms': 2000,
            'grace_s': 8,
            'config_apply_ms': 2000,
            'retry_budget_ratio': 0.2,
            'budget_window_s': 10,
            'retry_slack': 136,
            'stall_ms': STALL_MS,
            'ceiling_window_s': 5,
            'load_ceiling_factor': 1.1,
            **(bounds or {}),
        }
        self.contracts = list(contracts)
        self.cores = [
            Machine(
                f'core-{number}',
                'control',
                f'{net}.{10 + number}',
                self.zones[number % len(self.zones)],
            )
            for number in range(cores)
        ]
        self.entries = [
            Machine(
                f'front-{number}',
                'entry',
                f'{net}.{40 + number}',
                self.zones[number % len(self.zones)],
            )
            for number in range(entries)
        ]
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self.deploy = tomllib.load(file)
        self.seeds = [machine.ip for machine in self.cores[:3]]

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.cores, *self.entries]

    @property
    def caller_port(self) -> int:
        """The port for requesters."""
        return self.ports[0]

    @property
    def control_port(self) -> int:
        """The port for workers and operators."""
        return self.ports[1]

    def _find_fields(self, machine: Machine) -> dict[str, typing.Any]:
        caller, control, ready, first, _, _ = self.ports
        is_entry = machine.role == 'entry'
        listen = (
            {
                'front': f'{machine.ip}:{caller}',
                'readiness_address': f'{machine.ip}:{ready}',
            }
            if is_entry
            else {'control': f'{machine.ip}:{control}'}
        )
        fields: dict[str, typing.Any] = {
            'node_name': machine.name,
            'ip': machine.ip,
            'zone': machine.zone,
            'region': 'cz-stred',
            'internal_ports': [first, first + 15],
            'seeds': [f'{ip}:{control}' for ip in self.seeds],
            'bootstrap': machine.starts == 0,
            'heartbeat_ms': HEARTBEAT_MS,
            'zones': dict.fromkeys(self.zones, 'cz-stred'),
            'listen': listen,
            'limits': {
                'memory_mb': 300 if is_entry else 296,
                'max_fds': 4096,
            },
            'fault_tolerance': {
                'machines': (len(self.cores) - 1) // 2,
                'zones': 0,
            },
            'bounds': self.bounds,
        }
        if not is_entry:
            fields['data_dir'] = str(self.folder / machine.name / 'data')
        return fields

    def start(self, machine: Machine) -> None:
        """Start a machine's process with the command of the deploy file."""
        role = self.deploy['roles'][machine.role]
        folder = self.folder / machine.name
        folder.mkdir(parents=True, exist_ok=True)
        (folder / 'data').mkdir(exist_ok=True)
        settings = folder / 'node.toml'
        template = (ROOT / role['template']).read_text()
        text = render(template, [self._find_fields(machine)])
        # The port of the metrics is fixed in the template.
        settings.write_text(text)
        command = [
            str(settings) if word == SETTINGS_PATH else word
            for word in role['run'].split()
        ]
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['FILBERTGLADE_NODE_FILE'] = str(settings)
        with open(folder / 'log.txt', 'ab') as log:
            machine.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        machine.starts += 1
        self.record.write(f'started {machine.name} {machine.ip}')

    def start_all(self) -> None:
        """Start all machines."""
        for machine in self.machines:
            self.start(machine)

    def kill(self, machine: Machine, number: int = signal.SIGKILL) -> None:
        """Send a signal to a machine's process."""
        assert machine.process is not None
        self.record.write(f'{signal.Signals(number).name} to {machine.name}')
        machine.process.send_signal(number)
        if number == signal.SIGKILL:
            machine.process.wait()

    def stop_all(self) -> None:
        """End all processes."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        keep = os.environ.get('KEEP_FOLDER')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def find_ended(self) -> list[str]:
        """Return the machines whose processes have ended."""
        return [
            machine.name
            for machine in self.machines
            if machine.process is not None
            and machine.process.poll() is not None
        ]


def _find_ports(ip: str, count: int) -> list[int]:
    """Return free ports; the fourth begins a range of sixteen."""
    base = random.randrange(12_000, 28_000, 32)
    for offset in range(64):
        first = 12_000 + (base - 12_000 + 32 * offset) % 16_000
        ports = [
            first,
            first + 1,
            first + 2,
            first + 4,
            first + 20,
            first + 21,
        ]
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return ports[:count]
        except OSError:
            continue
    raise CannotRun('no free ports')


# HTTP


class Response:
    """A response.

    :param status: its status.
    :param headers: its headers, names in lower case.
    :param body: its body.
    :param is_complete: whether its end was seen.
    """

    def __init__(
        self,
        status: int,
        headers: dict[str, str],
        body: bytes,
        is_complete: bool,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Read the head of a message.

    :raises EOFError: the connection has ended.
    """
    raw = await reader.readuntil(b'\r\n\r\n')
    line, *rest = raw.decode('latin-1').strip('\r\n').split('\r\n')
    headers = {}
    for item in rest:
        name, _, value = item.partition(':')
        headers[name.strip().lower()] = value.strip()
    return line, headers


async def read_chunks(
    reader: asyncio.StreamReader,
) -> abc.AsyncIterator[bytes]:
    """Yield the chunks of a body."""
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(
    reader: asyncio.StreamReader, headers: abc.Mapping[str, str]
) -> bytes:
    """Read the body of a request."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        return b''.join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get('content-length', 0)))


def build_message(
    line: str, headers: abc.Mapping[str, str], body: bytes = b''
) -> bytes:
    """Return a message with a body of a stated length."""
    lines = [line, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def fetch(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b'',
    headers: abc.Mapping[str, str] | None = None,
    timeout_s: float = 1.0,
) -> Response:
    """Send a request on a new connection and read its response.

    :raises OSError: there was no response in time.
    """
    writer = None
    status, found, parts = 0, {}, []
    is_complete = False
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            message = {'Host': f'{host}:{port}', **(headers or {})}
            if body:
                message.setdefault('Content-Type', 'application/json')
            writer.write(
                build_message(f'{method} {path} HTTP/1.1', message, body)
            )
            line, found = await read_head(reader)
            status = int(line.split()[1])
            if found.get('transfer-encoding', '').lower() == 'chunked':
                async for chunk in read_chunks(reader):
                    parts.append(chunk)
            elif 'content-length' in found:
                length = int(found['content-length'])
                parts.append(await reader.readexactly(length))
            else:
                parts.append(await reader.read())
            is_complete = True
    except (asyncio.IncompleteReadError, TimeoutError, EOFError) as error:
        if not status:
            raise OSError(f'{type(error).__name__}: {error}') from error
    finally:
        if writer is not None:
            writer.close()
    return Response(status, found, b''.join(parts), is_complete)


# The operator


class Operator:
    """Sends configurations, as our pages say.

    :param system: the system.
    :param record: the case's record.
    """

    def __init__(self, system: System, record: Record) -> None:
        self._system = system
        self._record = record

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        limit_s: float = 20.0,
    ) -> Response:
        """Call until there is a clear answer.

        :raises CannotRun: there was none in time.
        """
        end_ms = now_ms() + limit_s * 1000
        pause_s = 0.1
        port = self._system.control_port
        while now_ms() < end_ms:
            host = random.choice(self._system.cores).ip
            target = (host, port, path)
            for _ in range(3):
                try:
                    response = await fetch(
                        target[0], target[1], method, target[2], body
                    )
                except OSError as error:
                    self._record.write(f'{method} {path} at {host}: {error}')
                    break
                if response.status != 307:
                    self._record.write(
                        f'{method} {path} at {target[0]}: {response.status}'
                    )
                    if response.status < 500 and response.status not in (
                        408,
                        429,
                    ):
                        return response
                    break
                target = split_url(response.headers['location'])
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, 2 * pause_s)
        raise CannotRun(f'no clear answer to {method} {path}')

    async def put(
        self, configuration: abc.Mapping[str, typing.Any]
    ) -> Response:
        """Send a configuration until it is acknowledged or refused."""
        body = json.dumps(configuration).encode()
        return await self.call('POST', '/v1/routing', body)


def split_url(url: str) -> tuple[str, int, str]:
    """Return the host, the port and the path of a URL or an address."""
    rest = url.removeprefix('http://')
    address, slash, path = rest.partition('/')
    host, _, port = address.rpartition(':')
    return host, int(port), slash + path


MODELS = (
    {
        'name': 'daka510000',
        'size': 4,
        'share': 0.57,
        'pace': 1.0,
        'load_s': 16.0,
        'warm_s': 1.6,
    },
    {
        'name': 'rada7437b5',
        'size': 3,
        'share': 0.43,
        'pace': 0.6,
        'load_s': 12.0,
        'warm_s': 1.1,
    },
)
KEY = 'n2ctnfzs989anu6wsjnb'
HOSTNAME = 'ficu95.example'
MODEL_SERVICE = 'huvo11a'
PLAIN_SERVICE = 'wuno96b'


def build_configuration(
    version: int, models: abc.Sequence[abc.Mapping[str, typing.Any]] = MODELS
) -> dict[str, typing.Any]:
    """Return a configuration like the example of our pages."""
    stream = {
        'hostname': HOSTNAME,
        'kind': 'streaming',
        'timeout_ms': 8000,
        'objective_ms': 300,
        'priority': 1,
        'max_attempts': 2,
        'public': False,
        'sticky': True,
        'resumable': True,
        'gap_objective_ms': 300,
        'service': MODEL_SERVICE,
    }
    plain = {
        'hostname': HOSTNAME,
        'timeout_ms': 4000,
        'objective_ms': 300,
        'priority': 2,
        'public': False,
        'sticky': False,
        'service': PLAIN_SERVICE,
    }
    return {
        'version': version,
        'routes': [
            {**stream, 'name': 'r-stream', 'path_prefix': '/stream/'},
            {
                **plain,
                'name': 'r-unsafe',
                'path_prefix': '/unsafe/',
                'kind': 'unsafe',
                'max_attempts': 1,
            },
            {
                **plain,
                'name': 'r-safe',
                'path_prefix': '/safe/',
                'kind': 'safe',
                'max_attempts': 2,
            },
        ],
        'services': [
            {
                'name': MODEL_SERVICE,
                'health_path': '/health',
                'max_connections': 414,
                'protocol': 'h1',
                'tls': False,
                'engine': {
                    'slots': 13,
                    'kv_capacity_tokens': 795000,
                    'stride': 7,
                    'models': list(models),
                    'step_ms': 5.95,
                    'per_seq_ms': 0.089,
                    'context_per_k': 0.01626,
                    'read_per_s': 50700.0,
                    'pairs_per_m': 0.368,
                    'chunk': 2048,
                    'report_lag_ms': 200.0,
                    'loads_per_s': 4.5,
                    'loads_at_once': 6,
                    'usual': {'prompt': 1115, 'answer': 178},
                    'cached_prefixes': 1,
                    'far_x': 2.5,
                    'form_ms': 300.0,
                },
            },
            {
                'name': PLAIN_SERVICE,
                'health_path': '/health',
                'max_connections': 110,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'customers': [{'name': 'hule930', 'keys': [KEY], 'priority': 1}],
    }


# Workers


class Worker:
    """A worker: it pings the system and answers on its own address.

    :param fleet: all workers.
    :param worker_id: its id.
    :param ip: its loopback address.
    :param service: its service.
    :param zone: its zone.
    :param domain: its domain in the fabric; empty for a plain one.
    """

    def __init__(
        self,
        fleet: 'Fleet',
        worker_id: str,
        ip: str,
        service: str,
        zone: str,
        domain: str = '',
    ) -> None:
        self.fleet = fleet
        self.id = worker_id
        self.ip = ip
        self.service = service
        self.zone = zone
        self.domain = domain
        self.state = 'ready'
        # Whether it is partitioned from the core and from control.
        self.is_cut = False
        self.slots = 13 if domain else 6
        self.sequence = 0
        self.order_count = 0
        self.group = ''
        self.epoch = 0
        self.members: tuple[str, ...] = ()
        self.group_state = ''
        self.last_model = ''
        self.highest_epoch = 0
        self.members_seen: dict[tuple[str, int], tuple[str, ...]] = {}
        self.staged: list[str] = []
        self.staging = ''
        self.stalled_since_ms: float | None = None
        self.running = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._target = ''
        self.heard_ms = 0.0
        self.born_ms = int(time.time() * 1000)
        self.tells_born = False

    @property
    def address(self) -> str:
        """Its address."""
        return f'{self.ip}:{self.fleet.port}'

    async def start(self) -> None:
        """Listen, and begin to ping."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.fleet.port
        )
        self.fleet.start(self._ping_repeatedly())

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    # Pings

    def _build_ping(self) -> bytes:
        self.sequence += 1
        ping: dict[str, typing.Any] = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
        }
        if self.tells_born:
            ping['born'] = self.born_ms
        if self.domain:
            ping['domain'] = self.domain
            ping['staged'] = self.staged
            ping['models'] = [
                {'name': name, 'version': 1, 'adapters': []}
                for name in self.staged
            ]
            if self.group:
                ping['group'] = {
                    'name': self.group,
                    'epoch': self.epoch,
                    'rank': self.members.index(self.id),
                    'state': self.group_state,
                }
        return json.dumps(ping).encode()

    def note_change(self) -> None:
        """Report at once."""
        self._changed.set()

    async def _ping_repeatedly(self) -> None:
        await asyncio.sleep(random.random() * HEARTBEAT_MS / 1000)
        while True:
            self._changed.clear()
            if not await self.ping():
                # The next node is called at once.
                await asyncio.sleep(0.02)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_MS / 1000):
                    await self._changed.wait()

    async def ping(self) -> bool:
        """Send one ping; return whether it was acknowledged."""
        port = self.fleet.system.control_port
        path = f'/v1/endpoints/{self.id}/announcement'
        target = self._target
        if not target:
            host = random.choice(self.fleet.system.cores).ip
            target = f'{host}:{port}'
        if self.is_cut:
            # What is sent gets lost on the way.
            await asyncio.sleep(1.0)
            self._target = ''
            return False
        body = self._build_ping()
        try:
            for _ in range(3):
                host, number, _ = split_url(target + '/')
                response = await fetch(host, number, 'POST', path, body)
                if response.status != 307:
                    break
                host, number, path = split_url(response.headers['location'])
                target = f'{host}:{number}'
        except OSError:
            self._target = ''
            return False
        if not 200 <= response.status < 300:
            self._target = ''
            return False
        with contextlib.suppress(ValueError, AttributeError):
            told = json.loads(response.body).get('announce_to')
            self._target = told or self._target
        self.heard_ms = now_ms()
        return True

    async def leave(self) -> bool:
        """Send the departure; return whether it was acknowledged."""
        port = self.fleet.system.control_port
        path = f'/v1/endpoints/{self.id}/departure'
        for _ in range(6):
            host = random.choice(self.fleet.system.cores).ip
            target = (host, port, path)
            try:
                for _ in range(3):
                    response = await fetch(
                        target[0], target[1], 'POST', target[2]
                    )
                    if response.status != 307:
                        break
                    target = split_url(response.headers['location'])
            except OSError:
                continue
            if 200 <= response.status < 300:
                return True
        return False

    # Requests

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(' ')
                body = await read_body(reader, headers)
                path = target.partition('?')[0]
                if path in ('/order', '/report'):
                    # Only control hosts send these.
                    if self.is_cut:
                        return
                    await self._answer_control(writer, path, headers, body)
                else:
                    await self.fleet.handle(
                        self, writer, method, target, headers, body
                    )
                if headers.get('connection', '').lower() == 'close':
                    return
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
            EOFError,
            ValueError,
        ):
            return
        finally:
            writer.close()

    async def _answer_control(
        self,
        writer: asyncio.StreamWriter,
        path: str,
        headers: abc.Mapping[str, str],
        body: bytes,
    ) -> None:
        answer = b''
        if headers.get('x-target-instance', self.id) != self.id:
            status = 421
        elif path == '/report':
            status = 200
            answer = json.dumps(
                {
                    'stage': 'both',
                    'models': [],
                    'busy': False,
                    'sequence': self.order_count,
                    'queued': 0,
                    'in_flight': self.running,
                    'kv_used': 0,
                    'kv_total': 795000,
                    'handles': 0,
                }
            ).encode()
        else:
            status = self._carry_out(json.loads(body))
        writer.write(
            build_message(
                f'HTTP/1.1 {status} {REASONS[status]}',
                {
                    'Content-Type': 'application/json',
                    'X-Instance-Id': self.id,
                },
                answer,
            )
        )
        await writer.drain()

    # Orders

    def _carry_out(self, order: dict[str, typing.Any]) -> int:
        action = order['action']
        group, epoch = order.get('group', ''), order.get('epoch', 0)
        status = 400
        if action == 'join':
            status = self._join(
                group, epoch, order['model'], tuple(order['members'])
            )
        elif action == 'stage':
            status = self._stage(order['model'])
        elif (group, epoch) != (self.group, self.epoch):
            status = 200 if action == 'leave' else 409
        elif action == 'open':
            status = self._open()
        elif action == 'close':
            status = self._close()
        elif action == 'leave':
            self._set_group('', 0, (), '')
            status = 202
        if status == 202:
            self.order_count += 1
        self.fleet.record.write(
            f'{self.id} order {action} {group}/{epoch}: {status}'
        )
        return status

    def _set_group(
        self, group: str, epoch: int, members: tuple[str, ...], state: str
    ) -> None:
        self.group, self.epoch = group, epoch
        self.members, self.group_state = members, state
        self.stalled_since_ms = None
        self.note_change()

    def _join(
        self, group: str, epoch: int, model: str, members: tuple[str, ...]
    ) -> int:
        known = self.members_seen.get((group, epoch))
        if epoch < self.highest_epoch or known not in (None, members):
            return 412
        if (group, epoch) == (self.group, self.epoch):
            return 200
        self.fleet.check_join(self, group, epoch)
        self.highest_epoch = epoch
        self.members_seen[group, epoch] = members
        self._set_group(group, epoch, members, 'joining')
        self.fleet.start(self._finish_join(group, epoch, model))
        return 202

    async def _finish_join(self, group: str, epoch: int, model: str) -> None:
        shape = self.fleet.find_model(model)
        if model == self.last_model:
            await asyncio.sleep(0.2)
        elif model in self.staged:
            await asyncio.sleep(shape['warm_s'])
        else:
            await self._load(model)
        if (self.group, self.epoch) == (group, epoch):
            self.last_model = model
            self.group_state = 'ready'
            self.fleet.note_ready(self)
            self.note_change()

    def _stage(self, model: str) -> int:
        if model in self.staged:
            return 200
        if self.staging:
            return 200 if self.staging == model else 409
        self.fleet.start(self._load(model))
        return 202

    async def _load(self, model: str) -> None:
        self.staging = model
        load_s = self.fleet.find_model(model)['load_s']
        if not self.fleet.has_traffic:
            load_s /= 10
        await asyncio.sleep(load_s)
        self.staging = ''
        self.staged = [model]
        self.note_change()

    def _open(self) -> int:
        if self.group_state == 'open':
            return 200
        if self.group_state != 'ready' or self.members[0] != self.id:
            return 409
        self.fleet.start(self._finish_open(self.group, self.epoch))
        return 202

    async def _finish_open(self, group: str, epoch: int) -> None:
        await asyncio.sleep(0.3)
        if (self.group, self.epoch, self.group_state) == (
            group,
            epoch,
            'ready',
        ):
            self.group_state = 'open'
            self.note_change()

    def _close(self) -> int:
        if self.group_state == 'open':
            self.group_state = 'ready'
            self.note_change()
            return 202
        return 200 if self.group_state == 'ready' else 409

    @property
    def is_head(self) -> bool:
        """Whether it leads a group."""
        return bool(self.members) and self.members[0] == self.id

    def check_stall(self) -> None:
        """Break a group that has stood still for long enough."""
        if not self.is_head or self.group_state not in ('open', 'closing'):
            self.stalled_since_ms = None
            return
        missing = [
            key
            for key in self.members
            if not self.fleet.is_member(key, self.group, self.epoch)
        ]
        if not missing:
            self.stalled_since_ms = None
            return
        if self.stalled_since_ms is None:
            self.stalled_since_ms = now_ms()
            self.fleet.record.write(
                f'{self.id} head of {self.group}/{self.epoch} stands still: '
                f'{missing} left'
            )
        elif now_ms() - self.stalled_since_ms > STALL_MS:
            self.group_state = 'broken'
            self.fleet.record.write(
                f'{self.id} head of {self.group}/{self.epoch} is broken'
            )
            self.note_change()


class Run:
    """One request that a worker has begun to run."""

    def __init__(
        self,
        worker: str,
        request_id: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self.worker = worker
        self.request_id = request_id
        self.target = target
        self.headers = headers
        self.body = body
        self.at_ms = now_ms()


class Fleet:
    """All workers, and what the rules say of them.

    :param system: the system.
    :param record: the case's record.
    """

    def __init__(self, system: System, record: Record) -> None:
        self.system = system
        self.record = record
        self.port = system.ports[4]
        self.workers: dict[str, Worker] = {}
        self.runs: list[Run] = []
        self.has_traffic = False
        self.work_s = 0.02
        self.events = 6
        self.gap_s = 0.04
        self.broken_two: list[str] = []
        self.broken_partial: list[str] = []
        self._ready: dict[tuple[str, int], set[str]] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        # The group that each worker was a member of last, if it has left it.
        self._previous: dict[str, tuple[str, int, str]] = {}
        self.handlers: dict[
            str,
            abc.Callable[..., abc.Coroutine[typing.Any, typing.Any, bool]],
        ] = {}

    def start(
        self, work: abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> None:
        """Run something in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Stop all workers."""
        for worker in self.workers.values():
            worker.close()
        for task in list(self._tasks):
            task.cancel()

    def find_model(self, name: str) -> abc.Mapping[str, typing.Any]:
        """Return the description of a model."""
        return next(model for model in MODELS if model['name'] == name)

    async def add_models(self, per_zone: int, domain_size: int = 9) -> None:
        """Start the workers of the models, in domains."""
        for position, zone in enumerate(self.system.zones):
            for number in range(per_zone):
                domain = f'd{position}-{number // domain_size}'
                ip = f'{self.system.net}.{60 + position * 40 + number}'
                worker = Worker(
                    self,
                    f'i-{secrets.token_hex(4)}',
                    ip,
                    MODEL_SERVICE,
                    zone,
                    domain,
                )
                self.workers[worker.id] = worker
                await worker.start()
        self.start(self._check_repeatedly())

    async def add_plain(self, count: int = 3) -> None:
        """Start the workers of the plain service."""
        for number in range(count):
            worker = Worker(
                self,
                f'i-{secrets.token_hex(4)}',
                f'{self.system.net}.{220 + number}',
                PLAIN_SERVICE,
                self.system.zones[number % len(self.system.zones)],
            )
            self.workers[worker.id] = worker
            await worker.start()

    async def _check_repeatedly(self) -> None:
        while True:
            for worker in self.workers.values():
                worker.check_stall()
            await asyncio.sleep(0.02)

    def is_member(self, key: str, group: str, epoch: int) -> bool:
        """Return whether a worker is in a group now."""
        worker = self.workers.get(key)
        return worker is not None and (worker.group, worker.epoch) == (
            group,
            epoch,
        )

    def note_ready(self, worker: Worker) -> None:
        """Note that a worker is ready in its group."""
        key = (worker.group, worker.epoch)
        self._ready.setdefault(key, set()).add(worker.id)
        self._previous[worker.id] = (
            worker.group,
            worker.epoch,
            worker.members[0],
        )

    def check_join(self, worker: Worker, group: str, epoch: int) -> None:
        """Check the rule TWO as a worker takes a join."""
        previous = self._previous.get(worker.id)
        if previous is None or previous[0] == group:
            return
        name, old_epoch, head_id = previous
        head = self.workers.get(head_id)
        if (
            head is None
            or head is worker
            or (head.group, head.epoch) != (name, old_epoch)
            or head.group_state not in ('open', 'closing')
        ):
            return
        state = head.group_state
        if head.stalled_since_ms is not None:
            still_ms = now_ms() - head.stalled_since_ms
            state += f', has stood still for {still_ms:.0f} ms'
        text = (
            f'{worker.id} takes the join of {group}/{epoch} while {head_id}, '
            f'the head of its group {name}/{old_epoch}, is {state}'
        )
        self.broken_two.append(text)
        self.record.note(f'RULE TWO BROKEN: {text}')

    def list_open(self) -> dict[str, list[Worker]]:
        """Return the complete open groups, with their members."""
        found = {}
        for worker in self.workers.values():
            if worker.is_head and worker.group_state == 'open':
                members = [self.workers[key] for key in worker.members]
                if all(
                    self.is_member(item.id, worker.group, worker.epoch)
                    for item in members
                ):
                    found[worker.group] = members
        return found

    # Requests

    async def handle(
        self,
        worker: Worker,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Answer a request."""
        request_id = headers.get('x-request-id', '')
        base = {'X-Request-Id': request_id, 'X-Instance-Id': worker.id}
        if headers.get('x-target-instance', worker.id) != worker.id or (
            worker.domain and not worker.is_head
        ):
            writer.write(
                build_message('HTTP/1.1 421 Misdirected Request', base)
            )
            await writer.drain()
            return
        if worker.domain and worker.group_state != 'open':
            writer.write(
                build_message(
                    'HTTP/1.1 503 Service Unavailable',
                    {**base, 'X-Not-Executed': '1'},
                )
            )
            await writer.drain()
            return
        self.runs.append(Run(worker.id, request_id, target, headers, body))
        self.record.write(f'{worker.id} runs {request_id} {target}')
        if worker.domain:
            self._check_partial(worker, request_id)
        signature = f'{worker.id}.{secrets.token_hex(4)}'
        base['X-Server-Signature'] = signature
        base['X-Instance-Load'] = f'{worker.running},0,{worker.slots}'
        handler = self.handlers.get(target.split('/')[1])
        worker.running += 1
        try:
            if handler is not None and await handler(
                worker, writer, method, target, headers, body, base
            ):
                return
            if worker.domain:
                await self._stream(worker, writer, headers, base)
                return
            await asyncio.sleep(self.work_s)
            answer = f'{request_id} {target} {worker.id}\n'.encode()
            writer.write(build_message('HTTP/1.1 200 OK', base, answer))
            await writer.drain()
        finally:
            worker.running -= 1

    def _check_partial(self, worker: Worker, request_id: str) -> None:
        ready = self._ready.get((worker.group, worker.epoch), set())
        never = [key for key in worker.members if key not in ready]
        if never:
            text = (
                f'{request_id} begins to run in {worker.group}/{worker.epoch}'
                f', of which {never} have never been ready'
            )
            self.broken_partial.append(text)
            self.record.note(f'RULE PARTIAL BROKEN: {text}')

    async def _stream(
        self,
        worker: Worker,
        writer: asyncio.StreamWriter,
        headers: abc.Mapping[str, str],
        base: abc.Mapping[str, str],
    ) -> None:
        lines = [
            'HTTP/1.1 200 OK',
            *(f'{name}: {value}' for name, value in base.items()),
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        first = int(headers.get('last-event-id') or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            while worker.stalled_since_ms is not None:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            if worker.group_state not in ('open', 'closing'):
                raise ConnectionResetError
            data = f'id: {number}\ndata: token {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


# Callers


def build_request(
    path: str,
    request_id: str,
    body: bytes = b'',
    method: str = 'POST',
    budget_ms: int = 4000,
    extra: abc.Mapping[str, str] | None = None,
) -> bytes:
    """Return a request as requesters send it."""
    headers = {
        'Host': HOSTNAME,
        'X-Request-Id': request_id,
        'X-Time-Budget-Ms': str(budget_ms),
        'X-Key': KEY,
        **(extra or {}),
    }
    lines = [
        f'{method} {path} HTTP/1.1',
        *(f'{name}: {value}' for name, value in headers.items()),
    ]
    if method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def ask(
    system: System,
    path: str,
    body: bytes = b'',
    method: str = 'POST',
    budget_ms: int = 4000,
    extra: abc.Mapping[str, str] | None = None,
    entry: int = 0,
    request_id: str = '',
) -> tuple[str, Response | None]:
    """Send a request on a new channel; return its id and its answer."""
    request_id = request_id or secrets.token_hex(8)
    message = build_request(path, request_id, body, method, budget_ms, extra)
    host = system.entries[entry].ip
    writer = None
    status, found, parts, is_complete = 0, {}, [], False
    try:
        async with asyncio.timeout(budget_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(
                host, system.caller_port
            )
            writer.write(message)
            line, found = await read_head(reader)
            status = int(line.split()[1])
            if found.get('transfer-encoding', '').lower() == 'chunked':
                async for chunk in read_chunks(reader):
                    parts.append(chunk)
            elif 'content-length' in found:
                length = int(found['content-length'])
                parts.append(await reader.readexactly(length))
            else:
                parts.append(await reader.read())
            is_complete = True
    except (EOFError, OSError, TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    if not status:
        return request_id, None
    return request_id, Response(status, found, b''.join(parts), is_complete)


async def wait_until(
    condition: abc.Callable[[], bool], limit_s: float, what: str
) -> None:
    """Wait for a condition.

    :raises CannotRun: it doesn't hold in time.
    """
    end_ms = now_ms() + limit_s * 1000
    while not condition():
        if now_ms() > end_ms:
            raise CannotRun(f'{what}: not within {limit_s} s')
        await asyncio.sleep(0.05)


def run_case(
    folder: pathlib.Path,
    play: abc.Callable[
        [Record, bool], abc.Coroutine[typing.Any, typing.Any, bool]
    ],
) -> typing.NoReturn:
    """Play a case and exit as our pages ask.

    :param folder: the case's folder.
    :param play: plays it, with or without the disruption; returns whether
        the rule held.
    """
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'with the disruption: {has_trouble}')
    try:
        held = asyncio.run(play(record, has_trouble))
        record.note('the rule held' if held else 'the rule was broken')
        code = PASS if held else BROKEN
    except Exception as error:
        # Whatever went wrong in the case itself says nothing of the rule.
        record.note(f'could not run: {type(error).__name__}: {error}')
        code = NOT_RUN
    record.close()
    sys.exit(code)
