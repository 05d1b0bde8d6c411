"""Voters as real processes that are killed, frozen or wiped."""

import asyncio
import shutil
import signal
import sys
import time

import pytest

from benchmarks import voter_process
from filbertglade.control import failures
from filbertglade.control import identity
from filbertglade.control import submission
from filbertglade.inner import channels
from filbertglade.observability import metrics
from tests.control import cluster
from tests.control import test_submission

COUNT = 3
LIMIT_S = 30


class Voter:
    """One voter process, and the times at which it acted as leader."""

    def __init__(self, place, folder, addresses):
        self.name = f'voter-{place}'
        self.folder = folder / self.name
        self.addresses = addresses
        self.acted_s = []

    def found(self):
        settings = voter_process.make_settings(
            self.name, str(self.folder), self.addresses
        )
        assert identity.init_control(settings) is None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'benchmarks.voter_process',
            self.name,
            str(self.folder),
            *self.addresses,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.reading = asyncio.create_task(self._read())

    async def _read(self):
        async for line in self.process.stdout:
            self.acted_s.append(float(line))

    def acted_since(self, moment_s):
        return bool(self.acted_s) and self.acted_s[-1] > moment_s

    async def kill(self):
        self.process.kill()
        await self.process.wait()
        await self.reading


class Voters:
    def __init__(self, folder):
        ports = test_submission.find_ports(COUNT)
        self.addresses = [f'127.0.0.1:{port}' for port in ports]
        self.all = [
            Voter(place, folder, self.addresses) for place in range(COUNT)
        ]
        self.node = submission.RemoteSubmitter(
            voter_process.make_settings('node', '', self.addresses),
            channels.SocketChannels(),
            metrics.Metrics(),
        )
        self.number = 0

    async def leader(self, excluding=None):
        """Wait until a voter acts as leader after this call."""
        since_s = time.monotonic()
        async with asyncio.timeout(LIMIT_S):
            while True:
                for voter in self.all:
                    if voter is not excluding and voter.acted_since(since_s):
                        return voter
                await asyncio.sleep(0.01)

    async def change(self):
        """Commit the next configuration, retrying until it succeeds."""
        self.number += 1
        async with asyncio.timeout(LIMIT_S):
            while True:
                result = await self.node.submit(cluster.put(self.number), 2000)
                if not isinstance(result, failures.SubmitFailure):
                    break
        # A retried change gets the result of its first commit.
        assert result.configuration.verdict == 0
        assert result.configuration.number == self.number


@pytest.fixture
async def voters(tmp_path):
    group = Voters(tmp_path)
    for voter in group.all:
        voter.found()
        await voter.start()
    await group.leader()
    yield group
    await group.node.close()
    for voter in group.all:
        if voter.process.returncode is None:
            voter.process.send_signal(signal.SIGCONT)
            await voter.kill()


async def test_frozen_leader_does_not_act_when_thawed(voters):
    for _ in range(2):
        await voters.change()
        frozen = await voters.leader()
        frozen.process.send_signal(signal.SIGSTOP)
        other = await voters.leader(excluding=frozen)
        first_s = other.acted_s[-1]
        await voters.change()
        frozen.process.send_signal(signal.SIGCONT)
        await voters.change()
        # Its output since then shows that the thawed voter didn't act.
        await make_voter_essential(voters, frozen)
        late = [moment for moment in frozen.acted_s if moment > first_s]
        assert not late or min(late) > other.acted_s[-1]


async def make_voter_essential(voters, frozen):
    """Kill the third voter: commits then need the thawed one's vote."""
    leader = await voters.leader()
    (third,) = [voter for voter in voters.all if voter not in (leader, frozen)]
    await third.kill()
    await voters.change()
    await third.start()


async def test_kills_and_a_wiped_folder_lose_nothing(voters):
    for turn in range(4):
        await voters.change()
        leader = await voters.leader()
        follower = next(v for v in voters.all if v is not leader)
        victims = [[leader], [follower], [leader, follower], [follower]][turn]
        for victim in victims:
            await victim.kill()
        if turn == 3:
            shutil.rmtree(follower.folder)
        if len(victims) == 1:
            await voters.change()
        for victim in victims:
            await victim.start()
        await voters.change()
    assert voters.number == 11
