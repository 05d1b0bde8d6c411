"""Shares of a target's slots, over virtual time."""

import asyncio

import pytest

from filbertglade.admission import sharing
from tests import fakes
from tests import virtual_time

SLOTS = 100
HOLD_MS = 1000
USUAL = [f'c{i}' for i in range(9)]
GREEDY = 'greedy'


async def call(uses, seconds, rates):
    """Let customers call steadily, so many times a second each."""
    for _ in range(seconds):
        for name, rate in rates.items():
            for _ in range(rate):
                uses.note_arrival(fakes.build_customer(name))
        await asyncio.sleep(1)


def read_room(uses, limit=SLOTS):
    return uses.read_room(limit, SLOTS, HOLD_MS)


def test_greedy_share_does_not_grow_with_the_limit():
    async def scenario():
        uses = sharing.CustomerUses()
        await call(uses, 20, {**dict.fromkeys(USUAL, 6), GREEDY: 100})
        room = read_room(uses, limit=2 * SLOTS)
        use = uses.open(GREEDY)
        assert room.is_greedy(use)
        use.running = SLOTS // 10 - 1
        assert room.is_within(use)
        use.running += 1
        assert not room.is_within(use)

    virtual_time.run(scenario())


def test_usual_customer_above_its_share_for_a_moment_is_not_greedy():
    async def scenario():
        uses = sharing.CustomerUses()
        await call(uses, 20, {**dict.fromkeys(USUAL, 6), GREEDY: 100})
        use = uses.open(USUAL[0])
        use.running = 15
        room = read_room(uses)
        assert not room.is_within(use)
        assert not room.is_greedy(use)

    virtual_time.run(scenario())


@pytest.mark.parametrize('running', [0, 3, 5])
def test_room_of_the_others_stays_free_while_they_pause(running):
    async def scenario():
        uses = sharing.CustomerUses()
        await call(uses, 20, {**dict.fromkeys(USUAL, 6), GREEDY: 100})
        for name in USUAL:
            uses.open(name).running = running
        left_to_greedy = read_room(uses).unspared - len(USUAL) * running
        assert left_to_greedy == pytest.approx(24.4, abs=0.2)

    virtual_time.run(scenario())


def test_greedy_customers_alone_have_all_the_room():
    async def scenario():
        uses = sharing.CustomerUses()
        await call(uses, 20, {GREEDY: 300, 'other': 300})
        assert read_room(uses, limit=2 * SLOTS).unspared == 2 * SLOTS

    virtual_time.run(scenario())


def test_customers_without_requests_are_forgotten():
    async def scenario():
        uses = sharing.CustomerUses()
        await call(uses, 1, {GREEDY: 10})
        uses.open(GREEDY).running = 1
        await asyncio.sleep(60)
        uses.forget_idle()
        assert list(uses.read_rates()) == [GREEDY]
        uses.open(GREEDY).running = 0
        uses.forget_idle()
        assert not uses.read_rates()

    virtual_time.run(scenario())
