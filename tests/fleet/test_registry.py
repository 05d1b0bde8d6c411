import asyncio

import pytest

from filbertglade import failures
from filbertglade.fleet import endpoints
from filbertglade.fleet import registry
from filbertglade.inner import fleet_pb2
from tests import virtual_time


def make(endpoint_id='i-1', sequence=1, **fields):
    values = {
        'service': 'models',
        'address': '10.0.0.1:80',
        'born_ms': 1000,
        'slots': 4,
        **fields,
    }
    return fleet_pb2.Endpoint(id=endpoint_id, sequence=sequence, **values)


def run(check):
    """Run a check that needs the loop's clock."""

    async def work():
        known = registry.Registry(announce_ms=1200)
        check(known)

    virtual_time.run(work())


def test_a_late_announcement_changes_nothing():
    def check(known):
        assert known.apply(make(sequence=5)) is None
        refused = known.apply(make(sequence=4, leaving=True))
        assert isinstance(refused, failures.Failure)
        assert known.entries['i-1@1000'].is_usable

    run(check)


def test_leaving_is_never_taken_back_in_one_life():
    def check(known):
        known.apply(make(sequence=1, leaving=True))
        known.apply(make(sequence=2))
        assert not known.entries['i-1@1000'].is_usable

    run(check)


def test_a_new_life_under_the_same_id_knows_nothing():
    def check(known):
        joined = make(sequence=50)
        joined.membership.group = 'g1'
        joined.membership.epoch = 7
        known.apply(joined)
        known.apply(make(sequence=1, born_ms=2000))
        assert list(known.entries) == ['i-1@2000']
        assert known.entries['i-1@2000'].highest_epoch == 0
        assert 'i-1@1000' in known.gone

    run(check)


def test_an_ended_life_does_not_come_back():
    def check(known):
        known.apply(make(sequence=1))
        known.apply(make(sequence=1, born_ms=2000))
        assert known.apply(make(sequence=9)) is not None
        assert list(known.entries) == ['i-1@2000']

    run(check)


def test_a_delayed_word_of_a_crashed_holder_of_an_address_is_refused():
    def check(known):
        known.apply(make('i-2', born_ms=3000))
        assert known.apply(make('i-1', sequence=40)) is not None
        assert list(known.entries) == ['i-2@3000']

    run(check)


def test_an_address_taken_over_ends_its_earlier_holder():
    def check(known):
        known.apply(make('i-1'))
        known.apply(make('i-2', born_ms=3000, service='api'))
        assert list(known.entries) == ['i-2@3000']

    run(check)


def test_a_life_cannot_change_its_service():
    def check(known):
        known.apply(make(sequence=1))
        assert known.apply(make(sequence=2, service='api')) is not None
        assert known.entries['i-1@1000'].endpoint.service == 'models'

    run(check)


def test_a_departure_of_an_earlier_life_is_none_of_the_present_one():
    def check(known):
        known.apply(make(born_ms=2000))
        known.depart('i-1', 1000)
        assert list(known.entries) == ['i-1@2000']
        known.depart('i-1', 0)
        assert not known.entries

    run(check)


def test_two_missing_announcements_make_an_endpoint_silent():
    async def work():
        known = registry.Registry(announce_ms=1200)
        known.apply(make(sequence=1))
        await asyncio.sleep(1.9)
        known.sweep()
        assert known.entries['i-1@1000'].is_usable
        await asyncio.sleep(0.2)
        known.sweep()
        assert not known.entries['i-1@1000'].is_usable
        known.apply(make(sequence=2))
        assert known.entries['i-1@1000'].is_usable

    virtual_time.run(work())


GOOD = (
    b'{"service":"models","address":"10.0.0.9:80","zone":"north",'
    b'"slots":4,"state":"ready","sequence":4,"born":17,"colour":1,'
    b'"group":{"name":"g1","epoch":3,"rank":1,"state":"open"}}'
)


def test_an_announcement_is_decoded_once():
    said = endpoints.read_announcement('i-9', GOOD)
    assert (said.born_ms, said.data_centre) == (17, 'north')
    assert (said.membership.group, said.membership.epoch) == ('g1', 3)
    assert said.membership.state == endpoints.MemberState.OPEN


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'\xff\xfe',
        GOOD[:-4],
        b'[]',
        GOOD.replace(b'"sequence":4,', b''),
        GOOD.replace(b'"sequence":4', b'"sequence":"4"'),
        GOOD.replace(b'"state":"ready"', b'"state":"asleep"'),
        GOOD.replace(b'10.0.0.9:80', b'models.example:80'),
        GOOD.replace(b'"slots":4', b'"slots":0'),
        GOOD.replace(b'"born":17', b'"born":-1'),
        GOOD.replace(b'"epoch":3', b'"epoch":null'),
    ],
)
def test_an_announcement_that_cannot_be_read_whole_is_refused(text):
    assert isinstance(
        endpoints.read_announcement('i-9', text), failures.Failure
    )
