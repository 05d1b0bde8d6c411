"""Soak of configuration changes over real processes, under faults.

Six nodes, three of them control hosts, receive 5 changes a second. Meanwhile
random control hosts are killed, frozen, cut off from the network or lose their
data folder. Each fault ends, and all voters catch up, before the next one. At
the end every change whose response said accepted must be in force on all six
nodes, exactly once and in order:

    python -m benchmarks.configuration_soak --minutes 10 --seed 1
"""

import argparse
import collections
import pathlib
import random
import shutil
import signal
import tempfile
import time

from tests import cluster as clusters
from tests import forwarding
from tests import operators

INTERVAL_S = 0.2
MAX_FAULT_S = 6.0
MAX_PAUSE_S = 3.0
MAX_HISTORY_LENGTH = 1000


class Soak:
    """Injects faults, one at a time, while an operator sends changes.

    :param cluster: the nodes.
    :param seed: seed of the random choices.
    """

    def __init__(self, cluster: clusters.Cluster, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._control = [node for node in cluster.nodes if node.is_control]
        self.counts: collections.Counter[str] = collections.Counter()

    def run(self, end_s: float) -> None:
        """Inject faults until a time of the monotonic clock."""
        faults = (self._kill, self._freeze, self._cut, self._wipe)
        while time.monotonic() < end_s:
            fault = self._rng.choice(faults)
            node = self._rng.choice(self._control)
            self.counts[fault.__name__.strip('_')] += 1
            fault(node)
            self._wait_recovery()

    def _wait_fault_duration(self) -> None:
        time.sleep(self._rng.uniform(0.1, MAX_FAULT_S))

    def _wait_recovery(self) -> None:
        for node in self._control:
            clusters.wait_until(node.is_ready, f'{node.name} ready')
        clusters.wait_until(self._has_caught_up, 'every voter caught up')
        time.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))

    def _has_caught_up(self) -> bool:
        for node in self._cluster.nodes:
            status = node.get('/v1/status')
            if status is not None:
                index = status['committed_index']
                return all(
                    voter['match_index'] >= index - 50
                    for voter in status['voters']
                )
        return False

    def _kill(self, node: clusters.NodeProcess) -> None:
        node.kill()
        self._wait_fault_duration()
        node.start()

    def _freeze(self, node: clusters.NodeProcess) -> None:
        node.send_signal(signal.SIGSTOP)
        self._wait_fault_duration()
        node.send_signal(signal.SIGCONT)

    def _cut(self, node: clusters.NodeProcess) -> None:
        links = self._cluster.links
        assert links is not None
        states = (forwarding.LinkState.CUT, forwarding.LinkState.SILENT)
        links.isolate(node.name, self._rng.choice(states))
        self._wait_fault_duration()
        links.open_all()

    def _wipe(self, node: clusters.NodeProcess) -> None:
        node.kill()
        shutil.rmtree(node.data_folder)
        node.start()


def check_histories(
    cluster: clusters.Cluster, accepted: list[operators.Accepted]
) -> None:
    """Assert that every node has the accepted changes, in order."""
    expected = [(item.number, item.change_id) for item in accepted]
    assert [number for number, _ in expected] == list(
        range(1, len(expected) + 1)
    )
    for node in cluster.nodes:
        clusters.wait_until(
            lambda node=node: (
                (node.get('/v1/config') or {}).get('number') == len(expected)
            ),
            f'the last change in force on {node.name}',
        )
        history = clusters.wait_until(
            lambda node=node: node.get('/v1/config/history'), 'a history'
        )
        found = [
            (item['number'], item['change_id']) for item in history['changes']
        ]
        assert found == expected[-MAX_HISTORY_LENGTH:]


def main() -> None:
    """Run the soak and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--minutes', type=float, default=10)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster = clusters.Cluster(pathlib.Path(folder), forwarding.Links())
        cluster.configure_nodes(3, 3)
        operator = operators.Operator(cluster.nodes, INTERVAL_S)
        try:
            cluster.start_nodes()
            clusters.wait_until(cluster.find_leader, 'a leader')
            operator.start(1)
            operator.wait_for(1)
            soak = Soak(cluster, options.seed)
            started_s = time.monotonic()
            soak.run(started_s + options.minutes * 60)
            operator.wait_for(3)
            operator.stop()
            check_histories(cluster, operator.accepted)
        finally:
            cluster.close()
    print(f'faults: {dict(soak.counts)}')
    print(f'accepted: {len(operator.accepted)}, all in force and in order')
    print(f'answers that asked for a resend: {dict(operator.failures)}')
    print(f'longest gap: {operator.longest_gap_s(started_s):.1f} s')


if __name__ == '__main__':
    main()
