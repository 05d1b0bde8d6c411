"""Frames in parts."""

import pytest

from filbertglade.fleet import frames
from filbertglade.inner import fleet_pb2


def build_frame(replicas):
    return fleet_pb2.FleetFrame(
        is_leader=True,
        is_whole=True,
        replicas=[
            fleet_pb2.Replica(group=f'g{number}', address='10.0.0.1:80')
            for number in range(replicas)
        ],
    )


def assemble(messages):
    assembler = frames.FrameAssembler()
    results = [assembler.add(message) for message in messages]
    assert results[:-1] == [None] * (len(results) - 1)
    return results[-1]


def test_a_small_frame_is_sent_as_it_is():
    frame = build_frame(3)
    assert list(frames.split_frame(frame)) == [frame]
    assert assemble([frame]) == frame


def test_the_view_of_a_large_fleet_is_sent_in_small_parts():
    frame = build_frame(5000)
    messages = list(frames.split_frame(frame))
    assert len(messages) > 5
    for message in messages:
        assert message.is_leader
        assert message.ByteSize() < frames.PART_BYTES + 100
    assert assemble(messages) == frame


def test_an_assembler_is_reused_for_the_next_frame():
    assembler = frames.FrameAssembler()
    for replicas in (2000, 1, 3000):
        frame = build_frame(replicas)
        assembled = [
            assembler.add(message) for message in frames.split_frame(frame)
        ]
        assert assembled[-1] == frame


def test_a_frame_of_any_length_is_not_buffered(monkeypatch):
    monkeypatch.setattr(frames, 'MAX_FRAME_BYTES', 20_000)
    with pytest.raises(ConnectionError):
        assemble(frames.split_frame(build_frame(5000)))
