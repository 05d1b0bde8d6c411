"""Engines killed with kill -9 in the middle of their streams."""

import concurrent.futures

from tests import cluster as clusters
from tests.requests.losses import loss_cluster

TOKENS = 10
# None, the first, one in the middle, and the last without the end.
KILLED_AT = (0, 1, 5, TOKENS)


def set_faults_of_solo(losing, **plan):
    addresses = losing.addresses()
    for host, process in losing.solo.items():
        if process.poll() is None:
            losing.set_faults(addresses[host], **plan)


def find_holder(losing, prompt):
    """Return the host that holds a prompt's stream where it is to die."""
    for request in losing.records('request', prompt=prompt):
        if losing.records('held', run=request['run']):
            return request['host']
    return None


def kill_at_tokens(losing, name, tokens, **headers):
    """Return, by token, what the callers were told and their prompts."""
    plan = {'refuses_continuations': name == 'refused'}
    prompts = {token: f'killed-{name}-{token}' for token in tokens}
    holders = set()
    with concurrent.futures.ThreadPoolExecutor(len(tokens)) as pool:
        futures = {}
        for i, (token, prompt) in enumerate(prompts.items()):
            set_faults_of_solo(losing, hold_at_token=token, **plan)
            futures[token] = pool.submit(
                loss_cluster.send, losing.nodes[i], prompt, TOKENS, **headers
            )
            holders.add(
                clusters.wait_until(
                    lambda prompt=prompt: find_holder(losing, prompt),
                    f'{prompt} held',
                )
            )
        set_faults_of_solo(losing, **plan)
        for host in holders:
            losing.solo[host].kill()
        told = {token: future.result() for token, future in futures.items()}
    set_faults_of_solo(losing)
    for token, prompt in prompts.items():
        whole = loss_cluster.expected(prompt, TOKENS)
        assert told[token].is_true(whole), (token, told[token])
    return told, prompts


def test_engines_that_go_on_with_the_text_give_the_whole_answer(losing):
    told, prompts = kill_at_tokens(losing, 'continued', KILLED_AT)
    for token, prompt in prompts.items():
        assert told[token].outcome == 'complete', (token, told[token])
        taken = losing.records('request', prompt=prompt)
        assert [entry['given'] for entry in taken] == [0, token]


def test_engines_that_do_not_go_on_leave_an_end_that_says_so(losing):
    told, prompts = kill_at_tokens(losing, 'refused', KILLED_AT)
    # Of the first nothing was given, so that another began it anew.
    assert told[0].outcome == 'complete'
    for token in KILLED_AT[1:]:
        assert told[token].outcome == 'unknown', (token, told[token])
        assert losing.records('not_continued', prompt=prompts[token])


def test_what_must_run_at_most_once_is_not_continued(losing):
    told, prompts = kill_at_tokens(
        losing, 'once', (0, TOKENS), X_Idempotent='false'
    )
    for token, prompt in prompts.items():
        assert told[token].outcome == 'unknown', (token, told[token])
        assert len(losing.records('request', prompt=prompt)) == 1
