"""Selection by expected cost in virtual time.

Entry hosts with the product's own views, load counters, backlogs, estimators
and policies share engines. Reports are 0.2 to 0.8 s old. Admission refuses
nothing, so that all policies serve the same requests.

    python -m benchmarks.costs --seconds 40
"""

import argparse
import asyncio
import dataclasses
import random

import async_solipsism

from benchmarks import cost_engines
from filbertglade import clock
from filbertglade.costs import backlog
from filbertglade.costs import estimator
from filbertglade.costs import policy
from filbertglade.costs import tracking
from filbertglade.costs import two_choices
from filbertglade.costs import work
from filbertglade.fleet import document
from filbertglade.fleet import load_totals
from filbertglade.fleet import view
from filbertglade.fleet import work_reports
from filbertglade.forwarding import admission
from filbertglade.forwarding import loads
from filbertglade.forwarding import targets
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics

POLICIES = (
    'load',
    'two by requests',
    'two choices',
    'work, true costs',
    'work, learned costs',
)
# Engines whose times are longer by a factor.
SLOW_ENGINES = {0: 2.0, 1: 1.5, 2: 1.5}
WARM_UP_S = 20
FRAME_INTERVAL_MS = 200
# A frame tells what hosts reported this long ago; with the interval of the
# frames, reports are 0.2 to 0.8 s old.
MIN_DELAY_MS, MAX_DELAY_MS = 200, 600


class TrueCosts(estimator.CostEstimator):
    """Knows what each request costs."""

    def __init__(self) -> None:
        self.answer_tokens = 0

    def estimate(
        self, features: work.Features, engine: document.Engine | None
    ) -> work.Cost:
        """Return the cost of the request that is sent now.

        :param features: what is known of it.
        :param engine: figures of the service's engines.
        """
        return work.Cost(features.prompt_tokens, self.answer_tokens)

    def learn(
        self,
        features: work.Features,
        engine: document.Engine | None,
        observed: float,
    ) -> None:
        """Learn nothing.

        :param features: what was known of the request.
        :param engine: figures of the service's engines.
        :param observed: its answer's tokens.
        """


class TwoByRequests(policy.LoadPolicy):
    """Takes the less loaded of two targets that are drawn at random."""

    def select(
        self, options: list[targets.Target], demand: admission.Demand
    ) -> targets.Target:
        """Select one of several targets.

        :param options: the targets.
        :param demand: what the request demands.
        """
        drawn = self._rng.sample(options, 2)
        return min(drawn, key=self._loads.count_in_flight)


class Host:
    """An entry host.

    :param name: the policy's name.
    :param hosts: number of entry hosts.
    :param seed: seed of its random choices.
    """

    def __init__(self, name: str, hosts: int, seed: int) -> None:
        rng = random.Random(seed)
        self.view = view.FleetView()
        self.view.entry_nodes = hosts
        self.in_flight: dict[str, int] = {}
        self.loads = loads.LoadTracker(self.view, self.in_flight)
        self.backlog = backlog.ReportedBacklog(self.view)
        self.true_costs = TrueCosts()
        is_true = name == 'work, true costs'
        self.costs = tracking.RequestCosts(
            self.backlog,
            metrics.Metrics(),
            self.true_costs if is_true else estimator.LearnedCosts(),
        )
        self.policy: policy.SelectionPolicy
        if name == 'load':
            self.policy = policy.LoadPolicy('north', self.loads, rng)
        elif name == 'two by requests':
            self.policy = TwoByRequests('north', self.loads, rng)
        elif name == 'two choices':
            self.policy = two_choices.TwoChoicesPolicy(
                'north', self.loads, self.costs.speeds, rng
            )
        else:
            self.policy = policy.CostPolicy(
                'north', self.loads, self.backlog, self.costs.speeds, rng
            )
        self.uses_costs = name.startswith('work')
        self.reported = work_reports.ReportedWork()
        self.reported_in_flight: dict[str, int] = {}
        self.known_work: dict[str, int] = {}
        self.frame_bytes = 0


@dataclasses.dataclass(slots=True)
class Result:
    """What was measured with one policy.

    :param name: the policy's name.
    :param first_ms: sorted times to the first token.
    :param total_ms: sorted times to the end.
    :param frame_bytes: bytes of the frames to one host in a second.
    """

    name: str
    first_ms: list[int]
    total_ms: list[int]
    frame_bytes: float

    def render(self) -> str:
        """Return a line of the table."""
        times = [
            _find_quantile(self.first_ms, 0.5),
            _find_quantile(self.first_ms, 0.95),
            _find_quantile(self.first_ms, 0.99),
            _find_quantile(self.total_ms, 0.5),
            _find_quantile(self.total_ms, 0.95),
        ]
        cells = ' | '.join(str(item) for item in times)
        return (
            f'| {self.name} | {len(self.first_ms)} | {cells} | '
            f'{self.frame_bytes / 1000:.1f} |'
        )


def _find_quantile(ordered: list[int], part: float) -> int:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


class Bench:
    """Hosts and engines on one event loop.

    :param name: the policy's name.
    :param hosts: number of entry hosts.
    :param groups: number of engines.
    :param seed: seed of all random choices.
    """

    def __init__(self, name: str, hosts: int, groups: int, seed: int) -> None:
        self.figures = cost_engines.build_engine()
        self.engines = [
            cost_engines.Engine(self.figures, SLOW_ENGINES.get(position, 1.0))
            for position in range(groups)
        ]
        self.targets = [
            targets.Target(
                f'i-{position}',
                f'i-{position}',
                '',
                'north',
                self.figures.slots,
                f'group-{position}',
                1,
                model=cost_engines.MODEL,
            )
            for position in range(groups)
        ]
        self.hosts = [Host(name, hosts, seed + i) for i in range(hosts)]
        self._rng = random.Random(seed)
        self._load_totals = load_totals.LoadTotals()
        self._work_totals = load_totals.LoadTotals()
        self.done: list[cost_engines.Request] = []
        self.pending = 0
        self.idle = asyncio.Event()

    async def report(self, host: Host, interval_s: float) -> None:
        """Send a host's reports.

        :param host: the host.
        :param interval_s: time between two reports.
        """
        await asyncio.sleep(self._rng.uniform(0, interval_s))
        while True:
            current = dict(host.in_flight)
            self._load_totals.replace(host.reported_in_flight, current)
            host.reported_in_flight = current
            if host.uses_costs:
                work_reports.apply_changes(
                    self._work_totals,
                    host.known_work,
                    host.reported.take_changes(host.backlog.take_report()),
                )
            await asyncio.sleep(interval_s)

    async def publish(self) -> None:
        """Send frames with what has changed since the last one."""
        loads_version = work_version = 0
        while True:
            frame = fleet_pb2.FleetFrame(is_leader=True)
            frame.in_flight.update(self._load_totals.list_since(loads_version))
            frame.remaining_work_ms.update(
                self._work_totals.list_since(work_version)
            )
            loads_version = self._load_totals.version
            work_version = self._work_totals.version
            for host in self.hosts:
                host.frame_bytes += frame.ByteSize()
            delay_ms = self._rng.uniform(MIN_DELAY_MS, MAX_DELAY_MS)
            asyncio.get_running_loop().call_later(
                delay_ms / 1000, self._deliver, frame
            )
            await asyncio.sleep(FRAME_INTERVAL_MS / 1000)

    def _deliver(self, frame: fleet_pb2.FleetFrame) -> None:
        for host in self.hosts:
            host.view.apply_frame(frame)

    def send(self, request: cost_engines.Request, is_counted: bool) -> None:
        """Send a request from one of the hosts.

        :param request: the request.
        :param is_counted: whether it is counted.
        """
        host = self._rng.choice(self.hosts)
        request.arrived_ms = clock.now_ms()
        host.true_costs.answer_tokens = request.answer_tokens
        cost = host.costs.estimator.estimate(request.features, self.figures)
        demand = admission.Demand(
            cost_engines.SERVICE,
            cost_engines.MODEL,
            engine=self.figures,
            prompt_tokens=request.features.prompt_tokens,
            features=request.features,
            cost=cost,
        )
        target = host.policy.select(self.targets, demand)
        load = host.loads.count_in_flight(target)
        host.loads.record_start(target)
        tracked = host.costs.start(
            target,
            demand,
            load,
            lambda: request.count_events(self.figures.stride),
        )
        assert tracked is not None

        def end() -> None:
            host.loads.record_end(target)
            tracked.end(is_complete=True)
            if is_counted:
                self.done.append(request)
            self.pending -= 1
            if not self.pending:
                self.idle.set()

        self.pending += 1
        self.idle.clear()
        self.engines[self.targets.index(target)].submit(request, end)


async def measure(
    name: str, hosts: int, groups: int, load: float, seconds: int, seed: int
) -> Result:
    """Measure one policy.

    :param name: the policy's name.
    :param hosts: number of entry hosts.
    :param groups: number of engines.
    :param load: load as a fraction of capacity.
    :param seconds: time that is counted, after the warm-up.
    :param seed: seed of all random choices.
    """
    bench = Bench(name, hosts, groups, seed)
    source = cost_engines.Requests(seed)
    capacity_per_ms = sum(1 / engine.slowness for engine in bench.engines)
    rate_per_ms = load * capacity_per_ms
    rate_per_ms /= source.find_mean_work_ms(bench.figures)
    interval_s = min(400, max(40, 2 * hosts)) / 1000
    background = [
        asyncio.create_task(bench.report(host, interval_s))
        for host in bench.hosts
    ]
    background.append(asyncio.create_task(bench.publish()))
    rng = random.Random(seed)
    started_ms = clock.now_ms()
    counted_ms = started_ms + WARM_UP_S * 1000
    end_ms = counted_ms + seconds * 1000
    while clock.now_ms() < end_ms:
        await asyncio.sleep(rng.expovariate(rate_per_ms) / 1000)
        is_counted = clock.now_ms() >= counted_ms
        bench.send(source.draw(), is_counted)
    frame_bytes = bench.hosts[0].frame_bytes / (seconds + WARM_UP_S)
    await bench.idle.wait()
    for task in background:
        task.cancel()
    return Result(
        name,
        sorted(item.first_ms - item.arrived_ms for item in bench.done),
        sorted(item.ended_ms - item.arrived_ms for item in bench.done),
        frame_bytes,
    )


def main() -> None:
    """Measure all policies and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=int, default=40)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--hosts', type=int, nargs='+', default=(58, 89))
    parser.add_argument('--groups', type=int, default=32)
    parser.add_argument('--loads', type=float, nargs='+', default=(0.8,))
    options = parser.parse_args()
    for hosts in options.hosts:
        for load in options.loads:
            print(f'\n{hosts} hosts, {load} of capacity\n')
            print(
                '| policy | requests | first token ms p50 | p95 | p99 | '
                'end ms p50 | p95 | frames KB/s |'
            )
            print('|---|---|---|---|---|---|---|---|')
            for name in POLICIES:
                with asyncio.Runner(
                    loop_factory=async_solipsism.EventLoop
                ) as runner:
                    result = runner.run(
                        measure(
                            name,
                            hosts,
                            options.groups,
                            load,
                            options.seconds,
                            options.seed,
                        )
                    )
                print(result.render(), flush=True)


if __name__ == '__main__':
    main()
