"""The whole path: six node processes, stand-ins, a caller, an operator."""

import hashlib
import json

import httpx
import openai
import pytest

from filbertglade.standin import engine
from tests import cluster as clusters

PROMPT = 'Swap two packets of Bohemian runner beans.'
AUTHORIZED = {'Authorization': f'Bearer {clusters.KEY}'}


def build_document(number: int = 1) -> dict[str, object]:
    return {
        'number': number,
        'change_id': f'change-{number}',
        'customers': [
            {
                'name': 'seminkovna',
                'key_sha256': hashlib.sha256(
                    clusters.KEY.encode()
                ).hexdigest(),
            }
        ],
        'fabric_domains': [
            {
                'name': 'fabric-1',
                'data_centre': 'north',
                'fencing': 'checked',
            }
        ],
        'deployments': [
            {
                'name': 'swap-writer',
                'model': 'writer',
                'version': '1',
                'customers': ['seminkovna'],
                'fabric_domains': ['fabric-1'],
                'hosts_per_replica': 4,
                'replicas': 1,
            }
        ],
        'services': [{'name': 'listings', 'customers': ['seminkovna']}],
    }


@pytest.fixture(scope='module')
def running(tmp_path_factory):
    cluster = clusters.Cluster(tmp_path_factory.mktemp('cluster'))
    cluster.lay_out(3, 3)
    cluster.found()
    cluster.start_standin('--hosts', '4')
    cluster.start_standin(
        '--hosts', '3', '--service', 'listings', '--prefix', 'listing'
    )
    try:
        clusters.wait_until(cluster.find_leader, 'a leader')
        node = cluster.nodes[4]
        answer = httpx.put(
            f'{node.administration_url}/v1/config', json=build_document()
        )
        assert answer.status_code == 200, answer.text
        clusters.wait_until(lambda: _serves_everywhere(cluster), 'serving')
        yield cluster
    finally:
        cluster.close()


def _serves_everywhere(cluster):
    if not all(node.is_ready() for node in cluster.nodes):
        return False
    return all(_complete(node).status_code == 200 for node in cluster.nodes)


def _complete(node):
    return httpx.post(
        f'{node.url}/v1/chat/completions',
        headers=AUTHORIZED,
        json={
            'model': 'swap-writer',
            'messages': [{'role': 'user', 'content': PROMPT}],
            'max_tokens': 8,
        },
    )


def test_whole_and_streamed_answers_through_every_node(running):
    expected = ''.join(engine.expected_tokens(PROMPT, 8))
    for node in running.nodes:
        answer = _complete(node)
        assert answer.headers['X-Outcome'] == 'complete'
        text = answer.json()['choices'][0]['message']['content']
        assert text == expected
        client = openai.OpenAI(
            base_url=f'{node.url}/v1', api_key=clusters.KEY, max_retries=0
        )
        chunks = client.chat.completions.create(
            model='swap-writer',
            messages=[{'role': 'user', 'content': PROMPT}],
            max_tokens=8,
            stream=True,
        )
        streamed = ''.join(
            chunk.choices[0].delta.content or ''
            for chunk in chunks
            if chunk.choices
        )
        assert streamed == expected


def test_service_call_reaches_a_worker(running):
    for node in running.nodes:
        answer = httpx.get(
            f'{node.url}/services/listings/beans?kind=runner',
            headers=AUTHORIZED,
        )
        assert answer.json()['path'] == '/beans?kind=runner'


def test_operator_sees_nodes_groups_and_hosts(running):
    status = running.nodes[5].get('/v1/status')
    assert [node['name'] for node in status['nodes']] == [
        f'node-{i}' for i in range(1, 7)
    ]
    assert [group['phase'] for group in status['groups']] == ['serving']
    assert len(status['hosts']) == 7
    config = json.loads(
        clusters.run_command(
            'config', 'status', '--url', running.nodes[3].administration_url
        ).stdout
    )
    assert config['in_force_everywhere']
