"""Selection and admission in virtual time, in one process.

The batches of the stand-in engines and the selectors and admission of six
nodes run on one event loop with virtual time, without connections between
them. It takes about a minute. ``benchmarks/selection.py`` measures the same
with real processes.

    python -m benchmarks.policies --seconds 30
"""

import argparse
import asyncio
from collections import abc
import dataclasses
import random

import async_solipsism

from benchmarks import results
from benchmarks import workload
from filbertglade.admission import admission
from filbertglade.admission import admission_requests
from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.inner import membership_pb2
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import outcomes
from filbertglade.routing import candidates
from filbertglade.routing import policies
from filbertglade.routing import prefixes
from filbertglade.routing import selection
from filbertglade.settings import model
from filbertglade.standin import engine
from filbertglade.standin import settings as standin_settings

NODES = 6
DEPLOYMENT = 'writer'
ANNOUNCE_INTERVAL_MS = 500
DEMAND_INTERVAL_MS = 1000
WARM_UP_S = 20
DEADLINE_MS = 2000
LOADS = (0.5, 0.8, 0.95, 1.5)
FAIR_LOADS = (0.5, 0.8)


@dataclasses.dataclass(slots=True)
class SeenGroup:
    """A group as a node sees it.

    :param line: the group's routing line.
    :param load_ms: local clock when the load was received.
    """

    line: membership_pb2.GroupLine
    load_ms: int


class Fleet:
    """A node's view of engines that never fail."""

    def __init__(self) -> None:
        self.document: configuration_model.Document | None = None
        self.cache_listeners: list[view.CacheListener] = []
        self.shares: dict[str, float] = {}
        self.groups: dict[str, SeenGroup] = {}

    def add_cache_listener(self, listener: view.CacheListener) -> None:
        """Register for cache events.

        :param listener: called with each event.
        """
        self.cache_listeners.append(listener)

    def list_groups(self, deployment: str) -> list[SeenGroup]:
        """Return all groups.

        :param deployment: ignored, since there is only one.
        """
        return list(self.groups.values())

    def find_evacuation(self, target: str, is_service: bool) -> list[str]:
        """Return the evacuations that leave no endpoint: none.

        :param target: ignored.
        :param is_service: ignored.
        """
        return []


class Node:
    """Admission and selection of one node."""

    def __init__(self, policy: str, seed: int) -> None:
        settings = model.NodeSettings(
            name=f'node-{seed}',
            region='central',
            data_centre='north',
            listen=model.ListenSettings('', '', ''),
            control=model.ControlSettings(hosts=[]),
            routing=model.RoutingSettings(
                policy=model.SelectionPolicy(policy)
            ),
        )
        rng = random.Random(seed)
        self.fleet = Fleet()
        self.admission = admission.Admission(
            settings, self.fleet, metrics.Metrics(), rng
        )
        self.selector = policies.build_selector(settings, self.fleet, rng)


class Bench:
    """Engines, nodes and callers on one event loop."""

    def __init__(
        self, policy: str, engines: workload.EngineLoad, seed: int
    ) -> None:
        settings = standin_settings.StandinSettings(
            entries=[],
            hosts=engines.engines,
            slots=engines.slots,
            token_ms=engines.token_ms,
            prefill_ms=engines.prefill_ms,
            cache_blocks=engines.cache_blocks,
            load_lag_ms=engines.load_lag_ms,
            event_lag_ms=engines.event_lag_ms,
            event_loss=engines.event_loss,
            seed=seed,
        )
        self.engines = {
            f'group-{i}': engine.Engine(settings, f'host-{i}', _record)
            for i in range(engines.engines)
        }
        for i in range(engines.stragglers):
            batch = self.engines[f'group-{i}'].batch
            batch.slow_factor = engines.slow_factor
        self.nodes = [Node(policy, seed + i) for i in range(NODES)]
        self._background: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start announcements and the exchange of demand."""
        for position, name in enumerate(self.engines):
            offset_s = (
                ANNOUNCE_INTERVAL_MS / 1000 * position / len(self.engines)
            )
            self._start(self._announce(name, offset_s))
        self._start(self._exchange_demand())
        for node in self.nodes:
            await node.admission.start()

    def _start(self, coroutine: abc.Coroutine[None, None, None]) -> None:
        self._background.append(asyncio.create_task(coroutine))

    async def close(self) -> None:
        """Stop all work."""
        for task in self._background:
            task.cancel()
        for node in self.nodes:
            await node.admission.close()
        for target in self.engines.values():
            await target.close()

    async def _announce(self, name: str, offset_s: float) -> None:
        await asyncio.sleep(offset_s)
        target = self.engines[name]
        while True:
            line = membership_pb2.GroupLine(
                group=name,
                epoch=1,
                hosts=[name],
                load=membership_pb2.Load(**target.read_load()),
            )
            events = [
                membership_pb2.CacheEvent(
                    group=name,
                    epoch=1,
                    sequence=event.sequence,
                    stored=event.stored,
                    evicted=event.evicted,
                )
                for event in target.cache.take_events()
            ]
            for node in self.nodes:
                node.fleet.groups[name] = SeenGroup(line, clock.now_ms())
                for listener in node.fleet.cache_listeners:
                    for event in events:
                        listener(event)
            await asyncio.sleep(ANNOUNCE_INTERVAL_MS / 1000)

    async def _exchange_demand(self) -> None:
        while True:
            await asyncio.sleep(DEMAND_INTERVAL_MS / 1000)
            demands = [node.admission.demand() for node in self.nodes]
            totals: dict[str, float] = {}
            for demand in demands:
                for item in demand:
                    total = totals.get(item.customer, 0.0)
                    totals[item.customer] = total + item.requests_per_s
            for node, demand in zip(self.nodes, demands, strict=True):
                node.fleet.shares = {
                    item.customer: 0.2 / NODES
                    + 0.8 * item.requests_per_s / totals[item.customer]
                    for item in demand
                    if totals[item.customer]
                }

    async def run(
        self, request: workload.Request, deadline_ms: int
    ) -> results.Outcome:
        """Run one request.

        :param request: the request.
        :param deadline_ms: time until its first token is due.
        :returns: its outcome.
        """
        node = self.nodes[request.node]
        arrived_ms = clock.now_ms()
        customer = configuration_model.Customer(
            request.customer,
            '0' * 64,
            weight=workload.find_weight(request.customer),
            requests_per_s=1e6,
            concurrent_requests=1_000_000,
        )
        admission_request = admission_requests.AdmissionRequest(
            customer,
            DEPLOYMENT,
            False,
            arrived_ms + deadline_ms,
            request.tokens,
        )
        permit = await node.admission.admit(admission_request)
        if isinstance(permit, outcomes.Refusal):
            return results.Outcome(request.customer, None, None, False, True)
        features = selection.RequestFeatures(
            request.customer,
            b'',
            prefixes.hash_prefixes(request.prompt),
            DEPLOYMENT,
        )
        started_ms = clock.now_ms()
        with permit:
            chosen = node.selector.choose(
                candidates.list_group_candidates(node.fleet, DEPLOYMENT),
                features,
            )
            assert chosen is not None
            node.selector.note_started(chosen, features)
            first_token_at_ms = 0
            target = self.engines[chosen.name]
            async for _ in target.generate(
                request.prompt, request.tokens, permit.priority
            ):
                if not first_token_at_ms:
                    first_token_at_ms = clock.now_ms()
                    first_token_ms = first_token_at_ms - started_ms
                    permit.note_first_token(first_token_ms)
                    node.selector.note_first_token(chosen, first_token_ms)
            ended_ms = clock.now_ms()
            node.selector.note_finished(
                chosen, features, request.tokens, ended_ms - started_ms
            )
        return results.Outcome(
            request.customer,
            first_token_at_ms - arrived_ms,
            (ended_ms - first_token_at_ms) / (request.tokens - 1),
            True,
            False,
        )


def _record(*_: object, **__: object) -> None:
    return


@dataclasses.dataclass(slots=True)
class SendWindow:
    """Time in which requests are sent and counted.

    :param counted_from_ms: local clock from which requests are counted.
    :param ends_ms: local clock from which no more requests are sent.
    """

    counted_from_ms: int
    ends_ms: int


async def send(
    bench: Bench,
    load: workload.Workload,
    window: SendWindow,
    measured: results.Results,
) -> None:
    """Send a load's requests and wait for their responses.

    :param bench: the engines and nodes.
    :param load: the load.
    :param window: when to send and count requests.
    :param measured: receives the outcomes.
    """
    tasks = set()
    while clock.now_ms() < window.ends_ms:
        request = load.draw_request()
        await asyncio.sleep(request.interval_s)
        task = asyncio.create_task(bench.run(request, DEADLINE_MS))
        tasks.add(task)
        if clock.now_ms() >= window.counted_from_ms:
            task.add_done_callback(lambda done: measured.add(done.result()))
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


async def measure(
    policy: str,
    loads: list[workload.Workload],
    engines: workload.EngineLoad,
    seconds: int,
    seed: int,
) -> list[results.Results]:
    """Measure one policy under concurrent loads.

    :param policy: the policy's name in the settings.
    :param loads: the loads.
    :param engines: the engines.
    :param seconds: time measured after the warm-up.
    :param seed: seed of all random choices.
    :returns: for each load, results of the requests sent after the warm-up.
    """
    bench = Bench(policy, engines, seed)
    await bench.start()
    await asyncio.sleep(2)
    counted_from_ms = clock.now_ms() + WARM_UP_S * 1000
    window = SendWindow(counted_from_ms, counted_from_ms + seconds * 1000)
    measured = [results.Results(DEADLINE_MS) for _ in loads]
    sends = [
        send(bench, load, window, result)
        for load, result in zip(loads, measured, strict=True)
    ]
    await asyncio.gather(*sends)
    await bench.close()
    return measured


def run_virtual(
    policy: str,
    loads: list[workload.Workload],
    engines: workload.EngineLoad,
    seconds: int,
    seed: int,
) -> list[results.Results]:
    """Measure as :func:`measure` does, on a loop with virtual time.

    :param policy: the policy's name in the settings.
    :param loads: the loads.
    :param engines: the engines.
    :param seconds: time measured after the warm-up.
    :param seed: seed of all random choices.
    :returns: for each load, results of the requests sent after the warm-up.
    """
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(measure(policy, loads, engines, seconds, seed))


def measure_fairness(
    engines: workload.EngineLoad, load: float, seconds: int, seed: int
) -> tuple[results.Results, results.Results, results.Results]:
    """Measure usual customers alone and beside a greedy one.

    :param engines: the engines.
    :param load: load of the usual customers as a fraction of capacity.
    :param seconds: time measured after the warm-up.
    :param seed: seed of all random choices.
    :returns: results of the usual customers alone, of the same beside the
        greedy one, and of the greedy one, which sends ten times its share of
        the capacity.
    """

    def build_usual() -> workload.Workload:
        return workload.Workload(
            engines, load, NODES, seed, workload.CUSTOMERS
        )

    greedy = workload.Workload(
        engines,
        workload.find_greedy_load(),
        NODES,
        seed,
        (workload.GREEDY_CUSTOMER,),
    )
    policy = model.SelectionPolicy.EXPECTED_WAIT.value
    (alone,) = run_virtual(policy, [build_usual()], engines, seconds, seed)
    beside, greedy_results = run_virtual(
        policy, [build_usual(), greedy], engines, seconds, seed
    )
    return alone, beside, greedy_results


def main() -> None:
    """Measure all policies and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=int, default=30)
    parser.add_argument('--short', action='store_true')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--loads', type=float, nargs='+', default=LOADS)
    parser.add_argument(
        '--policies',
        nargs='+',
        default=[policy.value for policy in model.SelectionPolicy],
    )
    options = parser.parse_args()
    engines = workload.EngineLoad()
    if options.short:
        engines = workload.EngineLoad.build_short()
    capacity = engines.find_capacity()
    print(f'{engines}\ncapacity {capacity:.1f} requests/s')
    print(results.render_headings())
    for load in options.loads:
        for policy in options.policies:
            offered_load = workload.Workload(
                engines, load, NODES, options.seed, workload.CUSTOMERS
            )
            (measured,) = run_virtual(
                policy, [offered_load], engines, options.seconds, options.seed
            )
            row = measured.render_row(policy, load, options.seconds, '-')
            print(row, flush=True)
    print('\nfairness: usual customers alone, beside a greedy one, and that')
    for load in FAIR_LOADS:
        rows = measure_fairness(engines, load, options.seconds, options.seed)
        names = ('alone', 'beside', 'greedy')
        for name, measured in zip(names, rows, strict=True):
            print(measured.render_row(name, load, options.seconds, '-'))


if __name__ == '__main__':
    main()
