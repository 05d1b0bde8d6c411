"""Evacuated data centres as hosts are told of them."""

import asyncio

import pytest

from filbertglade.fleet import frames
from filbertglade.fleet import view
from filbertglade.inner import commands_pb2
from filbertglade.inner import fleet_pb2
from tests.fleet import leaders
from tests.fleet import test_watcher
from tests import virtual_time


def build_frame(index, *names, **fields):
    return fleet_pb2.FleetFrame(
        is_leader=True,
        evacuated_data_centres=names,
        evacuations_index=index,
        **fields,
    )


def change(leader, index, name, active):
    evacuation = commands_pb2.EvacuationChange(data_centre=name, active=active)
    leader.agreed.apply(
        index, commands_pb2.Command(evacuation_change=evacuation)
    )


# Guards against an evacuation that ends, or begins again, as a late frame of
# an earlier leader arrives.
def test_frame_with_a_lower_index_changes_nothing():
    async def check():
        known = view.FleetView()
        known.apply_frame(build_frame(7, 'north'))
        for frame in (build_frame(6), build_frame(0), build_frame(5, 'south')):
            known.apply_frame(frame)
            assert known.evacuated.names == {'north'}
        known.apply_frame(build_frame(9))
        known.apply_frame(build_frame(7, 'north', is_whole=True))
        assert not known.evacuated.names

    virtual_time.run(check())


# Guards against a host without a view that doesn't learn of an evacuation,
# and against one that learns of it only with the last part of a large view.
@pytest.mark.parametrize('has_view', (False, True))
def test_every_frame_tells_the_evacuations(has_view):
    async def check():
        leader = leaders.Leader()
        leader.add_replicas(3000)
        leader.publisher.was_seeded = has_view
        change(leader, 3, 'north', True)
        stream = leaders.FakeStream()
        serving = asyncio.create_task(leader.serve(stream))
        await asyncio.sleep(1.0)
        change(leader, 4, 'north', False)
        await asyncio.sleep(1.0)
        serving.cancel()
        await asyncio.wait([serving])
        known = view.FleetView()
        known.evacuated.apply(stream.frames[0])
        assert known.evacuated.names == {'north'}
        whole = [frame for frame in stream.frames if not frame.part]
        assert {frame.evacuations_index for frame in whole} <= {3, 4}
        assert stream.frames[-1].evacuations_index == 4
        assert not stream.frames[-1].evacuated_data_centres

    virtual_time.run(check())


def test_first_part_of_a_large_frame_tells_the_evacuations(log_lines):
    large = fleet_pb2.FleetFrame()
    large.CopyFrom(test_watcher.VIEW_FRAME)
    large.evacuated_data_centres.append('north')
    large.evacuations_index = 5
    first, *_ = frames.split_frame(large)
    assert first.part
    test_watcher.watch([first], 0.5)
    (line,) = test_watcher.select(log_lines, 'evacuations.changed')
    assert (line['started'], line['index']) == (['north'], 5)


# Deployments without evacuations get the same frames as before.
def test_frames_without_evacuations_are_unchanged():
    (first, *_) = frames.split_frame(test_watcher.VIEW_FRAME)
    assert not first.evacuations_index
    assert 'evacuat' not in str(first)
