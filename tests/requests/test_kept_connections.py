"""Requests on kept connections that break, through a node."""

import concurrent.futures
import contextlib
import socket
import subprocess
import sys
import threading
import time

import httpx
import pytest

from filbertglade.requests import retry_budget
from tests import cluster as clusters
from tests.requests import announcing
from tests.requests import forking_worker
from tests.requests import request_cluster

WARMING_CALLS = 6
MAX_TRIES = 1 + retry_budget.MAX_RETRIES
# Calls on connections that the worker has closed: more than the reserve of
# the retry budget.
CLOSED_CALLS = 15
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@pytest.fixture
def forking(node, tmp_path):
    """The folder of a worker that outlives the crashes of its processes."""
    process = subprocess.Popen(
        [sys.executable, forking_worker.__file__, str(tmp_path)],
        stdout=subprocess.PIPE,
        text=True,
    )
    announcer = None
    try:
        address = process.stdout.readline().strip()
        announcer = announcing.Announcer(node, 'forking-1', address)
        clusters.wait_until(lambda: ask(node).status_code == 200, 'serving')
        yield tmp_path
    finally:
        if announcer is not None:
            announcer.close()
        process.terminate()
        process.wait()
        process.stdout.close()
        wait_until_unserved(node)


def wait_until_unserved(node):
    """Wait until no worker of an ended test is in the node's view."""
    clusters.wait_until(lambda: ask(node).status_code != 200, 'not serving')


def ask(node, path='/beans', **headers):
    return httpx.get(
        f'{node.url}/services/{request_cluster.SERVICE}{path}',
        headers={**request_cluster.AUTHORIZED, **headers},
        timeout=20,
    )


def keep_connections(node):
    """Let the node keep several connections to the worker."""
    with concurrent.futures.ThreadPoolExecutor(WARMING_CALLS) as pool:
        answers = list(pool.map(ask, [node] * WARMING_CALLS))
    assert [answer.status_code for answer in answers] == [200] * WARMING_CALLS


# Guards against a request that runs once more for each kept connection that
# breaks: a request that crashes its worker crashed two processes a try.
def test_killing_request_on_kept_connections_runs_once_a_try(node, forking):
    keep_connections(node)
    response = ask(node, forking_worker.KILLING_PATH)
    assert response.headers['X-Outcome'] == 'unknown'
    assert forking_worker.read_runs(forking) <= MAX_TRIES


# Guards against a second run of a request that must run at most once.
def test_unrepeatable_request_runs_once_beside_kept_connections(node, forking):
    keep_connections(node)
    response = ask(
        node, forking_worker.KILLING_PATH, **{'X-Idempotent': 'false'}
    )
    assert response.headers['X-Outcome'] == 'unknown'
    assert forking_worker.read_runs(forking) == 1


class ClosingWorker:
    """Closes each connection once it has been idle for a while.

    :ivar idle_s: for how long.
    :ivar closed: number of connections closed.
    :ivar is_late: whether it closes a connection as its second request
        arrives, in place of earlier.
    """

    def __init__(self, node):
        self.idle_s = 0.05
        self.closed = 0
        self.is_late = False
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self._announcer = announcing.Announcer(
            node, 'closing-1', f'{host}:{port}'
        )
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._announcer.close()
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
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError), connection:
            connection.settimeout(20)
            while b'\r\n\r\n' in connection.recv(65_536):
                connection.sendall(OK)
                if self.is_late:
                    connection.settimeout(20)
                    connection.recv(65_536)
                    break
                connection.settimeout(self.idle_s)
            else:
                return
        self.closed += 1


@pytest.fixture
def closing(node):
    worker = ClosingWorker(node)
    try:
        clusters.wait_until(lambda: ask(node).status_code == 200, 'serving')
        yield worker
    finally:
        worker.close()
        wait_until_unserved(node)


def count(node, name):
    """Return a counter of the node; 0 if it was never counted."""
    lines = httpx.get(f'{node.url}/metrics').text.splitlines()
    return sum(
        float(line.rpartition(' ')[2])
        for line in lines
        if line.partition(' ')[0].partition('{')[0].endswith(name)
    )


# Guards against retries, and refusals without a budget for them, since a
# worker has closed connections that were idle.
def test_connections_that_the_worker_closed_cost_no_retry(node, closing):
    before = count(node, 'retries'), count(node, 'retries_denied')
    for _ in range(CLOSED_CALLS):
        time.sleep(2 * closing.idle_s)
        assert ask(node).headers['X-Outcome'] == 'complete'
    assert closing.closed >= CLOSED_CALLS
    assert before == (count(node, 'retries'), count(node, 'retries_denied'))


# Guards against a request that fails since the worker closed its connection
# just as it was sent.
def test_request_on_a_connection_that_is_being_closed_is_retried(
    node, closing
):
    closing.is_late = True
    assert ask(node).status_code == 200
    before = count(node, 'retries'), closing.closed
    assert ask(node).headers['X-Outcome'] == 'complete'
    assert before == (count(node, 'retries') - 1, closing.closed - 1)
