"""What a node spends on announcements of endpoint hosts over HTTP.

One control host and one node as real processes; hosts announce to the node
twice a second each, from this process:

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

ANNOUNCEMENTS_A_HOST = 2
WARM_S = 2.0
ANSWER_LIMIT_S = 20.0

app = typer.Typer(add_completion=False)


class Announcer:
    """Announces one host over HTTP, as an engine with a load does.

    :param client: asks over HTTP.
    :param url: the node's address for callers.
    :param host: the host's number.
    """

    def __init__(self, client: httpx.AsyncClient, url: str, host: int) -> None:
        self._client = client
        self._url = f'{url}/v1/announce'
        self._host = host
        self._rng = random.Random(host)
        self._token = ''
        self._token_ms = 0
        self.answered = 0

    async def run(self) -> None:
        """Announce until cancelled."""
        interval_s = attachment.ANNOUNCE_MS / 1000
        await asyncio.sleep(self._rng.uniform(0, interval_s))
        due_s = asyncio.get_running_loop().time()
        while True:
            await self._announce()
            due_s += interval_s
            left_s = due_s - asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, left_s))

    async def _announce(self) -> None:
        sequence = self.answered + 1
        form = attachment.make_form(self._host, sequence, self._rng)
        form.token = self._token
        form.held_ms = clock.now_ms() - self._token_ms if self._token else 0
        answer = await self._client.post(
            self._url, json=dataclasses.asdict(form)
        )
        answer.raise_for_status()
        self._token = answer.json()['token']
        self._token_ms = clock.now_ms()
        self.answered += 1


async def _measure(
    node: clusters.NodeProcess, rate: int, kept: bool, duration_s: float
) -> tuple[float, float]:
    """Return announcements and processor milliseconds a second."""
    assert node.process is not None
    process = psutil.Process(node.process.pid)
    client = httpx.AsyncClient(
        headers={} if kept else {'Connection': 'close'},
        limits=httpx.Limits(max_connections=None),
        timeout=ANSWER_LIMIT_S,
    )
    announcers = [
        Announcer(client, node.url, host)
        for host in range(rate // ANNOUNCEMENTS_A_HOST)
    ]
    tasks = [asyncio.create_task(item.run()) for item in announcers]
    await asyncio.sleep(WARM_S)
    answered = sum(item.answered for item in announcers)
    used = process.cpu_times()
    began_ms = clock.now_ms()
    await asyncio.sleep(duration_s)
    elapsed_s = (clock.now_ms() - began_ms) / 1000
    spent = process.cpu_times()
    answered = sum(item.answered for item in announcers) - answered
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError):
            await task
    await client.aclose()
    used_s = spent.user + spent.system - used.user - used.system
    return answered / elapsed_s, 1000 * used_s / elapsed_s


@app.command()
def main(
    rate: list[int] = typer.Option([0, 20, 100, 400]),  # noqa: B008
    duration_s: float = 10.0,
) -> None:
    """Processor time of a node by announcements a second.

    :param rate: announcements a second, a row each.
    :param duration_s: time of each trial.
    """
    with tempfile.TemporaryDirectory() as folder:
        cluster = clusters.Cluster(pathlib.Path(folder))
        _, node = cluster.configure_nodes(1, 1)
        try:
            cluster.start_nodes()
            clusters.wait_until(cluster.find_leader, 'a leader')
            print('| connection | announcements | node |')
            print('|---|---|---|')
            for kept in (True, False):
                for wanted in rate:
                    found, spent_ms = asyncio.run(
                        _measure(node, wanted, kept, duration_s)
                    )
                    print(
                        f'| {"kept" if kept else "new each time"} '
                        f'| {found:.1f}/s | {spent_ms:.1f} ms/s |',
                        flush=True,
                    )
        finally:
            cluster.close()


if __name__ == '__main__':
    app()
