"""Chunked bodies, split at any position; and invalid chunked coding."""

import hypothesis
from hypothesis import strategies
import pytest

from filbertglade.requests import chunk_decoder


def encode(parts):
    lines = [b'%x\r\n%b\r\n' % (len(part), part) for part in parts]
    return b''.join(lines) + b'0\r\n\r\n'


def feed_split(decoder, data, split_points):
    edges = [0, *sorted(split_points), len(data)]
    pairs = zip(edges, edges[1:], strict=False)
    return b''.join(decoder.feed(data[begin:end]) for begin, end in pairs)


@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            strategies.binary(min_size=1, max_size=40),
            strategies.sampled_from([b'\r\n', b'0\r\n\r\n', b'5\r\n', b'x']),
        ),
        max_size=6,
    ),
    strategies.lists(strategies.integers(0, 60), max_size=20),
)
def test_body_does_not_depend_on_the_split(parts, split_points):
    decoder = chunk_decoder.ChunkDecoder()
    data = encode(parts)
    split_points = [cut for cut in split_points if cut < len(data)]
    assert feed_split(decoder, data, split_points) == b''.join(parts)
    assert decoder.is_done
    assert not decoder.is_broken
    assert not decoder.has_excess


@hypothesis.given(strategies.data())
def test_truncated_body_is_never_done(data):
    parts = [b'one', b'0\r\n\r\n', b'three']
    whole = encode(parts)
    cut = data.draw(strategies.integers(0, len(whole) - 1))
    decoder = chunk_decoder.ChunkDecoder()
    found = decoder.feed(whole[:cut])
    assert b''.join(parts).startswith(found)
    assert not decoder.is_done


@pytest.mark.parametrize(
    'data',
    [
        b'x\r\nabc\r\n',
        b'\r\nabc',
        b'-1\r\n',
        b'+3\r\nabc\r\n',
        b'3_0\r\nabc\r\n',
        b'3;name=value\r\nabc\r\n',
        b'3\r\nabcd\r\n',
        b'3\r\nabc\r\n0\r\nTrailer: x\r\n\r\n',
        b'0' * 64,
    ],
)
def test_invalid_coding_is_broken(data):
    decoder = chunk_decoder.ChunkDecoder()
    decoder.feed(data)
    assert decoder.is_broken
    assert not decoder.is_done


def test_bytes_beyond_the_end_are_detected():
    decoder = chunk_decoder.ChunkDecoder()
    assert decoder.feed(encode([b'abc']) + b'HTTP/1.1') == b'abc'
    assert decoder.has_excess
