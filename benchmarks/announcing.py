"""Cost on a node of announcements that endpoint hosts send over HTTP.

A control host and a node run as processes of their own. This process plays
the hosts, each of which announces to the node twice a second:

python -m benchmarks.announcing --rate 0 --rate 20 --rate 100 --rate 400
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import tempfile

import httpx
import psutil
import typer

from benchmarks import attachment
from filbertglade import clock
from tests import cluster as clusters

ANNOUNCEMENTS_PER_HOST_PER_S = 2
WARM_UP_S = 2.0
RESPONSE_TIMEOUT_S = 20.0

app = typer.Typer(add_completion=False)


class Announcer:
    """Announces one host with its load over HTTP, as an engine does.

    :param client: the HTTP client.
    :param url: URL of the node's caller listener.
    :param host: the host's number.
    """

    def __init__(self, client: httpx.AsyncClient, url: str, host: int) -> None:
        self._client = client
        self._url = f'{url}/v1/announce'
        self._host = host
        self._rng = random.Random(host)
        self._token = ''
        self._token_received_ms = 0
        self.acknowledged_count = 0

    async def run(self) -> None:
        """Announce at the announcement interval until cancelled."""
        interval_s = attachment.ANNOUNCE_INTERVAL_MS / 1000
        await asyncio.sleep(self._rng.uniform(0, interval_s))
        due_s = asyncio.get_running_loop().time()
        while True:
            await self._announce()
            due_s += interval_s
            remaining_s = due_s - asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, remaining_s))

    async def _announce(self) -> None:
        sequence = self.acknowledged_count + 1
        form = attachment.make_form(self._host, sequence, self._rng)
        form.token = self._token
        form.held_ms = (
            clock.now_ms() - self._token_received_ms if self._token else 0
        )
        response = await self._client.post(
            self._url, json=dataclasses.asdict(form)
        )
        response.raise_for_status()
        self._token = response.json()['token']
        self._token_received_ms = clock.now_ms()
        self.acknowledged_count += 1


async def _measure(
    node: clusters.NodeProcess, rate: int, keep_alive: bool, duration_s: float
) -> tuple[float, float]:
    """Return announcements and milliseconds of processor time, per second."""
    assert node.process is not None
    process = psutil.Process(node.process.pid)
    client = httpx.AsyncClient(
        headers={} if keep_alive else {'Connection': 'close'},
        limits=httpx.Limits(max_connections=None),
        timeout=RESPONSE_TIMEOUT_S,
    )
    announcers = [
        Announcer(client, node.url, host)
        for host in range(rate // ANNOUNCEMENTS_PER_HOST_PER_S)
    ]
    tasks = [asyncio.create_task(announcer.run()) for announcer in announcers]
    await asyncio.sleep(WARM_UP_S)
    acknowledged_count = sum(
        announcer.acknowledged_count for announcer in announcers
    )
    times_before = process.cpu_times()
    started_ms = clock.now_ms()
    await asyncio.sleep(duration_s)
    elapsed_s = (clock.now_ms() - started_ms) / 1000
    times_after = process.cpu_times()
    acknowledged_count = (
        sum(announcer.acknowledged_count for announcer in announcers)
        - acknowledged_count
    )
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError):
            await task
    await client.aclose()
    processor_s = (
        times_after.user
        + times_after.system
        - times_before.user
        - times_before.system
    )
    return acknowledged_count / elapsed_s, 1000 * processor_s / elapsed_s


@app.command()
def main(
    rate: list[int] = typer.Option([0, 20, 100, 400]),  # noqa: B008
    duration_s: float = 10.0,
) -> None:
    """Measure a node's processor time at rates of announcements.

    :param rate: announcements a second, a row each.
    :param duration_s: duration of each measurement.
    """
    with tempfile.TemporaryDirectory() as folder:
        cluster = clusters.Cluster(pathlib.Path(folder))
        _, node = cluster.configure_nodes(1, 1)
        try:
            cluster.start_nodes()
            clusters.wait_until(cluster.find_leader, 'a leader')
            print('| connection | announcements | node |')
            print('|---|---|---|')
            for keep_alive in (True, False):
                for target_rate in rate:
                    measured_rate, spent_ms = asyncio.run(
                        _measure(node, target_rate, keep_alive, duration_s)
                    )
                    print(
                        f'| {"kept" if keep_alive else "new each time"} '
                        f'| {measured_rate:.1f}/s | {spent_ms:.1f} ms/s |',
                        flush=True,
                    )
        finally:
            cluster.close()


if __name__ == '__main__':
    app()
