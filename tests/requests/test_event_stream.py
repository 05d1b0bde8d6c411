"""Progress of a stream, compared with a plain parse of its events."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from filbertglade.requests import event_stream

TEXTS = strategies.one_of(
    strategies.sampled_from(
        ['', 'a', 'content', 'chunk', '"', '\\', '\n', 'é', '\ud800', '}'],
    ),
    strategies.text(max_size=6),
)


def build_event(text, raw, other):
    delta = {'role': 'assistant', 'content': text}
    choices = [{'index': 0, 'delta': delta, 'finish_reason': None}]
    if other == 'two':
        choices.append({'index': 0, 'delta': {'content': 'b'}})
    if other == 'tool':
        delta['tool_calls'] = [{'id': 'x'}]
    event = {'id': 'chunk', 'choices': choices, 'text': text}
    if other != 'named':
        del event['text']
    found = json.dumps(event, ensure_ascii=not raw)
    return found.encode('utf-8', 'surrogatepass')


def parse_plainly(lines):
    text, tokens = '', 0
    for line in lines:
        choices = json.loads(line)['choices']
        if 'tool_calls' in choices[0]['delta']:
            text, tokens = None, tokens + 1
            continue
        part = ''.join(choice['delta']['content'] for choice in choices)
        tokens += bool(part)
        text = None if text is None else text + part
    return text, tokens


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            TEXTS,
            strategies.booleans(),
            strategies.sampled_from(['', '', '', 'two', 'named', 'tool']),
        ),
        max_size=12,
    ),
    strategies.booleans(),
)
def test_text_equals_a_plain_parse_of_the_events(events, is_read_often):
    lines = [build_event(*event) for event in events]
    progress = event_stream.StreamProgress()
    for line in lines:
        progress.add(b'data: ' + line + b'\n\n')
        assert not is_read_often or progress.tokens >= 0
    assert (progress.text, progress.tokens) == parse_plainly(lines)


def test_event_with_invalid_utf_8_is_not_counted():
    progress = event_stream.StreamProgress()
    for text in ('a', 'b', 'c'):
        line = build_event(text, True, '')
        progress.add(b'data: ' + line + b'\n\n')
        assert progress.tokens == 1 + 'abc'.index(text)
    broken = build_event('d', True, '').replace(b'"d"', b'"\xff"')
    progress.add(b'data: ' + broken + b'\n\n')
    assert (progress.text, progress.tokens) == ('abc', 3)


# Guards against an end of a stream that is misjudged by how its bytes arrive
# or how its lines end.
@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
@pytest.mark.parametrize('part_bytes', [1, 2, 3, 100])
def test_end_inside_an_event_is_told(line_end, part_bytes):
    stream = b'id: 1\ndata: a\n\ndata: b\n\n'.replace(b'\n', line_end)
    event_end = event_stream.EventEnd()
    assert not event_end.is_inside_event
    for start in range(0, len(stream), part_bytes):
        event_end.feed(stream[start : start + part_bytes])
        received = stream[: start + part_bytes]
        is_inside = not received.endswith(2 * line_end)
        # LF may still follow CR, but the empty line has ended.
        if line_end == b'\r\n' and received.endswith(b'\r\n\r'):
            is_inside = False
        assert event_end.is_inside_event is is_inside
