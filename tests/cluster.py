"""Clusters of real node processes on loopback addresses."""

from collections import abc
import contextlib
import dataclasses
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
import typing

import httpx
import psutil

from tests import forwarding

WAIT_LIMIT_S = 60.0
POLL_INTERVAL_S = 0.05
WATCH_INTERVAL_S = 0.2
KEY = 'test-key'


class Place(typing.NamedTuple):
    """The region and data centre of a node."""

    region: str
    data_centre: str


PLACES = tuple(
    Place('central', data_centre) for data_centre in ('north', 'east', 'south')
)


# Below the ephemeral port range, so that no outgoing connection takes a port
# between its choice and its use.
FIRST_PORT = 12_000
LAST_PORT = 32_000
# A test process holds the first port of each block that it takes ports from.
BLOCK_PORTS = 100


def _yield_ports() -> abc.Iterator[int]:
    """Yield ports of blocks that no other test process holds."""
    held: list[socket.socket] = []
    ports: list[int] = []
    for first in range(FIRST_PORT, LAST_PORT, BLOCK_PORTS):
        guard = socket.socket()
        try:
            guard.bind(('127.0.0.1', first))
        except OSError:
            guard.close()
            continue
        held.append(guard)
        block = range(first + 1, first + BLOCK_PORTS)
        ports += block
        yield from block
    yield from itertools.cycle(ports)


_ports = _yield_ports()


def find_free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that no process listens on.

    No other test process on this machine gets them as long as this one runs.
    """
    return list(itertools.islice(filter(_is_free, _ports), count))


def _is_free(port: int) -> bool:
    with socket.socket() as candidate:
        try:
            candidate.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def wait_until(
    condition: typing.Callable[[], typing.Any],
    description: str,
    limit_s: float = WAIT_LIMIT_S,
) -> typing.Any:
    """Poll a condition until its result is true, and return the result.

    :param condition: called until it returns something true.
    :param description: what is awaited; part of the error message.
    :raises AssertionError: if it isn't true within the limit.
    """
    end_s = time.monotonic() + limit_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > end_s:
            raise AssertionError(f'not within {limit_s} s: {description}')
        time.sleep(POLL_INTERVAL_S)


@dataclasses.dataclass(slots=True)
class NodeProcess:
    """One node of a cluster: its files, addresses and process.

    :ivar folder: holds its settings, data, log and stderr.
    :ivar callers: address of the caller interface.
    :ivar administration: address of the administration API.
    :ivar inner: address for the cluster's other nodes.
    :ivar process: None until the node is first started.
    """

    name: str
    data_centre: str
    folder: pathlib.Path
    callers: str
    administration: str
    inner: str
    is_control: bool
    region: str = 'central'
    process: subprocess.Popen[bytes] | None = None

    @property
    def settings_path(self) -> pathlib.Path:
        return self.folder / 'node.toml'

    @property
    def data_folder(self) -> pathlib.Path:
        return self.folder / 'data'

    @property
    def log_path(self) -> pathlib.Path:
        return self.folder / 'node.log'

    @property
    def url(self) -> str:
        return f'http://{self.callers}'

    @property
    def administration_url(self) -> str:
        return f'http://{self.administration}'

    def start(self) -> None:
        output = open(self.folder / 'stderr.txt', 'ab')
        self.process = subprocess.Popen(
            [
                *build_program_command(),
                'node',
                '--settings',
                str(self.settings_path),
            ],
            stderr=output,
            stdout=output,
        )
        output.close()

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit code."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT_LIMIT_S)

    def get(self, path: str) -> dict[str, typing.Any] | None:
        """Return JSON from the administration API; None on any failure."""
        try:
            response = httpx.get(self.administration_url + path, timeout=5)
        except httpx.HTTPError:
            return None
        return response.json() if response.status_code == 200 else None

    def is_ready(self) -> bool:
        try:
            return httpx.get(f'{self.url}/readyz').status_code == 200
        except httpx.HTTPError:
            return False


def build_program_command() -> list[str]:
    """Return the command that runs the program under test.

    The environment variable FILBERTGLADE_PROGRAM replaces it, for instance by
    the path of the one-file binary.
    """
    path = os.environ.get('FILBERTGLADE_PROGRAM')
    return (
        [os.path.abspath(path)]
        if path
        else [sys.executable, '-m', 'filbertglade']
    )


class Cluster:
    """Node and stand-in processes; :meth:`close` kills them all.

    :param folder: holds a folder for each node.
    :param links: proxies between the nodes; None for direct connections.
    """

    def __init__(
        self, folder: pathlib.Path, links: forwarding.Links | None = None
    ) -> None:
        self._folder = folder
        self.links = links
        self.nodes: list[NodeProcess] = []
        self.standins: list[subprocess.Popen[bytes]] = []

    def configure_nodes(
        self,
        control: int,
        others: int,
        extra: str = '',
        control_extra: str = '',
        places: abc.Sequence[Place] = PLACES,
    ) -> list[NodeProcess]:
        """Choose addresses and write settings; start no node yet.

        :param control: number of nodes that are control hosts.
        :param others: number of nodes that are not.
        :param places: regions and data centres, assigned in turn.
        :param extra: further TOML tables in each node's settings.
        :param control_extra: a further line of the table ``control``.
        """
        ports = iter(find_free_ports(3 * (control + others)))
        for position in range(control + others):
            name = f'node-{position + 1}'
            folder = self._folder / name
            folder.mkdir(parents=True)
            place = places[position % len(places)]
            self.nodes.append(
                NodeProcess(
                    name=name,
                    region=place.region,
                    data_centre=place.data_centre,
                    folder=folder,
                    callers=f'127.0.0.1:{next(ports)}',
                    administration=f'127.0.0.1:{next(ports)}',
                    inner=f'127.0.0.1:{next(ports)}',
                    is_control=position < control,
                )
            )
        for node in self.nodes:
            self._write_settings(node, extra, control_extra)
        return self.nodes

    def _write_settings(
        self, node: NodeProcess, extra: str, control_extra: str
    ) -> None:
        control = [node for node in self.nodes if node.is_control]
        lines = [
            f'name = "{node.name}"',
            f'region = "{node.region}"',
            f'data_centre = "{node.data_centre}"',
            f'log_file = "{node.log_path}"',
            '[listen]',
            f'callers = "{node.callers}"',
            f'administration = "{node.administration}"',
            f'inner = "{node.inner}"',
            '[control]',
            control_extra,
        ]
        if node.is_control:
            lines.append(f'data_folder = "{node.data_folder}"')
        for host in control:
            lines += [
                '[[control.hosts]]',
                f'name = "{host.name}"',
                f'address = "{self._find_address(node, host)}"',
                f'data_centre = "{host.data_centre}"',
            ]
        node.settings_path.write_text('\n'.join(lines) + '\n' + extra)

    def _find_address(self, node: NodeProcess, host: NodeProcess) -> str:
        """Return the address by which a node connects to a control host."""
        if self.links is None or node is host:
            return host.inner
        return self.links.add(node.name, host.name, host.inner)

    def start_nodes(self) -> None:
        """Initialise the control hosts' data folders and start all nodes."""
        for node in self.nodes:
            if node.is_control:
                run_command(
                    'init-control', '--settings', str(node.settings_path)
                )
        for node in self.nodes:
            node.start()

    def start_standin(
        self, *options: str, region: str = ''
    ) -> subprocess.Popen[bytes]:
        """Start a stand-in process that announces its hosts to every node.

        :param options: of its command line.
        :param region: announce only to this region's nodes.
        """
        entries: list[str] = ['--region', region] if region else []
        for node in self.nodes:
            if region not in ('', node.region):
                continue
            entries += ['--entry', node.url]
        process = subprocess.Popen(
            [*build_program_command(), 'standin', *entries, *options]
        )
        self.standins.append(process)
        return process

    def find_leader(self) -> NodeProcess | None:
        """Return the leader that a running node reports, or None."""
        for node in self.nodes:
            if node.process is None or node.process.poll() is not None:
                continue
            status = node.get('/v1/status')
            if status is not None:
                return self.node(status['leader'])
        return None

    def node(self, name: str) -> NodeProcess:
        return next(node for node in self.nodes if node.name == name)

    def close(self) -> None:
        for node in self.nodes:
            node.kill()
        if self.links is not None:
            self.links.close()
        for process in self.standins:
            process.kill()
            process.wait()


class ChildWatcher:
    """Polls some processes for child processes.

    :param pids: the processes.
    :ivar checks: number of completed polls.
    :ivar children: every child process seen, as text.
    """

    def __init__(self, pids: list[int]) -> None:
        self._pids = pids
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self.checks = 0
        self.children: list[str] = []

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._stopping.wait(WATCH_INTERVAL_S):
            for pid in self._pids:
                with contextlib.suppress(psutil.Error):
                    started = psutil.Process(pid).children(recursive=True)
                    self.children += [str(child) for child in started]
            self.checks += 1


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the program with some arguments and return its output."""
    return subprocess.run(
        [*build_program_command(), *arguments],
        capture_output=True,
        text=True,
        timeout=WAIT_LIMIT_S,
    )
