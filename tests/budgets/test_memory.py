"""The memory budget for clients."""

import pytest

from filbertglade.budgets import connections
from filbertglade.budgets import memory
from filbertglade.budgets import turns
from filbertglade.observability import metrics
from tests.budgets import readers
from tests import virtual_time

LIMIT_BYTES = 10_000_000


def build_budget():
    return memory.MemoryBudget(LIMIT_BYTES, metrics.Metrics())


def open_account(budget, peer, evicted, name):
    account = budget.open_account(peer)

    def evict():
        evicted.append(name)
        account.resize(0)

    account.begin(evict)
    return account


# Guards against long bodies that leave no room for small requests.
async def test_long_messages_leave_room_for_short_ones():
    budget = build_budget()
    long = budget.open_account('a')
    assert not long.resize(LIMIT_BYTES)
    assert long.resize(int(LIMIT_BYTES * memory.LONG_SHARE))
    short = budget.open_account('b')
    assert short.resize(memory.LONG_BYTES - 1)


# Guards against ordinary callers that are refused for those over their share.
async def test_the_peer_over_its_share_is_evicted_first():
    budget = build_budget()
    evicted = []
    small = open_account(budget, 'b', evicted, 'ordinary')
    small.resize(1_000_000)
    greedy = [open_account(budget, 'a', evicted, i) for i in range(3)]
    for account in greedy:
        account.resize(2_000_000)
    newcomer = open_account(budget, 'c', evicted, 'new')
    assert newcomer.resize(1_000_000)
    assert evicted and 'ordinary' not in evicted
    assert 'new' not in evicted


# Guards against an account that goes on counting after its connection ended.
async def test_a_closed_account_holds_nothing():
    budget = build_budget()
    account = budget.open_account('a')
    account.resize(1000)
    account.close()
    account.add(-1000)
    assert budget.held_bytes == 0


# Guards against an account and a connection that refer to each other for
# ever, as a request that runs outlives its connection.
async def test_a_closed_account_is_not_evicted():
    account = build_budget().open_account('a')
    account.close()
    account.begin(lambda: None)
    assert account.evict is None


# Guards against a process that takes a part of a large machine's memory.
def test_memory_that_is_not_set_has_a_default():
    default_bytes = memory.DEFAULT_MEMORY_MB * 1_000_000
    assert memory.find_memory_bytes(0) <= default_bytes
    assert memory.find_memory_bytes(2048) == 2_048_000_000
    assert memory.find_limit_bytes(0, 0) <= default_bytes / 4


# Guards against a request that was refused although it runs.
async def test_a_running_request_is_not_evicted():
    budget = build_budget()
    running = budget.open_account('a')
    running.begin(None)
    running.resize(7_000_000)
    newcomer = budget.open_account('b')
    assert not newcomer.resize(3_000_000)
    assert running.held_bytes == 7_000_000


# Guards against descriptors that one peer takes from all others.
@pytest.mark.parametrize('is_idle', [True, False])
async def test_a_full_listener_closes_idle_connections_only(is_idle):
    limit = connections.ConnectionLimit(3)
    closed = []
    for number in range(3):
        peer = 'a' if number else 'b'
        admitted = limit.admit(peer, lambda n=number: closed.append(n))
        if not is_idle:
            admitted.begin()
    found = limit.admit('c', lambda: None)
    assert (found is not None) == is_idle
    assert closed == ([1] if is_idle else [])
    assert len(limit) == 3


# Guards against a broken connection that delays its operator's resend.
def test_a_body_that_stopped_gives_its_turn_up():
    async def run():
        queue = turns.Turns(16_384)
        stopped, resent, other = (
            readers.RecordingReader(),
            readers.RecordingReader(),
            readers.RecordingReader(),
        )
        assert queue.take('a', stopped)
        assert not queue.take('a', resent)
        assert queue.take('b', other)
        await virtual_time.asyncio.sleep(1.5)
        assert stopped.events == ['slow']
        queue.leave('a', stopped)
        assert resent.events == ['turn']
        assert other.events == []

    virtual_time.run(run())
