"""A cluster of real processes in two regions that can be partitioned."""

import collections
import contextlib
import hashlib
import json
import pathlib
import threading
import typing

import httpx

from filbertglade.standin import engine
from tests import cluster as clusters
from tests import forwarding
from tests.requests import request_cluster

# The larger region has two of the three control hosts, and so a quorum.
LARGER = 'central'
SMALLER = 'moravia'
PLACES = (
    clusters.Place(LARGER, 'north'),
    clusters.Place(LARGER, 'east'),
    clusters.Place(SMALLER, 'south'),
    clusters.Place(LARGER, 'north'),
    clusters.Place(SMALLER, 'south'),
)
DOMAINS = {LARGER: 'fabric-north', SMALLER: 'fabric-south'}
CONTROL_HOSTS = 3
# The smaller region has hosts for one group only, the larger for two.
HOSTS = {LARGER: 4, SMALLER: 3}
HOSTS_PER_GROUP = 2
REPLICAS = len(DOMAINS)
# Number of the document in force once RegionCluster.start() has returned.
SETTLED_NUMBER = 2
TOKENS = 6
CALL_PAUSE_S = 0.05
CALL_TIMEOUT_S = 20.0


def build_document(
    number: int, change_id: str, domains: typing.Iterable[str] = ()
) -> dict[str, typing.Any]:
    """Return a document with one replica for each fabric domain.

    :param domains: names of the fabric domains; all without any.
    """
    domains = list(domains or DOMAINS.values())
    digest = hashlib.sha256(clusters.KEY.encode()).hexdigest()
    return {
        'number': number,
        'change_id': change_id,
        'customers': [
            {
                'name': 'seminkovna',
                'key_sha256': digest,
                'requests_per_s': 10_000,
                'concurrent_requests': 10_000,
            }
        ],
        'fabric_domains': [
            {'name': 'fabric-north', 'data_centre': 'north'},
            {'name': 'fabric-south', 'data_centre': 'south'},
        ],
        'deployments': [
            {
                'name': request_cluster.MODEL,
                'model': 'writer',
                'version': '1',
                'customers': ['seminkovna'],
                'fabric_domains': domains,
                'hosts_per_replica': HOSTS_PER_GROUP,
                'replicas': len(domains),
                'spare_hosts': 0,
            }
        ],
    }


class Caller:
    """Sends one completion request after another to a node.

    :param node: the node.
    :param name: part of every prompt.
    :ivar outcomes: responses by outcome; ``whole`` counts complete responses
        with the expected text.
    :ivar failed: prompt, status and body of each other response.
    """

    def __init__(self, node: clusters.NodeProcess, name: str) -> None:
        self._node = node
        self._name = name
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.failed: list[str] = []

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join(CALL_TIMEOUT_S + 1)
        assert not self._thread.is_alive()

    def _run(self) -> None:
        number = 0
        with httpx.Client(timeout=CALL_TIMEOUT_S) as client:
            while not self._stopping.wait(CALL_PAUSE_S):
                number += 1
                self._call(client, f'{self._name} {number}')

    def _call(self, client: httpx.Client, prompt: str) -> None:
        response = client.post(
            f'{self._node.url}/v1/chat/completions',
            headers=request_cluster.AUTHORIZED,
            json=request_cluster.build_body(prompt, TOKENS),
        )
        if is_complete(response, prompt):
            self.outcomes['whole'] += 1
            return
        self.outcomes[response.headers.get('X-Outcome', 'none')] += 1
        self.failed.append(f'{prompt}: {response.status_code} {response.text}')


def is_complete(response: httpx.Response, prompt: str) -> bool:
    """Tell whether a response holds the complete text for this prompt."""
    if response.status_code != 200:
        return False
    text = response.json()['choices'][0]['message']['content']
    return text == ''.join(engine.expected_tokens(prompt, TOKENS))


class RegionCluster:
    """Five nodes, three of them control hosts, and hosts in both regions.

    :param extra: further TOML tables in each node's settings.
    """

    def __init__(self, folder: pathlib.Path, extra: str) -> None:
        self._folder = folder
        self.links = forwarding.Links()
        self.cluster = clusters.Cluster(folder, self.links)
        self.cluster.configure_nodes(
            CONTROL_HOSTS,
            len(PLACES) - CONTROL_HOSTS,
            extra,
            places=PLACES,
        )

    def start(self) -> None:
        """Start all processes; wait until each region has a serving group."""
        self.cluster.start_nodes()
        for region, domain in DOMAINS.items():
            self._record_path(region).touch()
            self.cluster.start_standin(
                '--hosts', str(HOSTS[region]), '--prefix', region,
                '--fabric-domain', domain, '--token-ms', '2',
                '--data-centre', domain.removeprefix('fabric-'),
                '--record', str(self._record_path(region)), region=region,
            )  # fmt: skip
        clusters.wait_until(self.cluster.find_leader, 'a leader')
        domain = DOMAINS[SMALLER]
        self._put_and_check(build_document(1, 'first', [domain]))
        clusters.wait_until(lambda: self.list_domains() == [domain], 'a group')
        self._put_and_check(build_document(SETTLED_NUMBER, 'second'))
        clusters.wait_until(
            self.is_serving_everywhere, 'a group in each region'
        )
        assert self.list_domains() == sorted(DOMAINS.values())

    def _put_and_check(self, document: dict[str, typing.Any]) -> None:
        response = self.put(LARGER, document)
        assert response.status_code == 200, response.text

    def _record_path(self, region: str) -> pathlib.Path:
        return self._folder / f'{region}.jsonl'

    def close(self) -> None:
        self.cluster.close()

    def nodes(self, region: str) -> list[clusters.NodeProcess]:
        return [node for node in self.cluster.nodes if node.region == region]

    def entry_node(self, region: str) -> clusters.NodeProcess:
        """Return the region's node that is no control host."""
        return self.nodes(region)[-1]

    def list_domains(self) -> list[str]:
        """Return the fabric domain of each group, sorted."""
        groups = self.list_groups(LARGER) or []
        return sorted(group['fabric_domain'] for group in groups)

    def list_groups(self, region: str) -> list[dict[str, typing.Any]] | None:
        """Return the groups in the status of the region's entry node.

        None if it has no status, for instance without a leader.
        """
        status = self.entry_node(region).get('/v1/status')
        return None if status is None else status['groups']

    def list_reported_groups(self, region: str) -> set[str]:
        """Return the groups that the region's hosts report themselves in.

        A host without a group reports an empty name.
        """
        status = self.entry_node(region).get('/v1/status') or {'hosts': []}
        return {
            host['group']
            for host in status['hosts']
            if host['fabric_domain'] == DOMAINS[region]
        }

    def is_serving_everywhere(self) -> bool:
        """Tell whether all replicas serve and each node completes requests."""
        groups = self.list_groups(LARGER) or []
        return (
            len(groups) == REPLICAS
            and all(group['phase'] == 'serving' for group in groups)
            and all(
                node.is_ready() and self.is_request_served(node, 'hello')
                for node in self.cluster.nodes
            )
        )

    def set_region_links(self, state: forwarding.LinkState) -> None:
        """Set the state of all links between the regions, both ways."""
        for one in self.nodes(LARGER):
            for other in self.nodes(SMALLER):
                self.links.set_between(one.name, other.name, state)

    def open_all_links(self) -> None:
        self.links.open_all()

    def put(self, region: str, document: dict[str, typing.Any]) -> typing.Any:
        return httpx.put(
            f'{self.entry_node(region).administration_url}/v1/config',
            json=document,
            timeout=CALL_TIMEOUT_S,
        )

    def read_configuration_numbers(self) -> list[int]:
        """Return the number of the document in force on each node."""
        return [
            (node.get('/v1/config') or {'number': 0})['number']
            for node in self.cluster.nodes
        ]

    def is_request_served(
        self, node: clusters.NodeProcess, prompt: str
    ) -> bool:
        response = httpx.post(
            f'{node.url}/v1/chat/completions',
            headers=request_cluster.AUTHORIZED,
            json=request_cluster.build_body(prompt, TOKENS),
            timeout=CALL_TIMEOUT_S,
        )
        return is_complete(response, prompt)

    def send_at_most_once(self, region: str, key: str) -> httpx.Response:
        """Send a non-idempotent request to the region's entry node."""
        headers = {'X-Idempotent': 'false', 'Idempotency-Key': key}
        return httpx.post(
            f'{self.entry_node(region).url}/v1/chat/completions',
            headers={**request_cluster.AUTHORIZED, **headers},
            json=request_cluster.build_body(key, TOKENS),
            timeout=CALL_TIMEOUT_S,
        )

    def read_records(
        self, region: str, kind: str
    ) -> list[dict[str, typing.Any]]:
        """Return the entries of a kind that the region's hosts recorded."""
        lines = self._record_path(region).read_text().splitlines()
        entries = [json.loads(line) for line in lines]
        return [entry for entry in entries if entry['kind'] == kind]

    def count_runs(self, key: str) -> int:
        """Return how often hosts of any region ran the request of a key."""
        return sum(
            entry['key'] == key
            for region in DOMAINS
            for entry in self.read_records(region, 'request')
        )

    @contextlib.contextmanager
    def run_callers(self) -> typing.Iterator[dict[str, Caller]]:
        """Run a caller at each region's entry node during the block."""
        callers = {
            region: Caller(self.entry_node(region), region)
            for region in DOMAINS
        }
        for caller in callers.values():
            caller.start()
        try:
            yield callers
        finally:
            for caller in callers.values():
                caller.stop()
