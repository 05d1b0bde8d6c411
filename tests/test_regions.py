"""A partition between two regions, longer than every lease and time-out.

Links between the regions are silent: connections stay open without data. Both
regions must serve on, only the side with a quorum may accept changes, and all
must agree once the links are open again.
"""

import pytest

from filbertglade.observability import timeline
from tests import cluster as clusters
from tests import forwarding
from tests import regions

# Hosts attached to a silent control host are absent after four times this.
PRESENCE_LIMIT_MS = 3000
TIMINGS = f"""
[timings]
presence_limit_ms = {PRESENCE_LIMIT_MS}
"""
RECOVERY_LIMIT_S = 40.0
NEXT_NUMBER = regions.SETTLED_NUMBER + 1


@pytest.fixture(scope='module')
def running(tmp_path_factory):
    region_cluster = regions.RegionCluster(
        tmp_path_factory.mktemp('regions'), TIMINGS
    )
    try:
        region_cluster.start()
        yield region_cluster
    finally:
        region_cluster.close()


def _has_moved(running):
    """Tell whether all replicas serve in the larger region."""
    groups = running.list_groups(regions.LARGER) or []
    return len(groups) == regions.REPLICAS and all(
        group['phase'] == 'serving'
        and group['fabric_domain'] == regions.DOMAINS[regions.LARGER]
        for group in groups
    )


def _check_refused(running):
    """Check that the side without a quorum refuses a change with an error."""
    change = regions.build_document(NEXT_NUMBER, 'from-the-smaller')
    response = running.put(regions.SMALLER, change)
    assert response.status_code in (503, 504), response.text
    assert response.json()['error']['message']
    assert 'Retry-After' in response.headers


def _check_request_not_run(running):
    """Check that a request without a quorum isn't run, nor said to be."""
    response = running.send_at_most_once(regions.SMALLER, 'without-quorum')
    assert response.headers['X-Outcome'] in ('unknown', 'not_run')
    assert response.status_code >= 500, response.text
    assert running.count_runs('without-quorum') == 0


def _check_partitioned(running):
    """Silence the links between the regions and check both sides."""
    before = len(running.read_records(regions.SMALLER, 'order'))
    with running.run_callers() as callers:
        running.set_region_links(forwarding.LinkState.SILENT)
        clusters.wait_until(
            lambda: running.list_groups(regions.LARGER), 'a leader'
        )
        _check_refused(running)
        response = clusters.wait_until(
            lambda: _put_change(running), 'a change accepted'
        )
        assert response.json()['number'] == NEXT_NUMBER
        _check_request_not_run(running)
        request_in_quorum = running.send_at_most_once(
            regions.LARGER, 'with-quorum'
        )
        assert request_in_quorum.headers['X-Outcome'] == 'complete'
        clusters.wait_until(
            lambda: _has_moved(running), 'moved', RECOVERY_LIMIT_S
        )
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
    # No order reached the hosts on the other side of the partition.
    assert len(running.read_records(regions.SMALLER, 'order')) == before


def _put_change(running):
    """Return the response if the change is accepted, None otherwise."""
    response = running.put(
        regions.LARGER, regions.build_document(NEXT_NUMBER, 'from-the-larger')
    )
    return response if response.status_code == 200 else None


def _check_healed(running):
    """Open the links and check that all nodes agree and serve."""
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
            running.is_serving_everywhere,
            'serving everywhere',
            RECOVERY_LIMIT_S,
        )
    for caller in callers.values():
        assert caller.failed == []
    for node in running.cluster.nodes:
        assert node.get('/v1/config')['change_id'] == 'from-the-larger'
    for region in regions.DOMAINS:
        for key in ('without-quorum', 'with-quorum'):
            response = running.send_at_most_once(region, key)
            assert response.headers['X-Outcome'] == 'complete', response.text
            assert running.count_runs(key) == 1


def _check_hosts(running):
    """Check that no host is in two groups or got another group's request."""
    groups = running.list_groups(regions.LARGER)
    members = [host for group in groups for host in group['hosts']]
    assert len(members) == len(set(members))
    clusters.wait_until(
        lambda: running.list_reported_groups(regions.SMALLER) == {''},
        'the hosts of the moved group are free',
    )
    for region in regions.DOMAINS:
        assert running.read_records(region, 'refused') == []


def _check_logs(running):
    """Check that no node logged an error or went back to an old document."""
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


def test_partitioned_regions_serve_on_and_agree_after_reconnecting(running):
    _check_partitioned(running)
    _check_healed(running)
    _check_hosts(running)
    _check_logs(running)
