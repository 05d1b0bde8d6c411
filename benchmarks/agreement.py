"""Cost of the replicated log.

Run as ``python -m benchmarks.agreement [PART...]`` from the repository's
root. The parts are commits, claims, kills, log and snapshots; without
arguments all of them are measured.
"""

import asyncio
from collections import abc
import pathlib
import resource
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time

import psutil

from benchmarks import voter_process
from filbertglade.control import failures
from filbertglade.control import file_storage
from filbertglade.control import identity
from filbertglade.control import state
from filbertglade.control import store
from filbertglade.control import submission
from filbertglade.inner import agreement_pb2
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.observability import metrics

VOTERS = 3
COMMITS = 500
CLAIM_SECONDS = 5
CLAIM_BATCHES = (1, 10, 50)
COMMANDS_IN_FLIGHT = 64
KILLS = 20
LOG_LENGTHS = (1_000, 10_000, 100_000)
LOG_BATCH = 100
CLAIM_COUNTS = (10_000, 100_000, 1_000_000)
CLAIM_RETENTION_MS = 3_600_000
TIMEOUT_MS = 5000


class Cluster:
    """Voters in processes of their own, and a node that submits to them."""

    def __init__(self, folder: pathlib.Path, voters: int = VOTERS) -> None:
        self._folder = folder
        listeners = [
            socket.create_server(('127.0.0.1', 0)) for _ in range(voters)
        ]
        ports = [listener.getsockname()[1] for listener in listeners]
        for listener in listeners:
            listener.close()
        self.addresses = [f'127.0.0.1:{port}' for port in ports]
        self._processes: list[subprocess.Popen[bytes]] = []
        self.node = submission.RemoteSubmitter(
            voter_process.make_settings('node', '', self.addresses),
            channels.SocketChannels(),
            metrics.Metrics(),
        )

    async def __aenter__(self) -> 'Cluster':
        for index in range(len(self.addresses)):
            settings = voter_process.make_settings(
                f'voter-{index}',
                str(self._folder / str(index)),
                self.addresses,
            )
            assert identity.init_control(settings) is None
            self._processes.append(self._spawn(index))
        await self.submit(build_configuration_change(1))
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.node.close()
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            process.wait()

    def _spawn(self, index: int) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [
                sys.executable,
                '-m',
                'benchmarks.voter_process',
                f'voter-{index}',
                str(self._folder / str(index)),
                *self.addresses,
            ],
            stdout=open(self._folder / f'acting-{index}', 'ab'),
            stderr=subprocess.DEVNULL,
        )

    async def submit(
        self, command: commands_pb2.Command
    ) -> commands_pb2.CommandResult:
        """Submit a command, with retries, until it is committed."""
        while True:
            result = await self.node.submit(command, TIMEOUT_MS)
            if not isinstance(result, failures.SubmitFailure):
                return result

    def find_leader(self) -> int:
        """Return the index of the voter that was leader most recently."""
        lines = [
            (self._folder / f'acting-{index}').read_bytes().split(b'\n')
            for index in range(len(self.addresses))
        ]
        last = [float(line[-2]) if len(line) > 1 else 0.0 for line in lines]
        return last.index(max(last))

    def cpu_seconds(self) -> list[float]:
        """Return each voter's processor time since its start, in seconds."""
        times = [
            psutil.Process(process.pid).cpu_times()
            for process in self._processes
        ]
        return [item.user + item.system for item in times]

    def kill(self, index: int) -> None:
        """Kill a voter with SIGKILL."""
        self._processes[index].send_signal(signal.SIGKILL)
        self._processes[index].wait()

    def restart(self, index: int) -> None:
        """Start a killed voter again."""
        self._processes[index] = self._spawn(index)


def build_configuration_change(number: int) -> commands_pb2.Command:
    """Return a command that puts a document of 1000 bytes in force."""
    return commands_pb2.Command(
        put_configuration=commands_pb2.PutConfiguration(
            number=number,
            change_id=f'change-{number}',
            document=b'x' * 1000,
            digest=f'{number:064x}',
        )
    )


def build_claim_batch(first: int, count: int) -> commands_pb2.Command:
    """Return a command with a batch of claims, as a node sends it.

    :param first: number of the first claim.
    :param count: number of claims.
    """
    changes = [
        commands_pb2.ClaimChange(
            customer=f'customer-{number % 100}',
            key=f'{number:036d}',
            body_digest=b'd' * 32,
            attempt=f'{number % 380:016x}-{number}',
            owner=f'node-{number % 380}',
            owner_address=f'10.0.{number % 250}.1:8082',
            kept_ms=CLAIM_RETENTION_MS,
        )
        for number in range(first, first + count)
    ]
    return commands_pb2.Command(
        claim_changes=commands_pb2.ClaimChanges(changes=changes)
    )


async def measure_commits(folder: pathlib.Path) -> None:
    """Measure latency and processor time of sequential commits."""
    async with Cluster(folder) as cluster:
        await asyncio.sleep(1)
        idle_before = cluster.cpu_seconds()
        await asyncio.sleep(3)
        idle_after = cluster.cpu_seconds()
        latencies_ms = []
        for number in range(2, COMMITS + 2):
            started_s = time.perf_counter()
            await cluster.submit(build_configuration_change(number))
            latencies_ms.append((time.perf_counter() - started_s) * 1000)
        elapsed_s = sum(latencies_ms) / 1000
        after = cluster.cpu_seconds()
        leader = cluster.find_leader()
        cuts = statistics.quantiles(latencies_ms, n=100)
        print(f'commits, one at a time, {VOTERS} voters: {COMMITS}')
        print(f'  latency ms: p50 {cuts[49]:.2f} p99 {cuts[98]:.2f}')
        for index in range(VOTERS):
            idle_fraction = (idle_after[index] - idle_before[index]) / 3
            busy_s = (
                after[index] - idle_after[index] - idle_fraction * elapsed_s
            )
            role = 'leader' if index == leader else 'follower'
            print(
                f'  {role}: idle {idle_fraction * 100:.1f}% of a core,'
                f' {busy_s / COMMITS * 1e6:.0f} us a commit'
            )


async def measure_claims(folder: pathlib.Path) -> None:
    """Measure claims in batches, with many commands in flight."""
    print(f'claims, {COMMANDS_IN_FLIGHT} commands at a time, {VOTERS} voters')
    for batch in CLAIM_BATCHES:
        batch_folder = folder / str(batch)
        batch_folder.mkdir()
        async with Cluster(batch_folder) as cluster:
            await _measure_claim_batch(cluster, batch)


async def _measure_claim_batch(cluster: Cluster, batch: int) -> None:
    before = cluster.cpu_seconds()
    latencies_ms: list[float] = []
    end_s = time.perf_counter() + CLAIM_SECONDS
    next_claim = 0

    async def work() -> None:
        nonlocal next_claim
        while time.perf_counter() < end_s:
            command = build_claim_batch(next_claim, batch)
            next_claim += batch
            started_s = time.perf_counter()
            await cluster.submit(command)
            latencies_ms.append((time.perf_counter() - started_s) * 1000)

    await asyncio.gather(*(work() for _ in range(COMMANDS_IN_FLIGHT)))
    spent_s = [
        after - earlier
        for after, earlier in zip(cluster.cpu_seconds(), before, strict=True)
    ]
    leader = cluster.find_leader()
    cuts = statistics.quantiles(latencies_ms, n=100)
    commands = len(latencies_ms)
    followers = [spent_s[index] for index in range(VOTERS) if index != leader]
    print(
        f'  {batch:3d} a command: {commands / CLAIM_SECONDS:6.0f} commands/s'
        f' {commands * batch / CLAIM_SECONDS:7.0f} claims/s;'
        f' latency ms p50 {cuts[49]:.1f} p99 {cuts[98]:.1f};'
        f' us a command: leader {spent_s[leader] / commands * 1e6:.0f},'
        f' follower {statistics.mean(followers) / commands * 1e6:.0f}'
    )


async def measure_kills(folder: pathlib.Path) -> None:
    """Measure the time from a kill of the leader to the next commit."""
    async with Cluster(folder) as cluster:
        gaps_ms = []
        number = 1
        for _ in range(KILLS):
            number += 1
            await cluster.submit(build_configuration_change(number))
            leader = cluster.find_leader()
            cluster.kill(leader)
            killed_s = time.perf_counter()
            number += 1
            await cluster.submit(build_configuration_change(number))
            gaps_ms.append((time.perf_counter() - killed_s) * 1000)
            cluster.restart(leader)
            await asyncio.sleep(2)
        gaps_ms.sort()
        print(f'leader killed {KILLS} times: time to the next commit, ms')
        print(
            f'  min {gaps_ms[0]:.0f} median {statistics.median(gaps_ms):.0f}'
            f' max {gaps_ms[-1]:.0f}'
        )


async def measure_log(folder: pathlib.Path) -> None:
    """Measure the log's size, and the time to write it and to read it."""
    print('log: records of 10 claims each, 100 records a sync')
    for length in LOG_LENGTHS:
        log_folder = folder / str(length)
        storage = file_storage.FileStorage(log_folder)
        await storage.open('voter-0')
        await storage.save_vote(store.Vote(1, 'voter-0'))
        data = build_claim_batch(0, 10).SerializeToString()
        started_s = time.perf_counter()
        for first in range(1, length + 1, LOG_BATCH):
            entries = [
                agreement_pb2.LogEntry(index=index, term=1, command=data)
                for index in range(first, first + LOG_BATCH)
            ]
            await storage.append(entries, first - 1)
        written_s = time.perf_counter() - started_s
        await storage.close()
        size = sum(path.stat().st_size for path in log_folder.glob('log-*'))
        reopened = file_storage.FileStorage(log_folder)
        started_s = time.perf_counter()
        stored = await reopened.open('voter-0')
        read_s = time.perf_counter() - started_s
        assert isinstance(stored, store.StoredState)
        assert len(stored.entries) == length
        await reopened.close()
        print(
            f'  {length:6d} records: {size / 1e6:6.1f} MB,'
            f' written in {written_s:.2f} s, read in {read_s:.2f} s'
        )


async def measure_snapshots(folder: pathlib.Path) -> None:
    """Measure memory of claims, and writing and loading of snapshots."""
    print('snapshots, and claims in memory')
    for count in CLAIM_COUNTS:
        before = _resident_bytes()
        agreed = state.AgreedState()
        for index, first in enumerate(range(0, count, 1000)):
            agreed.apply(index + 1, build_claim_batch(first, 1000))
        used_bytes = _resident_bytes() - before
        storage = file_storage.FileStorage(folder / str(count))
        await storage.open('voter-0')
        monitor = _LoopDelayMonitor()
        started_s = time.perf_counter()
        chunks = agreed.dump()
        dump_ms = (time.perf_counter() - started_s) * 1000
        size = await _write_snapshot(storage, chunks)
        written_s = time.perf_counter() - started_s
        longest_ms = await monitor.stop()
        started_s = time.perf_counter()
        loaded = state.AgreedState()
        reader = await storage.read_snapshot()
        assert isinstance(reader, store.SnapshotReader)
        while chunk := await reader.read():
            assert isinstance(chunk, bytes)
            loaded.load_chunk(chunk)
        loaded_s = time.perf_counter() - started_s
        assert len(loaded.claims) == count
        await storage.close()
        print(
            f'  {count:7d} claims: {used_bytes / count:4.0f} bytes a claim in'
            f' memory, {size / 1e6:6.1f} MB; frozen in {dump_ms:.1f} ms,'
            f' written in {written_s:.2f} s, loop held up at most'
            f' {longest_ms:.0f} ms; loaded in {loaded_s:.2f} s'
        )


async def _write_snapshot(
    storage: file_storage.FileStorage, chunks: abc.Iterator[bytes]
) -> int:
    writer = await storage.begin_snapshot(store.SnapshotPoint(1, 1))
    assert isinstance(writer, store.SnapshotWriter)
    size = 0
    for chunk in chunks:
        size += len(chunk)
        await writer.write(chunk)
    await writer.commit()
    return size


class _LoopDelayMonitor:
    """Measures the longest time for which the event loop is blocked."""

    def __init__(self) -> None:
        self._longest_s = 0.0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            started_s = time.perf_counter()
            await asyncio.sleep(0)
            delay_s = time.perf_counter() - started_s
            self._longest_s = max(self._longest_s, delay_s)

    async def stop(self) -> float:
        """Stop measuring and return the longest delay, in ms."""
        self._task.cancel()
        await asyncio.wait([self._task])
        return self._longest_s * 1000


def _resident_bytes() -> int:
    return int(psutil.Process().memory_info().rss)


PARTS = {
    'commits': measure_commits,
    'claims': measure_claims,
    'kills': measure_kills,
    'log': measure_log,
    'snapshots': measure_snapshots,
}


def main() -> None:
    """Measure the parts named on the command line, or all."""
    for part in sys.argv[1:] or list(PARTS):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(PARTS[part](pathlib.Path(folder)))
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f'peak memory of this process: {peak:.0f} MiB')


if __name__ == '__main__':
    main()
