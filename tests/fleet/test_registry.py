import asyncio

import pytest

from filbertglade import failures
from filbertglade.fleet import endpoints
from filbertglade.fleet import registry
from filbertglade.inner import fleet_pb2
from tests import virtual_time


def build_endpoint(endpoint_id='i-1', sequence=1, **fields):
    values = {
        'service': 'models',
        'address': '10.0.0.1:80',
        'born_ms': 1000,
        'slots': 4,
        **fields,
    }
    return fleet_pb2.Endpoint(id=endpoint_id, sequence=sequence, **values)


def run_check(check):
    """Run a check on a new registry under the virtual clock."""

    async def main():
        endpoint_registry = registry.Registry(announce_ms=1200)
        check(endpoint_registry)

    virtual_time.run(main())


def test_an_outdated_announcement_is_rejected():
    def check(endpoint_registry):
        assert endpoint_registry.apply(build_endpoint(sequence=5)) is None
        rejection = endpoint_registry.apply(
            build_endpoint(sequence=4, leaving=True)
        )
        assert isinstance(rejection, failures.Failure)
        assert endpoint_registry.entries['i-1@1000'].is_usable

    run_check(check)


def test_leaving_is_final_within_one_incarnation():
    def check(endpoint_registry):
        endpoint_registry.apply(build_endpoint(sequence=1, leaving=True))
        endpoint_registry.apply(build_endpoint(sequence=2))
        assert not endpoint_registry.entries['i-1@1000'].is_usable

    run_check(check)


# Guards against an announcement that takes back what an answer has said.
def test_departure_that_a_host_was_told_of_is_final():
    def check(endpoint_registry):
        endpoint_registry.apply(build_endpoint(sequence=1))
        before = endpoint_registry.version
        endpoint_registry.mark_leaving('i-1@1000', 'entry-1')
        endpoint_registry.mark_leaving('i-1@1000', 'entry-2')
        assert endpoint_registry.version == before + 1
        endpoint_registry.apply(build_endpoint(sequence=2))
        entry = endpoint_registry.entries['i-1@1000']
        assert not entry.is_usable
        assert entry.version == before + 1
        endpoint_registry.apply(build_endpoint(sequence=1, born_ms=2000))
        assert endpoint_registry.entries['i-1@2000'].is_usable
        # It ended in order, so no request is blamed for its end.
        assert not endpoint_registry.has_crashed('i-1@1000')

    run_check(check)


# Guards against a new leader that hears of a departure before the endpoint
# announces itself to it.
def test_departure_counts_for_an_endpoint_that_announces_itself_later():
    def check(endpoint_registry):
        endpoint_registry.mark_leaving('i-1@1000', 'entry-1')
        endpoint_registry.apply(build_endpoint(sequence=9))
        endpoint_registry.apply(build_endpoint('i-2', address='10.0.0.2:80'))
        assert not endpoint_registry.entries['i-1@1000'].is_usable
        assert endpoint_registry.entries['i-2@1000'].is_usable

    run_check(check)


def test_departures_of_unknown_endpoints_are_bounded():
    def check(endpoint_registry):
        for number in range(registry.MAX_EARLY_LEAVING + 1):
            endpoint_registry.mark_leaving(f'i-{number}@1000', 'entry-1')
        endpoint_registry.apply(build_endpoint('i-0'))
        assert endpoint_registry.entries['i-0@1000'].is_usable

    run_check(check)


def test_a_new_incarnation_does_not_inherit_the_epoch():
    def check(endpoint_registry):
        joined = build_endpoint(sequence=50)
        joined.membership.group = 'g1'
        joined.membership.epoch = 7
        endpoint_registry.apply(joined)
        endpoint_registry.apply(build_endpoint(sequence=1, born_ms=2000))
        assert list(endpoint_registry.entries) == ['i-1@2000']
        assert endpoint_registry.entries['i-1@2000'].highest_epoch == 0
        assert 'i-1@1000' in endpoint_registry.removed_versions

    run_check(check)


def test_announcements_of_an_ended_incarnation_are_rejected():
    def check(endpoint_registry):
        endpoint_registry.apply(build_endpoint(sequence=1))
        endpoint_registry.apply(build_endpoint(sequence=1, born_ms=2000))
        assert endpoint_registry.apply(build_endpoint(sequence=9)) is not None
        assert list(endpoint_registry.entries) == ['i-1@2000']

    run_check(check)


# Guards against a sound endpoint that gets nothing for two minutes: an
# announcement of an earlier one at its address arrives late at a new leader.
def test_endpoint_that_a_late_announcement_ended_returns():
    async def main():
        endpoint_registry = registry.Registry(announce_ms=1200)
        sound = {'endpoint_id': 'i-new', 'born_ms': 0}
        endpoint_registry.seed([build_endpoint(sequence=7, **sound)])
        late = build_endpoint('i-old', 90, born_ms=0)
        assert endpoint_registry.apply(late) is None
        sequence = 7
        for _ in range(3):
            await asyncio.sleep(1.2)
            sequence += 1
            endpoint_registry.apply(build_endpoint(sequence=sequence, **sound))
            endpoint_registry.sweep()
        assert list(endpoint_registry.entries) == ['i-new@0']
        assert endpoint_registry.entries['i-new@0'].is_usable
        assert not endpoint_registry.has_crashed('i-new@0')
        # Further ones change nothing, whatever their number.
        for late_sequence in (91, 92, 93):
            await asyncio.sleep(1.2)
            sequence += 1
            endpoint_registry.apply(build_endpoint(sequence=sequence, **sound))
            await asyncio.sleep(0.1)
            late = build_endpoint('i-old', late_sequence, born_ms=0)
            assert endpoint_registry.apply(late) is not None
        assert list(endpoint_registry.entries) == ['i-new@0']

    virtual_time.run(main())


def test_a_delayed_announcement_of_an_earlier_address_holder_is_rejected():
    def check(endpoint_registry):
        endpoint_registry.apply(build_endpoint('i-2', born_ms=3000))
        assert (
            endpoint_registry.apply(build_endpoint('i-1', sequence=40))
            is not None
        )
        assert list(endpoint_registry.entries) == ['i-2@3000']

    run_check(check)


def test_a_reused_address_ends_its_earlier_holder():
    def check(endpoint_registry):
        endpoint_registry.apply(build_endpoint('i-1'))
        endpoint_registry.apply(
            build_endpoint('i-2', born_ms=3000, service='api')
        )
        assert list(endpoint_registry.entries) == ['i-2@3000']

    run_check(check)


def test_an_incarnation_cannot_change_its_service():
    def check(endpoint_registry):
        endpoint_registry.apply(build_endpoint(sequence=1))
        assert (
            endpoint_registry.apply(build_endpoint(sequence=2, service='api'))
            is not None
        )
        assert (
            endpoint_registry.entries['i-1@1000'].endpoint.service == 'models'
        )

    run_check(check)


def test_a_departure_of_an_earlier_incarnation_is_ignored():
    def check(endpoint_registry):
        endpoint_registry.apply(build_endpoint(born_ms=2000))
        endpoint_registry.deregister('i-1', 1000)
        assert list(endpoint_registry.entries) == ['i-1@2000']
        endpoint_registry.deregister('i-1', 0)
        assert not endpoint_registry.entries

    run_check(check)


def test_two_missing_announcements_make_an_endpoint_silent():
    async def main():
        endpoint_registry = registry.Registry(announce_ms=1200)
        endpoint_registry.apply(build_endpoint(sequence=1))
        await asyncio.sleep(1.9)
        endpoint_registry.sweep()
        assert endpoint_registry.entries['i-1@1000'].is_usable
        await asyncio.sleep(0.2)
        endpoint_registry.sweep()
        assert not endpoint_registry.entries['i-1@1000'].is_usable
        endpoint_registry.apply(build_endpoint(sequence=2))
        assert endpoint_registry.entries['i-1@1000'].is_usable

    virtual_time.run(main())


VALID_ANNOUNCEMENT = (
    b'{"service":"models","address":"10.0.0.9:80","zone":"north",'
    b'"slots":4,"state":"ready","sequence":4,"born":17,"colour":1,'
    b'"group":{"name":"g1","epoch":3,"rank":1,"state":"open"}}'
)


def test_a_valid_announcement_is_decoded():
    announced = endpoints.read_announcement('i-9', VALID_ANNOUNCEMENT)
    assert (announced.born_ms, announced.data_centre) == (17, 'north')
    assert (announced.membership.group, announced.membership.epoch) == (
        'g1',
        3,
    )
    assert announced.membership.state == endpoints.MemberState.OPEN


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'\xff\xfe',
        VALID_ANNOUNCEMENT[:-4],
        b'[]',
        VALID_ANNOUNCEMENT.replace(b'"sequence":4,', b''),
        VALID_ANNOUNCEMENT.replace(b'"sequence":4', b'"sequence":"4"'),
        VALID_ANNOUNCEMENT.replace(b'"state":"ready"', b'"state":"asleep"'),
        VALID_ANNOUNCEMENT.replace(b'10.0.0.9:80', b'models.example:80'),
        VALID_ANNOUNCEMENT.replace(b'"slots":4', b'"slots":0'),
        VALID_ANNOUNCEMENT.replace(b'"born":17', b'"born":-1'),
        VALID_ANNOUNCEMENT.replace(b'"epoch":3', b'"epoch":null'),
    ],
)
def test_an_invalid_announcement_is_rejected(text):
    assert isinstance(
        endpoints.read_announcement('i-9', text), failures.Failure
    )
