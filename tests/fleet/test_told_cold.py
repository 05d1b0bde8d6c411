"""Whether hosts are told in time which endpoints are cold."""

import asyncio
import dataclasses
import json
import types

import pytest

from filbertglade.fleet import cold_bound
from filbertglade.fleet import cold_reports
from filbertglade.fleet import connected_watcher
from filbertglade.fleet import endpoints
from filbertglade.fleet import shared_frames
from filbertglade.fleet import view
from filbertglade.inner import fleet_pb2
from tests.fleet import leaders
from tests import virtual_time

ANNOUNCED = {
    'service': 'api',
    'address': '10.0.0.1:80',
    'zone': 'north',
    'state': 'ready',
    'sequence': 1,
    'slots': 4,
    'born': 1000,
}


def build_leader(cold_per_s):
    leader = leaders.Leader()
    service = types.SimpleNamespace(cold_per_s=cold_per_s, cold_start_s=0.0)
    index = types.SimpleNamespace(services={'api': service}, model_services=[])
    leader.publisher._replicas.observed.index = index
    return leader


def announce(leader, **fields):
    text = json.dumps(ANNOUNCED | fields).encode()
    endpoint = endpoints.read_announcement('i-1', text)
    assert leader.registry.apply(endpoint) is None


def build_frames(leader):
    """Build the frames of new watchers, one with and one without the view."""
    builder = shared_frames.FrameBuilder(
        leader.publisher._state, leader.counters
    )
    return [
        builder.get_frame(shared_frames.Versions(), has_view).frame
        for has_view in (True, False)
    ]


# Guards against announcements that are rejected for what they lack.
@pytest.mark.parametrize(
    ('fields', 'expected_ms'),
    [
        ({}, 0),
        ({'cold_remaining_ms': None}, 0),
        ({'cold_remaining_ms': 0}, 0),
        ({'cold_remaining_ms': 4500}, 4500),
        ({'cold_remaining_ms': 2**40}, 2**32 - 1),
    ],
)
def test_announcements_may_lack_the_cold_state(fields, expected_ms):
    text = json.dumps(ANNOUNCED | fields).encode()
    endpoint = endpoints.read_announcement('i-1', text)
    assert endpoint.cold_remaining_ms == expected_ms


# Guards against hosts that know an endpoint, and not yet that it is cold.
def test_frame_that_tells_an_endpoint_tells_that_it_is_cold():
    async def check():
        leader = build_leader(26.0)
        announce(leader, cold_remaining_ms=5000)
        for frame in build_frames(leader):
            host = view.FleetView()
            host.apply_frame(frame)
            assert host.cold.find_remaining_ms('i-1@1000') >= 5000

    virtual_time.run(check())


# Guards against an endpoint that turns cold while in use and isn't told, and
# against a frame for each of its announcements.
def test_change_is_told_once():
    async def check():
        leader = build_leader(26.0)
        announce(leader)
        builder = shared_frames.FrameBuilder(
            leader.publisher._state, leader.counters
        )
        before = builder.published
        announce(leader, sequence=2, cold_remaining_ms=5000)
        frame = builder.get_frame(before, True).frame
        assert [item.endpoint for item in frame.cold_endpoints] == ['i-1@1000']
        versions = leader.publisher._state.read_versions()
        announce(leader, sequence=3, cold_remaining_ms=4900)
        assert leader.publisher._state.read_versions() == versions

    virtual_time.run(check())


# Guards against frames that differ where no service has a rate for cold
# endpoints.
def test_frames_are_the_same_without_a_rate():
    async def check():
        leader, other = build_leader(0.0), build_leader(0.0)
        announce(leader, cold_remaining_ms=5000)
        announce(other)
        assert build_frames(leader) == build_frames(other)
        versions = leader.publisher._state.read_versions()
        announce(leader, sequence=2, cold_remaining_ms=4900)
        assert leader.publisher._state.read_versions() == versions

    virtual_time.run(check())


# Guards against a new leader that takes cold endpoints for warm.
def test_new_leader_knows_what_the_earlier_one_told():
    async def check():
        leader = build_leader(26.0)
        leader.publisher._view.apply_frame(
            fleet_pb2.FleetFrame(
                cold_endpoints=[
                    fleet_pb2.ColdEndpoint(
                        endpoint='i-1@1000',
                        requests_per_s=26.0,
                        remaining_ms=5000,
                    )
                ]
            )
        )
        announce(leader)
        leader.publisher.start_leading(was_seeded=True)
        for frame in build_frames(leader):
            [cold] = frame.cold_endpoints
            assert cold.remaining_ms >= 5000

    virtual_time.run(check())


# Guards against a cold state that only a health response tells.
def test_health_response_tells_the_cold_state():
    async def check():
        leader = build_leader(26.0)
        announce(leader)
        endpoint = leader.registry.entries['i-1@1000'].endpoint
        for text in ('', '0', '-5', 'soon', '1' * 40):
            leader.publisher.cold.read_health(endpoint, text)
        assert not leader.publisher._state.cold.states
        leader.publisher.cold.read_health(endpoint, '5000')
        for frame in build_frames(leader):
            [cold] = frame.cold_endpoints
            assert cold.remaining_ms >= 5000

    virtual_time.run(check())


# Guards against permits that are given and not sent, or that wait for a
# regular frame until they are of no use, or that are sent with a large one.
@pytest.mark.parametrize('messages', [1, 2])
def test_permits_are_sent_at_once(messages):
    async def check():
        leader = build_leader(26.0)
        announce(leader, cold_remaining_ms=60_000)
        served = leader.publisher
        served.start_leading(was_seeded=True)
        report = fleet_pb2.WatchReport(
            node='n-1',
            run='run-1',
            takes_callers=True,
            limited_demand={'i-1@1000': 5},
        )
        watcher = connected_watcher.ConnectedWatcher(report, 0)
        served._entry_hosts.add(watcher)
        await asyncio.sleep(cold_bound.QUIET_MS / 1000 + 0.1)
        for _ in range(10):
            served._reports.apply(watcher, report)
            watcher.changed_event.clear()
            await asyncio.sleep(0.1)
            served.refresh()
            if watcher.permits:
                break
        assert watcher.changed_event.is_set()
        shared = shared_frames.prepare_frame(fleet_pb2.FleetFrame())
        shared = dataclasses.replace(
            shared, messages=shared.messages * messages
        )
        host = view.FleetView()
        host.apply_frame(watcher.take_personal(shared).frame)
        sent = host.cold.take_permits()
        assert sent == ({'i-1@1000': 1} if messages == 1 else {})
        assert not watcher.permits
        assert leader.counters.counter('cold_permits_given') == 1

    virtual_time.run(check())


# Guards against a new leader that isn't told what only hosts know, and against
# a report that is repeated, or lost as it changes while it is sent.
def test_hosts_report_cold_endpoints_to_each_new_leader():
    async def check():
        host = view.FleetView()
        reports = cold_reports.ColdReports(host, lambda: None)
        cold = fleet_pb2.ColdEndpoint(
            endpoint='i-1@1000', requests_per_s=26.0, remaining_ms=5000
        )
        host.cold.extend('i-1@1000', 5000, 26.0)
        reports.add(cold)
        first, second, third, fourth = (
            fleet_pb2.WatchReport() for _ in range(4)
        )
        reports.write(first)
        host.cold.extend('i-1@1000', 9000, 26.0)
        reports.add(
            fleet_pb2.ColdEndpoint(
                endpoint='i-1@1000', requests_per_s=26.0, remaining_ms=9000
            )
        )
        reports.forget_sent(first)
        reports.write(second)
        assert second.cold_endpoints[0].remaining_ms == 9000
        reports.forget_sent(second)
        reports.write(third)
        assert not third.cold_endpoints
        reports.start_stream()
        reports.write(fourth)
        assert fourth.cold_endpoints == second.cold_endpoints
        leader = build_leader(26.0)
        announce(leader)
        watcher = connected_watcher.ConnectedWatcher(fourth, 0)
        assert leader.publisher._reports.apply(watcher, fourth)
        assert leader.registry.is_cold('i-1@1000')

    virtual_time.run(check())
