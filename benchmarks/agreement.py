"""Cost of the replicated log.

Run as ``python -m benchmarks.agreement [PART...]`` from the repository's
root; without parts it measures all: commits, claims, kills, log, snapshots.
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
OUTSTANDING = 64
KILLS = 20
LOG_LENGTHS = (1_000, 10_000, 100_000)
LOG_BATCH = 100
CLAIM_COUNTS = (10_000, 100_000, 1_000_000)
KEPT_MS = 3_600_000
TIMEOUT_MS = 5000


class Cluster:
    """Voters as processes, and a node that submits to them."""

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
        for place in range(len(self.addresses)):
            settings = voter_process.make_settings(
                f'voter-{place}',
                str(self._folder / str(place)),
                self.addresses,
            )
            assert identity.init_control(settings) is None
            self._processes.append(self._spawn(place))
        await self.submit(put(1))
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.node.close()
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            process.wait()

    def _spawn(self, place: int) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [
                sys.executable,
                '-m',
                'benchmarks.voter_process',
                f'voter-{place}',
                str(self._folder / str(place)),
                *self.addresses,
            ],
            stdout=open(self._folder / f'acting-{place}', 'ab'),
            stderr=subprocess.DEVNULL,
        )

    async def submit(
        self, command: commands_pb2.Command
    ) -> commands_pb2.CommandResult:
        """Submit until the command is committed."""
        while True:
            result = await self.node.submit(command, TIMEOUT_MS)
            if not isinstance(result, failures.SubmitFailure):
                return result

    def find_leader(self) -> int:
        """Return the place of the voter that acted last."""
        lines = [
            (self._folder / f'acting-{place}').read_bytes().split(b'\n')
            for place in range(len(self.addresses))
        ]
        last = [float(line[-2]) if len(line) > 1 else 0.0 for line in lines]
        return last.index(max(last))

    def cpu_seconds(self) -> list[float]:
        """Return each voter's processor time so far."""
        times = [
            psutil.Process(process.pid).cpu_times()
            for process in self._processes
        ]
        return [item.user + item.system for item in times]

    def kill(self, place: int) -> None:
        """Kill a voter with signal 9."""
        self._processes[place].send_signal(signal.SIGKILL)
        self._processes[place].wait()

    def restart(self, place: int) -> None:
        """Start a killed voter again."""
        self._processes[place] = self._spawn(place)


def put(number: int) -> commands_pb2.Command:
    """Return a small configuration change."""
    return commands_pb2.Command(
        put_configuration=commands_pb2.PutConfiguration(
            number=number,
            change_id=f'change-{number}',
            document=b'x' * 1000,
            digest=f'{number:064x}',
        )
    )


def claim(first: int, count: int) -> commands_pb2.Command:
    """Return a batch of claims as a node would take them."""
    changes = [
        commands_pb2.ClaimChange(
            customer=f'customer-{place % 100}',
            key=f'{place:036d}',
            body_digest=b'd' * 32,
            attempt=f'{place % 380:016x}-{place}',
            owner=f'node-{place % 380}',
            owner_address=f'10.0.{place % 250}.1:8082',
            kept_ms=KEPT_MS,
        )
        for place in range(first, first + count)
    ]
    return commands_pb2.Command(
        claim_changes=commands_pb2.ClaimChanges(changes=changes)
    )


async def measure_commits(folder: pathlib.Path) -> None:
    """Measure one commit at a time."""
    async with Cluster(folder) as cluster:
        await asyncio.sleep(1)
        idle_before = cluster.cpu_seconds()
        await asyncio.sleep(3)
        idle = cluster.cpu_seconds()
        taken_ms = []
        for number in range(2, COMMITS + 2):
            started_s = time.perf_counter()
            await cluster.submit(put(number))
            taken_ms.append((time.perf_counter() - started_s) * 1000)
        elapsed_s = sum(taken_ms) / 1000
        after = cluster.cpu_seconds()
        leader = cluster.find_leader()
        cuts = statistics.quantiles(taken_ms, n=100)
        print(f'commits, one at a time, {VOTERS} voters: {COMMITS}')
        print(f'  latency ms: p50 {cuts[49]:.2f} p99 {cuts[98]:.2f}')
        for place in range(VOTERS):
            rate = (idle[place] - idle_before[place]) / 3
            busy = after[place] - idle[place] - rate * elapsed_s
            role = 'leader' if place == leader else 'follower'
            print(
                f'  {role}: idle {rate * 100:.1f}% of a core,'
                f' {busy / COMMITS * 1e6:.0f} us a commit'
            )


async def measure_claims(folder: pathlib.Path) -> None:
    """Measure claims in batches, many commands at a time."""
    print(f'claims, {OUTSTANDING} commands at a time, {VOTERS} voters')
    for batch in CLAIM_BATCHES:
        place = folder / str(batch)
        place.mkdir()
        async with Cluster(place) as cluster:
            await _measure_claim_batch(cluster, batch)


async def _measure_claim_batch(cluster: Cluster, batch: int) -> None:
    before = cluster.cpu_seconds()
    taken_ms: list[float] = []
    end_s = time.perf_counter() + CLAIM_SECONDS
    position = 0

    async def work() -> None:
        nonlocal position
        while time.perf_counter() < end_s:
            command = claim(position, batch)
            position += batch
            started_s = time.perf_counter()
            await cluster.submit(command)
            taken_ms.append((time.perf_counter() - started_s) * 1000)

    await asyncio.gather(*(work() for _ in range(OUTSTANDING)))
    spent = [
        after - earlier
        for after, earlier in zip(cluster.cpu_seconds(), before, strict=True)
    ]
    leader = cluster.find_leader()
    cuts = statistics.quantiles(taken_ms, n=100)
    commands = len(taken_ms)
    followers = [spent[p] for p in range(VOTERS) if p != leader]
    print(
        f'  {batch:3d} a command: {commands / CLAIM_SECONDS:6.0f} commands/s'
        f' {commands * batch / CLAIM_SECONDS:7.0f} claims/s;'
        f' latency ms p50 {cuts[49]:.1f} p99 {cuts[98]:.1f};'
        f' us a command: leader {spent[leader] / commands * 1e6:.0f},'
        f' follower {statistics.mean(followers) / commands * 1e6:.0f}'
    )


async def measure_kills(folder: pathlib.Path) -> None:
    """Measure the time without commits after the leader is killed."""
    async with Cluster(folder) as cluster:
        gaps_ms = []
        number = 1
        for _ in range(KILLS):
            number += 1
            await cluster.submit(put(number))
            leader = cluster.find_leader()
            cluster.kill(leader)
            killed_s = time.perf_counter()
            number += 1
            await cluster.submit(put(number))
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
    """Measure the log's size and its reading at a start."""
    print('log: records of 10 claims each, 100 records a sync')
    for length in LOG_LENGTHS:
        place = folder / str(length)
        opened = file_storage.FileStorage(place)
        await opened.open('voter-0')
        await opened.save_vote(store.Vote(1, 'voter-0'))
        data = claim(0, 10).SerializeToString()
        started_s = time.perf_counter()
        for first in range(1, length + 1, LOG_BATCH):
            entries = [
                agreement_pb2.LogEntry(index=index, term=1, command=data)
                for index in range(first, first + LOG_BATCH)
            ]
            await opened.append(entries, first - 1)
        written_s = time.perf_counter() - started_s
        await opened.close()
        size = sum(path.stat().st_size for path in place.glob('log-*'))
        again = file_storage.FileStorage(place)
        started_s = time.perf_counter()
        stored = await again.open('voter-0')
        read_s = time.perf_counter() - started_s
        assert isinstance(stored, store.StoredState)
        assert len(stored.entries) == length
        await again.close()
        print(
            f'  {length:6d} records: {size / 1e6:6.1f} MB,'
            f' written in {written_s:.2f} s, read in {read_s:.2f} s'
        )


async def measure_snapshots(folder: pathlib.Path) -> None:
    """Measure claims in memory, and their snapshots."""
    print('snapshots, and claims in memory')
    for count in CLAIM_COUNTS:
        before = _resident_bytes()
        agreed = state.AgreedState()
        for index, first in enumerate(range(0, count, 1000)):
            agreed.apply(index + 1, claim(first, 1000))
        held = _resident_bytes() - before
        opened = file_storage.FileStorage(folder / str(count))
        await opened.open('voter-0')
        gaps = _LoopGaps()
        started_s = time.perf_counter()
        chunks = agreed.dump()
        frozen_ms = (time.perf_counter() - started_s) * 1000
        size = await _write_snapshot(opened, chunks)
        taken_s = time.perf_counter() - started_s
        longest_ms = await gaps.stop()
        started_s = time.perf_counter()
        loaded = state.AgreedState()
        reader = await opened.read_snapshot()
        assert isinstance(reader, store.SnapshotReader)
        while chunk := await reader.read():
            assert isinstance(chunk, bytes)
            loaded.load_chunk(chunk)
        loaded_s = time.perf_counter() - started_s
        assert len(loaded.claims) == count
        await opened.close()
        print(
            f'  {count:7d} claims: {held / count:4.0f} bytes a claim in'
            f' memory, {size / 1e6:6.1f} MB; frozen in {frozen_ms:.1f} ms,'
            f' written in {taken_s:.2f} s, loop held up at most'
            f' {longest_ms:.0f} ms; loaded in {loaded_s:.2f} s'
        )


async def _write_snapshot(
    opened: file_storage.FileStorage, chunks: abc.Iterator[bytes]
) -> int:
    writer = await opened.begin_snapshot(store.SnapshotPoint(1, 1))
    assert isinstance(writer, store.SnapshotWriter)
    size = 0
    for chunk in chunks:
        size += len(chunk)
        await writer.write(chunk)
    await writer.commit()
    return size


class _LoopGaps:
    """Watches for how long the loop is held up."""

    def __init__(self) -> None:
        self._longest_s = 0.0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            started_s = time.perf_counter()
            await asyncio.sleep(0)
            gap_s = time.perf_counter() - started_s
            self._longest_s = max(self._longest_s, gap_s)

    async def stop(self) -> float:
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
