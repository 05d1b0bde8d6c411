"""A cluster of single-host engines, one process each, and larger groups."""

import contextlib
import dataclasses
import json
import pathlib
import threading
import time
import typing

import httpx

from filbertglade.standin import engine
from tests import cluster as clusters
from tests.requests import request_cluster

GROUPED = 'swap-grouped'
GROUP_HOSTS = 4
GROUPS = 3
SPARES = 4
SOLO_ENGINES = 12
CONTROL_HOSTS = 3
# The node that is cut off or frozen; it is not a control host.
OUTER_NODE = 3
LOAD_PAUSE_S = 0.02
# The tests pause streams: the idle time-out must not end a paused stream, also
# on a busy machine.
TIMINGS = """
[timings]
drain_delay_ms = 500
idle_timeout_ms = 60000
header_timeout_ms = 2000
"""


def build_document() -> dict[str, typing.Any]:
    """Return a document with single-host engines and groups of four."""
    document = request_cluster.build_document(SOLO_ENGINES)
    document['fabric_domains'].append(
        {'name': 'fabric-2', 'data_centre': 'east', 'fencing': 'checked'}
    )
    grouped = {
        **document['deployments'][0],
        'name': GROUPED,
        'fabric_domains': ['fabric-2'],
        'hosts_per_replica': GROUP_HOSTS,
        'replicas': GROUPS,
    }
    document['deployments'].append(grouped)
    return document


class LossCluster(request_cluster.RequestCluster):
    """A cluster whose single-host engines can be killed.

    :ivar solo: the processes of single-host engines, by host.
    """

    def __init__(
        self, cluster: clusters.Cluster, folder: pathlib.Path
    ) -> None:
        record = folder / 'record.jsonl'
        record.touch()
        super().__init__(cluster, record)
        self._record_options = ('--record', str(record), '--token-ms', '2')
        self.solo: dict[str, typing.Any] = {}

    def start(self) -> None:
        """Start all processes, and wait until every group serves."""
        cluster = self.cluster
        cluster.configure_nodes(CONTROL_HOSTS, 1, TIMINGS)
        cluster.start_nodes()
        for number in range(SOLO_ENGINES):
            prefix = f'solo-{number}'
            self.solo[f'{prefix}-1'] = cluster.start_standin(
                '--hosts', '1', '--prefix', prefix, *self._record_options
            )
        cluster.start_standin(
            '--hosts', str(GROUPS * GROUP_HOSTS + SPARES), '--fabric-domain',
            'fabric-2', '--data-centre', 'east', '--prefix', 'grouped',
            *self._record_options,
        )  # fmt: skip
        clusters.wait_until(cluster.find_leader, 'a leader')
        response = httpx.put(
            f'{cluster.nodes[0].administration_url}/v1/config',
            json=build_document(),
        )
        assert response.status_code == 200, response.text
        clusters.wait_until(
            lambda: len(self.list_serving('')) == SOLO_ENGINES + GROUPS,
            'every group serving',
        )
        clusters.wait_until(self.serves_everywhere, 'serving')
        clusters.wait_until(
            lambda: all(
                send(node, 'grouped?', 2, model=GROUPED).outcome == 'complete'
                for node in self.nodes
            ),
            'groups of four serving',
        )

    def list_serving(self, deployment: str) -> list[dict[str, typing.Any]]:
        """Return the groups that serve according to the leader."""
        status = self.nodes[0].get('/v1/status') or {'groups': []}
        return [
            group
            for group in status['groups']
            if group['phase'] == 'serving'
            and deployment in ('', group['deployment'])
        ]

    def list_committed(self) -> dict[tuple[str, int], list[str]]:
        """Return the hosts of every committed group and epoch."""
        found = {}
        for node in self.nodes[:CONTROL_HOSTS]:
            for line in node.log_path.read_text().splitlines():
                entry = json.loads(line)
                if 'hosts' in entry and 'epoch' in entry:
                    found[entry['group'], entry['epoch']] = entry['hosts']
        return found


@dataclasses.dataclass(slots=True)
class StreamResult:
    """What a caller of a stream received.

    :param outcome: the outcome; an error text if the request failed.
    :param text: the text received.
    :param done: whether the stream ended with [DONE].
    """

    outcome: str
    text: str = ''
    done: bool = False

    def is_consistent(self, complete: str) -> bool:
        """Return whether the text received agrees with the outcome.

        :param complete: the complete text.
        """
        if self.outcome == 'complete':
            return self.done and self.text == complete
        if self.outcome == 'not_run':
            return not self.done and not self.text
        is_part = not self.done and complete.startswith(self.text)
        return self.outcome == 'unknown' and is_part


def expected(prompt: str, tokens: int) -> str:
    """Return the complete text for a prompt."""
    return ''.join(engine.expected_tokens(prompt, tokens))


def send(
    node: clusters.NodeProcess,
    prompt: str,
    tokens: int,
    model: str = request_cluster.MODEL,
    **headers: str,
) -> StreamResult:
    """Send a streamed request and return what the caller receives."""
    named = {key.replace('_', '-'): value for key, value in headers.items()}
    body = {
        **request_cluster.build_body(prompt, tokens, stream=True),
        'model': model,
    }
    with httpx.stream(
        'POST',
        f'{node.url}/v1/chat/completions',
        headers={**request_cluster.AUTHORIZED, **named},
        json=body,
        timeout=60,
    ) as response:
        if response.status_code != 200:
            response.read()
            return StreamResult(response.headers['X-Outcome'])
        text, events, done = request_cluster.read_events(response)
        return StreamResult(request_cluster.read_outcome(events), text, done)


class Load:
    """Callers that send short requests to each node, one after another."""

    def __init__(self, nodes: list[clusters.NodeProcess], model: str) -> None:
        self._model = model
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_all, args=(node,))
            for node in nodes
        ]
        self.inconsistent: list[StreamResult] = []
        self.count = 0

    def _send_all(self, node: clusters.NodeProcess) -> None:
        number = 0
        while not self._stopping.wait(LOAD_PAUSE_S):
            prompt = f'load {node.name} {number}'
            number += 1
            try:
                result = send(node, prompt, 4, model=self._model)
            except httpx.HTTPError as error:
                result = StreamResult(str(error))
            self.count += 1
            if not result.is_consistent(expected(prompt, 4)):
                self.inconsistent.append(result)

    @contextlib.contextmanager
    def running(self) -> typing.Iterator[None]:
        """Send until the end of the block."""
        for thread in self._threads:
            thread.start()
        try:
            yield
        finally:
            self._stopping.set()
            for thread in self._threads:
                thread.join()


def now_ms() -> int:
    """Return the clock used in the endpoints' records."""
    return int(time.monotonic() * 1000)
