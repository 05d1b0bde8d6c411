"""Batching, priorities, prefix cache and load reports of a stand-in engine."""

import asyncio

from filbertglade import clock
from filbertglade.standin import engine
from filbertglade.standin import settings as standin_settings
from tests import virtual_time

# A binary fraction of a second (1/8 s), so that sums of times are exact.
TOKEN_MS = 125.0
PROMPT = 'p' * 2048


def build_engine(**fields):
    settings = standin_settings.StandinSettings(
        entries=[], hosts=1, token_ms=TOKEN_MS, **fields
    )
    return engine.Engine(settings, 'host-1', lambda *_, **__: None)


async def time_response(host_engine, prompt='', count=4, priority=0):
    """Check the text; return the times of its first and last token, in ms."""
    started_ms = clock.now_ms()
    times = []
    tokens = []
    async for token in host_engine.generate(prompt, count, priority):
        times.append(clock.now_ms() - started_ms)
        tokens.append(token)
    assert tokens == engine.expected_tokens(prompt, count)
    return times[0], times[-1]


def test_sequences_beyond_the_slots_wait():
    async def scenario():
        host_engine = build_engine(slots=2)
        calls = [time_response(host_engine) for _ in range(4)]
        responses = asyncio.gather(*calls)
        await asyncio.sleep(0.005)
        assert (host_engine.batch.active, host_engine.batch.queued) == (2, 2)
        assert await responses == [
            (125, 500),
            (125, 500),
            (625, 1000),
            (625, 1000),
        ]
        assert (host_engine.batch.active, host_engine.batch.queued) == (0, 0)

    virtual_time.run(scenario())


def test_higher_priority_gets_the_next_slot():
    async def scenario():
        host_engine = build_engine(slots=1)
        calls = [
            time_response(host_engine, priority=priority)
            for priority in (5, 1, 9)
        ]
        responses = await asyncio.gather(*calls)
        assert [first for first, _ in responses] == [625, 1125, 125]

    virtual_time.run(scenario())


def test_cancelled_sequences_free_their_slots():
    async def scenario():
        host_engine = build_engine(slots=1)
        running = asyncio.create_task(time_response(host_engine))
        waiting = asyncio.create_task(time_response(host_engine))
        last = asyncio.create_task(time_response(host_engine))
        await asyncio.sleep(0.1875)
        waiting.cancel()
        running.cancel()
        assert await last == (375, 750)

    virtual_time.run(scenario())


def test_cached_prefix_is_not_prefilled():
    async def scenario():
        host_engine = build_engine(prefill_ms=62.5, cache_blocks=8)
        cold = await time_response(host_engine, PROMPT)
        warm = await time_response(host_engine, PROMPT)
        assert (cold[0], warm[0]) == (2 * 125 + 500, 125)
        await time_response(host_engine, 'q' * 512)
        evicted = await time_response(host_engine, PROMPT)
        assert evicted[0] == 750

    virtual_time.run(scenario())


def test_cache_events_are_delayed_and_lost():
    async def scenario():
        host_engine = build_engine(event_lag_ms=60_000, event_loss=0.5)
        for i in range(40):
            await time_response(host_engine, f'{i:0512}', 1)
        events = host_engine.cache.take_events()
        assert not events
        await asyncio.sleep(60)
        numbers = [event.sequence for event in host_engine.cache.take_events()]
        assert 10 < len(numbers) < 30
        assert numbers == sorted(numbers)

    virtual_time.run(scenario())


def test_load_reports_are_delayed():
    async def scenario():
        host_engine = build_engine(load_lag_ms=1000)
        host_engine.read_load()
        await asyncio.sleep(2)
        response = asyncio.create_task(time_response(host_engine, count=20))
        await asyncio.sleep(0.5)
        assert host_engine.read_load()['active'] == 0
        await asyncio.sleep(0.9)
        assert host_engine.read_load()['active'] == 0
        await asyncio.sleep(0.2)
        assert host_engine.read_load()['active'] == 1
        await response

    virtual_time.run(scenario())


def test_stragglers_are_slow_and_stalled_batches_stop():
    async def scenario():
        host_engine = build_engine()
        host_engine.batch.slow_factor = 3.0
        assert await time_response(host_engine) == (375, 1500)
        host_engine.batch.stall()
        response = asyncio.create_task(time_response(host_engine))
        await asyncio.sleep(5)
        assert not response.done()
        host_engine.batch.resume()
        assert (await response)[0] == 5000

    virtual_time.run(scenario())
