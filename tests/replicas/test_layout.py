import hypothesis
from hypothesis import strategies

from filbertglade.replicas import layout


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
    endpoints, sizes, wanted
):
    wanted = wanted[: len(sizes)]
    packed = layout.pack_groups(endpoints, sizes, wanted)
    if packed is None:
        return
    for domain, counts in packed.items():
        taken = sum(
            count * size for count, size in zip(counts, sizes, strict=True)
        )
        assert taken <= endpoints[domain]
    totals = [sum(column) for column in zip(*packed.values(), strict=True)]
    assert (totals or [0] * len(sizes)) == wanted
