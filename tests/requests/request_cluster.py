"""A cluster of real processes whose endpoints record what they receive."""

import contextlib
import hashlib
import json
import pathlib
import signal
import typing

import httpx

from tests import cluster as clusters

MODEL = 'swap-writer'
SERVICE = 'listings'
AUTHORIZED = {'Authorization': f'Bearer {clusters.KEY}'}
CRASH_MARKER = 'poisoned'
ENGINES = 14
WORKERS = 3
TIMINGS = """
[timings]
drain_delay_ms = 500
idle_timeout_ms = 5000
"""


def build_document(replicas: int = ENGINES) -> dict[str, typing.Any]:
    digest = hashlib.sha256(clusters.KEY.encode()).hexdigest()
    return {
        'number': 1,
        'change_id': 'first',
        'customers': [
            {
                'name': 'seminkovna',
                'key_sha256': digest,
                'requests_per_s': 10_000,
                'concurrent_requests': 10_000,
            }
        ],
        'fabric_domains': [
            {'name': 'fabric-1', 'data_centre': 'north', 'fencing': 'checked'}
        ],
        'deployments': [
            {
                'name': MODEL,
                'model': 'writer',
                'version': '1',
                'customers': ['seminkovna'],
                'fabric_domains': ['fabric-1'],
                'hosts_per_replica': 1,
                'replicas': replicas,
                'spare_hosts': 0,
            }
        ],
        'services': [
            {
                'name': SERVICE,
                'customers': ['seminkovna'],
                'not_repeatable': [
                    {'method': 'POST', 'path_prefix': '/orders'}
                ],
            }
        ],
    }


class RequestCluster:
    """A cluster with stand-in endpoints and their records."""

    def __init__(self, cluster: clusters.Cluster, record: pathlib.Path):
        self.cluster = cluster
        self._record = record

    @property
    def nodes(self) -> list[clusters.NodeProcess]:
        return self.cluster.nodes

    def records(self, kind: str, **fields: object) -> list[dict]:
        """Return the endpoints' records of a kind, filtered by fields."""
        found = []
        # What follows the last end of a line is still being written.
        ended = self._record.read_text().rpartition('\n')[0]
        for line in ended.splitlines():
            entry = json.loads(line)
            if entry['kind'] == kind and all(
                entry.get(name) == value for name, value in fields.items()
            ):
                found.append(entry)
        return found

    def addresses(self) -> dict[str, str]:
        """Return the addresses of the stand-in hosts, by host."""
        return {
            entry['host']: entry['address']
            for entry in self.records('listening')
        }

    def engine_addresses(self) -> list[str]:
        dead = {entry['host'] for entry in self.records('died')}
        return [
            address
            for host, address in self.addresses().items()
            if host.startswith('host-') and host not in dead
        ]

    def set_faults(self, address: str, **plan: object) -> None:
        """Set a host's fault plan; without arguments, clear it."""
        response = httpx.put(f'http://{address}/standin/faults', json=plan)
        assert response.status_code == 200, response.text

    def clear_faults(self) -> None:
        for address in self.engine_addresses():
            self.set_faults(address, crash_marker=CRASH_MARKER, releases=True)

    def restore_nodes(self) -> None:
        """Resume or restart every node, and wait until all serve."""
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
        clusters.wait_until(self._starts_and_serves, 'serving again')

    def _starts_and_serves(self) -> bool:
        for node in self.nodes:
            if node.process.poll() is not None:
                node.start()
        return self.serves_everywhere()

    def serves_everywhere(self) -> bool:
        return all(
            node.is_ready() and self.complete(node).status_code == 200
            for node in self.nodes
        )

    def complete(
        self,
        node: clusters.NodeProcess,
        prompt: str = 'hello',
        tokens: int = 4,
        **headers: str,
    ) -> httpx.Response:
        named = {
            key.replace('_', '-'): value for key, value in headers.items()
        }
        return httpx.post(
            f'{node.url}/v1/chat/completions',
            headers={**AUTHORIZED, **named},
            json=build_body(prompt, tokens),
            timeout=30,
        )


def build_body(
    prompt: str, tokens: int = 4, stream: bool = False
) -> dict[str, typing.Any]:
    return {
        'model': MODEL,
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': tokens,
        'stream': stream,
    }


@contextlib.contextmanager
def run_cluster(
    folder: pathlib.Path,
    control: int = 3,
    others: int = 0,
    engines: int = ENGINES,
    extra: str = TIMINGS,
    slots: int = 8,
    token_ms: int = 2,
) -> typing.Iterator[RequestCluster]:
    cluster = clusters.Cluster(folder)
    record = folder / 'record.jsonl'
    record.touch()
    running = RequestCluster(cluster, record)
    cluster.configure_nodes(control, others, extra)
    try:
        cluster.start_nodes()
        common = ('--record', str(record), '--crash-marker', CRASH_MARKER)
        cluster.start_standin(
            '--hosts', str(engines), '--token-ms', str(token_ms),
            '--slots', str(slots), *common,
        )  # fmt: skip
        cluster.start_standin(
            '--hosts', str(WORKERS), '--service', SERVICE, '--prefix',
            'worker', *common,
        )  # fmt: skip
        clusters.wait_until(cluster.find_leader, 'a leader')
        response = httpx.put(
            f'{cluster.nodes[0].administration_url}/v1/config',
            json=build_document(engines),
        )
        assert response.status_code == 200, response.text
        clusters.wait_until(running.serves_everywhere, 'serving')
        clusters.wait_until(
            lambda: _count_serving(cluster) == engines, 'every group serving'
        )
        yield running
    finally:
        cluster.close()


def _count_serving(cluster: clusters.Cluster) -> int:
    status = cluster.nodes[0].get('/v1/status') or {'groups': []}
    return sum(group['phase'] == 'serving' for group in status['groups'])


def read_events(response: httpx.Response) -> tuple[str, list[dict], bool]:
    """Return a stream's text, its events and whether it ended with [DONE]."""
    events, done = [], False
    for line in response.iter_lines():
        if line == 'data: [DONE]':
            done = True
        elif line.startswith('data: '):
            events.append(json.loads(line[6:]))
    text = ''.join(
        choice.get('delta', {}).get('content') or ''
        for event in events
        for choice in event.get('choices', ())
    )
    return text, events, done


def read_outcome(events: list[dict]) -> str:
    """Return the outcome that a stream's last event names."""
    last = events[-1]
    return last.get('outcome') or last['error']['outcome']
