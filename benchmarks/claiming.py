"""Claims of many nodes: rate, latency and the voters' processor time.

Run as ``python -m benchmarks.claiming run`` from the repository's root. Each
node has its own stream to a control host and takes and finishes its claims
through the batcher that a node process uses.
"""

import asyncio
import json
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time

import psutil
import typer

from benchmarks import agreement
from benchmarks import voter_process
from filbertglade.control import failures
from filbertglade.control import submission
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics
from filbertglade.requests import claim_batcher

NODES = [100, 200, 380]
REQUESTS_PER_S = 14
SECONDS = 10
# Nodes begin one after another, and are not counted meanwhile.
WARMING_S = 5
HELD_S = 0.1
TIMEOUT_MS = claim_batcher.SUBMIT_TIMEOUT_MS

app = typer.Typer(add_completion=False)


class Node:
    """One node's claims."""

    def __init__(self, number: int, addresses: list[str]) -> None:
        self._number = number
        self._commands = submission.RemoteSubmitter(
            voter_process.make_settings(f'node-{number}', '', addresses),
            channels.SocketChannels(),
            metrics.Metrics(),
        )
        self._batcher = claim_batcher.ClaimBatcher(
            self._commands, metrics.Metrics()
        )
        self._rng = random.Random(number)
        self._requests: set[asyncio.Task[None]] = set()
        self.taken_ms: list[float] = []
        self.failed = 0
        self.sent = 0

    async def run(self, starts_s: float, ends_s: float) -> None:
        """Claim at random moments until the end.

        :param starts_s: monotonic clock from which claims are counted.
        :param ends_s: monotonic clock at which no more are sent.
        """
        await asyncio.sleep(self._rng.random() * WARMING_S / 2)
        position = 0
        while time.monotonic() < ends_s:
            is_counted = time.monotonic() >= starts_s
            task = asyncio.create_task(self._request(position, is_counted))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)
            position += 1
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_S))
        if self._requests:
            await asyncio.wait(self._requests)
        await self._batcher.close()
        await self._commands.close()

    async def _request(self, position: int, is_counted: bool) -> None:
        key = self._number * 1_000_000 + position
        change = agreement.claim(key, 1).claim_changes.changes[0]
        self.sent += is_counted
        started_s = time.perf_counter()
        result = await self._batcher.submit(change, TIMEOUT_MS)
        taken_s = time.perf_counter() - started_s
        if isinstance(result, failures.SubmitFailure):
            self.failed += is_counted
            return
        if is_counted:
            self.taken_ms.append(taken_s * 1000)
        await asyncio.sleep(HELD_S)
        finished = commands_pb2.ClaimChange()
        finished.CopyFrom(change)
        finished.action = commands_pb2.ClaimChange.FINISH
        await self._batcher.submit(finished, TIMEOUT_MS)


@app.command()
def load(
    first: int, count: int, starts_s: float, addresses: list[str]
) -> None:
    """Run some nodes in this process; prints what they saw as JSON.

    :param first: number of the first node.
    :param count: how many.
    :param starts_s: monotonic clock from which claims are counted.
    :param addresses: the control hosts' inner addresses.
    """
    nodes = [Node(first + place, addresses) for place in range(count)]

    async def run() -> None:
        await asyncio.gather(
            *(node.run(starts_s, starts_s + SECONDS) for node in nodes)
        )

    asyncio.run(run())
    found = {
        'taken_ms': [value for node in nodes for value in node.taken_ms],
        'failed': sum(node.failed for node in nodes),
        'sent': sum(node.sent for node in nodes),
    }
    print(json.dumps(found))


@app.command()
def run(
    nodes: list[int] = NODES,
    voters: int = agreement.VOTERS,
    loads: int = 8,
) -> None:
    """Measure with each number of nodes.

    :param nodes: numbers of nodes.
    :param voters: number of control hosts.
    :param loads: processes that run the nodes.
    """
    for count in nodes:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(_measure(pathlib.Path(folder), count, voters, loads))


async def _measure(
    folder: pathlib.Path, count: int, voters: int, loads: int
) -> None:
    async with agreement.Cluster(folder, voters) as cluster:
        starts_s = time.monotonic() + WARMING_S
        started = [
            _start_load(cluster, place, count, loads, starts_s)
            for place in range(loads)
        ]
        await asyncio.sleep(starts_s - time.monotonic())
        before = cluster.cpu_seconds()
        loads_before_s = _cpu_seconds(started)
        await asyncio.sleep(SECONDS)
        loads_spent_s = _cpu_seconds(started) - loads_before_s
        spent = [
            (after - earlier) / SECONDS * 100
            for after, earlier in zip(
                cluster.cpu_seconds(), before, strict=True
            )
        ]
        leader = cluster.find_leader()
        outputs = await asyncio.gather(
            *(asyncio.to_thread(process.communicate) for process in started)
        )
    found = [json.loads(output) for output, _ in outputs]
    taken_ms = [value for part in found for value in part['taken_ms']]
    sent = sum(part['sent'] for part in found)
    failed = sum(part['failed'] for part in found)
    cuts = statistics.quantiles(taken_ms, n=100)
    followers = [spent[p] for p in range(voters) if p != leader]
    print(
        f'{count:3d} nodes, {voters} voters: {sent / SECONDS:5.0f} requests/s,'
        f' {len(taken_ms) / SECONDS:5.0f} claimed/s, {failed} failed;'
        f' claim ms p50 {cuts[49]:.1f} p95 {cuts[94]:.1f} p99 {cuts[98]:.1f};'
        f' % of a core: leader {spent[leader]:.0f},'
        f' followers {", ".join(f"{value:.0f}" for value in followers)};'
        f' a node {loads_spent_s / SECONDS / count * 1000:.1f} ms/s',
        flush=True,
    )


def _cpu_seconds(started: list[subprocess.Popen[str]]) -> float:
    times = [psutil.Process(process.pid).cpu_times() for process in started]
    return sum(item.user + item.system for item in times)


def _start_load(
    cluster: agreement.Cluster,
    place: int,
    count: int,
    loads: int,
    starts_s: float,
) -> subprocess.Popen[str]:
    first = count * place // loads
    share = count * (place + 1) // loads - first
    return subprocess.Popen(
        [
            sys.executable,
            '-m',
            'benchmarks.claiming',
            'load',
            str(first),
            str(share),
            str(starts_s),
            *cluster.addresses,
        ],
        stdout=subprocess.PIPE,
        text=True,
    )


if __name__ == '__main__':
    app()
