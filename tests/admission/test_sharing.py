"""Sharing of a target's slots among customers, in virtual time."""

import asyncio

import pytest

from filbertglade.admission import sharing
from tests import fakes
from tests import virtual_time

SLOTS = 100
HOLD_MS = 1000
REGULAR = [f'c{i}' for i in range(9)]
GREEDY = 'greedy'


async def simulate_calls(usages, seconds, rates):
    """Simulate steady calls of each customer, at its rate per second."""
    for _ in range(seconds):
        for name, rate in rates.items():
            for _ in range(rate):
                usages.note_arrival(fakes.build_customer(name))
        await asyncio.sleep(1)


def compute_allocation(usages, limit=SLOTS):
    return usages.compute_allocation(limit, SLOTS, HOLD_MS)


def test_greedy_share_does_not_grow_with_the_limit():
    async def scenario():
        usages = sharing.CustomerUsageTable()
        await simulate_calls(
            usages, 20, {**dict.fromkeys(REGULAR, 6), GREEDY: 100}
        )
        allocation = compute_allocation(usages, limit=2 * SLOTS)
        usage = usages.get_or_create(GREEDY)
        assert allocation.is_greedy(usage)
        usage.running = SLOTS // 10 - 1
        assert allocation.is_within_share(usage)
        usage.running += 1
        assert not allocation.is_within_share(usage)

    virtual_time.run(scenario())


def test_customer_briefly_above_its_share_is_not_greedy():
    async def scenario():
        usages = sharing.CustomerUsageTable()
        await simulate_calls(
            usages, 20, {**dict.fromkeys(REGULAR, 6), GREEDY: 100}
        )
        usage = usages.get_or_create(REGULAR[0])
        usage.running = 15
        allocation = compute_allocation(usages)
        assert not allocation.is_within_share(usage)
        assert not allocation.is_greedy(usage)

    virtual_time.run(scenario())


@pytest.mark.parametrize('running', [0, 3, 5])
def test_slots_of_others_stay_reserved_while_they_pause(running):
    async def scenario():
        usages = sharing.CustomerUsageTable()
        await simulate_calls(
            usages, 20, {**dict.fromkeys(REGULAR, 6), GREEDY: 100}
        )
        for name in REGULAR:
            usages.get_or_create(name).running = running
        left_to_greedy = (
            compute_allocation(usages).greedy_limit - len(REGULAR) * running
        )
        assert left_to_greedy == pytest.approx(24.4, abs=0.2)

    virtual_time.run(scenario())


def test_greedy_customers_alone_may_use_all_slots():
    async def scenario():
        usages = sharing.CustomerUsageTable()
        await simulate_calls(usages, 20, {GREEDY: 300, 'other': 300})
        assert (
            compute_allocation(usages, limit=2 * SLOTS).greedy_limit
            == 2 * SLOTS
        )

    virtual_time.run(scenario())


def test_customers_without_requests_are_forgotten():
    async def scenario():
        usages = sharing.CustomerUsageTable()
        await simulate_calls(usages, 1, {GREEDY: 10})
        usages.get_or_create(GREEDY).running = 1
        await asyncio.sleep(60)
        usages.forget_idle()
        assert list(usages.read_rates()) == [GREEDY]
        usages.get_or_create(GREEDY).running = 0
        usages.forget_idle()
        assert not usages.read_rates()

    virtual_time.run(scenario())
