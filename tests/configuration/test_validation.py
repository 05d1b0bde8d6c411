"""Validation reports every problem of a document with its key."""

import json

import pytest

from filbertglade.configuration import validation

HASH = '0' * 64
VALID = {
    'number': 1,
    'change_id': 'a',
    'customers': [{'name': 'x', 'key_sha256': HASH}],
    'fabric_domains': [{'name': 'f', 'data_centre': 'north'}],
    'deployments': [
        {
            'name': 'd',
            'model': 'm',
            'version': '1',
            'customers': ['x'],
            'fabric_domains': ['f'],
            'hosts_per_replica': 4,
            'replicas': 2,
        }
    ],
    'services': [{'name': 's', 'customers': ['x']}],
}


def _find_keys(data):
    text = data if isinstance(data, bytes) else json.dumps(data).encode()
    document, problems = validation.parse_document(text)
    assert (document is None) == bool(problems)
    return sorted(problem.key for problem in problems)


def test_valid_document():
    assert _find_keys(VALID) == []


def test_every_problem_is_reported_at_once():
    text = json.dumps(
        {
            'number': 1,
            'change_id': 'a',
            'customers': [{'name': 'x', 'key_sha256': HASH}] * 2,
            'services': [{'name': 's', 'customers': ['y'], 'extra': 1}],
            'limits': {'loads_at_once': 'many'},
        }
    )
    assert _find_keys(text.encode()) == [
        'customers[1].key_sha256',
        'customers[1].name',
        'limits.loads_at_once',
        'services[0].customers[0]',
        'services[0].extra',
    ]


@pytest.mark.parametrize(
    'path, value',
    [
        ('number', 0),
        ('number', 2**53),
        ('number', '1'),
        ('number', 1.0),
        ('number', True),
        ('change_id', ''),
        ('change_id', 'a b'),
        ('change_id', 'a' * 129),
        ('customers[0].key_sha256', 'A' * 64),
        ('customers[0].weight', 0),
        ('customers[0].weight', -1.5),
        ('customers[0].requests_per_s', None),
        ('customers[0].concurrent_requests', 10**30),
        ('deployments[0].hosts_per_replica', 0),
        ('deployments[0].priority', 10),
        ('deployments[0].objective', 'both'),
        ('deployments[0].adapter', 'a b'),
        ('deployments[0].spare_hosts', -1),
        ('deployments[0].customers[0]', 'nobody'),
        ('deployments[0].fabric_domains[0]', 'nowhere'),
        ('services[0].not_repeatable', {}),
        ('fabric_domains[0].fencing', 'maybe'),
        ('limits.claim_kept_ms', 10**12),
        ('unknown', 1),
    ],
)
def test_invalid_value(path, value):
    data = json.loads(json.dumps(VALID)) | {'limits': {}}
    *outer, last = path.replace('[', '.').replace(']', '').split('.')
    container = data
    for part in outer:
        container = container[int(part) if part.isdecimal() else part]
    container[int(last) if last.isdecimal() else last] = value
    assert _find_keys(data) == [path]


def test_invalid_name_makes_its_references_unknown():
    data = json.loads(json.dumps(VALID))
    data['customers'][0]['name'] = 'a/b'
    assert _find_keys(data) == [
        'customers[0].name',
        'deployments[0].customers[0]',
        'services[0].customers[0]',
    ]


def test_duplicate_name_in_a_deployment():
    data = json.loads(json.dumps(VALID))
    data['deployments'][0]['fabric_domains'] *= 2
    assert _find_keys(data) == ['deployments[0].fabric_domains[1]']


@pytest.mark.parametrize(
    'text, message',
    [
        (b'{', 'not valid JSON'),
        (b'\xff', 'not valid JSON'),
        (b'{"number": NaN}', 'NaN is no number'),
        (b'[' * 100_000, 'nested too deeply'),
        (b' ' * (validation.MAX_DOCUMENT_BYTES + 1), 'at most'),
    ],
)
def test_text_that_is_not_a_document(text, message):
    document, problems = validation.parse_document(text)
    assert document is None
    assert problems[0].key == '(document)'
    assert message in problems[0].message


def test_number_that_overflows():
    text = json.dumps(VALID).replace(
        '"key_sha256"', '"weight":1e999,"key_sha256"'
    )
    assert _find_keys(text.encode()) == ['customers[0].weight']


def test_duplicate_key():
    text = json.dumps(VALID).replace('"model"', '"model": "n", "model"')
    assert _find_keys(text.encode()) == ['deployments[0].model']


def test_warnings():
    data = json.loads(json.dumps(VALID))
    data['deployments'][0]['customers'] = []
    data['deployments'][0]['fabric_domains'] = []
    data['services'][0]['customers'] = []
    document, _ = validation.parse_document(json.dumps(data).encode())
    assert [item.key for item in validation.find_warnings(document)] == [
        'deployments[0].customers',
        'deployments[0].fabric_domains',
        'services[0].customers',
        'customers[0].name',
    ]
