"""Answers of services without a length, through a node as a real process."""

import contextlib
import gzip
import json
import socket
import threading
import time

import httpx
import pytest

from tests import cluster as clusters
from tests.requests import announcing
from tests.requests import request_cluster

BODY = b'text ' * 4000
PART = BODY[:9000]
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
EVENTS_PART = EVENTS[:-6]
CHUNKED = 'Transfer-Encoding: chunked\r\n'


class RawService:
    """A service's host that sends given bytes and closes its connection.

    :ivar more: further header lines of its answers.
    :ivar body: the bytes that follow the head.
    :ivar is_crashing: whether its address refuses once an answer has ended.
    """

    def __init__(self, node):
        self.more = ''
        self.body = BODY
        self.is_crashing = False
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self._announcer = announcing.Announcer(node, 'raw-1', f'{host}:{port}')
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._announcer.close()
        # Wakes up the thread that accepts, so that the address refuses.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection):
        request = b''
        while b'\r\n\r\n' not in request:
            data = connection.recv(65_536)
            if not data:
                return
            request += data
        connection.sendall(f'HTTP/1.1 200 OK\r\n{self.more}\r\n'.encode())
        connection.sendall(self.body)
        time.sleep(0.1)
        if self.is_crashing:
            self.close()
        connection.close()


@pytest.fixture
def service(node):
    raw = RawService(node)
    clusters.wait_until(lambda: ask(node)[0] == 200, 'the service serving')
    yield raw
    raw.close()


def ask(node):
    """Return an answer's status and body; None for one that was cut."""
    url = f'{node.url}/services/{request_cluster.SERVICE}/beans'
    try:
        response = httpx.get(
            url, headers=request_cluster.AUTHORIZED, timeout=10
        )
    except httpx.TransportError:
        return None, b''
    return response.status_code, response.content


def check_not_complete(status, content, part):
    """Check that a caller can tell a part from a complete answer.

    A stream may end with an event that names the outcome.
    """
    if status == 200:
        assert content != part
        last = content.removeprefix(part).partition(b'data: ')[2]
        assert 'outcome' in json.dumps(json.loads(last))


# Guards against the loss of answers that end with their connection.
@pytest.mark.parametrize('kind', ['plain', 'event-stream'])
def test_whole_answer_without_length_is_served(service, node, kind):
    service.more = f'Content-Type: text/{kind}\r\n'
    service.body = EVENTS if kind == 'event-stream' else BODY
    assert ask(node) == (200, service.body)


# Guards against the part of a body that a crashed host has sent, served as a
# complete answer with a length.
def test_body_of_a_crashed_host_does_not_look_complete(service, node):
    service.more = 'Content-Type: text/plain\r\n'
    service.body = PART
    service.is_crashing = True
    check_not_complete(*ask(node), PART)


# Guards against a stream that ends inside an event, served as complete.
@pytest.mark.parametrize('is_crashing', [False, True], ids=['live', 'crash'])
@pytest.mark.parametrize('framing', ['connection', 'chunks', 'length'])
def test_stream_that_ends_inside_an_event_does_not_look_complete(
    service, node, framing, is_crashing
):
    service.more = 'Content-Type: text/event-stream\r\n'
    service.body = EVENTS_PART
    if framing == 'chunks':
        service.more += CHUNKED
        service.body = b'%x\r\n%s\r\n0\r\n\r\n' % (
            len(EVENTS_PART),
            EVENTS_PART,
        )
    if framing == 'length':
        service.more += f'Content-Length: {len(EVENTS_PART)}\r\n'
    service.is_crashing = is_crashing
    check_not_complete(*ask(node), EVENTS_PART)


def ask_raw(node, method='GET', version='1.1'):
    """Return an answer's head and the bytes until its connection ends."""
    host, port = node.url.removeprefix('http://').split(':')
    lines = [
        f'{method} /services/{request_cluster.SERVICE}/beans HTTP/{version}',
        'Host: x',
        *(f'{k}: {v}' for k, v in request_cluster.AUTHORIZED.items()),
    ]
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode())
        received = b''
        while data := connection.recv(65_536):
            received += data
    head, _, body = received.partition(b'\r\n\r\n')
    return head.decode().lower(), body


# Guards against an end that the service did not state, stated by the node.
@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize(
    'kind, body',
    [
        ('plain', BODY),
        ('plain', b''),
        ('plain', BODY * 300),
        ('event-stream', EVENTS),
    ],
    ids=['short', 'empty', 'long', 'stream'],
)
def test_end_that_was_not_stated_is_the_end_of_the_connection(
    service, node, kind, body, method, version
):
    service.more = f'Content-Type: text/{kind}\r\n'
    service.body = body if method == 'GET' else b''
    head, received = ask_raw(node, method, version)
    assert head.startswith('http/1.1 200 ')
    assert 'content-length' not in head
    assert 'transfer-encoding' not in head
    assert 'x-outcome: complete' not in head
    assert 'connection: close' in head
    assert received == service.body


# Guards against a stream or a long body of a crashed host that ends as if it
# were complete: only a reset tells an answer broken off from one that has
# neither a length nor chunks.
@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize(
    'kind, body',
    [('event-stream', EVENTS), ('plain', BODY * 300)],
    ids=['stream', 'long'],
)
def test_answer_of_a_crashed_host_is_reset(service, node, kind, body, version):
    service.more = f'Content-Type: text/{kind}\r\n'
    service.body = body
    service.is_crashing = True
    with pytest.raises(ConnectionResetError):
        ask_raw(node, version=version)


# Guards against a compressed stream whose bytes are taken for its events.
def test_stream_with_a_content_coding_is_not_judged_by_its_bytes(
    service, node
):
    body = gzip.compress(EVENTS)
    service.more = (
        'Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\n'
        f'Content-Length: {len(body)}\r\n'
    )
    service.body = body
    assert ask(node) == (200, EVENTS)
