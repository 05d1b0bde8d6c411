"""Selection policies on real processes: 6 nodes, 50 stand-in engines, callers.

    python -m benchmarks.selection

For each policy at each load it prints times to the first token and between
tokens, goodput within the deadline, refusals and retries. It then prints the
same for the usual customers alone and beside a greedy one. It takes about ten
minutes.
"""

import argparse
import asyncio
import dataclasses
import hashlib
import json
import pathlib
import random
import re
import tempfile
import time

import httpx
from tornado import httpclient

from benchmarks import results
from benchmarks import workload
from filbertglade.settings import model
from tests import cluster as clusters

DEPLOYMENT = 'writer'
CONTROL_HOSTS = 3
OTHER_NODES = 3
STANDIN_PROCESSES = 2
DEADLINE_MS = 2000
REQUEST_TIMEOUT_S = 120.0
MAX_CLIENTS = 5000
WARM_UP_S = 8
SETTLE_S = 5
# Responses that are not complete this long after the last request count as
# broken.
DRAIN_TIMEOUT_S = 12
LOADS = (0.5, 0.8, 0.95, 1.5)
FAIR_LOAD = 0.8
NOT_RUN = 'not_run'
TOKEN = b'"content"'
COMPLETE = b'"outcome": "complete"'
RETRIES = re.compile(r'^filbertglade_retries (\d+)', re.MULTILINE)


def build_document(engines: workload.EngineLoad) -> dict[str, object]:
    """Return the configuration document of the measurement.

    :param engines: the engines, each a group of its own.
    """
    names = [*workload.CUSTOMERS, workload.GREEDY_CUSTOMER]
    return {
        'number': 1,
        'change_id': 'selection',
        'customers': [
            {
                'name': name,
                'key_sha256': hashlib.sha256(name.encode()).hexdigest(),
                'weight': workload.find_weight(name),
                'requests_per_s': 10_000.0,
                'concurrent_requests': 10_000,
            }
            for name in names
        ],
        'fabric_domains': [
            {'name': 'fabric-1', 'data_centre': 'north', 'fencing': 'checked'}
        ],
        'deployments': [
            {
                'name': DEPLOYMENT,
                'model': 'writer',
                'version': '1',
                'customers': names,
                'fabric_domains': ['fabric-1'],
                'hosts_per_replica': 1,
                'replicas': engines.engines,
                'spare_hosts': 0,
            }
        ],
        'limits': {'loads_at_once': engines.engines},
    }


class Bench:
    """A cluster under one policy, and its callers."""

    def __init__(
        self,
        folder: pathlib.Path,
        policy: str,
        engines: workload.EngineLoad,
        seed: int,
    ) -> None:
        self._engines = engines
        self._policy = policy
        self._seed = seed
        self._cluster = clusters.Cluster(folder)
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def start(self) -> None:
        """Start all processes and wait until all engines serve."""
        self._cluster.configure_nodes(
            CONTROL_HOSTS,
            OTHER_NODES,
            f'[routing]\npolicy = "{self._policy}"\n',
        )
        self._cluster.start_nodes()
        clusters.wait_until(self._cluster.find_leader, 'a leader')
        for position in range(STANDIN_PROCESSES):
            self._start_standin(position)
        response = httpx.put(
            f'{self._cluster.nodes[0].administration_url}/v1/config',
            json=build_document(self._engines),
            timeout=30,
        )
        assert response.status_code == 200, response.text
        clusters.wait_until(self._serves_all, 'all engines')
        time.sleep(SETTLE_S)

    def _start_standin(self, position: int) -> None:
        engines = self._engines
        hosts = engines.engines // STANDIN_PROCESSES
        slow_hosts = engines.stragglers // STANDIN_PROCESSES
        slow_hosts += position < engines.stragglers % STANDIN_PROCESSES
        options = {
            'hosts': hosts,
            'prefix': f'host-{position}',
            'slots': engines.slots,
            'token-ms': engines.token_ms,
            'prefill-ms': engines.prefill_ms,
            'cache-blocks': engines.cache_blocks,
            'load-lag-ms': engines.load_lag_ms,
            'event-lag-ms': engines.event_lag_ms,
            'event-loss': engines.event_loss,
            'slow-hosts': slow_hosts,
            'slow-factor': engines.slow_factor,
            'seed': self._seed + position,
        }
        arguments: list[str] = []
        for name, value in options.items():
            arguments += [f'--{name}', str(value)]
        self._cluster.start_standin(*arguments)

    def _serves_all(self) -> bool:
        status = self._cluster.nodes[-1].get('/v1/status')
        if status is None:
            return False
        phases = [group['phase'] for group in status['groups']]
        if phases.count('serving') < self._engines.engines:
            return False
        return all(node.is_ready() for node in self._cluster.nodes)

    def close(self) -> None:
        """Stop all processes."""
        self._client.close()
        self._cluster.close()

    def count_retries(self) -> int:
        """Return the number of retries of all nodes since their start."""
        total = 0
        for node in self._cluster.nodes:
            text = httpx.get(f'{node.url}/metrics', timeout=10).text
            total += sum(map(int, RETRIES.findall(text)))
        return total

    async def measure(
        self, loads: list[workload.Workload], seconds: int
    ) -> list[results.Results]:
        """Send loads concurrently.

        :param loads: the loads.
        :param seconds: time measured after the warm-up.
        :returns: for each load, results of the requests sent after the
            warm-up.
        """
        measured = [results.Results(DEADLINE_MS) for _ in loads]
        sends = [
            self._send(load, seconds, result)
            for load, result in zip(loads, measured, strict=True)
        ]
        await asyncio.gather(*sends)
        return measured

    async def _send(
        self, load: workload.Workload, seconds: int, measured: results.Results
    ) -> None:
        loop = asyncio.get_running_loop()
        counted_s = loop.time() + WARM_UP_S
        due_s = loop.time()
        tasks: set[asyncio.Task[results.Outcome]] = set()
        while due_s < counted_s + seconds:
            request = load.draw_request()
            due_s += request.interval_s
            await asyncio.sleep(due_s - loop.time())
            task = loop.create_task(self._call(request))
            tasks.add(task)
            if due_s >= counted_s:
                task.add_done_callback(
                    lambda done: measured.add(done.result())
                )
            task.add_done_callback(tasks.discard)
        if not tasks:
            return
        _, unfinished = await asyncio.wait(tasks, timeout=DRAIN_TIMEOUT_S)
        for task in unfinished:
            task.cancel()
        if unfinished:
            await asyncio.wait(unfinished)

    async def _call(self, request: workload.Request) -> results.Outcome:
        response = StreamedResponse()
        node = self._cluster.nodes[request.node]
        http_request = httpclient.HTTPRequest(
            f'{node.url}/v1/completions',
            method='POST',
            headers={
                'Authorization': f'Bearer {request.customer}',
                'Content-Type': 'application/json',
                'X-Deadline-Ms': str(DEADLINE_MS),
            },
            body=json.dumps(
                {
                    'model': DEPLOYMENT,
                    'prompt': request.prompt,
                    'max_tokens': request.tokens,
                    'stream': True,
                }
            ),
            streaming_callback=response.add_chunk,
            connect_timeout=REQUEST_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        is_refused = False
        try:
            await self._client.fetch(http_request)
        except httpclient.HTTPClientError as error:
            headers = error.response.headers if error.response else {}
            is_refused = headers.get('X-Outcome') == NOT_RUN
        except (OSError, asyncio.CancelledError):
            pass
        return response.build_outcome(request.customer, is_refused)


class StreamedResponse:
    """A streamed response while it is received."""

    def __init__(self) -> None:
        self._sent_s = time.monotonic()
        self._first_s = 0.0
        self._last_s = 0.0
        self._tokens = 0
        self._tail = b''
        self._is_complete = False

    def add_chunk(self, chunk: bytes) -> None:
        """Take account of a chunk.

        :param chunk: bytes of the stream.
        """
        count = chunk.count(TOKEN)
        if count:
            self._last_s = time.monotonic()
            self._first_s = self._first_s or self._last_s
            self._tokens += count
        self._tail = (self._tail + chunk)[-2 * len(COMPLETE) - 200 :]
        self._is_complete = self._is_complete or COMPLETE in self._tail

    def build_outcome(
        self, customer: str, is_refused: bool
    ) -> results.Outcome:
        """Return the request's outcome.

        :param customer: the customer that sent it.
        :param is_refused: whether it was refused and did not run.
        """
        if not self._tokens:
            return results.Outcome(customer, None, None, False, is_refused)
        between_tokens_ms = None
        if self._tokens > 1:
            streamed_s = self._last_s - self._first_s
            between_tokens_ms = streamed_s * 1000 / (self._tokens - 1)
        first_token_ms = (self._first_s - self._sent_s) * 1000
        return results.Outcome(
            customer,
            first_token_ms,
            between_tokens_ms,
            self._is_complete,
            is_refused,
        )


@dataclasses.dataclass(slots=True)
class Options:
    """What to measure.

    :param seconds: time measured for each row.
    :param seed: seed of all random choices.
    :param loads: offered loads as fractions of capacity.
    :param policies: names of the policies in the settings.
    """

    seconds: int
    seed: int
    loads: list[float]
    policies: list[str]


def run_policy(policy: str, options: Options, folder: pathlib.Path) -> None:
    """Measure one policy and print its rows.

    :param policy: the policy's name in the settings.
    :param options: what to measure.
    :param folder: where the processes keep their files.
    """
    engines = workload.EngineLoad()
    bench = Bench(folder, policy, engines, options.seed)
    nodes = CONTROL_HOSTS + OTHER_NODES
    try:
        bench.start()
        for load in options.loads:
            before = bench.count_retries()
            offered_load = workload.Workload(
                engines, load, nodes, options.seed, workload.CUSTOMERS
            )
            (measured,) = asyncio.run(
                bench.measure([offered_load], options.seconds)
            )
            retried = str(bench.count_retries() - before)
            print(
                measured.render_row(policy, load, options.seconds, retried),
                flush=True,
            )
        if policy == model.SelectionPolicy.EXPECTED_WAIT.value:
            run_fairness(bench, engines, options)
    finally:
        bench.close()


def run_fairness(
    bench: Bench, engines: workload.EngineLoad, options: Options
) -> None:
    """Measure usual customers alone, and beside a greedy one.

    :param bench: the running cluster.
    :param engines: the engines.
    :param options: what to measure.
    """
    nodes = CONTROL_HOSTS + OTHER_NODES
    for names in (('alone',), ('beside', 'greedy')):
        loads = [
            workload.Workload(
                engines, FAIR_LOAD, nodes, options.seed, workload.CUSTOMERS
            )
        ]
        if len(names) > 1:
            greedy_load = workload.find_greedy_load()
            loads.append(
                workload.Workload(
                    engines,
                    greedy_load,
                    nodes,
                    options.seed,
                    (workload.GREEDY_CUSTOMER,),
                )
            )
        measured = asyncio.run(bench.measure(loads, options.seconds))
        for name, result in zip(names, measured, strict=True):
            row = result.render_row(name, FAIR_LOAD, options.seconds, '-')
            print(row, flush=True)


def main() -> None:
    """Measure all policies and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=int, default=12)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--loads', type=float, nargs='+', default=LOADS)
    parser.add_argument(
        '--policies',
        nargs='+',
        default=[policy.value for policy in model.SelectionPolicy],
    )
    options = Options(**vars(parser.parse_args()))
    random.seed(options.seed)
    engines = workload.EngineLoad()
    print(f'{engines}\ncapacity {engines.find_capacity():.1f} requests/s')
    print(results.render_headings())
    for policy in options.policies:
        with tempfile.TemporaryDirectory() as folder:
            run_policy(policy, options, pathlib.Path(folder))


if __name__ == '__main__':
    main()
