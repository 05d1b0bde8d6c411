"""A soak of the agreed configuration over real processes.

Six nodes, three of them control hosts, take changes at 5 a second while
random control hosts are killed, frozen, cut off or lose their folder, one
fault at a time and then all healed. In the end every change that was answered
as accepted must be in force on all six nodes, exactly once and in order:

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
LONGEST_FAULT_S = 6.0
REST_S = 3.0
HISTORY_LENGTH = 1000


class Soak:
    """Faults that come and go while an operator sends changes."""

    def __init__(self, cluster: clusters.Cluster, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._control = [node for node in cluster.nodes if node.is_control]
        self.counts: collections.Counter[str] = collections.Counter()

    def run(self, end_s: float) -> None:
        """Bring faults about until a time of the monotonic clock."""
        faults = (self._kill, self._freeze, self._cut, self._wipe)
        while time.monotonic() < end_s:
            fault = self._rng.choice(faults)
            node = self._rng.choice(self._control)
            self.counts[fault.__name__.strip('_')] += 1
            fault(node)
            self._rest()

    def _last(self) -> None:
        time.sleep(self._rng.uniform(0.1, LONGEST_FAULT_S))

    def _rest(self) -> None:
        for node in self._control:
            clusters.wait_until(node.is_ready, f'{node.name} ready')
        clusters.wait_until(self._has_all_voters, 'every voter taken in')
        time.sleep(self._rng.uniform(0.0, REST_S))

    def _has_all_voters(self) -> bool:
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
        self._last()
        node.start()

    def _freeze(self, node: clusters.NodeProcess) -> None:
        node.send_signal(signal.SIGSTOP)
        self._last()
        node.send_signal(signal.SIGCONT)

    def _cut(self, node: clusters.NodeProcess) -> None:
        links = self._cluster.links
        assert links is not None
        states = (forwarding.LinkState.CUT, forwarding.LinkState.SILENT)
        links.isolate(node.name, self._rng.choice(states))
        self._last()
        links.open_all()

    def _wipe(self, node: clusters.NodeProcess) -> None:
        node.kill()
        shutil.rmtree(node.data_folder)
        node.start()


def check(
    cluster: clusters.Cluster, accepted: list[operators.Accepted]
) -> None:
    """Compare every node with what was answered as accepted."""
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
        assert found == expected[-HISTORY_LENGTH:]


def main() -> None:
    """Run the soak and print what happened."""
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
            check(cluster, operator.accepted)
        finally:
            cluster.close()
    print(f'faults: {dict(soak.counts)}')
    print(f'accepted: {len(operator.accepted)}, all in force and in order')
    print(f'answers that asked for a resend: {dict(operator.failures)}')
    print(f'longest gap: {operator.longest_gap_s(started_s):.1f} s')


if __name__ == '__main__':
    main()
