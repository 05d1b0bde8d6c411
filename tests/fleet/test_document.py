import pytest

from filbertglade.fleet import document
from tests.fleet import documents


def read(data):
    return document.read_document(documents.write(data))


def test_a_valid_document_is_read_and_unknown_keys_are_ignored():
    parsed, problems = read(documents.build(colour='green'))
    assert not problems
    assert parsed.version == 3
    assert parsed.routes[0].is_idempotent
    assert not parsed.routes[1].is_idempotent
    assert parsed.routes[2].is_idempotent


def test_a_truncated_document_is_rejected():
    text = documents.write(documents.PLAIN)
    parsed, problems = document.read_document(text[: len(text) // 2])
    assert parsed is None
    assert 'not JSON' in str(problems[0])


def change_route(data, **values):
    data['routes'][0].update(values)


@pytest.mark.parametrize(
    ('invalidate', 'key', 'message'),
    [
        (
            lambda data: change_route(data, service='nobody'),
            'routes[0].weighted_services',
            'no service',
        ),
        (
            lambda data: data['routes'][2].update(service='nobody'),
            'routes[2].service',
            'no service',
        ),
        (
            lambda data: change_route(data, path_prefix='/write/'),
            'routes[1].path_prefix',
            'another route',
        ),
        (
            lambda data: data['routes'][2]['weighted_services'][0].update(
                weight=0
            ),
            'routes[2].weighted_services',
            'add up to 0',
        ),
        (
            lambda data: change_route(data, timeout_ms=0),
            'routes[0].timeout_ms',
            'greater than 0',
        ),
        (
            lambda data: change_route(data, timeout_ms='2000'),
            'routes[0].timeout_ms',
            'valid',
        ),
        (
            lambda data: change_route(data, path_prefix='/read'),
            'routes[0].path_prefix',
            'slash',
        ),
        (
            lambda data: data['customers'].append(
                {'name': 'desk', 'keys': ['key-2']}
            ),
            'customers[1].keys',
            'shares a key',
        ),
        (
            lambda data: data.pop('services'),
            'services',
            'missing',
        ),
    ],
)
def test_an_invalid_document_names_the_key(invalidate, key, message):
    data = documents.build()
    invalidate(data)
    parsed, problems = read(data)
    assert parsed is None
    assert any(
        problem.key == key and message in problem.message
        for problem in problems
    ), [str(problem) for problem in problems]


def test_the_longest_prefix_of_a_path_wins():
    index = document.RoutingIndex(read(documents.PLAIN)[0])
    assert index.find_route('desk.example', '/read/a/b').name == 'read'
    assert index.find_route('DESK.example', '/read/open/x').name == 'open'
    assert index.find_route('desk.example', '/read/opened').name == 'read'
    assert index.find_route('desk.example', '/rea') is None
    assert index.find_route('other.example', '/read/a') is None


def test_a_key_belongs_to_its_customer():
    index = document.RoutingIndex(read(documents.PLAIN)[0])
    assert index.find_customer('key-2').name == 'garden'
    assert index.find_customer('key-3') is None
    assert index.needs_keys


def test_a_document_is_logged_with_size_and_time(log_lines):
    text = documents.write(documents.PLAIN)
    assert document.read_index(3, text).document.version == 3
    (line,) = [
        line for line in log_lines if line['message_type'] == 'document.read'
    ]
    assert line['bytes'] == len(text)
    assert line['parse_ms'] >= 0
    assert line['index_ms'] >= 0


def test_an_unreadable_document_is_logged(log_lines):
    assert document.read_index(3, b'{}') is None
    events = [line['message_type'] for line in log_lines]
    assert events == ['document.unreadable']
