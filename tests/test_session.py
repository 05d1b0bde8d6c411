"""End-to-end session of a caller and an operator with real processes.

Six nodes, three of them control hosts, with stand-ins for hosts and service
workers. The exchanges of both sessions are compared with tests/golden.
"""

import functools
import hashlib
import json

import httpx
import openai
import psutil
import pytest

from filbertglade.standin import engine
from tests import cluster as clusters
from tests import recording

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
def watcher(running):
    child_watcher = clusters.ChildWatcher(
        [node.process.pid for node in running.nodes]
    )
    child_watcher.start()
    yield child_watcher
    child_watcher.stop()


@pytest.fixture(scope='module', autouse=True)
def _watch_from_start(watcher):
    """Polls for child processes from this module's first test on."""


def _is_listening(node):
    try:
        httpx.get(f'{node.administration_url}/v1/config')
    except httpx.TransportError:
        return False
    return True


@pytest.fixture(scope='module')
def running(tmp_path_factory):
    cluster = clusters.Cluster(tmp_path_factory.mktemp('cluster'))
    cluster.configure_nodes(3, 3)
    cluster.start_nodes()
    cluster.start_standin('--hosts', '4')
    cluster.start_standin(
        '--hosts', '3', '--service', 'listings', '--prefix', 'listing'
    )
    try:
        clusters.wait_until(cluster.find_leader, 'a leader')
        node = cluster.nodes[4]
        clusters.wait_until(lambda: _is_listening(node), 'the node to listen')
        response = httpx.put(
            f'{node.administration_url}/v1/config', json=build_document()
        )
        assert response.status_code == 200, response.text
        clusters.wait_until(lambda: _is_serving_everywhere(cluster), 'serving')
        yield cluster
    finally:
        cluster.close()


def _is_serving_everywhere(cluster):
    if not all(node.is_ready() for node in cluster.nodes):
        return False
    return all(
        request_completion(node).status_code == 200 for node in cluster.nodes
    )


def request_completion(node):
    return httpx.post(
        f'{node.url}/v1/chat/completions',
        headers=AUTHORIZED,
        json={
            'model': 'swap-writer',
            'messages': [{'role': 'user', 'content': PROMPT}],
            'max_tokens': 8,
        },
    )


def test_complete_and_streamed_responses_through_every_node(running):
    expected = ''.join(engine.expected_tokens(PROMPT, 8))
    for node in running.nodes:
        response = request_completion(node)
        assert response.headers['X-Outcome'] == 'complete'
        text = response.json()['choices'][0]['message']['content']
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
        response = httpx.get(
            f'{node.url}/services/listings/beans?kind=runner',
            headers=AUTHORIZED,
        )
        assert response.json()['path'] == '/beans?kind=runner'


def test_operator_sees_nodes_groups_and_hosts(running):
    status = running.nodes[5].get('/v1/status')
    assert [node['name'] for node in status['nodes']] == [
        f'node-{i}' for i in range(1, 7)
    ]
    assert [group['phase'] for group in status['groups']] == ['serving']
    assert len(status['hosts']) == 7
    assert clusters.wait_until(
        lambda: _config_status(running)['in_force_everywhere'], 'in force'
    )


def _config_status(running):
    url = running.nodes[3].administration_url
    output = clusters.run_command('config', 'status', '--url', url).stdout
    return json.loads(output)


def test_callers_session(running, file_regression):
    session = recording.Session()
    chat = {
        'model': 'swap-writer',
        'messages': [{'role': 'user', 'content': PROMPT}],
        'max_tokens': 3,
    }
    path = '/v1/chat/completions'
    urls = [f'{node.url}{path}' for node in running.nodes]
    post_to_all = functools.partial(
        session.record_exchange_with_all,
        method='POST',
        urls=urls,
        headers=AUTHORIZED,
    )
    post_to_all('whole', json=chat)
    post_to_all('streamed', json=chat | {'stream': True})
    node = running.nodes[5]
    post = functools.partial(
        session.record_exchange, method='POST', url=f'{node.url}{path}'
    )
    post('no key', json=chat)
    post('wrong key', headers={'Authorization': 'Bearer other'}, json=chat)
    post('no JSON', headers=AUTHORIZED, content='{')
    post('no object', headers=AUTHORIZED, json=[])
    post('no model', headers=AUTHORIZED, json={'messages': []})
    post('unknown model', headers=AUTHORIZED, json=chat | {'model': 'none'})
    for name, value in (
        ('X-Deadline-Ms', 'soon'),
        ('X-Idempotent', 'maybe'),
        ('Idempotency-Key', 'k' * 256),
    ):
        headers = AUTHORIZED | {name: value}
        post(f'wrong {name}', headers=headers, json=chat)
    once = AUTHORIZED | {'X-Idempotent': 'false', 'Idempotency-Key': 'a'}
    post('run once', headers=once, json=chat)
    post('run once, sent again', headers=once, json=chat)
    other = chat | {'max_tokens': 4}
    post('run once, with another body', headers=once, json=other)
    post('too large', headers=AUTHORIZED, content=' ' * 5_000_000)
    for method, path in (
        ('GET', '/services/listings/beans?kind=runner'),
        ('POST', '/services/listings/swaps'),
        ('GET', '/services/none/beans'),
        ('GET', '/nothing'),
        ('DELETE', '/v1/chat/completions'),
        ('GET', '/healthz'),
        ('GET', '/readyz'),
    ):
        url = f'{node.url}{path}'
        session.record_exchange(
            f'{method} {path}', method, url, headers=AUTHORIZED
        )
    file_regression.check(
        session.render(), fullpath=recording.GOLDEN / 'callers.txt'
    )


def test_metrics_have_the_times_of_requests(running):
    url = f'{running.nodes[0].url}/v1/chat/completions'
    body = {
        'model': 'swap-writer',
        'messages': [{'role': 'user', 'content': PROMPT}],
        'max_tokens': 4,
    }
    once = AUTHORIZED | {'X-Idempotent': 'false', 'Idempotency-Key': 'b'}
    httpx.post(url, headers=once, json=body)
    httpx.post(url, headers=AUTHORIZED, json=body | {'stream': True})
    metrics = httpx.get(f'{running.nodes[0].url}/metrics').text
    for name in ('first_token', 'between_tokens', 'queue_wait', 'claim'):
        for quantile in ('0.5', '0.95', '0.99', '1'):
            label = f'filbertglade_{name}_ms{{quantile="{quantile}"}} '
            assert label in metrics
    assert 'filbertglade_requests{outcome="complete"}' in metrics


def test_operators_session(running, file_regression):
    session = recording.Session()
    clusters.wait_until(
        lambda: _config_status(running)['in_force_everywhere'], 'in force'
    )
    roots = [f'{node.administration_url}/v1' for node in running.nodes]
    for path in ('config', 'config/status', 'config/history', 'status'):
        urls = [f'{root}/{path}' for root in roots]
        session.record_exchange_with_all(path, 'GET', urls)
    url = f'{running.nodes[2].administration_url}/v1/config'
    put = functools.partial(session.record_exchange, method='PUT', url=url)
    put('resend', json=build_document())
    put('race', json=build_document() | {'change_id': 'other'})
    put('number ahead', json=build_document(3))
    put('change_id of another document', json=build_document() | {'number': 2})
    put('faults', json=build_document() | {'number': 'x', 'services': [{}]})
    put('no JSON', content='{')
    put('too large', content=' ' * 2_000_000)
    session.record_exchange('unknown path', 'GET', f'{url}/nothing')
    file_regression.check(
        session.render(), fullpath=recording.GOLDEN / 'operators.txt'
    )


def test_time_line_of_six_logs(running, tmp_path):
    paths = [str(node.log_path) for node in running.nodes]
    text = clusters.run_command('timeline', *paths).stdout
    lines = [line.split() for line in text.splitlines()]
    seen = {(line[1], line[3].lstrip('!')) for line in lines}
    for node in running.nodes:
        assert (node.name, 'node.started') in seen
        assert (node.name, 'configuration.in_force') in seen
    names = {name for _, name in seen}
    assert names >= {
        'leader.elected',
        'configuration.accepted',
        'group.formed',
        'group.serving',
        'host.seen',
    }
    assert 'task.failed' not in names
    assert clusters.KEY not in text
    page = tmp_path / 'timeline.html'
    clusters.run_command('timeline', *paths, '--html', str(page))
    assert page.read_text().count('<tr class="change') == len(lines)


def test_nodes_start_no_other_process(running, watcher):
    checks = watcher.checks
    clusters.wait_until(lambda: watcher.checks > checks + 3, 'a few checks')
    assert watcher.children == []
    for node in running.nodes:
        command_line = psutil.Process(node.process.pid).cmdline()
        assert clusters.build_program_command()[-1] in command_line


def test_time_line_names_lost_hosts_and_groups(running):
    """Must be the last test of this module: it kills all hosts."""
    for process in running.standins:
        process.kill()
    paths = [str(node.log_path) for node in running.nodes]

    def find_names():
        text = clusters.run_command('timeline', *paths).stdout
        return {line.split()[3].lstrip('!') for line in text.splitlines()}

    clusters.wait_until(
        lambda: find_names() >= {'group.lost', 'host.absent'}, 'the losses'
    )
