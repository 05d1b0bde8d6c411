"""Crashes, late responses, leaving hosts and shutdowns, with many callers."""

import concurrent.futures
import signal
import time

import httpx
import pytest

from filbertglade.standin import engine
from tests import cluster as clusters
from tests.requests import request_cluster

CALLERS = 200
STREAMS = 50
RETRIES = 20
HELD_AT_TOKEN = 200
LEAVING_LIMIT_S = 3.0


@pytest.fixture(autouse=True)
def no_faults(running):
    yield
    running.restore_nodes()
    running.clear_faults()


def stream(node, prompt, tokens):
    """Return a stream's text, outcome and whether it ended with DONE."""
    with httpx.stream(
        'POST',
        f'{node.url}/v1/chat/completions',
        headers=request_cluster.AUTHORIZED,
        json=request_cluster.build_body(prompt, tokens, stream=True),
        timeout=60,
    ) as response:
        if response.status_code != 200:
            response.read()
            return '', response.headers['X-Outcome'], False
        text, events, done = request_cluster.read_events(response)
        return text, request_cluster.read_outcome(events), done


def expected(prompt, tokens):
    return ''.join(engine.expected_tokens(prompt, tokens))


def test_late_answers_reach_their_own_callers(running):
    for address in running.engine_addresses():
        running.set_faults(address, late_ms=1500)
    prompts = [f'caller {i} asks for its own' for i in range(CALLERS)]
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        futures = [
            pool.submit(stream, running.nodes[i % 3], prompt, 5 + i % 7)
            for i, prompt in enumerate(prompts)
        ]
        for i, future in enumerate(futures):
            text, outcome, done = future.result()
            assert (outcome, done) == ('complete', True)
            assert text == expected(prompts[i], 5 + i % 7)


def test_body_that_crashes_engines_crashes_at_most_two(running):
    before = len(running.records('died'))
    others = [f'bystander {i}' for i in range(30)]
    with concurrent.futures.ThreadPoolExecutor(30) as pool:
        futures = [
            pool.submit(stream, running.nodes[i % 3], prompt, 600)
            for i, prompt in enumerate(others)
        ]
        prompt = f'{request_cluster.CRASH_MARKER} body'
        outcomes = []
        for i in range(RETRIES):
            response = running.complete(running.nodes[i % 3], prompt)
            outcomes.append(response.headers['X-Outcome'])
            assert response.status_code >= 500
            assert int(response.headers['Retry-After']) > 0
        results = [future.result() for future in futures]
    assert len(running.records('died')) - before <= 2
    assert outcomes[0] == 'unknown'
    assert 'complete' not in outcomes
    for prompt, (text, outcome, done) in zip(others, results, strict=True):
        if outcome == 'complete':
            assert done
            assert text == expected(prompt, 600)
        else:
            assert not done
            assert expected(prompt, 600).startswith(text)


def test_nothing_reaches_an_engine_at_another_epoch(running):
    address = running.engine_addresses()[0]
    before = len(running.records('request', prompt='stale epoch'))
    for headers in ({'X-Group': 'elsewhere'}, {'X-Epoch': '1'}):
        response = httpx.post(
            f'http://{address}/v1/chat/completions',
            headers=headers,
            json=request_cluster.build_body('stale epoch'),
        )
        assert response.status_code == 409
        assert response.headers['X-Outcome'] == 'not_run'
    assert len(running.records('request', prompt='stale epoch')) == before


def test_leaving_worker_gets_no_new_work(running):
    worker = 'worker-1'
    address = running.addresses()[worker]
    httpx.put(f'http://{address}/standin/leaving')
    time.sleep(LEAVING_LIMIT_S)
    before = len(running.records('call', host=worker))
    for i in range(30):
        response = httpx.get(
            f'{running.nodes[i % 3].url}/services/'
            f'{request_cluster.SERVICE}/beans',
            headers=request_cluster.AUTHORIZED,
        )
        assert response.headers['X-Outcome'] == 'complete'
    assert len(running.records('call', host=worker)) == before


def test_node_frozen_for_long_routes_to_no_lost_engine(running):
    node = running.nodes[2]
    node.send_signal(signal.SIGSTOP)
    victims = running.engine_addresses()[:3]
    lost = [h for h, a in running.addresses().items() if a in victims]
    for address in victims:
        httpx.delete(f'http://{address}/standin/faults')
    clusters.wait_until(
        lambda: {e['host'] for e in running.records('died')} >= set(lost),
        'engines dead',
    )
    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        prompts = [f'sent while frozen {i}' for i in range(20)]
        futures = [pool.submit(stream, node, text, 5) for text in prompts]
        time.sleep(10)
        node.send_signal(signal.SIGCONT)
        results = [future.result() for future in futures]
    for prompt, (text, outcome, done) in zip(prompts, results, strict=True):
        assert outcome in ('complete', 'not_run')
        if outcome == 'complete':
            assert (text, done) == (expected(prompt, 5), True)
    hosts = {
        entry['host']
        for entry in running.records('request')
        if entry['prompt'] in prompts
    }
    assert not hosts & set(lost)
    clusters.wait_until(running.serves_everywhere, 'serving again')


def test_shutdown_cuts_no_stream(running):
    node = running.nodes[0]
    for address in running.engine_addresses():
        running.set_faults(address, hold_at_token=HELD_AT_TOKEN)
    prompts = [f'until the end {i}' for i in range(STREAMS)]
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        futures = [pool.submit(stream, node, text, 400) for text in prompts]
        clusters.wait_until(
            lambda: (
                sum(
                    entry['prompt'] in prompts
                    for entry in running.records('request')
                )
                == STREAMS
            ),
            'all streams in flight',
        )
        node.send_signal(signal.SIGTERM)
        clusters.wait_until(lambda: not node.is_ready(), 'not ready', 5)
        refused = clusters.wait_until(
            lambda: (
                (found := running.complete(node, 'too late')).status_code
                == 503
                and found
            ),
            'a refusal',
            10,
        )
        assert refused.headers['X-Outcome'] == 'not_run'
        running.clear_faults()
        results = [future.result() for future in futures]
    for prompt, (text, outcome, done) in zip(prompts, results, strict=True):
        assert (outcome, done) == ('complete', True)
        assert text == expected(prompt, 400)
    assert node.process.wait(20) == 0
