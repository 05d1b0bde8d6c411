"""Routing of identical request bodies that arrive concurrently."""

import collections
import random

from filbertglade.routing import expected_wait
from filbertglade.routing import selection
from tests import fakes
from tests import virtual_time

NODES = 3
SENT = 20


def build_nodes():
    return [
        expected_wait.ExpectedWaitSelector(
            fakes.build_settings(), random.Random(seed)
        )
        for seed in range(NODES)
    ]


def test_identical_concurrent_bodies_run_on_one_endpoint():
    """Guards against a body that crashes many engines under high load.

    A body that crashes engines, sent 20 times concurrently through three
    nodes, crashed twelve of fourteen engines.
    """

    async def check():
        nodes = build_nodes()
        candidates = [fakes.build_candidate(f'group-{i}') for i in range(14)]
        chosen = collections.Counter()
        for number in range(SENT):
            features = selection.RequestFeatures(
                'a', b'crashes', target='writer'
            )
            node = nodes[number % NODES]
            found = node.choose(candidates, features)
            node.note_started(found, features)
            chosen[found.name] += 1
        assert len(chosen) == 1

    virtual_time.run(check())


def test_different_bodies_are_spread_over_idle_endpoints():
    async def check():
        node = build_nodes()[0]
        candidates = [fakes.build_candidate(f'group-{i}') for i in range(14)]
        chosen = collections.Counter()
        for number in range(SENT):
            features = selection.RequestFeatures(
                'a', b'%d' % number, target='writer'
            )
            found = node.choose(candidates, features)
            node.note_started(found, features)
            chosen[found.name] += 1
        assert max(chosen.values()) <= 2

    virtual_time.run(check())


def test_finished_body_does_not_pin_later_ones():
    async def check():
        node = build_nodes()[0]
        candidates = [fakes.build_candidate(f'group-{i}') for i in range(2)]
        features = selection.RequestFeatures('a', b'same', target='writer')
        first = node.choose(candidates, features)
        node.note_started(first, features)
        node.note_finished(first, features, 5, 100)
        others = [item for item in candidates if item is not first]
        other = selection.RequestFeatures('a', b'other', target='writer')
        for _ in range(5):
            node.note_started(first, other)
        assert node.choose(candidates, features) is others[0]

    virtual_time.run(check())
