"""Names that go into the headers of requests to endpoints.

Guards against requests whose connection is closed without an answer, and
against names that add headers of their own.
"""

import types

import pytest
from tornado import httputil

from filbertglade import failures
from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.fleet import endpoints
from filbertglade.fleet import header_text
from filbertglade.forwarding import heads

ANNOUNCEMENT = (
    b'{"service":"api","address":"10.0.0.1:80","zone":"n","state":"ready",'
    b'"sequence":1,"slots":4}'
)


@pytest.mark.parametrize(
    ('name', 'sent'),
    [
        ('plain', b'plain'),
        ('Zahr\xe1dka', b'Zahr\xe1dka'),
        ('\u7a2e', '\u7a2e'.encode()),
    ],
)
def test_names_reach_the_endpoint(name, sent):
    request = types.SimpleNamespace(
        method='GET', target='/x', body=b'', headers=httputil.HTTPHeaders()
    )
    head = heads.build_request_head(
        request, dialects.DEFAULT, name, name, 100, ''
    )
    lines = head.split(b'\r\n')
    assert dialects.DEFAULT.customer.encode() + b': ' + sent in lines
    assert dialects.DEFAULT.target.encode() + b': ' + sent in lines


@pytest.mark.parametrize('name', ['a\r\nb: c', 'a\nb', '\x00', ' a', 'a\x7f'])
def test_unsendable_names_are_refused_as_they_are_put(name):
    assert not header_text.is_sendable(name)
    given = document.RoutingDocument(
        1, [], [], customers=[document.Customer(name)]
    )
    problems = document.check_document(given)
    assert [item.key for item in problems] == ['customers[0].name']
    refused = endpoints.read_announcement(name, ANNOUNCEMENT)
    assert isinstance(refused, failures.Failure)
    assert refused.reason is endpoints.AnnouncementReason.MALFORMED
