"""Callers, entry hosts and engines with too little capacity, in virtual time.

Hosts know each other's requests in flight 0.1 to 0.8 s late. Engines have
slots, a queue in the order of priority, passes of several token steps, and
prompts to read.
"""

import asyncio
import dataclasses
import heapq
import math
import random
import types

from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.fleet import statements
from filbertglade.fleet import unserved
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.forwarding import choice
from filbertglade.forwarding import evidence
from filbertglade.forwarding import targets
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics

# Prompt tokens that are read in one token step.
ENGINE_CHUNK = 512
HOSTS = 58
GROUPS = 20
SLOTS = 17
ENGINE = document.Engine(
    slots=SLOTS,
    models=[document.ModelShape('big', 8)],
    stride=4,
    step_ms=12.0,
    per_seq_ms=0.4,
    read_per_s=20_000.0,
    usual={'prompt': 600.0, 'answer': 60.0},
)
# Requests a second that all groups serve with all slots in use, measured with
# this model.
CAPACITY_PER_S = 210.0
WAVE_PERIOD_S = 13.0
FRAME_S = 0.3
# Value of a response that is late.
LATE_CREDIT = 0.3


@dataclasses.dataclass
class Route:
    """One streaming route and its part of the load."""

    name: str
    priority: int
    objective_ms: float
    deadline_ms: float
    share: float


@dataclasses.dataclass
class Request:
    """One request, and what became of it."""

    route: Route
    customer: str
    prompt: int
    answer: int
    hint: int
    lot: float
    began_s: float
    first_s: float | None = None
    end_s: float | None = None
    returned: bool = False

    @property
    def is_served(self):
        return self.end_s is not None

    @property
    def is_in_time(self):
        return (
            self.is_served
            and not self.returned
            and (self.first_s - self.began_s) * 1000 <= self.route.objective_ms
        )

    @property
    def credit(self):
        return (
            1.0 if self.is_in_time else LATE_CREDIT if self.is_served else 0.0
        )


class EngineModel:
    """An engine that runs requests in passes."""

    def __init__(self):
        self._queue = []
        self._running = []
        self._count = 0
        self._has_work = asyncio.Event()

    def submit(self, request, priority, deadline_s, notify):
        """Queue a request; return whether there is room."""
        if len(self._queue) >= SLOTS and len(self._running) >= SLOTS:
            return False
        self._count += 1
        item = types.SimpleNamespace(
            prompt=request.prompt,
            answer=request.answer,
            deadline_s=deadline_s,
            notify=notify,
            has_begun=False,
        )
        heapq.heappush(self._queue, (priority, self._count, item))
        self._has_work.set()
        return True

    async def run(self):
        loop = asyncio.get_running_loop()
        while True:
            while self._queue and len(self._running) < SLOTS:
                item = heapq.heappop(self._queue)[2]
                if item.deadline_s > loop.time():
                    self._running.append(item)
                else:
                    item.notify('timeout')
            if not self._running:
                self._has_work.clear()
                await self._has_work.wait()
                continue
            read = 0
            budget = ENGINE_CHUNK * ENGINE.stride
            for item in self._running:
                part = min(item.prompt, budget)
                item.prompt -= part
                budget -= part
                read += part
            step_ms = ENGINE.step_ms + ENGINE.per_seq_ms * len(self._running)
            await asyncio.sleep(
                read / ENGINE.read_per_s + ENGINE.stride * step_ms / 1000
            )
            for item in list(self._running):
                if item.prompt:
                    continue
                item.answer -= ENGINE.stride
                if not item.has_begun:
                    item.has_begun = True
                    item.notify('first')
                if item.answer <= 0 or item.deadline_s < loop.time():
                    self._running.remove(item)
                    item.notify('end' if item.answer <= 0 else 'timeout')


class Host:
    """An entry host with its belief of the load."""

    def __init__(self, make_policy, seed):
        self.view = view.FleetView()
        self.unserved = unserved.UnservedDemand()
        self.rng = random.Random(seed)
        self.in_flight = {}
        self.policy = make_policy(self.view, self.unserved)
        leader = types.SimpleNamespace(
            in_flight=self.in_flight,
            limited_demand={},
            unused_allowances={},
            crashes=None,
        )
        self.known = evidence.EndpointEvidence(
            dialects.DEFAULT,
            self.view,
            leader,
            None,
            statements.EndpointStatements(
                'Leaving', metrics.Metrics(), self.rng
            ),
            metrics.Metrics(),
            self.rng,
        )
        self.chooser = choice.Chooser(
            'north',
            self.view,
            self.known,
            self.rng,
            admission_rules=self.policy,
        )
        self.view.apply_frame(
            fleet_pb2.FleetFrame(
                is_leader=True,
                is_whole=True,
                entry_nodes=HOSTS,
                replicas=[
                    fleet_pb2.Replica(
                        group=f'g-{number}',
                        epoch=1,
                        service='models',
                        model='big',
                        head_id=f'i-{number}',
                        address='10.0.0.1:80',
                        data_centre='north',
                        slots=SLOTS,
                        usable=True,
                    )
                    for number in range(GROUPS)
                ],
            )
        )


class Model:
    """The callers, hosts and engines of one run.

    :param make_policy: makes a host's admission policy.
    :param routes: the routes.
    :param rate: callable from time and route to requests a second.
    :param customers: weights of the customers.
    """

    def __init__(self, make_policy, routes, rate, customers=(1,) * 24, seed=1):
        self._rng = random.Random(seed)
        self._routes = routes
        self._rate = rate
        self._customers = customers
        self._make_policy = make_policy
        self.requests = []

    async def run(self, seconds):
        self._engines = {f'g-{i}': EngineModel() for i in range(GROUPS)}
        self._hosts = [
            Host(self._make_policy, number) for number in range(HOSTS)
        ]
        loop = asyncio.get_running_loop()
        work = [loop.create_task(e.run()) for e in self._engines.values()]
        work += [
            loop.create_task(self._send_frames(host)) for host in self._hosts
        ]
        callers = []
        end_s = loop.time() + seconds
        self.start_s = loop.time()
        while loop.time() < end_s:
            now_s = loop.time() - self.start_s
            rates = [self._rate(now_s, route) for route in self._routes]
            await asyncio.sleep(self._rng.expovariate(sum(rates)))
            route = self._rng.choices(self._routes, rates)[0]
            callers.append(loop.create_task(self._call(route)))
        await asyncio.gather(*callers)
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        return self.requests

    async def _send_frames(self, host):
        rng = random.Random(host.rng.random())
        # The belief is 0.1 to 0.8 s old when it is used; frames keep their
        # order.
        delay_s = rng.uniform(0.1, 0.5)
        await asyncio.sleep(rng.uniform(0, FRAME_S))
        while True:
            totals = dict.fromkeys(self._engines, 0)
            for other in self._hosts:
                for group, count in other.in_flight.items():
                    totals[group] += count
            asyncio.get_running_loop().call_later(
                delay_s,
                host.view.apply_frame,
                fleet_pb2.FleetFrame(
                    is_leader=True,
                    in_flight=totals,
                    unserved_per_s=unserved.add_up(
                        fleet_pb2.WatchReport(
                            unserved_per_s=other.unserved.read()
                        )
                        for other in self._hosts
                    ),
                ),
            )
            await asyncio.sleep(FRAME_S)

    def _draw_tokens(self, mean):
        return max(
            4, int(self._rng.lognormvariate(math.log(mean) - 0.32, 0.8))
        )

    async def _call(self, route):
        loop = asyncio.get_running_loop()
        number = self._rng.choices(
            range(len(self._customers)), self._customers
        )[0]
        answer = self._draw_tokens(60)
        request = Request(
            route,
            f'c-{number}',
            self._draw_tokens(600),
            answer,
            max(1, int(answer * self._rng.lognormvariate(0, 0.5))),
            0.0,
            loop.time(),
        )
        self.requests.append(request)
        retry_s = await self._try(self._rng.choice(self._hosts), request)
        deadline_s = request.began_s + route.deadline_ms / 1000
        if retry_s is None or loop.time() + retry_s > deadline_s:
            return
        request.returned = True
        await asyncio.sleep(retry_s)
        await self._try(self._rng.choice(self._hosts), request)

    def _build_demand(self, request):
        now_s = asyncio.get_running_loop().time()
        left_s = request.began_s + request.route.deadline_ms / 1000 - now_s
        admission_class = admission.AdmissionClass.FRESH
        if request.returned:
            admission_class = admission.AdmissionClass.LATE
        return admission.Demand(
            'models',
            'big',
            admission_class,
            request.route.objective_ms,
            left_s * 1000,
            request.prompt,
            request.hint,
            ENGINE,
            priority=request.route.priority,
            route=request.route.name,
            customer=request.customer,
            lot=request.lot,
        )

    async def _try(self, host, request):
        """Send a request once; return when to come back if it is refused."""
        request.lot = host.policy.draw_lot(host.rng)
        tried = []
        demand = self._build_demand(request)
        host.policy.record_arrival(demand)
        for _ in range(4):
            demand = self._build_demand(request)
            target = host.chooser.choose(demand, tried)
            if not isinstance(target, targets.Target):
                break
            load = host.known.loads.count_in_flight(target)
            admitted = host.policy.admit(demand, target, load)
            host.known.loads.record_start(target)
            is_taken = await self._run_at(host, target, request, admitted)
            host.known.loads.record_end(target)
            if is_taken:
                return None
            tried.append(target.load_key)
        host.policy.record_refusal(demand)
        return host.policy.choose_retry_s(
            demand, evidence.OVERLOAD_RETRY_AFTER_S, False, host.rng
        )

    async def _run_at(self, host, target, request, admitted):
        loop = asyncio.get_running_loop()
        ended = asyncio.Event()
        demand = self._build_demand(request)

        def notify(event):
            if event == 'first':
                request.first_s = loop.time()
                host.policy.record_first_byte(
                    demand, admitted, (loop.time() - request.began_s) * 1000
                )
            elif event == 'end':
                request.end_s = loop.time()
                host.policy.record_end(
                    demand, (request.end_s - request.first_s) * 1000
                )
                ended.set()
            else:
                ended.set()

        await asyncio.sleep(0.004)
        if not self._engines[target.group].submit(
            request,
            5
            if admitted.engine_priority is None
            else admitted.engine_priority,
            request.began_s + request.route.deadline_ms / 1000,
            notify,
        ):
            return False
        await ended.wait()
        return True


def build_wave(routes, mean, burst_route='', burst=0.0, crests=(16.25,)):
    """Return the rate of a wave of 55% with a burst of a route on its crest.

    :param mean: mean load as a fraction of the capacity.
    :param burst: further load on the crest, as such a fraction.
    """

    def rate(now_s, route):
        wave = 1 + 0.55 * math.sin(2 * math.pi * now_s / WAVE_PERIOD_S)
        found = mean * CAPACITY_PER_S * route.share * wave
        if route.name == burst_route:
            found += sum(
                burst * CAPACITY_PER_S
                for crest_s in crests
                if abs(now_s - crest_s) < 1.5
            )
        return found

    return rate
