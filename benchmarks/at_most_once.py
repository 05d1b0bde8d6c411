"""Soak of non-idempotent requests under faults, through real sockets.

Each case sends requests with the same idempotency key several times through
the nodes, concurrently or one after another, while nodes are killed, frozen or
cut off from the control hosts. The outcomes that the callers received are
compared with the requests that the endpoints recorded as run.

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

CONCURRENT_CASES = 24
CASES_PER_FAULT = 50
TOKENS = 6
RESPONSE_DELAY_MS = 300
FAULTS = ('kill', 'freeze', 'cut', 'none')
FREEZE_RANGE_S = (0.5, 3.0)
DOWNTIME_RANGE_S = (0.2, 1.5)
RECOVERY_LIMIT_S = 60.0
DEADLINE_MS = '8000'


@dataclasses.dataclass(slots=True)
class CaseResult:
    """Outcomes that the callers of one key received.

    :param key: the idempotency key.
    :param outcomes: the outcome of each request; 'none' without a response.
    """

    key: str
    outcomes: list[str]


@dataclasses.dataclass(slots=True)
class Tally:
    """Results of all cases.

    :param outcomes: number of requests by outcome.
    :param ran_twice: keys that ran more than once.
    :param false_not_run: keys that ran although a request was reported as
        not run and none as complete.
    :param false_complete: keys that were reported as complete and never ran.
    """

    outcomes: collections.Counter[str]
    ran_twice: list[str]
    false_not_run: list[str]
    false_complete: list[str]

    @property
    def is_good(self) -> bool:
        """Whether no case broke the guarantees of non-idempotent requests."""
        broken = self.ran_twice + self.false_not_run + self.false_complete
        return not broken


def run_case(
    running: request_cluster.RequestCluster,
    nodes: list[clusters.NodeProcess],
    seed: str,
) -> CaseResult:
    """Send requests with one key several times.

    :param running: the cluster.
    :param nodes: nodes that the requests may be sent to.
    :param seed: seed of the case, also its key.
    :returns: the outcomes that the callers received.
    """
    rng = random.Random(seed)
    chosen = [rng.choice(nodes) for _ in range(rng.randint(2, 4))]
    if rng.random() < 0.4:
        with concurrent.futures.ThreadPoolExecutor(len(chosen)) as pool:
            outcomes = list(pool.map(lambda n: send(running, n, seed), chosen))
        return CaseResult(seed, outcomes)
    outcomes = []
    for node in chosen:
        outcomes.append(send(running, node, seed))
        time.sleep(rng.choice((0, 0.02, 0.1)))
    return CaseResult(seed, outcomes)


def send(
    running: request_cluster.RequestCluster,
    node: clusters.NodeProcess,
    key: str,
) -> str:
    """Send one request with a key and return its outcome."""
    try:
        response = running.complete(
            node,
            key,
            TOKENS,
            X_Idempotent='false',
            Idempotency_Key=key,
            X_Deadline_Ms=DEADLINE_MS,
        )
    except httpx.HTTPError:
        return 'none'
    return response.headers['X-Outcome']


def tally_results(
    running: request_cluster.RequestCluster, results: list[CaseResult]
) -> Tally:
    """Compare the outcomes that callers received with what ran."""
    runs = collections.Counter(
        entry['key'] for entry in running.records('request')
    )
    tally = Tally(collections.Counter(), [], [], [])
    for result in results:
        tally.outcomes.update(result.outcomes)
        if runs[result.key] > 1:
            tally.ran_twice.append(result.key)
        if 'not_run' in result.outcomes and runs[result.key]:
            # The key may have run for another request of the case.
            has_complete = 'complete' in result.outcomes
            if not has_complete:
                tally.false_not_run.append(result.key)
        if 'complete' in result.outcomes and not runs[result.key]:
            tally.false_complete.append(result.key)
    return tally


@contextlib.contextmanager
def inject_fault(
    node: clusters.NodeProcess, kind: str, rng: random.Random
) -> typing.Iterator[None]:
    """Kill or freeze a node while a batch of cases runs."""

    def inject() -> None:
        time.sleep(rng.uniform(0.05, 0.8))
        if kind == 'kill':
            node.kill()
            time.sleep(rng.uniform(*DOWNTIME_RANGE_S))
            node.start()
        elif kind == 'freeze':
            node.send_signal(signal.SIGSTOP)
            time.sleep(rng.uniform(*FREEZE_RANGE_S))
            node.send_signal(signal.SIGCONT)

    thread = threading.Thread(target=inject)
    thread.start()
    try:
        yield
    finally:
        thread.join()


@contextlib.contextmanager
def freeze_control_hosts(
    running: request_cluster.RequestCluster, kind: str, rng: random.Random
) -> typing.Iterator[None]:
    """Freeze two of the three control hosts if the fault is a cut.

    No quorum is left meanwhile. Cases send their requests to other nodes.
    """
    victims = [node for node in running.nodes if node.is_control][1:]

    def freeze() -> None:
        time.sleep(rng.uniform(0.05, 0.8))
        for node in victims:
            node.send_signal(signal.SIGSTOP)
        time.sleep(rng.uniform(*FREEZE_RANGE_S))
        for node in victims:
            node.send_signal(signal.SIGCONT)

    if kind != 'cut':
        yield
        return
    thread = threading.Thread(target=freeze)
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
    """Run some cases concurrently while one fault happens."""
    entries = [node for node in running.nodes if not node.is_control]
    victim = rng.choice(entries)
    with (
        inject_fault(victim, kind, rng),
        freeze_control_hosts(running, kind, rng),
        concurrent.futures.ThreadPoolExecutor(CONCURRENT_CASES) as pool,
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
    """Run all cases on a cluster of three control hosts and three other nodes.

    :param folder: folder for the cluster's files.
    :param cases: number of cases, each with a key of its own.
    :param seed: seed of all random choices.
    :returns: the results.
    """
    rng = random.Random(seed)
    results = []
    with request_cluster.run_cluster(folder, others=3, engines=6) as running:
        for address in running.engine_addresses():
            running.set_faults(address, late_ms=RESPONSE_DELAY_MS)
        for start in range(0, cases, CASES_PER_FAULT):
            end = min(start + CASES_PER_FAULT, cases)
            seeds = [f'{seed}-{number}' for number in range(start, end)]
            kind = FAULTS[(start // CASES_PER_FAULT) % len(FAULTS)]
            results += run_batch(running, seeds, kind, rng)
        return tally_results(running, results)


def main() -> None:
    """Run the soak and print its results."""
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
