"""Costs of the requests that a host forwards, from estimate to outcome."""

from collections import abc
import dataclasses
import re

from filbertglade import clock
from filbertglade.costs import backlog
from filbertglade.costs import estimator
from filbertglade.costs import speeds
from filbertglade.costs import work
from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.forwarding import admission
from filbertglade.forwarding import request_record
from filbertglade.forwarding import server
from filbertglade.forwarding import targets
from filbertglade.observability import metrics

# Segments of a path that make up its shape.
MAX_SEGMENTS = 4
MAX_SEGMENT_CHARACTERS = 24
# Longest id of a prompt part that is kept.
MAX_PART_CHARACTERS = 64

_DIGIT = re.compile('[0-9]')


def describe_shape(method: str, path: str, body_bytes: int) -> str:
    """Return what a plain request has in common with similar ones.

    :param method: its method.
    :param path: its path; segments with digits and long ones count as equal.
    :param body_bytes: size of its body, of which only the power of 4 counts.
    """
    segments = path.strip('/').split('/')[:MAX_SEGMENTS]
    shape = '/'.join(
        '*'
        if len(segment) > MAX_SEGMENT_CHARACTERS or _DIGIT.search(segment)
        else segment
        for segment in segments
    )
    return f'{method[:16]} /{shape} {(body_bytes.bit_length() + 1) // 2}'


def list_shared_parts(text: str) -> tuple[str, ...]:
    """Return the prompt parts that other requests may share, the last ones.

    :param text: the header with the parts; the last part is the request's own.
    """
    parts = [part.partition(':')[0].strip() for part in text.split(',')]
    return tuple(
        part[:MAX_PART_CHARACTERS]
        for part in parts[:-1][-estimator.MAX_PARTS :]
        if part
    )


class RequestCosts:
    """Estimates costs, tracks requests that run and learns from their ends.

    :param known_backlog: the targets' work.
    :param counters: the process's metrics.
    :param cost_estimator: estimates costs; None to learn them.
    :param changes_admission: whether admission uses the estimated length of
        an answer in place of the caller's.
    :ivar estimator: estimates costs.
    :ivar speeds: the targets' speeds.
    """

    def __init__(
        self,
        known_backlog: backlog.Backlog,
        counters: metrics.Metrics,
        cost_estimator: estimator.CostEstimator | None = None,
        changes_admission: bool = True,
    ) -> None:
        self.changes_admission = changes_admission
        self.estimator = cost_estimator or estimator.LearnedCosts()
        self.speeds = speeds.TargetSpeeds()
        self.backlog = known_backlog
        self._counters = counters

    def start(
        self,
        target: targets.Target,
        demand: admission.Demand,
        load: int,
        count_events: abc.Callable[[], int],
    ) -> 'TrackedRequest | None':
        """Track a request that is sent.

        :param target: its target.
        :param demand: what it demands.
        :param load: other requests in flight on the target.
        :param count_events: returns the events that have arrived.
        :returns: the request; None if no cost was estimated.
        """
        engine, features = demand.engine, demand.features
        if demand.cost is None or features is None:
            return None
        running = backlog.RunningRequest(
            target, demand.cost, engine, count_events
        )
        self.backlog.start(running)
        return TrackedRequest(self, running, features, engine, load)

    def finish(self, tracked: 'TrackedRequest', is_complete: bool) -> None:
        """Stop tracking a request, and learn from it.

        :param tracked: the request.
        :param is_complete: whether it was served completely.
        """
        running = tracked.running
        self.backlog.end(running)
        if not is_complete:
            return
        taken_ms = clock.now_ms() - running.started_ms
        if running.target.model:
            self._learn_answer(tracked, taken_ms)
        else:
            self._learn_plain(tracked, taken_ms)

    def _learn_answer(self, tracked: 'TrackedRequest', taken_ms: int) -> None:
        running, engine = tracked.running, tracked.engine
        tokens = running.answered_tokens
        if not tokens or engine is None:
            return
        self.estimator.learn(tracked.features, engine, tokens)
        self._record_error(running.cost.answer_tokens / tokens)
        times = work.EngineTimes(engine, running.target.model)
        # One request's step with the others beside it. Waiting for a slot
        # and for other prompts counts as slowness.
        context = running.cost.prompt_tokens + tokens / 2
        beside_ms = tracked.load * engine.per_seq_ms
        step_ms = times.find_token_ms(context) + times.scale(
            beside_ms + engine.step_ms * (1 - 1 / engine.slots)
        )
        expected_ms = (
            times.find_read_ms(running.cost.prompt_tokens) + tokens * step_ms
        )
        self.speeds.record(
            running.target, expected_ms * running.target.slowness, taken_ms
        )

    def _learn_plain(self, tracked: 'TrackedRequest', taken_ms: int) -> None:
        target, cost = tracked.running.target, tracked.running.cost
        # With more requests than slots, a part of the time was a wait.
        busy_ms = taken_ms * min(1.0, target.slots / (tracked.load + 1))
        factor = self.speeds.get_factor(target)
        self.estimator.learn(tracked.features, None, busy_ms / factor)
        self._record_error(cost.slot_ms / max(1.0, busy_ms))
        self.speeds.record(target, cost.slot_ms, busy_ms)

    def _record_error(self, ratio: float) -> None:
        """Count an estimate by how it compares with what was seen."""
        outcome = 'near'
        if ratio > 2:
            outcome = 'over'
        elif ratio < 0.5:
            outcome = 'under'
        self._counters.count('cost_estimates', outcome=outcome)


class TrackedRequest:
    """A request whose cost is tracked.

    :param costs: the costs that it belongs to.
    :param running: the request on its target.
    :param features: what was known of it.
    :param engine: figures of the service's engines; None without.
    :param load: other requests in flight on the target when it was sent.
    """

    __slots__ = ('_costs', 'engine', 'features', 'load', 'running')

    def __init__(
        self,
        costs: RequestCosts,
        running: backlog.RunningRequest,
        features: work.Features,
        engine: document.Engine | None,
        load: int,
    ) -> None:
        self._costs = costs
        self.running = running
        self.features = features
        self.engine = engine
        self.load = load

    def end(self, is_complete: bool) -> None:
        """Stop tracking the request.

        :param is_complete: whether it was served completely.
        """
        self._costs.finish(self, is_complete)


def add_cost(
    demand: admission.Demand,
    costs: RequestCosts,
    dialect: dialects.Dialect,
    request: server.CallerRequest,
    record: request_record.RequestRecord,
) -> admission.Demand:
    """Return a demand with the request's estimated cost.

    The answer's estimated length may also take the place of the caller's, so
    that admission uses the same estimate.

    :param demand: the demand.
    :param costs: the host's costs.
    :param dialect: the header names in use.
    :param request: the request.
    :param record: its route and customer.
    """
    headers = request.headers
    features = work.Features(
        demand.service,
        demand.model,
        record.route_name,
        record.customer_name,
        list_shared_parts(headers.get(dialect.prompt_parts, '')),
        ''
        if demand.model
        else describe_shape(request.method, request.path, len(request.body)),
        demand.prompt_tokens,
        demand.answer_tokens,
    )
    cost = costs.estimator.estimate(features, demand.engine)
    demand = dataclasses.replace(demand, features=features, cost=cost)
    if not costs.changes_admission:
        return demand
    return dataclasses.replace(demand, answer_tokens=round(cost.answer_tokens))


def describe(
    costs: RequestCosts | None,
    target: targets.Target,
    demand: admission.Demand,
) -> dict[str, float | str]:
    """Return the log fields of a request that is sent; none without costs.

    :param costs: the host's costs; None if requests are selected by load.
    :param target: the target.
    :param demand: what the request demands.
    """
    if costs is None or demand.cost is None:
        return {}
    return {
        'cost_prompt': round(demand.cost.prompt_tokens),
        'cost_answer': round(demand.cost.answer_tokens),
        'cost_slot_ms': round(demand.cost.slot_ms),
        'cost_source': demand.cost.source,
        'backlog_ms': round(costs.backlog.find_remaining_ms(target)),
        'speed': round(costs.speeds.get_factor(target), 2),
    }
