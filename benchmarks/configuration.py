"""Latency of configuration changes and time without a leader.

Six nodes run as processes on one machine, three of them as control hosts. The
benchmark prints how long accepted changes take until they are in force on
every node, and how long there is no leader after the leader is killed and
after it is stopped:

    python -m benchmarks.configuration --changes 200 --kills 20 --stops 20
"""

import argparse
import collections
import math
import pathlib
import random
import tempfile
import time

from filbertglade.observability import timeline
from tests import cluster as clusters
from tests import operators

SEED = 7
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 0.3


def measure_changes(cluster: clusters.Cluster, count: int) -> list[float]:
    """Return the seconds until each accepted change is in force everywhere."""
    rng = random.Random(SEED)
    accepted_s = {}
    for number in range(1, count + 1):
        node = cluster.nodes[number % len(cluster.nodes)]
        change = operators.build_change(number, f'change-{number}')
        response = operators.put(node, change)
        assert response is not None and response.status_code == 200, response
        accepted_s[number] = time.time()
        time.sleep(rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
    clusters.wait_until(
        lambda: all(
            (node.get('/v1/config') or {}).get('number') == count
            for node in cluster.nodes
        ),
        'the last change in force',
    )
    in_force_s = _find_times_in_force(cluster, count)
    return [in_force_s[number] - accepted_s[number] for number in accepted_s]


def _find_times_in_force(
    cluster: clusters.Cluster, count: int
) -> dict[int, float]:
    # A node may skip a number and put a higher one in force. Then that moment
    # counts for each number that it skipped.
    in_force_s: dict[int, float] = collections.defaultdict(float)
    for node in cluster.nodes:
        number = 0
        for event in timeline.read_log(node.log_path):
            if event.name != 'configuration.in_force':
                continue
            number_in_force = int(str(event.fields['number']))
            for reached in range(number + 1, min(number_in_force, count) + 1):
                in_force_s[reached] = max(
                    in_force_s[reached], event.timestamp_s
                )
            number = max(number, number_in_force)
    return in_force_s


def measure_kills(cluster: clusters.Cluster, count: int) -> list[float]:
    """Return the seconds without a leader after each kill of the leader."""
    return [_measure_kill(cluster) for _ in range(count)]


def _measure_kill(cluster: clusters.Cluster) -> float:
    leader = clusters.wait_until(cluster.find_leader, 'a leader')
    killed_s = time.time()
    leader.kill()
    acting_s = clusters.wait_until(
        lambda: _find_acting_time(cluster, killed_s), 'a new leader'
    )
    leader.start()
    clusters.wait_until(leader.is_ready, f'{leader.name} ready')
    return acting_s - killed_s


def measure_stops(cluster: clusters.Cluster, count: int) -> list[float]:
    """Return the seconds without a leader at each planned stop of it."""
    return [_measure_stop(cluster) for _ in range(count)]


def _measure_stop(cluster: clusters.Cluster) -> float:
    leader = clusters.wait_until(cluster.find_leader, 'a leader')
    assert leader.stop() == 0
    stepped_down_s = max(
        event.timestamp_s
        for event in timeline.read_log(leader.log_path)
        if event.name == 'leader.stepped_down'
    )
    acting_s = clusters.wait_until(
        lambda: _find_acting_time(cluster, stepped_down_s), 'a new leader'
    )
    leader.start()
    clusters.wait_until(leader.is_ready, f'{leader.name} ready')
    return acting_s - stepped_down_s


def _find_acting_time(cluster: clusters.Cluster, since_s: float) -> float:
    times = [
        event.timestamp_s
        for node in cluster.nodes
        if node.is_control
        for event in timeline.read_log(node.log_path)
        if event.name == 'leader.acting' and event.timestamp_s > since_s
    ]
    return min(times, default=0.0)


def summarize(title: str, times_s: list[float]) -> str:
    """Return one row of the table, with percentiles of the times."""
    ordered = sorted(times_s) or [math.nan]
    cells = [title, str(len(times_s))]
    for fraction in (0.5, 0.95, 1.0):
        position = math.ceil(fraction * len(ordered)) - 1
        cells.append(f'{ordered[position]:.2f}')
    return '| ' + ' | '.join(cells) + ' |'


def main() -> None:
    """Run the measurements and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=200)
    parser.add_argument('--kills', type=int, default=20)
    parser.add_argument('--stops', type=int, default=20)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster = clusters.Cluster(pathlib.Path(folder))
        cluster.configure_nodes(3, 3)
        try:
            cluster.start_nodes()
            clusters.wait_until(cluster.find_leader, 'a leader')
            clusters.wait_until(
                lambda: all(node.get('/v1/status') for node in cluster.nodes),
                'all nodes',
            )
            changes_s = measure_changes(cluster, options.changes)
            kills_s = measure_kills(cluster, options.kills)
            stops_s = measure_stops(cluster, options.stops)
        finally:
            cluster.close()
    print('| measure | runs | p50 s | p95 s | max s |')
    print('|---|---|---|---|---|')
    print(summarize('accepted to in force on six nodes', changes_s))
    print(summarize('without a leader after kill -9', kills_s))
    print(summarize('without a leader after SIGTERM', stops_s))


if __name__ == '__main__':
    main()
