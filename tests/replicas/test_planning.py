"""Patterns of losses, and what is planned for them."""

import pytest

from filbertglade.fleet import document
from filbertglade.replicas import plan_types
from filbertglade.replicas import planning

BIG = document.ModelShape('big', size=4, share=0.57)
SMALL = document.ModelShape('small', size=3, share=0.43, pace=0.6)


def spare(key, domain='d1', model='small', is_warm=True):
    staged = frozenset([model] if model else [])
    return plan_types.FreeEndpoint(
        key,
        domain,
        staged,
        spare_model=model if is_warm else '',
        is_warm=is_warm,
    )


def group(name, members, lost=(), model='small', domain='d1', **fields):
    present = tuple(key for key in members if key not in lost)
    return plan_types.Group(
        name, 7, model, domain, tuple(members), present, **fields
    )


def plan(groups=(), free=(), has_traffic=True):
    situation = plan_types.PlannerInput(
        [BIG, SMALL], 13, list(groups), list(free), has_traffic
    )
    return planning.Planner(situation).plan()


def pick(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def test_a_lost_member_is_replaced_by_a_spare_that_joins_fastest():
    actions = plan(
        [group('g', 'abc', lost='b')],
        [spare('x', is_warm=False), spare('y'), spare('z', model='big')],
    )
    formed = pick(actions, plan_types.FormGroup)[0]
    assert (formed.group, formed.epoch) == ('g', 7)
    assert formed.members == ('a', 'c', 'y')


def test_a_lost_head_gives_its_place_to_the_next_member():
    actions = plan([group('g', 'abc', lost='a')], [spare('y')])
    assert pick(actions, plan_types.FormGroup)[0].members == ('b', 'c', 'y')


def test_a_spare_that_lacks_the_model_never_mends():
    actions = plan([group('g', 'abc', lost='b')], [spare('y', model='big')])
    assert not pick(actions, plan_types.FormGroup)


def test_a_spare_of_another_domain_mends_only_without_a_near_one():
    far = spare('f', domain='d2')
    near = plan([group('g', 'abc', lost='b')], [far, spare('n')])
    assert pick(near, plan_types.FormGroup)[0].members == ('a', 'c', 'n')
    across = plan([group('g', 'abc', lost='b')], [far])
    assert pick(across, plan_types.FormGroup)[0].members == ('a', 'c', 'f')


def test_two_broken_groups_of_a_model_make_one():
    """Pattern of scale-2: survivors idled for 20 s, each group one short."""
    actions = plan(
        [
            group('g', 'abc', lost='b'),
            group('h', 'def', lost='e', domain='d2'),
        ]
    )
    assert len(pick(actions, plan_types.ReleaseGroup)) == 1


def test_the_group_whose_head_is_there_is_given_up_for_the_other():
    """A silent head must first stand still no more: 5.5 s."""
    actions = plan([group('g', 'abc', lost='a'), group('h', 'def', lost='e')])
    released = pick(actions, plan_types.ReleaseGroup)
    assert [action.group for action in released] == ['h']


def test_a_group_without_survivors_is_given_up():
    actions = plan([group('g', 'abc', lost='abc')])
    assert pick(actions, plan_types.ReleaseGroup)[0].group == 'g'


def test_nothing_is_planned_for_whole_groups():
    assert plan([group('g', 'abc'), group('h', 'defg', model='big')]) == []


def test_the_first_layout_leaves_spares_in_each_domain():
    free = [
        spare(f'{domain}{place}', domain, model='', is_warm=False)
        for domain in ('d1', 'd2', 'd3', 'd4', 'd5', 'd6')
        for place in range(9)
    ]
    actions = plan(free=free, has_traffic=False)
    formed = pick(actions, plan_types.FormGroup)
    by_model = [action.model for action in formed]
    assert (by_model.count('big'), by_model.count('small')) == (6, 7)
    for action in formed:
        assert len({key[:2] for key in action.members}) == 1
    staged = [action.model for action in pick(actions, plan_types.StageModel)]
    assert len(staged) == 9
    assert abs(staged.count('big') - staged.count('small')) <= 1


def test_the_first_layout_follows_the_shares_of_the_hosts():
    """Pattern of the grown site.

    Nine in ten requests are for the small model, whose groups were as many as
    the large one's.
    """
    models = [
        document.ModelShape('big', size=16, share=0.5),
        document.ModelShape('small', size=4, share=0.5),
    ]
    free = [
        spare(f'd{domain}-{place}', f'd{domain}', model='', is_warm=False)
        for domain in range(6)
        for place in range(37)
    ]
    situation = plan_types.PlannerInput(models, 15, [], free, False)
    formed = pick(planning.Planner(situation).plan(), plan_types.FormGroup)
    hosts = {'big': 0, 'small': 0}
    for action in formed:
        hosts[action.model] += len(action.members)
    assert hosts['small'] >= 0.8 * hosts['big'] > 0


def test_spares_of_a_domain_hold_what_its_groups_need():
    """Pattern of trouble-1.

    A domain's spares held the other model, and its group went on slowly with a
    member of another domain.
    """
    actions = plan(
        [group('g', 'abcd', model='big'), group('h', 'efg', model='small')],
        [spare(key, model='', is_warm=False) for key in 'xyz'],
    )
    staged = [action.model for action in pick(actions, plan_types.StageModel)]
    assert sorted(staged) == ['big', 'big', 'small']


def test_a_newcomer_stages_what_brings_a_slow_group_home():
    actions = plan(
        [
            group(
                'g', 'abcd', model='big', cross_domain_members=frozenset('d')
            ),
            group('h', 'efg', model='small'),
        ],
        [spare('n', model='', is_warm=False)],
    )
    staged = pick(actions, plan_types.StageModel)
    assert staged == [plan_types.StageModel('n', 'big')]


def test_spares_stay_spares_while_groups_have_room():
    """Pattern of high load.

    A thirteenth group took the spares, and the next loss found none.
    """

    def groups(in_flight):
        return [
            group(members[0], members, in_flight=in_flight)
            for members in ('abc', 'def', 'ghi')
        ]

    spares = [spare(key) for key in 'wxyz']
    assert not pick(plan(groups(2), spares), plan_types.FormGroup)
    assert pick(plan(groups(9), spares), plan_types.FormGroup)
    # Far more spares than the first layout leaves serve nobody.
    many = [*spares, spare('u'), spare('v')]
    assert pick(plan(groups(2), many), plan_types.FormGroup)


def test_a_newcomer_stages_what_its_domain_lacks():
    actions = plan(
        [group('g', 'abcd', lost='b', model='big')],
        [spare('n', model='', is_warm=False)],
    )
    staged = pick(actions, plan_types.StageModel)
    assert staged == [plan_types.StageModel('n', 'big')]


def test_the_last_spare_of_a_model_is_not_staged_anew():
    actions = plan(
        [group('g', 'abcd', lost='b', model='big')],
        [spare('s', is_warm=True)],
    )
    assert not pick(actions, plan_types.StageModel)


def test_surplus_spares_are_staged_for_the_model_that_lacks_them():
    """Pattern of scale-2: six spares of one model beside a broken group."""
    free = [spare(f's{place}', domain=f'e{place}') for place in range(4)]
    groups = [
        group('g', 'abcd', lost='b', model='big'),
        group('h', 'efgh', model='big', domain='d3', in_flight=10),
        group('k', 'xyz', domain='d4'),
    ]
    actions = plan(groups, free)
    assert pick(actions, plan_types.StageModel)[0].model == 'big'
    # The store loads a few models at a time.
    newcomer = spare('n', domain='e0', model='', is_warm=False)
    actions = plan(groups, [*free, newcomer])
    staged = [action.key for action in pick(actions, plan_types.StageModel)]
    assert staged == ['n']


def test_spares_of_the_other_model_stay_while_its_groups_are_idle():
    """Pattern of scale-2, 6 s.

    One group went on slowly over two domains, and five spares of the other
    model were staged anew: all six loads that the store takes, for 16 s.
    """
    free = [spare(f's{place}', domain=f'e{place}') for place in range(5)]
    groups = [
        group(
            'g',
            'abcd',
            model='big',
            cross_domain_members=frozenset('d'),
            in_flight=4,
        ),
        group('h', 'efgh', model='big', domain='d3', in_flight=4),
        group('k', 'xyz', domain='d4', in_flight=4),
    ]
    assert not pick(plan(groups, free), plan_types.StageModel)


def test_idle_models_leave_other_domains_their_spares():
    """Pattern of scale-2.

    Each loss took another domain's last spare, and after 25 s every group of
    the large model was slow.
    """
    groups = [
        group('g', 'abcd', lost='b', model='big'),
        group('h', 'efgh', model='big', domain='d2', in_flight=4),
    ]
    free = [spare('s', domain='d2', model='big')]
    assert not pick(plan(groups, free), plan_types.FormGroup)
    groups[1].in_flight = 12
    formed = pick(plan(groups, free), plan_types.FormGroup)
    assert [action.group for action in formed] == ['g']


@pytest.mark.parametrize(('in_flight', 'formed'), [(5, 0), (12, 1)])
def test_scattered_spares_form_a_slow_group_only_under_load(in_flight, formed):
    """Pattern of scale-2, 33 to 44 s: full groups beside idle spares."""
    groups = [
        group('g', 'abc', in_flight=in_flight),
        group('h', 'defg', model='big'),
    ]
    free = [
        spare('x', 'd1'),
        spare('y', 'd2'),
        spare('z', 'd3'),
        spare('w', 'd4'),
    ]
    assert len(pick(plan(groups, free), plan_types.FormGroup)) == formed


def test_a_group_that_spans_domains_is_gathered_once_spares_suffice():
    wide = group('g', 'abf', cross_domain_members=frozenset('f'))
    actions = plan([wide], [spare('n')])
    assert pick(actions, plan_types.FormGroup)[0].members == ('a', 'b', 'n')


def test_a_spare_joins_a_group_of_one_with_what_its_host_holds():
    actions = plan(
        [group('g', 'abc')], [spare('s', is_warm=False, model='big')]
    )
    assert actions == [plan_types.WarmSpare('s', 'big', 'd1')]


def test_groups_of_a_model_that_is_named_no_more_are_given_up():
    actions = plan([group('g', 'abc', model='gone')])
    assert pick(actions, plan_types.ReleaseGroup)[0].group == 'g'


def test_a_model_without_any_group_takes_all_spares_it_needs():
    """Pattern: endpoints that start once callers have come already."""
    free = [spare('x'), spare('y'), spare('z')]
    formed = pick(plan(free=free), plan_types.FormGroup)
    assert [sorted(action.members) for action in formed] == [['x', 'y', 'z']]


def test_slow_groups_end_where_their_members_make_a_near_one():
    """Pattern of scale-2, 38 s.

    Five groups of the large model, each over two domains, held twenty hosts,
    and nothing was in time.
    """
    scattered = [
        group(
            name,
            members,
            model='big',
            domain=domain,
            cross_domain_members=frozenset(members[2:]),
            other_domains=('d1', 'd1'),
            in_flight=10,
        )
        for name, members, domain in (('g', 'abcd', 'd2'), ('h', 'efgh', 'd3'))
    ]
    released = pick(plan(scattered), plan_types.ReleaseGroup)
    assert [action.group for action in released] == ['g', 'h']
    with_spares = [spare('s', model='big'), spare('t', model='big')]
    released = pick(plan(scattered, with_spares), plan_types.ReleaseGroup)
    assert [action.group for action in released] == ['g']
    idle = [group('k', 'abcd', model='big', in_flight=1)]
    assert not pick(plan(idle, with_spares), plan_types.ReleaseGroup)
