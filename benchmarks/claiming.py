"""Claims of many nodes: rate, latency and the voters' processor time.

Run as ``python -m benchmarks.claiming run`` from the repository's root. Each
simulated node has its own stream to a control host. It takes and finishes its
claims through the same batcher as a node process.
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
DURATION_S = 10
# Nodes start at random moments of the first half of the warm-up. Claims are
# counted from its end on.
WARM_UP_S = 5
REQUEST_S = 0.1
TIMEOUT_MS = claim_batcher.SUBMIT_TIMEOUT_MS

app = typer.Typer(add_completion=False)


class Node:
    """Takes and finishes claims as one node does."""

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
        self.latencies_ms: list[float] = []
        self.failed = 0
        self.sent = 0

    async def run(self, starts_s: float, ends_s: float) -> None:
        """Take claims at random moments until the end.

        :param starts_s: monotonic clock from which claims are counted.
        :param ends_s: monotonic clock from which no more claims are sent.
        """
        await asyncio.sleep(self._rng.random() * WARM_UP_S / 2)
        sequence = 0
        while time.monotonic() < ends_s:
            is_counted = time.monotonic() >= starts_s
            task = asyncio.create_task(self._request(sequence, is_counted))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)
            sequence += 1
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_S))
        if self._requests:
            await asyncio.wait(self._requests)
        await self._batcher.close()
        await self._commands.close()

    async def _request(self, sequence: int, is_counted: bool) -> None:
        key = self._number * 1_000_000 + sequence
        change = agreement.build_claim_batch(key, 1).claim_changes.changes[0]
        self.sent += is_counted
        started_s = time.perf_counter()
        result = await self._batcher.submit(change, TIMEOUT_MS)
        latency_s = time.perf_counter() - started_s
        if isinstance(result, failures.SubmitFailure):
            self.failed += is_counted
            return
        if is_counted:
            self.latencies_ms.append(latency_s * 1000)
        await asyncio.sleep(REQUEST_S)
        finished = commands_pb2.ClaimChange()
        finished.CopyFrom(change)
        finished.action = commands_pb2.ClaimChange.FINISH
        await self._batcher.submit(finished, TIMEOUT_MS)


@app.command()
def load(
    first: int, count: int, starts_s: float, addresses: list[str]
) -> None:
    """Run some nodes in this process and print their results as JSON.

    :param first: number of the first node.
    :param count: number of nodes.
    :param starts_s: monotonic clock from which claims are counted.
    :param addresses: the control hosts' inner addresses.
    """
    nodes = [Node(first + index, addresses) for index in range(count)]

    async def run_nodes() -> None:
        await asyncio.gather(
            *(node.run(starts_s, starts_s + DURATION_S) for node in nodes)
        )

    asyncio.run(run_nodes())
    reports = {
        'taken_ms': [value for node in nodes for value in node.latencies_ms],
        'failed': sum(node.failed for node in nodes),
        'sent': sum(node.sent for node in nodes),
    }
    print(json.dumps(reports))


@app.command()
def run(
    nodes: list[int] = NODES,
    voters: int = agreement.VOTERS,
    loads: int = 8,
) -> None:
    """Measure claims with each number of nodes.

    :param nodes: numbers of nodes, measured one after another.
    :param voters: number of control hosts.
    :param loads: number of processes that run the nodes.
    """
    for count in nodes:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(_measure(pathlib.Path(folder), count, voters, loads))


async def _measure(
    folder: pathlib.Path, count: int, voters: int, loads: int
) -> None:
    async with agreement.Cluster(folder, voters) as cluster:
        starts_s = time.monotonic() + WARM_UP_S
        processes = [
            _start_load(cluster, index, count, loads, starts_s)
            for index in range(loads)
        ]
        await asyncio.sleep(starts_s - time.monotonic())
        before = cluster.cpu_seconds()
        loads_before_s = _sum_cpu_seconds(processes)
        await asyncio.sleep(DURATION_S)
        loads_spent_s = _sum_cpu_seconds(processes) - loads_before_s
        core_percents = [
            (after - earlier) / DURATION_S * 100
            for after, earlier in zip(
                cluster.cpu_seconds(), before, strict=True
            )
        ]
        leader = cluster.find_leader()
        outputs = await asyncio.gather(
            *(asyncio.to_thread(process.communicate) for process in processes)
        )
    reports = [json.loads(output) for output, _ in outputs]
    latencies_ms = [
        value for report in reports for value in report['taken_ms']
    ]
    sent = sum(report['sent'] for report in reports)
    failed = sum(report['failed'] for report in reports)
    cuts = statistics.quantiles(latencies_ms, n=100)
    followers = [
        core_percents[index] for index in range(voters) if index != leader
    ]
    print(
        f'{count:3d} nodes, {voters} voters:'
        f' {sent / DURATION_S:5.0f} requests/s,'
        f' {len(latencies_ms) / DURATION_S:5.0f} claimed/s, {failed} failed;'
        f' claim ms p50 {cuts[49]:.1f} p95 {cuts[94]:.1f} p99 {cuts[98]:.1f};'
        f' % of a core: leader {core_percents[leader]:.0f},'
        f' followers {", ".join(f"{value:.0f}" for value in followers)};'
        f' a node {loads_spent_s / DURATION_S / count * 1000:.1f} ms/s',
        flush=True,
    )


def _sum_cpu_seconds(processes: list[subprocess.Popen[str]]) -> float:
    times = [psutil.Process(process.pid).cpu_times() for process in processes]
    return sum(item.user + item.system for item in times)


def _start_load(
    cluster: agreement.Cluster,
    index: int,
    count: int,
    loads: int,
    starts_s: float,
) -> subprocess.Popen[str]:
    first = count * index // loads
    node_count = count * (index + 1) // loads - first
    return subprocess.Popen(
        [
            sys.executable,
            '-m',
            'benchmarks.claiming',
            'load',
            str(first),
            str(node_count),
            str(starts_s),
            *cluster.addresses,
        ],
        stdout=subprocess.PIPE,
        text=True,
    )


if __name__ == '__main__':
    app()
