"""Explains where a request would go now, and why, without sending it.

The request is routed, admitted and given a target by the same code as others,
on a copy of what that code changes: see ``ForwardingContext.copy_state``.
"""

import dataclasses
import typing

from tornado import httputil

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import document
from filbertglade.forwarding import admission
from filbertglade.forwarding import admission_policy
from filbertglade.forwarding import context
from filbertglade.forwarding import evidence
from filbertglade.forwarding import lookup
from filbertglade.forwarding import request_demand
from filbertglade.forwarding import request_record
from filbertglade.forwarding import server
from filbertglade.forwarding import targets

# Most targets that an answer names, the best first.
MAX_TARGETS = 64
# Longest name in an answer, in characters: the document and endpoints set the
# names.
MAX_NAME_CHARACTERS = 200
# Why a target that nothing forbids may not be chosen.
NO_ROOM = 'no capacity for this request'
OTHERS_FIRST = 'others go first'


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A request as an operator describes it.

    :param method: its method.
    :param target: its path and query.
    :param headers: its headers, with the host name.
    """

    method: str
    target: str
    headers: httputil.HTTPHeaders


@dataclasses.dataclass(frozen=True, slots=True)
class RatedTarget:
    """What is known of one target, and what rules it out.

    :param endpoint: incarnation key of the endpoint, or of the group's head.
    :param group: its group; empty for a plain endpoint.
    :param data_centre: its data centre.
    :param slots: requests that it runs concurrently.
    :param in_flight: requests in flight there, of all hosts.
    :param backlog_ms: estimated work left there, as far as it is reported;
        None if requests are selected by load.
    :param slowness: factor by which its times exceed normal ones.
    :param expected_wait_ms: expected time to the first token, or to the
        response of a plain endpoint; None if nothing is known of it.
    :param cached_tokens: tokens of the prompt that it has cached; None, since
        engines don't tell entry hosts of gateways.
    :param cold_ms: how much longer it is cold; 0 if it isn't.
    :param rating: what the policy compares; less is better.
    :param ruled_out: what rules it out; empty if it may be chosen.
    :param is_chosen: whether the request would be sent to it.
    """

    endpoint: str
    group: str
    data_centre: str
    slots: int
    in_flight: int
    backlog_ms: float | None
    slowness: float
    expected_wait_ms: float | None
    cached_tokens: int | None
    cold_ms: int
    rating: float
    ruled_out: str
    is_chosen: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go now, and why.

    :param route: the name of the route.
    :param customer: the customer's name; empty if there is none.
    :param service: the service's name.
    :param model: the model's name; empty for a plain service.
    :param admission_class: the request's class.
    :param remaining_ms: time until its deadline.
    :param cost: its estimated cost, and the source of the estimate.
    :param is_sent: whether it would be sent.
    :param reason: why it would not be sent.
    :param retry_after_s: when a refused caller is told to come back; None if
        it would be sent.
    :param admitted: how it would be admitted, as in the log.
    :param document: version of the document in force; None without one.
    :param view_age_ms: age of the latest frame; None without one.
    :param targets: the best targets, at most :data:`MAX_TARGETS`.
    :param target_count: number of all targets.
    """

    route: str
    customer: str
    service: str
    model: str
    admission_class: str
    remaining_ms: int
    cost: dict[str, float | str]
    is_sent: bool
    reason: str
    retry_after_s: float | None
    admitted: dict[str, typing.Any]
    document: int | None
    view_age_ms: int | None
    targets: list[RatedTarget]
    target_count: int


def explain(
    shared: context.ForwardingContext, question: Question
) -> Explanation | str:
    """Explain where a request would go now.

    :param shared: state that all requests share; it isn't changed.
    :param question: the request.
    :returns: the explanation, or why the request matches nothing.
    """
    return _Inquiry(shared.copy_state(), question).run()


class _Inquiry:
    """One request that is tried on copied state.

    :param shared: the copy.
    :param question: the request.
    """

    def __init__(
        self, shared: context.ForwardingContext, question: Question
    ) -> None:
        self._context = shared
        self._request = server.CallerRequest(
            httputil.HTTPConnection(),
            httputil.RequestStartLine(
                question.method, question.target, 'HTTP/1.1'
            ),
            question.headers,
            clock.now_ms(),
        )
        self._record = request_record.RequestRecord(
            '', shared.view, shared.counters
        )
        self._demand = request_demand.RequestDemand(
            shared, self._request, self._record
        )

    def run(self) -> Explanation | str:
        """Return the explanation, or why the request matches nothing."""
        shared, record = self._context, self._record
        self._demand.limit_deadline()
        route = lookup.RouteLookup(shared, self._request, record).look_up()
        if isinstance(route, failures.Failure):
            return self._describe_unmatched(route)
        self._demand.read_deadline(route)
        index = shared.view.index
        assert index is not None
        if not self._demand.choose_service(index, route):
            return (
                f'route {_clip(route.name)!r}: no such service or model: '
                f'{_clip(record.service)!r} {_clip(record.model)!r}'
            )
        if record.model:
            shared.admission.record_arrival(self._demand.build(route))
        demand = self._demand.build(route)
        if demand.remaining_ms < context.MIN_REMAINING_MS:
            return f'{demand.remaining_ms} ms are too short to be served'
        chosen = shared.chooser.choose(demand, ())
        # What admits the request changes what has room for the next one.
        rated = self._rate_targets(demand, chosen)
        return self._explain(route, demand, chosen, rated)

    def _describe_unmatched(self, failure: failures.Failure) -> str:
        hostname = self._request.hostname
        index = self._context.view.index
        if failure.reason is not lookup.LookupReason.NO_ROUTE or index is None:
            return str(failure)
        is_known = any(
            route.hostname.lower() == hostname.lower()
            for route in index.document.routes
        )
        if not is_known:
            return f'unknown host name {_clip(hostname)!r}'
        return (
            f'no route of host name {_clip(hostname)!r} matches the path '
            f'{_clip(self._request.path)!r}'
        )

    def _explain(
        self,
        route: document.Route,
        demand: admission.Demand,
        chosen: targets.Target | evidence.NoTarget,
        rated: list[RatedTarget],
    ) -> Explanation:
        shared, record = self._context, self._record
        reason, retry_after_s = '', None
        admitted = admission_policy.Admitted()
        if isinstance(chosen, evidence.NoTarget):
            reason = str(chosen)
            is_full = chosen.reason is evidence.NoTargetReason.FULL
            retry_after_s = shared.admission.choose_retry_s(
                demand if is_full else None,
                chosen.retry_s,
                chosen.reason is evidence.NoTargetReason.PAUSED,
                shared.rng,
            )
        elif chosen.group:
            load = shared.evidence.loads.count_in_flight(chosen)
            admitted = shared.admission.admit(demand, chosen, load)
        return Explanation(
            _clip(route.name),
            _clip(record.customer_name),
            _clip(record.service),
            _clip(record.model),
            demand.admission_class.value,
            self._demand.remaining_ms,
            self._describe_cost(demand),
            not reason,
            reason,
            None if retry_after_s is None else round(retry_after_s, 2),
            admitted.fields,
            shared.view.version,
            shared.view.age_ms(),
            rated[:MAX_TARGETS],
            len(rated),
        )

    def _describe_cost(
        self, demand: admission.Demand
    ) -> dict[str, float | str]:
        cost = demand.cost
        if cost is not None:
            return {
                'prompt_tokens': round(cost.prompt_tokens),
                'answer_tokens': round(cost.answer_tokens),
                'slot_ms': round(cost.slot_ms),
                'source': cost.source,
            }
        # With the policy by load, only what the caller states is known.
        is_stated = bool(demand.prompt_tokens or demand.answer_tokens)
        return {
            'prompt_tokens': demand.prompt_tokens,
            'answer_tokens': demand.answer_tokens,
            'source': 'caller' if is_stated else 'none',
        }

    # Targets

    def _rate_targets(
        self,
        demand: admission.Demand,
        chosen: targets.Target | evidence.NoTarget,
    ) -> list[RatedTarget]:
        """Return all targets, the chosen one and the best first."""
        shared = self._context
        obstacles = self._list_unlisted(demand)
        open_now = []
        for target in shared.chooser.list_targets(
            demand.service, demand.model
        ):
            obstacle = shared.evidence.find_obstacle(demand, target)
            obstacles[target] = obstacle
            if not obstacle:
                open_now.append(target)
        room = self._list_with_room(demand, open_now)
        # What the choice leaves: of those that are left, the others are cold
        # or have just paused while better ones have room.
        is_preferring = not isinstance(chosen, evidence.NoTarget) and not (
            self._goes_last(chosen)
        )
        for target in open_now:
            if target not in room:
                obstacles[target] = NO_ROOM
            elif is_preferring and self._goes_last(target):
                obstacles[target] = OTHERS_FIRST
        rated = [
            self._rate(demand, target, obstacle, target == chosen)
            for target, obstacle in obstacles.items()
        ]
        rated.sort(
            key=lambda item: (
                not item.is_chosen,
                bool(item.ruled_out),
                item.rating,
            )
        )
        return rated

    def _list_unlisted(
        self, demand: admission.Demand
    ) -> dict[targets.Target, str]:
        """Return the targets that are not even listed, each with why."""
        shared_view = self._context.view
        if demand.model:
            return {
                targets.from_replica(item): 'no complete group'
                for item in shared_view.list_replicas(
                    demand.service, demand.model
                )
                if not item.usable
            }
        staying = {
            item.id for item in shared_view.list_endpoints(demand.service)
        }
        unlisted = {
            targets.from_endpoint(item): 'leaving'
            for item in shared_view.list_leaving(demand.service)
        }
        for item in shared_view.endpoints.values():
            if (
                item.service == demand.service
                and not item.leaving
                and item.id not in staying
            ):
                unlisted[targets.from_endpoint(item)] = 'silent'
        return unlisted

    def _list_with_room(
        self, demand: admission.Demand, open_now: list[targets.Target]
    ) -> set[targets.Target]:
        if not demand.model or not open_now:
            # The choice among plain endpoints disregards their capacity.
            return set(open_now)
        return set(self._context.chooser.find_room(demand, open_now).replicas)

    def _goes_last(self, target: targets.Target) -> bool:
        known = self._context.evidence
        return (
            known.is_cold(target)
            or known.is_returning(target)
            or known.is_last_resort(target)
        )

    def _rate(
        self,
        demand: admission.Demand,
        target: targets.Target,
        obstacle: str,
        is_chosen: bool,
    ) -> RatedTarget:
        shared = self._context
        costs = shared.costs
        load = shared.evidence.loads.count_in_flight(target)
        slowness, backlog_ms = target.slowness, None
        if costs is not None:
            slowness *= costs.speeds.get_factor(target)
            backlog_ms = round(costs.backlog.find_remaining_ms(target), 1)
        wait_ms = None
        if demand.engine is not None and demand.model:
            wait_ms = demand.estimate_first_token_ms(load, slowness)
        elif demand.cost is not None and demand.cost.slot_ms:
            waiting = (load + 1) / max(1, target.slots)
            wait_ms = demand.cost.slot_ms * max(1.0, waiting) * slowness
        cold = shared.view.cold
        return RatedTarget(
            _clip(target.key),
            _clip(target.group),
            _clip(target.data_centre),
            target.slots,
            load,
            backlog_ms,
            round(slowness, 2),
            None if wait_ms is None else round(wait_ms, 1),
            None,
            max(
                cold.find_remaining_ms(target.key),
                cold.find_remaining_ms(target.group) if target.group else 0,
            ),
            round(shared.chooser.rate(target, demand), 2),
            '' if is_chosen else obstacle,
            is_chosen,
        )


def _clip(name: str) -> str:
    return name[:MAX_NAME_CHARACTERS]
