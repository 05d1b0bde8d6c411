"""Engines killed with kill -9 in the middle of their streams."""

import concurrent.futures

from tests import cluster as clusters
from tests.requests.losses import loss_cluster

TOKENS = 10
# Before the first token, after it, in the middle, and after the last token
# but before the end of the stream.
KILLED_AT = (0, 1, 5, TOKENS)


def set_faults_of_solo(running, **plan):
    addresses = running.addresses()
    for host, process in running.solo.items():
        if process.poll() is None:
            running.set_faults(addresses[host], **plan)


def find_holder(running, prompt):
    """Return the host that pauses a prompt's stream, or None."""
    for request in running.records('request', prompt=prompt):
        if running.records('held', run=request['run']):
            return request['host']
    return None


def kill_at_tokens(running, name, tokens, **headers):
    """Kill engines at given tokens; return results and prompts by token."""
    plan = {'refuses_continuations': name == 'refused'}
    prompts = {token: f'killed-{name}-{token}' for token in tokens}
    holders = set()
    with concurrent.futures.ThreadPoolExecutor(len(tokens)) as pool:
        futures = {}
        for i, (token, prompt) in enumerate(prompts.items()):
            set_faults_of_solo(running, hold_at_token=token, **plan)
            futures[token] = pool.submit(
                loss_cluster.send, running.nodes[i], prompt, TOKENS, **headers
            )
            holders.add(
                clusters.wait_until(
                    lambda prompt=prompt: find_holder(running, prompt),
                    f'{prompt} held',
                )
            )
        set_faults_of_solo(running, **plan)
        for host in holders:
            running.solo[host].kill()
        results = {token: future.result() for token, future in futures.items()}
    set_faults_of_solo(running)
    for token, prompt in prompts.items():
        complete = loss_cluster.expected(prompt, TOKENS)
        assert results[token].is_consistent(complete), (token, results[token])
    return results, prompts


def test_engines_that_continue_the_text_complete_the_response(running):
    results, prompts = kill_at_tokens(running, 'continued', KILLED_AT)
    for token, prompt in prompts.items():
        assert results[token].outcome == 'complete', (token, results[token])
        taken = running.records('request', prompt=prompt)
        assert [entry['given'] for entry in taken] == [0, token]


def test_engines_that_refuse_to_continue_end_the_stream_as_unknown(running):
    results, prompts = kill_at_tokens(running, 'refused', KILLED_AT)
    # Nothing of the first was passed on, so that another engine restarted it.
    assert results[0].outcome == 'complete'
    for token in KILLED_AT[1:]:
        assert results[token].outcome == 'unknown', (token, results[token])
        assert running.records('not_continued', prompt=prompts[token])


def test_request_that_must_run_at_most_once_is_not_continued(running):
    results, prompts = kill_at_tokens(
        running, 'once', (0, TOKENS), X_Idempotent='false'
    )
    for token, prompt in prompts.items():
        assert results[token].outcome == 'unknown', (token, results[token])
        assert len(running.records('request', prompt=prompt)) == 1
