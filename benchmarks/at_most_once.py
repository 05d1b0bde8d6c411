"""Soak of non-idempotent requests under faults, through real sockets.

Each case sends one key several times through the nodes, at once or one after
another, while nodes are killed, frozen or cut from the control hosts. The
endpoints' own record is the judge.

    python -m benchmarks.at_most_once --cases 2000 --seed 1
"""

import argparse
import collections
import concurrent.futures
import contextlib
import dataclasses
import pathlib
import random
import signal
import tempfile
import threading
import time
import typing

import httpx

from tests import cluster as clusters
from tests.requests import request_cluster

CASES_AT_ONCE = 24
CASES_PER_FAULT = 50
TOKENS = 6
LATE_MS = 300
FAULTS = ('kill', 'freeze', 'cut', 'none')
FROZEN_S = (0.5, 3.0)
DOWN_S = (0.2, 1.5)
RECOVERY_LIMIT_S = 60.0
DEADLINE_MS = '8000'


@dataclasses.dataclass(slots=True)
class CaseResult:
    """What the callers of one key were told.

    :param key: the key.
    :param outcomes: what each sending was told; 'none' without an answer.
    """

    key: str
    outcomes: list[str]


@dataclasses.dataclass(slots=True)
class Tally:
    """What all cases came to.

    :param outcomes: sendings by what they were told.
    :param ran_twice: keys that ran more than once.
    :param false_not_run: keys that ran although the last word was 'not run'
        or every word was.
    :param false_complete: keys told complete that never ran.
    """

    outcomes: collections.Counter[str]
    ran_twice: list[str]
    false_not_run: list[str]
    false_complete: list[str]

    @property
    def is_good(self) -> bool:
        """Whether no promise was broken."""
        broken = self.ran_twice + self.false_not_run + self.false_complete
        return not broken


def run_case(
    running: request_cluster.RequestCluster,
    nodes: list[clusters.NodeProcess],
    seed: str,
) -> CaseResult:
    """Send one key several times.

    :param running: the cluster.
    :param nodes: where it may be sent.
    :param seed: seed of the case, also its key.
    :returns: what the callers were told.
    """
    rng = random.Random(seed)
    chosen = [rng.choice(nodes) for _ in range(rng.randint(2, 4))]
    if rng.random() < 0.4:
        with concurrent.futures.ThreadPoolExecutor(len(chosen)) as pool:
            told = list(pool.map(lambda n: send(running, n, seed), chosen))
        return CaseResult(seed, told)
    told = []
    for node in chosen:
        told.append(send(running, node, seed))
        time.sleep(rng.choice((0, 0.02, 0.1)))
    return CaseResult(seed, told)


def send(
    running: request_cluster.RequestCluster,
    node: clusters.NodeProcess,
    key: str,
) -> str:
    """Send a key once and return the outcome."""
    try:
        answer = running.complete(
            node,
            key,
            TOKENS,
            X_Idempotent='false',
            Idempotency_Key=key,
            X_Deadline_Ms=DEADLINE_MS,
        )
    except httpx.HTTPError:
        return 'none'
    return answer.headers['X-Outcome']


def judge(
    running: request_cluster.RequestCluster, results: list[CaseResult]
) -> Tally:
    """Compare what callers were told with what the endpoints ran."""
    runs = collections.Counter(
        entry['key'] for entry in running.records('request')
    )
    tally = Tally(collections.Counter(), [], [], [])
    for result in results:
        tally.outcomes.update(result.outcomes)
        if runs[result.key] > 1:
            tally.ran_twice.append(result.key)
        if 'not_run' in result.outcomes and runs[result.key]:
            ran_for_another = 'complete' in result.outcomes
            if not ran_for_another:
                tally.false_not_run.append(result.key)
        if 'complete' in result.outcomes and not runs[result.key]:
            tally.false_complete.append(result.key)
    return tally


@contextlib.contextmanager
def fault(
    node: clusters.NodeProcess, kind: str, rng: random.Random
) -> typing.Iterator[None]:
    """Let a node fail in the middle of a batch of cases."""

    def strike() -> None:
        time.sleep(rng.uniform(0.05, 0.8))
        if kind == 'kill':
            node.kill()
            time.sleep(rng.uniform(*DOWN_S))
            node.start()
        elif kind == 'freeze':
            node.send_signal(signal.SIGSTOP)
            time.sleep(rng.uniform(*FROZEN_S))
            node.send_signal(signal.SIGCONT)

    thread = threading.Thread(target=strike)
    thread.start()
    try:
        yield
    finally:
        thread.join()


@contextlib.contextmanager
def cut_from_control(
    running: request_cluster.RequestCluster, kind: str, rng: random.Random
) -> typing.Iterator[None]:
    """Freeze two of three control hosts that no case is sent to."""
    victims = [node for node in running.nodes if node.is_control][1:]

    def cut() -> None:
        time.sleep(rng.uniform(0.05, 0.8))
        for node in victims:
            node.send_signal(signal.SIGSTOP)
        time.sleep(rng.uniform(*FROZEN_S))
        for node in victims:
            node.send_signal(signal.SIGCONT)

    if kind != 'cut':
        yield
        return
    thread = threading.Thread(target=cut)
    thread.start()
    try:
        yield
    finally:
        thread.join()


def run_batch(
    running: request_cluster.RequestCluster,
    seeds: list[str],
    kind: str,
    rng: random.Random,
) -> list[CaseResult]:
    """Run some cases while one fault happens."""
    entries = [node for node in running.nodes if not node.is_control]
    victim = rng.choice(entries)
    with (
        fault(victim, kind, rng),
        cut_from_control(running, kind, rng),
        concurrent.futures.ThreadPoolExecutor(CASES_AT_ONCE) as pool,
    ):
        futures = [
            pool.submit(run_case, running, entries, seed) for seed in seeds
        ]
        results = [future.result() for future in futures]
    clusters.wait_until(
        running.serves_everywhere, 'serving again', RECOVERY_LIMIT_S
    )
    return results


def run_soak(folder: pathlib.Path, cases: int, seed: int) -> Tally:
    """Run all cases on a cluster of three control hosts and three others.

    :param folder: for the cluster's files.
    :param cases: how many keys.
    :param seed: seed of all that is drawn.
    :returns: the tally.
    """
    rng = random.Random(seed)
    results = []
    with request_cluster.run_cluster(folder, others=3, engines=6) as running:
        for address in running.engine_addresses():
            running.set_faults(address, late_ms=LATE_MS)
        for start in range(0, cases, CASES_PER_FAULT):
            end = min(start + CASES_PER_FAULT, cases)
            seeds = [f'{seed}-{number}' for number in range(start, end)]
            kind = FAULTS[(start // CASES_PER_FAULT) % len(FAULTS)]
            results += run_batch(running, seeds, kind, rng)
        return judge(running, results)


def main() -> None:
    """Run the soak and print its tally."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--cases', type=int, default=2000)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        tally = run_soak(pathlib.Path(folder), options.cases, options.seed)
    took_s = time.monotonic() - started_s
    print(f'cases {options.cases}, seed {options.seed}, {took_s:.0f} s')
    for outcome, count in sorted(tally.outcomes.items()):
        print(f'sendings told {outcome}: {count}')
    print(f'keys that ran twice: {len(tally.ran_twice)}')
    print(f'keys falsely told not run: {len(tally.false_not_run)}')
    print(f'keys falsely told complete: {len(tally.false_complete)}')
    raise SystemExit(not tally.is_good)


if __name__ == '__main__':
    main()
