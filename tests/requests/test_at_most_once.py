"""Non-idempotent requests through real sockets run at most once."""

import concurrent.futures
import random
import signal

import httpx
import pytest

from benchmarks import at_most_once
from filbertglade.standin import engine
from tests import cluster as clusters
from tests.requests import request_cluster

SOAK_CASES = 100
SOAK_SEED = 11
MARKED = {'X-Idempotent': 'false'}


@pytest.fixture(autouse=True)
def no_faults(running):
    yield
    running.clear_faults()


def send(running, node, key, **headers):
    """Return the response, or None if the node gave none."""
    try:
        return running.complete(
            node, key, 6, X_Idempotent='false', Idempotency_Key=key, **headers
        )
    except httpx.HTTPError:
        return None


def send_all(running, nodes, keys):
    """Return the responses to requests with all keys, sent concurrently."""
    with concurrent.futures.ThreadPoolExecutor(len(keys)) as pool:
        return list(pool.map(send, [running] * len(keys), nodes, keys))


def count_runs(running, key):
    return len(running.records('request', key=key))


def delay_responses(running, late_ms):
    for address in running.engine_addresses():
        running.set_faults(address, late_ms=late_ms)


def wait_for_first_run(running, keys):
    clusters.wait_until(
        lambda: any(count_runs(running, key) for key in keys), 'a run'
    )


def is_complete_text(response, key):
    text = response.json()['choices'][0]['message']['content']
    return text == ''.join(engine.expected_tokens(key, 6))


def test_one_key_at_three_nodes_at_once_runs_once(running):
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        keys = [f'at-once-{i}' for i in range(12)]
        sent = {
            key: [
                pool.submit(send, running, node, key) for node in running.nodes
            ]
            for key in keys
        }
        for key, futures in sent.items():
            responses = [future.result() for future in futures]
            outcomes = [
                response.headers['X-Outcome'] for response in responses
            ]
            assert outcomes == ['complete'] * 3, (key, outcomes)
            assert all(
                is_complete_text(response, key) for response in responses
            )
            assert count_runs(running, key) == 1


def test_retry_at_another_node_joins_the_stream_in_flight(running):
    key = 'joined-stream'
    body = request_cluster.build_body(key, 400, stream=True)
    headers = {**request_cluster.AUTHORIZED, **MARKED, 'Idempotency-Key': key}
    texts = []
    with httpx.stream(
        'POST',
        f'{running.nodes[0].url}/v1/chat/completions',
        headers=headers,
        json=body,
    ) as first:
        lines = first.iter_lines()
        next(lines)
        with httpx.stream(
            'POST',
            f'{running.nodes[1].url}/v1/chat/completions',
            headers=headers,
            json=body,
        ) as second:
            texts.append(request_cluster.read_events(second))
    text, events, done = texts[0]
    assert done
    assert request_cluster.read_outcome(events) == 'complete'
    assert text == ''.join(engine.expected_tokens(key, 400))
    assert count_runs(running, key) == 1


def test_other_body_with_the_same_key_is_refused(running):
    assert send(running, running.nodes[0], 'reused').status_code == 200
    response = running.complete(
        running.nodes[1],
        'another body',
        X_Idempotent='false',
        Idempotency_Key='reused',
    )
    assert response.status_code == 422
    assert response.headers['X-Outcome'] == 'not_run'


def test_call_marked_not_repeatable_runs_once_by_key(running):
    headers = {**request_cluster.AUTHORIZED, 'Idempotency-Key': 'order-1'}
    for node in running.nodes:
        response = httpx.post(
            f'{node.url}/services/{request_cluster.SERVICE}/orders',
            content=b'one packet',
            headers=headers,
        )
        assert response.headers['X-Outcome'] == 'complete'
        assert response.json()['body'] == 'one packet'
    assert len(running.records('call', key='order-1')) == 1


def test_request_without_a_key_is_dispatched_once(running):
    for address in running.engine_addresses():
        running.set_faults(address, cut_at_token=2, cut_times=9, forgets=True)
    response = running.complete(
        running.nodes[0], 'no key', X_Idempotent='false'
    )
    assert response.headers['X-Outcome'] == 'unknown'
    assert len(running.records('request', prompt='no key')) == 1


def test_claim_of_a_refused_request_is_released(running):
    for address in running.engine_addresses():
        running.set_faults(address, not_run_times=100)
    first = send(running, running.nodes[0], 'given-back')
    assert first.headers['X-Outcome'] == 'not_run', first.text
    running.clear_faults()
    again = send(running, running.nodes[1], 'given-back')
    assert again.headers['X-Outcome'] == 'complete'
    assert count_runs(running, 'given-back') == 1


def test_frozen_owner_serves_no_join_and_runs_nothing_late(running):
    owner = running.nodes[2]
    rng = random.Random(7)
    keys = [f'frozen-{i}' for i in range(30)]
    delay_responses(running, 500)
    with concurrent.futures.ThreadPoolExecutor(40) as pool:
        first = [pool.submit(send, running, owner, key) for key in keys]
        wait_for_first_run(running, keys)
        owner.send_signal(signal.SIGSTOP)
        try:
            targets = [rng.choice(running.nodes[:2]) for _ in keys]
            responses = send_all(running, targets, keys)
        finally:
            owner.send_signal(signal.SIGCONT)
        for future in first:
            future.result()
    for key, response in zip(keys, responses, strict=True):
        assert count_runs(running, key) <= 1
        outcome = response.headers['X-Outcome']
        assert outcome in ('complete', 'unknown'), (key, outcome)


def test_killed_owner_causes_no_second_run(running):
    owner = running.nodes[1]
    keys = [f'killed-{i}' for i in range(30)]
    delay_responses(running, 500)
    with concurrent.futures.ThreadPoolExecutor(40) as pool:
        first = [pool.submit(send, running, owner, key) for key in keys]
        wait_for_first_run(running, keys)
        owner.kill()
        for future in first:
            future.result()
    retried = send_all(running, [running.nodes[0]] * len(keys), keys)
    owner.start()
    clusters.wait_until(owner.is_ready, 'the owner again')
    again = send_all(running, [owner] * len(keys), keys)
    for key, responses in zip(
        keys, zip(retried, again, strict=True), strict=True
    ):
        runs = count_runs(running, key)
        assert runs <= 1
        for response in responses:
            assert response is not None
            if response.headers['X-Outcome'] == 'not_run':
                assert runs == 0
            elif response.headers['X-Outcome'] == 'complete':
                assert runs == 1


def test_randomised_cases_under_faults(tmp_path):
    tally = at_most_once.run_soak(tmp_path, SOAK_CASES, SOAK_SEED)
    assert tally.outcomes['complete'] > SOAK_CASES
    assert tally.is_good, tally


def test_without_a_quorum_nothing_runs(running):
    others = running.nodes[1:]
    for node in others:
        node.send_signal(signal.SIGSTOP)
    try:
        response = send(
            running, running.nodes[0], 'no-quorum', X_First_Send='true'
        )
        retried = send(running, running.nodes[0], 'no-quorum')
    finally:
        for node in others:
            node.send_signal(signal.SIGCONT)
    assert response.headers['X-Outcome'] == 'not_run'
    assert retried.headers['X-Outcome'] == 'unknown'
    assert count_runs(running, 'no-quorum') == 0
    clusters.wait_until(running.serves_everywhere, 'serving again')
    later = clusters.wait_until(
        lambda: (
            (found := send(running, running.nodes[0], 'no-quorum'))
            and found.headers['X-Outcome'] == 'complete'
        ),
        'the key being free',
    )
    assert later
    assert count_runs(running, 'no-quorum') == 1
