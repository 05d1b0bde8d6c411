"""Turns at a shared link, without a network."""

import asyncio

import pytest

from filbertglade.fleet import turns
from tests import virtual_time

COUNT = 2
TURN_MS = 1000
SLOW_SEND_MS = 250


async def send_bytes(shared, name, size_s, ended, part_s=0.01):
    """Send for some time in parts, as a transfer does."""
    turn = turns.Turn(shared)
    left_s = size_s
    try:
        while left_s > 0:
            if turn.is_over:
                while not await turn.take(100):
                    pass
            await turn.run(asyncio.sleep(part_s), 60_000)
            left_s -= part_s
    finally:
        turn.give_up()
    ended.append(name)


def test_many_receivers_at_once_are_served_few_at_a_time():
    """Load: 40 receivers ask for the same document at the same moment."""

    async def check():
        shared = turns.Turns(COUNT, TURN_MS, SLOW_SEND_MS)
        active, most = 0, 0

        async def send():
            nonlocal active, most
            turn = turns.Turn(shared)
            while not await turn.take(100):
                pass
            active += 1
            most = max(most, active)
            await turn.run(asyncio.sleep(0.05), 60_000)
            active -= 1
            turn.give_up()

        await asyncio.gather(*(send() for _ in range(40)))
        assert most == COUNT

    virtual_time.run(check())


def test_first_come_first_served():
    async def check():
        shared = turns.Turns(COUNT, TURN_MS, SLOW_SEND_MS)
        ended = []
        await asyncio.gather(
            *(send_bytes(shared, name, 0.05, ended) for name in range(10))
        )
        assert ended == sorted(ended)

    virtual_time.run(check())


def test_slow_receivers_do_not_hold_up_the_others():
    """Load: as many stuck receivers as there are turns, then ten others."""

    async def check():
        shared = turns.Turns(COUNT, TURN_MS, SLOW_SEND_MS)
        ended = []
        stuck = [
            asyncio.create_task(
                send_bytes(shared, 'stuck', 60, ended, part_s=60)
            )
            for _ in range(COUNT)
        ]
        await asyncio.sleep(0.01)
        async with asyncio.timeout(1.0):
            await asyncio.gather(
                *(send_bytes(shared, name, 0.05, ended) for name in range(10))
            )
        assert len(ended) == 10
        for task in stuck:
            task.cancel()

    virtual_time.run(check())


def test_a_long_transfer_alternates_with_others():
    async def check():
        shared = turns.Turns(1, TURN_MS, SLOW_SEND_MS)
        ended = []
        long = asyncio.create_task(send_bytes(shared, 'long', 10, ended))
        await asyncio.sleep(0.01)
        await send_bytes(shared, 'short', 0.1, ended)
        assert ended == ['short']
        long.cancel()

    virtual_time.run(check())


def test_giving_up_while_waiting_loses_no_turn():
    async def check():
        shared = turns.Turns(1, TURN_MS, SLOW_SEND_MS)
        holder = turns.Turn(shared)
        assert await holder.take(100)
        waiting = [turns.Turn(shared) for _ in range(5)]
        for turn in waiting:
            assert not await turn.take(10)
        waiting[1].give_up()
        holder.give_up()
        # The first one has been granted the turn and doesn't know it yet.
        for turn in waiting[:4]:
            turn.give_up()
        assert await waiting[4].take(100)
        waiting[4].give_up()
        assert await turns.Turn(shared).take(100)

    virtual_time.run(check())


def test_a_time_out_keeps_the_place_in_the_queue():
    async def check():
        shared = turns.Turns(1, TURN_MS, SLOW_SEND_MS)
        holder, first, second = (turns.Turn(shared) for _ in range(3))
        assert await holder.take(100)
        assert not await first.take(10)
        assert not await second.take(10)
        assert not await first.take(10)
        holder.give_up()
        assert not await second.take(10)
        assert await first.take(10)

    virtual_time.run(check())


def test_a_send_that_takes_too_long_fails():
    async def check():
        turn = turns.Turn(turns.Turns(1, TURN_MS, SLOW_SEND_MS))
        assert await turn.take(100)
        with pytest.raises(TimeoutError):
            await turn.run(asyncio.sleep(10), 1000)
        assert not turn.is_held

    virtual_time.run(check())
