"""What idle voters spend on heartbeats: processor time and bytes.

Voters as real processes that commit nothing, with forwarders between them
that count bytes:

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
    """What one voter has spent so far."""

    processor_s: float
    out_bytes: int
    in_bytes: int


class Voters:
    """Voters of one cluster, each reaching the others through links.

    :param folder: for their data.
    :param count: how many.
    """

    def __init__(self, folder: pathlib.Path, count: int) -> None:
        self._folder = folder
        self._links = forwarding.Links()
        self._own = [
            f'127.0.0.1:{port}' for port in clusters.find_free_ports(count)
        ]
        self._processes = [self._spawn(place) for place in range(count)]

    def _spawn(self, place: int) -> subprocess.Popen[bytes]:
        name = f'voter-{place}'
        addresses = [
            address
            if other == place
            else self._links.add(name, f'voter-{other}', address)
            for other, address in enumerate(self._own)
        ]
        data = str(self._folder / str(place))
        settings = voter_process.make_settings(name, data, addresses)
        assert file_storage.init_control(settings) is None
        return subprocess.Popen(
            [
                sys.executable,
                '-m',
                'benchmarks.voter_process',
                '--sample-ms',
                str(SAMPLE_MS),
                name,
                data,
                *addresses,
            ],
            stdout=open(self._folder / f'acting-{place}', 'wb'),
            stderr=subprocess.DEVNULL,
        )

    def find_leader(self) -> int | None:
        """Return the place of the voter that acts; None if none does."""
        for place in range(len(self._processes)):
            if (self._folder / f'acting-{place}').stat().st_size:
                return place
        return None

    def read_usage(self) -> list[Usage]:
        """Return what each voter has spent."""
        usages = []
        for place, process in enumerate(self._processes):
            times = psutil.Process(process.pid).cpu_times()
            counted = self._links.count_bytes(f'voter-{place}')
            usages.append(Usage(times.user + times.system, *counted))
        return usages

    def close(self) -> None:
        """End the voters."""
        for process in self._processes:
            process.kill()
            process.wait()
        self._links.close()


def _render(spent: list[Usage], duration_s: float) -> str:
    count = len(spent) * duration_s
    processor_ms = 1000 * sum(item.processor_s for item in spent) / count
    out_bytes = sum(item.out_bytes for item in spent) / count
    in_bytes = sum(item.in_bytes for item in spent) / count
    cells = [f'{processor_ms:.1f} ms/s', f'{out_bytes:.0f} B/s']
    return ' | '.join([*cells, f'{in_bytes:.0f} B/s'])


def measure(followers: int, duration_s: float) -> None:
    """Print one row of the table.

    :param followers: how many voters follow the leader.
    :param duration_s: for how long they are watched.
    """
    with tempfile.TemporaryDirectory() as folder:
        voters = Voters(pathlib.Path(folder), followers + 1)
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
    spent = [
        Usage(
            now.processor_s - was.processor_s,
            now.out_bytes - was.out_bytes,
            now.in_bytes - was.in_bytes,
        )
        for now, was in zip(after, before, strict=True)
    ]
    assert leader is not None
    led = spent.pop(leader)
    print(
        f'| {followers} | {_render([led], duration_s)} '
        f'| {_render(spent, duration_s)} |',
        flush=True,
    )


@app.command()
def main(
    followers: list[int] = typer.Option([2, 4, 6]),  # noqa: B008
    duration_s: float = 20.0,
) -> None:
    """Processor time and bytes of idle voters.

    :param followers: voters that follow the leader, a row each.
    :param duration_s: time of each trial.
    """
    print('| followers | leader | out | in | a follower | out | in |')
    print('|---|---|---|---|---|---|---|')
    for count in followers:
        measure(count, duration_s)


if __name__ == '__main__':
    app()
