"""Selection by expected cost in virtual time.

Entry hosts with the product's own views, load counters, backlogs, estimators
and policies share engines. Reports are 0.2 to 0.8 s old. Admission refuses
nothing, so that all policies serve the same requests.

    python -m benchmarks.costs --seconds 40
    python -m benchmarks.costs --steps
"""

import argparse
import asyncio
import dataclasses
import itertools
import random
import typing

import async_solipsism

from benchmarks import cost_engines
from benchmarks import cost_policies
from filbertglade import clock
from filbertglade.fleet import load_totals
from filbertglade.fleet import work_reports
from filbertglade.forwarding import targets
from filbertglade.inner import fleet_pb2

WARM_UP_S = 20
FRAME_INTERVAL_MS = 200
# A frame tells what hosts reported this long ago; with the interval of the
# frames, reports are 0.2 to 0.8 s old.
MIN_DELAY_MS, MAX_DELAY_MS = 200, 600


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Engines and requests.

    :param slow_engines: factors on the times of engines that are slower.
    :param hot_part: part of the requests that have the hot key.
    """

    slow_engines: dict[int, float]
    hot_part: float = cost_engines.HOT_PART


SCENARIOS = {
    'base': Scenario({0: 2.0, 1: 1.5, 2: 1.5}),
    # Half of the requests share one long prompt part.
    'hot key': Scenario({}, 0.5),
    # Half of the engines are slower, some of them much.
    'speeds': Scenario(
        dict.fromkeys(range(10), 1.5) | dict.fromkeys(range(10, 16), 2.5),
        0.0,
    ),
}


@dataclasses.dataclass(slots=True)
class Result:
    """What was measured with one policy and one seed.

    :param first_ms: sorted times to the first token.
    :param total_ms: sorted times to the end.
    :param frame_bytes: bytes of the frames to one host in a second.
    """

    first_ms: list[int]
    total_ms: list[int]
    frame_bytes: float


def render(name: str, results: list[Result], bound_ms: list[int]) -> str:
    """Return a line of the table.

    :param name: the policy's name.
    :param results: its results, one a seed.
    :param bound_ms: the bound's p95 times to the first token, one a seed;
        empty if it was not measured.
    """
    p95_ms = [_find_quantile(item.first_ms, 0.95) for item in results]
    columns = [
        [_find_quantile(item.first_ms, 0.5) for item in results],
        p95_ms,
        [_find_quantile(item.first_ms, 0.99) for item in results],
        [_find_quantile(item.total_ms, 0.95) for item in results],
    ]
    cells = [', '.join(map(str, column)) for column in columns]
    ratios = [
        f'{taken / bound:.2f}'
        for taken, bound in zip(p95_ms, bound_ms, strict=False)
    ]
    cells.insert(2, ', '.join(ratios))
    frame_bytes = max(item.frame_bytes for item in results)
    cells.append(f'{frame_bytes / 1000:.1f}')
    return f'| {name} | {" | ".join(cells)} |'


def _find_quantile(ordered: list[int], part: float) -> int:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


class Bench:
    """Hosts and engines on one event loop.

    :param name: the policy's name.
    :param hosts: number of entry hosts.
    :param groups: number of engines.
    :param scenario: engines and requests.
    :param seed: seed of all random choices.
    """

    def __init__(
        self, name: str, hosts: int, groups: int, scenario: Scenario, seed: int
    ) -> None:
        self.figures = cost_engines.build_engine()
        self.engines = [
            cost_engines.Engine(
                self.figures, scenario.slow_engines.get(position, 1.0)
            )
            for position in range(groups)
        ]
        self._delays_ms = (MIN_DELAY_MS, MAX_DELAY_MS)
        if name == cost_policies.FRESH_REPORTS:
            self._delays_ms = (0, 0)
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
        factors = {
            target.key: engine.slowness
            for target, engine in zip(self.targets, self.engines, strict=True)
        }
        self.hosts = [
            cost_policies.Host(name, hosts, factors, seed + i)
            for i in range(hosts)
        ]
        self._rng = random.Random(seed)
        self._load_totals = load_totals.LoadTotals()
        self._work_totals = load_totals.LoadTotals()
        self.done: list[cost_engines.Request] = []
        self.pending = 0
        self.idle = asyncio.Event()

    async def report(
        self, host: cost_policies.Host, interval_s: float
    ) -> None:
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
            delay_ms = self._rng.uniform(*self._delays_ms)
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
        demand = cost_policies.build_demand(host, request, self.figures)
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
    name: str,
    hosts: int,
    groups: int,
    load: float,
    seconds: int,
    scenario: Scenario,
    seed: int,
) -> Result:
    """Measure one policy.

    :param name: the policy's name.
    :param hosts: number of entry hosts.
    :param groups: number of engines.
    :param load: load as a fraction of capacity.
    :param seconds: time that is counted, after the warm-up.
    :param scenario: engines and requests.
    :param seed: seed of all random choices.
    """
    bench = Bench(name, hosts, groups, scenario, seed)
    source = cost_engines.Requests(seed, scenario.hot_part)
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
        sorted(item.first_ms - item.arrived_ms for item in bench.done),
        sorted(item.ended_ms - item.arrived_ms for item in bench.done),
        frame_bytes,
    )


def run(
    names: typing.Sequence[str],
    hosts: int,
    load: float,
    scenario: Scenario,
    options: argparse.Namespace,
) -> None:
    """Measure policies and print their table.

    :param names: the policies.
    :param hosts: number of entry hosts.
    :param load: load as a fraction of capacity.
    :param scenario: engines and requests.
    :param options: the other options of the command line.
    """
    results: dict[str, list[Result]] = {name: [] for name in names}
    for name, seed in itertools.product(names, options.seeds):
        with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
            result = runner.run(
                measure(
                    name,
                    hosts,
                    options.groups,
                    load,
                    options.seconds,
                    scenario,
                    seed,
                )
            )
        results[name].append(result)
    bound_ms = [
        _find_quantile(item.first_ms, 0.95)
        for item in results.get(cost_policies.BOUND, [])
    ]
    for name in names:
        print(render(name, results[name], bound_ms), flush=True)


def main() -> None:
    """Measure all policies and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=int, default=40)
    parser.add_argument('--seeds', type=int, nargs='+', default=(1, 2, 3))
    parser.add_argument('--hosts', type=int, nargs='+', default=(58, 89))
    parser.add_argument('--groups', type=int, default=32)
    parser.add_argument('--loads', type=float, nargs='+', default=(0.8,))
    parser.add_argument(
        '--scenarios', nargs='+', choices=SCENARIOS, default=('base',)
    )
    parser.add_argument(
        '--steps',
        action='store_true',
        help='change one step of the policy by load at a time',
    )
    parser.add_argument('--policies', nargs='+', help='only some of them')
    options = parser.parse_args()
    names = cost_policies.STEPS if options.steps else cost_policies.POLICIES
    names = options.policies or names
    for title, hosts, load in itertools.product(
        options.scenarios, options.hosts, options.loads
    ):
        seeds = ', '.join(map(str, options.seeds))
        print(f'\n{title}, {hosts} hosts, {load} of capacity, seeds {seeds}\n')
        print(
            '| policy | first token ms p50 | p95 | to the bound | p99 | '
            'end ms p95 | frames KB/s |'
        )
        print('|---|---|---|---|---|---|---|')
        run(names, hosts, load, SCENARIOS[title], options)


if __name__ == '__main__':
    main()
