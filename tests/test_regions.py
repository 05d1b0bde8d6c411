"""Two regions lose each other, for longer than every lease and time-out."""

import pytest

from filbertglade.observability import timeline
from tests import cluster as clusters
from tests import forwarding
from tests import regions

# Hosts behind a silent control host count as gone after four limits.
PRESENCE_LIMIT_MS = 3000
TIMINGS = f"""
[timings]
presence_limit_ms = {PRESENCE_LIMIT_MS}
"""
WAIT_S = 40.0
NEXT_NUMBER = regions.SETTLED_NUMBER + 1


@pytest.fixture(scope='module')
def running(tmp_path_factory):
    found = regions.RegionCluster(tmp_path_factory.mktemp('regions'), TIMINGS)
    try:
        found.start()
        yield found
    finally:
        found.close()


def _has_moved(running):
    """Whether all replicas serve in the larger region."""
    groups = running.list_groups(regions.LARGER) or []
    return len(groups) == regions.REPLICAS and all(
        group['phase'] == 'serving'
        and group['fabric_domain'] == regions.DOMAINS[regions.LARGER]
        for group in groups
    )


def _check_refused(running):
    """The side without a quorum says clearly that it takes no change."""
    change = regions.build_document(NEXT_NUMBER, 'from-the-smaller')
    answer = running.put(regions.SMALLER, change)
    assert answer.status_code in (503, 504), answer.text
    assert answer.json()['error']['message']
    assert 'Retry-After' in answer.headers


def _check_answered_truly(running):
    answer = running.send_once(regions.SMALLER, 'without-quorum')
    assert answer.headers['X-Outcome'] in ('unknown', 'not_run')
    assert answer.status_code >= 500, answer.text
    assert running.count_runs('without-quorum') == 0


def _check_cut(running):
    before = len(running.records(regions.SMALLER, 'order'))
    with running.run_callers() as callers:
        running.set_region_links(forwarding.LinkState.SILENT)
        clusters.wait_until(
            lambda: running.list_groups(regions.LARGER), 'a leader'
        )
        _check_refused(running)
        answer = clusters.wait_until(
            lambda: _put_accepted(running), 'a change accepted'
        )
        assert answer.json()['number'] == NEXT_NUMBER
        _check_answered_truly(running)
        promised = running.send_once(regions.LARGER, 'with-quorum')
        assert promised.headers['X-Outcome'] == 'complete'
        clusters.wait_until(lambda: _has_moved(running), 'moved', WAIT_S)
        numbers = running.read_configuration_numbers()
    assert numbers == [
        NEXT_NUMBER
        if node.region == regions.LARGER
        else regions.SETTLED_NUMBER
        for node in running.cluster.nodes
    ]
    for caller in callers.values():
        assert caller.failed == []
        assert caller.outcomes['whole'] > 0
    # Nobody gave the hosts beyond the cut an order.
    assert len(running.records(regions.SMALLER, 'order')) == before


def _put_accepted(running):
    answer = running.put(
        regions.LARGER, regions.build_document(NEXT_NUMBER, 'from-the-larger')
    )
    return answer if answer.status_code == 200 else None


def _check_healed(running):
    with running.run_callers() as callers:
        running.open_all_links()
        clusters.wait_until(
            lambda: (
                running.read_configuration_numbers()
                == [NEXT_NUMBER] * len(regions.PLACES)
            ),
            'the newest document in force everywhere',
        )
        clusters.wait_until(
            running.is_serving_everywhere, 'whole again', WAIT_S
        )
    for caller in callers.values():
        assert caller.failed == []
    for node in running.cluster.nodes:
        assert node.get('/v1/config')['change_id'] == 'from-the-larger'
    for region in regions.DOMAINS:
        for key in ('without-quorum', 'with-quorum'):
            answer = running.send_once(region, key)
            assert answer.headers['X-Outcome'] == 'complete', answer.text
            assert running.count_runs(key) == 1


def _check_hosts(running):
    """No host was in two groups, and none ran what it did not serve."""
    groups = running.list_groups(regions.LARGER)
    members = [host for group in groups for host in group['hosts']]
    assert len(members) == len(set(members))
    clusters.wait_until(
        lambda: running.list_reported_groups(regions.SMALLER) == {''},
        'the hosts of the group that has moved are free',
    )
    for region in regions.DOMAINS:
        assert running.records(region, 'refused') == []


def _check_logs(running):
    for node in running.cluster.nodes:
        events = list(timeline.read_log(node.log_path))
        errors = [event.name for event in events if event.level == 'error']
        assert errors == []
        numbers = [
            event.fields['number']
            for event in events
            if event.name == 'configuration.in_force'
        ]
        assert numbers == sorted(numbers)


def test_regions_that_lose_each_other_serve_on_and_agree_again(running):
    _check_cut(running)
    _check_healed(running)
    _check_hosts(running)
    _check_logs(running)
