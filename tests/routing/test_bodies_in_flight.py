"""Bodies that arrive several times at one moment."""

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


def test_equal_bodies_of_one_moment_run_in_one_place():
    """Pattern of high load.

    A body that crashes engines, sent 20 times through three nodes at one
    moment, felled twelve of fourteen.
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


def test_a_body_that_ended_ties_no_later_one():
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
