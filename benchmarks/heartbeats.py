"""Cost of heartbeats of idle voters: processor time and bytes.

The voters run as processes and commit nothing. Forwarders between them count
bytes:

python -m benchmarks.heartbeats --followers 2 --followers 4 --followers 6
"""

import dataclasses
import pathlib
import subprocess
import sys
import tempfile
import time

import psutil
import typer

from benchmarks import voter_process
from filbertglade.control import file_storage
from tests import cluster as clusters
from tests import forwarding

SAMPLE_MS = 500
SETTLE_S = 5.0

app = typer.Typer(add_completion=False)


@dataclasses.dataclass(slots=True)
class Usage:
    """Processor time and bytes that one voter has used since its start."""

    processor_s: float
    out_bytes: int
    in_bytes: int


class VoterCluster:
    """Voters of one cluster that reach one another through forwarders.

    :param folder: folder for their data.
    :param count: number of voters.
    """

    def __init__(self, folder: pathlib.Path, count: int) -> None:
        self._folder = folder
        self._links = forwarding.Links()
        self._addresses = [
            f'127.0.0.1:{port}' for port in clusters.find_free_ports(count)
        ]
        self._processes = [self._spawn(index) for index in range(count)]

    def _spawn(self, index: int) -> subprocess.Popen[bytes]:
        name = f'voter-{index}'
        addresses = [
            address
            if other == index
            else self._links.add(name, f'voter-{other}', address)
            for other, address in enumerate(self._addresses)
        ]
        data_folder = str(self._folder / str(index))
        settings = voter_process.make_settings(name, data_folder, addresses)
        assert file_storage.init_control(settings) is None
        return subprocess.Popen(
            [
                sys.executable,
                '-m',
                'benchmarks.voter_process',
                '--sample-ms',
                str(SAMPLE_MS),
                name,
                data_folder,
                *addresses,
            ],
            stdout=open(self._folder / f'acting-{index}', 'wb'),
            stderr=subprocess.DEVNULL,
        )

    def find_leader(self) -> int | None:
        """Return the index of a voter that has acted as leader, or None."""
        for index in range(len(self._processes)):
            if (self._folder / f'acting-{index}').stat().st_size:
                return index
        return None

    def read_usage(self) -> list[Usage]:
        """Return each voter's usage since its start."""
        usages = []
        for index, process in enumerate(self._processes):
            times = psutil.Process(process.pid).cpu_times()
            link_bytes = self._links.count_bytes(f'voter-{index}')
            usages.append(Usage(times.user + times.system, *link_bytes))
        return usages

    def close(self) -> None:
        """End the voters."""
        for process in self._processes:
            process.kill()
            process.wait()
        self._links.close()


def _render(usages: list[Usage], duration_s: float) -> str:
    count = len(usages) * duration_s
    processor_ms = 1000 * sum(item.processor_s for item in usages) / count
    out_bytes = sum(item.out_bytes for item in usages) / count
    in_bytes = sum(item.in_bytes for item in usages) / count
    cells = [f'{processor_ms:.1f} ms/s', f'{out_bytes:.0f} B/s']
    return ' | '.join([*cells, f'{in_bytes:.0f} B/s'])


def measure(followers: int, duration_s: float) -> None:
    """Print one row of the table.

    :param followers: number of voters besides the leader.
    :param duration_s: duration of the measurement.
    """
    with tempfile.TemporaryDirectory() as folder:
        voters = VoterCluster(pathlib.Path(folder), followers + 1)
        try:
            clusters.wait_until(
                lambda: voters.find_leader() is not None, 'a leader'
            )
            time.sleep(SETTLE_S)
            before = voters.read_usage()
            time.sleep(duration_s)
            after = voters.read_usage()
            leader = voters.find_leader()
        finally:
            voters.close()
    usages = [
        Usage(
            later.processor_s - earlier.processor_s,
            later.out_bytes - earlier.out_bytes,
            later.in_bytes - earlier.in_bytes,
        )
        for later, earlier in zip(after, before, strict=True)
    ]
    assert leader is not None
    leader_usage = usages.pop(leader)
    print(
        f'| {followers} | {_render([leader_usage], duration_s)} '
        f'| {_render(usages, duration_s)} |',
        flush=True,
    )


@app.command()
def main(
    followers: list[int] = typer.Option([2, 4, 6]),  # noqa: B008
    duration_s: float = 20.0,
) -> None:
    """Measure processor time and bytes of idle voters.

    :param followers: numbers of voters besides the leader, a row each.
    :param duration_s: duration of each measurement.
    """
    print('| followers | leader | out | in | a follower | out | in |')
    print('|---|---|---|---|---|---|---|')
    for count in followers:
        measure(count, duration_s)


if __name__ == '__main__':
    app()
