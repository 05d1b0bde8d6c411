"""Announced lengths of bodies."""

import pytest

from filbertglade import http_lengths


# Guards against a length that raises an exception in place of a refusal.
@pytest.mark.parametrize(
    ('text', 'length'),
    [
        ('', 0),
        ('0', 0),
        ('4194304', 4_194_304),
        (f'{4_194_304:0100}', 4_194_304),
        ('-1', 0),
        ('1,2', 0),
        ('many', 0),
        ('9' * 5000, int('9' * http_lengths.MAX_DIGITS)),
    ],
)
def test_lengths(text, length):
    assert http_lengths.read_length(text) == length
