import time

import hypothesis
from hypothesis import strategies
import pytest

from filbertglade.observability import loop_delay
from filbertglade.replicas import layout

LARGE_FLEET = {f'd-{number}': 73 for number in range(15)}


def count_wanted(sizes):
    """Return the groups that the first layout of a large fleet wants."""
    endpoints = round(0.835 * sum(LARGE_FLEET.values()))
    return layout.count_groups(endpoints, sizes, [1 / size for size in sizes])


# Guards against leaders that lose their lease in the first layout of a large
# fleet, and so does the next one: their event loop was blocked for 0.5 s.
@pytest.mark.parametrize(
    'sizes', [[32, 8], [32, 8, 4], [32, 16, 8, 4], [4, 3], [8], [64, 40]]
)
def test_layout_of_a_large_fleet_does_not_block_the_event_loop(
    own_garbage, sizes
):
    wanted = count_wanted(sizes)
    began_s = time.thread_time()
    packed = layout.fit_groups(LARGE_FLEET, sizes, wanted)
    took_ms = 1000 * (time.thread_time() - began_s)
    assert took_ms < loop_delay.LOGGED_DELAY_MS
    assert any(map(any, packed.values()))


@pytest.mark.parametrize('sizes', [[32, 8], [32, 8, 4], [32, 16, 8, 4]])
def test_layout_of_a_large_fleet_holds_all_wanted_groups(sizes):
    wanted = count_wanted(sizes)
    packed = layout.fit_groups(LARGE_FLEET, sizes, wanted)
    assert [sum(kind) for kind in zip(*packed.values(), strict=True)] == wanted


def test_equal_groups_are_packed_with_spares_in_most_domains():
    wanted = layout.count_groups(45, [4, 3], [1, 1])
    assert wanted == [6, 7]
    packed = layout.pack_groups(dict.fromkeys('abcdef', 9), [4, 3], wanted)
    assert tuple(map(sum, zip(*packed.values(), strict=True))) == (6, 7)
    spares = [9 - 4 * big - 3 * small for big, small in packed.values()]
    assert sum(spares) == 9
    assert sum(spare > 0 for spare in spares) >= 5


def test_groups_that_do_not_fit_return_none():
    assert layout.pack_groups({'a': 9}, [4, 3], [2, 1]) is None


@pytest.mark.parametrize('place', [layout.pack_groups, layout.spread_groups])
@hypothesis.given(
    strategies.dictionaries(
        strategies.text('abcd', min_size=1, max_size=2),
        strategies.integers(0, 12),
        max_size=5,
    ),
    strategies.lists(strategies.integers(1, 5), min_size=1, max_size=2),
    strategies.lists(strategies.integers(0, 4), min_size=2, max_size=2),
)
def test_packed_groups_never_take_more_than_a_domain_has(
    place, endpoints, sizes, wanted
):
    wanted = wanted[: len(sizes)]
    packed = place(endpoints, sizes, wanted)
    if packed is None:
        return
    for domain, counts in packed.items():
        taken = sum(
            count * size for count, size in zip(counts, sizes, strict=True)
        )
        assert taken <= endpoints[domain]
    totals = [sum(column) for column in zip(*packed.values(), strict=True)]
    assert (totals or [0] * len(sizes)) == wanted
