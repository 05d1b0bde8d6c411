"""Large entries and snapshots over links of a bounded rate."""

import asyncio

import pytest

from filbertglade.control import failures
from filbertglade.control import snapshots
from filbertglade.inner import commands_pb2
from tests.control import cluster
from tests.control import memory_storage

# The time-outs of gateways.
TIMINGS = {'election_ms': 700, 'heartbeat_ms': 120, 'lease_ms': 600}
# A transfer may take this much longer than the link needs for its bytes.
OVERHEAD = 1.5
MEGABYTE = 1_000_000


class Watch:
    """Watches that a leader leads on and that the others hear it.

    :ivar silences_ms: the longest silence that each other voter observed.
    """

    def __init__(self, group, leader):
        self.group = group
        self.leader = leader
        self.term = leader.agreement.status().term
        self.silences_ms = {}
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        while True:
            for node in self.group.up:
                age_ms = node.agreement.leader_age_ms()
                if age_ms is not None and node is not self.leader:
                    self.silences_ms[node.name] = max(
                        age_ms, self.silences_ms.get(node.name, 0)
                    )
            await asyncio.sleep(0.01)

    def check(self, spared=None):
        self._task.cancel()
        self.group.check()
        assert self.group.acting_leaders == [self.leader]
        assert self.leader.agreement.status().term == self.term
        assert self.leader.acting_log == [True]
        if spared is not None:
            self.silences_ms.pop(spared.name)
        election_ms = TIMINGS['election_ms']
        assert max(self.silences_ms.values()) < election_ms, self.silences_ms


async def lead(group):
    """Return the leader of a settled cluster."""
    leader = await group.leader()
    await group.catch_up()
    await group.pass_time(2)
    return leader


def now_s():
    return asyncio.get_running_loop().time()


async def submit(node, number, size, limit_s):
    command = cluster.put(number, size=size)
    return await cluster.submit(node, command, int(limit_s * 1000))


# A leader's heartbeats waited behind a large entry: it lost its lease.
@pytest.mark.parametrize(
    ('count', 'size', 'rate'),
    [
        (3, 16 * MEGABYTE, 2 * MEGABYTE),
        (5, 2 * MEGABYTE, 8 * MEGABYTE // 3),
        (5, MEGABYTE, MEGABYTE // 5),
        (7, 2 * MEGABYTE, MEGABYTE),
    ],
)
def test_leader_sends_a_large_entry_over_a_slow_link(count, size, rate):
    async def scenario():
        async with cluster.Cluster(count, **TIMINGS) as group:
            leader = await lead(group)
            group.network.limit_rate(leader.name, rate)
            watch = Watch(group, leader)
            started_s = now_s()
            limit_s = OVERHEAD * size * (count - 1) / rate
            large = asyncio.create_task(submit(leader, 1, size, limit_s))
            await asyncio.sleep(0.1)
            # The log's order makes it wait for the large one.
            await submit(leader, 2, 10, limit_s)
            await large
            assert now_s() - started_s < limit_s
            await group.catch_up()
            assert now_s() - started_s < limit_s
            watch.check()

    cluster.run(scenario())


# Commands waited seconds for the replies to requests full of earlier ones.
def test_many_entries_do_not_fill_a_slow_link():
    async def scenario():
        async with cluster.Cluster(5, **TIMINGS) as group:
            leader = await lead(group)
            rate = MEGABYTE
            group.network.limit_rate(leader.name, rate)
            watch = Watch(group, leader)
            limit_s = OVERHEAD * 4 * 2 * MEGABYTE / rate
            started_s = now_s()
            work = [
                asyncio.create_task(
                    submit(leader, number, 20_000, limit_s + 1)
                )
                for number in range(1, 101)
            ]
            await asyncio.gather(*work)
            assert now_s() - started_s < limit_s
            watch.check()

    cluster.run(scenario())


# Bulk of other connections took the leader's link from its heartbeats.
def test_leader_sends_a_large_entry_beside_bulk():
    async def scenario():
        async with cluster.Cluster(5, **TIMINGS) as group:
            leader = await lead(group)
            rate = 21_250_000
            group.network.limit_rate(leader.name, rate)
            size = 500_000
            watch = Watch(group, leader)
            group.network.add_load(leader.name, 85, 4 * MEGABYTE)
            # Each connection gets the same share of the link.
            limit_s = OVERHEAD * size * (85 + 4) / rate
            await submit(leader, 1, size, limit_s)
            watch.check()

    cluster.run(scenario())


# A voter with a slow link got one attempt at a large entry after another.
def test_slow_voter_receives_a_large_entry_and_disturbs_nobody():
    async def scenario():
        async with cluster.Cluster(5, **TIMINGS) as group:
            leader = await lead(group)
            slow = (await group.followers())[0]
            rate = 50_000
            group.network.limit_rate(slow.name, rate)
            watch = Watch(group, leader)
            started_s = now_s()
            await submit(leader, 1, MEGABYTE, 1)
            for number in range(2, 20):
                await submit(leader, number, 10, 1)
            await group.wait_until(
                lambda: slow.state.configuration.current.number == 19,
                limit_s=OVERHEAD * MEGABYTE / rate,
            )
            assert now_s() - started_s > MEGABYTE / rate
            watch.check()

    cluster.run(scenario())


# Replies that had to pass a queue were late, and the transfer began again.
def test_transfer_goes_on_when_the_link_becomes_slower():
    async def scenario():
        async with cluster.Cluster(5, **TIMINGS) as group:
            leader = await lead(group)
            slow = (await group.followers())[0]
            group.network.limit_rate(slow.name, 2 * MEGABYTE)
            watch = Watch(group, leader)
            await submit(leader, 1, 2 * MEGABYTE, 2)
            await group.pass_time(0.3)
            rate = 60_000
            group.network.limit_rate(slow.name, rate)
            await group.wait_until(
                lambda: slow.state.configuration.current.number == 1,
                limit_s=OVERHEAD * 2 * MEGABYTE / rate,
            )
            breaks = leader.counters.counter(
                'agreement_stream_breaks', peer=slow.name
            )
            assert not breaks
            watch.check(spared=slow)

    cluster.run(scenario())


# The log lost a batch in transfer, or what follows: a snapshot was sent too.
@pytest.mark.parametrize('is_log_full', [False, True])
def test_compaction_does_not_end_a_transfer(is_log_full, monkeypatch):
    if is_log_full:
        monkeypatch.setattr(snapshots, 'TRANSFER_LIMIT_BYTES', 0)

    async def scenario():
        async with cluster.Cluster(5, snapshot_entries=20, **TIMINGS) as group:
            leader = await lead(group)
            slow = (await group.followers())[0]
            rate = 50_000
            group.network.limit_rate(slow.name, rate)
            watch = Watch(group, leader)
            end_s = now_s() + OVERHEAD * MEGABYTE / rate
            await submit(leader, 1, MEGABYTE, 2)
            await group.pass_time(10)
            for number in range(100):
                await cluster.submit(leader, make_claim(number), 1000)
            status = leader.agreement.status()
            assert status.snapshot_index > 50
            assert (status.first_index > 50) == is_log_full
            await group.wait_until(
                lambda: slow.agreement.status().last_index > 3,
                limit_s=end_s - now_s(),
            )
            if not is_log_full:
                await group.wait_until(
                    lambda: slow.state.applied_index > 100,
                    limit_s=end_s - now_s(),
                )
            await group.catch_up()
            # Afterwards the records aren't needed any more.
            for number in range(100, 200):
                await cluster.submit(leader, make_claim(number), 1000)
            assert leader.agreement.status().first_index > 100
            watch.check()

    cluster.run(scenario())


# A transfer that took longer than the time-out of a request began again.
def test_large_entry_gets_through_after_a_break():
    async def scenario():
        async with cluster.Cluster(3, **TIMINGS) as group:
            leader = await lead(group)
            rate = MEGABYTE
            size = 4 * MEGABYTE
            group.network.limit_rate(leader.name, rate)
            watch = Watch(group, leader)
            limit_s = OVERHEAD * 2 * size / rate
            large = asyncio.create_task(submit(leader, 1, size, 3 * limit_s))
            await group.pass_time(3)
            for other in await group.followers():
                group.network.reset(other.name)
            started_s = now_s()
            await large
            assert now_s() - started_s < limit_s
            watch.check()

    cluster.run(scenario())


# Large chunks of a snapshot held up heartbeats and began again.
@pytest.mark.parametrize('slow_end', ['leader', 'learner'])
@pytest.mark.parametrize(
    ('size', 'rate'), [(8 * MEGABYTE, MEGABYTE), (MEGABYTE, 60_000)]
)
def test_empty_voter_receives_a_large_snapshot(slow_end, size, rate):
    async def scenario():
        async with cluster.Cluster(5, snapshot_entries=8, **TIMINGS) as group:
            leader = await lead(group)
            await submit(leader, 1, size, 60)
            for number in range(100):
                await cluster.submit(leader, make_claim(number), 1000)
            # The document is in the snapshot and no longer in the log.
            assert leader.agreement.status().first_index > 40
            empty = (await group.followers())[0]
            await empty.stop()
            empty.disk.wipe()
            ends = {'leader': leader, 'learner': empty}
            group.network.limit_rate(ends[slow_end].name, rate)
            watch = Watch(group, leader)
            await empty.start()
            await group.wait_until(
                lambda: empty.agreement.status().role == 'follower',
                limit_s=OVERHEAD * size / rate,
            )
            await cluster.submit(leader, make_claim(100), 1000)
            await group.catch_up()
            assert empty.state.configuration.current.number == 1
            watch.check()

    cluster.run(scenario())


# Chunks that waited for a slow disk took the connection from heartbeats.
def test_snapshot_for_a_slow_disk_leaves_room_for_heartbeats(monkeypatch):
    async def write_slowly(writer, chunk):
        await asyncio.sleep(3)
        writer._chunks.append(chunk)

    async def scenario():
        async with cluster.Cluster(5, snapshot_entries=8, **TIMINGS) as group:
            leader = await lead(group)
            size = 8 * MEGABYTE
            await submit(leader, 1, size, 60)
            document = commands_pb2.PutDocument(version=1, text=b'x' * size)
            await cluster.submit(
                leader, commands_pb2.Command(put_document=document), 60_000
            )
            for number in range(100):
                await cluster.submit(leader, make_claim(number), 1000)
            empty = (await group.followers())[0]
            await empty.stop()
            empty.disk.wipe()
            monkeypatch.setattr(memory_storage._Writer, 'write', write_slowly)
            watch = Watch(group, leader)
            await empty.start()
            await group.wait_until(
                lambda: empty.agreement.status().role == 'follower'
            )
            breaks = leader.counters.counter(
                'agreement_snapshot_breaks'
            ) + leader.counters.counter(
                'agreement_stream_breaks', peer=empty.name
            )
            # The stream to the process that was stopped.
            assert breaks == 1
            watch.check()

    cluster.run(scenario())


# A document that took longer to forward than a connection may take to open
# was lost, and with it the other commands of the stream.
def test_follower_forwards_a_large_command_over_a_slow_link():
    async def scenario():
        async with cluster.Cluster(3, **TIMINGS) as group:
            leader = await lead(group)
            follower = (await group.followers())[0]
            rate = MEGABYTE
            size = 4 * MEGABYTE
            group.network.limit_rate(follower.name, rate)
            watch = Watch(group, leader)
            started_s = now_s()
            limit_s = OVERHEAD * size / rate
            large = asyncio.create_task(submit(follower, 1, size, limit_s))
            await asyncio.sleep(0.1)
            for number in range(10):
                await cluster.submit(follower, make_claim(number), 300)
            assert now_s() - started_s < size / rate
            await large
            watch.check()

    cluster.run(scenario())


# A stream that was closed left the connections of large commands open.
def test_closing_a_stream_ends_its_large_commands():
    async def scenario():
        async with cluster.Cluster(3, **TIMINGS) as group:
            await lead(group)
            follower = (await group.followers())[0]
            group.network.limit_rate(follower.name, MEGABYTE)
            command = cluster.put(1, size=4 * MEGABYTE)
            work = asyncio.create_task(follower.local.submit(command, 9000))
            await asyncio.sleep(1)
            await follower.local.close()
            async with asyncio.timeout(0.1):
                result = await work
            assert isinstance(result, failures.SubmitFailure)
            assert result.may_have_applied

    cluster.run(scenario())


def make_claim(number):
    change = commands_pb2.ClaimChange(
        customer='customer',
        key=f'key-{number}',
        attempt=f'attempt-{number}',
        kept_ms=10**9,
    )
    return commands_pb2.Command(
        claim_changes=commands_pb2.ClaimChanges(changes=[change])
    )
