"""Batching, priorities, prefix caching and late load of the stand-in."""

import asyncio

from filbertglade import clock
from filbertglade.standin import engine
from filbertglade.standin import settings as standin_settings
from tests import virtual_time

# Whole in binary seconds, so that times add up exactly.
TOKEN_MS = 125.0
PROMPT = 'p' * 2048


def build_engine(**fields):
    settings = standin_settings.StandinSettings(
        entries=[], hosts=1, token_ms=TOKEN_MS, **fields
    )
    return engine.Engine(settings, 'host-1', lambda *_, **__: None)


async def time_answer(part, prompt='', count=4, priority=0):
    """Return when the first token came, when the last, and the text."""
    started_ms = clock.now_ms()
    times = []
    tokens = []
    async for token in part.generate(prompt, count, priority):
        times.append(clock.now_ms() - started_ms)
        tokens.append(token)
    assert tokens == engine.expected_tokens(prompt, count)
    return times[0], times[-1]


def test_slots_run_together_and_others_wait():
    async def scenario():
        part = build_engine(slots=2)
        asked = [time_answer(part) for _ in range(4)]
        answers = asyncio.gather(*asked)
        await asyncio.sleep(0.005)
        assert (part.batch.active, part.batch.queued) == (2, 2)
        assert await answers == [
            (125, 500),
            (125, 500),
            (625, 1000),
            (625, 1000),
        ]
        assert (part.batch.active, part.batch.queued) == (0, 0)

    virtual_time.run(scenario())


def test_higher_priority_gets_the_next_slot():
    async def scenario():
        part = build_engine(slots=1)
        asked = [
            time_answer(part, priority=priority) for priority in (5, 1, 9)
        ]
        answers = await asyncio.gather(*asked)
        assert [first for first, _ in answers] == [625, 1125, 125]

    virtual_time.run(scenario())


def test_cancelled_sequences_give_their_place_back():
    async def scenario():
        part = build_engine(slots=1)
        running = asyncio.create_task(time_answer(part))
        waiting = asyncio.create_task(time_answer(part))
        last = asyncio.create_task(time_answer(part))
        await asyncio.sleep(0.1875)
        waiting.cancel()
        running.cancel()
        assert await last == (375, 750)

    virtual_time.run(scenario())


def test_cached_prefix_saves_its_prefill():
    async def scenario():
        part = build_engine(prefill_ms=62.5, cache_blocks=8)
        cold = await time_answer(part, PROMPT)
        warm = await time_answer(part, PROMPT)
        assert (cold[0], warm[0]) == (2 * 125 + 500, 125)
        await time_answer(part, 'q' * 512)
        evicted = await time_answer(part, PROMPT)
        assert evicted[0] == 750

    virtual_time.run(scenario())


def test_cache_events_come_late_and_with_gaps():
    async def scenario():
        part = build_engine(event_lag_ms=60_000, event_loss=0.5)
        for i in range(40):
            await time_answer(part, f'{i:0512}', 1)
        events = part.cache.take_events()
        assert not events
        await asyncio.sleep(60)
        numbers = [event.sequence for event in part.cache.take_events()]
        assert 10 < len(numbers) < 30
        assert numbers == sorted(numbers)

    virtual_time.run(scenario())


def test_load_is_reported_late():
    async def scenario():
        part = build_engine(load_lag_ms=1000)
        part.read_load()
        await asyncio.sleep(2)
        answer = asyncio.create_task(time_answer(part, count=20))
        await asyncio.sleep(0.5)
        assert part.read_load()['active'] == 0
        await asyncio.sleep(0.9)
        assert part.read_load()['active'] == 0
        await asyncio.sleep(0.2)
        assert part.read_load()['active'] == 1
        await answer

    virtual_time.run(scenario())


def test_straggler_is_slow_and_a_stall_gives_nothing():
    async def scenario():
        part = build_engine()
        part.batch.slow_factor = 3.0
        assert await time_answer(part) == (375, 1500)
        part.batch.stall()
        answer = asyncio.create_task(time_answer(part))
        await asyncio.sleep(5)
        assert not answer.done()
        part.batch.go_on()
        assert (await answer)[0] == 5000

    virtual_time.run(scenario())
