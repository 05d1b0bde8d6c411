"""Documents that are checked while they arrive."""

import random
import weakref

import orjson
import pytest

from filbertglade.fleet import document
from filbertglade.gateway import body_checks
from tests.fleet import documents

SEEDS = 300
PIECE_BYTES = 700


def feed(text, length=0, rng=None):
    """Return the first problems, and the bytes that had arrived."""
    check = body_checks.DocumentCheck(length, lambda size, problems: problems)
    body = bytearray()
    while len(body) < len(text):
        count = rng.randint(1, PIECE_BYTES) if rng else PIECE_BYTES
        body += text[len(body) : len(body) + count]
        problems = check.feed(body)
        if problems:
            return [str(each) for each in problems], len(body)
    return [], len(body)


def build_text(rng):
    data = documents.build(version=7)
    data['customers'][0]['keys'] += ['a,b', '"]}\\', 'řeka', '\u2028{']
    data['customers'] += [
        {'name': f'c-{number}', 'keys': [], 'more': [[], {}, -1.5e3, None]}
        for number in range(40)
    ]
    indent = orjson.OPT_INDENT_2 if rng.random() < 0.5 else 0
    return orjson.dumps(data, option=indent)


# Guards against valid documents that are refused, and against refusals that
# name another place than that of the whole document.
@pytest.mark.parametrize('seed', range(SEEDS))
def test_refusals_are_those_of_the_whole_document(seed):
    rng = random.Random(seed)
    text = build_text(rng)
    assert feed(text, len(text), rng) == ([], len(text))
    position = rng.randrange(len(text))
    change = rng.choice([b'', b',', b'"', b'}', b']', b'x', b'{', b'\n', b'0'])
    text = text[:position] + change + text[position + rng.randint(0, 1) :]
    found, _ = feed(text, len(text), rng)
    _, problems = document.read_document(text)
    if found:
        assert found == [str(each) for each in problems]


# Guards against bodies that are read to their end though they are invalid.
@pytest.mark.parametrize('change', [b',,', b'}', b'\xff', b'"a" 1,'])
def test_an_invalid_document_is_refused_early(change):
    text = documents.write_routes(7, 1_000_000)
    middle = text.index(b',', 500_000)
    found, arrived = feed(text[:middle] + change + text[middle:])
    assert found
    assert arrived < middle + 10 * PIECE_BYTES


def test_a_document_over_the_limit_is_refused_by_its_length():
    size = document.MAX_DOCUMENT_BYTES + 1
    found, _ = feed(b'{', size)
    _, problems = document.read_document(b' ' * size)
    assert found == [str(each) for each in problems]


# Guards against bodies that are read to their end though their first bytes
# are those of no document.
@pytest.mark.parametrize(
    'text',
    [b'xxx', b' \r\n\tx', b'[[', b'"some text', b'-1', b'{x', b'{"a" 1'],
)
def test_what_is_no_object_is_refused_at_once(text):
    found, arrived = feed(text + b'x' * 1_000_000)
    assert found
    assert arrived <= PIECE_BYTES


@pytest.mark.parametrize('text', [b'[]', b'1', b'"a"', b'null'])
def test_a_refusal_of_other_json_is_that_of_the_whole_document(text):
    found, _ = feed(text)
    _, problems = document.read_document(text)
    assert found == [str(each) for each in problems]


# Guards against parts of a body that stay until a garbage collection, as the
# errors of the parts were kept with their frames.
def test_a_check_is_freed_with_its_body(no_collection):
    check = body_checks.DocumentCheck(0, lambda size, problems: b'')
    text = documents.write_routes(7, 100_000)
    for size in range(1000, len(text), 1000):
        assert check.feed(bytearray(text[:size])) is None
    ended = weakref.ref(check)
    del check
    assert ended() is None
