"""Documents: every problem is reported with its key."""

import json

from filbertglade.configuration import validation


def test_names_must_be_known():
    text = json.dumps(
        {
            'number': 1,
            'change_id': 'a',
            'customers': [{'name': 'x', 'key_sha256': '0' * 64}] * 2,
            'services': [{'name': 's', 'customers': ['y'], 'extra': 1}],
        }
    )
    document, problems = validation.parse_document(text.encode())
    assert document is None
    assert [problem.key for problem in problems] == ['services[0].extra']
    document, problems = validation.parse_document(
        text.replace(', "extra": 1', '').encode()
    )
    assert document is None
    assert sorted(problem.key for problem in problems) == [
        'customers[1].key_sha256',
        'customers[1].name',
        'services[0].customers[0]',
    ]


def test_text_that_is_no_json():
    document, problems = validation.parse_document(b'{')
    assert document is None
    assert 'not valid JSON' in problems[0].message
