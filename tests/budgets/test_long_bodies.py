"""The places of long bodies, in virtual time."""

import asyncio

import pytest

from filbertglade.budgets import long_bodies
from filbertglade.observability import metrics
from tests.budgets import readers
from tests import virtual_time

LIMIT_BYTES = 20_000_000
MIN_RATE = 16_384
# Two of these fit into their part of the budget.
BODY_BYTES = 4_000_000


def build():
    return long_bodies.LongBodies(LIMIT_BYTES, MIN_RATE, metrics.Metrics())


# Guards against many bodies of which each is read in part and none at all.
def test_a_place_is_kept_until_the_request_has_ended():
    async def run():
        places = build()
        bodies = [readers.RecordingReader() for _ in range(4)]
        taken = [places.take('a', body, BODY_BYTES) for body in bodies]
        assert [place.is_granted for place in taken] == [
            True,
            True,
            False,
            False,
        ]
        places.end_reading(taken[0], BODY_BYTES)
        assert bodies[2].events == []
        places.leave(taken[0])
        assert bodies[2].events == ['turn']
        assert bodies[3].events == []

    virtual_time.run(run())


# Guards against a body in chunks that takes more than it has.
def test_a_body_without_length_gives_back_what_it_did_not_need():
    async def run():
        places = build()
        chunked, other = readers.RecordingReader(), readers.RecordingReader()
        place = places.take('a', chunked, LIMIT_BYTES)
        assert place.is_granted
        assert not places.take('a', other, BODY_BYTES).is_granted
        places.end_reading(place, 200_000)
        assert other.events == ['turn']

    virtual_time.run(run())


# Guards against a sender of many bodies before whom others don't come.
def test_the_peer_with_the_fewest_places_is_next():
    async def run():
        places = build()
        bodies = [readers.RecordingReader() for _ in range(6)]
        taken = [places.take('a', body, BODY_BYTES) for body in bodies]
        other = readers.RecordingReader()
        places.take('b', other, BODY_BYTES)
        places.leave(taken[0])
        assert other.events == ['turn']

    virtual_time.run(run())


# Guards against bodies that wait until their requests are of no use.
def test_a_body_that_waits_for_too_long_is_refused():
    async def run():
        places = build()
        bodies = [readers.RecordingReader() for _ in range(3)]
        for body in bodies:
            places.take('a', body, BODY_BYTES)
        for _ in range(40):
            for body in bodies[:2]:
                body.received += 100_000
            await asyncio.sleep(0.1)
        assert bodies[2].events == ['wait']
        assert bodies[0].events == bodies[1].events == []

    virtual_time.run(run())


# Guards against slow senders that keep all others out.
@pytest.mark.parametrize('others', [0, 1])
def test_a_slow_body_is_refused_only_if_others_wait(others):
    async def run():
        places = build()
        slow, read = readers.RecordingReader(), readers.RecordingReader()
        places.take('a', slow, BODY_BYTES)
        places.end_reading(places.take('a', read, BODY_BYTES), BODY_BYTES)
        for _ in range(others):
            places.take('a', readers.RecordingReader(), BODY_BYTES)
        await asyncio.sleep(0.6)
        assert slow.events == ['slow'] * others
        assert read.events == []

    virtual_time.run(run())


# Guards against a body that is called slow as soon as it may be read.
def test_a_body_is_judged_once_it_was_read_for_some_time():
    async def run():
        places = build()
        first, second = readers.RecordingReader(), readers.RecordingReader()
        taken = places.take('a', first, BODY_BYTES)
        places.end_reading(taken, BODY_BYTES)
        places.end_reading(
            places.take('a', readers.RecordingReader(), BODY_BYTES), BODY_BYTES
        )
        places.take('a', second, BODY_BYTES)
        places.take('a', readers.RecordingReader(), BODY_BYTES)
        await asyncio.sleep(0.49)
        places.leave(taken)
        assert second.events == ['turn']
        await asyncio.sleep(0.4)
        assert second.events == ['turn']
        await asyncio.sleep(0.6)
        assert second.events == ['turn', 'slow']

    virtual_time.run(run())
