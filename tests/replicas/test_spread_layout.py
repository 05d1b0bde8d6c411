"""The first layout over data centres, one of which may be lost.

Guards against a model that loses all or most of its groups with one data
centre, while another model loses none.
"""

import collections

import pytest

from filbertglade.fleet import document
from filbertglade.replicas import plan_types
from filbertglade.replicas import planning
from filbertglade.replicas import spread_layout

PLACES = ('north', 'south', 'west')


def make_input(domains, size, sizes, spreads_groups):
    free = [
        plan_types.FreeEndpoint(
            f'{domain}-{number}',
            f'd{domain}',
            data_centre=PLACES[domain * len(PLACES) // domains],
        )
        for domain in range(domains)
        for number in range(size)
    ]
    models = [
        document.ModelShape(f'm{count}', size=count, share=0.5)
        for count in sizes
    ]
    return plan_types.PlannerInput(
        models, 17, [], free, False, spreads_groups=spreads_groups
    )


def count_groups(planner_input):
    """Return the groups of each model by data centre."""
    places = {item.key: item.data_centre for item in planner_input.free}
    counts = collections.defaultdict(collections.Counter)
    for action in planning.Planner(planner_input).plan():
        if isinstance(action, plan_types.FormGroup):
            inside = {places[key] for key in action.members}
            assert len(inside) == 1
            counts[action.model][inside.pop()] += 1
    return counts


@pytest.mark.parametrize(
    ('domains', 'size', 'sizes', 'difference'),
    [
        (6, 27, (12, 6), 1),
        (9, 19, (8, 4), 1),
        (3, 9, (4, 3), 1),
        # Two endpoints of each domain are left over, so not all groups fit.
        (6, 11, (6, 3), 2),
    ],
)
def test_no_model_depends_on_one_data_centre(domains, size, sizes, difference):
    counts = count_groups(make_input(domains, size, sizes, True))
    assert len(counts) == len(sizes)
    for by_place in counts.values():
        numbers = [by_place[place] for place in PLACES]
        assert max(numbers) - min(numbers) <= difference
        assert sum(numbers) - max(numbers) > 0


def test_as_many_groups_as_without_spreading():
    spread = count_groups(make_input(6, 27, (12, 6), True))
    packed = count_groups(make_input(6, 27, (12, 6), False))
    for model, by_place in packed.items():
        assert sum(spread[model].values()) == sum(by_place.values())


def test_layout_is_as_before_where_no_data_centre_may_be_lost():
    planner_input = make_input(6, 27, (12, 6), False)
    assert count_groups(planner_input)['m12'] == {'north': 3, 'south': 2}


def test_groups_go_where_they_fit():
    packed = spread_layout.fit_groups(
        {'a': 12, 'b': 5, 'c': 0},
        {'a': 'north', 'b': 'south', 'c': 'west'},
        [6, 4],
        [2, 1],
    )
    assert packed == {'a': (2, 0), 'b': (0, 1)}
