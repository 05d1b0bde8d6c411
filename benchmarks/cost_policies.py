"""Policies and hosts that ``benchmarks/costs.py`` compares."""

import random

from benchmarks import cost_engines
from filbertglade.costs import backlog
from filbertglade.costs import estimator
from filbertglade.costs import policy
from filbertglade.costs import speeds
from filbertglade.costs import tracking
from filbertglade.costs import two_choices
from filbertglade.costs import work
from filbertglade.fleet import document
from filbertglade.fleet import view
from filbertglade.fleet import work_reports
from filbertglade.forwarding import admission
from filbertglade.forwarding import loads
from filbertglade.forwarding import targets
from filbertglade.observability import metrics

BOUND = 'work, true costs'
# The same without what learned speeds add: they include the wait for a slot.
SPEED_BOUND = 'work, true costs and speeds'
POLICIES = (
    'load',
    'two by requests',
    'two choices',
    BOUND,
    SPEED_BOUND,
    'work, learned costs',
)
# The policy by load with one step changed.
FRESH_REPORTS = 'load, reports of now'
STEPS = (
    'load',
    'load, ties broken',
    'load, without locality',
    'load, filled with 3 times the requests',
    'load, filled with 6 times the requests',
    FRESH_REPORTS,
    'two by requests',
)
# Factors on the requests that water-filling distributes. Those of one frame
# interval are 200 ms of the 560 ms that reports miss on average; the policy
# by cost distributes twice what it estimates.
FILL_FACTORS = {STEPS[3]: 3.0, STEPS[4]: 6.0}


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


class TrueSpeeds(speeds.TargetSpeeds):
    """Knows how fast each target is.

    :param factors: the factors on targets' times, by their keys.
    """

    def __init__(self, factors: dict[str, float]) -> None:
        super().__init__()
        self._known = factors

    def get_factor(self, target: targets.Target) -> float:
        """Return by which factor a target's times exceed the expected ones.

        :param target: the target.
        """
        return self._known[target.key]


class TwoByRequests(policy.LoadPolicy):
    """Takes the target with fewer requests of two drawn at random."""

    def select(
        self, options: list[targets.Target], demand: admission.Demand
    ) -> targets.Target:
        """Select one of several targets.

        :param options: the targets.
        :param demand: what the request demands.
        """
        drawn = self._rng.sample(options, 2)
        return min(drawn, key=self._loads.count_in_flight)


class ChangedLoad(policy.LoadPolicy):
    """The policy by load with one of its steps changed.

    :param name: the variant, of :data:`STEPS`.
    :param load_tracker: counts of the requests in flight.
    :param rng: random number generator.
    """

    def __init__(
        self, name: str, load_tracker: loads.LoadTracker, rng: random.Random
    ) -> None:
        super().__init__('north', load_tracker, rng)
        self._breaks_ties = name == 'load, ties broken'
        self._has_locality = name != 'load, without locality'
        self._fill_factor = FILL_FACTORS.get(name, 1.0)

    def select(
        self, options: list[targets.Target], demand: admission.Demand
    ) -> targets.Target:
        """Select one of several targets.

        :param options: the targets.
        :param demand: what the request demands.
        """
        unreported = self._loads.estimate_unreported(options[0].model)
        costs = [(self.rate(target, demand), target) for target in options]
        return policy.select_by_filling(
            costs, self._fill_factor * unreported, self._rng
        )

    def rate(self, target: targets.Target, demand: admission.Demand) -> float:
        """Return what a request costs on a target, in requests in flight.

        :param target: the target.
        :param demand: what the request demands.
        """
        if self._has_locality:
            cost = super().rate(target, demand)
        else:
            load = self._loads.count_in_flight(target)
            cost = (load + 1) * target.slowness
        if self._breaks_ties:
            # Loads are whole numbers: half of one in each direction.
            cost += self._rng.uniform(-0.5, 0.5)
        return cost


class Host:
    """An entry host.

    :param name: the policy's name.
    :param hosts: number of entry hosts.
    :param factors: the factors on targets' times, by their keys.
    :param seed: seed of its random choices.
    """

    def __init__(
        self, name: str, hosts: int, factors: dict[str, float], seed: int
    ) -> None:
        rng = random.Random(seed)
        self.view = view.FleetView()
        self.view.entry_nodes = hosts
        self.in_flight: dict[str, int] = {}
        self.loads = loads.LoadTracker(self.view, self.in_flight)
        self.backlog = backlog.ReportedBacklog(self.view)
        self.true_costs = TrueCosts()
        is_known = name in (BOUND, SPEED_BOUND)
        self.costs = tracking.RequestCosts(
            self.backlog,
            metrics.Metrics(),
            self.true_costs if is_known else estimator.LearnedCosts(),
        )
        if name == SPEED_BOUND:
            self.costs.speeds = TrueSpeeds(factors)
        self.policy = self._build_policy(name, rng)
        self.uses_costs = name.startswith('work')
        self.reported = work_reports.ReportedWork()
        self.reported_in_flight: dict[str, int] = {}
        self.known_work: dict[str, int] = {}
        self.frame_bytes = 0

    def _build_policy(
        self, name: str, rng: random.Random
    ) -> policy.SelectionPolicy:
        if name == 'load':
            return policy.LoadPolicy('north', self.loads, rng)
        if name.startswith('load'):
            return ChangedLoad(name, self.loads, rng)
        if name == 'two by requests':
            return TwoByRequests('north', self.loads, rng)
        if name == 'two choices':
            return two_choices.TwoChoicesPolicy(
                'north', self.loads, self.costs.speeds, rng
            )
        return policy.CostPolicy(
            'north', self.loads, self.backlog, self.costs.speeds, rng
        )


def build_demand(
    host: Host, request: cost_engines.Request, engine: document.Engine
) -> admission.Demand:
    """Return what a request demands of an engine, with its estimated cost.

    :param host: the host that sends it.
    :param request: the request.
    :param engine: the engine's figures.
    """
    host.true_costs.answer_tokens = request.answer_tokens
    return admission.Demand(
        cost_engines.SERVICE,
        cost_engines.MODEL,
        engine=engine,
        prompt_tokens=request.features.prompt_tokens,
        features=request.features,
        cost=host.costs.estimator.estimate(request.features, engine),
    )
