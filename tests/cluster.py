"""Clusters of real node processes for tests."""

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
WAIT_STEP_S = 0.05
WATCH_STEP_S = 0.2
KEY = 'test-key'


class Place(typing.NamedTuple):
    """Where a node stands."""

    region: str
    data_centre: str


PLACES = tuple(
    Place('central', data_centre) for data_centre in ('north', 'east', 'south')
)


# Below the ports that the system gives to outgoing connections, so that none
# of those takes a port between its choice and its use.
FIRST_PORT = 12_000
LAST_PORT = 32_000
PORTS_A_PROCESS = 100
PORTS_A_WORKER = 5000

_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
# Test processes that run side by side begin at different ports.
_worker = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw'))
_skipped = os.getpid() * PORTS_A_PROCESS + _worker * PORTS_A_WORKER
_skipped %= LAST_PORT - FIRST_PORT
next(itertools.islice(_ports, _skipped, _skipped), None)


def find_free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on."""
    return list(itertools.islice(filter(_is_free, _ports), count))


def _is_free(port: int) -> bool:
    with socket.socket() as found:
        try:
            found.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def wait_until(
    test: typing.Callable[[], typing.Any],
    what: str,
    limit_s: float = WAIT_LIMIT_S,
) -> typing.Any:
    """Wait until a test gives something true, and return that."""
    end_s = time.monotonic() + limit_s
    while True:
        found = test()
        if found:
            return found
        if time.monotonic() > end_s:
            raise AssertionError(f'not within {limit_s} s: {what}')
        time.sleep(WAIT_STEP_S)


@dataclasses.dataclass(slots=True)
class NodeProcess:
    """One node of a cluster: its files, addresses and process."""

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
        errors = open(self.folder / 'stderr.txt', 'ab')
        self.process = subprocess.Popen(
            [*program(), 'node', '--settings', str(self.settings_path)],
            stderr=errors,
            stdout=errors,
        )
        errors.close()

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def stop(self) -> int:
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT_LIMIT_S)

    def get(self, path: str) -> dict[str, typing.Any] | None:
        """Return the administration API's answer, or None without one."""
        try:
            answer = httpx.get(self.administration_url + path, timeout=5)
        except httpx.HTTPError:
            return None
        return answer.json() if answer.status_code == 200 else None

    def is_ready(self) -> bool:
        try:
            return httpx.get(f'{self.url}/readyz').status_code == 200
        except httpx.HTTPError:
            return False


def program() -> list[str]:
    """Return the command that runs the program.

    FILBERTGLADE_PROGRAM names another one, such as the one-file binary.
    """
    named = os.environ.get('FILBERTGLADE_PROGRAM')
    return (
        [os.path.abspath(named)]
        if named
        else [sys.executable, '-m', 'filbertglade']
    )


class Cluster:
    """Node and stand-in processes that end with the test."""

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
        """Write the settings of nodes; start none yet.

        :param control: how many are control hosts.
        :param others: how many are not.
        :param places: where the nodes stand, in turn.
        :param extra: further TOML tables for each node.
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
        """Return where a node reaches a control host."""
        if self.links is None or node is host:
            return host.inner
        return self.links.add(node.name, host.name, host.inner)

    def start_nodes(self) -> None:
        """Mark the control hosts' folders and start all nodes."""
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
        """Start a stand-in process that announces to every node.

        :param options: of its command line.
        :param region: to announce to this region's nodes alone.
        """
        entries: list[str] = ['--region', region] if region else []
        for node in self.nodes:
            if region not in ('', node.region):
                continue
            entries += ['--entry', node.url]
        process = subprocess.Popen([*program(), 'standin', *entries, *options])
        self.standins.append(process)
        return process

    def find_leader(self) -> NodeProcess | None:
        """Return the acting leader as the running nodes tell it."""
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
    """Looks again and again for processes that some processes started."""

    def __init__(self, pids: list[int]) -> None:
        self._pids = pids
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self.looks = 0
        self.found: list[str] = []

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._stopping.wait(WATCH_STEP_S):
            for pid in self._pids:
                with contextlib.suppress(psutil.Error):
                    children = psutil.Process(pid).children(recursive=True)
                    self.found += [str(child) for child in children]
            self.looks += 1


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the program to its end."""
    return subprocess.run(
        [*program(), *arguments],
        capture_output=True,
        text=True,
        timeout=WAIT_LIMIT_S,
    )
