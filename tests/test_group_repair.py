"""A real host that freezes, is replaced, and comes back as if nothing was."""

import json
import signal

import httpx
import pytest

from tests import cluster as clusters
from tests import test_session

HOSTS = 5


@pytest.fixture
def running(tmp_path):
    cluster = clusters.Cluster(tmp_path)
    cluster.configure_nodes(1, 2)
    cluster.start_nodes()
    try:
        clusters.wait_until(cluster.find_leader, 'a leader')
        # A single voter is elected before the other nodes listen.
        clusters.wait_until(
            lambda: all(node.get('/v1/status') for node in cluster.nodes),
            'every node',
        )
        yield cluster
    finally:
        cluster.close()


def _start_hosts(cluster, folder):
    """Start each host as a process of its own; return them by name."""
    hosts = {}
    for number in range(HOSTS):
        prefix = f'solo-{number}'
        hosts[f'{prefix}-1'] = cluster.start_standin(
            '--hosts',
            '1',
            '--prefix',
            prefix,
            '--record',
            str(folder / f'{prefix}-1.jsonl'),
        )
    return hosts


def _read_taken(folder, host):
    text = (folder / f'{host}.jsonl').read_text()
    return [json.loads(line) for line in text.splitlines()]


def _find_group(cluster):
    status = cluster.nodes[0].get('/v1/status')
    groups = status['groups'] if status else []
    return groups[0] if groups else None


def _answers_everywhere(cluster):
    return all(
        test_session._complete(node).status_code == 200
        for node in cluster.nodes
    )


def test_a_frozen_host_is_replaced_and_let_go_when_it_thaws(running, tmp_path):
    hosts = _start_hosts(running, tmp_path)
    answer = httpx.put(
        f'{running.nodes[1].administration_url}/v1/config',
        json=test_session.build_document(),
    )
    assert answer.status_code == 200, answer.text
    clusters.wait_until(lambda: _answers_everywhere(running), 'serving')
    first = _find_group(running)
    frozen = first['hosts'][0]
    hosts[frozen].send_signal(signal.SIGSTOP)
    clusters.wait_until(
        lambda: (
            _find_group(running)['epoch'] > first['epoch']
            and _answers_everywhere(running)
        ),
        'serving again at a new epoch',
    )
    assert frozen not in _find_group(running)['hosts']
    before = len(_read_taken(tmp_path, frozen))
    hosts[frozen].send_signal(signal.SIGCONT)
    clusters.wait_until(
        lambda: any(
            taken.get('action') == 'release'
            for taken in _read_taken(tmp_path, frozen)[before:]
        ),
        'the thawed host is released',
    )
    taken = _read_taken(tmp_path, frozen)[before:]
    # What it took before it was frozen may have waited in its socket.
    actions = [item.get('action', item['kind']) for item in taken]
    assert actions.index('drain') < actions.index('release')
    assert 'load' not in actions
    assert _answers_everywhere(running)
