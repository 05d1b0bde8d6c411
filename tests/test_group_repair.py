"""Replacement of a host process that freezes and later resumes."""

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
    """Start each host in a process of its own; return processes by name."""
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


def _read_record(folder, host):
    """Return the entries that a host's stand-in recorded."""
    text = (folder / f'{host}.jsonl').read_text()
    return [json.loads(line) for line in text.splitlines()]


def _find_group(cluster):
    status = cluster.nodes[0].get('/v1/status')
    groups = status['groups'] if status else []
    return groups[0] if groups else None


def _is_serving_everywhere(cluster):
    return all(
        test_session.request_completion(node).status_code == 200
        for node in cluster.nodes
    )


def test_frozen_host_is_replaced_and_released_after_resuming(
    running, tmp_path
):
    hosts = _start_hosts(running, tmp_path)
    response = httpx.put(
        f'{running.nodes[1].administration_url}/v1/config',
        json=test_session.build_document(),
    )
    assert response.status_code == 200, response.text
    clusters.wait_until(lambda: _is_serving_everywhere(running), 'serving')
    first_group = _find_group(running)
    frozen = first_group['hosts'][0]
    hosts[frozen].send_signal(signal.SIGSTOP)
    clusters.wait_until(
        lambda: (
            _find_group(running)['epoch'] > first_group['epoch']
            and _is_serving_everywhere(running)
        ),
        'serving again at a new epoch',
    )
    assert frozen not in _find_group(running)['hosts']
    recorded_before_resume = len(_read_record(tmp_path, frozen))
    hosts[frozen].send_signal(signal.SIGCONT)
    clusters.wait_until(
        lambda: any(
            recorded.get('action') == 'release'
            for recorded in _read_record(tmp_path, frozen)[
                recorded_before_resume:
            ]
        ),
        'the resumed host is released',
    )
    recorded = _read_record(tmp_path, frozen)[recorded_before_resume:]
    # Messages sent before the freeze may have waited in its socket, and so may
    # be recorded after the resume too.
    actions = [item.get('action', item['kind']) for item in recorded]
    assert actions.index('drain') < actions.index('release')
    assert 'load' not in actions
    assert _is_serving_everywhere(running)
